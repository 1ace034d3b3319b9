//! Command line arguments.

use crate::report::Format;
use eyre::{Result, WrapErr, bail, eyre};
use lovageplank_core::prelude::*;
use lovageplank_core::settings::{Edit, Version};
use lovageplank_wire::call::OperatorRequest;
use pico_args::Arguments;
use rand::Rng;
use serde_json::Value;
use std::ffi::OsString;

/// Text of `--help`; docs/OPERATIONS.md lists the same commands.
pub const HELP: &str = "\
lovageplankctl: operators' client of lovageplank

USAGE:
    lovageplankctl [OPTIONS] COMMAND

COMMANDS:
    settings get [PATH] [--effective]              part of the settings tree
    settings set PATH VALUE --base VERSION         change one setting; VALUE is JSON
    settings unset PATH --base VERSION             inherit a setting again, or remove a node
    settings apply FILE --base VERSION             replace the whole tree by a file's
    settings rollback TO --base VERSION            restore the tree of version TO
    settings diff FROM TO                          paths that differ between two versions
    settings history [--limit N]                   accepted changes, newest first
    settings in-force VERSION                      whether every live router has applied it
    status [--watch]                               state of the deployment
    instances                                      routers and control processes
    engines                                        backend servers and their replicas
    models                                         models and their state
    drain INSTANCE                                 take an instance out of use
    voter add INSTANCE                             make a connected instance a voter
    voter remove INSTANCE                          remove a voter or learner
    explain ID [FILE ...]                          the path of a request through the logs of
                                                   several processes, from files or standard input
    report burn [--window MS] [--format FORMAT]    service-level burn rates; FORMAT is text, json
                                                   or svg (docs/BURN.md)

OPTIONS:
    --address IP:PORT     an instance's address; may be repeated (LOVAGEPLANK_ADDRESS, comma-separated)
    --token TOKEN         operators' token (LOVAGEPLANK_TOKEN)
    --change-id ID        id of the change; random if absent; repeat it to resend safely
    --author NAME         author of the change (LOVAGEPLANK_AUTHOR, USER)
    --wait                wait until the change is in force everywhere
    --json                print the answer as JSON
    -h, --help            print this text
    -V, --version         print the version

EXIT CODES:
    0 done, 1 refused, 2 usage, 3 unreachable, 4 conflict";

/// What the program has to do.
pub enum Invocation {
    /// Print the help or the version.
    Help(String),
    /// Print the path of a request from logs.
    Explain(Explain),
    /// Send an operator's call.
    Run(Box<Command>),
}

/// Arguments of `explain`.
pub struct Explain {
    /// Id of the request.
    pub id: String,
    /// Log files; if empty, logs are read from standard input.
    pub files: Vec<std::path::PathBuf>,
    /// Whether to print JSON.
    pub json: bool,
}

/// A command that sends a call to an instance.
pub struct Command {
    /// Addresses of instances, tried in turn.
    pub addresses: Vec<String>,
    /// Operators' bearer token.
    pub token: String,
    /// The call to send.
    pub call: OperatorRequest,
    /// Whether to print JSON.
    pub json: bool,
    /// Format of a burn-rate report; other commands ignore it.
    pub format: Format,
    /// Whether to wait until a change is in force everywhere.
    pub wait: bool,
    /// Whether to repeat the call until interrupted.
    pub watch: bool,
}

/// Parses the arguments, which exclude the program's name.
///
/// Fails on an unknown, missing or malformed argument and if no instance's address is given.
pub fn parse(args: Vec<OsString>) -> Result<Invocation> {
    let mut args = Arguments::from_vec(args);
    if args.contains(["-h", "--help"]) {
        return Ok(Invocation::Help(HELP.into()));
    }
    if args.contains(["-V", "--version"]) {
        return Ok(Invocation::Help(format!(
            "lovageplankctl {}",
            env!("CARGO_PKG_VERSION")
        )));
    }
    if let Some(explain) = parse_explain(&mut args)? {
        return Ok(Invocation::Explain(explain));
    }
    let addresses = addresses(&mut args)?;
    let token: Option<String> = args.opt_value_from_str("--token")?;
    let token = token
        .or_else(|| std::env::var("LOVAGEPLANK_TOKEN").ok())
        .unwrap_or_default();
    let json = args.contains("--json");
    let wait = args.contains("--wait");
    let watch = args.contains("--watch");
    let options = Options::read(&mut args)?;
    let format = parse_format(&mut args, json)?;
    let call = parse_call(&mut args, &options)?;
    if let Some(arg) = args.finish().first() {
        bail!("unknown argument {:?}; see --help", arg.to_string_lossy());
    }
    if addresses.is_empty() {
        bail!("no address of an instance; give --address IP:PORT or set LOVAGEPLANK_ADDRESS");
    }
    Ok(Invocation::Run(Box::new(Command {
        addresses,
        token,
        call,
        json,
        format,
        wait,
        watch,
    })))
}

