//! Routers, control processes and callers of a simulated deployment, and what disturbs it.

use lovageplank_core::fleet::quota::{
    Answer, Ask, Charge, Counted, Decision, Ledger, Lender, Limit, Outcome, Policy, Pool,
    Reservation, Share,
};
use lovageplank_core::fleet::tenant::{Quota, Unit};
use lovageplank_core::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const STEP_MS: Millis = 5;
pub(super) const WINDOW_MS: Millis = 8_000;
const TICK_MS: Millis = 200;
const CONTROLS: usize = 3;

/// What disturbs a run.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    Partitions,
    Crashes,
    LeaderChanges,
    LateMessages,
    LowerLimits,
}

pub(super) struct Plan {
    pub(super) routers: usize,
    pub(super) run_ms: Millis,
    pub(super) slack: u64,
    /// Demand of each tenant, as a multiple of its rate.
    pub(super) demand: Vec<f64>,
    pub(super) quotas: Vec<Quota>,
    pub(super) faults: Vec<Fault>,
}

/// A request of a caller that was charged.
#[derive(Clone, Copy)]
pub(super) struct Sent {
    pub(super) tenant: usize,
    pub(super) amount: u64,
    pub(super) arrived_at: Millis,
    /// When it reached its server.
    pub(super) reached_at: Millis,
}

enum Payload {
    ToControl(usize, usize, Ask),
    ToRouter(usize, Answer),
    /// An entry of the log is committed, if its term still leads.
    Commit(usize, u64, Reservation),
    Apply(usize, u64, Reservation, usize),
    /// A request is sent to a server, or given up before that.
    Settle(usize, u64, Charge, Sent, bool),
}

struct Control {
    offset: Millis,
    ledger: Ledger,
    /// Entries of the log that it has applied.
    applied: usize,
    lender: Option<(u64, Lender)>,
    /// Time until which it can't reach anyone.
    cut_until: Millis,
    /// Whether it has the lowered limits.
    is_lowered: bool,
}

struct Router {
    offset: Millis,
    share: Share,
    session: u64,
    /// Requests that wait: tenant, units and arrival, by number.
    waiting: BTreeMap<(usize, u64), (u64, Millis)>,
    leader: usize,
    cut_until: Millis,
}

#[derive(Default)]
pub(super) struct Tally {
    pub(super) sent: Vec<Sent>,
    pub(super) arrived: Vec<u64>,
    pub(super) refused: Vec<u64>,
    pub(super) unknown: Vec<u64>,
    pub(super) asks: u64,
    pub(super) entries: u64,
    pub(super) lowered_at: Option<Millis>,
}

pub(super) struct World {
    now: Millis,
    rng: SmallRng,
    plan: Plan,
    policy: Policy,
    controls: Vec<Control>,
    routers: Vec<Router>,
    queue: BTreeMap<(Millis, u64), Payload>,
    events: u64,
    log: Vec<(u64, Reservation)>,
    term: u64,
    leader: usize,
    /// Units of each tenant that are to arrive.
    due: Vec<f64>,
    tally: Tally,
}

fn pool(tenant: usize, quota: &Quota) -> Pool {
    Pool {
        tenant: format!("tenant-{tenant}").into(),
        unit: quota.unit,
    }
}

impl World {
    pub(super) fn new(seed: u64, plan: Plan) -> World {
        let mut rng = SmallRng::seed_from_u64(seed);
        let policy = Policy {
            window_ms: WINDOW_MS,
            overage: 0.1,
            slack: plan.slack,
        };
        let controls = (0..CONTROLS).map(|_| Control {
            offset: rng.random_range(0..1_000_000),
            ledger: Ledger::new(&policy),
            applied: 0,
            lender: None,
            cut_until: 0,
            is_lowered: false,
        });
        let controls = controls.collect();
        let routers = (0..plan.routers).map(|_| {
            let session = rng.random();
            Router {
                offset: rng.random_range(0..1_000_000),
                share: Share::new(session),
                session,
                waiting: BTreeMap::new(),
                leader: 0,
                cut_until: 0,
            }
        });
        let routers = routers.collect();
        let tenants = plan.quotas.len();
        let mut world = World {
            now: 0,
            rng,
            plan,
            policy,
            controls,
            routers,
            queue: BTreeMap::new(),
            events: 0,
            log: Vec::new(),
            term: 0,
            leader: 0,
            due: vec![0.0; tenants],
            tally: Tally {
                arrived: vec![0; tenants],
                refused: vec![0; tenants],
                unknown: vec![0; tenants],
                ..Tally::default()
            },
        };
        world.elect(0);
        world
    }

