//! Links to the control group.
//!
//! The router dials every control process. Each heartbeat goes to all of them; the answers say
//! who leads, and calls go to that one. Updates count only from the process that leads with the
//! highest term: those of others are held back until their sender's lease shows that it leads,
//! so that a deposed leader can't bring an old view back.

use super::Control;
use crate::broker::Input;
use flume::{Receiver, Sender};
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use lovageplank_core::prelude::*;
use lovageplank_core::slo::Delta;
use lovageplank_core::view::Update;
use lovageplank_process::link::{self, Event};
use lovageplank_wire::call::{Call, RefusalCode};
use lovageplank_wire::{Answer, Frame, Heartbeat, Lease, Refusal};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;

/// Events of links that may wait.
const EVENTS: usize = 1_024;
/// Updates of a process that isn't known to lead that are held back; beyond it the link is closed.
const HELD_MAX: usize = 64;
/// Milliseconds after which a call without an answer has an unknown outcome.
const CALL_MS: u64 = 5_000;

/// The links to the control group.
pub struct Link {
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    links: Mutex<Links>,
}

#[derive(Default)]
struct Links {
    by_id: HashMap<u64, Peer>,
    /// Identities of members that were ever connected, or are dialled since the leader named them.
    known: BTreeSet<u64>,
    /// Addresses of members that are to be dialled.
    strangers: Vec<SocketAddr>,
    /// The link to the leader and its term.
    leader: Option<(u64, u64)>,
    /// Highest term of a leader seen.
    term: u64,
    next_call: u64,
    /// Calls without an answer: the link that carries them, and who waits.
    calls: HashMap<u64, (u64, oneshot::Sender<Answer>)>,
}

struct Peer {
    link: link::Link,
    /// Updates that came before it was known whether the sender leads.
    held: Vec<Update>,
}

impl Link {
    /// Dials all of `peers` until the configuration's token is cancelled.
    ///
    /// What the control group tells goes to `inputs`. Must be called within a runtime.
    pub fn start(
        peers: impl IntoIterator<Item = SocketAddr>,
        mut config: link::Config,
        inputs: Sender<Input>,
    ) -> Link {
        let (sender, events) = flume::bounded(EVENTS);
        config.events = link::Events::single(sender);
        for peer in peers {
            tokio::spawn(link::dial(peer, config.clone()));
        }
        let shared = Arc::new(Shared::default());
        tokio::spawn(run(shared.clone(), config, events, inputs));
        Link { shared }
    }
}

impl Control for Link {
    fn heartbeat(&self, beat: Heartbeat) {
        let links = self.shared.lock();
        let leader = links.leader.and_then(|(id, _)| links.by_id.get(&id));
        if let Some(peer) = leader {
            // The others need no heartbeats: a new leader makes itself known.
            peer.link.send(Frame::Heartbeat(beat));
            return;
        }
        for peer in links.by_id.values() {
            peer.link.send(Frame::Heartbeat(beat.clone()));
        }
    }

    fn objectives(&self, delta: Delta) {
        let links = self.shared.lock();
        if let Some((id, _)) = links.leader
            && let Some(peer) = links.by_id.get(&id)
        {
            peer.link.send(Frame::Objectives(delta));
        }
    }

    fn resync(&self) {
        let links = self.shared.lock();
        // The leader sends everything on a new link.
        if let Some((id, _)) = links.leader
            && let Some(peer) = links.by_id.get(&id)
        {
            peer.link.close();
        }
    }

    fn call(&self, call: Call) -> BoxFuture<'static, Answer> {
        let shared = self.shared.clone();
        async move { shared.call(call).await }.boxed()
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Links> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn call(&self, call: Call) -> Answer {
        let Some((id, answer)) = self.send(call) else {
            let refusal = Refusal::new(RefusalCode::NoLeader, "no leader is known; try again");
            return Answer::Refused(refusal);
        };
        let waited = tokio::time::timeout(Duration::from_millis(CALL_MS), answer).await;
        self.lock().calls.remove(&id);
        match waited {
            Ok(Ok(answer)) => answer,
            _ => Answer::Refused(Refusal::new(
                RefusalCode::Unknown,
                "the leader gave no answer; ask whether the call was carried out",
            )),
        }
    }

