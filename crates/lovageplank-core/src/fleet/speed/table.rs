//! What a router knows of the speed of servers.

use super::{Average, Estimate, Figures, MAX_AGE_MS, Pace, Relay, Report, Statement, percent};
use crate::prelude::*;

/// Milliseconds for which a service counts as one whose servers state their speed.
const STATED_TTL_MS: Millis = 30_000;
/// Milliseconds between two reports of how fast servers stream.
const PACE_INTERVAL_MS: Millis = 2_000;
/// Models of which the time between events is kept. Beyond that all are measured anew.
const MODELS_MAX: usize = 1_024;

/// Which server something was stated by.
#[derive(Clone, Copy, Debug)]
pub struct Identity<'a> {
    /// Its name.
    pub id: &'a Name,
    /// Its incarnation.
    pub incarnation: u64,
    /// The service that it belongs to.
    pub service: &'a Name,
}

/// Estimates of a router, by server.
#[derive(Clone, Debug, Default)]
pub struct Table {
    servers: BTreeMap<Name, Estimate>,
    /// When a server of a service last stated its speed.
    stated_at: BTreeMap<Name, Millis>,
    /// Milliseconds between the events of a stream, by service and model.
    intervals: BTreeMap<(Name, Option<Name>), Average>,
    /// Newest statements that haven't been reported, with the incarnation and the time.
    unreported: BTreeMap<Name, (u64, u32, Millis)>,
    /// Measurements that haven't been reported, with the incarnation.
    paces: BTreeMap<Name, (u64, Average)>,
    paces_reported_at: Millis,
}

impl Table {
    /// Records what a server stated in a response to this router; `None` if it stated nothing that can be read.
    /// Returns whether it is used: whether a server can be in that state.
    pub fn stated(&mut self, now: Millis, server: Identity<'_>, figures: Option<Figures>) -> bool {
        let figures = figures.filter(Figures::is_plausible);
        // Servers of most services never state anything.
        if figures.is_none() && !self.servers.contains_key(server.id) {
            return false;
        }
        let Some(estimate) = self.estimate_mut(server.id, server.incarnation) else {
            return false;
        };
        estimate.stated(now, figures);
        if let Some(percent) = figures.and_then(|figures| figures.percent) {
            self.stated_at.insert(server.service.clone(), now);
            let statement = (server.incarnation, percent, now);
            self.unreported.insert(server.id.clone(), statement);
        }
        figures.is_some()
    }

    /// Records the milliseconds between two events of a stream of a server.
    pub fn paced(&mut self, server: Identity<'_>, model: Option<&Name>, interval_ms: f64) {
        if self.intervals.len() >= MODELS_MAX {
            self.intervals.clear();
        }
        let key = (server.service.clone(), model.cloned());
        let usual = self.intervals.entry(key);
        let usual = usual.or_insert_with(|| Average::new(interval_ms, 0));
        let ratio = interval_ms / usual.value().max(f64::MIN_POSITIVE);
        usual.add(interval_ms, 1);
        let Some(estimate) = self.estimate_mut(server.id, server.incarnation) else {
            return;
        };
        estimate.paced(ratio, 1);
        let fresh = (server.incarnation, Average::new(0.0, 0));
        let pace = self.paces.entry(server.id.clone()).or_insert(fresh);
        if pace.0 != server.incarnation {
            *pace = fresh;
        }
        pace.1.add(ratio, 1);
    }

    /// Records what the leader relays. `service_of` names the service of an incarnation that is known.
    pub fn relayed(
        &mut self,
        now: Millis,
        relay: &Relay,
        service_of: impl Fn(&Name, u64) -> Option<Name>,
    ) {
        for lasting in &relay.lasting {
            if service_of(&lasting.server, lasting.incarnation).is_none() {
                continue;
            }
            if let Some(estimate) = self.estimate_mut(&lasting.server, lasting.incarnation) {
                estimate.set_lasting(lasting);
            }
        }
        for statement in &relay.statements {
            let Some(service) = service_of(&statement.server, statement.incarnation) else {
                continue;
            };
            let at = now.saturating_sub(statement.age_ms);
            if let Some(estimate) = self.estimate_mut(&statement.server, statement.incarnation) {
                estimate.relayed(statement.percent, at);
            }
            let stated_at = self.stated_at.entry(service).or_insert(at);
            *stated_at = at.max(*stated_at);
        }
    }

    /// Whether a server of the service has stated its speed in the last half minute.
    pub fn is_stated(&self, now: Millis, service: &Name) -> bool {
        let stated_at = self.stated_at.get(service);
        stated_at.is_some_and(|at| now < at + STATED_TTL_MS)
    }

    /// Slowness of an incarnation of a server that is to be expected now; 1 if nothing is known.
    pub fn slowness(&self, now: Millis, id: &Name, incarnation: u64) -> f64 {
        let estimate = self.estimate(id, incarnation);
        estimate.map_or(1.0, |estimate| estimate.slowness(now))
    }

    /// Requests that an incarnation of a server has stated just now.
    pub fn requests(&self, now: Millis, id: &Name, incarnation: u64) -> Option<u32> {
        self.estimate(id, incarnation)?.requests(now)
    }

    /// Returns what the leader is to be told; `None` if there is nothing new.
    pub fn take_report(&mut self, now: Millis) -> Option<Report> {
        let mut report = Report::default();
        for (server, (incarnation, percent, at)) in std::mem::take(&mut self.unreported) {
            let age_ms = now.saturating_sub(at);
            // While the leader can't be told, statements grow old.
            if age_ms < MAX_AGE_MS {
                report.statements.push(Statement {
                    server,
                    incarnation,
                    percent,
                    age_ms,
                });
            }
        }
        if now >= self.paces_reported_at + PACE_INTERVAL_MS && !self.paces.is_empty() {
            self.paces_reported_at = now;
            let paces = std::mem::take(&mut self.paces).into_iter();
            report.paces = paces
                .map(|(server, (incarnation, mean))| Pace {
                    server,
                    incarnation,
                    percent: percent(mean.value()),
                    samples: mean.samples(),
                })
                .collect();
        }
        (report != Report::default()).then_some(report)
    }

    /// Forgets servers that aren't `known` any more.
    pub fn retain(&mut self, known: impl Fn(&Name) -> bool) {
        self.servers.retain(|id, _| known(id));
    }

    /// Slowness of each server of which something is known.
    pub fn all(&self, now: Millis) -> impl Iterator<Item = (&Name, f64)> {
        let servers = self.servers.iter();
        servers.map(move |(id, estimate)| (id, estimate.slowness(now)))
    }

    fn estimate(&self, id: &Name, incarnation: u64) -> Option<&Estimate> {
        let estimate = self.servers.get(id)?;
        (estimate.incarnation == incarnation).then_some(estimate)
    }

    /// The estimate of an incarnation; `None` if a later one is known.
    fn estimate_mut(&mut self, id: &Name, incarnation: u64) -> Option<&mut Estimate> {
        let estimate = self.servers.entry(id.clone());
        let estimate = estimate.or_insert_with(|| Estimate::new(incarnation));
        if estimate.incarnation < incarnation {
            *estimate = Estimate::new(incarnation);
        }
        (estimate.incarnation == incarnation).then_some(estimate)
    }
}
