//! Event loops of a control process: reports of the voter, events of router links, and a timer.
//!
//! The log events `entry_up` and `entry_down` are about links to routers; `entry_unreadable` is
//! about a log entry or a snapshot.

use super::Shared;
use super::content::Content;
use super::quarantine;
use super::servers::Source;
use crate::decode;
use crate::links::Dialer;
use lovageplank_control::voter::{Report, Request};
use lovageplank_core::consensus::{Entry, Payload, Role, Snapshot};
use lovageplank_core::fleet::document::Document;
use lovageplank_core::fleet::message::Message;
use lovageplank_core::fleet::placement::{Limits, Planner};
use lovageplank_core::fleet::registry::Change;
use lovageplank_core::prelude::*;
use lovageplank_process::{clock, link};
use lovageplank_wire::Frame;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// Milliseconds between two runs of the timer's work.
const TICK_INTERVAL_MS: u64 = 200;
/// Milliseconds that a new leader waits, in addition to `config::Control::stale_command_ms`, before
/// it sends commands to engines. This is a margin in case a command of the old leader arrives later
/// than that setting says. A leader of the first term doesn't wait, because no leader was before
/// it.
const STALE_COMMAND_MARGIN_MS: Millis = 500;
/// Milliseconds without an announcement after which a backend server is removed from the registry.
const SERVER_RETENTION_MS: Millis = 300_000;

/// Handles reports of the voter and new seeds until the voter ends.
pub(super) async fn voter_reports(
    shared: Arc<Shared>,
    reports: flume::Receiver<Report>,
    mut dialer: Dialer,
    seeds: flume::Receiver<Vec<SocketAddr>>,
) {
    loop {
        tokio::select! {
            report = reports.recv_async() => match report {
                Ok(report) => handle_report(&shared, &mut dialer, report),
                Err(flume::RecvError::Disconnected) => return,
            },
            Ok(seeds) = seeds.recv_async() => dialer.set_seeds(seeds),
        }
    }
}

fn handle_report(shared: &Shared, dialer: &mut Dialer, report: Report) {
    match report {
        Report::Apply(entry) => apply(shared, entry),
        Report::Restore(snapshot) => restore(shared, snapshot),
        Report::SnapshotDue => snapshot(shared),
        Report::Outcome {
            request_id: ticket,
            position: entry,
        } => {
            // `ticket` is the id of the proposal's request. `entry` is the proposal's log position,
            // or why the voter refused it.
            if let Err(reason) = &entry {
                tracing::info!(event = "not_proposed", ticket, ?reason);
            }
            shared.state().proposal_logged(ticket, entry.ok());
        }
        Report::Read {
            request_id,
            current,
        } => shared.state().finish_read(request_id, current),
        Report::Role { role, term, leader } => {
            let stale_command_wait_ms = shared.config.stale_command_ms + STALE_COMMAND_MARGIN_MS;
            let window_ms = shared.config.store_rate_window_ms;
            shared.state().set_role(role, term, leader, || {
                // Before the first term there was no leader whose commands could still arrive.
                let wait_ms = if term.0 <= 1 {
                    0
                } else {
                    stale_command_wait_ms
                };
                let limits = Limits {
                    window_ms,
                    ..Limits::default()
                };
                Planner::new(limits, clock::boottime_ms() + wait_ms)
            });
            if role == Role::Leader {
                shared.planner_wake.notify_one();
                shared.origins_wake.notify_one();
                shared.documents_wake.notify_one();
            }
        }
        Report::Members(membership) => {
            let mut state = shared.state();
            state.set_members(membership);
            let members = state.member_link_addresses();
            drop(state);
            // There is one list, that of this process.
            dialer.set_members(0, addresses(&members));
        }
        Report::Up(link) => shared.state().control_connected(link),
        Report::Down(link) => shared.state().control_disconnected(link),
        Report::Frame { link, frame } => handle_control_frame(shared, link, frame),
    }
}

fn addresses(members: &[Name]) -> Vec<SocketAddr> {
    members.iter().filter_map(|a| a.parse().ok()).collect()
}

fn apply(shared: &Shared, entry: Entry) {
    let content = match entry.payload {
        Payload::Data(data) => Content::decode(&data),
        Payload::Noop | Payload::Voters(_) => None,
    };
    let changed = shared.state().apply(entry.term, entry.index, content);
    if changed {
        publish_document(shared);
    }
}

fn restore(shared: &Shared, snapshot: Option<Snapshot>) {
    let Some(snapshot) = snapshot else {
        return;
    };
    let data = Some(&snapshot.data).filter(|data| !data.is_empty());
    let content = data.and_then(|data| Content::decode(data));
    let content = content.unwrap_or_default();
    let changed = shared.state().restore(snapshot.index, content);
    if changed {
        publish_document(shared);
    }
}

