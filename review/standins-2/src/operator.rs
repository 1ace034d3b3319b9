//! Stand-in for the platform's operator.

use crate::http;
use crate::record::Record;
use std::net::SocketAddr;
use std::time::Duration;

/// What one call to a node came to: the status of the final answer, or 0 without one.
pub fn put(node: SocketAddr, document: &str) -> u16 {
    config(node, "PUT", document).unwrap_or(0)
}

/// A call that follows a 307 twice and allows a second for each answer.
fn config(node: SocketAddr, method: &str, body: &str) -> Option<u16> {
    let mut address = node;
    for _ in 0..3 {
        let wait = Duration::from_secs(1);
        let (head, _) = http::call(address, method, "/lovageplank/config", body, wait)?;
        if head.status() != 307 {
            return Some(head.status());
        }
        let location = head.field("location")?.strip_prefix("http://")?.to_owned();
        address = location.split('/').next()?.parse().ok()?;
    }
    None
}

/// Sends a configuration to one node after the other until it is acknowledged; whether it was in time.
pub fn put_until(record: &Record, nodes: &[SocketAddr], document: &str, limit: Duration) -> bool {
    let until = record.at() + limit;
    let mut pause_ms = 100;
    for node in nodes.iter().cycle() {
        if record.at() >= until {
            break;
        }
        let status = put(*node, document);
        record.line(&format!("operator: PUT at {node}: {status} (0: no answer)"));
        if status == 200 {
            return true;
        }
        std::thread::sleep(Duration::from_millis(pause_ms));
        pause_ms = (pause_ms * 2).min(800);
    }
    false
}

/// The configuration of the stand-ins: long and short streams at engines, orders at a plain service.
pub fn document(version: u64) -> String {
    let stream = |name: &str, priority: u32| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"a.example\",\"path-prefix\":\"/{name}/\",\"kind\":\"stream\",\"timeout-ms\":25000,\
             \"target-latency-ms\":2500,\"priority\":{priority},\"service\":\"drafting\",\"max-attempts\":2,\"sticky\":true,\
             \"resumable\":true,\"gap-aim-ms\":250}}"
        )
    };
    let plain = |name: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"a.example\",\"path-prefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeout-ms\":1000,\
             \"target-latency-ms\":100,\"priority\":2,\"service\":\"site-desk\",\"max-attempts\":{attempts},\"sticky\":false,\
             \"resumable\":false}}"
        )
    };
    let routes = [
        stream("report", 0),
        stream("archive", 1),
        plain("order", "unsafe", 1),
        plain("view", "safe", 2),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"drafting\",\"health-path\":\"/health\",\"max-conns\":380,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kv-capacity\":166212,\"kv-token-bytes\":163840,\
         \"models\":[{{\"name\":\"m\",\"weights-mb\":42700.0,\"load-s\":6.0,\"adapters\":0,\"adapter-mb\":66.0,\"warm-s\":0.44,\
         \"disk-s\":0.57}}],\"weights-mb\":200000.0,\"adapter-slots\":8,\"loads-per-s\":4.3}}}},{{\"name\":\"site-desk\",\
         \"health-path\":\"/health\",\"max-conns\":120,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max-header-bytes\":16384,\
         \"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}",
        routes.join(",")
    )
}
