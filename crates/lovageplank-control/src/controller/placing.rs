//! Decisions on replicas: what the planner sees, what it wants, and unloads without a cut.

use super::Controller;
use super::proposals::Purpose;
use super::publish::Forecast;
use super::routers::Marks;
use lovageplank_core::backend::{Announcement, State};
use lovageplank_core::ledger::{self, Load, Phase, ReplicaState};
use lovageplank_core::placement::{self, Action, Replica};
use lovageplank_core::prelude::*;
use lovageplank_core::state::Command;
use lovageplank_core::view::{self, ReplicaId};

/// A replica that drains; soft state of a leader.
#[derive(Debug, Default)]
pub(super) struct Drain {
    /// Where the routers' streams stood when the drain was published; `None` until then.
    pub(super) marks: Option<Marks>,
    /// When no router sent work any more.
    released: Option<Millis>,
    /// Whether the engine has shown since then that the replica runs nothing.
    idle: bool,
}

impl Controller {
    /// Asks the planner what should be done, and proposes it.
    pub(super) fn plan(&mut self, now: Millis) {
        if self.proposals.placements > 0 || !self.gathered(now) {
            return;
        }
        self.plan_now = false;
        self.planned_at = now;
        let tree = self.machine.settings.tree().clone();
        let engines = self.planned_engines();
        for action in self.planner.decide(now, &tree, &engines) {
            tracing::info!(event = "decided", ?action);
            let command = Command::Ledger(entry(action));
            self.propose(&command, Purpose::Placement);
        }
        for replica in self.machine.ledger.surplus() {
            self.remove_surplus(replica);
        }
        let expected = self.planner.expected(now, &tree, &engines);
        let forecasts = expected
            .iter()
            .map(|e| (e.model.clone(), Forecast::new(now, e)));
        self.expected = forecasts.collect();
        self.changed = true;
    }

    /// Drains what was replaced while its engine was lost; unloads what nobody decided.
    fn remove_surplus(&mut self, replica: ReplicaId) {
        let phase = self
            .machine
            .ledger
            .replica_state(&replica)
            .map(|pair| pair.phase);
        let action = match phase {
            Some(Phase::Ready) => ledger::Action::Drain(replica),
            Some(Phase::Found) => ledger::Action::Unload(replica),
            _ => return,
        };
        self.propose(&Command::Ledger(action), Purpose::Placement);
    }

    /// The engines as the planner sees them: the ledger's worst case, and what engines say.
    pub(super) fn planned_engines(&self) -> Vec<placement::Engine> {
        let engines = self.machine.ledger.engines();
        engines.map(|engine| self.planned_engine(engine)).collect()
    }

    fn planned_engine(&self, engine: &ledger::Engine) -> placement::Engine {
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
                .map(|((model, version), pair)| resident(model, version, pair, announcement))
                .collect(),
            free_mb: engine.free_mb(),
        }
    }

    /// Notes which draining replicas an engine shows as idle.
    pub(super) fn note_idle(&mut self, now: Millis, report: &Announcement) {
        for (replica, drain) in &mut self.drains {
            if replica.engine != report.id || drain.released.is_none_or(|at| at >= now) {
                continue;
            }
            let mut loaded = report.loaded.iter();
            let entry = loaded.find(|l| l.model == replica.model && l.version == replica.version);
            drain.idle = entry.is_none_or(|l| l.running == 0);
        }
    }

    /// Unloads draining replicas on which nothing runs and to which nobody sends work.
    pub(super) fn unload_drained(&mut self, now: Millis) {
        let ledger = &self.machine.ledger;
        let draining: BTreeSet<ReplicaId> = ledger
            .replica_states()
            .filter(|(_, pair)| pair.phase == Phase::Draining && pair.command.is_none())
            .map(|(id, _)| id)
            .collect();
        self.drains.retain(|id, _| draining.contains(id));
        // Routers of the last leader's time that this one hasn't met may still send work.
        let met_all = self.met_routers(now);
        let mut unload = Vec::new();
        for id in draining {
            let drain = self.drains.entry(id.clone()).or_default();
            let Some(marks) = &drain.marks else { continue };
            if drain.released.is_none() && met_all && self.routers.released(now, marks, &id) {
                drain.released = Some(now);
            }
            if drain.idle {
                unload.push(id);
            }
        }
        if self.proposals.placements > 0 {
            return;
        }
        for replica in unload {
            let command = Command::Ledger(ledger::Action::Unload(replica));
            self.propose(&command, Purpose::Placement);
        }
    }
}

fn entry(action: Action) -> ledger::Action {
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

fn resident(
    model: &Name,
    version: &Name,
    pair: &ReplicaState,
    announcement: Option<&Announcement>,
) -> Replica {
    let mut loaded = announcement.iter().flat_map(|a| &a.loaded);
    let running = loaded
        .find(|l| l.model == *model && l.version == *version)
        .map_or(0, |l| l.running);
    Replica {
        model: model.clone(),
        version: version.clone(),
        phase: match pair.phase {
            Phase::Loading => view::Phase::Loading,
            Phase::Ready => view::Phase::Ready,
            Phase::Draining | Phase::Unloading | Phase::Doubtful | Phase::Found => {
                view::Phase::Draining
            }
        },
        memory_mb: pair.memory_mb,
        running,
        adapters: pair.adapters.clone(),
        unresolved: pair.command.is_some(),
    }
}
