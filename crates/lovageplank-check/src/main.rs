//! Explores the control group and prints states and depth; exits with 1 on a violation.

use lovageplank_check::Search;
use lovageplank_check::group::{Budget, Group};
use lovageplank_core::consensus::Mutant;
use pico_args::Arguments;
use std::process::ExitCode;

const HELP: &str = "\
lovageplank-check: explores the control group and prints states and depth

  --depth N        longest way, in actions (64)
  --states N       different states at most (1000000)
  --timeouts N     timeouts on one way (3)
  --proposals N    proposals on one way (1)
  --crashes N      crashes on one way (1)
  --duplicates N   duplicated messages on one way (0)
  --snapshots N    snapshots on one way (0)
  --reads N        reads on one way (0)
  --pre-vote       elections with pre-votes
  --mutant NAME    a seeded fault: vote-not-durable, vote-for-stale-log,
                   commit-earlier-term, commit-without-quorum, truncate-committed,
                   read-without-quorum
";

const MUTANTS: [(&str, Mutant); 6] = [
    ("vote-not-durable", Mutant::VoteNotDurable),
    ("vote-for-stale-log", Mutant::VoteForStaleLog),
    ("commit-earlier-term", Mutant::CommitEarlierTerm),
    ("commit-without-quorum", Mutant::CommitWithoutQuorum),
    ("truncate-committed", Mutant::TruncateCommitted),
    ("read-without-quorum", Mutant::ReadWithoutQuorum),
];

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    match parse(&mut arguments) {
        Ok((search, group)) => explore(&search, &group),
        Err(error) => {
            eprintln!("{error}\n{HELP}");
            ExitCode::from(2)
        }
    }
}

fn parse(arguments: &mut Arguments) -> Result<(Search, Group), pico_args::Error> {
    let search = Search::new()
        .max_depth(arguments.opt_value_from_str("--depth")?.unwrap_or(64))
        .max_states(
            arguments
                .opt_value_from_str("--states")?
                .unwrap_or(1_000_000),
        );
    let budget = Budget {
        timeouts: arguments.opt_value_from_str("--timeouts")?.unwrap_or(3),
        proposals: arguments.opt_value_from_str("--proposals")?.unwrap_or(1),
        crashes: arguments.opt_value_from_str("--crashes")?.unwrap_or(1),
        duplicates: arguments.opt_value_from_str("--duplicates")?.unwrap_or(0),
        snapshots: arguments.opt_value_from_str("--snapshots")?.unwrap_or(0),
        reads: arguments.opt_value_from_str("--reads")?.unwrap_or(0),
    };
    let group = Group::new(budget)
        .pre_vote(arguments.contains("--pre-vote"))
        .mutant(arguments.opt_value_from_fn("--mutant", mutant)?);
    Ok((search, group))
}

fn mutant(name: &str) -> Result<Mutant, String> {
    MUTANTS
        .into_iter()
        .find_map(|(known, mutant)| (known == name).then_some(mutant))
        .ok_or_else(|| format!("no mutant is called {name}"))
}

fn explore(search: &Search, group: &Group) -> ExitCode {
    let report = search.run(group);
    println!("{report}");
    ExitCode::from(u8::from(report.violation.is_some()))
}
