//! Prometheus text of the process's metrics.

use eyre::{Result, WrapErr};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::sync::OnceLock;

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the recorder for the whole process; further calls change nothing.
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

/// The text of all metrics; empty before [`init`].
pub fn render() -> String {
    let Some(handle) = HANDLE.get() else {
        return String::new();
    };
    handle.run_upkeep();
    handle.render()
}
