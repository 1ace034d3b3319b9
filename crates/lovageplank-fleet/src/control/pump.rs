//! Tasks that take in what the voter, links and time bring.

use super::Shared;
use super::state::Source;
use crate::decode;
use crate::links::Dialer;
use lovageplank_control::voter::{Report, Request};
use lovageplank_core::consensus::{Entry, Payload, Role, Snapshot};
use lovageplank_core::fleet::document::Document;
use lovageplank_core::fleet::message::Message;
use lovageplank_core::fleet::placement::{Limits, Planner};
use lovageplank_core::prelude::*;
use lovageplank_process::{clock, link};
use lovageplank_wire::Frame;
use std::net::SocketAddr;
use std::time::Duration;

/// Milliseconds between looks at the group and at what is old.
const TICK_MS: u64 = 200;
/// Milliseconds that are added to the time an old leader's commands may take.
const LEASE_MARGIN_MS: Millis = 500;
/// Milliseconds without any announcement after which servers may be forgotten.
const SILENT_MS: Millis = 300_000;

/// Takes reports of the voter, and new seeds.
pub(super) async fn reports(
    shared: Arc<Shared>,
    reports: flume::Receiver<Report>,
    mut dialer: Dialer,
    seeds: flume::Receiver<Vec<SocketAddr>>,
) {
    loop {
        tokio::select! {
            report = reports.recv_async() => match report {
                Ok(report) => take(&shared, &mut dialer, report),
                Err(flume::RecvError::Disconnected) => return,
            },
            Ok(seeds) = seeds.recv_async() => dialer.set_seeds(seeds),
        }
    }
}

fn take(shared: &Shared, dialer: &mut Dialer, report: Report) {
    match report {
        Report::Apply(entry) => apply(shared, entry),
        Report::Restore(snapshot) => restore(shared, snapshot),
        Report::SnapshotDue => snapshot(shared),
        Report::Outcome { ticket, entry } => {
            if let Err(reason) = &entry {
                tracing::info!(event = "not_proposed", ticket, ?reason);
            }
            shared.state().placed(ticket, entry.ok());
        }
        Report::Read { ticket, current } => shared.state().read_done(ticket, current),
        Report::Role { role, term, leader } => {
            let from = shared.config.lease_ms + LEASE_MARGIN_MS;
            let window_ms = shared.config.ceiling_window_ms;
            shared.state().set_role(role, term, leader, || {
                // In the first term there was no earlier leader whose commands could arrive.
                let wait = if term.0 <= 1 { 0 } else { from };
                let limits = Limits {
                    window_ms,
                    ..Limits::default()
                };
                Planner::new(limits, clock::boottime_ms() + wait)
            });
            if role == Role::Leader {
                shared.wake.notify_one();
            }
        }
        Report::Members(membership) => {
            let mut state = shared.state();
            state.set_members(membership);
            let members = state.member_links();
            drop(state);
            dialer.set_members(addresses(&members));
        }
        Report::Up(link) => shared.state().control_up(link),
        Report::Down(link) => shared.state().control_down(link),
        Report::Frame { frame, .. } => from_control(shared, frame),
    }
}

fn addresses(members: &[Name]) -> Vec<SocketAddr> {
    members.iter().filter_map(|a| a.parse().ok()).collect()
}

fn apply(shared: &Shared, entry: Entry) {
    let document = match entry.payload {
        Payload::Data(data) => decode(&data),
        Payload::Noop | Payload::Voters(_) => None,
    };
    let changed = shared.state().apply(entry.term, entry.index, document);
    if changed {
        in_force(shared);
    }
}

fn restore(shared: &Shared, snapshot: Option<Snapshot>) {
    let Some(snapshot) = snapshot else {
        return;
    };
    let document = Some(&snapshot.data).filter(|data| !data.is_empty());
    let document = document.and_then(|data| decode(data));
    let changed = shared.state().restore(snapshot.index, document);
    if changed {
        in_force(shared);
    }
}

