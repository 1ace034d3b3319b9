//! A group of one, and how it is asked.

use lovageplank_control::Control;
use lovageplank_process::config::{self, DaemonKind};
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use tempfile::TempDir;
use tokio_util::sync::CancellationToken;

/// Seconds that anything may take on a busy machine.
pub const PATIENCE_S: u64 = 30;

pub const LINK_KEY: &str = "0123456789abcdef";
const TOKEN: &str = "operators-0123456789";

pub struct Daemon {
    pub control: Control,
    _folder: TempDir,
}

impl Daemon {
    /// A group of one, once it leads.
    pub fn start() -> Daemon {
        let folder = tempfile::tempdir().expect("a folder");
        let text = json!({
            "instance": "control-1", "failure_domain": "salt",
            "listen": "127.0.0.1:0", "link": "127.0.0.1:0", "peers": ["127.0.0.1:1"],
            "voters": ["control-1"], "data_dir": folder.path().join("data"),
            "keys": {"link": LINK_KEY, "operator": TOKEN},
        });
        let config = config::parse("file.jsonc", &text.to_string(), DaemonKind::Control);
        let config = config.expect("good settings");
        let control = Control::start(&config, &CancellationToken::new()).expect("starts");
        let daemon = Daemon {
            control,
            _folder: folder,
        };
        daemon.until("it leads", |daemon| {
            daemon.operate(&json!("status")).0 == 200
        });
        daemon
    }

    pub fn until(&self, what: &str, holds: impl Fn(&Daemon) -> bool) {
        let began = Instant::now();
        while !holds(self) {
            assert!(began.elapsed() < Duration::from_secs(PATIENCE_S), "{what}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn ask(&self, method: &str, path: &str, token: Option<&str>, body: &str) -> (u16, Value) {
        let url = format!("http://{}{path}", self.control.address);
        let method = method.parse().expect("a method");
        let mut request =
            attohttpc::RequestBuilder::new(method, url).timeout(Duration::from_secs(PATIENCE_S));
        if let Some(token) = token {
            request = request.header("authorization", token);
        }
        let response = request.text(body).send().expect("answers");
        let status = response.status().as_u16();
        let text = response.text().expect("text");
        let value = serde_json::from_str(&text).unwrap_or(Value::String(text));
        (status, value)
    }

    pub fn operate(&self, call: &Value) -> (u16, Value) {
        let token = format!("Bearer {TOKEN}");
        self.ask("POST", "/v1/operator", Some(&token), &call.to_string())
    }

    pub fn change(&self, id: &str, base: u64, edits: &Value) -> (u16, Value) {
        let change = json!({"id": id, "base": base, "author": "office", "edits": edits});
        self.operate(&json!({ "change": change }))
    }

    pub fn post(&self, path: &str, body: &Value) -> (u16, Value) {
        self.ask("POST", path, None, &body.to_string())
    }

    pub fn engine(&self, id: &str) -> Option<Value> {
        let (_, engines) = self.operate(&json!("engines"));
        let rows = engines.as_array().expect("a list");
        rows.iter().find(|row| row["engine"] == id).cloned()
    }
}
