//! Writes the result tables as CSV files.

use std::fs;
use std::path::Path;

use errors::{Error, Result};

use crate::index_speed::SearchTimes;
use crate::measure::RunMetrics;

/// Result of one policy on one workload.
#[derive(Debug, Clone)]
pub struct Row {
    /// Name of the workload.
    pub workload: &'static str,
    /// Name of the scheduling policy.
    pub policy: &'static str,
    /// Metrics of the run.
    pub metrics: RunMetrics,
}

impl Row {
    /// Waiting time of a class: 0 for the median, 1 for the 95th and 2 for the 99th percentile.
    fn wait_s(&self, class: &str, quantile: usize) -> f64 {
        self.metrics.waits_s.get(class).map_or(f64::NAN, |waits| waits[quantile])
    }

    /// 99th percentile of the waiting time of a class.
    pub fn p99_s(&self, class: &str) -> f64 {
        self.wait_s(class, 2)
    }

    /// Line for the terminal.
    pub fn summary_line(&self) -> String {
        let metrics = &self.metrics;
        format!(
            "{:26} {:21} urgent p50/p99 {:.2}/{:.2} s, batch {:.0}/{:.0} s, gang p99 {:.0} s, packing {:.1}%, \
             share mean/worst/small {:.1}/{:.1}/{:.1}%, wasted {:.2} core-h, {:.0} decisions/s, p99 {:.0} us",
            self.workload,
            self.policy,
            self.wait_s("urgent", 0),
            self.wait_s("urgent", 2),
            self.wait_s("batch", 0),
            self.wait_s("batch", 2),
            self.wait_s("gang", 2),
            100.0 * metrics.packing,
            100.0 * metrics.share_mean,
            100.0 * metrics.share_worst,
            100.0 * metrics.share_worst_small,
            metrics.wasted_core_h,
            metrics.decisions_per_s,
            metrics.decision_p99_us,
        )
    }

    fn csv(&self) -> String {
        let metrics = &self.metrics;
        let mut fields = vec![self.workload.to_owned(), self.policy.to_owned()];
        for class in ["urgent", "batch", "gang", "service"] {
            fields.extend((0..3).map(|index| format!("{:.3}", self.wait_s(class, index))));
        }
        let rest = [
            metrics.packing,
            metrics.share_mean,
            metrics.share_worst,
            metrics.share_worst_small,
            metrics.wasted_core_h,
            metrics.decisions_per_s,
            metrics.decision_p99_us,
        ];
        fields.extend(rest.map(|value| format!("{value:.4}")));
        fields.join(",")
    }
}

/// Header line of `decisions.csv`.
const DECISIONS_HEADER: &str = "workload,policy,urgent_p50_s,urgent_p95_s,urgent_p99_s,batch_p50_s,batch_p95_s,batch_p99_s,\
gang_p50_s,gang_p95_s,gang_p99_s,service_p50_s,service_p95_s,service_p99_s,packing,share_mean,share_worst,\
share_worst_small,wasted_core_h,decisions_per_s,decision_p99_us";

/// Writes `decisions.csv`, and `index.csv` if search times were measured.
pub fn write(dir: &Path, rows: &[Row], search_times: &[SearchTimes]) -> Result<()> {
    fs::create_dir_all(dir).map_err(|error| Error::Io(dir.display().to_string(), error))?;
    let lines = std::iter::once(DECISIONS_HEADER.to_owned()).chain(rows.iter().map(Row::csv));
    write_lines(&dir.join("decisions.csv"), lines)?;
    if search_times.is_empty() {
        return Ok(());
    }
    for times in search_times {
        println!(
            "one index of {} workers: search and grant p50 {:.1} us, p99 {:.1} us, {:.0}/s",
            times.workers, times.p50_us, times.p99_us, times.per_s
        );
    }
    let header = "workers,p50_us,p99_us,per_s".to_owned();
    let lines = search_times.iter().map(|times| {
        format!("{},{:.2},{:.2},{:.0}", times.workers, times.p50_us, times.p99_us, times.per_s)
    });
    write_lines(&dir.join("index.csv"), std::iter::once(header).chain(lines))
}

fn write_lines(path: &Path, lines: impl Iterator<Item = String>) -> Result<()> {
    let text: String = lines.map(|line| line + "\n").collect();
    fs::write(path, text).map_err(|error| Error::Io(path.display().to_string(), error))
}
