//! Valid settings files are accepted, and the problems of invalid ones are reported.

use bolero::generator::bolero_generator::driver::{Options, Rng};
use bolero::{TypeGenerator, ValueGenerator, produce};
use lovageplank_process::config::{Config, DaemonKind, Problem, parse, read};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::fmt::Write;

/// Keys and values of a valid file, one per line of the file, so that a case can change single
/// lines.
const CONTROL: &[(&str, &str)] = &[
    ("instance", r#""control-1""#),
    ("failure_domain", r#""salt""#),
    ("listen", r#""127.0.0.1:8100""#),
    ("link", r#""[::1]:8200""#),
    ("peers", r#"["127.0.0.1:8200", "127.0.0.1:8201"]"#),
    ("voters", r#"["control-1", "control-2"]"#),
    ("data_dir", r#""data""#),
    (
        "keys",
        r#"{"link": "0123456789abcdef", "operator": "fedcba9876543210"}"#,
    ),
];

/// The valid file with some values replaced or added; an empty value removes its key. Line 1 is
/// `{`.
fn file(changes: &[(&str, &str)]) -> String {
    let mut text = "{\n".to_owned();
    for (key, value) in CONTROL {
        let replaced = changes.iter().find(|(name, _)| name == key);
        match replaced.map_or(*value, |(_, value)| value) {
            "" => text.push_str("// left out\n"),
            value => writeln!(text, "\"{key}\": {value},").unwrap(),
        }
    }
    let added = changes
        .iter()
        .filter(|(name, _)| CONTROL.iter().all(|(key, _)| key != name));
    for (key, value) in added {
        writeln!(text, "\"{key}\": {value},").unwrap();
    }
    text.push_str("}\n");
    text
}

fn parse_text(text: &str, daemon: DaemonKind) -> Result<Config, Vec<Problem>> {
    parse("file.jsonc", text, daemon)
}

/// Changes to the valid file, and line, key and part of the message of each expected problem.
type Case = (
    &'static [(&'static str, &'static str)],
    &'static [(usize, &'static str, &'static str)],
);

const CONTROL_FILES: &[Case] = &[
    (&[], &[]),
    (&[("log", r#""debug""#)], &[]),
    (&[("peers", r#"["127.0.0.1:8200", /* the last */]"#)], &[]),
    (
        &[("instanse", r#""a""#)],
        &[(10, "instanse", "unknown key; known are instance, ")],
    ),
    (
        &[("instance", "")],
        &[(1, "instance", "is missing; add it")],
    ),
    (
        &[("instance", r#""""#)],
        &[(2, "instance", "must be a non-empty string")],
    ),
    (
        &[("instance", "5")],
        &[(2, "instance", "must be a non-empty string")],
    ),
    (
        &[("failure_domain", "null")],
        &[(3, "failure_domain", "must be a non-empty string")],
    ),
    (
        &[("listen", r#""localhost""#)],
        &[(4, "listen", "\"localhost\" is not an address; use ip:port")],
    ),
    (
        &[("listen", r#""127.0.0.1:65536""#)],
        &[(4, "listen", "is not an address")],
    ),
    (&[("link", "")], &[(1, "link", "is missing; add it")]),
    (
        &[("peers", r#""127.0.0.1:8200""#)],
        &[(6, "peers", "must be a list of strings")],
    ),
    (
        &[("peers", "[]")],
        &[(6, "peers", "must have at least one item")],
    ),
    (
        &[("peers", "[\n\"127.0.0.1:8200\",\n\"salt\"]")],
        &[(8, "peers", "\"salt\" is not an address")],
    ),
    (&[("peers", "[1]")], &[(6, "peers", "must be a string")]),
    (&[("voters", "")], &[(1, "voters", "is missing; add it")]),
    (
        &[("voters", "[]")],
        &[(7, "voters", "must have at least one item")],
    ),
    (
        &[("data_dir", "[]")],
        &[(8, "data_dir", "must be a non-empty string")],
    ),
    (&[("keys", "")], &[(1, "keys", "is missing; add it")]),
    (
        &[("keys", r#""secret""#)],
        &[(9, "keys", "must be an object")],
    ),
    (
        &[(
            "keys",
            r#"{"link": "0123456789abcde", "operator": "0123456789abcdef"}"#,
        )],
        &[(9, "keys.link", "is too short; use 16 bytes or more")],
    ),
    (
        &[("keys", r#"{"link": "0123456789abcdef"}"#)],
        &[(9, "keys.operator", "is missing; add it")],
    ),
    (
        &[(
            "keys",
            "{\"link\": \"0123456789abcdef\",\n\"operator\": \"0123456789abcdef\", \"x\": 1}",
        )],
        &[(10, "keys.x", "unknown key; known are link, operator")],
    ),
    (
        &[("log", "1")],
        &[(10, "log", "must be a non-empty string")],
    ),
    (
        &[
            ("instance", ""),
            ("listen", r#""here""#),
            ("keys", r#"{"link": "a", "operator": 2}"#),
            ("z", "1"),
        ],
        &[
            (10, "z", "unknown key"),
            (1, "instance", "is missing"),
            (4, "listen", "is not an address"),
            (9, "keys.link", "is too short"),
            (9, "keys.operator", "must be a non-empty string"),
        ],
    ),
];

#[test]
fn every_problem_is_reported_with_line_key_and_remedy() {
    for (changes, expected) in CONTROL_FILES {
        let text = file(changes);
        let problems = parse_text(&text, DaemonKind::Control)
            .err()
            .unwrap_or_default();
        assert_problems(&text, &problems, expected);
    }
}

fn assert_problems(text: &str, problems: &[Problem], expected: &[(usize, &str, &str)]) {
    assert_eq!(problems.len(), expected.len(), "{text}: {problems:?}");
    for (line, key, message) in expected {
        let named = |p: &&Problem| p.line == *line && p.key == *key && p.message.contains(message);
        let problem = problems.iter().find(named);
        let problem = problem.unwrap_or_else(|| panic!("{text}: {line} {key}: {problems:?}"));
        let shown = format!("file.jsonc:{line}: {key}: ");
        assert!(problem.to_string().starts_with(&shown), "{problem}");
    }
}

/// Whole texts, with the line and a part of the message of their only problem; `None` accepts any
/// message.
const TEXTS: &[(&str, usize, Option<&str>)] = &[
    ("", 1, Some("must be an object")),
    ("// nothing but a comment", 1, Some("must be an object")),
    ("[]", 1, Some("must be an object")),
    ("\"text\"", 1, Some("must be an object")),
    ("{", 1, None),
    ("{\n\"instance\": \"a\n}", 2, None),
    ("{\n\"instance\" \"a\"\n}", 2, None),
    ("{}\n{}", 2, None),
];

#[test]
fn text_without_an_object_has_one_problem() {
    for (text, line, message) in TEXTS {
        for daemon in [DaemonKind::Control, DaemonKind::Router] {
            let problems = parse_text(text, daemon).expect_err(text);
            assert_eq!(problems.len(), 1, "{text}: {problems:?}");
            assert_eq!(problems[0].line, *line, "{text}: {problems:?}");
            let matches = message.is_none_or(|part| problems[0].message.contains(part));
            assert!(matches, "{text}: {problems:?}");
        }
    }
}

#[test]
fn duplicate_key_is_reported_at_its_second_line() {
    let text = file(&[("data_dir", "\"data\",\n\"instance\": \"b\"")]);
    let problems =
        parse_text(&text, DaemonKind::Control).expect_err("a duplicate key is a problem");
    assert_problems(
        &text,
        &problems,
        &[(9, "instance", "appears twice; remove one")],
    );
}

#[test]
fn valid_file_yields_all_values() {
    let config =
        parse_text(&file(&[("log", "\"debug\"")]), DaemonKind::Control).expect("the file is valid");
    assert_eq!(&*config.instance, "control-1");
    assert_eq!(&*config.failure_domain, "salt");
    assert_eq!(config.listen.to_string(), "127.0.0.1:8100");
    assert_eq!(
        config.link.map(|a| a.to_string()).as_deref(),
        Some("[::1]:8200")
    );
    assert_eq!(config.peers.len(), 2);
    assert_eq!(config.voters.len(), 2);
    assert_eq!(config.data_dir.as_deref(), Some("data".as_ref()));
    assert_eq!(config.link_key, "0123456789abcdef");
    assert_eq!(config.operator_key, "fedcba9876543210");
    assert_eq!(config.log, "debug");
}

#[test]
fn router_needs_no_link_voters_or_data_folder() {
    let text = file(&[("link", ""), ("voters", ""), ("data_dir", "")]);
    let config = parse_text(&text, DaemonKind::Router).expect("the file is valid for a router");
    assert_eq!((config.link, config.data_dir), (None, None));
    assert_eq!(config.log, "info");
    assert_eq!(
        parse_text(&text, DaemonKind::Control)
            .expect_err("a control process needs the three keys")
            .len(),
        3
    );
}

#[test]
fn unreadable_file_is_reported_at_line_zero() {
    let folder = tempfile::tempdir().unwrap();
    let large = folder.path().join("large.jsonc");
    std::fs::write(&large, vec![b' '; (1 << 20) + 1]).unwrap();
    let binary = folder.path().join("binary.jsonc");
    std::fs::write(&binary, [0xff, 0xfe]).unwrap();
    let cases = [
        (folder.path().join("none.jsonc"), "can't be read"),
        (large, "more than 1048576"),
        (binary, "can't be read"),
    ];
    for (file, message) in cases {
        let problems = read(&file, DaemonKind::Router).expect_err(message);
        assert_eq!((problems.len(), problems[0].line), (1, 0));
        assert!(problems[0].to_string().contains(message), "{}", problems[0]);
    }
}

/// Seed of the random number generator that drives bolero's generators, because bolero's own engine
/// has no API for fixed seeds.
const SEED: u64 = 20_261_203;
const CASES: usize = 4_000;

#[derive(Clone, Debug, TypeGenerator)]
enum Change {
    Remove { offset: usize, length: u8 },
    Insert { offset: usize, text: char },
    Repeat { offset: usize, length: u8 },
}

fn apply_change(text: &str, change: &Change) -> String {
    let chars: Vec<char> = text.chars().collect();
    let part = |offset: usize, length: u8| {
        let start = offset.checked_rem(chars.len()).unwrap_or(0);
        (start, (start + usize::from(length)).min(chars.len()))
    };
    let (start, end, inserted): (usize, usize, Vec<char>) = match *change {
        Change::Remove { offset, length } => {
            let (start, end) = part(offset, length);
            (start, end, Vec::new())
        }
        Change::Insert { offset, text } => {
            let (start, _) = part(offset, 0);
            (start, start, vec![text])
        }
        Change::Repeat { offset, length } => {
            let (start, end) = part(offset, length);
            (start, start, chars[start..end].to_vec())
        }
    };
    chars[..start]
        .iter()
        .chain(&inserted)
        .chain(&chars[end..])
        .collect()
}

/// Parses a text and returns whether it is accepted. Checks that problems are at lines of the file,
/// or that the accepted values follow the rules.
fn parse_and_check(text: &str, daemon: DaemonKind) -> bool {
    let lines = text.matches('\n').count() + 1;
    match parse_text(text, daemon) {
        Ok(config) => {
            assert!(!config.instance.is_empty(), "{text}");
            assert!(
                config.link_key.len() >= 16 && config.operator_key.len() >= 16,
                "{text}"
            );
            let control = daemon == DaemonKind::Control;
            assert!(
                !control || config.link.is_some() && config.data_dir.is_some(),
                "{text}"
            );
            true
        }
        Err(problems) => {
            assert!(!problems.is_empty(), "{text}");
            assert!(
                problems.iter().all(|p| (1..=lines).contains(&p.line)),
                "{text}: {problems:?}"
            );
            false
        }
    }
}

#[test]
fn parser_does_not_panic_on_arbitrary_or_edited_text() {
    let options = Options::default().with_max_len(usize::MAX);
    let mut driver = Rng::new(SmallRng::seed_from_u64(SEED), &options);
    let (texts, changes) = (
        produce::<String>(),
        produce::<Vec<Change>>().with().len(1..3_usize),
    );
    let valid = file(&[]);
    let mut accepted = 0;
    for _ in 0..CASES {
        parse_and_check(
            &texts.generate(&mut driver).expect("never ends"),
            DaemonKind::Router,
        );
        let sequence = changes.generate(&mut driver).expect("never ends");
        let text = sequence
            .iter()
            .fold(valid.clone(), |text, each| apply_change(&text, each));
        accepted += usize::from(parse_and_check(&text, DaemonKind::Control));
    }
    // Both outcomes must occur, or the test would prove nothing.
    assert!(0 < accepted && accepted < CASES, "{accepted} accepted");
}
