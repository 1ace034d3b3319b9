//! Runs the plain-service stand-in as a process.

use std::process::ExitCode;

use lovageplank_standin::cli::{self, Arguments, Error};
use lovageplank_standin::service::Config;

const USAGE: &str = "\
lovageplank-plain-service: a service that repeats what it is sent and counts its runs

Usage: lovageplank-plain-service --id NAME [OPTIONS]

  --id NAME                unique name, kept over restarts
  --listen ADDRESS         [127.0.0.1:0]; the bound address is printed
  --failure-domain NAME    [local]
  --service NAME,...       services that it serves
  --announce-to ADDR,...   instances to announce to; the first that answers is kept
  --incarnation N          [Unix time in ms]
  --latency-ms N           how long a call runs [0]
  --report-ms N            between load reports [200]
  --fault JSON             fault switches, as in POST /fault
  --help";

fn main() -> ExitCode {
    cli::main(USAGE, run)
}

fn run(arguments: &mut Arguments) -> Result<(), Error> {
    let config = config(arguments)?;
    arguments.finish()?;
    let service = config
        .start()
        .map_err(|error| Error::Failed(error.to_string()))?;
    println!("listening address={}", service.address());
    let stopped = service.stop_token();
    cli::serve(|| stopped.is_cancelled(), || service.stop())
}

fn config(arguments: &mut Arguments) -> Result<Config, Error> {
    let mut config =
        Config::new(arguments.required::<String>("--id")?).common_arguments(arguments)?;
    if let Some(latency) = arguments.value("--latency-ms")? {
        config = config.latency_ms(latency);
    }
    if let Some(interval) = arguments.value("--report-ms")? {
        config = config.report_ms(interval);
    }
    Ok(config)
}
