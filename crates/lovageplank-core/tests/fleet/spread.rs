//! The document's way to hundreds of routers, simulated: five control processes, of which one leads, in five failure
//! domains, and the routers of these domains, each linked to all five.

use lovageplank_core::fleet::spread::{Spread, Step};
use lovageplank_core::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const DOMAINS: usize = 5;
const ROUTERS: u64 = 300;
/// 100 Mbit/s.
const LINK_BYTES_PER_S: f64 = 12.5e6;
/// Milliseconds within which a version is in force everywhere: `config-apply-ms` of the users' large site.
const APPLY_MS: Millis = 3_000;
/// Bytes that one process may send to routers within 100 ms: half of what its link carries, so that no message to another
/// control process waits longer than a quarter of the election timeout of 400 ms.
const WINDOW_BYTES: usize = 625_000;
const WINDOW_MS: Millis = 100;
const STEP_MS: Millis = 5;
/// A document of some 1,500 routes and 700 models, compressed.
const LONG_BYTES: usize = 100_000;

/// One run.
struct Run {
    processes: Vec<Spread>,
    /// Processes that run; the first one leads.
    up: Vec<bool>,
    /// The version in force at each process, and the newest one written.
    versions: Vec<u64>,
    newest: u64,
    /// Versions that come into force at processes: when, the process, the version.
    coming: Vec<(Millis, usize, u64)>,
    /// The version that each router applies.
    applied: BTreeMap<u64, u64>,
    /// Versions on their way to routers: when they are applied, the router, the version.
    on_way: Vec<(Millis, u64, u64)>,
    /// What was sent: when, by which process, to which router, the version, and how many bytes.
    sent: Vec<(Millis, usize, u64, u64, usize)>,
    random: SmallRng,
    now: Millis,
}

impl Run {
    fn new(seed: u64, down: &[usize]) -> Run {
        let mut processes: Vec<Spread> = (0..5)
            .map(|seed| Spread::new(LINK_BYTES_PER_S, seed))
            .collect();
        for (domain, process) in processes.iter_mut().enumerate() {
            for router in 0..ROUTERS {
                process.connected(0, router, domain_of(router) == domain);
                process.applied(router, 0);
            }
        }
        Run {
            processes,
            up: (0..DOMAINS)
                .map(|process| !down.contains(&process))
                .collect(),
            versions: vec![0; DOMAINS],
            newest: 0,
            coming: Vec::new(),
            applied: (0..ROUTERS).map(|router| (router, 0)).collect(),
            on_way: Vec::new(),
            sent: Vec::new(),
            random: SmallRng::seed_from_u64(seed),
            now: 0,
        }
    }

    /// Writes a version: it is in force at the leader at once, and within a heartbeat at the others.
    fn write(&mut self, version: u64) {
        self.newest = version;
        for process in 0..DOMAINS {
            let delay = if process == 0 {
                0
            } else {
                self.random.random_range(0..100)
            };
            self.coming.push((self.now + delay, process, version));
        }
    }

    /// Plays until a time. A version takes so many bytes, and a patch a fiftieth of them.
    fn play(&mut self, until: Millis, bytes: usize) {
        while self.now < until {
            self.now += STEP_MS;
            self.arrive();
            for process in 0..DOMAINS {
                if self.up[process] {
                    self.send(process, bytes);
                }
            }
        }
    }

    /// Puts in force, and reports to all processes, what has arrived by now.
    fn arrive(&mut self) {
        let now = self.now;
        for (_, process, version) in self.coming.extract_if(.., |(at, ..)| *at <= now) {
            self.versions[process] = version;
            self.processes[process].in_force(now, version);
        }
        for (_, router, version) in self.on_way.extract_if(.., |(at, ..)| *at <= now) {
            let applied = self.applied.entry(router).or_default();
            *applied = version.max(*applied);
            for process in &mut self.processes {
                process.applied(router, *applied);
            }
        }
    }

    fn send(&mut self, process: usize, bytes: usize) {
        while let Step::Send { link, base } = self.processes[process].next(self.now, process == 0) {
            let bytes = if base == 0 { bytes } else { bytes / 50 };
            let version = self.versions[process];
            self.processes[process].sent(self.now, link, bytes);
            self.sent.push((self.now, process, link, version, bytes));
            // The router's own link carries 10 Mbit/s, and it parses the document.
            let transfer_ms = u64::try_from(bytes / 1_250).expect("small");
            let at = self.now + transfer_ms + self.random.random_range(20..150);
            self.on_way.push((at, link, version));
        }
    }

    /// The most bytes that one process has sent within [`WINDOW_MS`].
    fn most_in_window(&self) -> usize {
        let mut most = 0;
        for process in 0..DOMAINS {
            let sent: Vec<(Millis, usize)> = self.by(process).collect();
            let (mut first, mut within) = (0, 0);
            for (at, bytes) in &sent {
                within += bytes;
                while sent[first].0 + WINDOW_MS <= *at {
                    within -= sent[first].1;
                    first += 1;
                }
                most = most.max(within);
            }
        }
        most
    }

