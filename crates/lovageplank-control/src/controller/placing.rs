//! Placement of replicas: runs the planner, proposes its decisions, and unloads drained replicas
//! without interrupting requests.

use super::Controller;
use super::proposals::Purpose;
use super::publish::Forecast;
use super::routers::StreamPositions;
use lovageplank_core::backend::{Announcement, State};
use lovageplank_core::ledger::{self, Load, Phase, ReplicaState};
use lovageplank_core::placement::{self, Action, Replica};
use lovageplank_core::prelude::*;
use lovageplank_core::state::Command;
use lovageplank_core::view::{self, ReplicaId};

/// Progress of draining a replica; soft state of a leader.
#[derive(Debug, Default)]
pub(super) struct Drain {
    /// Positions of the routers' streams when the drain was published; `None` until then.
    pub(super) positions: Option<StreamPositions>,
    /// When all routers had acknowledged the drain and had no requests left on the replica.
    released_at: Option<Millis>,
    /// Whether the engine's last report since then shows no requests on the replica.
    idle: bool,
}

impl Controller {
    /// Runs the planner and proposes its decisions.
    pub(super) fn plan(&mut self, now: Millis) {
        if self.proposals.pending_placements > 0 || !self.announcements_collected(now) {
            return;
        }
        self.plan_urgent = false;
        self.planned_at = now;
        let tree = self.machine.settings.tree().clone();
        let engines = self.planner_engines();
        for action in self.planner.decide(now, &tree, &engines) {
            tracing::info!(event = "decided", ?action);
            let command = Command::Ledger(ledger_action(action));
            self.propose(&command, Purpose::Placement);
        }
        for replica in self.machine.ledger.surplus() {
            self.remove_surplus(replica);
        }
        let expected = self.planner.expected(now, &tree, &engines);
        let forecasts = expected
            .iter()
            .map(|e| (e.model.clone(), Forecast::new(now, e)));
        self.forecasts = forecasts.collect();
        self.view_changed = true;
    }

    /// Drains a replica that was replaced while its engine was lost, or unloads one that no
    /// decision asked for.
    fn remove_surplus(&mut self, replica: ReplicaId) {
        let phase = self
            .machine
            .ledger
            .replica_state(&replica)
            .map(|replica_state| replica_state.phase);
        let action = match phase {
            Some(Phase::Ready) => ledger::Action::Drain(replica),
            Some(Phase::Found) => ledger::Action::Unload(replica),
            _ => return,
        };
        self.propose(&Command::Ledger(action), Purpose::Placement);
    }

    /// The planner's input: the ledger's replicas and reserved memory, with requests and cached
    /// weights from the engines' announcements.
    pub(super) fn planner_engines(&self) -> Vec<placement::Engine> {
        let engines = self.machine.ledger.engines();
        engines.map(|engine| self.planner_engine(engine)).collect()
    }

    fn planner_engine(&self, engine: &ledger::Engine) -> placement::Engine {
        let announcement = self.announcements.get(&engine.id);
        let member = self.servers.member(&engine.id);
        let ready = member.is_some_and(|m| m.state == State::Ready);
        placement::Engine {
            id: engine.id.clone(),
            failure_domain: engine.failure_domain.clone(),
            memory_mb: engine.memory_mb,
            services: engine.services.clone(),
            cached: announcement.map(|a| a.cached.clone()).unwrap_or_default(),
            live: ready && !engine.lost,
            replicas: engine
                .replica_states
                .iter()
                .map(|((model, version), replica_state)| {
                    planner_replica(model, version, replica_state, announcement)
                })
                .collect(),
            free_mb: engine.free_mb(),
        }
    }

    /// Records which released draining replicas are idle by an engine's report.
    pub(super) fn record_idle_drains(&mut self, now: Millis, report: &Announcement) {
        for (replica, drain) in &mut self.drains {
            if replica.engine != report.id || drain.released_at.is_none_or(|at| at >= now) {
                continue;
            }
            let mut loaded = report.loaded.iter();
            let listed = loaded.find(|l| l.model == replica.model && l.version == replica.version);
            drain.idle = listed.is_none_or(|l| l.running == 0);
        }
    }

    /// Proposes to unload draining replicas that are idle and to which no router sends requests.
    pub(super) fn unload_drained_replicas(&mut self, now: Millis) {
        let ledger = &self.machine.ledger;
        let draining: BTreeSet<ReplicaId> = ledger
            .replica_states()
            .filter(|(_, replica_state)| {
                replica_state.phase == Phase::Draining && replica_state.command.is_none()
            })
            .map(|(id, _)| id)
            .collect();
        self.drains.retain(|id, _| draining.contains(id));
        // Before, routers that have not connected to this leader may still send requests.
        let former_leases_expired = self.former_leases_expired(now);
        let mut unload = Vec::new();
        for id in draining {
            let drain = self.drains.entry(id.clone()).or_default();
            let Some(positions) = &drain.positions else {
                continue;
            };
            if drain.released_at.is_none()
                && former_leases_expired
                && self.routers.all_released(now, positions, &id)
            {
                drain.released_at = Some(now);
            }
            if drain.idle {
                unload.push(id);
            }
        }
        if self.proposals.pending_placements > 0 {
            return;
        }
        for replica in unload {
            let command = Command::Ledger(ledger::Action::Unload(replica));
            self.propose(&command, Purpose::Placement);
        }
    }
}

fn ledger_action(action: Action) -> ledger::Action {
    match action {
        Action::Load {
            model,
            version,
            engine,
            memory_mb,
            limit,
        } => ledger::Action::Load(Load {
            replica: ReplicaId {
                model,
                version,
                engine,
            },
            memory_mb,
            limit,
            surge: 1,
            replace_lost: true,
        }),
        Action::Drain { replica } => ledger::Action::Drain(replica),
        Action::LoadAdapter { replica, adapter } => {
            ledger::Action::LoadAdapter { replica, adapter }
        }
        Action::UnloadAdapter { replica, adapter } => {
            ledger::Action::UnloadAdapter { replica, adapter }
        }
    }
}

fn planner_replica(
    model: &Name,
    version: &Name,
    replica_state: &ReplicaState,
    announcement: Option<&Announcement>,
) -> Replica {
    let mut loaded = announcement.iter().flat_map(|a| &a.loaded);
    let running = loaded
        .find(|l| l.model == *model && l.version == *version)
        .map_or(0, |l| l.running);
    Replica {
        model: model.clone(),
        version: version.clone(),
        phase: match replica_state.phase {
            Phase::Loading => view::Phase::Loading,
            Phase::Ready => view::Phase::Ready,
            Phase::Draining | Phase::Unloading | Phase::Doubtful | Phase::Found => {
                view::Phase::Draining
            }
        },
        memory_mb: replica_state.memory_mb,
        running,
        adapters: replica_state.adapters.clone(),
        unresolved: replica_state.command.is_some(),
    }
}
