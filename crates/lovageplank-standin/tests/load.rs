//! Tests of the load driver: plans, router lookups, and verdicts on injected faults.

use std::net::SocketAddr;
use std::sync::Arc;

use lovageplank_standin::engine::{Config as EngineConfig, Engine};
use lovageplank_standin::fault::{Faults, RequestFault};
use lovageplank_standin::http::{Call, Control, Handler, Response, Server};
use lovageplank_standin::load::plan::{self, Request};
use lovageplank_standin::load::{Arrivals, Config, Ending, Report, Share};
use lovageplank_standin::service::{Config as ServiceConfig, Service};

#[path = "support/client.rs"]
mod client;

use client::{eventually, load, post, unused_address};

/// Calls of each run.
const CALLS: usize = 6;

fn engine() -> Engine {
    let engine = EngineConfig::new("e1")
        .first_token_ms(1, 1)
        .token_ms(2)
        .load_ms(1)
        .start()
        .unwrap();
    post(engine.address(), "/commands", &load("l", 1, "mason", 100));
    eventually("the model is loaded", || {
        engine
            .announcement()
            .loaded
            .iter()
            .any(|model| !model.loading)
    });
    engine
}

fn service() -> Service {
    ServiceConfig::new("s1").start().unwrap()
}

/// Returns a load in bursts of three calls, straight to one backend server.
fn burst(share: Share, address: SocketAddr) -> Config {
    Config::new("test")
        .fixed(address.to_string())
        .records(address.to_string())
        .send_request_ids(true)
        .share(share)
        .arrivals(Arrivals::Bursts {
            size: 3,
            every_ms: 10,
        })
        .max_calls(CALLS)
}

fn streams() -> Share {
    Share::model("drafting", "mason")
        .streamed_percent(100)
        .tokens(6)
}

fn completions() -> Share {
    Share::model("drafting", "mason").tokens(6)
}

fn plain_calls() -> Share {
    Share::plain("orders", "book")
}

/// Counts the findings, in the order lost, doubled, cut, crossed.
fn findings(report: &Report) -> [usize; 4] {
    let verdict = &report.verdict;
    [
        verdict.lost.len(),
        verdict.doubled.len(),
        verdict.cut.len(),
        verdict.crossed.len(),
    ]
}

const CLEAN: [usize; 4] = [0, 0, 0, 0];
const LOST: [usize; 4] = [1, 0, 0, 0];
const DOUBLED: [usize; 4] = [0, 1, 0, 0];
const CUT: [usize; 4] = [0, 0, 1, 0];
const CROSSED: [usize; 4] = [0, 0, 0, 1];

#[test]
fn finds_each_injected_fault_of_an_engine() {
    let cases = [
        (streams(), None, CLEAN),
        (completions(), None, CLEAN),
        (completions(), Some(RequestFault::Late { ms: 20 }), CLEAN),
        (completions(), Some(RequestFault::ResetBeforeRead), LOST),
        (streams(), Some(RequestFault::ResetDuringRead), LOST),
        (completions(), Some(RequestFault::ResetAfterRead), LOST),
        (streams(), Some(RequestFault::RunTwice), DOUBLED),
        (completions(), Some(RequestFault::RunTwice), DOUBLED),
        (streams(), Some(RequestFault::CutAfter { tokens: 2 }), CUT),
        (streams(), Some(RequestFault::HalfAnswer), CUT),
        (completions(), Some(RequestFault::HalfAnswer), CUT),
        (streams(), Some(RequestFault::WrongAnswer), CROSSED),
        (completions(), Some(RequestFault::WrongAnswer), CROSSED),
        (completions(), Some(RequestFault::WrongRequestId), CROSSED),
    ];
    for (share, fault, expected) in cases {
        let engine = engine();
        engine.set_faults(Faults {
            request: fault,
            times: Some(1),
            ..Faults::default()
        });
        let report = burst(share.clone(), engine.address()).run().unwrap();
        let case = format!("{share:?} {fault:?}\n{report}");
        assert_eq!(findings(&report), expected, "{case}");
        assert_eq!(report.verdict.is_clean(), expected == CLEAN, "{case}");
        assert_eq!(report.calls, CALLS as u64, "{case}");
    }
}

#[test]
fn finds_each_injected_fault_of_a_plain_service() {
    let cases = [
        (None, CLEAN),
        (Some(RequestFault::ResetAfterRead), LOST),
        (Some(RequestFault::RunTwice), DOUBLED),
        (Some(RequestFault::HalfAnswer), CUT),
        (Some(RequestFault::WrongAnswer), CROSSED),
        (Some(RequestFault::WrongRequestId), CROSSED),
    ];
    for (fault, expected) in cases {
        let service = service();
        service.set_faults(Faults {
            request: fault,
            times: Some(1),
            ..Faults::default()
        });
        let report = burst(plain_calls(), service.address()).run().unwrap();
        assert_eq!(findings(&report), expected, "{fault:?}\n{report}");
    }
}

#[test]
fn a_hung_call_is_lost_after_deadline_and_slack() {
    let engine = engine();
    engine.set_faults(Faults {
        request: Some(RequestFault::Hang),
        times: Some(1),
        ..Faults::default()
    });
    let config = burst(completions(), engine.address())
        .deadline_ms(1_000)
        .slack_ms(500);
    let report = config.run().unwrap();
    assert_eq!(findings(&report), LOST, "{report}");
}

