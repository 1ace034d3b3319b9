//! Tasks that take in what links and time bring, and tell the leader the load.

use super::Shared;
use crate::decode;
use crate::links::Dialer;
use lovageplank_core::fleet::document::Document;
use lovageplank_core::fleet::message::Message;
use lovageplank_core::fleet::registry::Change;
use lovageplank_core::prelude::*;
use lovageplank_process::clock;
use lovageplank_process::link::{self, Link};
use lovageplank_wire::Frame;
use std::net::SocketAddr;
use std::time::Duration;

/// Milliseconds between two messages on the load.
const LOAD_MS: u64 = 250;
/// Milliseconds between two messages on the load when requests begin to wait.
const URGENT_MS: u64 = 4;
/// Milliseconds for which a leader that was heard counts as such.
const LEADER_MS: Millis = 700;
/// Milliseconds between looks for what is old.
const EXPIRE_MS: u64 = 1_000;

/// Takes what links bring, and new seeds.
pub(super) async fn links(
    shared: Arc<Shared>,
    events: flume::Receiver<link::Event>,
    mut dialer: Dialer,
    seeds: flume::Receiver<Vec<SocketAddr>>,
) {
    let mut links: BTreeMap<u64, Link> = BTreeMap::new();
    let mut told = shared.listed();
    let mut leader = Leader::default();
    let mut obeyed = 0;
    loop {
        tokio::select! {
            event = events.recv_async() => match event {
                Ok(event) => {
                    leader.heard(&event);
                    take(&shared, &mut dialer, &mut links, event);
                }
                Err(flume::RecvError::Disconnected) => return,
            },
            Ok(seeds) = seeds.recv_async() => dialer.set_seeds(seeds),
            () = shared.leaving.cancelled(), if told.ready => {}
            () = next_load(&shared) => tell_load(&shared, &links, &leader),
        }
        let version = shared.deployment().map_or(0, |d| d.version);
        if version != obeyed {
            obeyed = version;
            for link in links.values() {
                link.send(Frame::Fleet(Box::new(Message::AppliedVersion(version))));
            }
        }
        let now = shared.listed();
        if now != told {
            told = now;
            for link in links.values() {
                link.send(Frame::Fleet(Box::new(Message::Router(told.clone()))));
            }
        }
    }
}

async fn next_load(shared: &Shared) {
    tokio::select! {
        () = shared.urgent.notified() => tokio::time::sleep(Duration::from_millis(URGENT_MS)).await,
        () = tokio::time::sleep(Duration::from_millis(LOAD_MS)) => {}
    }
}

/// The link on which the leader was heard last.
#[derive(Default)]
struct Leader {
    heard: Option<(u64, Millis)>,
}

impl Leader {
    /// Only a leader sends totals and holdings.
    fn heard(&mut self, event: &link::Event) {
        let link::Event::Frame { link, frame } = event else {
            return;
        };
        let Frame::Fleet(message) = frame else {
            return;
        };
        if let Message::Totals { .. } | Message::LoadedModels { .. } = **message {
            self.heard = Some((*link, clock::boottime_ms()));
        }
    }

    /// The link, if the leader was heard on it lately.
    fn link(&self) -> Option<u64> {
        let (link, at) = self.heard?;
        (clock::boottime_ms() < at + LEADER_MS).then_some(link)
    }
}

/// Tells the leader the load, or all control processes while it isn't known.
fn tell_load(shared: &Shared, links: &BTreeMap<u64, Link>, leader: &Leader) {
    let leader = leader.link().and_then(|link| links.get(&link));
    let (running, demand) = shared.state().dispatcher.load().snapshot();
    let message = Message::LoadReport { running, demand };
    let told = links
        .values()
        .filter(|l| leader.is_none_or(|leader| leader.id == l.id));
    for link in told {
        link.send(Frame::Fleet(Box::new(message.clone())));
    }
}

fn take(shared: &Shared, dialer: &mut Dialer, links: &mut BTreeMap<u64, Link>, event: link::Event) {
    match event {
        link::Event::Up(link) => {
            tracing::info!(event = "control_up", instance = %link.peer.instance);
            link.send(Frame::Fleet(Box::new(Message::Router(shared.listed()))));
            let version = shared.deployment().map_or(0, |d| d.version);
            link.send(Frame::Fleet(Box::new(Message::AppliedVersion(version))));
            links.insert(link.id, link);
        }
        link::Event::Down { link, reason } => {
            tracing::warn!(event = "control_down", link, reason);
            links.remove(&link);
            shared.state().roster.remove_link(link);
        }
        link::Event::Frame { link, frame } => match frame {
            Frame::Members(members) => {
                let addresses = members.iter().filter_map(|(_, a)| a.parse().ok());
                dialer.set_members(addresses.collect());
            }
            Frame::Fleet(message) => told(shared, link, *message),
            _ => {}
        },
    }
}

fn told(shared: &Shared, link: u64, message: Message) {
    let now = clock::boottime_ms();
    match message {
        Message::Document(document) => take_document(shared, &document),
        Message::ServerAnnounced(said) => {
            let change = shared.state().dispatcher.observe(now, *said);
            if matches!(change, Change::New | Change::Moved) {
                shared.wake_waiting();
            }
        }
        Message::ServerGone {
            server,
            incarnation: born_ms,
        } => {
            shared.state().dispatcher.mark_gone(now, &server, born_ms);
        }
        Message::LoadedModels {
            term,
            engines: holdings,
        } => {
            let withdraws = shared
                .state()
                .dispatcher
                .update_loaded_models(term, holdings);
            shared.wake_waiting();
            if withdraws {
                shared.urgent.notify_one();
            }
        }
        Message::Totals {
            requests,
            store_wait_ms,
        } => shared
            .state()
            .dispatcher
            .update_totals(requests, store_wait_ms),
        Message::Routers(entries) => shared.state().roster.replace_list(link, entries),
        Message::Router(entry) => shared.state().roster.update(link, entry),
        Message::RouterDisconnected(instance) => shared.state().roster.remove(link, &instance),
        Message::LiveServers(servers) => shared.state().dispatcher.renew_liveness(now, &servers),
        Message::AppliedVersion(_) | Message::LoadReport { .. } => {}
    }
}

/// Takes a document unless a newer one is in force here.
fn take_document(shared: &Shared, document: &Document) {
    let known = shared.deployment().map_or(0, |d| d.version);
    if document.version <= known {
        return;
    }
    let Some(deployment) = decode::document(&*shared.dialect, document) else {
        return;
    };
    tracing::info!(
        event = "document_in_force",
        version = document.version,
        routes = deployment.routes()
    );
    shared.state().deployment = Some(Arc::new(deployment));
    shared.wake_waiting();
}

/// Forgets what is old.
pub(super) async fn expire(shared: Arc<Shared>) {
    let mut tick = tokio::time::interval(Duration::from_millis(EXPIRE_MS));
    loop {
        tick.tick().await;
        shared.state().dispatcher.expire(clock::boottime_ms());
    }
}
