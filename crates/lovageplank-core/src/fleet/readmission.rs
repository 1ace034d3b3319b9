//! Servers that are taken for gone, and announce themselves again and again: they run.
//!
//! A server that leaves doesn't say which of its incarnations it is, and which server has an address is told by clocks
//! that may differ. So a server may be taken for gone by mistake. It doesn't know that: its announcements are
//! acknowledged. One that has left sends no more of them; a few may still arrive, seconds late.

use super::registry::{Announcement, Registry, Server, Stage};
use crate::prelude::*;

/// Announcements after which a server is readmitted: more than may be on their way when a server leaves.
const ANNOUNCEMENTS_MIN: u32 = 6;
/// Announcement intervals from the first to the last of them. Announcements that were held up arrive sooner one after
/// the other.
const INTERVALS_MIN: u64 = 5;

/// Announcements of servers that are taken for gone, as one process receives them.
#[derive(Clone, Debug)]
pub struct Tracker {
    announcement_interval_ms: Millis,
    cases: BTreeMap<Name, Case>,
}

/// The announcements of one incarnation since it was last taken for gone.
#[derive(Clone, Copy, Debug)]
struct Case {
    incarnation: u64,
    departed_at: Option<u64>,
    /// When the first of them arrived.
    first_at: Millis,
    /// Number of the newest one.
    newest: u64,
    /// How many there were.
    announcements: u32,
}

impl Tracker {
    /// For servers that announce themselves at this interval.
    pub fn new(announcement_interval_ms: Millis) -> Tracker {
        Tracker {
            announcement_interval_ms,
            cases: BTreeMap::new(),
        }
    }

    /// Records an announcement that the registry hasn't observed yet. Returns whether it shows that the server runs,
    /// though the registry takes it for gone.
    pub fn observe(
        &mut self,
        now: Millis,
        registry: &Registry,
        announcement: &Announcement,
    ) -> bool {
        let known = registry.get(&announcement.id).filter(|known| {
            known.announcement.incarnation == announcement.incarnation
                && known.announcement.stage == Stage::Gone
        });
        let Some(known) = known else {
            self.cases.remove(&announcement.id);
            return false;
        };
        let departed_at = known.announcement.presence.departed_at;
        if announcement.stage == Stage::Gone || Some(announcement.number) <= departed_at {
            return false;
        }
        let case = self.case(now, announcement, departed_at);
        if announcement.number > case.newest {
            case.newest = announcement.number;
            case.announcements += 1;
        }
        let case = *case;
        let span_ms = now.saturating_sub(case.first_at);
        let another_runs = registry
            .others_at(announcement)
            .any(|other| runs_since(other, case.first_at));
        case.announcements >= ANNOUNCEMENTS_MIN
            && span_ms >= INTERVALS_MIN * self.announcement_interval_ms
            && !another_runs
    }

    /// The case of an incarnation since it was last taken for gone.
    fn case(
        &mut self,
        now: Millis,
        announcement: &Announcement,
        departed_at: Option<u64>,
    ) -> &mut Case {
        let new = Case {
            incarnation: announcement.incarnation,
            departed_at,
            first_at: now,
            newest: 0,
            announcements: 0,
        };
        let case = self.cases.entry(announcement.id.clone()).or_insert(new);
        if (case.incarnation, case.departed_at) != (announcement.incarnation, departed_at) {
            *case = new;
        }
        case
    }

    /// Forgets servers that the registry doesn't know any more.
    pub fn expire(&mut self, registry: &Registry) {
        self.cases.retain(|id, _| registry.get(id).is_some());
    }
}

/// Whether a server isn't gone and has been heard of since a time.
fn runs_since(server: &Server, since: Millis) -> bool {
    server.announcement.stage != Stage::Gone && server.last_contact_at >= since
}
