//! The router daemon's command line.

use eyre::{Result, WrapErr};
use lovageplank_process::config::DaemonKind;
use lovageplank_process::{cli, signal};
use lovageplank_router::Router;
use tokio_util::sync::CancellationToken;

fn main() {
    std::process::exit(cli::main(
        "lovageplank-router",
        DaemonKind::Router,
        |config| {
            let stop = CancellationToken::new();
            signal::watch(stop.clone())?;
            let router = Router::start_linked(&config)?;
            wait(&stop)?;
            router.stop();
            Ok(())
        },
    ));
}

/// Blocks until the token is cancelled.
fn wait(stop: &CancellationToken) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .wrap_err("start runtime")?;
    runtime.block_on(stop.cancelled());
    Ok(())
}