    /// What a process has sent, in order: when, and how many bytes.
    fn by(&self, process: usize) -> impl Iterator<Item = (Millis, usize)> {
        let sent = self
            .sent
            .iter()
            .filter(move |(_, sender, ..)| *sender == process);
        sent.map(|(at, .., bytes)| (*at, *bytes))
    }

    fn all_apply(&self, version: u64) -> bool {
        self.applied.values().all(|applied| *applied >= version)
    }
}

fn domain_of(router: u64) -> usize {
    usize::try_from(router).expect("small") % DOMAINS
}

/// Guards against a long document that fills the link of the leader, so that it loses its office, and that isn't in force
/// in time (CONFIG).
#[test]
fn long_document_is_in_force_in_time_and_leaves_half_of_each_link_free() {
    for down in [&[][..], &[1], &[1, 3]] {
        for seed in 0..4 {
            let mut run = Run::new(seed, down);
            run.write(1);
            run.play(APPLY_MS, LONG_BYTES);
            assert!(run.all_apply(1), "{down:?}, seed {seed}");
            let most = run.most_in_window();
            assert!(most <= WINDOW_BYTES, "{down:?}, seed {seed}: {most}");
        }
    }
}

/// Guards against several processes that each send all routers the same.
#[test]
fn processes_share_the_work() {
    for seed in 0..4 {
        let mut run = Run::new(seed, &[]);
        run.write(1);
        run.play(APPLY_MS, LONG_BYTES);
        let sent = run.sent.len();
        assert!(
            sent * 2 <= 3 * usize::try_from(ROUTERS).expect("small"),
            "seed {seed}: {sent}"
        );
    }
}

/// Guards against versions that are overtaken and still take the link, and against a storm that starves some routers.
#[test]
fn storm_of_changes_is_in_force_in_time_and_overtaken_versions_are_left_out() {
    for seed in 0..4 {
        let mut run = Run::new(seed, &[]);
        run.write(1);
        run.play(APPLY_MS, LONG_BYTES);
        for version in 2..32 {
            run.write(version);
            run.play(run.now + 300, LONG_BYTES);
            // The version of 3 s ago is in force everywhere.
            assert!(
                run.all_apply(version.saturating_sub(9)),
                "seed {seed}, version {version}"
            );
        }
        run.play(run.now + APPLY_MS, LONG_BYTES);
        assert!(run.all_apply(31), "seed {seed}");
        assert!(run.most_in_window() <= WINDOW_BYTES, "seed {seed}");
        let mut last: BTreeMap<(usize, u64), u64> = BTreeMap::new();
        for (_, process, link, version, _) in &run.sent {
            let before = last.insert((*process, *link), *version);
            assert!(
                before <= Some(*version),
                "seed {seed}: {version} after {before:?}"
            );
        }
    }
}

/// Guards against a router that is left without the document since the only process near it is lost or behind.
#[test]
fn router_without_a_process_near_gets_the_document_without_a_leader() {
    let mut spread = Spread::new(LINK_BYTES_PER_S, 1);
    spread.in_force(0, 1);
    spread.connected(1_000, 7, false);
    assert!(matches!(spread.next(1_000, false), Step::Wait(_)));
    spread.applied(7, 0);
    assert!(matches!(spread.next(1_010, false), Step::Wait(_)));
    assert_eq!(spread.next(2_000, false), Step::Send { link: 7, base: 0 });
    spread.sent(2_000, 7, 100);
    spread.applied(7, 1);
    assert_eq!(spread.next(9_000, false), Step::Done);
}

/// Guards against a patch of a version that the router doesn't have, and against one that is sent again and again.
#[test]
fn router_that_refuses_a_patch_gets_one_of_the_version_that_it_has() {
    let mut spread = Spread::new(LINK_BYTES_PER_S, 1);
    spread.connected(0, 7, true);
    spread.applied(7, 3);
    spread.in_force(10, 4);
    assert_eq!(spread.next(10, true), Step::Send { link: 7, base: 3 });
    spread.sent(10, 7, 100);
    // What is on its way is the base of the next one.
    spread.in_force(20, 5);
    assert_eq!(spread.next(20, true), Step::Send { link: 7, base: 4 });
    spread.sent(20, 7, 100);
    assert!(matches!(spread.next(30, true), Step::Wait(_)));
    spread.refused(40, 7, 3);
    assert_eq!(spread.next(40, true), Step::Send { link: 7, base: 3 });
    spread.sent(40, 7, 100);
    // A router that stays silent gets the whole document.
    assert_eq!(spread.next(5_000, true), Step::Send { link: 7, base: 0 });
    spread.disconnected(7);
    assert_eq!(spread.next(5_000, true), Step::Done);
}
