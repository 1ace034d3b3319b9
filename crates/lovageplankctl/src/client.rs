//! Client that sends operators' calls to instances over HTTP.

use lovageplank_wire::call::OperatorRequest;
use serde_json::Value;
use std::fmt;
use std::io::ErrorKind;
use std::time::Duration;

/// Timeout in milliseconds for connecting to an instance; beyond it the next address is tried.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Timeout in milliseconds for reading a response; beyond it the next address is tried.
const READ_TIMEOUT_MS: u64 = 8_000;

/// Maximum rounds over all addresses; beyond them the call fails as unreachable.
const MAX_ROUNDS: u32 = 4;

/// Milliseconds of pause between two rounds.
const ROUND_BACKOFF_MS: u64 = 500;

/// Sends calls to instances, which it tries in turn.
pub struct Client {
    addresses: Vec<String>,
    token: String,
}

/// Why a call failed.
pub enum Failure {
    /// An instance refused the call.
    Refused {
        /// Code of the refusal, such as `conflict`.
        code: String,
        /// What happened and how to resolve it.
        message: String,
    },
    /// No instance carried out the call; holds the errors of the last round, one per address.
    Unreachable(Vec<String>),
    /// An instance may have carried out the call; holds the error.
    Unknown(String),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Refused { code, message } => write!(f, "{code}: {message}"),
            Failure::Unreachable(errors) => {
                write!(f, "no instance answered: {}", errors.join("; "))
            }
            Failure::Unknown(error) => {
                write!(f, "the call may have been carried out: {error}")
            }
        }
    }
}

impl Client {
    /// Creates a client that sends `token` to the instances at `addresses`.
    pub fn new(addresses: Vec<String>, token: String) -> Client {
        Client { addresses, token }
    }

    /// Sends a call and returns the answer.
    ///
    /// Tries the next instance if one is unreachable or answers with a retryable code. A call that
    /// isn't [idempotent](is_idempotent) isn't sent again once an instance may have carried it out.
    pub fn call(&self, call: &OperatorRequest) -> Result<Value, Failure> {
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
                    Err(Failure::Unknown(error)) if !is_idempotent(call) => {
                        return Err(Failure::Unknown(format!("{address}: {error}")));
                    }
                    Err(failure) => errors.push(format!("{address}: {failure}")),
                }
            }
        }
        Err(Failure::Unreachable(errors))
    }

    fn send_to(&self, address: &str, call: &OperatorRequest) -> Result<Value, Failure> {
        let response = attohttpc::post(format!("http://{address}/v1/operator"))
            .connect_timeout(Duration::from_millis(CONNECT_TIMEOUT_MS))
            .read_timeout(Duration::from_millis(READ_TIMEOUT_MS))
            .bearer_auth(&self.token)
            .json(call)
            .and_then(attohttpc::RequestBuilder::send)
            .map_err(|error| failed_send(&error))?;
        let status = response.status();
        let text = response
            .text()
            .map_err(|error| Failure::Unknown(error.to_string()))?;
        let value: Value = serde_json::from_str(&text).map_err(|_| {
            Failure::Unknown(format!("status {status} with a body that isn't JSON"))
        })?;
        if status.is_success() {
            return Ok(value);
        }
        match refusal(&value["error"]) {
            Failure::Refused { code, message } if code == "unknown" => {
                Err(Failure::Unknown(message))
            }
            refused => Err(refused),
        }
    }
}

/// The failure of a call without a response. Only a refused connection proves that no instance has
/// received it.
fn failed_send(error: &attohttpc::Error) -> Failure {
    match error.kind() {
        attohttpc::ErrorKind::Io(io) if io.kind() == ErrorKind::ConnectionRefused => {
            Failure::Unreachable(vec![error.to_string()])
        }
        _ => Failure::Unknown(error.to_string()),
    }
}

/// Whether a call may be carried out twice: reads change nothing, settings changes carry an id, and
/// an instance that is drained or added stays so. A removal names an instance, of which the group
/// may have several members.
fn is_idempotent(call: &OperatorRequest) -> bool {
    !matches!(call, OperatorRequest::VoterRemove { .. })
}

/// Whether the call may succeed at another instance or later.
fn is_retryable(code: &str) -> bool {
    ["no_leader", "overloaded"].contains(&code)
}

/// The refusal described by the `error` object of a response.
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
