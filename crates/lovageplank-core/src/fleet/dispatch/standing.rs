//! Whether a server may get a request now, and why not.
//!
//! Every request, first attempt or not, passes these checks: before its server is selected, and again before
//! it is sent if it had to wait in between. What holds a request back wherever it goes, such as the verdicts
//! of [`quarantine`](crate::fleet::quarantine) and the retry budget, is checked before.

use super::{Dispatcher, RequestSpec, Software};
use crate::fleet::deployment::{Deployment, Service};
use crate::fleet::registry::{Server, Stage};
use crate::fleet::selection;
use crate::prelude::*;

record! { copy =>
    /// Why a server may not get a request now.
    pub enum Bar {
        /// It has left, or has said that it leaves.
        Leaving,
        /// The request may not run at the version of its software.
        Version,
        /// It doesn't have the model.
        NotLoaded,
        /// It has the model, and not the adapter.
        AdapterNotLoaded,
        /// It has just refused a request for the model or adapter.
        ModelRefused,
        /// It has asked this router for a pause.
        Paused,
        /// The request was sent to it before, or it couldn't be reached for it.
        Tried,
        /// It has as many requests as the limit per slot allows.
        Full,
        /// It has named a limit, and it isn't its time for another request.
        Limited,
    }
}

impl Bar {
    /// Those that keep all requests from a server.
    pub const OF_SERVERS: [Bar; 4] = [Bar::Leaving, Bar::Paused, Bar::Full, Bar::Limited];

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Bar::Leaving => "leaving",
            Bar::Version => "version",
            Bar::NotLoaded => "not_loaded",
            Bar::AdapterNotLoaded => "adapter_not_loaded",
            Bar::ModelRefused => "model_refused",
            Bar::Paused => "paused",
            Bar::Tried => "tried",
            Bar::Full => "full",
            Bar::Limited => "limited",
        }
    }
}

impl Dispatcher {
    /// Why the server may not get the request now; `None` if it may, or isn't known. Its load and its limit
    /// are left out: they are checked when it is selected.
    pub fn bar(&self, now: Millis, request: &RequestSpec, id: &str, tried: &[Name]) -> Option<Bar> {
        let server = self.registry.get(id)?;
        self.check(now, request, server, tried).err()
    }

    /// Why each server of the request's service may not get it now; servers that may are left out.
    pub fn bars(
        &self,
        now: Millis,
        deployment: &Deployment,
        request: &RequestSpec,
        tried: &[Name],
    ) -> Vec<(Name, Bar)> {
        let Some(service) = deployment.services.get(&request.service) else {
            return Vec::new();
        };
        let servers = self.servers_of(&request.service);
        let barred = servers.filter_map(|server| {
            let bar = match self.check(now, request, server, tried) {
                Err(bar) => Some(bar),
                Ok(()) => self.bar_by_load(now, service, server),
            };
            Some((server.announcement.id.clone(), bar?))
        });
        barred.collect()
    }

    /// Numbers of servers that may get no request at all now, by the reason.
    pub fn closed_servers(&self, now: Millis, deployment: &Deployment) -> BTreeMap<Bar, u32> {
        let mut closed = BTreeMap::from(Bar::OF_SERVERS.map(|bar| (bar, 0)));
        for server in self.registry.iter() {
            let service = deployment.services.get(&server.announcement.service);
            let bar = match self.check_server(now, server) {
                Err(bar) => Some(bar),
                Ok(()) => service.and_then(|service| self.bar_by_load(now, service, server)),
            };
            if let Some(count) = bar.and_then(|bar| closed.get_mut(&bar)) {
                *count += 1;
            }
        }
        closed
    }

    /// Servers that could run the request now.
    pub(super) fn eligible_servers(
        &self,
        now: Millis,
        request: &RequestSpec,
        tried: &[Name],
    ) -> Vec<&Server> {
        self.servers_of(&request.service)
            .filter(|server| self.check(now, request, server, tried).is_ok())
            .collect()
    }

