//! HTTP requests to other processes, always direct and never through a proxy of the environment.

use std::time::Duration;

use attohttpc::{Method, ProxySettings, RequestBuilder};

/// Begins a request to `address` that may take so long in all.
pub fn request(
    method: Method,
    address: &str,
    path: &str,
    timeout: Duration,
) -> attohttpc::Result<RequestBuilder> {
    let url = format!("http://{address}{path}");
    let builder = RequestBuilder::try_new(method, url)?;
    Ok(builder
        .proxy_settings(ProxySettings::builder().build())
        .follow_redirects(false)
        .connect_timeout(timeout)
        .read_timeout(timeout)
        .timeout(timeout))
}

/// Gets JSON; an answer without success is an error.
pub fn get_json<T: serde::de::DeserializeOwned>(
    address: &str,
    path: &str,
    timeout: Duration,
) -> attohttpc::Result<T> {
    let response = request(Method::GET, address, path, timeout)?.send()?;
    response.error_for_status()?.json()
}
