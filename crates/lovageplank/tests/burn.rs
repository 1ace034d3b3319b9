//! Refused requests spend an error budget: the burn-rate report lists them with their cause, also
//! after the leader has stopped.

use lovageplank::deployment::{Config, Deployment};
use lovageplank_core::slo::{Kind, Report, ReportLine};
use lovageplank_wire::call::OperatorRequest;
use serde_json::json;
use std::time::{Duration, Instant};

/// Milliseconds within which counts must reach the leader: one slot, one delta, and a margin for a
/// busy machine. Beyond it the test fails.
const COUNTS_TIMEOUT_MS: u64 = 60_000;

/// A model that may have no replica, and one that may. The weight of 0 for cold starts keeps models
/// from being loaded ahead of demand.
const TREE: &str = r#"{
    "settings": {"deadline_ms": 20000, "cold_start_weight": 0},
    "services": {"drafting": {"kind": "engine", "models": {
        "vault-survey": {"version": "1", "memory_mb": 8000, "settings": {"max_replicas": 0}},
        "quick-tags": {"version": "1", "memory_mb": 8000}
    }}}
}"#;

fn post_completion(deployment: &Deployment, router: usize, model: &str) -> (u16, String) {
    let address = deployment.routers()[router].address;
    let body = json!({ "model": model, "prompt": "tag it", "max_tokens": 2, "stream": true });
    let response = attohttpc::post(format!("http://{address}/v1/completions"))
        .read_timeout(Duration::from_secs(30))
        .json(&body)
        .unwrap()
        .send()
        .unwrap();
    (response.status().as_u16(), response.text().unwrap())
}

/// Waits until the window of the answered objective has at least `total` events; returns the report
/// and the objective's line.
fn wait_for_answered_line(deployment: &Deployment, total: u64) -> (Report, ReportLine) {
    let start = Instant::now();
    let mut last_line = String::new();
    while start.elapsed() < Duration::from_millis(COUNTS_TIMEOUT_MS) {
        let answer = deployment.operator_call(&OperatorRequest::Burn { window_ms: 0 });
        let report: Option<Report> = answer.ok().and_then(|a| serde_json::from_value(a).ok());
        let line = report.as_ref().and_then(|report| {
            let mut lines = report.lines.iter();
            lines.find(|l| l.objective == Kind::Answered).cloned()
        });
        if let (Some(report), Some(line)) = (report, line) {
            if line.windows[0].total >= total {
                return (report, line);
            }
            last_line = format!("{line:?}");
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    panic!("{total} requests are not counted after {COUNTS_TIMEOUT_MS} ms; last line: {last_line}");
}

#[test]
fn refused_requests_spend_the_budget_and_their_counts_survive_a_leader_change() {
    let mut deployment = Config::default()
        .controls(3)
        .routers(2)
        .load_ms(100)
        .tree(TREE)
        .start()
        .unwrap();
    let (status, text) = post_completion(&deployment, 0, "quick-tags");
    assert_eq!(status, 200, "{text}");
    for router in [0, 1, 1] {
        let (status, text) = post_completion(&deployment, router, "vault-survey");
        assert_eq!(status, 503, "{text}");
        assert!(text.contains("no_capacity"), "{text}");
    }
    let (status, text) = post_completion(&deployment, 0, "unnamed-model");
    assert_eq!(status, 404, "{text}");

    let (report, line) = wait_for_answered_line(&deployment, 4);
    assert_three_of_four_refused(&line);
    assert_eq!(report.dropped, 0);
    let of_kind = |kind| report.lines.iter().find(|l| l.objective == kind).unwrap();
    assert_eq!(of_kind(Kind::Refused).windows[0].bad, 3);
    let cold_start = &of_kind(Kind::ColdStart).windows[0];
    assert_eq!(
        (cold_start.total, cold_start.bad),
        (1, 0),
        "one request waited for a load"
    );

    let old_leader = leader(&deployment);
    deployment.stop_control(old_leader);
    let (report, line) = wait_for_answered_line(&deployment, 4);
    assert_three_of_four_refused(&line);
    assert_eq!(report.dropped, 0);
    assert_ne!(leader(&deployment), old_leader);
}

/// Index of the control process that leads.
fn leader(deployment: &Deployment) -> usize {
    let status = deployment.operator_call(&OperatorRequest::Status).unwrap();
    let name = status["leader"].as_str().unwrap();
    name.rsplit('-').next().unwrap().parse().unwrap()
}

/// Asserts that three of four requests were refused for lack of capacity.
fn assert_three_of_four_refused(line: &ReportLine) {
    assert_eq!(
        (line.windows[0].total, line.windows[0].bad),
        (4, 3),
        "{line:?}"
    );
    assert_eq!(line.burners.len(), 1, "{line:?}");
    let source = &line.burners[0];
    assert_eq!(
        (&*source.model, &*source.cause),
        ("vault-survey", "no_capacity")
    );
    // 75 % bad of a budget of 1 %.
    assert!((line.windows[0].burn - 75.0).abs() < 1e-9, "{line:?}");
}