    /// Limits, before or after they are lowered.
    fn limits(&self, is_lowered: bool) -> Vec<(Pool, Limit)> {
        let quotas = self.plan.quotas.iter().enumerate();
        let limit = |(tenant, quota): (usize, &Quota)| {
            let mut lower = *quota;
            lower.rate_per_s /= 2;
            lower.burst /= 2;
            let limit = Limit::new(if is_lowered { &lower } else { quota }, &self.policy)?;
            Some((pool(tenant, quota), limit))
        };
        quotas.filter_map(limit).collect()
    }

    fn put(&mut self, delay: Millis, payload: Payload) {
        self.events += 1;
        self.queue.insert((self.now + delay, self.events), payload);
    }

    /// Milliseconds that a message takes; late ones take seconds, so that they overtake each other.
    fn delay(&mut self) -> Millis {
        if self.plan.faults.contains(&Fault::LateMessages) && self.rng.random_bool(0.03) {
            self.rng.random_range(500..6_000)
        } else {
            self.rng.random_range(1..25)
        }
    }

    fn elect(&mut self, control: usize) {
        self.term += 1;
        self.leader = control;
        self.catch_up(control, self.log.len());
        let mut lender = Lender::new(self.policy.clone(), self.term);
        lender.set_limits(self.limits(self.controls[control].is_lowered));
        self.controls[control].lender = Some((self.term, lender));
    }

    /// Applies the log up to a length.
    fn catch_up(&mut self, control: usize, length: usize) {
        let state = &mut self.controls[control];
        let now = self.now + state.offset;
        while state.applied < length {
            let (term, reservation) = &self.log[state.applied];
            state.ledger.apply(now, *term, reservation);
            state.applied += 1;
        }
    }

    fn reply(&mut self, replies: Vec<lovageplank_core::fleet::quota::Reply>) {
        for reply in replies {
            let delay = self.delay();
            self.put(delay, Payload::ToRouter(reply.link as usize, reply.answer));
        }
    }

    /// Has a leader propose what it needs.
    fn propose(&mut self, control: usize) {
        let ticket = self.rng.random();
        let state = &mut self.controls[control];
        let now = self.now + state.offset;
        let Some((term, lender)) = &mut state.lender else {
            return;
        };
        let term = *term;
        if let Some(reservation) = lender.proposal(now, &state.ledger, ticket) {
            let delay = self.rng.random_range(3..60);
            self.put(delay, Payload::Commit(control, term, reservation));
        }
    }

