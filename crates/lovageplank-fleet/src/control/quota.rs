//! Quotas of tenants: blocks in the replicated log, and what the leader lends to routers from them.

use super::Shared;
use super::content::Content;
use super::state::State;
use lovageplank_core::consensus::Term;
use lovageplank_core::fleet::message::Message;
use lovageplank_core::fleet::quota::{
    Ask, Counted, Ledger, Lender, Limit, Policy, Pool, Reply, Reservation, Usage,
};
use lovageplank_core::prelude::*;
use lovageplank_process::clock;
use std::time::Duration;
use tokio::time::MissedTickBehavior;

/// Milliseconds between two looks at requests that wait and at leases that have expired. A router waits for an answer
/// for some hundred milliseconds.
const TICK_INTERVAL_MS: u64 = 50;
/// Milliseconds between two updates of the metrics.
const METRICS_INTERVAL_MS: Millis = 1_000;
/// Tenants that metrics name, in the order of the document; the others are added up.
const TENANTS_NAMED: usize = 64;
/// The name of the other tenants in metrics.
const OTHER: &str = "other";

/// The quotas, as a control process counts them.
pub(super) struct Quotas {
    policy: Policy,
    ledger: Ledger,
    /// Set while this process is the leader.
    lender: Option<Lender>,
}

impl Quotas {
    /// Those of a process that has applied nothing.
    pub(super) fn new(policy: Policy) -> Quotas {
        let ledger = Ledger::new(&policy);
        Quotas {
            policy,
            ledger,
            lender: None,
        }
    }
}

impl State {
    /// Begins to lend, if there are quotas.
    pub(super) fn lead_quotas(&mut self, term: Term) {
        if let Some(quotas) = &mut self.quotas {
            quotas.lender = Some(Lender::new(quotas.policy.clone(), term.0));
        }
        self.set_quota_limits();
    }

    /// Ceases to lend.
    pub(super) fn resign_quotas(&mut self) {
        if let Some(quotas) = &mut self.quotas {
            quotas.lender = None;
        }
    }

    /// Applies the limits of the document in force.
    pub(super) fn set_quota_limits(&mut self) {
        let Some(quotas) = &mut self.quotas else {
            return;
        };
        let policy = &quotas.policy;
        let deployment = self.deployment.as_ref();
        let tenants = deployment.into_iter().flat_map(|d| d.tenants.iter());
        let limits = tenants.filter_map(|tenant| {
            let quota = tenant.quota.as_ref()?;
            let pool = Pool {
                tenant: tenant.name.clone(),
                unit: quota.unit,
            };
            Some((pool, Limit::new(quota, policy)?))
        });
        if let Some(lender) = &mut quotas.lender {
            lender.set_limits(limits);
        }
    }

    /// Handles a router's message. Returns what is to be proposed. A leader that hasn't applied the entries of earlier
    /// ones doesn't answer.
    pub(super) fn quota_asked(&mut self, link: u64, ask: &Ask) -> Option<Content> {
        if !self.has_current_log() {
            return None;
        }
        let Quotas { ledger, lender, .. } = self.quotas.as_mut()?;
        let replies = lender
            .as_mut()?
            .ask(clock::boottime_ms(), ledger, link, ask);
        self.send_quota_replies(replies);
        self.quota_proposal()
    }

    /// Answers routers that waited, and counts leases that have expired. Returns what is to be proposed.
    fn tick_quotas(&mut self) -> Option<Content> {
        if !self.has_current_log() {
            return None;
        }
        let Quotas { ledger, lender, .. } = self.quotas.as_mut()?;
        let replies = lender.as_mut()?.tick(clock::boottime_ms(), ledger);
        self.send_quota_replies(replies);
        self.quota_proposal()
    }

    fn quota_proposal(&mut self) -> Option<Content> {
        let Quotas { ledger, lender, .. } = self.quotas.as_mut()?;
        let lender = lender.as_mut()?;
        let reservation = lender.proposal(clock::boottime_ms(), ledger, rand::random())?;
        let units: u64 = reservation.blocks.iter().map(|block| block.amount).sum();
        tracing::info!(
            event = "quota_block",
            term = self.term.0,
            tenants = reservation.blocks.len(),
            units
        );
        Some(Content {
            quota: Some(reservation),
            ..Content::default()
        })
    }

