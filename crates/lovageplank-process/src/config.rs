//! The process's settings file: JSON with comments.
//!
//! It contains what a process can't get from other processes: its name, addresses, failure domain,
//! data folder and secrets. All other settings are in the settings tree, so that a restart can't
//! restore an outdated value.
//!
//! ```
//! use lovageplank_process::config::{DaemonKind, parse};
//! let text = r#"{
//!     "instance": "salt-1", // unique in the deployment
//!     "failure_domain": "salt",
//!     "listen": "127.0.0.1:8100",
//!     "peers": ["127.0.0.1:8200"],
//!     "keys": {"link": "0123456789abcdef0123", "operator": "change-me-please"}
//! }"#;
//! let config = parse("router.jsonc", text, DaemonKind::Router).unwrap();
//! assert_eq!(&*config.instance, "salt-1");
//! ```

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};
use lovageplank_core::prelude::*;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Most bytes of a settings file; a larger file is refused unread.
const FILE_BYTES_MAX: u64 = 1 << 20;

/// Fewest bytes of a secret; a shorter one is refused.
const SECRET_BYTES_MIN: usize = 16;

/// The daemon that a settings file is for. It determines the required keys.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DaemonKind {
    /// `lovageplank-control`.
    Control,
    /// `lovageplank-router`.
    Router,
}

/// Settings of one process.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the instance, unique in the deployment.
    pub instance: Name,
    /// Failure domain of the instance.
    pub failure_domain: Name,
    /// Address at which callers, backend servers and operators connect.
    pub listen: SocketAddr,
    /// Address at which other processes open links; control processes only, which require it.
    pub link: Option<SocketAddr>,
    /// Link addresses of control processes.
    pub peers: Vec<SocketAddr>,
    /// Names of the initial voters' instances, with which the control group is bootstrapped;
    /// control processes only, which require it.
    pub voters: Vec<Name>,
    /// Data folder for the durable state; control processes only, which require it.
    pub data_dir: Option<PathBuf>,
    /// Secret shared by the deployment's processes, which authenticates links.
    pub link_key: String,
    /// Bearer token of operators.
    pub operator_key: String,
    /// Log filter, such as `info`.
    pub log: String,
}

/// A problem in a settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    /// Name of the file.
    pub file: String,
    /// Line in the file, from 1; 0 if the file can't be read or is too large.
    pub line: usize,
    /// The key, such as `keys.link`; empty for the whole file.
    pub key: String,
    /// What is wrong and what is expected.
    pub message: String,
}

impl std::fmt::Display for Problem {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.message)
    }
}

/// Reads and validates a settings file. Returns all problems at once.
pub fn read(file: &Path, daemon: DaemonKind) -> Result<Config, Vec<Problem>> {
    let name = file.display().to_string();
    let file_problem = |message: String| {
        vec![Problem {
            file: name.clone(),
            line: 0,
            key: String::new(),
            message,
        }]
    };
    let size = std::fs::metadata(file)
        .map_err(|e| file_problem(format!("can't be read: {e}")))?
        .len();
    if size > FILE_BYTES_MAX {
        return Err(file_problem(format!(
            "has {size} bytes, more than {FILE_BYTES_MAX}"
        )));
    }
    let text =
        std::fs::read_to_string(file).map_err(|e| file_problem(format!("can't be read: {e}")))?;
    parse(&name, &text, daemon)
}

/// Parses and validates the text of a settings file. `file` is the name that problems refer to.
pub fn parse(file: &str, text: &str, daemon: DaemonKind) -> Result<Config, Vec<Problem>> {
    let mut reader = Reader {
        file,
        text,
        problems: Vec::new(),
    };
    let parsed = parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default());
    let value = match parsed {
        Ok(result) => result.value,
        Err(error) => {
            reader.problem(error.range().start, "", &error.kind().to_string());
            return Err(reader.problems);
        }
    };
    let Some(Value::Object(object)) = value else {
        reader.problem(0, "", "must be an object: { \"instance\": …, … }");
        return Err(reader.problems);
    };
    let config = reader.config(&object, daemon);
    if reader.problems.is_empty() {
        Ok(config)
    } else {
        Err(reader.problems)
    }
}

const KEYS: &[&str] = &[
    "instance",
    "failure_domain",
    "listen",
    "link",
    "peers",
    "voters",
    "data_dir",
    "keys",
    "log",
];

struct Reader<'a> {
    file: &'a str,
    text: &'a str,
    problems: Vec<Problem>,
}

