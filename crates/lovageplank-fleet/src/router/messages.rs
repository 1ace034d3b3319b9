//! Messages of control processes to a router.

use super::{Shared, place, quota};
use crate::decode;
use lovageplank_core::fleet::document::Document;
use lovageplank_core::fleet::message::Message;
use lovageplank_core::fleet::patch::Patch;
use lovageplank_core::fleet::quarantine::Fit;
use lovageplank_core::fleet::registry::Change;
use lovageplank_core::prelude::*;
use lovageplank_process::clock;

/// Handles a message that arrived on a link.
pub(super) fn handle(shared: &Arc<Shared>, link: u64, message: Message) {
    let now = clock::boottime_ms();
    match message {
        Message::Document(document) => apply_document(shared, &document),
        Message::DocumentPatch(patch) => apply_patch(shared, link, &patch),
        Message::Bundle(bundle) => match bundle.messages() {
            Ok(messages) => messages.into_iter().for_each(|m| handle(shared, link, m)),
            Err(error) => tracing::error!(event = "bundle_unreadable", link, %error),
        },
        Message::ServerAnnounced(announcement) => {
            let change = shared.state().dispatcher.observe(now, *announcement);
            if matches!(change, Change::New | Change::Moved) {
                shared.wake_waiting();
            }
        }
        Message::ServerGone {
            server,
            incarnation,
            number,
        } => {
            let dispatcher = &mut shared.state().dispatcher;
            dispatcher.mark_gone(now, &server, incarnation, number);
        }
        Message::LoadedModels { term, engines } => {
            let dispatcher = &mut shared.state().dispatcher;
            let must_report = dispatcher.update_loaded_models(term, engines);
            shared.wake_waiting();
            // The leader unloads a model only after the routers have reported the requests that
            // still use it.
            if must_report {
                shared.urgent_report.notify_one();
            }
        }
        Message::Totals { .. } | Message::TotalsChanged { .. } => update_totals(shared, message),
        Message::AdmittedVersions(admitted) => {
            let mut state = shared.state();
            let changed = state.dispatcher.streams_mut().update(now, admitted);
            shared.notify_leader(&state);
            drop(state);
            if changed {
                shared.wake_waiting();
            }
        }
        Message::BrittleServers(statements) => {
            let mut state = shared.state();
            state.dispatcher.brittleness_relayed(now, &statements);
        }
        Message::ServerSpeeds(relay) => {
            shared.state().dispatcher.speeds_relayed(now, &relay);
        }
        Message::HeldKeys(_) | Message::HeldKeysChanged(_) => hold_keys(shared, link, message),
        Message::Routers(routers) => shared.state().directory.replace_list(link, routers),
        Message::Router(router) => shared.state().directory.update(link, router),
        Message::RouterDisconnected(instance) => shared.state().directory.remove(link, &instance),
        Message::LiveServers(servers) => shared.state().dispatcher.renew_liveness(now, &servers),
        Message::OriginAnswer { .. }
        | Message::RetryPermitGrant { .. }
        | Message::ServerPermitGrant { .. }
        | Message::TrialAnswer { .. }
        | Message::QuotaAnswer(_)
        | Message::PlaceAnswer { .. } => handle_answer(shared, message),
        Message::AppliedVersion(_)
        | Message::PatchRefused(_)
        | Message::HeldKeysWanted
        | Message::StoreLoads(_)
        | Message::LoadReport { .. }
        | Message::SpeedReport(_)
        | Message::RetryPermitRequest { .. }
        | Message::ServerLimit(_)
        | Message::ServerBrittle(_)
        | Message::PlaceRequest(_)
        | Message::PlaceUsage(_)
        | Message::QuotaAsk(_)
        | Message::StreamsBegun(_)
        | Message::ServerLeaving { .. }
        | Message::OriginQuestion(_)
        | Message::ServerEnded(_)
        | Message::RequestsBegun { .. }
        | Message::TrialRequest(_)
        | Message::TrialOutcome { .. }
        | Message::ServerPermitRequest { .. } => {}
    }
}

