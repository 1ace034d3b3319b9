//! What a control process knows of admitted versions and of streams' origins.

use super::{Admitted, Answer, Begun, Kept, Origin, Question, drop_before};
use crate::fleet::registry::{Registry, Stage};
use crate::prelude::*;

/// Versions of a service that are admitted at most. No resumable stream begins at a further one until
/// another is dropped.
const VERSIONS_MAX: usize = 32;
/// Milliseconds for which the leader must have known no server of a version before it drops the version. No
/// router sends requests to a server that has been silent for so long.
const DROP_AFTER_MS: Millis = 600_000;
/// Streams that are kept at most; beyond it, the ones that are forgotten soonest are dropped, and can't be
/// taken up at another router.
const STREAMS_MAX: usize = 65_536;
/// Milliseconds until a proposal that wasn't applied is made again.
const PROPOSE_AGAIN_MS: Millis = 1_000;

/// The origin of a stream.
#[derive(Clone, Debug)]
struct Record {
    kept: Kept,
    /// Whether it is in the log.
    is_replicated: bool,
    proposed_at: Option<Millis>,
}

/// The admitted versions and the origins of streams, as replicated or as reported by routers.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    admitted: Admitted,
    records: BTreeMap<Name, Record>,
    /// Since when no server of an admitted version is known.
    absent_since: BTreeMap<Origin, Millis>,
    /// When versions were last proposed, and under which number.
    versions_proposed: Option<(Millis, u64)>,
}

impl Ledger {
    /// The admitted versions.
    pub fn admitted(&self) -> &Admitted {
        &self.admitted
    }

    /// Number of streams whose origin is recorded.
    pub fn record_count(&self) -> usize {
        self.records.len()
    }

    /// Replaces the admitted versions by replicated ones, unless these are outdated. Returns whether they
    /// have changed.
    pub fn admit(&mut self, admitted: Admitted) -> bool {
        if admitted.number <= self.admitted.number {
            return false;
        }
        self.admitted = admitted;
        true
    }

    /// Adds streams that a router reported, or that are replicated. The first record of a stream counts.
    pub fn add(&mut self, now: Millis, begun: Vec<Begun>, is_replicated: bool) {
        for stream in begun {
            let record = self.records.entry(stream.stream).or_insert(Record {
                kept: Kept::new(now, stream.origin, stream.keep_ms),
                is_replicated: false,
                proposed_at: None,
            });
            record.is_replicated |= is_replicated;
        }
        self.bound();
    }

    /// Drops streams that can't be taken up any more.
    pub fn expire(&mut self, now: Millis) {
        self.records.retain(|_, record| now < record.kept.until);
    }

    /// Where a stream began. Only for a leader that has applied the log up to its own term.
    pub fn answer(&self, question: &Question) -> Answer {
        let record = question.stream.as_ref().and_then(|s| self.records.get(s));
        let recorded = record.map(|record| record.kept.origin.clone());
        let origin = recorded.or_else(|| self.admitted.sole_origin(&question.services));
        origin.map_or(Answer::Unknown, Answer::Known)
    }

    /// The records that aren't replicated, and that weren't proposed lately.
    pub fn proposal(&mut self, now: Millis) -> Vec<Begun> {
        let is_due = |at: Millis| now >= at + PROPOSE_AGAIN_MS;
        let records = self.records.iter_mut();
        let due = records.filter(|(_, r)| !r.is_replicated && r.proposed_at.is_none_or(is_due));
        due.map(|(stream, record)| {
            record.proposed_at = Some(now);
            record.kept.begun(now, stream)
        })
        .collect()
    }

    /// All records, for a snapshot.
    pub fn snapshot(&self, now: Millis) -> Vec<Begun> {
        let replicated = self.records.iter().filter(|(_, r)| r.is_replicated);
        replicated
            .map(|(s, record)| record.kept.begun(now, s))
            .collect()
    }

    /// The versions to propose, if servers run one that isn't admitted, or none has run one for long.
    pub fn versions_proposal(&mut self, now: Millis, registry: &Registry) -> Option<Admitted> {
        let present = present_versions(registry);
        let mut versions = self.admitted.versions.clone();
        for (service, software) in &present {
            let admitted = versions.entry((*service).clone()).or_default();
            if admitted.len() < VERSIONS_MAX {
                admitted.insert((*software).clone());
            }
        }
        let is_absent = |origin: &Origin| !present.contains(&(&origin.service, &origin.software));
        self.absent_since.retain(|origin, _| is_absent(origin));
        for (service, admitted) in &mut versions {
            admitted.retain(|software| {
                let origin = Origin {
                    service: service.clone(),
                    software: software.clone(),
                };
                if !is_absent(&origin) {
                    return true;
                }
                let since = *self.absent_since.entry(origin).or_insert(now);
                now < since + DROP_AFTER_MS
            });
        }
        versions.retain(|_, admitted| !admitted.is_empty());
        let number = self.admitted.number + 1;
        let is_proposed = self
            .versions_proposed
            .is_some_and(|(at, proposed)| proposed == number && now < at + PROPOSE_AGAIN_MS);
        if versions == self.admitted.versions || is_proposed {
            return None;
        }
        self.versions_proposed = Some((now, number));
        Some(Admitted { number, versions })
    }

    /// Ceases to lead: a later term proposes everything anew, and counts absences from its own start.
    pub fn resign(&mut self) {
        self.absent_since.clear();
        self.versions_proposed = None;
        for record in self.records.values_mut() {
            record.proposed_at = None;
        }
    }

    fn bound(&mut self) {
        if self.records.len() > STREAMS_MAX {
            let ends = self.records.values().map(|record| record.kept.until);
            let first_kept = drop_before(ends.collect());
            self.records.retain(|_, r| r.kept.until >= first_kept);
        }
    }
}

/// Services and versions of the servers that haven't left.
fn present_versions(registry: &Registry) -> BTreeSet<(&Name, &Name)> {
    let servers = registry.iter().map(|server| &server.announcement);
    let present = servers.filter(|server| server.stage != Stage::Gone);
    present
        .map(|server| (&server.service, &server.software))
        .collect()
}