    fn send(&self, call: Call) -> Option<(u64, oneshot::Receiver<Answer>)> {
        let mut links = self.lock();
        let (leader, _) = links.leader?;
        links.next_call += 1;
        let id = links.next_call;
        let peer = links.by_id.get(&leader)?;
        if !peer.link.send(Frame::Call { id, call }) {
            return None;
        }
        let (reply, answer) = oneshot::channel();
        links.calls.insert(id, (leader, reply));
        Some((id, answer))
    }
}

/// Handles what happens on the links until they are stopped.
async fn run(
    shared: Arc<Shared>,
    config: link::Config,
    events: Receiver<Event>,
    inputs: Sender<Input>,
) {
    loop {
        let event = tokio::select! {
            () = config.stop.cancelled() => return,
            event = events.recv_async() => event,
        };
        let Ok(event) = event else { return };
        let (told, strangers) = {
            let mut links = shared.lock();
            (links.handle(event), std::mem::take(&mut links.strangers))
        };
        for address in strangers {
            tracing::info!(event = "member_found", peer = %address);
            tokio::spawn(link::dial(address, config.clone()));
        }
        for input in told {
            if inputs.try_send(input).is_err() {
                tracing::error!(event = "input_lost", step = "control link");
            }
        }
    }
}

impl Links {
    fn handle(&mut self, event: Event) -> Vec<Input> {
        match event {
            Event::Up(link) => {
                tracing::info!(event = "link_up", peer = %link.peer.instance);
                let held = Vec::new();
                self.known.insert(link.peer.id);
                self.by_id.insert(link.id, Peer { link, held });
                vec![Input::Connected]
            }
            Event::Down { link, reason } => {
                self.down(link, &reason);
                Vec::new()
            }
            Event::Frame { link, frame } => self.frame(link, frame),
        }
    }

    /// Dials members that no settings file names, such as the replacement of a lost one.
    fn meet(&mut self, members: Vec<(u64, Name)>) {
        for (id, address) in members {
            let Ok(address) = address.parse() else {
                continue;
            };
            if self.known.insert(id) {
                self.strangers.push(address);
            }
        }
    }

    fn down(&mut self, link: u64, reason: &str) {
        if let Some(peer) = self.by_id.remove(&link) {
            tracing::warn!(event = "link_down", peer = %peer.link.peer.instance, reason);
        }
        self.leader = self.leader.filter(|(id, _)| *id != link);
        // Dropping a reply tells its caller that the outcome is unknown.
        self.calls.retain(|_, (id, _)| *id != link);
    }

    fn frame(&mut self, link: u64, frame: Frame) -> Vec<Input> {
        match frame {
            Frame::Lease(lease) => self.lease(link, &lease),
            Frame::Update(update) => self.update(link, *update),
            Frame::Members(members) => {
                self.meet(members);
                Vec::new()
            }
            Frame::Merged(ack) if self.leader.is_some_and(|(id, _)| id == link) => {
                vec![Input::Merged(ack)]
            }
            Frame::Answer { id, answer } => {
                if let Some((_, reply)) = self.calls.remove(&id) {
                    let _ = reply.send(answer);
                }
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn lease(&mut self, link: u64, lease: &Lease) -> Vec<Input> {
        if !lease.leads || lease.term < self.term {
            self.leader = self.leader.filter(|(id, _)| *id != link);
            return Vec::new();
        }
        self.term = lease.term;
        let mut inputs = Vec::new();
        if self.leader != Some((link, lease.term)) {
            self.leader = Some((link, lease.term));
            if let Some(peer) = self.by_id.get_mut(&link) {
                tracing::info!(event = "leader", peer = %peer.link.peer.instance, term = lease.term);
                inputs.extend(peer.held.drain(..).map(Input::Update));
            }
        }
        inputs.push(Input::Lease {
            heartbeat: lease.heartbeat,
            lease_ms: lease.lease_ms,
        });
        inputs
    }

    fn update(&mut self, link: u64, update: Update) -> Vec<Input> {
        if self.leader.is_some_and(|(id, _)| id == link) {
            return vec![Input::Update(update)];
        }
        let Some(peer) = self.by_id.get_mut(&link) else {
            return Vec::new();
        };
        if update.full {
            peer.held.clear();
        }
        peer.held.push(update);
        if peer.held.len() > HELD_MAX {
            peer.link.close();
        }
        Vec::new()
    }
}
