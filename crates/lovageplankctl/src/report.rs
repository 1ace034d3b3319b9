//! The burn-rate report as text, JSON or SVG.

mod plot;

use eyre::{Result, bail};
use lovageplank_core::slo::{Kind, Report, ReportLine, Window};
use serde_json::Value;
use std::fmt::Write;
use std::str::FromStr;

/// Output format of the report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Tables.
    #[default]
    Text,
    /// The leader's answer, unchanged.
    Json,
    /// A plot of burn rates over time.
    Svg,
}

impl FromStr for Format {
    type Err = eyre::Report;

    fn from_str(text: &str) -> Result<Format> {
        match text {
            "text" => Ok(Format::Text),
            "json" => Ok(Format::Json),
            "svg" => Ok(Format::Svg),
            other => bail!("unknown format {other:?}; use text, json or svg"),
        }
    }
}

/// Renders the report, ending with a newline.
///
/// Fails if `answer` isn't a report or can't be plotted.
pub fn render(format: Format, answer: &Value) -> Result<String> {
    if format == Format::Json {
        return Ok(format!("{answer}\n"));
    }
    let report: Report = serde_json::from_value(answer.clone())?;
    match format {
        Format::Text | Format::Json => Ok(text(&report)),
        Format::Svg => plot::svg(&report),
    }
}

fn text(report: &Report) -> String {
    let mut out = format!(
        "window {}, counts go back {}, requests not counted {}, idle accelerator hours {:.3}\n",
        duration(report.window_ms),
        duration(report.known_ms),
        report.dropped,
        report.idle_accelerator_hours,
    );
    if report.lines.is_empty() {
        out.push_str("\nno request was counted\n");
        return out;
    }
    out.push_str("\nburn rates (bad/total):\n");
    out.push_str(&table(&rate_rows(report)));
    let source_rows = source_rows(report);
    if source_rows.len() > 1 {
        out.push_str("\nwhat burned the budget:\n");
        out.push_str(&table(&source_rows));
    }
    out
}

/// A header and one row per service and objective.
fn rate_rows(report: &Report) -> Vec<Vec<String>> {
    let mut rows = vec![header(report)];
    for line in &report.lines {
        let mut row = vec![line.service.to_string(), objective(line)];
        row.extend(line.windows.iter().map(window));
        row.push(format!("{:.0}%", line.budget_left * 100.0));
        row.push(
            line.percentile_ms
                .map_or("-".into(), |ms| format!("<={ms}ms")),
        );
        row.push(line.alerts.join(","));
        rows.push(row);
    }
    rows
}

fn header(report: &Report) -> Vec<String> {
    let mut header = vec!["service".to_owned(), "objective".to_owned()];
    let windows = report.lines.first().into_iter().flat_map(|l| &l.windows);
    header.extend(windows.map(|w| duration(w.window_ms)));
    header.extend(["budget left", "percentile", "alerts"].map(str::to_owned));
    header
}

/// The objective's name and target, such as `answered 99%`.
fn objective(line: &ReportLine) -> String {
    let name = line.objective.name();
    let (budget_percent, target_percent) = (percent(line.budget), percent(1.0 - line.budget));
    match (line.objective, line.limit_ms) {
        (_, Some(ms)) => format!("{name} {target_percent}%<={ms}ms"),
        (Kind::Refused, None) => format!("{name} <={budget_percent}%"),
        (_, None) => format!("{name} {target_percent}%"),
    }
}

/// A share as a percentage, rounded to four decimals.
fn percent(share: f64) -> f64 {
    (share * 1e6).round() / 1e4
}

/// A burn rate with the bad and total events of its window.
fn window(window: &Window) -> String {
    format!("{:.1} ({}/{})", window.burn, window.bad, window.total)
}

/// A header and one row per source of bad events.
fn source_rows(report: &Report) -> Vec<Vec<String>> {
    let header = ["service", "objective", "model", "cause", "bad", "share"];
    let mut rows = vec![header.map(str::to_owned).to_vec()];
    for line in &report.lines {
        for source in &line.burners {
            let model = if source.model.is_empty() {
                "-"
            } else {
                &source.model
            };
            rows.push(vec![
                line.service.to_string(),
                line.objective.name().to_owned(),
                model.to_owned(),
                source.cause.to_string(),
                source.bad.to_string(),
                format!("{:.0}%", source.share * 100.0),
            ]);
        }
    }
    rows
}

/// Lays out rows so that each column is as wide as its widest cell.
fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let cells = |i: usize| rows.iter().filter_map(move |row| row.get(i));
    let width = |i: usize| cells(i).map(|c| c.chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut out = String::new();
    for row in rows {
        let mut text = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            // Writing to a string can't fail.
            let _ = write!(text, "{cell:width$}  ");
        }
        out.push_str(text.trim_end());
        out.push('\n');
    }
    out
}

/// Formats a duration in the largest unit that gives a whole number.
fn duration(ms: u64) -> String {
    let units = [(3_600_000, "h"), (60_000, "min"), (1_000, "s")];
    let largest_unit = units
        .iter()
        .find(|(unit, _)| ms >= *unit && ms.is_multiple_of(*unit));
    match largest_unit {
        Some((unit, name)) => format!("{} {name}", ms / unit),
        None => format!("{ms} ms"),
    }
}
