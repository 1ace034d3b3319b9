//! A simulated deployment whose engines are short of capacity: routers with dispatchers of their own, engines that run
//! urgent requests first, a leader that sends totals, and callers that return once after a refusal.

use crate::samples::{deployment, engine};
use lovageplank_core::fleet::admission::Ending;
use lovageplank_core::fleet::deployment::Deployment;
use lovageplank_core::fleet::dispatch::{Decision, Dispatcher, RequestSpec, Software, Turn};
use lovageplank_core::fleet::registry::Announcement;
use lovageplank_core::fleet::request::{Rank, Work};
use lovageplank_core::fleet::retry_budget::RetryLimit;
use lovageplank_core::fleet::tenant::Tenant;
use lovageplank_core::prelude::*;

const MODELS: [&str; 4] = ["a", "b", "c", "d"];
const STEP_MS: u64 = 10;
const STEP_S: f64 = 0.01;
const RECHECK_MS: u64 = 40;
const REPORT_MS: u64 = 250;
const TOTALS_MS: u64 = 200;
/// Milliseconds from an engine's start of a request to the beginning of its answer.
const FIRST_ANSWER_MS: u64 = 80;
/// Part of the time left up to which callers honour a time to return.
const RETURN_DIVISOR: u64 = 3;

/// Requests of one kind.
#[derive(Clone, Debug)]
pub struct Kind {
    pub name: &'static str,
    pub priority: u32,
    pub objective_ms: u64,
    pub patience_ms: u64,
    /// Mean time in a slot; of one request in ten three times, of the others less.
    pub run_ms: u64,
    /// Requests a second, in each second of the run.
    pub per_s: fn(u64) -> f64,
    /// The tenant, with its number of requests of this kind.
    pub tenant: Option<&'static str>,
}

/// What became of the requests of a kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub asked: u32,
    /// Answers that began before the caller gave up.
    pub answered: u32,
    pub on_time: u32,
    /// Requests of the largest tenth.
    pub large_asked: u32,
    pub large_answered: u32,
    /// Refusals, the first ones and those after a return.
    pub refused: u32,
    /// Refusals whose time to return left no time for another attempt.
    pub refused_for_good: u32,
    /// Refusals while less than half of the places of an engine with the model were taken.
    pub refused_with_room: u32,
}

impl Tally {
    pub fn answered_part(&self) -> f64 {
        f64::from(self.answered) / f64::from(self.asked.max(1))
    }

    pub fn on_time_part(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.asked.max(1))
    }

    pub fn large_part(&self) -> f64 {
        f64::from(self.large_answered) / f64::from(self.large_asked.max(1))
    }
}

#[derive(Clone)]
struct Caller {
    kind: usize,
    request: RequestSpec,
    run_ms: u64,
    is_large: bool,
    has_returned: bool,
}

struct Waiting {
    caller: Caller,
    turn: Turn,
    decided_at: Millis,
}

struct Running {
    caller: Caller,
    router: usize,
    sent_at: Millis,
    left_ms: u64,
    started_at: Option<Millis>,
    is_answered: bool,
}

struct Router {
    dispatcher: Dispatcher,
    waiting: Vec<Waiting>,
    is_woken: bool,
}

pub struct Site {
    now: Millis,
    deployment: Deployment,
    routers: Vec<Router>,
    engines: Vec<(Name, Vec<Running>)>,
    slots: u32,
    /// Whether engines run nothing.
    pub stands_still: bool,
    reported: Vec<BTreeMap<Name, u32>>,
    returning: Vec<(Millis, Caller)>,
    kinds: Vec<Kind>,
    owed: Vec<f64>,
    random: u64,
    pub tallies: Vec<Tally>,
    /// Greatest number of requests that waited at a router.
    pub waiting_max: usize,
    /// Slots that ran a request, and all slots, summed over the steps of the run.
    pub busy: (u32, u32),
}

impl Site {
    pub fn new(routers: usize, engines: usize, slots: u32, kinds: &[Kind], is_on: bool) -> Site {
        let limit = RetryLimit {
            ratio: 0.2,
            extra: 60.0,
            window_ms: 10_000,
        };
        let announcements = (0..engines).map(|number| {
            let models = [MODELS[number % 4], MODELS[(number + 1) % 4]];
            Announcement {
                slots,
                ..engine(&format!("{}", number + 1), &models)
            }
        });
        let announcements: Vec<Announcement> = announcements.collect();
        let routers = (0..routers).map(|number| {
            let seed = 1_000 + u64::try_from(number).expect("few routers");
            let mut dispatcher = Dispatcher::new("east".into(), limit.clone(), 1_000_000, seed);
            dispatcher.set_pressure(is_on);
            for announcement in &announcements {
                dispatcher.observe(0, announcement.clone());
            }
            Router {
                dispatcher,
                waiting: Vec::new(),
                is_woken: false,
            }
        });
        let routers: Vec<Router> = routers.collect();
        let engines = announcements.into_iter().map(|a| (a.id, Vec::new()));
        Site {
            now: 0,
            deployment: deployment(&MODELS),
            reported: vec![BTreeMap::new(); routers.len()],
            routers,
            engines: engines.collect(),
            slots,
            stands_still: false,
            returning: Vec::new(),
            tallies: vec![Tally::default(); kinds.len()],
            owed: vec![0.0; kinds.len()],
            kinds: kinds.to_vec(),
            random: 11,
            waiting_max: 0,
            busy: (0, 0),
        }
    }