    /// Milliseconds until the first pause ends, if nothing but pauses keeps the request from all servers that
    /// could run it.
    pub(super) fn paused_for_ms(
        &self,
        now: Millis,
        request: &RequestSpec,
        tried: &[Name],
    ) -> Option<u64> {
        let mut first_end_ms = None;
        for server in self.servers_of(&request.service) {
            match self.check(now, request, server, tried) {
                // It may get the request as soon as its caller sends it again.
                Ok(()) | Err(Bar::Tried) => return None,
                Err(Bar::Paused) => {
                    let ms = self.pause_ms(now, server);
                    first_end_ms = Some(first_end_ms.map_or(ms, |first: u64| first.min(ms)));
                }
                Err(_) => {}
            }
        }
        first_end_ms
    }

    /// Whether the request may run at the version of the server's software.
    pub(super) fn runs_version_for(&self, request: &RequestSpec, server: &Server) -> bool {
        let software = &server.announcement.software;
        match &request.software {
            Software::Any => true,
            Software::Admitted => self.streams.admitted().contains(&request.service, software),
            Software::Only(only) => only == software,
        }
    }

    /// Checks what holds for the server and the request, in the order of what lasts longest. A server that was
    /// tried and pauses counts as one that pauses.
    fn check(
        &self,
        now: Millis,
        request: &RequestSpec,
        server: &Server,
        tried: &[Name],
    ) -> Result<(), Bar> {
        let closed = self.check_server(now, server);
        if closed == Err(Bar::Leaving) {
            return closed;
        }
        if !self.runs_version_for(request, server) {
            return Err(Bar::Version);
        }
        self.check_model(now, request, server)?;
        closed?;
        if tried.contains(&server.announcement.id) {
            return Err(Bar::Tried);
        }
        Ok(())
    }

    /// Checks what holds for all requests alike.
    fn check_server(&self, now: Millis, server: &Server) -> Result<(), Bar> {
        if server.announcement.stage != Stage::Ready {
            return Err(Bar::Leaving);
        }
        if self.pause_ms(now, server) > 0 {
            return Err(Bar::Paused);
        }
        Ok(())
    }

    fn check_model(&self, now: Millis, request: &RequestSpec, server: &Server) -> Result<(), Bar> {
        let Some(model) = &request.model else {
            return Ok(());
        };
        let key = (
            server.announcement.id.clone(),
            request.model.clone(),
            request.adapter.clone(),
        );
        let refused_until = self.refused_until.get(&key);
        if refused_until.is_some_and(|until| now < *until) {
            return Err(Bar::ModelRefused);
        }
        let adapter = request.adapter.as_deref();
        let loaded = self.loaded_at(server);
        if selection::is_loaded(loaded, model, adapter) {
            Ok(())
        } else if selection::is_loaded(loaded, model, None) {
            Err(Bar::AdapterNotLoaded)
        } else {
            Err(Bar::NotLoaded)
        }
    }

    /// Why a server that could run a request may not get it because of what others have sent it.
    fn bar_by_load(&self, now: Millis, service: &Service, server: &Server) -> Option<Bar> {
        let id = &server.announcement.id;
        if !self.has_capacity(now, service, server) {
            return Some(Bar::Full);
        }
        let is_limited =
            self.server_limits.has_limit(now, id) && self.server_limits.retry_after_ms(now, id) > 0;
        is_limited.then_some(Bar::Limited)
    }

    fn servers_of<'a>(&'a self, service: &Name) -> impl Iterator<Item = &'a Server> + use<'a> {
        let service = service.clone();
        let servers = self.registry.iter();
        servers.filter(move |server| server.announcement.service == service)
    }

    fn pause_ms(&self, now: Millis, server: &Server) -> u64 {
        let announcement = &server.announcement;
        self.pauses
            .remaining_ms(now, &announcement.id, announcement.incarnation)
    }
}
