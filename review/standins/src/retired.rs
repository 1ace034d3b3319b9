//! A change of the configuration drops a model that engines hold.

use crate::Verdict;
use crate::client::{Clients, End, Request};
use crate::engine::{Engine, MODEL, Pace, Runs};
use crate::fleet::Fleet;
use crate::operator::{self, HOST};
use crate::record::Record;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

const MACHINES: u8 = 3;
/// Engines: one in each failure domain.
const ZONES: [&str; 3] = ["amman-east", "amman-west", "salt"];
/// Events of a stream, as the sheet has them, and the pause before each.
const PACE: Pace = Pace {
    events: 58,
    gap: Duration::from_millis(20),
};
/// The model that the change drops, and one that no engine holds at first.
const RETIRED: &str = "m1";
const RARE: &str = "m2";
/// Requests a second for the usual model, and for each of the two others.
const RATE_PER_S: f64 = 10.0;
const RARE_RATE_PER_S: f64 = 1.0;
/// Time for which callers ask for the model that is dropped, the pause around the change, and the time for which
/// they ask for the rare one.
const BEFORE: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_secs(5);
const AFTER: Duration = Duration::from_secs(15);

/// Plays the case.
pub fn play(root: &Path, folder: &Path, has_trouble: bool) -> Result<Verdict, String> {
    let record = Record::create(&folder.join("record.txt")).map_err(|e| e.to_string())?;
    let record = Arc::new(record);
    let state = std::env::temp_dir().join(format!("review-retired-{}", std::process::id()));
    let fleet = Fleet::start(root, &state, MACHINES).map_err(|e| e.to_string())?;
    let verdict = run(&fleet, &record, has_trouble);
    fleet.stop();
    verdict
}

fn run(fleet: &Fleet, record: &Arc<Record>, has_trouble: bool) -> Result<Verdict, String> {
    let runs = Runs::default();
    let mut engines = Vec::new();
    for (number, zone) in ZONES.into_iter().enumerate() {
        let (controls, held) = (fleet.control_addresses(), [MODEL, RETIRED]);
        let (runs, record) = (runs.clone(), record.clone());
        let engine = Engine::start(number, zone, PACE, &held, controls, runs, record);
        engines.push(engine.map_err(|e| e.to_string())?);
    }
    write(fleet, record, 1, &operator::configuration(1))?;
    thread::sleep(Duration::from_secs(4));

    let clients = Clients::new(fleet.front_addresses(), record.clone());
    press(&clients, RETIRED, BEFORE);
    press(&clients, "", PAUSE);
    let second = if has_trouble {
        operator::configuration_without(2, RETIRED)
    } else {
        operator::configuration(2)
    };
    write(fleet, record, 2, &second)?;
    press(&clients, "", PAUSE);
    press(&clients, RARE, AFTER);
    thread::sleep(Duration::from_secs(3));

    let sent = clients.sent.lock().expect("not poisoned");
    let answered = sent.iter().filter(|s| s.end == End::Answered(200)).count();
    let cut = sent.iter().filter(|s| s.end == End::Cut).count();
    let crashed = engines
        .iter()
        .filter(|engine| engine.has_crashed.load(Ordering::Acquire));
    let crashed = crashed.count();
    record.line(format!(
        "{} requests sent, {answered} answered with 200, {cut} cut",
        sent.len()
    ));
    record.line(format!(
        "{crashed} of {} engines were ordered to load more than they have room for",
        engines.len()
    ));
    if crashed > 0 {
        record.line("LIMIT is broken");
        return Ok(Verdict::Broken);
    }
    record.line("LIMIT held");
    Ok(Verdict::Held)
}

fn write(fleet: &Fleet, record: &Record, version: u64, configuration: &str) -> Result<(), String> {
    let controls = fleet.control_addresses();
    let written = operator::call(&controls, "PUT", configuration, Duration::from_secs(20));
    if written.is_none_or(|answer| answer.status() != 200) {
        return Err(format!("version {version} wasn't acknowledged"));
    }
    record.line(format!("version {version} acknowledged"));
    Ok(())
}

/// Sends requests for the usual model at a steady rate, and a few for another one if it has a name.
fn press(clients: &Arc<Clients>, other: &'static str, length: Duration) {
    let request = |model| Request {
        path: "/note/1",
        host: HOST,
        model,
        deadline_ms: 12_000,
        body: Arc::new(vec![b'x'; 1_700]),
    };
    let (began, mut count, mut others) = (Instant::now(), 0.0, 0.0);
    while began.elapsed() < length {
        clients.send(&request(MODEL));
        if !other.is_empty() && began.elapsed().as_secs_f64() * RARE_RATE_PER_S >= others {
            clients.send(&request(other));
            others += 1.0;
        }
        count += 1.0;
        let next = Duration::from_secs_f64(count / RATE_PER_S);
        thread::sleep(next.saturating_sub(began.elapsed()));
    }
}
