//! Announcements and load reports, received by a simulated instance.

use std::sync::{Arc, Mutex};

use lovageplank_core::backend::{Announcement, AnnouncementReply, Kind, ServerReport, State};
use lovageplank_standin::engine::Config as Engine;
use lovageplank_standin::fault::Faults;
use lovageplank_standin::http::{Call, Control, Handler, Response, Server};
use lovageplank_standin::service::Config as Service;

#[path = "support/client.rs"]
mod client;

use client::{complete, eventually, load, post, unused_address};

/// An interval in milliseconds that is longer than any of these tests.
const LONG_MS: u64 = 600_000;

/// A simulated instance that keeps the announcements and reports it receives.
struct Instance {
    heartbeat_ms: u64,
    announced: Mutex<Vec<Announcement>>,
    reported: Mutex<Vec<ServerReport>>,
}

impl Instance {
    fn start(heartbeat_ms: u64) -> (Arc<Instance>, Server) {
        let instance = Arc::new(Instance {
            heartbeat_ms,
            announced: Mutex::default(),
            reported: Mutex::default(),
        });
        let server = Server::start("127.0.0.1:0", Control::default(), instance.clone());
        (instance, server.expect("port 0 is free"))
    }

    fn last(&self) -> Option<Announcement> {
        self.announced.lock().unwrap().last().cloned()
    }

    fn count(&self) -> usize {
        self.announced.lock().unwrap().len()
    }

    fn reports(&self) -> Vec<ServerReport> {
        self.reported.lock().unwrap().clone()
    }
}

impl Handler for Instance {
    async fn handle(self: Arc<Self>, call: Call) -> Response {
        let path = call.path.clone();
        let Ok(body) = call.read().await else {
            return Response::error(400, "bad_body", "unreadable");
        };
        if path == "/v1/announce" {
            let announcement = serde_json::from_slice(&body).expect("a valid announcement");
            self.announced.lock().unwrap().push(announcement);
        } else {
            let report = serde_json::from_slice(&body).expect("a valid report");
            self.reported.lock().unwrap().push(report);
        }
        let grant = AnnouncementReply {
            heartbeat_ms: self.heartbeat_ms,
            lease_ms: LONG_MS,
        };
        Response::json(200, &grant)
    }
}

#[test]
fn announces_at_the_granted_interval_after_skipping_an_unreachable_instance() {
    let (instance, server) = Instance::start(5);
    let engine = Engine::new("e1")
        .incarnation(7)
        .announce_to(unused_address())
        .announce_to(server.address().to_string())
        .start()
        .unwrap();
    eventually("the instance receives at least 3 announcements", || {
        instance.count() >= 3
    });
    assert_eq!(instance.last(), Some(engine.announcement()));
    assert_eq!(engine.announcement().incarnation, 7);
    let status = engine.announcement_status();
    assert_eq!(status.accepted_by, Some(server.address().to_string()));
    assert_eq!(
        status.failed, 1,
        "the unreachable instance must be tried exactly once"
    );
}

#[test]
fn announces_state_changes_immediately() {
    let (instance, server) = Instance::start(LONG_MS);
    let engine = Engine::new("e1")
        .load_ms(1)
        .announce_to(server.address().to_string())
        .start()
        .unwrap();
    let wait_for_announcement = |check: fn(&Announcement) -> bool| {
        eventually("the instance receives the expected announcement", || {
            instance.last().as_ref().is_some_and(check)
        });
    };
    wait_for_announcement(|announcement| announcement.loaded.is_empty());
    post(engine.address(), "/commands", &load("l", 3, "mason", 100));
    wait_for_announcement(|announcement| {
        announcement.loaded.iter().any(|replica| !replica.loading)
    });
    engine.leave();
    wait_for_announcement(|announcement| announcement.state == State::Leaving);
}

#[test]
fn reports_load_with_gaps_in_cache_events() {
    let (instance, server) = Instance::start(LONG_MS);
    let faults = Faults {
        lose_cache_event_every: 2,
        ..Faults::default()
    };
    let engine = Engine::new("e1")
        .load_ms(1)
        .report_ms(5)
        .faults(faults)
        .announce_to(server.address().to_string())
        .start()
        .unwrap();
    post(engine.address(), "/commands", &load("l", 1, "mason", 100));
    eventually("the engine announces a loaded replica", || {
        engine
            .announcement()
            .loaded
            .iter()
            .any(|replica| !replica.loading)
    });
    for number in 0..4 {
        let body = serde_json::json!({"model": "mason", "prompt": number.to_string()});
        complete(engine.address(), "r", &body).unwrap();
    }
    let cached = || {
        let reports = instance.reports();
        let events = reports.iter().flat_map(|report| report.cache.clone());
        events.map(|event| event.sequence).collect::<Vec<_>>()
    };
    eventually("the instance receives two of the four cache events", || {
        cached().len() == 2
    });
    assert_eq!(cached(), [1, 3]);
    let sequences: Vec<_> = instance.reports().iter().map(|r| r.sequence).collect();
    assert!(sequences.windows(2).all(|pair| pair[1] == pair[0] + 1));
}

#[test]
fn delays_reports_by_the_configured_lag() {
    let (instance, server) = Instance::start(LONG_MS);
    let faults = Faults {
        report_lag_ms: 100,
        ..Faults::default()
    };
    let _engine = Engine::new("e1")
        .report_ms(5)
        .faults(faults)
        .announce_to(server.address().to_string())
        .start()
        .unwrap();
    eventually("the instance receives a report", || {
        !instance.reports().is_empty()
    });
    assert!(instance.reports().iter().all(|report| report.age_ms >= 100));
}

#[test]
fn sends_nothing_while_the_silent_fault_is_set() {
    let (instance, server) = Instance::start(LONG_MS);
    let service = Service::new("s1")
        .service("orders")
        .announce_to(server.address().to_string())
        .start()
        .unwrap();
    eventually("the instance receives the first announcement", || {
        instance.count() == 1
    });
    assert_eq!(instance.last().unwrap().kind, Kind::Service);
    service.set_faults(Faults {
        silent: true,
        ..Faults::default()
    });
    // Without the fault, the leave would be announced immediately.
    service.leave();
    let reports = instance.reports().len();
    service.set_faults(Faults::default());
    eventually(
        "the instance receives reports after the fault is cleared",
        || instance.reports().len() > reports,
    );
    eventually("the leave is announced after the fault is cleared", || {
        instance
            .last()
            .is_some_and(|last| last.state == State::Leaving)
    });
}
