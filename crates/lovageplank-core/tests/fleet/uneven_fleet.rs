//! Load of an uneven fleet: engines of a failure domain are slower than the others, and the speed of each engine changes
//! some times a second. Each router sends a given engine a request every ten seconds or so.
//!
//! Without the speeds of engines, the slow domain has the most requests in progress.

use crate::samples::{RETRY_LIMIT, deployment, engine, request};
use lovageplank_core::fleet::dispatch::{Decision, Dispatcher, RequestSpec};
use lovageplank_core::fleet::message::Message;
use lovageplank_core::fleet::registry::Announcement;
use lovageplank_core::fleet::speed::{Collector, Figures};
use lovageplank_core::fleet::totals::Sent;
use lovageplank_core::prelude::*;

const SEEDS: [u64; 2] = [1, 2];
const ENGINES: usize = 48;
const ROUTERS: usize = 28;
const SLOTS: u32 = 12;
const INCARNATION: u64 = 1_000;
/// Time that work takes in the three failure domains, relative to the usual time.
const DOMAINS: [f64; 3] = [1.0, 1.0, 1.3];
const ENGINES_PER_DOMAIN: f64 = 16.0;
/// Least slowness of an engine at a moment, and how many times as much the greatest is.
const MOMENT_MIN: f64 = 0.35;
const MOMENT_RANGE: f64 = 8.0;
/// Milliseconds for which an engine keeps its speed: from this to three times as long.
const HOLD_MS: Millis = 200;
/// Requests that arrive in a step.
const ARRIVALS: f64 = 2.0;
const WORK_MS_MIN: f64 = 300.0;
const WORK_MS_RANGE: f64 = 1_400.0;
/// Milliseconds of work until the head of a response.
const HEAD_MS: f64 = 80.0;
/// Milliseconds between the events of a stream, at usual speed.
const EVENT_MS: f64 = 40.0;
const STEP_MS: Millis = 10;
const STEP_WORK_MS: f64 = 10.0;
/// Milliseconds of the run, and those at its beginning that aren't counted.
const RUN_MS: Millis = 30_000;
const SETTLE_MS: Millis = 10_000;
const REPORT_MS: Millis = 250;
const TOTALS_MS: Millis = 200;
/// Milliseconds from one process to another.
const LINK_MS: Millis = 20;
/// Mean of the busiest engine over the mean of all: the target.
const BUSIEST_MAX: f64 = 1.6;

/// What engines state as their fourth figure.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stated {
    /// There is no such figure.
    Nothing,
    /// The slowness relative to a usual engine.
    Absolute,
    /// The slowness relative to what is usual on that machine.
    Relative,
    /// A figure that changes with each response and means nothing.
    Noise,
}

/// Numbers of a `SplitMix64` generator.
struct Numbers(u64);

impl Numbers {
    /// A number of 31 bits.
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) >> 33
    }

    fn below(&mut self, end: usize) -> usize {
        usize::try_from(self.next()).expect("31 bits") % end
    }

    /// A number from 0 to 1.
    fn fraction(&mut self) -> f64 {
        f64::from(u32::try_from(self.next()).expect("31 bits")) / f64::from(1u32 << 31)
    }
}

/// A request in progress.
struct Running {
    router: usize,
    spec: RequestSpec,
    began_at: Millis,
    work_ms: f64,
    left_ms: f64,
    has_answered: bool,
}

struct Engine {
    id: Name,
    domain: f64,
    moment: f64,
    changes_at: Millis,
    running: Vec<Running>,
}

impl Engine {
    fn new(index: usize) -> Engine {
        Engine {
            id: (index + 1).to_string().into(),
            domain: DOMAINS[index % DOMAINS.len()],
            moment: 1.0,
            changes_at: 0,
            running: Vec::new(),
        }
    }

    fn slowness(&self) -> f64 {
        self.domain * self.moment
    }

    fn requests(&self) -> u32 {
        u32::try_from(self.running.len()).expect("few requests")
    }

