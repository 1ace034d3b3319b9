//! Startup steps that control processes and routers share.

use crate::config::Config;
use eyre::{Result, WrapErr, eyre};
use lovageplank_process::{http, link, prometheus};
use lovageplank_wire::Hello;
use lovageplank_wire::hello::LinkKey;
use std::net::SocketAddr;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Binds a listener; an error names the address.
pub(crate) fn bind(address: SocketAddr) -> Result<std::net::TcpListener> {
    http::bind(address).wrap_err_with(|| format!("listen on {address}"))
}

/// Serves metrics until `stop` if the settings have an address for them.
pub(crate) fn serve_metrics(config: &Config, stop: &CancellationToken) -> Result<()> {
    let listener = config.metrics.map(bind).transpose()?;
    let listener = listener.map(TcpListener::from_std).transpose();
    let listener = listener.wrap_err("listen for metrics")?;
    tokio::spawn(prometheus::serve(listener, stop.clone()));
    Ok(())
}

/// Configuration of this process's links; an error means that the link key is too short.
pub(crate) fn link_config(
    config: &Config,
    hello: Hello,
    events: link::Events,
    stop: &CancellationToken,
) -> Result<link::Config> {
    let key = LinkKey::new(&config.link_key).ok_or_else(|| eyre!("the link key is too short"))?;
    Ok(link::Config {
        hello,
        key,
        events,
        egress: None,
        stop: stop.clone(),
    })
}
