//! Stand-ins and scripts of the second review's cases. `review-case NAME RECORD` exits with 1 if the rule was broken, with
//! 0 if it held, and with 2 if the case couldn't run. With `TROUBLE=0` the disruption is left out.

mod client;
mod deployment;
mod first_start;
mod http;
mod operator;
mod process;
mod record;
mod relayed;
mod restarted;
mod server;

use std::process::exit;

/// How a case ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, record] = args.as_slice() else {
        eprintln!("usage: review-case NAME RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let verdict = match name.as_str() {
        "first-start" => first_start::run(record, trouble),
        "relayed" => relayed::run(record, trouble),
        "restarted" => restarted::run(record, trouble),
        _ => Verdict::NotRun,
    };
    println!("{verdict:?}");
    exit(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    });
}