/// A new document is in force: entry processes hear of it.
fn in_force(shared: &Shared) {
    let mut state = shared.state();
    let Some(document) = state.store.current().cloned() else {
        return;
    };
    let deployment = decode::document(&*shared.dialect, &document);
    if let Some(deployment) = deployment {
        state.deployment = Some(Arc::new(deployment));
    }
    state.tell_document();
    tracing::info!(event = "document_in_force", version = document.version);
}

fn snapshot(shared: &Shared) {
    let state = shared.state();
    let document = state.store.current().cloned();
    let data = document.map(|d| encode(&d)).unwrap_or_default();
    let index = state.applied;
    drop(state);
    shared.ask_voter(Request::Snapshot {
        index,
        data: data.into(),
    });
}

/// A document as an entry of the log.
pub(super) fn encode(document: &Document) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(document, &mut bytes).expect("a document always encodes");
    bytes
}

fn decode(data: &[u8]) -> Option<Document> {
    let document = ciborium::from_reader(data);
    if let Err(error) = &document {
        tracing::error!(event = "entry_unreadable", %error);
    }
    document.ok()
}

fn from_control(shared: &Shared, frame: Frame) {
    let Frame::Fleet(message) = frame else {
        return;
    };
    let mut state = shared.state();
    match *message {
        Message::ServerAnnounced(said) => {
            state.announced(*said, Source::Passed);
        }
        Message::ServerGone {
            server,
            incarnation: born_ms,
        } => {
            state.left(server, born_ms, Source::Passed);
        }
        _ => {}
    }
}

/// Takes what links to entry processes bring.
pub(super) async fn entries(shared: Arc<Shared>, events: flume::Receiver<link::Event>) {
    while let Ok(event) = events.recv_async().await {
        match event {
            link::Event::Up(link) => {
                tracing::info!(event = "entry_up", instance = %link.peer.instance);
                shared.state().entry_up(link);
            }
            link::Event::Down { link, reason } => {
                tracing::info!(event = "entry_down", link, reason);
                shared.state().entries.down(link);
            }
            link::Event::Frame { link, frame } => from_entry(&shared, link, frame),
        }
    }
}

fn from_entry(shared: &Shared, link: u64, frame: Frame) {
    let Frame::Fleet(message) = frame else {
        return;
    };
    let mut state = shared.state();
    match *message {
        Message::Router(entry) => state.entries.said(link, entry),
        Message::AppliedVersion(version) => state.entries.obeys(link, version),
        Message::LoadReport { running, demand } => {
            let Some(name) = state.entries.name(link) else {
                return;
            };
            let urgent = demand.iter().any(|d| d.waiting > 0);
            if let Some(planner) = &mut state.planner {
                planner.update_load(clock::boottime_ms(), &name, running, demand);
                if urgent {
                    shared.wake.notify_one();
                }
            }
        }
        _ => {}
    }
}

/// Mends the group and forgets what is old.
pub(super) async fn ticks(shared: Arc<Shared>) {
    let mut tick = tokio::time::interval(Duration::from_millis(TICK_MS));
    while !shared.stop.is_cancelled() {
        tick.tick().await;
        let mut state = shared.state();
        state.forget_silent(clock::boottime_ms(), SILENT_MS);
        let change = state.group_change();
        state.tell_late_entries();
        let now = clock::boottime_ms();
        state.tell_live(now);
        if let Some(planner) = &state.planner {
            let totals = Message::Totals {
                requests: planner.totals(now),
                store_wait_ms: planner.store_wait_ms(now),
            };
            state.entries.tell(totals);
        }
        drop(state);
        if let Some(change) = change {
            tracing::info!(event = "group_change", ?change);
            // Nobody waits for it: a change that was refused is decided again.
            shared.ask_voter(Request::Member { ticket: 0, change });
        }
    }
}
