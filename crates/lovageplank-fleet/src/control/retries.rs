//! Permits for retries, which are in the replicated log before a router gets them.

use super::content::Content;
use super::state::State;
use lovageplank_core::fleet::message::Message;
use lovageplank_core::fleet::permit::{Grant, Request};
use lovageplank_core::fleet::retry_budget::{Decision, Reservation};
use lovageplank_core::prelude::*;
use lovageplank_process::clock;

impl State {
    /// Decides about a router's request for permits. Returns what is to be proposed so that it gets some. A
    /// leader that hasn't applied the entries of earlier ones doesn't answer.
    pub(super) fn ask_for_retry_permits(
        &mut self,
        link: u64,
        service: Name,
        request: &Request,
    ) -> Option<Content> {
        if !self.has_current_log() {
            return None;
        }
        let (now, ticket) = (clock::boottime_ms(), rand::random());
        match self.retry_permits.ask(now, &service, request, link, ticket) {
            Decision::Reserve(reservation) => Some(Content {
                reserved: vec![reservation],
                ..Content::default()
            }),
            Decision::Deny(grant) => {
                self.answer_retry_permits(link, service, grant);
                None
            }
        }
    }

    /// Counts replicated permits, and sends them to the routers that asked this leader for them.
    pub(super) fn apply_reservations(&mut self, reservations: &[Reservation]) {
        for reservation in reservations {
            let now = clock::boottime_ms();
            if let Some((link, grant)) = self.retry_permits.apply(now, reservation) {
                self.answer_retry_permits(link, reservation.service.clone(), grant);
            }
        }
    }

    fn answer_retry_permits(&self, link: u64, service: Name, grant: Grant) {
        let instance = self.routers.name(link);
        tracing::info!(event = "retry_permits", %service, ?instance, permits = grant.permits, again_ms = grant.retry_after_ms);
        self.routers
            .send(link, Message::RetryPermitGrant { service, grant });
    }
}
