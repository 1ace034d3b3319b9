//! Which routers a control process sends the document to, when, and from which version on.
//!
//! Each version goes to all routers from the leader, and to those of its own failure domain from each other control
//! process, so that hundreds of routers get a long document from several links. Who sends is told by each router which
//! version it applies, and leaves out those that have a version already. A version that is overtaken before it was sent
//! to a router is never sent to it.
//!
//! What is sent in a time is bounded, as a share of the link of the process's instance: the messages to other control
//! processes, by which a leader keeps its office, go over the same link.

use super::pace::Pace;
use crate::prelude::*;

/// Share of the instance's link that documents may take.
const LINK_SHARE: f64 = 0.4;
/// Milliseconds of that share that may be sent at once.
const BURST_MS: f64 = 2.0;
/// Milliseconds after which a process sends a version to a router of another failure domain, if it doesn't lead: the
/// leader and the processes near the router have had that time.
const FAR_DELAY_MS: Millis = 500;
/// Milliseconds within which a router says after it connected which version it applies.
const REPORT_MS: Millis = 400;
/// Milliseconds after which a version is sent again to a router that doesn't say that it applies it.
const RESEND_MS: Millis = 2_000;

/// What is next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send the version in force on a link.
    Send {
        /// The link.
        link: u64,
        /// The version that the router has by then, or 0 if it needs the whole document.
        base: u64,
    },
    /// Nothing is due for so many milliseconds.
    Wait(Millis),
    /// All routers have the version in force, or it is on its way.
    Done,
}

/// The routers linked to a control process, and what they have of the document.
#[derive(Debug)]
pub struct Spread {
    /// By link.
    routers: BTreeMap<u64, Router>,
    /// The version in force at this process; 0 before the first one.
    version: u64,
    /// When it came into force here.
    since: Millis,
    pace: Pace,
    /// Decides the order of routers; another one at each process, so that two don't send to the same ones first.
    seed: u64,
}

#[derive(Debug)]
struct Router {
    /// Whether it is in the failure domain of this process.
    near: bool,
    connected_at: Millis,
    /// Whether it has said which version it applies.
    has_reported: bool,
    /// The version that it last said it applies.
    applied: u64,
    /// The last version that was sent on the link, and when; 0 after a patch that it couldn't apply.
    sent: (u64, Millis),
}

impl Spread {
    /// For a process whose instance has a link of so many bytes a second. The seed should differ between processes.
    pub fn new(link_bytes_per_s: f64, seed: u64) -> Spread {
        Spread {
            routers: BTreeMap::new(),
            version: 0,
            since: 0,
            pace: Pace::new(link_bytes_per_s * LINK_SHARE, BURST_MS),
            seed,
        }
    }

    /// Adds a router whose link came up.
    pub fn connected(&mut self, now: Millis, link: u64, near: bool) {
        let router = Router {
            near,
            connected_at: now,
            has_reported: false,
            applied: 0,
            sent: (0, now),
        };
        self.routers.insert(link, router);
    }

    /// Removes a router whose link went down.
    pub fn disconnected(&mut self, link: u64) {
        self.routers.remove(&link);
    }

    /// Records that a version is in force at this process.
    pub fn in_force(&mut self, now: Millis, version: u64) {
        if version > self.version {
            self.version = version;
            self.since = now;
        }
    }

    /// Records which version a router applies.
    pub fn applied(&mut self, link: u64, version: u64) {
        if let Some(router) = self.routers.get_mut(&link) {
            router.has_reported = true;
            router.applied = router.applied.max(version);
        }
    }

    /// Records that a router applies this version and couldn't apply the patch that it got.
    pub fn refused(&mut self, now: Millis, link: u64, version: u64) {
        self.applied(link, version);
        if let Some(router) = self.routers.get_mut(&link) {
            router.sent = (0, now);
        }
    }

    /// What is to be done next by this process. After [`Step::Send`], [`Spread::sent`] says what was sent.
    pub fn next(&mut self, now: Millis, leads: bool) -> Step {
        let due = |router: &Router| self.due_at(router, leads);
        let lacking = self
            .routers
            .iter()
            .filter_map(|(link, router)| Some((due(router)?, !router.near, *link)));
        let (mut first_due, mut later) = (None, None);
        for (at, far, link) in lacking {
            if at > now {
                later = Some(later.map_or(at, |earliest: Millis| earliest.min(at)));
                continue;
            }
            let rank = (far, rank(self.seed, link), link);
            first_due = Some(first_due.map_or(rank, |first| rank.min(first)));
        }
        let Some((_, _, link)) = first_due else {
            return later.map_or(Step::Done, |at| Step::Wait(at - now));
        };
        match self.pace.wait_ms(now) {
            0 => Step::Send {
                link,
                base: self.base(link),
            },
            wait_ms => Step::Wait(wait_ms),
        }
    }

    /// Records that the version in force was sent on a link, in so many bytes.
    pub fn sent(&mut self, now: Millis, link: u64, bytes: usize) {
        // `next` has looked whether the pace allows it.
        let _ = self.pace.take(now, bytes);
        if let Some(router) = self.routers.get_mut(&link) {
            router.sent = (self.version, now);
        }
    }

    /// When the version in force is due on a router's link; `None` if the router has it.
    fn due_at(&self, router: &Router, leads: bool) -> Option<Millis> {
        if router.applied >= self.version {
            return None;
        }
        let (sent, sent_at) = router.sent;
        if sent >= self.version {
            return Some(sent_at + RESEND_MS);
        }
        if !router.has_reported {
            return Some(router.connected_at + REPORT_MS);
        }
        let since = self.since.max(router.connected_at);
        Some(if router.near || leads {
            since
        } else {
            since + FAR_DELAY_MS
        })
    }

    /// The version that the router on a link has once it has read what was sent; 0 if a patch must not be sent.
    fn base(&self, link: u64) -> u64 {
        let Some(router) = self.routers.get(&link) else {
            return 0;
        };
        let (sent, _) = router.sent;
        // What was sent and isn't applied in all the time since may not have been understood.
        if sent >= self.version {
            0
        } else {
            sent.max(router.applied)
        }
    }
}

/// A number for a link, in another order for each seed (`SplitMix64`).
fn rank(seed: u64, link: u64) -> u64 {
    let state = mixed(seed).wrapping_add(link.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    mixed(state)
}

fn mixed(state: u64) -> u64 {
    let state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    state ^ (state >> 31)
}