/// Decodes the document that came into force, and has it sent to routers.
fn publish_document(shared: &Shared) {
    let mut state = shared.state();
    let Some(document) = state.document_store.current().cloned() else {
        return;
    };
    let deployment = decode::deployment(&*shared.dialect, &document);
    if let Some(deployment) = deployment {
        state.set_deployment(deployment);
    }
    state.documents.in_force(&document);
    shared.documents_wake.notify_one();
    let bytes = document.compressed_bytes();
    tracing::info!(
        event = "document_in_force",
        version = document.version,
        bytes
    );
}

fn snapshot(shared: &Shared) {
    let mut state = shared.state();
    let document = state.document_store.current();
    let verdicts = state.quarantine.verdicts().to_vec();
    let admitted = state.origins.admitted().clone();
    let content = Content {
        document: document.map(|document| Document::clone(document)),
        verdicts: Some(verdicts).filter(|verdicts| !verdicts.is_empty()),
        admitted: Some(admitted).filter(|admitted| admitted.number > 0),
        begun: state.origins.snapshot(clock::boottime_ms()),
        reserved: state.retry_permits.snapshot(clock::boottime_ms()),
        quota: None,
        quota_counted: state.quota_snapshot(),
        sizes: Some(state.sizes.clone()).filter(|sizes| !sizes.is_empty()),
    };
    let index = state.applied;
    drop(state);
    let is_empty = content == Content::default();
    let data = if is_empty {
        Vec::new()
    } else {
        content.encode()
    };
    shared.send_to_voter(Request::Snapshot {
        index,
        data: data.into(),
    });
}

fn handle_control_frame(shared: &Shared, link: u64, frame: Frame) {
    if let Frame::Fleet(message) = frame {
        handle_control_message(shared, link, *message);
    }
}

fn handle_control_message(shared: &Shared, link: u64, message: Message) {
    if let Message::Bundle(bundle) = message {
        match bundle.messages() {
            Ok(messages) => {
                for message in messages {
                    handle_control_message(shared, link, message);
                }
            }
            Err(error) => tracing::error!(event = "bundle_unreadable", %error),
        }
        return;
    }
    let mut state = shared.state();
    match message {
        Message::ServerAnnounced(announcement) => {
            let change = state.observe_announcement(*announcement, Source::Relayed);
            if change == Change::New {
                shared.origins_wake.notify_one();
            }
        }
        Message::ServerGone {
            server,
            incarnation,
            number,
        } => {
            let departure = state.registry.departure(&server, incarnation, number);
            state.server_gone(server, departure, Source::Relayed);
        }
        Message::HeldKeys(list) => state.quarantine.store(list),
        Message::HeldKeysChanged(change) => state.held_keys_changed(link, &change),
        Message::HeldKeysWanted => state.held_keys_wanted(link),
        Message::StoreLoads(loads) => state.store_loads.update(clock::boottime_ms(), loads),
        _ => {}
    }
}

/// Handles events of links to routers.
pub(super) async fn router_links(shared: Arc<Shared>, events: flume::Receiver<link::Event>) {
    while let Ok(event) = events.recv_async().await {
        match event {
            link::Event::Up(link) => {
                tracing::info!(event = "entry_up", instance = %link.peer.instance);
                shared.state().router_connected(link);
                shared.documents_wake.notify_one();
            }
            link::Event::Down { link, reason } => {
                tracing::info!(event = "entry_down", link, reason);
                shared.state().router_disconnected(link);
            }
            link::Event::Frame { link, frame } => handle_router_frame(&shared, link, frame),
        }
    }
}

