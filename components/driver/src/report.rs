//! Writes the table of all runs.

use std::fs;
use std::path::Path;

use errors::{Error, Result};

use crate::index_speed::Speed;
use crate::measure::Measured;

/// One run.
#[derive(Debug, Clone)]
pub struct Row {
    /// Workload.
    pub workload: &'static str,
    /// Policy.
    pub policy: &'static str,
    /// What was measured.
    pub measured: Measured,
}

impl Row {
    fn wait(&self, class: &str, index: usize) -> f64 {
        self.measured.waits_s.get(class).map_or(f64::NAN, |waits| waits[index])
    }

    /// The 99th percentile of the waiting time of a class, in seconds.
    pub fn p99_s(&self, class: &str) -> f64 {
        self.wait(class, 2)
    }

    /// One line for people.
    pub fn line(&self) -> String {
        let measured = &self.measured;
        format!(
            "{:26} {:21} urgent p50/p99 {:.2}/{:.2} s, batch {:.0}/{:.0} s, gang p99 {:.0} s, packing {:.1}%, \
             share mean/worst/small {:.1}/{:.1}/{:.1}%, wasted {:.2} core-h, {:.0} decisions/s, p99 {:.0} us",
            self.workload,
            self.policy,
            self.wait("urgent", 0),
            self.wait("urgent", 2),
            self.wait("batch", 0),
            self.wait("batch", 2),
            self.wait("gang", 2),
            100.0 * measured.packing,
            100.0 * measured.share_mean,
            100.0 * measured.share_worst,
            100.0 * measured.share_worst_small,
            measured.wasted_core_h,
            measured.decisions_per_s,
            measured.decision_p99_us,
        )
    }

    fn csv(&self) -> String {
        let measured = &self.measured;
        let mut fields = vec![self.workload.to_owned(), self.policy.to_owned()];
        for class in ["urgent", "batch", "gang", "service"] {
            fields.extend((0..3).map(|index| format!("{:.3}", self.wait(class, index))));
        }
        let rest = [
            measured.packing,
            measured.share_mean,
            measured.share_worst,
            measured.share_worst_small,
            measured.wasted_core_h,
            measured.decisions_per_s,
            measured.decision_p99_us,
        ];
        fields.extend(rest.map(|value| format!("{value:.4}")));
        fields.join(",")
    }
}

/// Title line of the table.
const TITLES: &str = "workload,policy,urgent_p50_s,urgent_p95_s,urgent_p99_s,batch_p50_s,batch_p95_s,batch_p99_s,\
gang_p50_s,gang_p95_s,gang_p99_s,service_p50_s,service_p95_s,service_p99_s,packing,share_mean,share_worst,\
share_worst_small,wasted_core_h,decisions_per_s,decision_p99_us";

/// Writes the tables into a folder.
pub fn write(folder: &Path, rows: &[Row], speeds: &[Speed]) -> Result<()> {
    fs::create_dir_all(folder).map_err(|error| Error::File(folder.display().to_string(), error))?;
    let lines = std::iter::once(TITLES.to_owned()).chain(rows.iter().map(Row::csv));
    write_lines(&folder.join("decisions.csv"), lines)?;
    if speeds.is_empty() {
        return Ok(());
    }
    for speed in speeds {
        println!(
            "one index of {} workers: search and grant p50 {:.1} us, p99 {:.1} us, {:.0}/s",
            speed.workers, speed.p50_us, speed.p99_us, speed.per_s
        );
    }
    let titles = "workers,p50_us,p99_us,per_s".to_owned();
    let lines = speeds
        .iter()
        .map(|one| format!("{},{:.2},{:.2},{:.0}", one.workers, one.p50_us, one.p99_us, one.per_s));
    write_lines(&folder.join("index.csv"), std::iter::once(titles).chain(lines))
}

fn write_lines(path: &Path, lines: impl Iterator<Item = String>) -> Result<()> {
    let text: String = lines.map(|line| line + "\n").collect();
    fs::write(path, text).map_err(|error| Error::File(path.display().to_string(), error))
}
