//! All roles in one process on loopback, with stand-in engines.

use eyre::{Result, eyre};
use lovageplank::deployment::{Config, Deployment, OPERATOR_TOKEN};
use lovageplank_process::{cli, log, prometheus, signal};
use pico_args::Arguments;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

const HELP: &str = "\
lovageplank: all roles in one process on loopback, with stand-in engines

USAGE:
    lovageplank [OPTIONS]

OPTIONS:
    --listen IP:PORT    where the first router listens [default: 127.0.0.1:8100]
    --data DIR          folder of the durable state [default: a temporary folder]
    --engines N         number of stand-in engines [default: 2]
    --log FILTER        log filter [default: warn]
    -h, --help          print this text
    -V, --version       print the version

Ctrl-C stops gracefully; a second one stops at once.";

/// Milliseconds between checks for a stop signal.
const POLL_INTERVAL_MS: u64 = 50;

fn main() {
    std::process::exit(match run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("lovageplank: {error:#}");
            cli::exit::FAILURE
        }
    });
}

fn run() -> Result<i32> {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        println!("{HELP}");
        return Ok(cli::exit::SUCCESS);
    }
    if args.contains(["-V", "--version"]) {
        println!("lovageplank {}", env!("CARGO_PKG_VERSION"));
        return Ok(cli::exit::SUCCESS);
    }
    let (config, filter) = match options(args) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("lovageplank: {error}");
            return Ok(cli::exit::USAGE);
        }
    };
    log::init(&filter)?;
    prometheus::init()?;
    let stop = CancellationToken::new();
    signal::watch(stop.clone())?;
    let deployment = config.start()?;
    print_guide(&deployment);
    while !stop.is_cancelled() {
        std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
    }
    deployment.stop();
    Ok(cli::exit::SUCCESS)
}

fn options(mut args: Arguments) -> Result<(Config, String)> {
    let listen: Option<SocketAddr> = args.opt_value_from_str("--listen")?;
    let data: Option<PathBuf> = args.opt_value_from_str("--data")?;
    let engines: Option<usize> = args.opt_value_from_str("--engines")?;
    let filter: Option<String> = args.opt_value_from_str("--log")?;
    cli::reject_unknown(args).map_err(|e| eyre!("{e}"))?;
    let mut config = Config::default()
        .listen(listen.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 8100))))
        .engines(engines.unwrap_or(2));
    if let Some(data) = data {
        config = config.data_dir(data);
    }
    Ok((config, filter.unwrap_or_else(|| "warn".into())))
}

fn print_guide(deployment: &Deployment) {
    let first = deployment.routers()[0].address;
    println!("lovageplank runs on loopback:");
    for router in deployment.routers() {
        println!("  instance        http://{}", router.address);
    }
    for engine in deployment.engines() {
        println!("  stand-in engine http://{}", engine.address());
    }
    println!(
        "\nSend a request to a model that is not loaded yet; the response streams once it is loaded:\n"
    );
    println!("  curl -N http://{first}/v1/completions -H 'content-type: application/json' \\");
    println!(
        "    -d '{{\"model\":\"lime-notes:salt\",\"prompt\":\"repoint the arch\",\"max_tokens\":12,\"stream\":true}}'"
    );
    println!("\nShow and change the settings:\n");
    println!("  export LOVAGEPLANK_ADDRESS={first} LOVAGEPLANK_TOKEN={OPERATOR_TOKEN}");
    println!("  cargo run --release --bin lovageplankctl -- status");
    println!(
        "  cargo run --release --bin lovageplankctl -- settings set services/drafting/deadline_ms 20000 --base 1 --wait"
    );
    println!("\nCtrl-C stops.");
}
