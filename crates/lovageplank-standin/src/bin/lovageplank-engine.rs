//! Runs the engine stand-in as a process.

use std::process::ExitCode;

use lovageplank_standin::cli::{self, Arguments, Error};
use lovageplank_standin::engine::Config;

const USAGE: &str = "\
lovageplank-engine: a model engine that makes up its answers

Usage: lovageplank-engine --id NAME [OPTIONS]

  --id NAME                unique name, kept over restarts
  --listen ADDRESS         [127.0.0.1:0]; the bound address is printed
  --advertise ADDRESS      address to announce, if not the bound one
  --failure-domain NAME    [local]
  --service NAME,...       services that it serves
  --announce-to ADDR,...   instances to announce to; the first that answers is kept
  --incarnation N          [Unix time in ms]
  --memory-mb N            accelerator memory [80000]
  --model-memory-mb N      memory of a model whose load command names none [10000]
  --batch N                requests that run at once [16]
  --first-token-ms N       without a cached prefix [20]
  --cached-first-token-ms N  with a cached prefix [5]
  --token-ms N             between tokens [2]
  --memory-load-ms N       load time from main memory [50]
  --disk-load-ms N         load time from disk [200]
  --store-load-ms N        load time from the store, if --store isn't given [1000]
  --store ADDRESS          weight store, whose rate decides
  --in-memory MODEL,...    weights in main memory at the start
  --on-disk MODEL,...      weights on disk at the start
  --memory-slots N         models whose weights main memory keeps [2]
  --disk-slots N           models whose weights the disk keeps [8]
  --report-ms N            between load reports [200]
  --no-fencing             takes commands with old fencing tokens
  --fault JSON             fault switches, as in POST /fault
  --help";

fn main() -> ExitCode {
    cli::main(USAGE, run)
}

fn run(arguments: &mut Arguments) -> Result<(), Error> {
    let config = config(arguments)?;
    arguments.finish()?;
    let engine = config
        .start()
        .map_err(|error| Error::Failed(error.to_string()))?;
    println!("listening address={}", engine.address());
    let stopped = engine.stop_token();
    cli::serve(|| stopped.is_cancelled(), || engine.stop())
}

fn config(arguments: &mut Arguments) -> Result<Config, Error> {
    let mut config =
        Config::new(arguments.required::<String>("--id")?).common_arguments(arguments)?;
    if let Some(address) = arguments.value::<String>("--advertise")? {
        config = config.advertise(address);
    }
    if let Some(store) = arguments.value("--store")? {
        config = config.store(store);
    }
    config = speeds(config, arguments)?;
    config = caches(config, arguments)?;
    Ok(config.fencing(!arguments.flag("--no-fencing")))
}

fn speeds(config: Config, arguments: &mut Arguments) -> Result<Config, Error> {
    let mut number = |name, default| Ok(arguments.value(name)?.unwrap_or(default));
    let first_token = number("--first-token-ms", 20)?;
    let cached_first_token = number("--cached-first-token-ms", 5)?;
    let memory_load = number("--memory-load-ms", 50)?;
    let disk_load = number("--disk-load-ms", 200)?;
    let store_load = number("--store-load-ms", 1_000)?;
    Ok(config
        .token_ms(number("--token-ms", 2)?)
        .report_ms(number("--report-ms", 200)?)
        .memory_mb(number("--memory-mb", 80_000)?)
        .model_memory_mb(number("--model-memory-mb", 10_000)?)
        .first_token_ms(first_token, cached_first_token)
        .load_times_ms(memory_load, disk_load, store_load))
}

fn caches(mut config: Config, arguments: &mut Arguments) -> Result<Config, Error> {
    for model in arguments.list("--in-memory")? {
        config = config.in_memory(model);
    }
    for model in arguments.list("--on-disk")? {
        config = config.on_disk(model);
    }
    let memory_slots = arguments.value("--memory-slots")?.unwrap_or(2);
    let disk_slots = arguments.value("--disk-slots")?.unwrap_or(8);
    let batch = arguments.value("--batch")?.unwrap_or(16);
    Ok(config.cache_slots(memory_slots, disk_slots).batch(batch))
}
