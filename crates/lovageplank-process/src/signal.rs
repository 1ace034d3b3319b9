//! Stops on SIGTERM and SIGINT: gracefully at the first, at once at the second.

use eyre::{Result, WrapErr};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tokio_util::sync::CancellationToken;

/// Exit code after a second signal.
const EXIT_INTERRUPTED: i32 = 130;

/// Cancels `stop` at the first signal and ends the process at the second.
pub fn watch(stop: CancellationToken) -> Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).wrap_err("watch signals")?;
    let watch = move || {
        for signal in signals.forever() {
            if stop.is_cancelled() {
                std::process::exit(EXIT_INTERRUPTED);
            }
            tracing::info!(event = "stop_requested", signal);
            stop.cancel();
        }
    };
    std::thread::Builder::new()
        .name("signals".into())
        .spawn(watch)
        .wrap_err("start thread")?;
    Ok(())
}
