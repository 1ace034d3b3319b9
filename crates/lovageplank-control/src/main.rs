//! `lovageplank-control`: a member of the control group.

use lovageplank_control::Control;
use lovageplank_process::config::DaemonKind;
use lovageplank_process::{cli, signal};
use tokio_util::sync::CancellationToken;

fn main() {
    let code = cli::main("lovageplank-control", DaemonKind::Control, |config| {
        let stop = CancellationToken::new();
        signal::watch(stop.clone())?;
        Control::start(&config, &stop)?.join()
    });
    std::process::exit(code);
}