    fn load(&self) -> f64 {
        f64::from(self.requests())
    }

    /// Time that each request takes with so many at once, relative to one at a usual engine.
    fn step_slowness(&self) -> f64 {
        let taken = self.load().min(f64::from(SLOTS)) / f64::from(SLOTS);
        self.slowness() * (0.65 + taken)
    }

    fn figures(&self, stated: Stated, numbers: &mut Numbers) -> Figures {
        let slowness = match stated {
            Stated::Nothing => None,
            Stated::Absolute => Some(self.slowness()),
            Stated::Relative => Some(self.moment),
            Stated::Noise => Some(0.3 + 3.0 * numbers.fraction()),
        };
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let percent = slowness.map(|slowness| (slowness * 100.0) as u32);
        Figures {
            running: self.requests().min(SLOTS),
            waiting: self.requests().saturating_sub(SLOTS),
            slots: SLOTS,
            percent,
        }
    }
}

/// A router's report on its way to the leader.
struct Report {
    arrives_at: Millis,
    router: usize,
    requests: BTreeMap<Name, u32>,
    speeds: Option<Message>,
}

/// The leader's totals on their way to routers.
struct Totals {
    arrive_at: Millis,
    changes: Vec<(Name, u32)>,
    speeds: Option<Message>,
}

/// What a run has measured.
#[derive(Debug, Default)]
struct Outcome {
    /// Mean requests in progress at an engine of each failure domain.
    domains: [f64; 3],
    /// Requests in progress at engines that got another one, summed, and how many those were: by how slow the engine
    /// was at that moment, the fastest third of all engines first.
    at_send: [(f64, f64); 3],
    /// Mean of the busiest engine over the mean of all.
    busiest: f64,
    refused: u32,
    /// Mean time from a request's arrival to its end.
    mean_ms: f64,
}

impl Outcome {
    fn is_slowest_domain_spared(&self) -> bool {
        self.domains[2] <= self.domains[0].max(self.domains[1])
    }

    /// Requests in progress at engines of the slowest third that got another one, over those of the fastest third.
    fn excess(&self) -> f64 {
        let mean = |(requests, count): (f64, f64)| requests / count;
        mean(self.at_send[2]) / mean(self.at_send[0])
    }
}

struct Fleet {
    stated: Stated,
    numbers: Numbers,
    engines: Vec<Engine>,
    routers: Vec<Dispatcher>,
    collector: Collector,
    sent: Sent,
    /// The last report of each router.
    reported: Vec<BTreeMap<Name, u32>>,
    reports: Vec<Report>,
    totals: Vec<Totals>,
    /// Requests in progress at each engine, summed over all steps.
    sums: Vec<f64>,
    ended: f64,
    outcome: Outcome,
}

impl Fleet {
    fn new(stated: Stated, seed: u64) -> Fleet {
        let engines: Vec<Engine> = (0..ENGINES).map(Engine::new).collect();
        let router = |index: u64| {
            let mut router =
                Dispatcher::new("none".into(), RETRY_LIMIT, 2 * RUN_MS, seed * 100 + index);
            for known in &engines {
                let slots = SLOTS;
                let announcement = engine(&known.id, &["a"]);
                router.observe(
                    0,
                    Announcement {
                        slots,
                        ..announcement
                    },
                );
            }
            router
        };
        Fleet {
            stated,
            numbers: Numbers(seed),
            routers: (0..).take(ROUTERS).map(router).collect(),
            engines,
            collector: Collector::default(),
            sent: Sent::default(),
            reported: vec![BTreeMap::new(); ROUTERS],
            reports: Vec::new(),
            totals: Vec::new(),
            sums: vec![0.0; ENGINES],
            ended: 0.0,
            outcome: Outcome::default(),
        }
    }

    fn change_speeds(&mut self, now: Millis) {
        for engine in self.engines.iter_mut().filter(|e| now >= e.changes_at) {
            engine.moment = MOMENT_MIN * MOMENT_RANGE.powf(self.numbers.fraction());
            engine.changes_at = now + HOLD_MS + self.numbers.next() % (2 * HOLD_MS);
        }
    }

