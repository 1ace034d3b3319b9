//! Executes operators' calls.

use super::proposals::{Purpose, settings_refusal};
use super::{Controller, Responder};
use crate::Standing;
use lovageplank_core::consensus::{Id, MemberInfo};
use lovageplank_core::ledger::{Engine, Phase};
use lovageplank_core::prelude::*;
use lovageplank_core::settings::{Change, ChangeId, Version, diff};
use lovageplank_core::state::Command;
use lovageplank_wire::call::{OperatorRequest, RefusalCode};
use lovageplank_wire::{Answer, Refusal};
use serde_json::{Value, json};
use std::collections::VecDeque;

/// Milliseconds that operators' calls wait for a voter that is silent, for example while its disk is busy. Shorter than
/// the wait of who forwards calls to the leader.
const SILENT_WAIT_MS: Millis = 3_000;
/// Calls that wait for it at most; beyond it those that have waited longest are refused.
const WAITING_MAX: usize = 1_000;

/// Operators' calls that wait until the voter says whether this process still leads, in the order of their arrival.
#[derive(Debug, Default)]
pub(super) struct Waiting(VecDeque<Call>);

#[derive(Debug)]
struct Call {
    operator: OperatorRequest,
    responder: Responder,
    give_up_at: Millis,
}

impl Controller {
    /// Executes a call, lets it wait while the voter is silent, or refuses it.
    pub(super) fn handle_operator_call(&mut self, operator: OperatorRequest, responder: Responder) {
        self.waiting_calls.0.push_back(Call {
            operator,
            responder,
            give_up_at: self.now() + SILENT_WAIT_MS,
        });
        self.resume_operator_calls();
    }

    /// Executes or refuses the operators' calls that needn't wait any longer.
    pub(super) fn resume_operator_calls(&mut self) {
        while let Some(call) = self.waiting_calls.0.front() {
            let standing = self.config.status.standing(self.term);
            let may_wait =
                self.now() < call.give_up_at && self.waiting_calls.0.len() <= WAITING_MAX;
            if standing == Standing::Silent && may_wait {
                return;
            }
            let Some(call) = self.waiting_calls.0.pop_front() else {
                return;
            };
            if standing == Standing::Leads {
                self.execute_operator_call(call.operator, call.responder);
            } else {
                refuse_without_quorum(call.responder, standing);
            }
        }
    }

    fn execute_operator_call(&mut self, operator: OperatorRequest, responder: Responder) {
        let answer = match operator {
            OperatorRequest::Status => Ok(self.status()),
            OperatorRequest::Instances => Ok(self.instances()),
            OperatorRequest::Engines => Ok(self.engines()),
            OperatorRequest::Models => Ok(self.models()),
            OperatorRequest::Settings { path, effective } => self.settings(&path, effective),
            OperatorRequest::History { limit } => Ok(self.history(limit)),
            OperatorRequest::Diff { from, to } => self.diff(from, to),
            OperatorRequest::InForce { version } => Ok(json!({
                "version": version.0,
                "in_force": self.in_force(version),
            })),
            OperatorRequest::Drain { instance } => self.drain(&instance),
            OperatorRequest::Burn { window_ms } => Ok(self.burn_report(window_ms)),
            OperatorRequest::Change {
                id,
                base,
                author,
                edits,
            } => {
                let at_ms = Self::wall_ms();
                let change = Change {
                    id: ChangeId(id),
                    base,
                    author,
                    at_ms,
                    edits,
                };
                return self.propose(&Command::Change(change), Purpose::Answer(responder));
            }
            OperatorRequest::Rollback {
                id,
                base,
                author,
                to,
            } => {
                return self.roll_back(ChangeId(id), base, author, to, responder);
            }
            OperatorRequest::VoterAdd { instance } => return self.add_voter(&instance, responder),
            OperatorRequest::VoterRemove { instance } => {
                return self.remove_voter(&instance, responder);
            }
        };
        responder.send(match answer {
            Ok(value) => Answer::Operator(value),
            Err(refusal) => Answer::Refused(refusal),
        });
    }

    fn roll_back(
        &mut self,
        id: ChangeId,
        base: Version,
        author: Name,
        to: Version,
        responder: Responder,
    ) {
        let restored = self
            .machine
            .settings
            .rollback(to, id, author, Self::wall_ms());
        match restored {
            Ok(change) => {
                let change = Change { base, ..change };
                self.propose(&Command::Change(change), Purpose::Answer(responder));
            }
            Err(refusal) => responder.send(Answer::Refused(settings_refusal(&refusal))),
        }
    }

    fn status(&self) -> Value {
        let ledger = &self.machine.ledger;
        let version = self.machine.settings.version();
        let ready = ledger
            .replica_states()
            .filter(|(_, replica_state)| replica_state.phase == Phase::Ready)
            .count();
        json!({
            "leader": self.config.instance,
            "term": self.term.0,
            "applied": self.applied_index.0,
            "settings_version": version.0,
            "in_force": self.in_force(version),
            "engines": ledger.engines().filter(|e| !e.lost).count(),
            "engines_lost": ledger.engines().filter(|e| e.lost).count(),
            "replicas_ready": ready,
            "commands_unresolved": ledger.unresolved().count(),
            "idle_accelerator_seconds": self.planner.idle_seconds(),
            "store_slowdown": self.planner.store_slowdown(self.now()),
            "members": self.members(),
        })
    }

