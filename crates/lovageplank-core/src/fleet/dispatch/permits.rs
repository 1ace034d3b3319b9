//! What a router asks of the leader: permits for retries beyond the ratio of its requests and for requests to
//! servers that have named a limit, and where streams began. What it tells all control processes, so that any
//! of them can lead later.

use super::{Dispatcher, leaving};
use crate::fleet::message::Message;
use crate::fleet::permit;
use crate::fleet::retry_budget::{RetryBudget, Usage};
use crate::fleet::server_limit::Statement;
use crate::prelude::*;

impl Dispatcher {
    /// Records the first attempt of a request to a service.
    pub fn record_request(&mut self, now: Millis, service: &Name) {
        self.retry_budget(service).record_request(now);
    }

    /// Returns whether this router may retry a request now, and records the retry if so.
    pub fn try_retry(&mut self, now: Millis, service: &Name) -> permit::Answer {
        self.retry_budget(service).try_retry(now)
    }

    /// Whether [`take_leader_messages`](Dispatcher::take_leader_messages) has any.
    pub fn has_leader_messages(&self, now: Millis) -> bool {
        let mut budgets = self.retry_budgets.values();
        budgets.any(RetryBudget::asks_for_permits)
            || self.server_limits.has_messages()
            || self.has_place_messages()
            || self.streams.has_questions(now)
    }

    /// Returns the requests for permits, reports of servers' limits and questions about streams that are
    /// to be sent to the leader.
    pub fn take_leader_messages(&mut self, now: Millis) -> Vec<Message> {
        let budgets = self.retry_budgets.iter_mut();
        let requests = budgets.filter_map(|(service, budget)| {
            let service = service.clone();
            let request = budget.take_permit_request()?;
            Some(Message::RetryPermitRequest { service, request })
        });
        let mut messages: Vec<Message> = requests.collect();
        messages.extend(self.server_limits.take_messages(now));
        messages.extend(self.take_place_messages(now));
        messages.extend(self.streams.take_questions(now));
        messages
    }

    /// Whether [`take_records`](Dispatcher::take_records) has any.
    pub fn has_records(&self) -> bool {
        self.streams.has_records() || !self.unreported_leaving.is_empty()
    }

    /// Returns the records of streams and of servers that leave, which are to be sent to all control processes.
    pub fn take_records(&mut self) -> Vec<Message> {
        let mut messages = std::mem::take(&mut self.unreported_leaving);
        messages.extend(self.streams.take_records());
        messages
    }

    /// Returns all such records that still count, for a control process that has just connected.
    pub fn all_records(&self, now: Millis) -> Vec<Message> {
        let servers = self.registry.leaving();
        let mut messages: Vec<Message> = servers
            .map(|(id, incarnation)| leaving(id, incarnation))
            .collect();
        messages.extend(self.streams.all_records(now));
        messages
    }

    /// Records the leader's response to a request for permits for retries to a service.
    pub fn retries_granted(&mut self, now: Millis, service: &Name, grant: &permit::Grant) {
        self.retry_budget(service).permits_granted(now, grant);
    }

    /// Records the leader's response to a request for permits for requests to a server.
    pub fn requests_granted(&mut self, now: Millis, server: &Name, grant: &permit::Grant) {
        self.server_limits.granted(now, server, grant);
    }

    /// Records what servers have stated of the requests that they take, as the leader relays it.
    pub fn server_limits_relayed(&mut self, now: Millis, statements: &[Statement]) {
        self.server_limits.relayed(now, statements);
    }

    /// Returns the requests and retries that this router has sent to a service in the window.
    pub fn retry_usage(&mut self, now: Millis, service: &Name) -> Usage {
        self.retry_budget(service).usage(now)
    }

    /// Records the limit that a server has named in a response, or that it named none. Returns
    /// whether its limit has changed.
    pub fn server_limit_stated(
        &mut self,
        now: Millis,
        id: &Name,
        limit: Option<permit::Rate>,
    ) -> bool {
        self.server_limits.stated(now, id, limit)
    }

    fn retry_budget(&mut self, service: &Name) -> &mut RetryBudget {
        let retry_limit = &self.retry_limit;
        self.retry_budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(retry_limit.clone()))
    }
}
