//! Stand-ins for the cases of the review: clients, engines, the operator and the platform.
//!
//! `review-standins CASE ROOT FOLDER TROUBLE` plays a case with the programs below the folder ROOT, and
//! writes `record.txt` into FOLDER. It exits with 1 if a rule was broken, with 0 if it held, and with 2 if
//! the case couldn't run.

mod client;
mod engine;
mod fleet;
mod http;
mod memory;
mod operator;
mod power;
mod record;
mod retired;

use std::path::PathBuf;
use std::process::ExitCode;

/// What a case has shown.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, folder, trouble] = args.as_slice() else {
        eprintln!("usage: review-standins CASE ROOT FOLDER TROUBLE");
        return ExitCode::from(2);
    };
    let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
    let has_trouble = trouble != "0";
    let verdict = match &**case {
        "memory" => memory::play(&root, &folder, has_trouble),
        "retired" => retired::play(&root, &folder, has_trouble),
        "power" => power::play(&root, &folder, trouble),
        _ => Err(format!("there is no case {case}")),
    };
    match verdict {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(reason) => {
            eprintln!("the case couldn't run: {reason}");
            ExitCode::from(2)
        }
    }
}
