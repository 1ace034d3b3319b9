//! HTTP requests to other processes; they ignore the environment's proxy settings.

use std::time::Duration;

use attohttpc::{Method, ProxySettings, RequestBuilder};

/// Creates a request to `address` with the given timeout for the whole request.
///
/// Errors: the URL is invalid.
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

/// Sends a GET request and parses the response as JSON.
///
/// Errors: the request fails, its status isn't successful, or the body isn't valid JSON.
pub fn get_json<T: serde::de::DeserializeOwned>(
    address: &str,
    path: &str,
    timeout: Duration,
) -> attohttpc::Result<T> {
    let response = request(Method::GET, address, path, timeout)?.send()?;
    response.error_for_status()?.json()
}
