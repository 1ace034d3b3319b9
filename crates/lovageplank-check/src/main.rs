//! Explores one of the models and prints the number of states and the depth reached.
//!
//! The exit code is 0 if no violation is found, 1 if one is, and 2 if an argument can't be parsed.

use lovageplank_check::bootstrap::{self, BootstrapModel};
use lovageplank_check::group::{Budget, GroupModel};
use lovageplank_check::ledger::{self, LedgerModel};
use lovageplank_check::settings::{self, SettingsModel};
use lovageplank_check::{Model, Search};
use lovageplank_core::consensus::Mutant;
use pico_args::Arguments;
use std::fmt;
use std::process::ExitCode;
use std::str::FromStr;

const HELP: &str = "\
lovageplank-check: explores the states of a model, and prints their number and
the depth reached; a violation of an invariant is printed with its trace

  --model NAME     group, founding, ledger or settings (group)
  --depth N        maximum actions in a trace (64)
  --states N       maximum distinct states (1000000)
  --mutant NAME    a fault to inject

group, events in a trace:
  --timeouts N     timeouts (3)
  --proposals N    proposals (1)
  --crashes N      crashes (1)
  --duplicates N   duplicated messages (0)
  --snapshots N    snapshots (0)
  --reads N        reads (0)
  --pre-vote       start elections with a pre-vote
  mutants          vote-not-durable, vote-for-stale-log, commit-earlier-term,
                   commit-without-quorum, truncate-committed, read-without-quorum

founding (bootstrap of the group):
  --votes LIST     for each process, whether it may vote, y or n (yyy)
  --founders N     number of initial voters, from the first process on (3)
  --restarts N     restarts in a trace (0)
  mutants          founders-after-restart, new-identity

ledger, events in a trace:
  --models N       number of models, 1 or 2 (1)
  --loads N        loads that the leader decides (2)
  --unloads N      unloads that the leader decides (1)
  --resends N      resends of commands (1)
  --asks N         reports that the leader requests (1)
  --pushes N       reports that engines push (0)
  --crashes N      crashes of engines (0)
  --depositions N  changes of the leader (0)
  --raises N       increases of the replica limit (0)
  --not-sent N     sends that provably don't reach the engine (0)
  --refusals N     sends that an engine refuses (0)
  --at-once        engines complete commands on receipt
  mutants          send-before-commit, pushed-report-is-proof, forget-unresolved,
                   reuse-before-proof, any-incarnation, repeat-load,
                   repeat-unload, reuse-index, resend-uncommitted

settings, events in a trace:
  --drafts N       changes that each operator drafts (1)
  --lost N         lost answers (1)
  --repeats N      further deliveries of changes sent before (1)
  --snapshots N    snapshots (1)
  --restores N     restarts (1)
  mutants          resend-fresh-id, restore-older, blind-base, torn-read,
                   answer-latest, replay-twice, torn-snapshot
";

const GROUP_MUTANTS: [(&str, Mutant); 6] = [
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
    run(&mut arguments).unwrap_or_else(|error| {
        eprintln!("{error}\n{HELP}");
        ExitCode::from(2)
    })
}

fn run(arguments: &mut Arguments) -> Result<ExitCode, pico_args::Error> {
    let search = Search::new()
        .max_depth(parse_number(arguments, "--depth", 64)?)
        .max_states(parse_number(arguments, "--states", 1_000_000)?);
    let model: Option<String> = arguments.opt_value_from_str("--model")?;
    match model.as_deref() {
        None | Some("group") => Ok(explore(&search, &group_model(arguments)?)),
        Some("founding") => Ok(explore(&search, &bootstrap_model(arguments)?)),
        Some("ledger") => Ok(explore(&search, &ledger_model(arguments)?)),
        Some("settings") => Ok(explore(&search, &settings_model(arguments)?)),
        Some(other) => {
            let cause =
                format!("unknown model {other}; expected group, founding, ledger or settings");
            let value = other.to_owned();
            Err(pico_args::Error::Utf8ArgumentParsingFailed { value, cause })
        }
    }
}

