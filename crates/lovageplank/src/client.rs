//! A small client of operators' calls, for starting up.

use eyre::{Result, WrapErr, bail};
use lovageplank_wire::call::Operator;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Milliseconds for an answer.
const READ_TIMEOUT_MS: u64 = 8_000;

/// Makes an operator's call at an instance.
pub fn operator_call(address: SocketAddr, token: &str, call: &Operator) -> Result<Value> {
    let response = attohttpc::post(format!("http://{address}/v1/operator"))
        .read_timeout(Duration::from_millis(READ_TIMEOUT_MS))
        .bearer_auth(token)
        .json(call)
        .wrap_err("encode the call")?
        .send()
        .wrap_err_with(|| format!("call {address}"))?;
    let status = response.status();
    let value: Value = response
        .json()
        .wrap_err_with(|| format!("answer of {address}"))?;
    if !status.is_success() {
        bail!("{address} refuses: {}", value["error"]["message"]);
    }
    Ok(value)
}
