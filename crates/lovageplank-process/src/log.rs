//! Logs: one line of key=value pairs per event, on standard error.

use eyre::{Result, WrapErr};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Starts logging; `filter` is a level such as `info`, or directives such as `info,hyper=warn`.
pub fn init(filter: &str) -> Result<()> {
    let filter = EnvFilter::try_new(filter).wrap_err_with(|| format!("log filter {filter:?}"))?;
    let layer = tracing_logfmt::builder().with_target(false).layer();
    let layer = tracing_subscriber::Layer::with_filter(layer.with_writer(std::io::stderr), filter);
    tracing_subscriber::registry()
        .with(layer)
        .try_init()
        .wrap_err("logging was already started")
}
