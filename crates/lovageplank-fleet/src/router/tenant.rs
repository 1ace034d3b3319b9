//! Whom requests come from: checks their keys, and counts requests by tenant.
//!
//! A key stays in the headers of its request, whose `Debug` output hides it; nothing else has it.

use super::call::History;
use super::refusal::{Cause, Refusal};
use super::request::Call;
use super::{Shared, State};
use hyper::header::HeaderMap;
use lovageplank_core::fleet::deployment::{Deployment, Route};
use lovageplank_core::fleet::tenant::{Credential, Sender};
use lovageplank_core::prelude::*;
use lovageplank_process::clock;

/// Milliseconds after which the caller may retry a request whose key this router can't rely on.
const UNCONFIRMED_RETRY_AFTER_MS: u64 = 1_000;

/// Finds out whom a request comes from, by a document. `id` is for the log.
pub(super) fn identify(
    shared: &Shared,
    deployment: &Deployment,
    route: &Route,
    headers: &HeaderMap,
    id: Option<&str>,
) -> Result<Sender, Refusal> {
    let tenants = &deployment.tenants;
    let credential = shared.dialect.credential(headers);
    let has_key = matches!(credential, Credential::Key(_));
    let version = deployment.version;
    if has_key && !tenants.is_empty() && !shared.state().relies_on_keys() {
        tracing::info!(event = "key_unconfirmed", id, route = %route.name, version);
        return Err((Cause::Unconfirmed, Some(UNCONFIRMED_RETRY_AFTER_MS)));
    }
    tenants
        .identify(credential, route.is_public)
        .map_err(|reason| {
            tracing::info!(event = "unauthorized", id, route = %route.name, key = reason.name(), version);
            (Cause::Unauthorized, None)
        })
}

/// Checks the key of a request again, by the document in force, and takes over whom the request comes from now. To
/// be called before each attempt, and whenever a waiting request is woken.
pub(super) fn check(
    shared: &Shared,
    call: &mut Arc<Call>,
    history: &History,
) -> Result<(), Refusal> {
    let Some(deployment) = shared.deployment() else {
        return Ok(());
    };
    let sender = identify(
        shared,
        &deployment,
        &call.route,
        &call.headers,
        Some(&call.id),
    );
    let sender = sender.map_err(|refusal| {
        if history.may_have_run.is_empty() {
            refusal
        } else {
            (Cause::Unknown, None)
        }
    })?;
    let rank = call.route.rank(sender.tenant().map(|tenant| &**tenant));
    let urgency = deployment.urgency(rank);
    if call.sender != sender || call.urgency != urgency {
        log_moved(call, &sender);
        let call = Arc::make_mut(call);
        call.spec.tenant = sender.tenant().cloned();
        call.spec.rank = rank;
        call.sender = sender;
        call.urgency = urgency;
    }
    Ok(())
}

/// Logs that a request that waits or is tried again belongs to another tenant now.
fn log_moved(call: &Call, sender: &Sender) {
    let name = |sender: &Sender| sender.tenant().map(|tenant| tenant.name.clone());
    let (before, now) = (name(&call.sender), name(sender));
    if before != now {
        tracing::info!(event = "tenant_changed", id = %call.id, before = before.as_deref(), tenant = now.as_deref());
    }
}

/// Counts a request of a document with tenants. One without a tenant has no label for it, nor has one that is refused
/// for its key.
pub(super) fn record(shared: &Shared, sender: &Sender, refused: Option<Cause>) {
    let (outcome, tenant) = match refused {
        Some(Cause::Unauthorized) => ("unauthorized", None),
        _ if *sender == Sender::Unchecked => return,
        Some(_) => ("refused", sender.tenant()),
        None => ("answered", sender.tenant()),
    };
    let label = tenant.map(|tenant| shared.state().tenant_label(&tenant.name));
    match label {
        Some(tenant) => {
            metrics::counter!("lovageplank_entry_tenant_requests_total", "tenant" => tenant, "outcome" => outcome)
                .increment(1);
        }
        None => {
            metrics::counter!("lovageplank_entry_tenant_requests_total", "outcome" => outcome)
                .increment(1);
        }
    }
}

impl State {
    /// Whether the keys of the document in force may be relied on.
    fn relies_on_keys(&self) -> bool {
        self.contact.is_current(clock::boottime_ms())
    }

    /// The label of a tenant in metrics.
    fn tenant_label(&self, name: &str) -> String {
        self.tenant_labels.of(name).to_owned()
    }
}