impl Reader<'_> {
    fn config(&mut self, object: &Object<'_>, daemon: DaemonKind) -> Config {
        self.check_keys(object, "", KEYS);
        let is_control = daemon == DaemonKind::Control;
        let invalid_address = SocketAddr::from(([127, 0, 0, 1], 0));
        let keys = self.required_object(object, "keys");
        if let Some(keys) = keys {
            self.check_keys(keys, "keys.", &["link", "operator"]);
        }
        Config {
            instance: self.name(object, "instance"),
            failure_domain: self.name(object, "failure_domain"),
            listen: self
                .address(object, "listen", true)
                .unwrap_or(invalid_address),
            link: self.address(object, "link", is_control),
            peers: self.addresses(object, "peers"),
            voters: self.names(object, "voters", is_control),
            data_dir: self
                .text(object, "", "data_dir", is_control)
                .map(PathBuf::from),
            link_key: self.secret(keys, object, "link"),
            operator_key: self.secret(keys, object, "operator"),
            log: self
                .text(object, "", "log", false)
                .unwrap_or_else(|| "info".into()),
        }
    }

    fn problem(&mut self, offset: usize, key: &str, message: &str) {
        let line = self.text[..offset.min(self.text.len())]
            .matches('\n')
            .count()
            + 1;
        self.problems.push(Problem {
            file: self.file.into(),
            line,
            key: key.into(),
            message: message.into(),
        });
    }

    fn check_keys(&mut self, object: &Object<'_>, prefix: &str, known: &[&str]) {
        let mut found = BTreeSet::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let key = format!("{prefix}{name}");
            if !known.contains(&name) {
                let message = format!("unknown key; known are {}", known.join(", "));
                self.problem(property.start(), &key, &message);
            } else if !found.insert(name.to_owned()) {
                self.problem(property.start(), &key, "appears twice; remove one");
            }
        }
    }

    fn required_object<'b>(&mut self, object: &'b Object<'_>, key: &str) -> Option<&'b Object<'b>> {
        let property = self.property(object, "", key, true)?;
        match &property.value {
            Value::Object(inner) => Some(inner),
            other => {
                self.problem(other.start(), key, "must be an object");
                None
            }
        }
    }

    fn property<'b>(
        &mut self,
        object: &'b Object<'_>,
        prefix: &str,
        key: &str,
        required: bool,
    ) -> Option<&'b ObjectProp<'b>> {
        let property = object.get(key);
        if property.is_none() && required {
            self.problem(
                object.start(),
                &format!("{prefix}{key}"),
                "is missing; add it",
            );
        }
        property
    }

    fn text(
        &mut self,
        object: &Object<'_>,
        prefix: &str,
        key: &str,
        required: bool,
    ) -> Option<String> {
        let property = self.property(object, prefix, key, required)?;
        match &property.value {
            Value::StringLit(text) if !text.value.is_empty() => Some(text.value.to_string()),
            other => {
                let message = "must be a non-empty string";
                self.problem(other.start(), &format!("{prefix}{key}"), message);
                None
            }
        }
    }

    fn name(&mut self, object: &Object<'_>, key: &str) -> Name {
        self.text(object, "", key, true).unwrap_or_default().into()
    }

    fn secret(&mut self, keys: Option<&Object<'_>>, outer: &Object<'_>, key: &str) -> String {
        let Some(keys) = keys else {
            return String::new();
        };
        let secret = self.text(keys, "keys.", key, true).unwrap_or_default();
        if !secret.is_empty() && secret.len() < SECRET_BYTES_MIN {
            let offset = keys.get(key).map_or(outer.start(), Ranged::start);
            let message = format!("is too short; use {SECRET_BYTES_MIN} bytes or more");
            self.problem(offset, &format!("keys.{key}"), &message);
        }
        secret
    }

    fn address(&mut self, object: &Object<'_>, key: &str, required: bool) -> Option<SocketAddr> {
        let text = self.text(object, "", key, required)?;
        let offset = object.get(key).map_or(0, Ranged::start);
        self.parse_address(offset, key, &text)
    }

    fn parse_address(&mut self, offset: usize, key: &str, text: &str) -> Option<SocketAddr> {
        let parsed = text.parse().ok();
        if parsed.is_none() {
            let message =
                format!("{text:?} is not an address; use ip:port, such as 127.0.0.1:8100");
            self.problem(offset, key, &message);
        }
        parsed
    }

    fn addresses(&mut self, object: &Object<'_>, key: &str) -> Vec<SocketAddr> {
        let texts = self.list(object, key, true);
        texts
            .iter()
            .filter_map(|(offset, text)| self.parse_address(*offset, key, text))
            .collect()
    }

    fn names(&mut self, object: &Object<'_>, key: &str, required: bool) -> Vec<Name> {
        self.list(object, key, required)
            .into_iter()
            .map(|(_, text)| text.into())
            .collect()
    }

    fn list(&mut self, object: &Object<'_>, key: &str, required: bool) -> Vec<(usize, String)> {
        let Some(property) = self.property(object, "", key, required) else {
            return Vec::new();
        };
        let Value::Array(array) = &property.value else {
            self.problem(property.start(), key, "must be a list of strings: [\"…\"]");
            return Vec::new();
        };
        if array.elements.is_empty() && required {
            self.problem(property.start(), key, "must have at least one item");
        }
        let mut texts = Vec::new();
        for element in &array.elements {
            match element {
                Value::StringLit(text) => texts.push((element.start(), text.value.to_string())),
                other => self.problem(other.start(), key, "must be a string"),
            }
        }
        texts
    }
}
