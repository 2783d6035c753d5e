//! Durations and resource amounts.

use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;

use errors::Error;
use serde::{Deserialize, Serialize};

/// Milliseconds, either a duration or an instant on a clock given by the context.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The time elapsed from `earlier` to `self`, or zero if `earlier` is later.
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }

    /// Half of a duration.
    pub fn half(self) -> Millis {
        Millis(self.0 / 2)
    }

    /// Converts to a standard duration.
    pub fn to_duration(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }
}

impl Add for Millis {
    type Output = Millis;

    fn add(self, other: Millis) -> Millis {
        Millis(self.0.saturating_add(other.0))
    }
}

impl Sub for Millis {
    type Output = Millis;

    fn sub(self, other: Millis) -> Millis {
        Millis(self.0.saturating_sub(other.0))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl FromStr for Millis {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let digits = text.strip_suffix("ms").unwrap_or(text);
        digits
            .parse()
            .map(Millis)
            .map_err(|_| Error::Parse("number of milliseconds", text.to_owned()))
    }
}

/// Amounts of a worker's resources.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// CPU time in thousandths of a core.
    #[serde(default)]
    pub cpu_milli: u64,
    /// Memory in mebibytes.
    #[serde(default)]
    pub mem_mb: u64,
    /// Number of accelerators; they are not divisible.
    #[serde(default)]
    pub accels: u64,
}

impl Resources {
    /// No resources.
    pub const ZERO: Resources = Resources { cpu_milli: 0, mem_mb: 0, accels: 0 };

    /// Whether `need` fits into `self` for every resource.
    pub fn covers(&self, need: &Resources) -> bool {
        self.cpu_milli >= need.cpu_milli && self.mem_mb >= need.mem_mb && self.accels >= need.accels
    }

    /// The sum of two amounts, saturating like all operations: callers declare any amount.
    pub fn plus(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            mem_mb: self.mem_mb.saturating_add(other.mem_mb),
            accels: self.accels.saturating_add(other.accels),
        }
    }

    /// The difference, saturating at zero for each resource.
    pub fn minus(&self, other: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            mem_mb: self.mem_mb.saturating_sub(other.mem_mb),
            accels: self.accels.saturating_sub(other.accels),
        }
    }

    /// The amount multiplied by `count`.
    pub fn times(&self, count: u64) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_mul(count),
            mem_mb: self.mem_mb.saturating_mul(count),
            accels: self.accels.saturating_mul(count),
        }
    }

    /// The largest fraction of `total` that `self` takes of any resource: the dominant share, which
    /// is 0.0 to 1.0 if `self` fits into `total`.
    pub fn dominant_share(&self, total: &Resources) -> f64 {
        let fraction = |used: u64, all: u64| if all == 0 { 0.0 } else { used as f64 / all as f64 };
        fraction(self.cpu_milli, total.cpu_milli)
            .max(fraction(self.mem_mb, total.mem_mb))
            .max(fraction(self.accels, total.accels))
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}m cpu, {} MB", self.cpu_milli, self.mem_mb)?;
        if self.accels > 0 {
            write!(f, ", {} accels", self.accels)?;
        }
        Ok(())
    }
}
