//! Command-line program that runs the load driver.

use std::process::ExitCode;

use lovageplank_standin::cli::{self, Arguments, Error};
use lovageplank_standin::load::{Arrivals, Config, RouterSelection, Share};
use lovageplank_standin::record::unix_us;

const USAGE: &str = "\
lovageplank-load: sends calls and judges the answers

Usage: lovageplank-load (--ask ADDR,... | --fixed ADDR,...) --mix JSON [OPTIONS]

  --ask ADDR,...       instances to ask for entries (GET /v1/entries)
  --fixed ADDR,...     addresses to call without asking
  --mix JSON           list of shares, or @FILE that holds it:
                       {\"kind\":\"model\",\"service\",\"model\",\"adapters\":[],\"streamed_percent\",\"tokens\",\"weight\"}
                       {\"kind\":\"plain\",\"service\",\"path\",\"weight\"}
  --rate N             calls a second, independent of each other [10]
  --burst N            calls of a burst, instead of --rate
  --burst-every-ms N   between bursts [5000]
  --duration-ms N      for how long calls start [10000]
  --max-calls N        most calls [10000]
  --in-flight N        most calls at once [1000]
  --clients N          clients, each with entries of its own [16]
  --spread             calls go round all entries
  --deadline-ms N      deadline that calls carry [10000]
  --slack-ms N         time after the deadline until a call counts as lost [2000]
  --retry              tries a 503 with Retry-After again
  --resend             sends a call whose connection broke again, under the same key
  --own-ids            names requests itself, for calls straight to backend servers
  --records ADDR,...   backend servers whose records are compared
  --run NAME           makes prompts and keys differ from other runs [Unix time in us]
  --seed N             [1]
  --json               prints the report as JSON
  --help

Exit codes: 0 no promise was broken, 1 some were or the run failed, 2 usage";

fn main() -> ExitCode {
    cli::main(USAGE, run)
}

fn run(arguments: &mut Arguments) -> Result<(), Error> {
    let json = arguments.flag("--json");
    let config = config(arguments)?;
    arguments.finish()?;
    let report = config
        .run()
        .map_err(|error| Error::Failed(error.to_string()))?;
    if json {
        let text = serde_json::to_string(&report);
        println!(
            "{}",
            text.map_err(|error| Error::Failed(error.to_string()))?
        );
    } else {
        println!("{report}");
    }
    if report.verdict.is_clean() {
        Ok(())
    } else {
        Err(Error::Failed("promises were broken".to_owned()))
    }
}

fn config(arguments: &mut Arguments) -> Result<Config, Error> {
    let run = arguments.value::<String>("--run")?;
    let mut config = Config::new(run.unwrap_or_else(|| unix_us().to_string()));
    config = addresses(config, arguments)?;
    config = limits(config, arguments)?;
    for share in mix(arguments)? {
        config = config.share(share);
    }
    if arguments.flag("--spread") {
        config = config.router_selection(RouterSelection::RoundRobin);
    }
    Ok(config
        .arrivals(arrivals(arguments)?)
        .retry(arguments.flag("--retry"))
        .resend(arguments.flag("--resend"))
        .send_request_ids(arguments.flag("--own-ids")))
}

fn addresses(mut config: Config, arguments: &mut Arguments) -> Result<Config, Error> {
    for address in arguments.list("--ask")? {
        config = config.lookup_address(address);
    }
    for address in arguments.list("--fixed")? {
        config = config.fixed(address);
    }
    for address in arguments.list("--records")? {
        config = config.records(address);
    }
    Ok(config)
}

fn limits(mut config: Config, arguments: &mut Arguments) -> Result<Config, Error> {
    if let Some(duration) = arguments.value("--duration-ms")? {
        config = config.duration_ms(duration);
    }
    if let Some(calls) = arguments.value("--max-calls")? {
        config = config.max_calls(calls);
    }
    if let Some(calls) = arguments.value("--in-flight")? {
        config = config.in_flight(calls);
    }
    if let Some(clients) = arguments.value("--clients")? {
        config = config.clients(clients);
    }
    if let Some(deadline) = arguments.value("--deadline-ms")? {
        config = config.deadline_ms(deadline);
    }
    if let Some(slack) = arguments.value("--slack-ms")? {
        config = config.slack_ms(slack);
    }
    if let Some(seed) = arguments.value("--seed")? {
        config = config.seed(seed);
    }
    Ok(config)
}

fn arrivals(arguments: &mut Arguments) -> Result<Arrivals, Error> {
    let per_s = arguments.value("--rate")?;
    let size = arguments.value("--burst")?;
    let every_ms = arguments.value("--burst-every-ms")?;
    match (per_s, size) {
        (Some(_), Some(_)) => Err(Error::Usage("--rate and --burst exclude each other".into())),
        (_, Some(size)) => Ok(Arrivals::Bursts {
            size,
            every_ms: every_ms.unwrap_or(5_000),
        }),
        (per_s, None) => Ok(Arrivals::Poisson {
            per_s: per_s.unwrap_or(10.0),
        }),
    }
}

fn mix(arguments: &mut Arguments) -> Result<Vec<Share>, Error> {
    let mut text: String = arguments.required("--mix")?;
    if let Some(file) = text.strip_prefix('@') {
        let read = std::fs::read_to_string(file);
        text = read.map_err(|error| Error::Usage(format!("--mix {file}: {error}")))?;
    }
    serde_json::from_str(&text).map_err(|error| Error::Usage(format!("--mix: {error}")))
}