    /// Counts blocks of an entry of the log. If this leader proposed them, grants from them.
    pub(super) fn apply_quota(&mut self, term: Term, reservation: Option<&Reservation>) {
        let (Some(quotas), Some(reservation)) = (&mut self.quotas, reservation) else {
            return;
        };
        let now = clock::boottime_ms();
        quotas.ledger.apply(now, term.0, reservation);
        if let Some(lender) = &mut quotas.lender {
            let replies = lender.applied(now, &quotas.ledger, reservation);
            self.send_quota_replies(replies);
        }
    }

    /// Replaces the blocks that count by those of a snapshot.
    pub(super) fn restore_quotas(&mut self, counted: &[Counted]) {
        if let Some(quotas) = &mut self.quotas {
            quotas.ledger.restore(clock::boottime_ms(), counted);
        }
    }

    /// The blocks that count, for a snapshot.
    pub(super) fn quota_snapshot(&mut self) -> Vec<Counted> {
        let quotas = self.quotas.as_mut();
        quotas.map_or_else(Vec::new, |q| q.ledger.snapshot(clock::boottime_ms()))
    }

    fn send_quota_replies(&self, replies: Vec<Reply>) {
        for Reply { link, answer } in replies {
            self.routers.send(link, Message::QuotaAnswer(answer));
        }
    }

    /// What is used of the quotas, by tenant as metrics name it; nothing unless this process lends.
    fn quota_usage(&mut self) -> BTreeMap<Name, Usage> {
        let usage = match &mut self.quotas {
            Some(Quotas {
                ledger,
                lender: Some(lender),
                ..
            }) => lender.usage(clock::boottime_ms(), ledger),
            _ => Vec::new(),
        };
        let deployment = self.deployment.as_ref();
        let tenants = deployment.into_iter().flat_map(|d| d.tenants.iter());
        let named: BTreeSet<&str> = tenants.take(TENANTS_NAMED).map(|t| &*t.name).collect();
        by_tenant(usage, &named)
    }
}

/// Adds up the usage of each named tenant, and of all others together.
fn by_tenant(usage: Vec<Usage>, named: &BTreeSet<&str>) -> BTreeMap<Name, Usage> {
    let mut sums: BTreeMap<Name, Usage> = BTreeMap::new();
    for usage in usage {
        let tenant = usage.pool.tenant.clone();
        let name = if named.contains(&*tenant) {
            tenant
        } else {
            OTHER.into()
        };
        match sums.get_mut(&name) {
            Some(sum) => {
                sum.used += usage.used;
                sum.lent += usage.lent;
                sum.limit += usage.limit;
            }
            None => drop(sums.insert(name, usage)),
        }
    }
    sums
}

/// Sets the metrics of the tenants, and those of tenants that were recorded before to 0. Returns which are recorded now.
#[expect(clippy::cast_precision_loss, reason = "units of a few seconds")]
fn record(usage: &BTreeMap<Name, Usage>, before: &BTreeSet<Name>) -> BTreeSet<Name> {
    let recorded: BTreeSet<Name> = usage.keys().cloned().collect();
    for name in before.union(&recorded) {
        let usage = usage.get(name);
        let tenant = name.to_string();
        metrics::gauge!("lovageplank_control_quota_used", "tenant" => tenant.clone())
            .set(usage.map_or(0, |usage| usage.used) as f64);
        metrics::gauge!("lovageplank_control_quota_lent", "tenant" => tenant.clone())
            .set(usage.map_or(0, |usage| usage.lent) as f64);
        metrics::gauge!("lovageplank_control_quota_limit", "tenant" => tenant)
            .set(usage.map_or(0, |usage| usage.limit) as f64);
    }
    recorded
}

/// While this process leads, answers routers that wait and proposes blocks.
pub(super) async fn run(shared: Arc<Shared>) {
    let mut tick = tokio::time::interval(Duration::from_millis(TICK_INTERVAL_MS));
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut recorded_at = 0;
    let mut recorded = BTreeSet::new();
    while !shared.stop.is_cancelled() {
        tick.tick().await;
        let now = clock::boottime_ms();
        let mut state = shared.state();
        let leads = shared.leadership_status.leads(state.term);
        let content = if leads { state.tick_quotas() } else { None };
        if now >= recorded_at + METRICS_INTERVAL_MS {
            recorded_at = now;
            recorded = record(&state.quota_usage(), &recorded);
        }
        drop(state);
        if let Some(content) = content {
            shared.propose(&content);
        }
    }
}