fn handle_router_frame(shared: &Shared, link: u64, frame: Frame) {
    let Frame::Fleet(message) = frame else {
        return;
    };
    let mut state = shared.state();
    match *message {
        Message::Router(router) => state.routers.update(link, router),
        Message::AppliedVersion(version) => {
            state.documents.spread.applied(link, version);
            shared.documents_wake.notify_one();
        }
        Message::PatchRefused(version) => {
            let now = clock::boottime_ms();
            state.documents.spread.refused(now, link, version);
            shared.documents_wake.notify_one();
        }
        Message::LoadReport { running, demand } => {
            let Some(name) = state.routers.name(link) else {
                return;
            };
            let urgent = demand.iter().any(|d| d.waiting > 0);
            state.load_reported(link, &running);
            if let Some(planner) = &mut state.planner {
                planner.update_load(clock::boottime_ms(), &name, running, demand);
                if urgent {
                    shared.planner_wake.notify_one();
                }
            }
        }
        Message::SpeedReport(report) => state.speeds_reported(&report),
        Message::RetryPermitRequest { service, request }
            if shared.leadership_status.leads(state.term) =>
        {
            let content = state.ask_for_retry_permits(link, service, &request);
            drop(state);
            if let Some(content) = content {
                // A router without a response asks again.
                shared.propose(&content);
            }
        }
        Message::QuotaAsk(ask) if shared.leadership_status.leads(state.term) => {
            let content = state.quota_asked(link, &ask);
            drop(state);
            if let Some(content) = content {
                // Blocks that are lost are proposed again.
                shared.propose(&content);
            }
        }
        Message::ServerPermitRequest { statement, request }
            if shared.leadership_status.leads(state.term) =>
        {
            state.issue_server_permits(link, &statement, &request);
        }
        Message::ServerBrittle(statement) => state.server_brittle(&statement),
        Message::PlaceRequest(request) if shared.leadership_status.leads(state.term) => {
            state.place_asked(link, request);
        }
        Message::PlaceUsage(usage) => state.place_used(link, &usage),
        Message::StreamsBegun(begun) => {
            state.origins.add(clock::boottime_ms(), begun, false);
            shared.origins_wake.notify_one();
        }
        Message::ServerLeaving {
            server,
            incarnation,
        } => {
            let change = state.server_leaving(&server, incarnation);
            if change == Change::Moved {
                tracing::info!(event = "server_leaving", %server, born_ms = incarnation);
                shared.planner_wake.notify_one();
            }
        }
        Message::OriginQuestion(question) if shared.leadership_status.leads(state.term) => {
            state.answer_origin(link, &question);
        }
        Message::ServerEnded(end) => {
            state.server_ended(link, &end);
            shared.held_keys_wake.notify_one();
        }
        Message::RequestsBegun { service, evidence } => {
            state.requests_begun(link, &service, &evidence);
            shared.held_keys_wake.notify_one();
        }
        Message::TrialRequest(request) if shared.leadership_status.leads(state.term) => {
            state.decide_trial(link, &request);
            shared.held_keys_wake.notify_one();
        }
        Message::TrialOutcome { number, begun } => {
            state.trial_ended(link, number, begun);
            shared.held_keys_wake.notify_one();
        }
        Message::HeldKeysWanted => state.held_keys_wanted(link),
        Message::ServerLimit(statement) => {
            if let Some(permits) = &mut state.server_permits {
                permits.stated(clock::boottime_ms(), &statement);
            }
        }
        _ => {}
    }
}

/// Sends routers the document while any of them lacks the version in force.
pub(super) async fn documents(shared: Arc<Shared>) {
    let send = || shared.state().send_documents(clock::boottime_ms());
    send_paced(&shared.stop, &shared.documents_wake, send).await;
}

/// Sends what all routers are to be told, whenever it may be sent.
pub(super) async fn broadcasts(shared: Arc<Shared>, wake: Arc<Notify>) {
    let send = || shared.state().routers.send_waiting(clock::boottime_ms());
    send_paced(&shared.stop, &wake, send).await;
}

/// Calls `send` until `stop`: when woken, and after the milliseconds that it returns.
async fn send_paced(
    stop: &CancellationToken,
    wake: &Notify,
    mut send: impl FnMut() -> Option<Millis>,
) {
    while !stop.is_cancelled() {
        let wait_ms = send();
        let wait = async {
            match wait_ms {
                Some(wait_ms) => tokio::time::sleep(Duration::from_millis(wait_ms)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = wake.notified() => {}
            () = wait => {}
            () = stop.cancelled() => {}
        }
    }
}

/// Sends what has changed in the held keys: at once, and then after an interval as long as they change.
pub(super) async fn held_keys(shared: Arc<Shared>) {
    while !shared.stop.is_cancelled() {
        tokio::select! {
            () = shared.held_keys_wake.notified() => {}
            () = shared.stop.cancelled() => return,
        }
        shared.state().send_held_keys();
        tokio::time::sleep(Duration::from_millis(quarantine::SEND_INTERVAL_MS)).await;
    }
}

/// Periodically proposes membership changes that are due and removes silent servers. Sends routers the list of live
/// servers; if this process
/// is the leader, proposes verdicts that aren't replicated, and sends how many requests all routers together have at each server, and the time
/// until the weight store may be used again.
pub(super) async fn timer(shared: Arc<Shared>) {
    let mut tick = tokio::time::interval(Duration::from_millis(TICK_INTERVAL_MS));
    while !shared.stop.is_cancelled() {
        tick.tick().await;
        shared.body_budget.record();
        let mut state = shared.state();
        state.expire_servers(clock::boottime_ms(), SERVER_RETENTION_MS);
        let change = state.next_group_change();
        let now = clock::boottime_ms();
        state.send_live_servers(now);
        state.send_held_keys();
        state.send_places(now);
        if state.leads() {
            shared.origins_wake.notify_one();
        }
        let verdicts = state.quarantine.proposal(now);
        state.send_totals(now);
        drop(state);
        if let Some(content) = verdicts {
            shared.propose(&content);
        }
        if let Some(change) = change {
            tracing::info!(event = "group_change", ?change);
            // No task waits for the outcome: after a refusal the change is decided again.
            shared.send_to_voter(Request::ChangeMembership {
                request_id: 0,
                change,
            });
        }
    }
}
