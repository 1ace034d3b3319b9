//! How far the members of the control group are behind their leader, and when it last heard them.

use lovageplank_core::consensus::{Follower, Id, Index, Membership, Node, Role};
use lovageplank_core::prelude::*;

/// Milliseconds for which a member lacks a committed entry from which on the log says so, once in that time.
const BEHIND_MS: Millis = 1_000;
/// Milliseconds between two looks at how far the members have got.
const LOOK_INTERVAL_MS: Millis = 100;

/// What a leader notes of the other members; empty on any other process.
#[derive(Debug, Default)]
pub(super) struct Lags {
    members: BTreeMap<Id, Lag>,
    looked_at: Millis,
    /// When each voter was last heard.
    heard_at: Vec<(Id, Millis)>,
}

/// How long a member has lacked a committed entry.
#[derive(Debug)]
struct Lag {
    /// The entry, which was committed at `since` or before.
    lacks: Index,
    since: Millis,
    logged_at: Millis,
}

impl Lags {
    /// Notes how far the members have got, and logs which are behind.
    pub(super) fn observe(&mut self, node: &Node, now: Millis) {
        if node.role() != Role::Leader {
            self.members.clear();
            return;
        }
        let voters = node.membership().voters.keys();
        let heard_at = voters.filter_map(|id| Some((*id, node.follower(*id)?.replied_at)));
        self.heard_at.clear();
        self.heard_at.extend(heard_at);
        if now < self.looked_at + LOOK_INTERVAL_MS {
            return;
        }
        self.looked_at = now;
        let ids: BTreeSet<Id> = node.membership().members().map(|(id, _)| id).collect();
        self.members.retain(|id, _| ids.contains(id));
        for (id, info) in node.membership().members() {
            if let Some(follower) = node.follower(id) {
                self.observe_member(id, &info.name, follower, node.commit(), now);
            }
        }
    }

    fn observe_member(
        &mut self,
        id: Id,
        name: &Name,
        follower: Follower,
        commit: Index,
        now: Millis,
    ) {
        let lag = self.members.entry(id).or_insert(Lag {
            lacks: commit,
            since: now,
            logged_at: now,
        });
        if follower.matched >= lag.lacks {
            (lag.lacks, lag.since) = (commit, now);
        }
        let behind_ms = now.saturating_sub(lag.since);
        if behind_ms < BEHIND_MS || now < lag.logged_at + BEHIND_MS {
            return;
        }
        lag.logged_at = now;
        let Follower {
            matched,
            next,
            sending,
            in_flight,
            replied_at,
        } = follower;
        let silent_ms = now.saturating_sub(replied_at);
        metrics::counter!("lovageplank_members_behind_total").increment(1);
        tracing::warn!(event = "member_behind", member = %name, behind_ms, silent_ms, commit = commit.0,
            matched = matched.0, next = next.0, ?sending, in_flight);
    }

    /// Logs when this process last heard the other voters, if it has just lost its office.
    pub(super) fn log_loss_of_office(&mut self, membership: &Membership, now: Millis) {
        if self.heard_at.is_empty() {
            return;
        }
        let silences = self.heard_at.drain(..).map(|(id, heard_at)| {
            let name = membership.voters.get(&id).map_or("", |info| &*info.name);
            format!("{name}={}", now.saturating_sub(heard_at))
        });
        let silent_ms = silences.collect::<Vec<_>>().join(",");
        tracing::warn!(event = "office_lost", silent_ms);
    }
}