#[test]
fn a_resent_call_is_doubled_if_the_first_attempt_ran() {
    let service = service();
    service.set_faults(Faults {
        request: Some(RequestFault::ResetAfterRead),
        times: Some(1),
        ..Faults::default()
    });
    let config = burst(plain_calls(), service.address()).resend(true);
    let report = config.run().unwrap();
    assert_eq!(findings(&report), DOUBLED, "{report}");
    assert_eq!(report.retries, 1);
}

#[test]
fn a_refusal_is_a_finding_only_if_the_call_ran() {
    let engine = engine();
    let config = burst(Share::model("drafting", "unknown"), engine.address());
    let outcomes = config.send().unwrap();
    let mut page = engine.records();
    let clean = config.judge(&outcomes, std::slice::from_ref(&page));
    assert!(clean.verdict.is_clean(), "{clean}");
    assert_eq!(clean.refused["404 model_not_loaded"], CALLS as u64);
    // Records that one of the refused calls ran, so that its refusal is wrong.
    if let Some(text) = page.texts.values_mut().next() {
        text.runs = 1;
    }
    let broken = config.judge(&outcomes, &[page]);
    assert_eq!(broken.verdict.ran_though_refused.len(), 1, "{broken}");
    assert!(!broken.verdict.is_clean());
}

#[test]
fn two_answers_under_one_id_are_crossed() {
    let service = service();
    let config = burst(plain_calls(), service.address());
    let mut outcomes = config.send().unwrap();
    outcomes[1].request_id = outcomes[0].request_id.clone();
    let report = config.judge(&outcomes, &[service.records()]);
    assert_eq!(findings(&report), CROSSED, "{report}");
}

#[test]
fn counts_replicas_over_all_engines() {
    let engines = [engine(), engine()];
    let unload = {
        let mut command = load("u", 2, "mason", 100);
        command["op"] = serde_json::json!("unload");
        command
    };
    post(engines[0].address(), "/commands", &unload);
    post(
        engines[0].address(),
        "/commands",
        &load("l2", 3, "mason", 100),
    );
    let pages = engines.each_ref().map(Engine::records);
    let verdict = Config::new("test").judge(&[], &pages).verdict;
    assert_eq!(
        (verdict.loads["mason"], verdict.max_replicas["mason"]),
        (3, 2)
    );
}

/// A router lookup that answers with a closed port first and a backend server second.
struct Directory {
    entries: [String; 2],
}

impl Handler for Directory {
    async fn handle(self: Arc<Self>, _call: Call) -> Response {
        let entry = |address| serde_json::json!({"address": address, "failure_domain": "local"});
        let entries = self.entries.each_ref().map(entry);
        let answer = serde_json::json!({"entries": entries, "ttl_ms": 60_000, "version": 1});
        Response::json(200, &answer)
    }
}

#[test]
fn looks_up_routers_and_skips_an_unreachable_one() {
    let service = service();
    let directory = Directory {
        entries: [unused_address(), service.address().to_string()],
    };
    let server = Server::start("127.0.0.1:0", Control::default(), Arc::new(directory)).unwrap();
    let report = Config::new("test")
        .lookup_address(unused_address())
        .lookup_address(server.address().to_string())
        .records(service.address().to_string())
        .share(plain_calls())
        .max_calls(CALLS)
        .arrivals(Arrivals::Poisson { per_s: 200.0 })
        .run()
        .unwrap();
    assert!(report.verdict.is_clean(), "{report}");
    assert_eq!(report.whole, CALLS as u64);
}

#[test]
fn plans_the_same_calls_from_the_same_seed() {
    let config = |seed| {
        Config::new("test")
            .seed(seed)
            .share(streams().adapter("a").adapter("b").with_weight(3))
            .share(plain_calls())
            .arrivals(Arrivals::Poisson { per_s: 100.0 })
    };
    let lines = |seed| format!("{:?}", plan::generate(&config(seed)));
    assert_eq!(lines(1), lines(1));
    assert_ne!(lines(1), lines(2));
    let plan = plan::generate(&config(1));
    // The expected number is 1,000 calls in ten seconds; the bounds are six standard deviations
    // from it.
    assert!(
        (800..1_200).contains(&plan.len()),
        "number of planned calls: {}",
        plan.len()
    );
    let is_plain = |call: &&plan::PlannedCall| matches!(call.request, Request::Plain { .. });
    let services = plan.iter().filter(is_plain).count();
    assert!(
        (150..350).contains(&services),
        "number of plain calls: {services}"
    );
}

#[test]
fn rejects_an_invalid_configuration() {
    let cases = [
        (Config::new("x").share(plain_calls()), "no address"),
        (Config::new("x").lookup_address("a"), "mix is empty"),
        (
            Config::new("x")
                .lookup_address("a")
                .share(plain_calls())
                .arrivals(Arrivals::Poisson { per_s: 0.0 }),
            "isn't a rate",
        ),
    ];
    for (config, reason) in cases {
        let error = config.send().unwrap_err().to_string();
        assert!(error.contains(reason), "{error}");
    }
}

#[test]
fn a_call_to_an_unreachable_router_is_lost() {
    let outcomes = Config::new("test")
        .fixed(unused_address())
        .share(plain_calls())
        .deadline_ms(50)
        .slack_ms(50)
        .max_calls(1)
        .send()
        .unwrap();
    assert!(matches!(outcomes[0].ending, Ending::Lost { .. }));
}
