//! Holds back requests under which servers end, and finds out whether a server has ended.

use super::Shared;
use super::call::History;
use super::refusal::{Cause, Refusal};
use super::request::Call;
use lovageplank_core::fleet::dispatch::Target;
use lovageplank_core::fleet::quarantine::Check;
use lovageplank_core::prelude::*;
use lovageplank_process::clock;
use std::io;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::time::timeout;

/// Milliseconds that a request waits for a trial of another one, or for the leader's response.
const WAIT_MS: u64 = 1_000;
/// Milliseconds after which it is checked again whether a request may be sent.
const RECHECK_MS: u64 = 20;
/// Milliseconds after which the caller may retry a request that has waited for a trial in vain.
const SUSPECTED_RETRY_AFTER_MS: u64 = 1_000;
/// Milliseconds to open a connection to a server that may have ended.
const CONNECT_TIMEOUT_MS: u64 = 300;
/// Milliseconds for which a connection must stay open to show that the server runs. A process that
/// is ending may close its listener after its connections.
const OPEN_MS: u64 = 25;
/// Connections that are tried to find out whether a server has ended.
const CONNECTIONS: u32 = 3;
/// Other servers that are tried to find out whether the router is cut off.
const OTHERS: usize = 3;

/// A trial, or the question to the leader for one. The outcome is reported when the request has begun,
/// at the latest when this value is dropped.
pub(super) struct Trial {
    shared: Arc<Shared>,
    number: Option<u64>,
}

impl Trial {
    /// Reports that the request has begun to be answered.
    pub(super) fn begun(&self) {
        self.finish(true);
    }

    fn finish(&self, begun: bool) {
        if let Some(number) = self.number {
            let mut state = self.shared.state();
            state.gate.finish_trial(number, begun);
            self.shared.notify_leader(&state);
        }
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.finish(false);
    }
}

/// Refuses a request that has a quarantined key.
pub(super) fn check(shared: &Shared, call: &Call, history: &History) -> Result<(), Refusal> {
    if shared.state().gate.is_open() {
        return Ok(());
    }
    let (now, keys) = (clock::boottime_ms(), call.keys(&*shared.dialect));
    let gate = &shared.state().gate;
    match gate.refused_for_ms(now, &call.spec.service, keys) {
        Some(retry_after_ms) => Err(history.refusal(Cause::Quarantined, retry_after_ms)),
        None => Ok(()),
    }
}

/// Waits until a request may be sent. If it is a trial then, the history has it.
pub(super) async fn admit(
    shared: &Arc<Shared>,
    call: &Call,
    history: &mut History,
) -> Result<(), Refusal> {
    // Another trial of this request would be waited for.
    history.trial = None;
    if shared.state().gate.is_open() && !history.ended_server {
        return Ok(());
    }
    let keys = call.keys(&*shared.dialect);
    let mut trial = Trial {
        shared: shared.clone(),
        number: None,
    };
    let mut changes = shared.state_changes.subscribe();
    let give_up_at = (clock::boottime_ms() + WAIT_MS).min(call.spec.start_by);
    loop {
        let now = clock::boottime_ms();
        let check = {
            let mut state = shared.state();
            let (service, ended) = (&call.spec.service, history.ended_server);
            let ask = &mut trial.number;
            let check = state.gate.check(now, service, keys, ended, ask);
            shared.notify_leader(&state);
            check
        };
        match check {
            Check::Free => return Ok(()),
            Check::Trial => {
                history.trial = Some(Arc::new(trial));
                return Ok(());
            }
            Check::Refuse { retry_after_ms } => {
                return Err(history.refusal(Cause::Quarantined, retry_after_ms));
            }
            Check::Wait if now >= give_up_at => {
                let retry_after_ms = SUSPECTED_RETRY_AFTER_MS;
                return Err(history.refusal(Cause::Suspected, retry_after_ms));
            }
            Check::Wait => {}
        }
        let recheck = Duration::from_millis(RECHECK_MS);
        // A change and the timeout both lead to another check.
        let _ = timeout(recheck, changes.changed()).await;
    }
}

/// Finds out whether a server ended before it began to answer a request, and reports it to the leader
/// if so. The report is made also if the caller leaves meanwhile, or its time is over.
pub(super) async fn examine(
    shared: &Arc<Shared>,
    call: &Arc<Call>,
    broken: &Broken,
    history: &mut History,
) {
    let (shared, request, broken) = (shared.clone(), call.clone(), broken.clone());
    // The trial lasts until its outcome is known.
    let trial = history.trial.clone();
    let examination = tokio::spawn(async move {
        let has_ended = has_ended(&shared, &request.spec.service, &broken.server.address).await;
        let (id, server) = (&request.id, &broken.server.id);
        tracing::info!(event = "examined", %id, %server, has_ended);
        if let Some(incarnation) = broken.incarnation.filter(|_| has_ended) {
            let (now, server) = (clock::boottime_ms(), server.clone());
            let keys = request.keys(&*shared.dialect);
            let mut state = shared.state();
            let gate = &mut state.gate;
            gate.server_ended(now, server, incarnation, &request.spec.service, keys);
            shared.notify_leader(&state);
        }
        drop(trial);
        has_ended
    });
    let examined = timeout(call.time_left(), examination).await;
    history.ended_server |= matches!(examined, Ok(Ok(true)));
}

/// The server of an attempt that broke off.
#[derive(Clone)]
pub(super) struct Broken {
    pub(super) server: Target,
    /// Its incarnation, if it is known.
    pub(super) incarnation: Option<u64>,
}

/// Whether no process listens at an address any more. If no other server of its service can be reached
/// either, nothing says so: it may be this router that is cut off.
async fn has_ended(shared: &Shared, service: &Name, address: &Name) -> bool {
    refuses_connections(shared, address).await && reaches_another(shared, service, address).await
}

/// Whether one of some other servers of the service can be reached; true if there is no other.
async fn reaches_another(shared: &Shared, service: &Name, address: &Name) -> bool {
    let others = shared.random_servers(service, Some(address), OTHERS);
    let is_alone = others.is_empty();
    for other in others {
        if shared.can_connect(service, &other).await {
            return true;
        }
    }
    is_alone
}

async fn refuses_connections(shared: &Shared, address: &str) -> bool {
    for _ in 0..CONNECTIONS {
        let connect = shared.connection_pool.dial().dial(address);
        match timeout(Duration::from_millis(CONNECT_TIMEOUT_MS), connect).await {
            Ok(Ok(mut connection)) => {
                let closed = connection.read_u8();
                let is_open = timeout(Duration::from_millis(OPEN_MS), closed)
                    .await
                    .is_err();
                if is_open {
                    return false;
                }
            }
            Ok(Err(error)) => return error.kind() == io::ErrorKind::ConnectionRefused,
            // Nothing says that it has ended.
            Err(_) => return false,
        }
    }
    false
}