    fn arrive(&mut self, now: Millis) {
        let router = self.numbers.below(ROUTERS);
        let spec = request("a", now + 10_000);
        let decision = self.routers[router].decide(now, &deployment(&["a"]), &spec, &[]);
        let target = match decision {
            Decision::Send(target) => target,
            Decision::Refuse { .. } => return self.outcome.refused += 1,
            other => panic!("neither sent nor refused: {other:?}"),
        };
        self.routers[router].load_tracker().began(&target.id, &spec);
        let index = target.id.parse::<usize>().expect("a number") - 1;
        if now >= SETTLE_MS {
            self.count_sent(index);
        }
        let work_ms = WORK_MS_MIN + WORK_MS_RANGE * self.numbers.fraction();
        self.engines[index].running.push(Running {
            router,
            spec,
            began_at: now,
            work_ms,
            left_ms: work_ms,
            has_answered: false,
        });
    }

    fn count_sent(&mut self, index: usize) {
        let slowness = self.engines[index].slowness();
        let faster = self.engines.iter().filter(|e| e.slowness() < slowness);
        let (requests, count) = &mut self.outcome.at_send[faster.count() * 3 / ENGINES];
        *requests += self.engines[index].load();
        *count += 1.0;
    }

    fn work(&mut self, now: Millis) {
        for engine in &mut self.engines {
            let slowness = engine.step_slowness();
            let figures = engine.figures(self.stated, &mut self.numbers);
            let slots = usize::try_from(SLOTS).expect("few");
            for running in engine.running.iter_mut().take(slots) {
                running.left_ms -= STEP_WORK_MS / slowness;
                if !running.has_answered && running.left_ms <= running.work_ms - HEAD_MS {
                    running.has_answered = true;
                    let router = &mut self.routers[running.router];
                    router.load_stated(now, &engine.id, INCARNATION, Some(figures));
                }
            }
            let done = engine
                .running
                .extract_if(.., |running| running.left_ms <= 0.0);
            for running in done {
                let router = &mut self.routers[running.router];
                router.load_tracker().ended(&engine.id, &running.spec);
                let took_ms = now - running.began_at;
                let took_ms = f64::from(u32::try_from(took_ms).expect("seconds"));
                let interval_ms = EVENT_MS * took_ms / running.work_ms;
                let model = running.spec.model.as_ref();
                router.events_paced(now, &engine.id, INCARNATION, model, interval_ms);
                if now >= SETTLE_MS {
                    self.outcome.mean_ms += took_ms;
                    self.ended += 1.0;
                }
            }
        }
    }

    /// Each router reports at another moment.
    fn report(&mut self, now: Millis) {
        for (index, router) in self.routers.iter_mut().enumerate() {
            let shift = u64::try_from(index).expect("few") * STEP_MS;
            if !(now + shift).is_multiple_of(REPORT_MS) {
                continue;
            }
            let (running, _) = router.load_tracker().take_load_report(now);
            let requests = running.into_iter().map(|r| (r.server, r.requests));
            self.reports.push(Report {
                arrives_at: now + LINK_MS,
                router: index,
                requests: requests.collect(),
                speeds: router.take_speed_report(now),
            });
        }
    }

    fn lead(&mut self, now: Millis) {
        for report in self.reports.extract_if(.., |r| r.arrives_at <= now) {
            self.reported[report.router] = report.requests;
            if let Some(Message::SpeedReport(speeds)) = report.speeds {
                self.collector.reported(now, &speeds);
            }
        }
        if !now.is_multiple_of(TOTALS_MS) {
            return;
        }
        let mut totals: BTreeMap<Name, u32> = BTreeMap::new();
        for (id, requests) in self.reported.iter().flatten() {
            *totals.entry(id.clone()).or_default() += requests;
        }
        let totals: Vec<(Name, u32)> = totals.into_iter().collect();
        self.totals.push(Totals {
            arrive_at: now + LINK_MS,
            changes: self.sent.changes(&totals),
            speeds: self.collector.take_relay(now).map(Message::ServerSpeeds),
        });
    }

