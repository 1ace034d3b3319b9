//! docs/OPERATIONS.md must list every setting with its default and range.

use lovageplank_core::settings::{Effective, RANGES};
use serde_json::Value;

const GUIDE: &str = include_str!("../../../../docs/OPERATIONS.md");

#[test]
fn guide_lists_every_setting_with_default_and_range() {
    let defaults = Effective::default();
    for (name, low, high) in RANGES {
        let row_prefix = format!("| `{name}` |");
        let row = GUIDE.lines().find(|line| line.starts_with(&row_prefix));
        let row = row.unwrap_or_else(|| panic!("no row for the setting {name}"));
        let cells: Vec<&str> = row.split('|').map(str::trim).collect();
        let default = defaults.get(name).unwrap();
        assert_eq!(cells[4], text(&default), "default of {name}");
        let range = match default {
            Value::Bool(_) => "true, false".to_owned(),
            Value::Array(_) => "names".to_owned(),
            _ => format!("{low} to {high}"),
        };
        assert_eq!(cells[5], range, "range of {name}");
    }
    let rows = GUIDE.lines().filter(|line| line.starts_with("| `")).count();
    let programs = [
        "lovageplank-control",
        "lovageplank-router",
        "lovageplankctl",
    ];
    assert_eq!(
        rows,
        RANGES.len() + programs.len(),
        "rows that list neither a setting nor a program"
    );
}

/// Formats a value, with whole numbers as integers.
fn text(value: &Value) -> String {
    match value.as_f64() {
        Some(number) => number.to_string(),
        None => value.to_string(),
    }
}
