//! A control daemon that is the only member of its control group, with an HTTP client.

use lovageplank_control::Control;
use lovageplank_process::config::{self, DaemonKind};
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use tempfile::TempDir;
use tokio_util::sync::CancellationToken;

/// Seconds after which a request or a wait fails, long enough for a busy machine.
pub const TIMEOUT_S: u64 = 30;

pub const LINK_KEY: &str = "0123456789abcdef";
const OPERATOR_KEY: &str = "operators-0123456789";

pub struct Daemon {
    pub control: Control,
    _folder: TempDir,
}

impl Daemon {
    /// Starts the daemon and waits until it leads.
    pub fn start() -> Daemon {
        let folder = tempfile::tempdir().expect("create a temporary folder");
        let text = json!({
            "instance": "control-1", "failure_domain": "salt",
            "listen": "127.0.0.1:0", "link": "127.0.0.1:0", "peers": ["127.0.0.1:1"],
            "voters": ["control-1"], "data_dir": folder.path().join("data"),
            "keys": {"link": LINK_KEY, "operator": OPERATOR_KEY},
        });
        let config = config::parse("file.jsonc", &text.to_string(), DaemonKind::Control);
        let config = config.expect("valid settings");
        let control = Control::start(&config, &CancellationToken::new()).expect("start the daemon");
        let daemon = Daemon {
            control,
            _folder: folder,
        };
        daemon.wait_until("the daemon leads", |daemon| {
            daemon.operator_call(&json!("status")).0 == 200
        });
        daemon
    }

    pub fn wait_until(&self, what: &str, condition: impl Fn(&Daemon) -> bool) {
        let began = Instant::now();
        while !condition(self) {
            assert!(
                began.elapsed() < Duration::from_secs(TIMEOUT_S),
                "timeout: {what}"
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn send_request(
        &self,
        method: &str,
        path: &str,
        token: Option<&str>,
        body: &str,
    ) -> (u16, Value) {
        let url = format!("http://{}{path}", self.control.address);
        let method = method.parse().expect("valid HTTP method");
        let mut request =
            attohttpc::RequestBuilder::new(method, url).timeout(Duration::from_secs(TIMEOUT_S));
        if let Some(token) = token {
            request = request.header("authorization", token);
        }
        let response = request.text(body).send().expect("HTTP response");
        let status = response.status().as_u16();
        let text = response.text().expect("response body as text");
        let value = serde_json::from_str(&text).unwrap_or(Value::String(text));
        (status, value)
    }

    pub fn operator_call(&self, call: &Value) -> (u16, Value) {
        let token = format!("Bearer {OPERATOR_KEY}");
        self.send_request("POST", "/v1/operator", Some(&token), &call.to_string())
    }

    pub fn change(&self, id: &str, base: u64, edits: &Value) -> (u16, Value) {
        let change = json!({"id": id, "base": base, "author": "office", "edits": edits});
        self.operator_call(&json!({ "change": change }))
    }

    pub fn post(&self, path: &str, body: &Value) -> (u16, Value) {
        self.send_request("POST", path, None, &body.to_string())
    }

    pub fn engine(&self, id: &str) -> Option<Value> {
        let (status, engines) = self.operator_call(&json!("engines"));
        let rows = engines
            .as_array()
            .unwrap_or_else(|| panic!("no list of engines: {status} {engines}"));
        rows.iter().find(|row| row["engine"] == id).cloned()
    }
}
