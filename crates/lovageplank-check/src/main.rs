//! Explores one of the models and prints states and depth; exits with 1 on a violation.

use lovageplank_check::founding::{self, Founders};
use lovageplank_check::group::{Budget, Group};
use lovageplank_check::ledger::{self, World};
use lovageplank_check::settings::{self, Desk};
use lovageplank_check::{Model, Search};
use lovageplank_core::consensus::Mutant;
use pico_args::Arguments;
use std::fmt;
use std::process::ExitCode;
use std::str::FromStr;

const HELP: &str = "\
lovageplank-check: explores a model and prints states and depth

  --model NAME     group, founding, ledger or settings (group)
  --depth N        longest way, in actions (64)
  --states N       different states at most (1000000)
  --mutant NAME    a seeded fault

group:
  --timeouts N     timeouts on one way (3)
  --proposals N    proposals on one way (1)
  --crashes N      crashes on one way (1)
  --duplicates N   duplicated messages on one way (0)
  --snapshots N    snapshots on one way (0)
  --reads N        reads on one way (0)
  --pre-vote       elections with pre-votes
  mutants          vote-not-durable, vote-for-stale-log, commit-earlier-term,
                   commit-without-quorum, truncate-committed, read-without-quorum

founding:
  --votes LIST     whether each process may vote, y or n (yyy)
  --founders N     how many of them found the group (3)
  --restarts N     restarts on one way (0)
  mutants          founders-after-restart, new-identity

ledger:
  --models N       models, 1 or 2 (1)
  --loads N        loads committed on one way (2)
  --unloads N      unloads committed (1)
  --resends N      further sends (1)
  --asks N         reports asked for (1)
  --pushes N       reports pushed (0)
  --crashes N      crashes of an engine (0)
  --depositions N  leaders deposed (0)
  --raises N       raises of the limit (0)
  --not-sent N     sends that provably never left (0)
  --refusals N     sends that an engine refuses (0)
  --at-once        engines end a command when they take it
  mutants          send-before-commit, pushed-report-is-proof, forget-unresolved,
                   reuse-before-proof, any-incarnation, repeat-load,
                   repeat-unload, reuse-index, resend-uncommitted

settings:
  --drafts N       changes that each operator drafts (1)
  --lost N         answers lost (1)
  --repeats N      changes that arrive once more (1)
  --snapshots N    snapshots (1)
  --restores N     restarts (1)
  mutants          resend-fresh-id, restore-older, blind-base, torn-read,
                   answer-latest, replay-twice, torn-snapshot
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
    run(&mut arguments).unwrap_or_else(|error| {
        eprintln!("{error}\n{HELP}");
        ExitCode::from(2)
    })
}

fn run(arguments: &mut Arguments) -> Result<ExitCode, pico_args::Error> {
    let search = Search::new()
        .max_depth(number(arguments, "--depth", 64)?)
        .max_states(number(arguments, "--states", 1_000_000)?);
    let model: Option<String> = arguments.opt_value_from_str("--model")?;
    match model.as_deref() {
        None | Some("group") => Ok(explore(&search, &group(arguments)?)),
        Some("founding") => Ok(explore(&search, &founders(arguments)?)),
        Some("ledger") => Ok(explore(&search, &world(arguments)?)),
        Some("settings") => Ok(explore(&search, &desk(arguments)?)),
        Some(other) => {
            let cause = format!("no model is called {other}");
            let value = other.to_owned();
            Err(pico_args::Error::Utf8ArgumentParsingFailed { value, cause })
        }
    }
}

fn group(arguments: &mut Arguments) -> Result<Group, pico_args::Error> {
    let budget = Budget {
        timeouts: number(arguments, "--timeouts", 3)?,
        proposals: number(arguments, "--proposals", 1)?,
        crashes: number(arguments, "--crashes", 1)?,
        duplicates: number(arguments, "--duplicates", 0)?,
        snapshots: number(arguments, "--snapshots", 0)?,
        reads: number(arguments, "--reads", 0)?,
    };
    let pre_vote = arguments.contains("--pre-vote");
    let mutant = mutant(arguments, &MUTANTS)?;
    Ok(Group::new(budget).pre_vote(pre_vote).mutant(mutant))
}

fn founders(arguments: &mut Arguments) -> Result<Founders, pico_args::Error> {
    let votes: Option<String> = arguments.opt_value_from_str("--votes")?;
    let votes: Vec<bool> = votes
        .as_deref()
        .unwrap_or("yyy")
        .chars()
        .map(|c| c == 'y')
        .collect();
    let founders = number(arguments, "--founders", 3)?;
    let restarts = number(arguments, "--restarts", 0)?;
    let mutant = mutant(arguments, &founding::Mutant::NAMED)?;
    Ok(Founders::new(&votes, founders, restarts).mutant(mutant))
}

fn world(arguments: &mut Arguments) -> Result<World, pico_args::Error> {
    let budget = ledger::Budget {
        models: number(arguments, "--models", 1)?,
        loads: number(arguments, "--loads", 2)?,
        unloads: number(arguments, "--unloads", 1)?,
        resends: number(arguments, "--resends", 1)?,
        asks: number(arguments, "--asks", 1)?,
        pushes: number(arguments, "--pushes", 0)?,
        crashes: number(arguments, "--crashes", 0)?,
        depositions: number(arguments, "--depositions", 0)?,
        raises: number(arguments, "--raises", 0)?,
        not_sent: number(arguments, "--not-sent", 0)?,
        refusals: number(arguments, "--refusals", 0)?,
    };
    let at_once = arguments.contains("--at-once");
    let mutant = mutant(arguments, &ledger::Mutant::NAMED)?;
    Ok(World::new(budget).at_once(at_once).mutant(mutant))
}

fn desk(arguments: &mut Arguments) -> Result<Desk, pico_args::Error> {
    let budget = settings::Budget {
        drafts: number(arguments, "--drafts", 1)?,
        lost_answers: number(arguments, "--lost", 1)?,
        repeats: number(arguments, "--repeats", 1)?,
        snapshots: number(arguments, "--snapshots", 1)?,
        restores: number(arguments, "--restores", 1)?,
    };
    let mutant = mutant(arguments, &settings::Mutant::NAMED)?;
    Ok(Desk::new(budget).mutant(mutant))
}

fn number<N>(arguments: &mut Arguments, name: &'static str, usual: N) -> Result<N, pico_args::Error>
where
    N: FromStr<Err: fmt::Display>,
{
    let given = arguments.opt_value_from_str(name)?;
    Ok(given.unwrap_or(usual))
}

fn mutant<M: Copy>(
    arguments: &mut Arguments,
    mutants: &[(&str, M)],
) -> Result<Option<M>, pico_args::Error> {
    let Some(name) = arguments.opt_value_from_str::<_, String>("--mutant")? else {
        return Ok(None);
    };
    let found = mutants.iter().find(|(known, _)| *known == name);
    let cause = format!("no mutant is called {name}");
    match found {
        Some((_, mutant)) => Ok(Some(*mutant)),
        None => Err(pico_args::Error::Utf8ArgumentParsingFailed { value: name, cause }),
    }
}

fn explore<M: Model>(search: &Search, model: &M) -> ExitCode {
    let report = search.run(model);
    println!("{report}");
    ExitCode::from(u8::from(report.violation.is_some()))
}
