//! What a control process records and passes on of backend servers: announcements and departures.

use super::state::State;
use lovageplank_core::fleet::message::Message;
use lovageplank_core::fleet::registry::{Announcement, Change, Departure, Stage};
use lovageplank_core::prelude::*;
use lovageplank_process::clock;

/// Number of announcement intervals between two broadcasts of a list of the live servers to
/// routers. Every control process sends such broadcasts. Routers avoid a server that was neither
/// announced nor listed for four intervals, so a longer time between broadcasts would make them
/// avoid live servers.
const LIVENESS_INTERVALS: u64 = 3;

/// How an announcement or a departure reached this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// By a call of the backend server.
    Direct,
    /// By a message of another control process.
    Relayed,
}

impl State {
    /// Records an announcement of a backend server, and readmits a server that was taken for gone and runs. Unless
    /// the registry ignores the announcement, it is forwarded:
    ///
    /// - To the other control processes, if the server called this process.
    /// - To the linked routers, if the incarnation, lifecycle stage or departure time is new.
    /// - To the linked routers also if it [is news](Announcement::is_news) to them, but then only if this
    ///   process leads or knows no leader.
    pub(super) fn observe_announcement(
        &mut self,
        mut announcement: Announcement,
        source: Source,
    ) -> Change {
        let now = clock::boottime_ms();
        self.readmit_if_due(now, &mut announcement);
        let known = self.registry.get(&announcement.id).map(|s| &s.announcement);
        let leave_time_changed = known.and_then(|k| k.leaves_in_ms) != announcement.leaves_in_ms;
        let has_leader = self.leader.is_some();
        let is_news = known.is_none_or(|known| announcement.is_news(known, has_leader));
        let id = announcement.id.clone();
        let change = self.registry.observe(now, announcement);
        let Some(server) = self.registry.get(&id).filter(|_| change != Change::Ignored) else {
            return change;
        };
        if let Some(planner) = &mut self.planner {
            planner.observe(now, &server.announcement);
        }
        let urgent = change != Change::Renewed || leave_time_changed;
        let notify_routers = urgent || is_news && (self.leads() || !has_leader);
        if !notify_routers && source == Source::Relayed {
            return change;
        }
        let announcement = server.announcement.clone();
        self.forward_announcement(announcement, notify_routers, source);
        change
    }

    /// Marks an announcement as that of a readmitted server, if it shows that a server runs which is taken for gone.
    fn readmit_if_due(&mut self, now: Millis, announcement: &mut Announcement) {
        let registry = &self.registry;
        if self.readmissions.observe(now, registry, announcement) {
            let Announcement {
                id,
                incarnation,
                number,
                ..
            } = &*announcement;
            tracing::warn!(event = "server_readmitted", %id, born_ms = incarnation, number);
            announcement.presence.readmitted_at = Some(*number);
        }
    }

    /// Records what a router reports: an incarnation of a backend server has said in an answer that it leaves.
    /// Forwards that as an announcement, unless it is known.
    pub(super) fn server_leaving(&mut self, id: &Name, incarnation: u64) -> Change {
        let now = clock::boottime_ms();
        let change = self.registry.mark_leaving(now, id, incarnation);
        let known = self.registry.get(id);
        if let Some(server) = known.filter(|_| change == Change::Moved) {
            let announcement = server.announcement.clone();
            if let Some(planner) = &mut self.planner {
                planner.observe(now, &announcement);
            }
            self.forward_announcement(announcement, true, Source::Direct);
        }
        change
    }

    /// Sends an announcement to the linked routers, if they are to have it, and to the other control processes,
    /// unless one of them relayed it.
    fn forward_announcement(
        &mut self,
        announcement: Announcement,
        notify_routers: bool,
        source: Source,
    ) {
        let message = Message::ServerAnnounced(Box::new(announcement));
        if source == Source::Direct {
            self.send_to_control_processes(&message);
        }
        if notify_routers {
            self.routers.broadcast(message);
        }
    }

    /// Broadcasts to routers which servers have announced themselves since the last broadcast, if
    /// one is due.
    pub(super) fn send_live_servers(&mut self, now: Millis) {
        if now < self.liveness_sent_at + LIVENESS_INTERVALS * self.announcement_interval_ms {
            return;
        }
        let since = self.liveness_sent_at;
        let recent = self.registry.iter().filter(|s| s.last_contact_at >= since);
        let live = recent.filter(|s| s.announcement.stage != Stage::Gone);
        let live = live.map(|s| (s.announcement.id.clone(), s.announcement.incarnation));
        self.routers.broadcast(Message::LiveServers(live.collect()));
        self.liveness_sent_at = now;
    }

    /// Records the departure of a backend server and forwards it: to the linked routers if it changes anything, and to
    /// the other control processes if the server called this process.
    ///
    /// A server that leaves doesn't name its incarnation. Processes that read of it late would take it for a later
    /// one, so that the departure says it. It is none if this process doesn't know the server; another control
    /// process may.
    pub(super) fn server_gone(&mut self, id: Name, departure: Option<Departure>, source: Source) {
        let now = clock::boottime_ms();
        let change = departure.map_or(Change::Ignored, |departure| {
            self.registry.mark_departed(now, &id, departure)
        });
        tracing::info!(event = "server_gone", %id, born_ms = departure.map(|d| d.incarnation),
            number = departure.map(|d| d.number), ?source, ?change);
        if change != Change::Ignored
            && let Some(planner) = &mut self.planner
        {
            planner.remove(&id);
        }
        let message = Message::server_gone(id, departure);
        if source == Source::Direct {
            self.send_to_control_processes(&message);
        }
        if change != Change::Ignored {
            self.routers.broadcast(message);
        }
    }

    /// Removes all state of backend servers that the registry no longer keeps: those that have been
    /// silent for `retention_ms`, and those that departed longer ago than the registry's own
    /// retention.
    pub(super) fn expire_servers(&mut self, now: Millis, retention_ms: Millis) {
        self.registry.expire(now, retention_ms);
        self.readmissions.expire(&self.registry);
        let registry = &self.registry;
        let known = self.sent_models.len();
        self.sent_models.retain(|id, _| registry.get(id).is_some());
        if self.sent_models.len() < known {
            self.full_update.forget_loaded_models();
        }
        if let Some(planner) = &mut self.planner {
            planner.retain(|id| registry.get(id).is_some());
        }
    }
}
