//! Bar charts of the results as SVG files.

use std::path::Path;

use errors::{Error, Result};
use libs::plotters::prelude::*;

use crate::report::Row;

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (1_100, 420);
/// Shortest waiting time shown; the logarithmic scale cannot show 0.
const MIN_WAIT_S: f64 = 0.01;

/// Writes one plot of the waiting time of urgent jobs and one of teams' shortfall from their share.
pub fn write(dir: &Path, rows: &[Row]) -> Result<()> {
    let policies = ["carobsill", "fifo first-fit", "fifo best-fit"];
    draw(
        &dir.join("urgent.svg"),
        "Urgent work: 99th percentile of waiting time (s, logarithmic)",
        rows,
        &policies,
        |row| row.p99_s("urgent").max(MIN_WAIT_S).log10() + 2.0,
        7.0,
    )?;
    draw(
        &dir.join("share.svg"),
        "Worst shortfall of a small team from its share (% of the cell)",
        rows,
        &policies,
        |row| 100.0 * row.metrics.share_worst_small,
        40.0,
    )
}

fn draw(
    path: &Path,
    title: &str,
    rows: &[Row],
    policies: &[&str],
    value: impl Fn(&Row) -> f64,
    y_max: f64,
) -> Result<()> {
    let plot_error = |error: &dyn std::fmt::Display| Error::Config(format!("plot: {error}"));
    let mut workloads: Vec<&str> = rows.iter().map(|row| row.workload).collect();
    workloads.dedup();
    let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(|error| plot_error(&error))?;
    let group_width = policies.len() as f64 + 1.0;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..workloads.len() as f64 * group_width, 0.0..y_max)
        .map_err(|error| plot_error(&error))?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(0)
        .draw()
        .map_err(|error| plot_error(&error))?;
    for (policy_index, policy) in policies.iter().enumerate() {
        let color = Palette99::pick(policy_index).to_rgba();
        let bars = rows.iter().filter(|row| row.policy == *policy).filter_map(|row| {
            let workload_index = workloads.iter().position(|workload| *workload == row.workload)?;
            let left = workload_index as f64 * group_width + policy_index as f64;
            let height = value(row);
            let height = if height.is_nan() { 0.0 } else { height };
            Some(Rectangle::new([(left, 0.0), (left + 0.9, height)], color.filled()))
        });
        chart
            .draw_series(bars)
            .map_err(|error| plot_error(&error))?
            .label(*policy)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], color.filled()));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .draw()
        .map_err(|error| plot_error(&error))?;
    for (index, workload) in workloads.iter().enumerate() {
        let x = 55 + (index as f64 * 1_030.0 / workloads.len() as f64) as i32;
        let text = Text::new(
            (*workload).to_owned(),
            (x, PLOT_SIZE.1 as i32 - 25 + 10 * (index as i32 % 2)),
            ("sans-serif", 10),
        );
        root.draw(&text).map_err(|error| plot_error(&error))?;
    }
    root.present().map_err(|error| plot_error(&error))
}
