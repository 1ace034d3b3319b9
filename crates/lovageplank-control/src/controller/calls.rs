//! Calls from routers, backend servers and operators. The leader executes them; other control
//! processes forward them to the leader.

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

/// Milliseconds without an announcement after which a backend server is lost: three announcements
/// in a row are missing by then.
pub const SERVER_LEASE_MS: u64 = 3_500;

/// Milliseconds that a forwarded call may wait for the leader's answer. Beyond it, the call is
/// answered with [`Code::Unknown`]: the leader may still execute it.
const FORWARD_TIMEOUT_MS: u64 = 4_000;

/// Calls forwarded to the leader.
#[derive(Debug, Default)]
pub(super) struct Forwarded {
    next_id: u64,
    /// By id: the link on which the call was sent, its deadline, and the destination of the answer.
    pending: BTreeMap<u64, (u64, Millis, Responder)>,
}

impl Forwarded {
    /// Answers calls past their deadline with an unknown outcome.
    pub(super) fn expire(&mut self, now: Millis) {
        let expired: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, (_, at, _))| *at <= now)
            .map(|(id, _)| *id)
            .collect();
        self.fail(expired);
    }

    fn fail(&mut self, ids: Vec<u64>) {
        for id in ids {
            if let Some((_, _, responder)) = self.pending.remove(&id) {
                let message = "the leader gave no answer; ask again with the same id";
                responder.send(Answer::Refused(Refusal::new(RefusalCode::Unknown, message)));
            }
        }
    }
}

impl Controller {
    pub(super) fn handle_call(&mut self, call: Call, responder: Responder) {
        if self.leading_since.is_some() {
            self.execute_call(call, responder);
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
        self.control_links
            .values()
            .rev()
            .find(|link| link.peer.id == leader.0)
            .cloned()
    }

    fn forward(&mut self, link: &Link, call: Call, responder: Responder) {
        let id = self.forwarded.next_id;
        self.forwarded.next_id += 1;
        let expires_at = self.now() + FORWARD_TIMEOUT_MS;
        if link.send(Frame::Call { id, call }) {
            self.forwarded
                .pending
                .insert(id, (link.id, expires_at, responder));
        } else {
            let refusal = Refusal::new(
                RefusalCode::Overloaded,
                "the leader takes no calls; try again",
            );
            responder.send(Answer::Refused(refusal));
        }
    }

    pub(super) fn handle_control_disconnect(&mut self, link: u64) {
        self.control_links.remove(&link);
        let pending = self.forwarded.pending.iter();
        let affected = pending
            .filter(|(_, (on, _, _))| *on == link)
            .map(|(id, _)| *id)
            .collect();
        self.forwarded.fail(affected);
    }

    pub(super) fn handle_control_frame(&mut self, link: u64, frame: Frame) {
        match frame {
            Frame::Call { id, call } => {
                let Some(link) = self.control_links.get(&link).cloned() else {
                    return;
                };
                let responder = Responder::Link(link, id);
                if self.leading_since.is_some() {
                    self.execute_call(call, responder);
                } else {
                    // A forwarded call isn't forwarded again, so that calls can't circulate.
                    let refusal =
                        Refusal::new(RefusalCode::NoLeader, "this instance does not lead");
                    responder.send(Answer::Refused(refusal));
                }
            }
            Frame::Answer { id, answer } => {
                if let Some((_, _, responder)) = self.forwarded.pending.remove(&id) {
                    responder.send(answer);
                }
            }
            _ => {}
        }
    }

    fn execute_call(&mut self, call: Call, responder: Responder) {
        match call {
            Call::Announce(announcement) => responder.send(self.handle_announcement(announcement)),
            Call::Report(report) => {
                self.record_server_load(&report);
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
            Call::Operator(operator) => self.handle_operator_call(operator, responder),
        }
    }

    fn handle_announcement(&mut self, announcement: Announcement) -> Answer {
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
        self.handle_membership_events(events);
        if announcement.kind == Kind::Engine {
            self.handle_engine_announcement(now, announcement);
        }
        Answer::Grant(AnnouncementReply {
            heartbeat_ms: HEARTBEAT_MS,
            lease_ms: SERVER_LEASE_MS,
        })
    }

    fn record_server_load(&mut self, report: &ServerReport) {
        let known = self.servers.member(&report.id);
        if known.is_some_and(|m| m.incarnation == report.incarnation && m.state == State::Ready) {
            let load = ServerLoad {
                running: report.running,
                queued: report.queued,
            };
            self.server_loads.insert(report.id.clone(), load);
        }
    }
}
