//! Records how fast servers work: by what they state in their responses, and by how fast their streams arrive.

use super::request::Call;
use super::stream::Part;
use super::{Shared, State, attempt};
use crate::dialect::Load;
use lovageplank_core::fleet::deployment::Deployment;
use lovageplank_core::fleet::dispatch::Dispatcher;
use lovageplank_core::prelude::*;
use lovageplank_process::clock;

/// Milliseconds that it may take to pass events on to the caller. If it takes longer, the caller reads slowly, and the
/// time between events says nothing of the server.
const BLOCKED_MS_MAX: Millis = 10;

/// Records what a server's response says of its load.
pub(super) fn record_load(shared: &Shared, server: &Name, incarnation: Option<u64>, load: Load) {
    let Some(incarnation) = incarnation else {
        return;
    };
    let figures = match load {
        Load::Stated(figures) => Some(figures),
        Load::None | Load::Unreadable => None,
    };
    let now = clock::boottime_ms();
    let mut state = shared.state();
    let is_used = state
        .dispatcher
        .load_stated(now, server, incarnation, figures);
    drop(state);
    let outcome = match (load, is_used) {
        (Load::None, _) => return,
        (Load::Unreadable, _) => "unreadable",
        (Load::Stated(_), false) => "implausible",
        (Load::Stated(_), true) => "used",
    };
    metrics::counter!("lovageplank_entry_server_load_total", "outcome" => outcome).increment(1);
    if !is_used {
        tracing::debug!(event = "server_load_ignored", %server, born_ms = incarnation, ?load);
    }
}

/// Tells the dispatcher which idle connections the request may use, where it counts.
pub(super) fn update_connections(shared: &Shared, state: &mut State, call: &Call, is_first: bool) {
    let now = clock::boottime_ms();
    if !state.dispatcher.uses_speed(now, &call.spec.service) {
        return;
    }
    let idle_ms = attempt::reuse_idle_ms(call, is_first);
    let addresses = match idle_ms {
        0 => BTreeSet::new(),
        idle_ms => shared.connection_pool.idle_addresses(idle_ms),
    };
    state.dispatcher.set_idle_connections(addresses);
}

/// Records that events of a part of a stream arrived together, and have been passed on to the caller.
pub(super) fn events_arrived(
    shared: &Shared,
    call: &Call,
    part: &mut Part<'_>,
    arrived_at: Millis,
    events: u64,
) {
    let blocked_ms = clock::boottime_ms().saturating_sub(arrived_at);
    if blocked_ms > BLOCKED_MS_MAX {
        return part.timer.interrupted();
    }
    if events == 0 {
        return;
    }
    let events = u32::try_from(events).unwrap_or(u32::MAX);
    let interval_ms = part.timer.arrived(arrived_at, events);
    let (Some(interval_ms), Some(incarnation)) = (interval_ms, part.running.incarnation) else {
        return;
    };
    let model = call.spec.model.as_ref();
    let mut state = shared.state();
    state
        .dispatcher
        .events_paced(arrived_at, &part.target.id, incarnation, model, interval_ms);
}

/// Measures the slowness of the servers of each service where it is known.
pub(super) fn record_slowness(now: Millis, dispatcher: &Dispatcher, deployment: &Deployment) {
    for service in deployment.services.keys() {
        let slowness = dispatcher.slowness_of(now, service);
        let (Some(fastest), Some(slowest)) = (slowness.first(), slowness.last()) else {
            continue;
        };
        let median = slowness[slowness.len() / 2];
        for (of, value) in [
            ("fastest", *fastest),
            ("median", median),
            ("slowest", *slowest),
        ] {
            metrics::gauge!("lovageplank_entry_server_slowness", "service" => service.to_string(), "of" => of)
                .set(value);
        }
    }
}
