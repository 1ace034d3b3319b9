//! Requests that wait at this router because the servers that could run them are full: their turns, and who wakes them.
//!
//! The order is decided by [`core::fleet::admission`](lovageplank_core::fleet::admission). The requests whose turn it is
//! are woken, in order, when a request of this router ends, when the leader's totals arrive, and when one of them is
//! sent, refused, or left by its caller.

use super::request::Call;
use super::{Shared, State};
use lovageplank_core::fleet::admission::Outlook;
use lovageplank_core::fleet::dispatch::{Decision, Turn};
use lovageplank_core::fleet::request::Rank;
use lovageplank_core::prelude::*;
use lovageplank_process::clock;
use std::time::Duration;
use tokio::sync::{Notify, watch};

impl State {
    /// Wakes the requests that wait for room and whose turn it is, in order.
    pub(super) fn wake_queue(&self) {
        if self.turns.is_empty() {
            return;
        }
        for ticket in self.dispatcher.queue_heads(clock::boottime_ms()) {
            if let Some(wake) = self.turns.get(&ticket) {
                wake.notify_one();
            }
        }
    }
}

/// The turn of a request while a server is selected for it. It leaves the queue when this value is dropped.
pub(super) struct Queued {
    shared: Arc<Shared>,
    call: Arc<Call>,
    turn: Turn,
    wake: Arc<Notify>,
    /// Its ticket in [`State::turns`], and when it got it.
    registered: Option<(u64, Millis)>,
}

impl Queued {
    /// The turn of a request that doesn't wait.
    pub(super) fn new(shared: &Arc<Shared>, call: &Arc<Call>) -> Queued {
        Queued {
            shared: shared.clone(),
            call: call.clone(),
            turn: Turn::new(call.body.len()),
            wake: Arc::default(),
            registered: None,
        }
    }

    /// The turn, for the next decision.
    pub(super) fn turn(&mut self) -> &mut Turn {
        &mut self.turn
    }

    /// Whether the request waits for room.
    pub(super) fn is_waiting(&self) -> bool {
        self.registered.is_some()
    }

    /// Records a decision.
    pub(super) fn decided(&mut self, state: &mut State, decision: &Decision) {
        let (waited, spec) = (self.is_waiting(), &self.call.spec);
        let outcome = match decision {
            Decision::Send(_) | Decision::Reserve { .. } if waited => Some("sent_later"),
            Decision::Send(_) | Decision::Reserve { .. } => Some("sent"),
            Decision::Refuse { .. } => Some("refused"),
            Decision::Wait => None,
        };
        let is_on = state.dispatcher.admits_by_rank();
        if let Some(outcome) = outcome.filter(|_| is_on) {
            count(spec.rank, outcome);
        }
        self.register(state);
    }

    /// Waits until it is the request's turn or the servers have changed, at most for some time.
    pub(super) async fn woken(&self, changes: &mut watch::Receiver<u64>, limit: Duration) {
        // Each of them leads to another decision.
        tokio::select! {
            () = self.wake.notified() => {}
            _ = changes.changed() => {}
            () = tokio::time::sleep(limit) => {}
        }
    }

    /// Has the request woken if it waits, and those behind it if it doesn't any more.
    fn register(&mut self, state: &mut State) {
        let ticket = self.turn.ticket();
        if ticket == self.registered.map(|(known, _)| known) {
            return;
        }
        let waiting =
            metrics::gauge!("lovageplank_entry_waiting", "rank" => label(self.call.spec.rank));
        if let Some((known, at)) = self.registered.take() {
            state.turns.remove(&known);
            waiting.decrement(1.0);
            let waited_ms = clock::boottime_ms().saturating_sub(at);
            metrics::histogram!("lovageplank_entry_waiting_seconds")
                .record(Duration::from_millis(waited_ms));
            state.wake_queue();
        }
        if let Some(ticket) = ticket {
            let outlook = self.turn.outlook();
            tracing::info!(event = "queued", id = %self.call.id, service = %self.call.spec.service, model = self.call.spec.model.as_deref(),
                admission = outlook.map(|outlook| text(&outlook)));
            state.turns.insert(ticket, self.wake.clone());
            waiting.increment(1.0);
            self.registered = Some((ticket, clock::boottime_ms()));
        }
    }
}

impl Drop for Queued {
    fn drop(&mut self) {
        if !self.is_waiting() {
            return;
        }
        // Its caller has left, or its time has run out.
        count(self.call.spec.rank, "left");
        let shared = self.shared.clone();
        let mut state = shared.state();
        let now = clock::boottime_ms();
        state
            .dispatcher
            .leave_queue(now, &self.call.spec, &mut self.turn);
        self.register(&mut state);
    }
}

/// What a request that found no room was told, for logs.
pub(super) fn text(outlook: &Outlook) -> String {
    let Outlook {
        level,
        is_starved,
        ahead,
        expected_ms,
    } = outlook;
    format!(
        "rank={} over={} starved={is_starved} ahead={ahead} expected_ms={expected_ms}",
        label(level.rank),
        level.is_over
    )
}

fn count(rank: Rank, outcome: &'static str) {
    metrics::counter!("lovageplank_entry_admission_total", "rank" => label(rank), "outcome" => outcome)
        .increment(1);
}

/// The tenant's priority and the route's.
fn label(rank: Rank) -> String {
    format!("{}.{}", rank.tenant, rank.route)
}