/// The arguments of `explain`, or `None` if the command is another one. `explain` sends no call, so
/// it needs no address.
fn parse_explain(args: &mut Arguments) -> Result<Option<Explain>> {
    let rest = args.clone().finish();
    if rest.first().is_none_or(|argument| argument != "explain") {
        return Ok(None);
    }
    let json = args.contains("--json");
    let mut arguments = std::mem::replace(args, Arguments::from_vec(Vec::new()))
        .finish()
        .into_iter()
        .skip(1);
    let id = arguments.next().and_then(|id| id.into_string().ok());
    let id = id.filter(|id| !id.starts_with('-'));
    let id = id.ok_or_else(|| eyre!("explain needs the id of a request"))?;
    let files = arguments.map(Into::into).collect();
    Ok(Some(Explain { id, files, json }))
}

/// The format of a burn-rate report; without `--format`, `--json` selects JSON.
fn parse_format(args: &mut Arguments, json: bool) -> Result<Format> {
    let from_flag: Option<Format> = args.opt_value_from_str("--format")?;
    Ok(match from_flag {
        Some(format) => format,
        None if json => Format::Json,
        None => Format::Text,
    })
}

/// The addresses given by `--address`, or else those of `LOVAGEPLANK_ADDRESS`.
fn addresses(args: &mut Arguments) -> Result<Vec<String>> {
    let from_flags: Vec<String> = args.values_from_str("--address").wrap_err("--address")?;
    if !from_flags.is_empty() {
        return Ok(from_flags);
    }
    let from_env = std::env::var("LOVAGEPLANK_ADDRESS").unwrap_or_default();
    Ok(from_env
        .split(',')
        .filter(|a| !a.is_empty())
        .map(str::to_owned)
        .collect())
}

/// Options that only some commands use. They are accepted at any place in the command line and
/// ignored by other commands.
struct Options {
    base: Option<u64>,
    change_id: Option<String>,
    author: String,
    effective: bool,
    limit: Option<u32>,
    window_ms: Option<u64>,
}

impl Options {
    fn read(args: &mut Arguments) -> Result<Options> {
        let author: Option<String> = args.opt_value_from_str("--author")?;
        let author = author
            .or_else(|| std::env::var("LOVAGEPLANK_AUTHOR").ok())
            .or_else(|| std::env::var("USER").ok())
            .unwrap_or_else(|| "operator".into());
        Ok(Options {
            base: args.opt_value_from_str("--base")?,
            change_id: args.opt_value_from_str("--change-id")?,
            author,
            effective: args.contains("--effective"),
            limit: args.opt_value_from_str("--limit")?,
            window_ms: args.opt_value_from_str("--window")?,
        })
    }

    /// The version that a change is made against, which such a command requires.
    fn base(&self) -> Result<Version> {
        let base = self.base.ok_or_else(|| {
            eyre!(
                "--base VERSION is missing: the version you made the change against, from `status`"
            )
        })?;
        Ok(Version(base))
    }

    fn change(&self, edits: Vec<Edit>) -> Result<OperatorRequest> {
        Ok(OperatorRequest::Change {
            id: self.id(),
            base: self.base()?,
            author: self.author.as_str().into(),
            edits,
        })
    }

    /// The id of a change: the given one, or a random one.
    fn id(&self) -> Name {
        match &self.change_id {
            Some(id) => id.as_str().into(),
            None => format!("{:032x}", rand::rng().random::<u128>()).into(),
        }
    }
}

