//! Command-line program that runs a deployment's processes on loopback.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use lovageplank_process::signal;
use lovageplank_standin::cli::{self, Arguments, Error};
use lovageplank_standin::local::{Config, Deployment, measure};
use tokio_util::sync::CancellationToken;

const USAGE: &str = "\
lovageplank-local: runs a deployment's processes on loopback, with stand-ins behind them

Usage: lovageplank-local DIR [OPTIONS]

  DIR             folder with control-*.jsonc, router-*.jsonc, tree.jsonc and backends.jsonc
  --data DIR      where state and logs are kept [a temporary folder]
  --seconds N     ends by itself after so many seconds
  --measure       measures the deployment, prints the figures and ends
  --help

Ctrl-C ends it gracefully. Exit codes: 0 done, 1 failed or a promise was broken, 2 usage";

/// Milliseconds between two checks for a signal or the end of `--seconds`.
const POLL_INTERVAL_MS: u64 = 50;

fn main() -> ExitCode {
    cli::main(USAGE, run)
}

fn run(arguments: &mut Arguments) -> Result<(), Error> {
    let data: Option<PathBuf> = arguments.value("--data")?;
    let seconds: Option<u64> = arguments.value("--seconds")?;
    let measured = arguments.flag("--measure");
    let mut config = Config::new(arguments.positional::<PathBuf>("DIR")?);
    arguments.finish()?;
    if let Some(folder) = data {
        config = config.data(folder);
    }
    let stop = CancellationToken::new();
    signal::watch(stop.clone()).map_err(|error| failed(&error))?;
    let deployment = config.start().map_err(|error| failed(&error))?;
    if measured {
        return measure(deployment);
    }
    print_processes(&deployment);
    wait(&stop, seconds);
    deployment.stop();
    Ok(())
}

fn measure(mut deployment: Deployment) -> Result<(), Error> {
    let figures = measure::run(&mut deployment).map_err(|error| failed(&error))?;
    print!("{figures}");
    deployment.stop();
    if figures.violations().is_empty() {
        Ok(())
    } else {
        Err(Error::Failed("promises were broken".to_owned()))
    }
}

fn print_processes(deployment: &Deployment) {
    let system = deployment.controls().iter().chain(deployment.routers());
    let servers = deployment.engines().iter().chain(deployment.services());
    for process in system.chain(servers).chain(deployment.store()) {
        let (name, id) = (process.name(), process.id());
        println!("{name:<28} pid {id:<8} http://{}", process.address());
    }
    let first = deployment.routers()[0].address();
    let token = deployment.operators().token();
    println!("\nAs an operator:\n");
    println!("  export LOVAGEPLANK_ADDRESS={first} LOVAGEPLANK_TOKEN={token}");
    println!("  lovageplankctl status");
    println!("  lovageplankctl models");
    println!("  lovageplankctl settings set deadline_ms 50000 --base 1 --wait");
    println!("\nCtrl-C ends all processes.");
}

fn wait(stop: &CancellationToken, seconds: Option<u64>) {
    let began = Instant::now();
    let over = || seconds.is_some_and(|s| began.elapsed() >= Duration::from_secs(s));
    while !stop.is_cancelled() && !over() {
        std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
    }
}

fn failed(error: &impl std::fmt::Debug) -> Error {
    Error::Failed(format!("{error:?}"))
}