    fn handle(&mut self, payload: Payload) {
        match payload {
            Payload::ToControl(control, router, ask) => {
                let is_cut = self.now < self.controls[control].cut_until
                    || self.now < self.routers[router].cut_until;
                let state = &mut self.controls[control];
                let now = self.now + state.offset;
                if let Some((_, lender)) = state.lender.as_mut().filter(|_| !is_cut) {
                    let replies = lender.ask(now, &state.ledger, router as u64, &ask);
                    self.reply(replies);
                    self.propose(control);
                }
            }
            Payload::ToRouter(router, answer) => {
                if self.now >= self.routers[router].cut_until {
                    let state = &mut self.routers[router];
                    let outcomes = state.share.answered(self.now + state.offset, &answer);
                    self.outcomes(router, outcomes);
                }
            }
            Payload::Commit(control, term, reservation) => {
                if term != self.term || self.now < self.controls[control].cut_until {
                    return;
                }
                self.tally.entries += 1;
                self.log.push((term, reservation.clone()));
                let length = self.log.len();
                for other in 0..CONTROLS {
                    let delay = if other == control {
                        0
                    } else {
                        self.rng.random_range(0..400)
                    };
                    let reservation = reservation.clone();
                    self.put(delay, Payload::Apply(other, term, reservation, length));
                }
            }
            Payload::Apply(control, term, reservation, length) => {
                self.catch_up(control, length);
                let state = &mut self.controls[control];
                let now = self.now + state.offset;
                let own = state.lender.as_mut().filter(|(own, _)| *own == term);
                if let Some((_, lender)) = own {
                    let replies = lender.applied(now, &state.ledger, &reservation);
                    self.reply(replies);
                }
            }
            Payload::Settle(router, session, charge, sent, is_sent) => {
                if self.routers[router].session != session {
                    return;
                }
                let state = &mut self.routers[router];
                let now = self.now + state.offset;
                if is_sent {
                    state.share.settle(now, &charge);
                    self.tally.sent.push(Sent {
                        reached_at: self.now,
                        ..sent
                    });
                } else {
                    state.share.give_back(now, &charge);
                }
            }
        }
    }

    fn outcomes(&mut self, router: usize, outcomes: Vec<(u64, Outcome)>) {
        for (number, outcome) in outcomes {
            let waiting = &mut self.routers[router].waiting;
            let key = *waiting
                .keys()
                .find(|(_, n)| *n == number)
                .expect("it waits");
            let (amount, arrived_at) = waiting.remove(&key).expect("it waits");
            match outcome {
                Outcome::Charged(charge) => self.charged(router, key.0, amount, arrived_at, charge),
                Outcome::Refused { .. } => self.tally.refused[key.0] += 1,
                Outcome::Unknown => self.tally.unknown[key.0] += 1,
            }
        }
    }

    /// A request was charged; it waits for a server for a while, or its caller leaves before.
    fn charged(
        &mut self,
        router: usize,
        tenant: usize,
        amount: u64,
        arrived_at: Millis,
        charge: Charge,
    ) {
        let delay = if self.rng.random_bool(0.9) {
            0
        } else {
            self.rng.random_range(0..5_000)
        };
        let is_sent = delay == 0 || self.rng.random_bool(0.5);
        let sent = Sent {
            tenant,
            amount,
            arrived_at,
            reached_at: 0,
        };
        let session = self.routers[router].session;
        self.put(
            delay,
            Payload::Settle(router, session, charge, sent, is_sent),
        );
    }

    /// A request arrives at some router. Returns its units.
    fn arrive(&mut self, tenant: usize) -> u64 {
        let quota = self.plan.quotas[tenant];
        let amount = match quota.unit {
            Unit::Requests => 1,
            Unit::Tokens => self.rng.random_range(200..2_000),
        };
        self.tally.arrived[tenant] += amount;
        let router = self.rng.random_range(0..self.routers.len());
        let state = &mut self.routers[router];
        let now = self.now + state.offset;
        match state.share.charge(now, &pool(tenant, &quota), amount) {
            Decision::Charged(charge) => self.charged(router, tenant, amount, self.now, charge),
            Decision::Wait(number) => {
                state.waiting.insert((tenant, number), (amount, self.now));
            }
            Decision::Refused { .. } => self.tally.refused[tenant] += 1,
        }
        amount
    }

