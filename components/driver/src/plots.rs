//! Plots as SVG.

use std::path::Path;

use errors::{Error, Result};
use libs::plotters::prelude::*;

use crate::report::Row;

/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (1_100, 420);
/// Shortest waiting time shown, in seconds.
const MIN_WAIT_S: f64 = 0.01;

/// Draws the waiting time of urgent work and the nearness to share by workload.
pub fn write(folder: &Path, rows: &[Row]) -> Result<()> {
    let policies = ["carobsill", "fifo first-fit", "fifo best-fit"];
    draw(
        &folder.join("urgent.svg"),
        "Urgent work: 99th percentile of waiting time (s, logarithmic)",
        rows,
        &policies,
        |row| row.p99_s("urgent").max(MIN_WAIT_S).log10() + 2.0,
        7.0,
    )?;
    draw(
        &folder.join("share.svg"),
        "Worst shortfall of a small team from its share (% of the cell)",
        rows,
        &policies,
        |row| 100.0 * row.measured.share_worst_small,
        40.0,
    )
}

fn draw(
    path: &Path,
    title: &str,
    rows: &[Row],
    policies: &[&str],
    value: impl Fn(&Row) -> f64,
    most: f64,
) -> Result<()> {
    let failed = |error: &dyn std::fmt::Display| Error::Config(format!("plot: {error}"));
    let mut workloads: Vec<&str> = rows.iter().map(|row| row.workload).collect();
    workloads.dedup();
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(|error| failed(&error))?;
    let width = policies.len() as f64 + 1.0;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..workloads.len() as f64 * width, 0.0..most)
        .map_err(|error| failed(&error))?;
    chart.configure_mesh().disable_x_mesh().x_labels(0).draw().map_err(|error| failed(&error))?;
    for (number, policy) in policies.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let bars = rows.iter().filter(|row| row.policy == *policy).filter_map(|row| {
            let place = workloads.iter().position(|workload| *workload == row.workload)?;
            let left = place as f64 * width + number as f64;
            let height = value(row);
            let height = if height.is_nan() { 0.0 } else { height };
            Some(Rectangle::new([(left, 0.0), (left + 0.9, height)], color.filled()))
        });
        chart
            .draw_series(bars)
            .map_err(|error| failed(&error))?
            .label(*policy)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], color.filled()));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .draw()
        .map_err(|error| failed(&error))?;
    for (place, workload) in workloads.iter().enumerate() {
        let x = 55 + (place as f64 * 1_030.0 / workloads.len() as f64) as i32;
        let text = Text::new(
            (*workload).to_owned(),
            (x, SIZE.1 as i32 - 25 + 10 * (place as i32 % 2)),
            ("sans-serif", 10),
        );
        root.draw(&text).map_err(|error| failed(&error))?;
    }
    root.present().map_err(|error| failed(&error))
}
