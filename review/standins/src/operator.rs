//! The operator: it writes and reads the configuration.

use crate::engine::{MODELS, SERVICE, WEIGHTS_MB};
use crate::http::{self, Message};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// The host of all routes.
pub const HOST: &str = "sheets.example";

/// A configuration with one route for streams, and the limits of the pages' example.
pub fn configuration(version: u64) -> String {
    configuration_without(version, "")
}

/// The same without one of the models.
pub fn configuration_without(version: u64, retired: &str) -> String {
    let models: Vec<String> = MODELS
        .iter()
        .filter(|(model, _)| *model != retired)
        .map(|(model, weights_mb)| {
            format!(
                "{{\"name\":\"{model}\",\"weights-mb\":{weights_mb}.0,\"load-s\":6.0,\"adapters\":0,\"adapter-mb\":12.0,\
                 \"warm-s\":0.6,\"disk-s\":0.84}}"
            )
        })
        .collect();
    let models = models.join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-note\",\"host\":\"{HOST}\",\"path-prefix\":\"/note/\",\
         \"kind\":\"stream\",\"timeout-ms\":12000,\"target-latency-ms\":300,\"priority\":0,\"service\":\"{SERVICE}\",\
         \"max-attempts\":1,\"sticky\":true,\"resumable\":false,\"gap-aim-ms\":250}}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"health-path\":\"/health\",\"max-conns\":380,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\
         \"kv-capacity\":166212,\"kv-token-bytes\":163840,\"link-mbps\":260000.0,\"moves\":true,\"backups\":true,\"stride\":5,\
         \"max-count\":12,\"host-mb\":140000.0,\"disk-mb\":1200000.0,\"pin-ms\":4000.0,\"hold-ms\":2000.0,\"handle_s\":5.0,\
         \"models\":[{models}],\"weights-mb\":{WEIGHTS_MB}.0,\"adapter-slots\":8,\"loads-per-s\":4.3}}}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}"
    )
}

/// The same with so many routes more. What they say changes with the version.
pub fn large_configuration(version: u64, routes: usize) -> String {
    let mut text = configuration(version);
    let more: String = (0..routes)
        .map(|number| {
            let (name, timeout_ms) = (scramble(number as u64), 5_000 + scramble(version + number as u64) % 5_000);
            format!(
                "{{\"name\":\"r-{name:x}\",\"host\":\"h{}.example\",\"path-prefix\":\"/p{name:x}/\",\"kind\":\"stream\",\
                 \"timeout-ms\":{timeout_ms},\"target-latency-ms\":300,\"priority\":0,\"service\":\"{SERVICE}\",\
                 \"max-attempts\":1,\"sticky\":true,\"resumable\":false,\"gap-aim-ms\":250}},",
                number % 7
            )
        })
        .collect();
    let at = text
        .find("\"routes\":[")
        .map_or(0, |at| at + "\"routes\":[".len());
    text.insert_str(at, &more);
    text
}

/// A number that looks like a random one.
fn scramble(number: u64) -> u64 {
    let mixed = (number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 24
}

/// The version that a configuration names.
pub fn version(configuration: &str) -> Option<u64> {
    let rest = configuration.split("\"version\":").nth(1)?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// Calls one control process after another until one answers for good; `None` if none does in time.
pub fn call(controls: &[SocketAddr], method: &str, body: &str, limit: Duration) -> Option<Message> {
    let until = Instant::now() + limit;
    for first in controls.iter().cycle() {
        let mut to = *first;
        for _ in 0..3 {
            let Ok(answer) = http::call(to, method, "/lovageplank/config", body) else {
                break;
            };
            match answer.status() {
                307 => {}
                408 | 429 | 500.. => break,
                _ => return Some(answer),
            }
            let location = answer
                .header("location")
                .and_then(|l| l.strip_prefix("http://"));
            let Some(next) = location.and_then(|l| l.split('/').next()?.parse().ok()) else {
                break;
            };
            to = next;
        }
        if Instant::now() > until {
            return None;
        }
        thread::sleep(Duration::from_millis(100));
    }
    None
}
