//! Settings and methods that the stand-ins for engines and plain services share.

/// Setters that the settings of all stand-ins with announcements share.
macro_rules! shared_setters {
    () => {
        /// Sets the address to bind; port 0 selects a free port.
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

        /// Adds the name of a service that the stand-in serves.
        #[must_use]
        pub fn service(mut self, name: impl Into<Name>) -> Config {
            self.services.insert(name.into());
            self
        }

        /// Adds the address (`ip:port`) of an instance to announce to.
        #[must_use]
        pub fn announce_to(mut self, address: impl Into<String>) -> Config {
            self.announce_to.push(address.into());
            self
        }

        /// Sets the incarnation; if not set, it is the start time in Unix milliseconds.
        #[must_use]
        pub fn incarnation(mut self, incarnation: u64) -> Config {
            self.incarnation = Some(incarnation);
            self
        }

        /// Sets the interval between load reports in milliseconds, at least 1.
        #[must_use]
        pub fn report_ms(mut self, interval: u64) -> Config {
            self.report_ms = interval.max(1);
            self
        }

        /// Sets the faults that are active at the start.
        #[must_use]
        pub fn faults(mut self, faults: Faults) -> Config {
            self.faults = faults;
            self
        }

        /// Sets records to continue, for example those of an earlier incarnation.
        #[must_use]
        pub fn records(mut self, records: Arc<Records>) -> Config {
            self.records = Some(records);
            self
        }

        /// Takes the flags that all stand-ins with announcements share from the command line.
        ///
        /// Errors: a flag's value is missing or invalid.
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

/// Methods that the handles of all stand-ins with announcements share.
macro_rules! shared_handle {
    () => {
        /// Returns the results of the announcements so far.
        pub fn announcement_status(&self) -> Status {
            self.announcer.status()
        }

        /// Replaces all faults.
        pub fn set_faults(&self, faults: Faults) {
            self.core.set_faults(faults);
        }

        /// Returns a snapshot of the records.
        pub fn records(&self) -> Snapshot {
            self.core.snapshot()
        }

        /// Returns the shared records, so that the next incarnation can continue them.
        pub fn shared_records(&self) -> Arc<Records> {
            self.core.records.clone()
        }

        /// Returns whether the stand-in crashed or was stopped.
        pub fn is_stopped(&self) -> bool {
            self.core.control.stop.is_cancelled()
        }

        /// Returns the token that is cancelled when the stand-in crashes or is stopped.
        pub fn stop_token(&self) -> CancellationToken {
            self.core.control.stop.clone()
        }

        /// Refuses new requests from now on and announces the state `leaving`.
        pub fn leave(&self) {
            self.core.leave();
        }
    };
}

pub(crate) use {shared_handle, shared_setters};
