//! Calls to instances.

use lovageplank_wire::call::Operator;
use serde_json::Value;
use std::fmt;
use std::time::Duration;

/// Milliseconds for connecting to an instance.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Milliseconds for an answer.
const READ_TIMEOUT_MS: u64 = 8_000;

/// Rounds over all addresses before giving up.
const MAX_ROUNDS: u32 = 4;

/// Milliseconds between rounds.
const ROUND_BACKOFF_MS: u64 = 500;

/// Calls instances in turn.
pub struct Client {
    addresses: Vec<String>,
    token: String,
}

/// Why a call brought nothing.
pub enum Failure {
    /// An instance refused it.
    Refused {
        /// Kind of the refusal.
        code: String,
        /// What happened and what would help.
        message: String,
    },
    /// No instance answered; each with its error.
    Unreachable(Vec<String>),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Refused { code, message } => write!(f, "{code}: {message}"),
            Failure::Unreachable(errors) => {
                write!(f, "no instance answered: {}", errors.join("; "))
            }
        }
    }
}

impl Client {
    /// A client of these instances.
    pub fn new(addresses: Vec<String>, token: String) -> Client {
        Client { addresses, token }
    }

    /// Makes a call; asks the next instance while one is unreachable or knows no leader.
    ///
    /// Asking again is safe: reads change nothing and changes carry an id.
    pub fn call(&self, call: &Operator) -> Result<Value, Failure> {
        let mut errors = Vec::new();
        for round in 0..MAX_ROUNDS {
            if round > 0 {
                std::thread::sleep(Duration::from_millis(ROUND_BACKOFF_MS));
            }
            errors.clear();
            for address in &self.addresses {
                match self.send_to(address, call) {
                    Ok(value) => return Ok(value),
                    Err(Failure::Refused { code, message }) if !is_retryable(&code) => {
                        return Err(Failure::Refused { code, message });
                    }
                    Err(failure) => errors.push(format!("{address}: {failure}")),
                }
            }
        }
        Err(Failure::Unreachable(errors))
    }

    fn send_to(&self, address: &str, call: &Operator) -> Result<Value, Failure> {
        let unreachable = |error: String| Failure::Unreachable(vec![error]);
        let response = attohttpc::post(format!("http://{address}/v1/operator"))
            .connect_timeout(Duration::from_millis(CONNECT_TIMEOUT_MS))
            .read_timeout(Duration::from_millis(READ_TIMEOUT_MS))
            .bearer_auth(&self.token)
            .json(call)
            .and_then(attohttpc::RequestBuilder::send)
            .map_err(|e| unreachable(e.to_string()))?;
        let status = response.status();
        let text = response.text().map_err(|e| unreachable(e.to_string()))?;
        let value: Value = serde_json::from_str(&text)
            .map_err(|_| unreachable(format!("status {status} with a body that is no JSON")))?;
        if status.is_success() {
            return Ok(value);
        }
        Err(refusal(&value["error"]))
    }
}

/// Whether another instance, or a later try, may well answer.
fn is_retryable(code: &str) -> bool {
    ["no_leader", "unknown", "overloaded"].contains(&code)
}

fn refusal(error: &Value) -> Failure {
    let text = |key: &str| error[key].as_str().unwrap_or_default().to_owned();
    let details = &error["details"];
    let mut message = text("message");
    if !details.is_null() {
        message = format!(
            "{message}\n{}",
            serde_json::to_string_pretty(details).unwrap_or_default()
        );
    }
    Failure::Refused {
        code: text("code"),
        message,
    }
}
