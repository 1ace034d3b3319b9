//! Heartbeats and leases of routers, updates of their views, and settings versions in force.

use super::proposals::Purpose;
use super::publish::{Content, Forecast};
use super::routers::{LEASE_MARGIN_MS, LEASE_MS, send_leader_and_members};
use super::{Controller, Responder};
use lovageplank_core::backend::State;
use lovageplank_core::prelude::*;
use lovageplank_core::settings::{Store, Version};
use lovageplank_core::state::Command;
use lovageplank_core::view::{Phase, Replica, TreeEdits};
use lovageplank_process::link;
use lovageplank_wire::{Frame, Heartbeat, Lease};

/// Minimum milliseconds between two updates, so that changes within it are sent as one update.
const PUBLISH_INTERVAL_MS: u64 = 20;

/// Milliseconds after the publication of a settings version for which a router may apply an older
/// one. Beyond it, the router's lease isn't renewed until it applies the version.
const MAX_TREE_LAG_MS: u64 = 2_000;

impl Controller {
    pub(super) fn handle_router_event(&mut self, event: link::Event) {
        match event {
            link::Event::Up(link) => {
                tracing::info!(event = "router_up", peer = %link.peer.instance, link = link.id);
                if self.leading_since.is_some() {
                    send_leader_and_members(&link, self.term.0, &self.membership);
                }
                self.routers.connect(link, self.term.0);
                self.view_changed = true;
            }
            link::Event::Down { link, reason } => {
                self.view_changed = true;
                if let Some(instance) = self.routers.disconnect(link) {
                    tracing::warn!(event = "router_down", peer = %instance, link, reason);
                }
            }
            link::Event::Frame { link, frame } => self.handle_router_frame(link, frame),
        }
    }

    fn handle_router_frame(&mut self, link: u64, frame: Frame) {
        match frame {
            Frame::Heartbeat(heartbeat) => self.handle_heartbeat(link, &heartbeat),
            Frame::Objectives(delta) => self.handle_objectives(link, &delta),
            Frame::Call { id, call } => {
                let Some(router) = self.routers.router_on_link(link) else {
                    return;
                };
                let Some(link) = router.link.clone() else {
                    return;
                };
                self.handle_call(call, Responder::Link(link, id));
            }
            _ => {}
        }
    }

    fn handle_heartbeat(&mut self, link: u64, heartbeat: &Heartbeat) {
        let now = self.now();
        let leads = self.leading_since.is_some() && self.config.status.leads(self.term);
        let renews_lease = leads && !self.lags(now, heartbeat.tree);
        self.view_changed |= self
            .routers
            .apply_heartbeat(now, link, heartbeat, renews_lease);
        let Some(router) = self.routers.router_on_link(link) else {
            return;
        };
        let lease = Lease {
            term: self.term.0,
            leads,
            heartbeat: heartbeat.sequence,
            lease_ms: if renews_lease { LEASE_MS } else { 0 },
        };
        if let Some(link) = &router.link {
            link.send(Frame::Lease(lease));
        }
        if leads {
            let instance = router.instance.clone();
            if heartbeat.leaving {
                // The router stays in this state until its process ends.
                self.drained_instances.remove(&instance);
            }
            self.planner
                .observe_demand(now, &instance, &heartbeat.demand);
            if heartbeat.demand.models.iter().any(|m| m.waiting > 0) {
                self.plan_urgent = true;
                self.waiting_reported_at = now;
            }
            self.send_merge_progress(link);
        }
    }

    /// Whether a router that applies `tree` is behind a version published more than
    /// [`MAX_TREE_LAG_MS`] ago.
    fn lags(&self, now: Millis, tree: Version) -> bool {
        self.published_tree
            .is_some_and(|(version, at)| tree < version && now > at + MAX_TREE_LAG_MS)
    }

    /// Sends changes to routers whose stream has started, and full updates to others.
    pub(super) fn publish(&mut self, now: Millis) {
        if !self.announcements_collected(now) || now < self.published_at + PUBLISH_INTERVAL_MS {
            return;
        }
        self.published_at = now;
        if std::mem::take(&mut self.view_changed) || self.publisher.loads_due(now) {
            self.publish_changes(now);
        }
        let publisher = &self.publisher;
        let history = &self.machine.settings;
        let edits = |from, to| tree_edits(history, from, to);
        self.routers
            .send_full_updates(|known_version| publisher.full_update(now, known_version, edits));
        self.record_drain_positions();
    }

