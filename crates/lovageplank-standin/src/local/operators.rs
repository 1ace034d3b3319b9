//! A client for operator calls.

use std::time::{Duration, Instant};

use attohttpc::Method;
use eyre::{Result, WrapErr, bail, eyre};
use lovageplank_wire::call::OperatorRequest;
use serde_json::Value;

use super::POLL_INTERVAL_MS;
use crate::client;

/// Timeout in milliseconds of a call at one instance. Beyond it the next instance is tried.
const CALL_TIMEOUT_MS: u64 = 8_000;

/// Makes operator calls at the first of several instances that answers.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    addresses: Vec<String>,
    token: String,
}

impl OperatorClient {
    /// Creates a client for these instances, with the operators' token.
    pub fn new(addresses: Vec<String>, token: impl Into<String>) -> OperatorClient {
        OperatorClient {
            addresses,
            token: token.into(),
        }
    }

    /// The operators' token.
    pub fn token(&self) -> &str {
        &self.token
    }

    /// Makes a call at the instances in order, until one accepts it. If none does, returns the
    /// error of the last one.
    pub fn call(&self, call: &OperatorRequest) -> Result<Value> {
        let mut last = eyre!("the operator client has no address of an instance");
        for address in &self.addresses {
            match self.call_at(address, call) {
                Ok(value) => return Ok(value),
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// Repeats a call until an instance accepts it. After `within_ms` milliseconds, returns the
    /// last error.
    pub fn wait_for(&self, call: &OperatorRequest, within_ms: u64) -> Result<Value> {
        let began = Instant::now();
        loop {
            match self.call(call) {
                Ok(value) => return Ok(value),
                Err(error) if began.elapsed() > Duration::from_millis(within_ms) => {
                    return Err(error);
                }
                Err(_) => std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS)),
            }
        }
    }

    /// Makes a call at one instance. Fails if there is no answer or it has an error status.
    pub fn call_at(&self, address: &str, call: &OperatorRequest) -> Result<Value> {
        let timeout = Duration::from_millis(CALL_TIMEOUT_MS);
        let response = client::request(Method::POST, address, "/v1/operator", timeout)
            .map(|request| request.bearer_auth(&self.token))
            .and_then(|request| request.json(call))
            .and_then(attohttpc::RequestBuilder::send)
            .wrap_err_with(|| format!("call {address}"))?;
        let status = response.status();
        let value: Value = response
            .json()
            .wrap_err_with(|| format!("answer of {address}"))?;
        if !status.is_success() {
            bail!("{address} refused the call: {}", value["error"]);
        }
        Ok(value)
    }
}
