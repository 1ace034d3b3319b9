//! Sends operators' calls to one instance, without retries.

use eyre::{Result, WrapErr, bail};
use lovageplank_wire::call::OperatorRequest;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout in milliseconds for reading a response; beyond it the call fails.
const READ_TIMEOUT_MS: u64 = 8_000;

/// Sends an operator's call to the instance at `address` and returns the answer.
///
/// Fails if the instance can't be reached, responds with something other than JSON or refuses the
/// call.
pub fn operator_call(address: SocketAddr, token: &str, call: &OperatorRequest) -> Result<Value> {
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
        .wrap_err_with(|| format!("read the answer of {address}"))?;
    if !status.is_success() {
        bail!("{address} refused the call: {}", value["error"]["message"]);
    }
    Ok(value)
}