fn parse_call(args: &mut Arguments, options: &Options) -> Result<OperatorRequest> {
    let first = argument(args, "a command; see --help")?;
    match first.as_str() {
        "settings" => parse_settings(args, options),
        "status" => Ok(OperatorRequest::Status),
        "instances" => Ok(OperatorRequest::Instances),
        "engines" => Ok(OperatorRequest::Engines),
        "models" => Ok(OperatorRequest::Models),
        "drain" => Ok(OperatorRequest::Drain {
            instance: argument(args, "INSTANCE")?.into(),
        }),
        "voter" => parse_voter(args),
        "report" => parse_report(args, options),
        other => bail!("unknown command {other:?}; see --help"),
    }
}

fn parse_settings(args: &mut Arguments, options: &Options) -> Result<OperatorRequest> {
    let subcommand = argument(
        args,
        "get, set, unset, apply, rollback, diff, history or in-force",
    )?;
    match subcommand.as_str() {
        "get" => {
            let path = args.opt_free_from_str::<String>()?.unwrap_or_default();
            Ok(OperatorRequest::Settings {
                path,
                effective: options.effective,
            })
        }
        "set" => {
            let path = argument(args, "PATH")?;
            let value = value(&argument(args, "VALUE")?);
            options.change(vec![Edit {
                path,
                value: Some(value),
            }])
        }
        "unset" => options.change(vec![Edit {
            path: argument(args, "PATH")?,
            value: None,
        }]),
        "apply" => {
            let tree = read_tree(&argument(args, "FILE")?)?;
            options.change(vec![Edit {
                path: String::new(),
                value: Some(tree),
            }])
        }
        "rollback" => Ok(OperatorRequest::Rollback {
            to: version(args, "TO")?,
            id: options.id(),
            base: options.base()?,
            author: options.author.as_str().into(),
        }),
        "diff" => Ok(OperatorRequest::Diff {
            from: version(args, "FROM")?,
            to: version(args, "TO")?,
        }),
        "history" => Ok(OperatorRequest::History {
            limit: options.limit.unwrap_or(20),
        }),
        "in-force" => Ok(OperatorRequest::InForce {
            version: version(args, "VERSION")?,
        }),
        other => bail!("unknown command \"settings {other}\"; see --help"),
    }
}

fn parse_voter(args: &mut Arguments) -> Result<OperatorRequest> {
    let subcommand = argument(args, "add or remove")?;
    let instance = argument(args, "INSTANCE")?.into();
    match subcommand.as_str() {
        "add" => Ok(OperatorRequest::VoterAdd { instance }),
        "remove" => Ok(OperatorRequest::VoterRemove { instance }),
        other => bail!("unknown command \"voter {other}\"; use add or remove"),
    }
}

fn parse_report(args: &mut Arguments, options: &Options) -> Result<OperatorRequest> {
    let kind = argument(args, "burn")?;
    if kind != "burn" {
        bail!("unknown report {kind:?}; use burn");
    }
    Ok(OperatorRequest::Burn {
        window_ms: options.window_ms.unwrap_or(0),
    })
}

/// The next positional argument; `expected` names it in the error.
fn argument(args: &mut Arguments, expected: &str) -> Result<String> {
    let argument: Option<String> = args.opt_free_from_str()?;
    argument.ok_or_else(|| eyre!("missing: {expected}"))
}

fn version(args: &mut Arguments, expected: &str) -> Result<Version> {
    let text = argument(args, expected)?;
    let number = text
        .parse()
        .map_err(|_| eyre!("{expected}: {text:?} is no version number"))?;
    Ok(Version(number))
}

/// Parses a value as JSON; text that isn't JSON becomes a string.
fn value(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_else(|_| Value::String(text.to_owned()))
}

/// Reads a settings tree from a file of JSON with comments.
fn read_tree(file: &str) -> Result<Value> {
    let text = std::fs::read_to_string(file).wrap_err_with(|| format!("{file} can't be read"))?;
    let parsed = jsonc_parser::parse_to_serde_value(&text, &jsonc_parser::ParseOptions::default());
    let value = parsed.map_err(|error| eyre!("{file}: {error}"))?;
    value.ok_or_else(|| {
        eyre!("{file} is empty; it must contain the settings tree: {{ \"services\": … }}")
    })
}
