//! Operators' command line client.
//!
//! Every command is one call of `POST /v1/operator` at any instance; the instance passes it on to
//! the leader. Addresses are tried in turn, and a change keeps its id over all tries, so that a
//! lost answer never makes it happen twice.

mod args;
mod client;
mod explain;
mod report;
mod text;

use args::{Command, Explain, Invocation};
use client::{Client, Failure};
use lovageplank_core::settings::Version;
use lovageplank_wire::call::Operator;
use serde_json::Value;
use std::time::{Duration, Instant};

/// Exit code: done.
const EXIT_DONE: i32 = 0;
/// Exit code: refused.
const EXIT_REFUSED: i32 = 1;
/// Exit code: the command line is wrong.
const EXIT_USAGE: i32 = 2;
/// Exit code: no instance answered.
const EXIT_UNREACHABLE: i32 = 3;
/// Exit code: the settings have changed since the base version.
const EXIT_CONFLICT: i32 = 4;

/// Milliseconds between polls of a command that waits or watches.
const POLL_INTERVAL_MS: u64 = 200;

/// Milliseconds after which `--wait` gives up.
const IN_FORCE_TIMEOUT_MS: u64 = 30_000;

fn main() {
    let code = match args::parse(std::env::args_os().skip(1).collect()) {
        Ok(Invocation::Help(text)) => {
            println!("{text}");
            EXIT_DONE
        }
        Ok(Invocation::Explain(request)) => explain(&request),
        Ok(Invocation::Run(command)) => run(&command),
        Err(error) => {
            eprintln!("lovageplankctl: {error}");
            EXIT_USAGE
        }
    };
    std::process::exit(code);
}

fn explain(request: &Explain) -> i32 {
    match explain::run(&request.id, &request.files, request.json) {
        Ok(Some(text)) => {
            println!("{text}");
            EXIT_DONE
        }
        Ok(None) => {
            eprintln!("lovageplankctl: no line names request {}", request.id);
            EXIT_REFUSED
        }
        Err(error) => {
            eprintln!("lovageplankctl: {error:#}");
            EXIT_UNREACHABLE
        }
    }
}

fn run(command: &Command) -> i32 {
    let client = Client::new(command.addresses.clone(), command.token.clone());
    let outcome = if command.watch {
        watch(&client, command)
    } else {
        run_once(&client, command)
    };
    match outcome {
        Ok(()) => EXIT_DONE,
        Err(failure) => {
            eprintln!("lovageplankctl: {failure}");
            match failure {
                Failure::Refused { code, .. } if code == "conflict" => EXIT_CONFLICT,
                Failure::Refused { .. } => EXIT_REFUSED,
                Failure::Unreachable(_) => EXIT_UNREACHABLE,
            }
        }
    }
}

fn run_once(client: &Client, command: &Command) -> Result<(), Failure> {
    let mut answer = client.call(&command.call)?;
    if command.wait
        && let Some(version) = answer["version"].as_u64()
    {
        wait_in_force(client, Version(version))?;
        answer["in_force"] = Value::Bool(true);
    }
    print_answer(command, &answer)
}

fn print_answer(command: &Command, answer: &Value) -> Result<(), Failure> {
    if matches!(command.call, Operator::Burn { .. }) {
        print!("{}", render_burn_report(command, answer)?);
    } else if command.json {
        println!("{answer}");
    } else {
        print!("{}", text::render(&command.call, answer));
    }
    Ok(())
}

fn render_burn_report(command: &Command, answer: &Value) -> Result<String, Failure> {
    report::render(command.format, answer).map_err(|error| Failure::Refused {
        code: "invalid".into(),
        message: format!("the answer is no report on burn rates: {error}"),
    })
}

/// Repeats a command until interrupted.
fn watch(client: &Client, command: &Command) -> Result<(), Failure> {
    loop {
        run_once(client, command)?;
        std::thread::sleep(Duration::from_millis(5 * POLL_INTERVAL_MS));
    }
}

fn wait_in_force(client: &Client, version: Version) -> Result<(), Failure> {
    let start = Instant::now();
    loop {
        let answer = client.call(&Operator::InForce { version })?;
        if answer["in_force"].as_bool() == Some(true) {
            return Ok(());
        }
        if start.elapsed() > Duration::from_millis(IN_FORCE_TIMEOUT_MS) {
            let message = format!(
                "version {} was accepted, but is not in force everywhere after {IN_FORCE_TIMEOUT_MS} ms; \
                 `instances` shows which lag",
                version.0
            );
            return Err(Failure::Refused {
                code: "unknown".into(),
                message,
            });
        }
        std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
    }
}
