//! Stops the process on SIGTERM and SIGINT: gracefully on the first signal, at once on the second.

use eyre::{Result, WrapErr};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tokio_util::sync::CancellationToken;

/// Exit code after a second signal.
const EXIT_INTERRUPTED: i32 = 130;

/// Starts a thread that cancels `stop` on the first signal. A signal after `stop` was cancelled
/// exits the process with code 130.
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