fn group_model(arguments: &mut Arguments) -> Result<GroupModel, pico_args::Error> {
    let budget = Budget {
        timeouts: parse_number(arguments, "--timeouts", 3)?,
        proposals: parse_number(arguments, "--proposals", 1)?,
        crashes: parse_number(arguments, "--crashes", 1)?,
        duplicates: parse_number(arguments, "--duplicates", 0)?,
        snapshots: parse_number(arguments, "--snapshots", 0)?,
        reads: parse_number(arguments, "--reads", 0)?,
    };
    let pre_vote = arguments.contains("--pre-vote");
    let mutant = parse_mutant(arguments, &GROUP_MUTANTS)?;
    Ok(GroupModel::new(budget).pre_vote(pre_vote).mutant(mutant))
}

fn bootstrap_model(arguments: &mut Arguments) -> Result<BootstrapModel, pico_args::Error> {
    let votes: Option<String> = arguments.opt_value_from_str("--votes")?;
    let can_vote: Vec<bool> = votes
        .as_deref()
        .unwrap_or("yyy")
        .chars()
        .map(|c| c == 'y')
        .collect();
    let initial_voter_count = parse_number(arguments, "--founders", 3)?;
    let restarts = parse_number(arguments, "--restarts", 0)?;
    let mutant = parse_mutant(arguments, &bootstrap::Mutant::NAMED)?;
    Ok(BootstrapModel::new(&can_vote, initial_voter_count, restarts).mutant(mutant))
}

fn ledger_model(arguments: &mut Arguments) -> Result<LedgerModel, pico_args::Error> {
    let budget = ledger::Budget {
        models: parse_number(arguments, "--models", 1)?,
        loads: parse_number(arguments, "--loads", 2)?,
        unloads: parse_number(arguments, "--unloads", 1)?,
        resends: parse_number(arguments, "--resends", 1)?,
        asks: parse_number(arguments, "--asks", 1)?,
        pushes: parse_number(arguments, "--pushes", 0)?,
        crashes: parse_number(arguments, "--crashes", 0)?,
        depositions: parse_number(arguments, "--depositions", 0)?,
        raises: parse_number(arguments, "--raises", 0)?,
        not_sent: parse_number(arguments, "--not-sent", 0)?,
        refusals: parse_number(arguments, "--refusals", 0)?,
    };
    let completes_immediately = arguments.contains("--at-once");
    let mutant = parse_mutant(arguments, &ledger::Mutant::NAMED)?;
    Ok(LedgerModel::new(budget)
        .completes_immediately(completes_immediately)
        .mutant(mutant))
}

fn settings_model(arguments: &mut Arguments) -> Result<SettingsModel, pico_args::Error> {
    let budget = settings::Budget {
        drafts: parse_number(arguments, "--drafts", 1)?,
        lost_answers: parse_number(arguments, "--lost", 1)?,
        repeats: parse_number(arguments, "--repeats", 1)?,
        snapshots: parse_number(arguments, "--snapshots", 1)?,
        restores: parse_number(arguments, "--restores", 1)?,
    };
    let mutant = parse_mutant(arguments, &settings::Mutant::NAMED)?;
    Ok(SettingsModel::new(budget).mutant(mutant))
}

fn parse_number<N>(
    arguments: &mut Arguments,
    name: &'static str,
    default: N,
) -> Result<N, pico_args::Error>
where
    N: FromStr<Err: fmt::Display>,
{
    let value = arguments.opt_value_from_str(name)?;
    Ok(value.unwrap_or(default))
}

fn parse_mutant<M: Copy>(
    arguments: &mut Arguments,
    mutants: &[(&str, M)],
) -> Result<Option<M>, pico_args::Error> {
    let Some(name) = arguments.opt_value_from_str::<_, String>("--mutant")? else {
        return Ok(None);
    };
    let mutant = mutants.iter().find(|(known, _)| *known == name);
    let cause = format!("unknown mutant {name}; expected a mutant of the chosen model");
    match mutant {
        Some((_, mutant)) => Ok(Some(*mutant)),
        None => Err(pico_args::Error::Utf8ArgumentParsingFailed { value: name, cause }),
    }
}

fn explore<M: Model>(search: &Search, model: &M) -> ExitCode {
    let report = search.run(model);
    println!("{report}");
    ExitCode::from(u8::from(report.violation.is_some()))
}
