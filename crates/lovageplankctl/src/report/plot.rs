//! Burn rates over time as an SVG plot.

use eyre::{Result, eyre};
use lovageplank_core::slo::{FAST_BURN, Report, ReportLine, SLOW_BURN};
use plotters::prelude::*;

/// Width and height of the plot.
const SIZE_PX: (u32, u32) = (960, 480);

/// Milliseconds per minute, the unit of the time axis.
const MINUTE_MS: f64 = 60_000.0;

/// Height of the burn-rate axis as a multiple of the highest value.
const HEADROOM_FACTOR: f64 = 1.1;

/// Plots the burn rate of each service and objective and the alert thresholds as an SVG document.
///
/// Fails if the plotting library does.
pub fn svg(report: &Report) -> Result<String> {
    let mut out = String::new();
    draw(report, &mut out).map_err(|error| eyre!("plot: {error}"))?;
    out.push('\n');
    Ok(out)
}

type DrawResult = std::result::Result<(), Box<dyn std::error::Error>>;

fn draw(report: &Report, out: &mut String) -> DrawResult {
    let root = SVGBackend::with_string(out, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let window_minutes = minutes(report.window_ms);
    let caption = format!(
        "SLO burn rates; idle accelerator hours {:.3}; requests not counted {}",
        report.idle_accelerator_hours, report.dropped
    );
    let mut chart = ChartBuilder::on(&root)
        .caption(caption, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(-window_minutes..0.0, 0.0..max_burn(report))?;
    chart
        .configure_mesh()
        .x_desc("minutes before the report")
        .y_desc("burn rate (at 1 the budget is spent as fast as it is granted)")
        .draw()?;
    for alert in [FAST_BURN, SLOW_BURN] {
        let endpoints = [(-window_minutes, alert.threshold), (0.0, alert.threshold)];
        chart.draw_series(LineSeries::new(endpoints, BLACK.mix(0.4)))?;
    }
    for (n, line) in report.lines.iter().enumerate() {
        let color = Palette99::pick(n).to_rgba();
        let points: Vec<(f64, f64)> = points(line).collect();
        let name = format!("{} {}", line.service, line.objective.name());
        chart
            .draw_series(LineSeries::new(
                points.iter().copied(),
                color.stroke_width(2),
            ))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], color.stroke_width(2)));
        // A line needs two points; circles show a single one as well.
        chart.draw_series(points.iter().map(|at| Circle::new(*at, 2, color.filled())))?;
    }
    if !report.lines.is_empty() {
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::UpperLeft)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.4))
            .draw()?;
    }
    root.present()?;
    Ok(())
}

fn points(line: &ReportLine) -> impl Iterator<Item = (f64, f64)> {
    line.points.iter().map(|p| (-minutes(p.age_ms), p.burn))
}

/// The upper end of the burn-rate axis, which always includes the fast-burn threshold.
fn max_burn(report: &Report) -> f64 {
    let points = report.lines.iter().flat_map(|line| &line.points);
    points.map(|p| p.burn).fold(FAST_BURN.threshold, f64::max) * HEADROOM_FACTOR
}

#[allow(clippy::cast_precision_loss)] // Windows are far shorter than 2^52 ms.
fn minutes(ms: u64) -> f64 {
    ms as f64 / MINUTE_MS
}
