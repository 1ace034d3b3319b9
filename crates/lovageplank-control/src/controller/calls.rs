//! Calls of routers, backend servers and operators: carried out by the leader, passed on by others.

use super::proposals::Purpose;
use super::{Controller, Responder};
use lovageplank_core::backend::{Announcement, AnnouncementReply, Kind, ServerReport, State};
use lovageplank_core::idempotency::{Claim, Outcome};
use lovageplank_core::membership::{Member, Role};
use lovageplank_core::prelude::*;
use lovageplank_core::state::Command;
use lovageplank_core::view::ServerLoad;
use lovageplank_process::link::Link;
use lovageplank_wire::call::{Call, RefusalCode};
use lovageplank_wire::{Answer, Frame, Refusal};

/// Milliseconds between announcements of a backend server.
pub const HEARTBEAT_MS: u64 = 1_000;

/// Milliseconds of silence after which a backend server is lost.
pub const SERVER_LEASE_MS: u64 = 3_500;

/// Milliseconds after which a forwarded call has an unknown outcome.
const FORWARD_MS: u64 = 4_000;

/// Calls passed on to the leader.
#[derive(Debug, Default)]
pub(super) struct Forwarded {
    next: u64,
    /// By id: the link it went to, when it is given up, and who waits.
    waiting: BTreeMap<u64, (u64, Millis, Responder)>,
}

impl Forwarded {
    /// Gives up calls without an answer.
    pub(super) fn expire(&mut self, now: Millis) {
        let due: Vec<u64> = self
            .waiting
            .iter()
            .filter(|(_, (_, at, _))| *at <= now)
            .map(|(id, _)| *id)
            .collect();
        self.give_up(due);
    }

    fn give_up(&mut self, ids: Vec<u64>) {
        for id in ids {
            if let Some((_, _, responder)) = self.waiting.remove(&id) {
                let message = "the leader gave no answer; ask again with the same id";
                responder.send(Answer::Refused(Refusal::new(RefusalCode::Unknown, message)));
            }
        }
    }
}

impl Controller {
    pub(super) fn take_call(&mut self, call: Call, responder: Responder) {
        if self.leads_since.is_some() {
            self.carry_out(call, responder);
            return;
        }
        if let Some(link) = self.leader_link() {
            self.forward(&link, call, responder);
            return;
        }
        let message = "no leader is known; try again, or ask another instance";
        responder.send(Answer::Refused(Refusal::new(
            RefusalCode::NoLeader,
            message,
        )));
    }

    fn leader_link(&self) -> Option<Link> {
        let leader = self.leader.filter(|id| *id != self.config.id)?;
        self.controls
            .values()
            .rev()
            .find(|link| link.peer.id == leader.0)
            .cloned()
    }

    fn forward(&mut self, link: &Link, call: Call, responder: Responder) {
        let id = self.forwarded.next;
        self.forwarded.next += 1;
        let until = self.now() + FORWARD_MS;
        if link.send(Frame::Call { id, call }) {
            self.forwarded
                .waiting
                .insert(id, (link.id, until, responder));
        } else {
            let refusal = Refusal::new(
                RefusalCode::Overloaded,
                "the leader takes no calls; try again",
            );
            responder.send(Answer::Refused(refusal));
        }
    }

    pub(super) fn control_down(&mut self, link: u64) {
        self.controls.remove(&link);
        let waiting = self.forwarded.waiting.iter();
        let lost = waiting
            .filter(|(_, (on, _, _))| *on == link)
            .map(|(id, _)| *id)
            .collect();
        self.forwarded.give_up(lost);
    }

    pub(super) fn take_control_frame(&mut self, link: u64, frame: Frame) {
        match frame {
            Frame::Call { id, call } => {
                let Some(link) = self.controls.get(&link).cloned() else {
                    return;
                };
                let responder = Responder::Link(link, id);
                if self.leads_since.is_some() {
                    self.carry_out(call, responder);
                } else {
                    // Not passed on again, so that calls can't circle.
                    let refusal =
                        Refusal::new(RefusalCode::NoLeader, "this instance does not lead");
                    responder.send(Answer::Refused(refusal));
                }
            }
            Frame::Answer { id, answer } => {
                if let Some((_, _, responder)) = self.forwarded.waiting.remove(&id) {
                    responder.send(answer);
                }
            }
            _ => {}
        }
    }

    fn carry_out(&mut self, call: Call, responder: Responder) {
        match call {
            Call::Announce(announcement) => responder.send(self.announce(announcement)),
            Call::Report(report) => {
                self.take_load(&report);
                responder.send(Answer::Done);
            }
            Call::Claim(claim) => {
                let command = Command::Claim(Claim {
                    at_ms: Self::wall_ms(),
                    ..claim
                });
                self.propose(&command, Purpose::Answer(responder));
            }
            Call::Complete(outcome) => {
                let command = Command::Complete(Outcome {
                    at_ms: Self::wall_ms(),
                    ..outcome
                });
                self.propose(&command, Purpose::Answer(responder));
            }
            Call::Operator(operator) => self.operate(operator, responder),
        }
    }

    fn announce(&mut self, announcement: Announcement) -> Answer {
        let now = self.now();
        let role = match announcement.kind {
            Kind::Engine => Role::Engine,
            Kind::Service => Role::Service,
        };
        let member = Member {
            id: announcement.id.clone(),
            incarnation: announcement.incarnation,
            role,
            address: announcement.address.clone(),
            failure_domain: announcement.failure_domain.clone(),
            services: announcement.services.clone(),
            state: announcement.state,
        };
        let events = self.servers.announce(now, member);
        self.take_events(events);
        if announcement.kind == Kind::Engine {
            self.take_announcement(now, announcement);
        }
        Answer::Grant(AnnouncementReply {
            heartbeat_ms: HEARTBEAT_MS,
            lease_ms: SERVER_LEASE_MS,
        })
    }

    fn take_load(&mut self, report: &ServerReport) {
        let known = self.servers.member(&report.id);
        if known.is_some_and(|m| m.incarnation == report.incarnation && m.state == State::Ready) {
            let load = ServerLoad {
                running: report.running,
                queued: report.queued,
            };
            self.loads.insert(report.id.clone(), load);
        }
    }
}
