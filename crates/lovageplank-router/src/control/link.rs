//! Links to the control group.
//!
//! The router dials every control process. Heartbeats go to the leader, or to all processes while
//! none is known to lead; the leases in their answers show which process leads. Calls go to the
//! leader. Updates are applied only from the process that leads in the highest term. Updates of
//! other processes are kept until a lease shows that their sender leads, so that a deposed leader
//! can't restore an old view.

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

/// Events of all links that may wait to be handled.
const EVENT_QUEUE_MAX: usize = 1_024;
/// Updates that are kept of one process that isn't known to lead; beyond it, its link is closed.
const UNCONFIRMED_UPDATES_MAX: usize = 64;
/// Milliseconds to wait for the answer to a call; after that its outcome is unknown.
const CALL_TIMEOUT_MS: u64 = 5_000;

/// The links to the control group.
pub struct ControlLinks {
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    links: Mutex<Links>,
}

#[derive(Default)]
struct Links {
    by_id: HashMap<u64, Peer>,
    /// Ids of members that were connected once, or that a member named in its list of members.
    known: BTreeSet<u64>,
    /// Addresses of members that aren't dialled yet.
    undialled: Vec<SocketAddr>,
    /// Id of the link to the leader, and the leader's term.
    leader: Option<(u64, u64)>,
    /// Highest term in which a process has led, as received.
    term: u64,
    next_call: u64,
    /// Calls without an answer: id of the link, and the recipient of the answer.
    calls: HashMap<u64, (u64, oneshot::Sender<Answer>)>,
}

struct Peer {
    link: link::Link,
    /// Updates that arrived before it was known whether the sender leads.
    unconfirmed: Vec<Update>,
}

impl ControlLinks {
    /// Dials all of `peers` until the configuration's token is cancelled.
    ///
    /// What the control group sends goes to `inputs`. Must be called within a runtime.
    pub fn start(
        peers: impl IntoIterator<Item = SocketAddr>,
        mut config: link::Config,
        inputs: Sender<Input>,
    ) -> ControlLinks {
        let (sender, events) = flume::bounded(EVENT_QUEUE_MAX);
        config.events = link::Events::single(sender);
        for peer in peers {
            tokio::spawn(link::dial(peer, config.clone()));
        }
        let shared = Arc::new(Shared::default());
        tokio::spawn(handle_events(shared.clone(), config, events, inputs));
        ControlLinks { shared }
    }
}

impl Control for ControlLinks {
    fn heartbeat(&self, heartbeat: Heartbeat) {
        let links = self.shared.lock();
        let leader = links.leader.and_then(|(id, _)| links.by_id.get(&id));
        if let Some(peer) = leader {
            // The others need no heartbeats: a new leader sends a lease on its own.
            peer.link.send(Frame::Heartbeat(heartbeat));
            return;
        }
        for peer in links.by_id.values() {
            peer.link.send(Frame::Heartbeat(heartbeat.clone()));
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
        // The leader sends a full update on a new link.
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
        let waited = tokio::time::timeout(Duration::from_millis(CALL_TIMEOUT_MS), answer).await;
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

/// Handles the events of the links until they are stopped.
async fn handle_events(
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
        let (new_inputs, undialled) = {
            let mut links = shared.lock();
            (links.handle(event), std::mem::take(&mut links.undialled))
        };
        for address in undialled {
            tracing::info!(event = "member_found", peer = %address);
            tokio::spawn(link::dial(address, config.clone()));
        }
        for input in new_inputs {
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
                let unconfirmed = Vec::new();
                self.known.insert(link.peer.id);
                self.by_id.insert(link.id, Peer { link, unconfirmed });
                vec![Input::Connected]
            }
            Event::Down { link, reason } => {
                self.link_down(link, &reason);
                Vec::new()
            }
            Event::Frame { link, frame } => self.handle_frame(link, frame),
        }
    }

    /// Notes members to dial that the settings file doesn't name, such as replacements.
    fn learn_members(&mut self, members: Vec<(u64, Name)>) {
        for (id, address) in members {
            let Ok(address) = address.parse() else {
                continue;
            };
            if self.known.insert(id) {
                self.undialled.push(address);
            }
        }
    }

    fn link_down(&mut self, link: u64, reason: &str) {
        if let Some(peer) = self.by_id.remove(&link) {
            tracing::warn!(event = "link_down", peer = %peer.link.peer.instance, reason);
        }
        self.leader = self.leader.filter(|(id, _)| *id != link);
        // Dropping the recipient ends the call with an unknown outcome.
        self.calls.retain(|_, (id, _)| *id != link);
    }

    fn handle_frame(&mut self, link: u64, frame: Frame) -> Vec<Input> {
        match frame {
            Frame::Lease(lease) => self.lease(link, &lease),
            Frame::Update(update) => self.update(link, *update),
            Frame::Members(members) => {
                self.learn_members(members);
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
                inputs.extend(peer.unconfirmed.drain(..).map(Input::Update));
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
            peer.unconfirmed.clear();
        }
        peer.unconfirmed.push(update);
        if peer.unconfirmed.len() > UNCONFIRMED_UPDATES_MAX {
            peer.link.close();
        }
        Vec::new()
    }
}
