//! Answers as human-readable text.

use lovageplank_wire::call::OperatorRequest;
use serde_json::Value;

const COLUMN_GAP_SPACES: usize = 2;

/// Renders an answer; lists of objects become tables.
pub fn render(call: &OperatorRequest, answer: &Value) -> String {
    match (call, answer) {
        (
            OperatorRequest::Settings {
                effective: false, ..
            },
            value,
        ) => {
            format!(
                "{}\n",
                serde_json::to_string_pretty(value).unwrap_or_default()
            )
        }
        (_, Value::Object(fields)) => {
            let mut out = String::new();
            for (name, value) in fields {
                out.push_str(&field(name, value));
            }
            out
        }
        (_, value) => table(value).unwrap_or_else(|| format!("{}\n", cell(value))),
    }
}

fn field(name: &str, value: &Value) -> String {
    match table(value) {
        Some(table) => format!("{name}:\n{table}"),
        None => format!("{name}: {}\n", cell(value)),
    }
}

/// A table of a list of objects, or `None` for other values; the keys of the first object are the
/// columns.
fn table(value: &Value) -> Option<String> {
    let rows = value.as_array()?;
    let columns: Vec<&String> = rows.first()?.as_object()?.keys().collect();
    let mut cells = vec![columns.iter().map(|c| (*c).clone()).collect::<Vec<_>>()];
    for row in rows {
        cells.push(columns.iter().map(|c| cell(&row[c.as_str()])).collect());
    }
    let width = |i: usize| {
        cells
            .iter()
            .map(|row| row[i].chars().count())
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    let mut out = String::new();
    for row in &cells {
        let padded = row.iter().zip(&widths).map(|(cell, width)| {
            format!(
                "{cell}{}",
                " ".repeat(width + COLUMN_GAP_SPACES - cell.chars().count())
            )
        });
        out.push_str(padded.collect::<String>().trim_end());
        out.push('\n');
    }
    Some(out)
}

fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        Value::Array(values) => values.iter().map(cell).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}