    fn disturb(&mut self) {
        let has = |fault| self.plan.faults.contains(&fault);
        let (partitions, crashes) = (has(Fault::Partitions), has(Fault::Crashes));
        let (changes_leader, lowers) = (has(Fault::LeaderChanges), has(Fault::LowerLimits));
        let control = self.rng.random_range(0..CONTROLS);
        let router = self.rng.random_range(0..self.routers.len());
        if partitions && self.rng.random_bool(0.001) {
            self.controls[control].cut_until = self.now + self.rng.random_range(100..6_000);
        }
        if partitions && self.rng.random_bool(0.002) {
            self.routers[router].cut_until = self.now + self.rng.random_range(100..6_000);
        }
        if crashes && self.rng.random_bool(0.002) {
            let session = self.rng.random();
            let state = &mut self.routers[router];
            state.share = Share::new(session);
            state.session = session;
            state.waiting.clear();
        }
        if crashes && self.rng.random_bool(0.001) {
            self.restart_control(control);
        }
        let is_reachable = self.now >= self.controls[control].cut_until;
        let is_lost = self.controls[self.leader].lender.is_none()
            || self.now < self.controls[self.leader].cut_until;
        let changes = is_lost && self.rng.random_bool(0.01)
            || changes_leader && self.rng.random_bool(0.000_5);
        if changes && is_reachable {
            // The former leader goes on until it learns of it.
            self.elect(control);
        }
        for control in 0..CONTROLS {
            let state = &mut self.controls[control];
            let is_former = state.lender.as_ref().is_some_and(|(t, _)| *t < self.term);
            if is_former && self.now >= state.cut_until && self.rng.random_bool(0.01) {
                state.lender = None;
            }
        }
        for router in 0..self.routers.len() {
            if self.routers[router].leader != self.leader && self.rng.random_bool(0.02) {
                self.routers[router].leader = self.leader;
                self.routers[router].share.leader_changed();
            }
        }
        if lowers && self.now == self.plan.run_ms / 2 {
            for control in 0..CONTROLS {
                self.controls[control].is_lowered = true;
                let limits = self.limits(true);
                if let Some((_, lender)) = &mut self.controls[control].lender {
                    lender.set_limits(limits);
                }
            }
            self.tally.lowered_at = Some(self.now);
        }
    }

    /// A control process loses its memory, and gets a snapshot of another one.
    fn restart_control(&mut self, control: usize) {
        let source = (control + 1) % CONTROLS;
        let now = self.now + self.controls[source].offset;
        let snapshot: Vec<Counted> = self.controls[source].ledger.snapshot(now);
        let applied = self.controls[source].applied;
        let state = &mut self.controls[control];
        state.offset += 1_000;
        state.ledger = Ledger::new(&self.policy);
        state.ledger.restore(self.now + state.offset, &snapshot);
        state.applied = applied;
        state.lender = None;
    }

    fn step(&mut self) {
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= self.now
        {
            let payload = entry.remove();
            self.handle(payload);
        }
        self.disturb();
        for tenant in 0..self.plan.quotas.len() {
            let rate_per_s = self.plan.quotas[tenant].rate_per_s as f64;
            let rate_per_step = rate_per_s * STEP_MS as f64 / 1_000.0;
            self.due[tenant] += self.plan.demand[tenant] * rate_per_step;
            while self.due[tenant] > 0.0 {
                let amount = self.arrive(tenant);
                // What comes next is as far off as this request is large, so that demand is never above the plan.
                self.due[tenant] -= amount as f64;
            }
        }
        for router in 0..self.routers.len() {
            let state = &mut self.routers[router];
            let now = self.now + state.offset;
            let outcomes = state.share.expire(now);
            let (ask, leader) = (state.share.take_ask(now), state.leader);
            self.outcomes(router, outcomes);
            if let Some(ask) = ask {
                self.tally.asks += 1;
                let delay = self.delay();
                self.put(delay, Payload::ToControl(leader, router, ask));
            }
        }
        if self.now.is_multiple_of(TICK_MS) {
            for control in 0..CONTROLS {
                let state = &mut self.controls[control];
                let now = self.now + state.offset;
                if let Some((_, lender)) = &mut state.lender {
                    let replies = lender.tick(now, &state.ledger);
                    self.reply(replies);
                    self.propose(control);
                }
            }
        }
        self.now += STEP_MS;
    }

    pub(super) fn run(mut self) -> (Plan, Policy, Tally) {
        while self.now < self.plan.run_ms {
            self.step();
        }
        (self.plan, self.policy, self.tally)
    }
}