    /// The part of the slots that ran a request.
    pub fn busy_part(&self) -> f64 {
        f64::from(self.busy.0) / f64::from(self.busy.1.max(1))
    }

    /// Requests that wait though their callers have given up.
    pub fn overdue(&self) -> usize {
        let waiting = self.routers.iter().flat_map(|router| &router.waiting);
        let overdue = waiting.filter(|w| self.now >= w.caller.request.start_by);
        overdue.count()
    }

    /// Plays some seconds.
    pub fn play(&mut self, seconds: u64) {
        let end = self.now + seconds * 1_000;
        while self.now < end {
            self.step();
        }
    }

    /// Forgets what was counted so far, for a part of the run that is judged by itself.
    pub fn reset(&mut self) {
        self.tallies.fill(Tally::default());
        self.busy = (0, 0);
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        self.run_engines();
        self.report();
        self.arrive();
        for router in 0..self.routers.len() {
            self.decide_waiting(router);
        }
        if self.now.is_multiple_of(1_000) {
            for router in &mut self.routers {
                router.dispatcher.expire(self.now);
            }
        }
    }

    /// Runs the most urgent requests of each engine, the first ones of each rank; ends requests that are complete or
    /// whose callers have given up.
    fn run_engines(&mut self) {
        let now = self.now;
        for (id, requests) in &mut self.engines {
            let running = requests.len().min(self.slots as usize);
            self.busy.0 += u32::try_from(running).expect("few slots");
            self.busy.1 += self.slots;
            requests.sort_by_key(|r| (r.caller.request.rank, r.sent_at));
            let slots = if self.stands_still { 0 } else { self.slots };
            for running in requests.iter_mut().take(slots as usize) {
                running.started_at.get_or_insert(now);
                running.left_ms = running.left_ms.saturating_sub(STEP_MS);
            }
            for running in requests.iter_mut().filter(|r| !r.is_answered) {
                if running
                    .started_at
                    .is_some_and(|at| now >= at + FIRST_ANSWER_MS)
                {
                    running.is_answered = true;
                    let (router, after_ms) = (running.router, now - running.sent_at);
                    let request = &running.caller.request;
                    let dispatcher = &mut self.routers[router].dispatcher;
                    dispatcher.answer_began(now, request, after_ms);
                    let tally = &mut self.tallies[running.caller.kind];
                    tally.answered += 1;
                    tally.on_time += u32::from(now <= running.caller.request.objective_at);
                    tally.large_answered += u32::from(running.caller.is_large);
                }
            }
            let gone = requests.extract_if(.., |r| {
                let is_complete = r.left_ms == 0 && r.is_answered;
                is_complete || !r.is_answered && now >= r.caller.request.start_by
            });
            for running in gone {
                let router = &mut self.routers[running.router];
                let ran_ms = now - running.sent_at;
                let request = &running.caller.request;
                let ending = if running.is_answered {
                    Ending::Answered
                } else {
                    Ending::Unanswered
                };
                router.dispatcher.ended(now, id, request, ran_ms, ending);
                router.is_woken = true;
            }
        }
    }

    /// Sends routers' reports to the leader, and the leader's totals to routers.
    fn report(&mut self) {
        for (number, router) in self.routers.iter_mut().enumerate() {
            let offset = u64::try_from(number).expect("few routers") * STEP_MS;
            if (self.now + offset).is_multiple_of(REPORT_MS) {
                let (running, _) = router.dispatcher.load_tracker().take_load_report(self.now);
                let own = &mut self.reported[number];
                own.clear();
                for server in running {
                    *own.entry(server.server).or_default() += server.requests;
                }
            }
        }
        if !self.now.is_multiple_of(TOTALS_MS) {
            return;
        }
        let mut totals: BTreeMap<Name, u32> = BTreeMap::new();
        for (server, count) in self.reported.iter().flatten() {
            *totals.entry(server.clone()).or_default() += count;
        }
        for router in &mut self.routers {
            let totals = totals.clone().into_iter().collect();
            router.dispatcher.update_totals(totals, 0);
            router.is_woken = true;
        }
    }

    fn arrive(&mut self) {
        let second = self.now / 1_000;
        for kind in 0..self.kinds.len() {
            // Arrivals at random moments.
            let expected = (self.kinds[kind].per_s)(second) * STEP_S;
            self.owed[kind] += expected * 2.0 * self.unit();
            while self.owed[kind] >= 1.0 {
                self.owed[kind] -= 1.0;
                let caller = self.caller(kind);
                self.tallies[kind].asked += 1;
                self.tallies[kind].large_asked += u32::from(caller.is_large);
                self.ask(caller);
            }
        }
        let now = self.now;
        let due: Vec<_> = self
            .returning
            .extract_if(.., |(at, _)| *at <= now)
            .collect();
        for (_, caller) in due {
            self.ask(caller);
        }
    }