/// Takes over the requests of all routers at each server, as the leader reports them, and decides again about requests
/// that wait for room.
fn update_totals(shared: &Shared, message: Message) {
    let now = clock::boottime_ms();
    let mut state = shared.state();
    let dispatcher = &mut state.dispatcher;
    match message {
        Message::Totals {
            requests,
            store_wait_ms,
            expected_waits,
            server_limits,
        } => {
            dispatcher.server_limits_relayed(now, &server_limits);
            dispatcher.update_totals(requests, store_wait_ms);
            dispatcher.update_expected_waits(now, expected_waits);
        }
        Message::TotalsChanged {
            requests,
            store_wait_ms,
            expected_waits,
            server_limits,
        } => {
            dispatcher.server_limits_relayed(now, &server_limits);
            dispatcher.change_totals(&requests, store_wait_ms);
            if let Some(expected_waits) = expected_waits {
                dispatcher.update_expected_waits(now, expected_waits);
            }
        }
        _ => return,
    }
    state.wake_queue();
}

/// Handles the leader's answer to a question of this router, and wakes the requests that wait for it.
fn handle_answer(shared: &Arc<Shared>, message: Message) {
    let now = clock::boottime_ms();
    if let Message::PlaceAnswer { number, answer } = message {
        return place::answered(shared, number, &answer);
    }
    if let Message::QuotaAnswer(answer) = message {
        return quota::answered(shared, &answer);
    }
    let mut state = shared.state();
    match message {
        Message::OriginAnswer { number, answer } => {
            state.dispatcher.streams_mut().answered(number, answer);
        }
        Message::RetryPermitGrant { service, grant } => {
            state.dispatcher.retries_granted(now, &service, &grant);
        }
        Message::ServerPermitGrant { server, grant } => {
            state.dispatcher.requests_granted(now, &server, &grant);
        }
        Message::TrialAnswer { number, answer } => {
            state.gate.answered(now, number, answer);
            shared.notify_leader(&state);
        }
        _ => return,
    }
    drop(state);
    shared.wake_waiting();
}

/// Holds the keys that the leader relays. If changes before this one are missing, asks for all of them.
fn hold_keys(shared: &Shared, link: u64, message: Message) {
    let now = clock::boottime_ms();
    let mut state = shared.state();
    match message {
        Message::HeldKeys(list) => state.gate.update(now, &list),
        Message::HeldKeysChanged(change) if state.gate.change(now, &change) == Fit::Gap => {
            state.answers.push((link, Message::HeldKeysWanted));
            shared.leader_messages.notify_one();
        }
        _ => {}
    }
    shared.notify_leader(&state);
    drop(state);
    shared.wake_waiting();
}

/// Applies a document if its version is higher than that of the document this router uses now.
fn apply_document(shared: &Shared, document: &Document) {
    if document.version <= shared.document_version() {
        return;
    }
    match document.bytes() {
        Ok(bytes) => apply_bytes(shared, document.version, bytes),
        Err(error) => decode::log_unreadable(document.version, &error),
    }
}

/// Applies what has changed since the document that this router uses now; if that is of another version, asks for the
/// whole document.
fn apply_patch(shared: &Shared, link: u64, patch: &Patch) {
    let known_version = shared.document_version();
    if patch.version <= known_version {
        return;
    }
    let known = shared.state().document.clone();
    let patched = known
        .filter(|_| patch.base == known_version)
        .map(|known| patch.apply(&known));
    match patched {
        Some(Ok(bytes)) => apply_bytes(shared, patch.version, bytes),
        other => {
            let error = other.and_then(Result::err).map(|error| error.to_string());
            tracing::info!(
                event = "patch_refused",
                link,
                base = patch.base,
                version = patch.version,
                known_version,
                error
            );
            let answer = (link, Message::PatchRefused(known_version));
            shared.state().answers.push(answer);
            shared.leader_messages.notify_one();
        }
    }
}

fn apply_bytes(shared: &Shared, version: u64, bytes: Vec<u8>) {
    let Some(deployment) = decode::parse(&*shared.dialect, version, &bytes) else {
        return;
    };
    let routes = deployment.route_count();
    tracing::info!(event = "document_in_force", version, routes);
    let mut state = shared.state();
    state.tenant_labels.update(&deployment.tenants);
    state.deployment = Some(Arc::new(deployment));
    state.document = Some(bytes.into());
    drop(state);
    shared.wake_waiting();
}
