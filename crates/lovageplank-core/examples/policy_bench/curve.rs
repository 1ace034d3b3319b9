//! Plots the 99th percentile of cold starts against idle time over the ratio of the cost weights.

use crate::deployment::Deployment;
use crate::{measure, planner};
use plotters::prelude::*;
use std::ops::RangeInclusive;

/// Ratios of the cost of a second of waiting to the cost of an idle accelerator second.
const RATIOS: [f64; 8] = [0.1, 0.3, 1.0, 3.0, 10.0, 30.0, 100.0, 300.0];

/// Measures the planner at each ratio and writes the curves.
pub fn write<'a>(
    path: &str,
    deployments: impl Iterator<Item = &'a Deployment>,
    seeds: &RangeInclusive<u64>,
) {
    let mut curves = Vec::new();
    for deployment in deployments {
        println!("{} trade-off", deployment.name);
        let points = RATIOS.map(|ratio| {
            let outcome = measure(deployment, seeds, &planner(Some((ratio, 1.0))));
            let point = (outcome.idle_hours(), seconds(outcome.quantile(0.99)));
            println!(
                "ratio {ratio:>6} idle {:>8.2} h/d p99 {:>8.2} s refused {}",
                point.0, point.1, outcome.refused
            );
            point
        });
        curves.push((deployment.name, points.to_vec()));
    }
    draw(path, &curves).expect("the curve can be written");
}

fn draw(path: &str, curves: &[(&str, Vec<(f64, f64)>)]) -> Result<(), Box<dyn std::error::Error>> {
    let points = || curves.iter().flat_map(|(_, points)| points);
    let idle_max = points().map(|p| p.0).fold(1.0, f64::max) * 1.05;
    let cold_max = points().map(|p| p.1).fold(1.0, f64::max) * 1.05;
    let area = SVGBackend::new(path, (900, 560)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(16)
        .caption(
            "Cold start against idle time, by weight ratio",
            ("sans-serif", 20),
        )
        .x_label_area_size(44)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..idle_max, 0.0..cold_max)?;
    chart
        .configure_mesh()
        .x_desc("idle accelerator hours per day")
        .y_desc("cold start p99, seconds")
        .draw()?;
    for (index, (name, points)) in curves.iter().enumerate() {
        let color = [BLUE, RED][index % 2];
        chart
            .draw_series(LineSeries::new(points.clone(), color))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], color));
        chart.draw_series(points.iter().zip(RATIOS).map(|(point, ratio)| {
            EmptyElement::at(*point)
                + Circle::new((0, 0), 3, color.filled())
                + Text::new(format!("{ratio}"), (6, -12), ("sans-serif", 12))
        }))?;
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}

#[expect(clippy::cast_precision_loss, reason = "spans are far below 2^53 ms")]
fn seconds(ms: u64) -> f64 {
    ms as f64 / 1_000.0
}