    fn caller(&mut self, number: usize) -> Caller {
        let kind = self.kinds[number].clone();
        let is_large = self.unit() < 0.1;
        let run_ms = kind.run_ms * if is_large { 30 } else { 8 } / 10;
        let model = MODELS[self.below(MODELS.len())];
        let tenant = kind.tenant.map(|name| {
            Arc::new(Tenant {
                name: name.into(),
                priority: None,
                quota: None,
            })
        });
        let request = RequestSpec {
            service: "drafting".into(),
            model: Some(model.into()),
            adapter: None,
            software: Software::Any,
            prompt_prefix: None,
            tenant,
            rank: Rank {
                tenant: 0,
                route: kind.priority,
            },
            work: Some(Work {
                prompt_tokens: 100,
                output_tokens: u32::try_from(run_ms / 10).expect("short"),
            }),
            objective_at: self.now + kind.objective_ms,
            start_by: self.now + kind.patience_ms,
        };
        Caller {
            kind: number,
            request,
            run_ms,
            is_large,
            has_returned: false,
        }
    }

    /// Has a caller ask a router.
    fn ask(&mut self, caller: Caller) {
        let router = self.below(self.routers.len());
        let dispatcher = &mut self.routers[router].dispatcher;
        dispatcher.arrived(self.now, &caller.request);
        let waiting = Waiting {
            caller,
            turn: Turn::new(1_000),
            decided_at: 0,
        };
        self.decide(router, waiting);
    }

    /// Decides about the waiting requests of a router: those whose turn it is, in order, and others after some time.
    fn decide_waiting(&mut self, number: usize) {
        let now = self.now;
        let router = &mut self.routers[number];
        self.waiting_max = self.waiting_max.max(router.waiting.len());
        let heads = if std::mem::take(&mut router.is_woken) {
            router.dispatcher.queue_heads(now)
        } else {
            Vec::new()
        };
        let due = router
            .waiting
            .iter()
            .filter(|w| now >= w.decided_at + RECHECK_MS);
        let due: Vec<u64> = due.filter_map(|w| w.turn.ticket()).collect();
        for ticket in heads.into_iter().chain(due) {
            let waiting = &mut self.routers[number].waiting;
            let found = waiting.iter().position(|w| w.turn.ticket() == Some(ticket));
            if let Some(found) = found {
                let waiting = waiting.remove(found);
                self.decide(number, waiting);
            }
        }
    }

    fn decide(&mut self, number: usize, mut waiting: Waiting) {
        let now = self.now;
        let router = &mut self.routers[number];
        let request = &waiting.caller.request;
        let (deployment, turn) = (&self.deployment, &mut waiting.turn);
        let decision = router
            .dispatcher
            .decide_in_turn(now, deployment, request, &[], turn);
        match decision {
            Decision::Send(target) => {
                router.dispatcher.began(now, &target.id, request);
                router.is_woken |= !router.waiting.is_empty();
                let engine = self.engines.iter_mut().find(|(id, _)| *id == target.id);
                let (_, requests) = engine.expect("a known engine");
                requests.push(Running {
                    left_ms: waiting.caller.run_ms,
                    caller: waiting.caller,
                    router: number,
                    sent_at: now,
                    started_at: None,
                    is_answered: false,
                });
            }
            Decision::Wait => {
                waiting.decided_at = now;
                router.waiting.push(waiting);
            }
            Decision::Refuse { retry_after_ms, .. } => {
                self.refused(waiting.caller, retry_after_ms);
            }
            Decision::Reserve { .. } => panic!("no engine is brittle"),
        }
    }

    /// Has a caller return once if it is told to within a third of the time that it has left.
    fn refused(&mut self, mut caller: Caller, retry_after_ms: u64) {
        let left_ms = caller.request.start_by.saturating_sub(self.now);
        let has_room = self.has_room(&caller.request);
        let tally = &mut self.tallies[caller.kind];
        tally.refused += 1;
        tally.refused_with_room += u32::from(has_room);
        if retry_after_ms > left_ms / RETURN_DIVISOR {
            tally.refused_for_good += 1;
        } else if !caller.has_returned {
            caller.has_returned = true;
            self.returning.push((self.now + retry_after_ms, caller));
        }
    }

    /// Whether an engine with the model has less than half of its places taken.
    fn has_room(&self, request: &RequestSpec) -> bool {
        let model = request.model.as_deref().expect("a model");
        let engines =
            self.engines.iter().enumerate().filter(|(number, _)| {
                MODELS[number % 4] == model || MODELS[(number + 1) % 4] == model
            });
        let mut loads = engines.map(|(_, (_, requests))| requests.len());
        loads.any(|load| load < self.slots as usize * 8 / 10)
    }

    fn unit(&mut self) -> f64 {
        let high = u32::try_from(self.next() >> 32).expect("32 bits");
        f64::from(high) / (f64::from(u32::MAX) + 1.0)
    }

    fn below(&mut self, bound: usize) -> usize {
        usize::try_from(self.next() >> 33).expect("31 bits") % bound
    }

    fn next(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