    fn publish_changes(&mut self, now: Millis) {
        let content = self.content(now);
        let version = content.tree.0;
        if self.published_tree.is_none_or(|(last, _)| last < version) {
            self.published_tree = Some((version, now));
        }
        let history = &self.machine.settings;
        let edits = |from, to| tree_edits(history, from, to);
        if let Some(update) = self.publisher.publish(now, content, edits) {
            self.routers.broadcast(&update);
        }
    }

    /// Sets the expected ready time of a loading replica from the planner's forecast; the ledger
    /// has no clock.
    fn with_ready_time(&self, now: Millis, replica: Replica) -> Replica {
        let ready_in_ms = match self.forecasts.get(&replica.id.model) {
            Some(Forecast::At(at)) if replica.phase == Phase::Loading => at.saturating_sub(now),
            _ => 0,
        };
        Replica {
            ready_in_ms,
            ..replica
        }
    }

    /// Records the positions of the routers' streams for replicas whose drain was just published.
    fn record_drain_positions(&mut self) {
        let positions = self.routers.stream_positions();
        for (replica, drain) in &mut self.drains {
            if drain.positions.is_none()
                && self.publisher.published_phase(replica) == Some(Phase::Draining)
            {
                drain.positions = Some(positions.clone());
            }
        }
    }

    fn content(&mut self, now: Millis) -> Content {
        let loads = self.publisher.loads_to_publish(now, &self.server_loads);
        let settings = &self.machine.settings;
        let mut instances = self.routers.instances(now);
        for instance in instances.values_mut() {
            if self.drained_instances.contains(&instance.id) {
                instance.state = State::Leaving;
            }
        }
        let backends = self
            .servers
            .members()
            .filter_map(lovageplank_core::membership::Member::backend);
        let replicas = self.machine.ledger.replicas().into_iter();
        let replicas = replicas.map(|r| self.with_ready_time(now, r));
        Content {
            tree: (settings.version(), settings.tree().clone()),
            backends: backends.map(|b| (b.id.clone(), b)).collect(),
            replicas: replicas.map(|r| (r.id.clone(), r)).collect(),
            instances,
            loads,
            forecasts: self.forecasts.clone(),
        }
    }

    /// Whether every router that may serve applies at least this settings version.
    ///
    /// False until leases granted by former leaders have expired, because routers that have not
    /// connected to this leader may serve until then.
    pub(super) fn in_force(&self, version: Version) -> bool {
        let now = self.now();
        self.former_leases_expired(now)
            && self.machine.settings.version() >= version
            && self.routers.acknowledged_tree(now, version)
    }

    /// Ends the idempotency claims of router processes that can no longer serve. The outcome of
    /// their requests is unknown.
    pub(super) fn abandon_claims(&mut self, now: Millis) {
        if !self.announcements_collected(now) {
            return;
        }
        for (router, incarnations) in self.machine.claims.pending_by_router() {
            for incarnation in incarnations {
                if self.routers.may_serve(now, &router, incarnation)
                    || !self.former_leases_expired(now)
                {
                    continue;
                }
                let at_ms = Self::wall_ms();
                let command = Command::Abandon {
                    router: router.clone(),
                    incarnation,
                    at_ms,
                };
                self.propose(&command, Purpose::Background);
            }
        }
    }

    /// Whether the leases that former leaders granted to routers have expired. From then on, each
    /// router that may serve has connected to this leader.
    pub(super) fn former_leases_expired(&self, now: Millis) -> bool {
        self.leading_since
            .is_some_and(|since| now >= since + LEASE_MS + LEASE_MARGIN_MS)
    }
}

/// The edits that lead from one version of the tree to a later one; `None` if the history no longer
/// contains them all.
fn tree_edits(history: &Store, from: Version, to: Version) -> Option<TreeEdits> {
    if from == Version(0) || from < history.oldest_version() {
        return None;
    }
    let records = history
        .history()
        .filter(|r| r.version > from && r.version <= to);
    let edits = records.flat_map(|r| r.edits.iter().cloned()).collect();
    Some(TreeEdits { from, to, edits })
}
