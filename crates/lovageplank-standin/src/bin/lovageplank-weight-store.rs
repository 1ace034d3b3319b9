//! Runs the weight-store stand-in as a process.

use std::process::ExitCode;

use lovageplank_standin::cli::{self, Arguments, Error};
use lovageplank_standin::store::Config;

const USAGE: &str = "\
lovageplank-weight-store: a weight store of limited rate

Usage: lovageplank-weight-store [OPTIONS]

  --listen ADDRESS           [127.0.0.1:0]; the bound address is printed
  --loads-per-s RATE         loads of models that may start in a second; 0: any number [4]
  --full-speed N             loads of models at full speed [4]
  --load-ms N                time of a load at full speed [--full-speed / --loads-per-s]
  --adapter-min-ms N         shortest load of an adapter [5]
  --adapter-max-ms N         longest load of an adapter [10]
  --adapters-full-speed N    loads of adapters at full speed [32]
  --help";

fn main() -> ExitCode {
    cli::main(USAGE, run)
}

fn run(arguments: &mut Arguments) -> Result<(), Error> {
    let config = config(arguments)?;
    arguments.finish()?;
    let store = config
        .start()
        .map_err(|error| Error::Failed(error.to_string()))?;
    println!("listening address={}", store.address());
    let stopped = store.stop_token();
    cli::serve(|| stopped.is_cancelled(), || drop(store))
}

fn config(arguments: &mut Arguments) -> Result<Config, Error> {
    let mut config = Config::new();
    if let Some(address) = arguments.value::<String>("--listen")? {
        config = config.listen(address);
    }
    if let Some(rate) = arguments.value::<f64>("--loads-per-s")? {
        if !rate.is_finite() || rate < 0.0 {
            let message = format!("--loads-per-s: {rate} isn't a number from 0 on");
            return Err(Error::Usage(message));
        }
        config = config.loads_per_s(rate);
    }
    if let Some(loads) = arguments.value("--full-speed")? {
        config = config.full_speed(loads);
    }
    if let Some(time) = arguments.value("--load-ms")? {
        config = config.load_ms(time);
    }
    if let Some(loads) = arguments.value("--adapters-full-speed")? {
        config = config.adapters_full_speed(loads);
    }
    let shortest = arguments.value("--adapter-min-ms")?.unwrap_or(5);
    let longest = arguments.value("--adapter-max-ms")?.unwrap_or(10);
    Ok(config.adapter_ms(shortest, longest))
}