    fn members(&self) -> Vec<Value> {
        let connected = |id: &Id| {
            *id == self.config.id || self.control_links.values().any(|l| l.peer.id == id.0)
        };
        let row = |id: &Id, voter: &MemberInfo, role: &str| {
            json!({
                "instance": voter.name,
                "id": id.to_string(),
                "address": voter.address,
                "role": role,
                "connected": connected(id),
            })
        };
        let voters = self
            .membership
            .voters
            .iter()
            .map(|(id, voter)| row(id, voter, "voter"));
        let learners = self
            .membership
            .learners
            .iter()
            .map(|(id, voter)| row(id, voter, "learner"));
        voters.chain(learners).collect()
    }

    fn instances(&self) -> Value {
        let now = self.now();
        let row = |r: &super::routers::Router| {
            json!({
                "instance": r.instance,
                "address": r.address,
                "failure_domain": r.failure_domain,
                "incarnation": r.incarnation,
                "connected": r.link.is_some(),
                "lease_ms": r.lease_until.saturating_sub(now),
                "settings_version": r.tree_version.0,
                "leaving": r.leaving || self.drained_instances.contains(&r.instance),
            })
        };
        self.routers.all().map(row).collect()
    }

    fn engines(&self) -> Value {
        let row = |engine: &Engine| {
            let replicas: Vec<String> = engine
                .replica_states
                .iter()
                .map(|((model, version), replica_state)| {
                    format!("{model}@{version}:{:?}", replica_state.phase)
                })
                .collect();
            json!({
                "engine": engine.id,
                "address": engine.address,
                "failure_domain": engine.failure_domain,
                "incarnation": engine.incarnation,
                "lost": engine.lost,
                "checks_tokens": engine.fencing,
                "memory_mb": engine.memory_mb,
                "reserved_mb": engine.reserved_mb(),
                "replicas": replicas,
            })
        };
        self.machine.ledger.engines().map(row).collect()
    }

    fn models(&self) -> Value {
        let tree = self.machine.settings.tree();
        let mut rows = Vec::new();
        for (service, service_settings) in &tree.services {
            for (name, model) in &service_settings.models {
                let replica_states = self
                    .machine
                    .ledger
                    .replica_states()
                    .filter(|(id, _)| id.model == *name);
                let replicas: Vec<String> = replica_states
                    .map(|(id, replica_state)| format!("{}:{:?}", id.engine, replica_state.phase))
                    .collect();
                rows.push(json!({
                    "model": name,
                    "service": service,
                    "version": model.version,
                    "memory_mb": model.memory_mb,
                    "adapters": model.adapters.len(),
                    "replicas": replicas,
                }));
            }
        }
        Value::Array(rows)
    }

    fn settings(&self, path: &str, effective: bool) -> Result<Value, Refusal> {
        let tree = self.machine.settings.tree();
        let not_found = |e: lovageplank_core::settings::Error| {
            Refusal::new(RefusalCode::NotFound, e.to_string())
        };
        if effective {
            let resolved = tree.effective_with_origin(path).map_err(not_found)?;
            return Ok(serde_json::to_value(resolved).unwrap_or_default());
        }
        let value = tree.get(path).map_err(not_found)?;
        Ok(json!({
            "version": self.machine.settings.version().0,
            "path": path,
            "value": value,
        }))
    }

    fn history(&self, limit: u32) -> Value {
        let records = self.machine.settings.history().rev().take(limit as usize);
        records
            .map(|r| {
                json!({
                    "version": r.version.0,
                    "id": r.id.0,
                    "author": r.author,
                    "at_ms": r.at_ms,
                    "paths": r.edits.iter().map(|e| e.path.as_str()).collect::<Vec<_>>(),
                })
            })
            .collect()
    }

    fn diff(&self, from: Version, to: Version) -> Result<Value, Refusal> {
        let settings = &self.machine.settings;
        let tree = |version| {
            settings.tree_at(version).ok_or_else(|| {
                let message = format!(
                    "version {} is not kept; {} to {} are",
                    version.0,
                    settings.oldest_version().0,
                    settings.version().0
                );
                Refusal::new(RefusalCode::NotFound, message)
            })
        };
        let edits = diff(&tree(from)?, &tree(to)?);
        Ok(serde_json::to_value(edits).unwrap_or_default())
    }

    fn drain(&mut self, instance: &Name) -> Result<Value, Refusal> {
        if !self.routers.all().any(|r| r.instance == *instance) {
            let message = format!("no instance is called {instance}; see `instances`");
            return Err(Refusal::new(RefusalCode::NotFound, message));
        }
        self.drained_instances.insert(instance.clone());
        self.view_changed = true;
        Ok(json!({ "instance": instance, "leaving": true }))
    }
}

/// Refuses a call because the state here may be outdated.
fn refuse_without_quorum(responder: Responder, standing: Standing) {
    let message = match standing {
        Standing::Silent => "this instance waits for its disk; ask again, or ask another",
        Standing::Leads | Standing::Lost => "this instance has lost the quorum; ask another",
    };
    responder.send(Answer::Refused(Refusal::new(
        RefusalCode::NoLeader,
        message,
    )));
}
