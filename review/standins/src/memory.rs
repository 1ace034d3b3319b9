//! Many users come at once, with requests as long as the configuration allows.

use crate::Verdict;
use crate::client::{Clients, End, Request, Sent};
use crate::engine::{Engine, MODEL, Pace, Run, Runs};
use crate::fleet::{Fleet, MEMORY_MB};
use crate::operator::{self, HOST};
use crate::record::Record;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const MACHINES: u8 = 3;
/// Engines: four in each failure domain, as the sheet has them.
const ENGINES: usize = 12;
const ZONES: [&str; 3] = ["amman-east", "amman-west", "salt"];
/// Events of a stream, as the sheet has them, and the pause before each; on time is one of 250 ms at most.
const PACE: Pace = Pace {
    events: 58,
    gap: Duration::from_millis(100),
};
/// Longest body that the configuration allows.
const BODY_BYTES: usize = 4 << 20;
/// Requests a second of the sheet for ten machines: 53 streams; here for three.
const RATE_PER_S: f64 = 53.0 * 3.0 / 10.0;
/// Times the usual traffic, and for how long: one of the sheet's bursts.
const BURST_X: f64 = 2.3;
const BURST: Duration = Duration::from_secs(6);
/// Usual traffic before the burst, and after it.
const BEFORE: Duration = Duration::from_secs(15);
const AFTER: Duration = Duration::from_secs(9);
/// Requests cut on kept connections by one entry beyond which the rule is broken.
const CUT_MAX: usize = 3;

/// Plays the case.
pub fn play(root: &Path, folder: &Path, has_trouble: bool) -> Result<Verdict, String> {
    let record = Record::create(&folder.join("record.txt")).map_err(|e| e.to_string())?;
    let record = Arc::new(record);
    let state = std::env::temp_dir().join(format!("review-memory-{}", std::process::id()));
    let fleet = Fleet::start(root, &state, MACHINES).map_err(|e| e.to_string())?;
    let verdict = run(&fleet, &record, has_trouble);
    fleet.stop();
    verdict
}

fn run(fleet: &Fleet, record: &Arc<Record>, has_trouble: bool) -> Result<Verdict, String> {
    let runs = Runs::default();
    for number in 0..ENGINES {
        let controls = fleet.control_addresses();
        let zone = ZONES[number % ZONES.len()];
        Engine::start(
            number,
            zone,
            PACE,
            &[MODEL],
            controls,
            runs.clone(),
            record.clone(),
        )
        .map_err(|e| e.to_string())?;
    }
    let limit = Duration::from_secs(20);
    let controls = fleet.control_addresses();
    let written = operator::call(&controls, "PUT", &operator::configuration(1), limit);
    if written.is_none_or(|answer| answer.status() != 200) {
        return Err("the configuration wasn't acknowledged".into());
    }
    record.line("configuration 1 acknowledged");
    thread::sleep(Duration::from_secs(4));
    fleet.watch_memory(record);

    let clients = Clients::new(fleet.front_addresses(), record.clone());
    let request = Request {
        path: "/note/1",
        host: HOST,
        model: MODEL,
        deadline_ms: 12_000,
        body: Arc::new(vec![b'x'; BODY_BYTES]),
    };
    press(&clients, &request, RATE_PER_S, BEFORE);
    let burst_ms = record.now_ms();
    if has_trouble {
        record.line(format!("burst: {BURST_X} times the traffic"));
    }
    let x = if has_trouble { BURST_X } else { 1.0 };
    press(&clients, &request, RATE_PER_S * x, BURST);
    record.line("usual traffic");
    press(&clients, &request, RATE_PER_S, AFTER);
    thread::sleep(Duration::from_secs(13));
    Ok(judge(fleet, record, &clients, &runs, burst_ms))
}

/// Sends requests at a steady rate, whatever becomes of them.
fn press(clients: &Arc<Clients>, request: &Request, per_s: f64, length: Duration) {
    let began = Instant::now();
    let mut count = 0.0;
    while began.elapsed() < length {
        clients.send(request);
        count += 1.0;
        let next = Duration::from_secs_f64(count / per_s);
        thread::sleep(next.saturating_sub(began.elapsed()));
    }
}

/// The rule LOST: a machine in touch passes a request from a kept connection on to a sound engine, and closes
/// that connection without an answer, more than three times. A process that ends by itself counts as running.
fn judge(fleet: &Fleet, record: &Record, clients: &Clients, runs: &Runs, burst_ms: u64) -> Verdict {
    let sent = clients.sent.lock().expect("not poisoned");
    let runs = runs.lock().expect("not poisoned");
    let ends = fleet.ends.lock().expect("not poisoned");
    let peaks = fleet.peaks.lock().expect("not poisoned");
    let answered = sent.iter().filter(|s| s.end == End::Answered(200)).count();
    record.line(format!(
        "{} requests sent, {answered} answered with 200",
        sent.len()
    ));
    let mut is_broken = false;
    for (number, entry) in fleet.entries.iter().enumerate() {
        let was_cut = |s: &&Sent| {
            let run = runs.iter().find(|(id, ..)| *id == s.id);
            s.entry == number
                && s.is_on_kept
                && s.end == End::Cut
                && run.is_some_and(|(.., run)| *run != Run::Running)
        };
        let cut = sent.iter().filter(was_cut).count();
        let own_ends = ends.iter().filter(|(n, ..)| *n == number).count();
        record.line(format!(
            "{}: {} MB at most of {MEMORY_MB}, ended {own_ends} times, cut {cut} requests on kept connections that an engine ran",
            entry.name, peaks[number] >> 20
        ));
        is_broken |= cut > CUT_MAX;
    }
    let late = ends.iter().filter(|(_, at, _)| *at < burst_ms).count();
    record.line(format!("{late} ends before the burst"));
    if is_broken {
        record.line("LOST is broken");
        return Verdict::Broken;
    }
    record.line("LOST held");
    Verdict::Held
}
