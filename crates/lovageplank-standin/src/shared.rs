//! What engines and plain services have in common: settings and handles.

/// Setters that the settings of all announcing stand-ins share.
macro_rules! shared_setters {
    () => {
        /// Sets the address to bind; port 0 takes a free one.
        #[must_use]
        pub fn listen(mut self, address: impl Into<String>) -> Config {
            self.listen = address.into();
            self
        }

        /// Sets the failure domain.
        #[must_use]
        pub fn failure_domain(mut self, name: impl Into<Name>) -> Config {
            self.failure_domain = name.into();
            self
        }

        /// Adds the name of a service that it serves.
        #[must_use]
        pub fn service(mut self, name: impl Into<Name>) -> Config {
            self.services.insert(name.into());
            self
        }

        /// Adds an instance (`ip:port`) to announce to.
        #[must_use]
        pub fn announce_to(mut self, address: impl Into<String>) -> Config {
            self.announce_to.push(address.into());
            self
        }

        /// Sets the incarnation; the time of the start in Unix milliseconds if not set.
        #[must_use]
        pub fn incarnation(mut self, incarnation: u64) -> Config {
            self.incarnation = Some(incarnation);
            self
        }

        /// Sets the milliseconds between load reports.
        #[must_use]
        pub fn report_ms(mut self, interval: u64) -> Config {
            self.report_ms = interval.max(1);
            self
        }

        /// Sets the faults at the start.
        #[must_use]
        pub fn faults(mut self, faults: Faults) -> Config {
            self.faults = faults;
            self
        }

        /// Sets records to go on with, those of an earlier incarnation for one.
        #[must_use]
        pub fn records(mut self, records: Arc<Records>) -> Config {
            self.records = Some(records);
            self
        }

        /// Takes from the command line where it listens, what it serves and whom it tells.
        pub fn common_arguments(
            mut self,
            arguments: &mut $crate::cli::Arguments,
        ) -> Result<Config, $crate::cli::Error> {
            if let Some(address) = arguments.value::<String>("--listen")? {
                self = self.listen(address);
            }
            if let Some(domain) = arguments.value::<String>("--failure-domain")? {
                self = self.failure_domain(domain);
            }
            if let Some(incarnation) = arguments.value("--incarnation")? {
                self = self.incarnation(incarnation);
            }
            for service in arguments.list("--service")? {
                self = self.service(service);
            }
            for instance in arguments.list("--announce-to")? {
                self = self.announce_to(instance);
            }
            Ok(self.faults(arguments.faults()?))
        }
    };
}

/// Methods that the handles of all announcing stand-ins share.
macro_rules! shared_handle {
    () => {
        /// Returns how announcing went so far.
        pub fn announcement_status(&self) -> Status {
            self.announcer.status()
        }

        /// Replaces all fault switches.
        pub fn set_faults(&self, faults: Faults) {
            self.core.set_faults(faults);
        }

        /// Returns what it recorded.
        pub fn records(&self) -> Snapshot {
            self.core.snapshot()
        }

        /// Returns its records, to hand them on to its next incarnation.
        pub fn shared_records(&self) -> Arc<Records> {
            self.core.records.clone()
        }

        /// Returns whether it died or was stopped.
        pub fn is_stopped(&self) -> bool {
            self.core.control.stop.is_cancelled()
        }

        /// Returns the token that is cancelled when it dies or was stopped.
        pub fn stop_token(&self) -> CancellationToken {
            self.core.control.stop.clone()
        }

        /// Takes no new work from now on, and says so.
        pub fn leave(&self) {
            self.core.leave();
        }
    };
}

pub(crate) use {shared_handle, shared_setters};
