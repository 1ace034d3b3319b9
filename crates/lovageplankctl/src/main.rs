//! Operators' command line client.
//!
//! Every command except `explain` sends a call to `POST /v1/operator` of any instance, which relays
//! it to the leader. Addresses are tried in turn. A settings change keeps its id over all attempts,
//! so that it isn't applied twice if a response is lost.

mod args;
mod client;
mod explain;
mod report;
mod text;

use args::{Command, Explain, Invocation};
use client::{Client, Failure};
use lovageplank_core::settings::Version;
use lovageplank_wire::call::OperatorRequest;
use serde_json::Value;
use std::time::{Duration, Instant};

/// Exit code of a command that succeeded.
const EXIT_DONE: i32 = 0;
/// Exit code of a call that was refused, and of `explain` if no line names the request.
const EXIT_REFUSED: i32 = 1;
/// Exit code of a wrong command line.
const EXIT_USAGE: i32 = 2;
/// Exit code if no instance answered or the outcome isn't known, and of `explain` if its input can't
/// be read.
const EXIT_UNREACHABLE: i32 = 3;
/// Exit code if the settings have changed since the base version.
const EXIT_CONFLICT: i32 = 4;

/// Milliseconds between the polls of `--wait`; `--watch` pauses five times as long.
const POLL_INTERVAL_MS: u64 = 200;

/// Milliseconds for which `--wait` waits for an accepted change to be in force. Beyond it the
/// command fails with [`EXIT_REFUSED`], and the change stays accepted.
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
                Failure::Unreachable(_) | Failure::Unknown(_) => EXIT_UNREACHABLE,
            }
        }
    }
}

/// Sends the call, waits until its change is in force if `--wait` is given, and prints the answer.
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
    if matches!(command.call, OperatorRequest::Burn { .. }) {
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
        message: format!("the answer isn't a burn-rate report: {error}"),
    })
}

/// Repeats a command until it fails or the program is interrupted.
fn watch(client: &Client, command: &Command) -> Result<(), Failure> {
    loop {
        run_once(client, command)?;
        std::thread::sleep(Duration::from_millis(5 * POLL_INTERVAL_MS));
    }
}

fn wait_in_force(client: &Client, version: Version) -> Result<(), Failure> {
    let start = Instant::now();
    loop {
        let answer = client.call(&OperatorRequest::InForce { version })?;
        if answer["in_force"].as_bool() == Some(true) {
            return Ok(());
        }
        if start.elapsed() > Duration::from_millis(IN_FORCE_TIMEOUT_MS) {
            let message = format!(
                "version {} was accepted, but is not in force everywhere after {IN_FORCE_TIMEOUT_MS} ms; \
                 `instances` shows which routers lag behind",
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
