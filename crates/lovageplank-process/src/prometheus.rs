//! The process's metrics in Prometheus text format.

use crate::http::{self, Limits};
use eyre::{Result, WrapErr};
use hyper::StatusCode;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::sync::OnceLock;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the metrics recorder of the process; further calls do nothing.
pub fn init() -> Result<()> {
    if HANDLE.get().is_some() {
        return Ok(());
    }
    let handle = PrometheusBuilder::new()
        .install_recorder()
        .wrap_err("install metrics recorder")?;
    let _ = HANDLE.set(handle);
    Ok(())
}

/// Renders all metrics as text; empty before [`init`].
pub fn render() -> String {
    let Some(handle) = HANDLE.get() else {
        return String::new();
    };
    handle.run_upkeep();
    handle.render()
}

/// Milliseconds between two upkeep runs, which drain the samples that histograms have collected.
/// With a longer interval, more samples accumulate in memory.
const UPKEEP_MS: u64 = 5_000;

/// Most connections that ask for metrics at once.
const CONNECTIONS_MAX: usize = 64;

/// Runs the upkeep of histograms until `stop`. If there is a listener, also serves all metrics as
/// text on every path.
pub async fn serve(listener: Option<TcpListener>, stop: CancellationToken) {
    let answer = |_, _| async { http::text(StatusCode::OK, render()) };
    let limits = Limits {
        connections: CONNECTIONS_MAX,
        ..Limits::default()
    };
    if let Some(listener) = listener {
        tokio::spawn(http::serve(listener, limits, answer, stop.clone()));
    }
    let mut tick = tokio::time::interval(Duration::from_millis(UPKEEP_MS));
    while !stop.is_cancelled() {
        tick.tick().await;
        if let Some(handle) = HANDLE.get() {
            handle.run_upkeep();
        }
    }
}