    fn receive(&mut self, now: Millis) {
        for totals in self.totals.extract_if(.., |t| t.arrive_at <= now) {
            for router in &mut self.routers {
                router.change_totals(&totals.changes, 0);
                if let Some(Message::ServerSpeeds(relay)) = &totals.speeds {
                    router.speeds_relayed(now, relay);
                }
            }
        }
    }

    fn measure(&mut self) {
        for (index, engine) in self.engines.iter().enumerate() {
            self.sums[index] += engine.load();
            self.outcome.domains[index % DOMAINS.len()] += engine.load() / ENGINES_PER_DOMAIN;
        }
    }

    fn run(mut self) -> Outcome {
        let (mut now, mut due, mut steps) = (0, 0.0, 0.0);
        while now < RUN_MS {
            self.change_speeds(now);
            due += ARRIVALS;
            while due >= 1.0 {
                due -= 1.0;
                self.arrive(now);
            }
            self.work(now);
            self.report(now);
            self.lead(now);
            self.receive(now);
            if now >= SETTLE_MS {
                steps += 1.0;
                self.measure();
            }
            now += STEP_MS;
        }
        let mean = self.sums.iter().sum::<f64>() / (ENGINES_PER_DOMAIN * 3.0);
        self.outcome.busiest = self.sums.iter().copied().fold(0.0, f64::max) / mean;
        self.outcome.domains = self.outcome.domains.map(|sum| sum / steps);
        self.outcome.mean_ms /= self.ended;
        self.outcome
    }
}

fn run(stated: Stated, seed: u64) -> Outcome {
    let outcome = Fleet::new(stated, seed).run();
    println!("{stated:?}, {seed}: {:.2} {outcome:.2?}", outcome.excess());
    outcome
}

/// This load has the fault that the others guard against.
#[test]
fn without_speeds_the_slowest_domain_is_the_most_loaded() {
    for seed in SEEDS {
        let outcome = run(Stated::Nothing, seed);
        assert!(!outcome.is_slowest_domain_spared(), "{seed}: {outcome:?}");
    }
}

/// Engines that are always slow keep each request for longer, so that their requests pile up.
#[test]
fn the_slowest_domain_is_not_the_most_loaded() {
    for stated in [Stated::Absolute, Stated::Relative] {
        for seed in SEEDS {
            let outcome = run(stated, seed);
            let message = format!("{stated:?}, {seed}: {outcome:?}");
            assert!(outcome.is_slowest_domain_spared(), "{message}");
            assert!(outcome.busiest < BUSIEST_MAX, "{message}");
            assert_eq!(outcome.refused, 0, "{message}");
        }
    }
}

/// Engines that are slow at a moment finish less; they must get fewer requests in return.
#[test]
fn engines_that_are_slow_at_a_moment_get_fewer_requests_than_without_speeds() {
    for seed in SEEDS {
        let before = run(Stated::Nothing, seed);
        let after = run(Stated::Absolute, seed);
        let message = format!("{seed}: {before:?}, {after:?}");
        assert!(after.excess() < before.excess(), "{message}");
        assert!(after.mean_ms < before.mean_ms, "{message}");
    }
}

/// A figure that flaps must not move the requests of all routers from one engine to the next.
#[test]
fn figures_that_mean_nothing_do_no_harm() {
    for seed in SEEDS {
        let before = run(Stated::Nothing, seed);
        let after = run(Stated::Noise, seed);
        let message = format!("{seed}: {before:?}, {after:?}");
        assert!(after.mean_ms < 1.05 * before.mean_ms, "{message}");
        assert!(after.busiest < BUSIEST_MAX, "{message}");
        assert_eq!(after.refused, 0, "{message}");
    }
}
