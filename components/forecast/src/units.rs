//! Newtypes for amounts of work, rates and short names.

use std::fmt;
use std::iter::Sum;
use std::ops::{Add, Sub};
use std::str::FromStr;

use errors::Error;
use serde::{Deserialize, Serialize};
use types::{Millis, stable_hash};

macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $kind:literal, $suffix:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}{}", self.0, $suffix)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                let digits = text.strip_suffix($suffix).unwrap_or(text);
                digits.parse().map(Self).map_err(|_| Error::Parse($kind, text.to_owned()))
            }
        }
    };
}

number!(
    /// Work: cores times milliseconds. Sums saturate, since callers declare any amount.
    CoreMillis, "number of core-milliseconds", "core-ms"
);
number!(
    /// Processor capacity, or a rate of work, in thousandths of a core.
    CpuMilli, "number of millicores", "m"
);
number!(
    /// Number of a forecast within a leader's term; a later one has a higher number.
    ForecastVersion, "forecast version", ""
);
number!(
    /// Short stand-in for the name of a queue or team in messages.
    NameHash, "hash of a name", ""
);

impl CoreMillis {
    /// Work of a number of tasks that each use `cpu` for `run_ms`.
    pub fn of_tasks(tasks: u64, cpu: CpuMilli, run_ms: Millis) -> Self {
        let milli = u128::from(tasks) * u128::from(cpu.0) * u128::from(run_ms.0);
        Self(u64::try_from(milli / 1_000).unwrap_or(u64::MAX))
    }

    /// Time in which the work is done at a rate, at most `limit_ms`.
    pub fn time_at(self, rate: CpuMilli, limit_ms: Millis) -> Millis {
        if self.0 == 0 {
            return Millis(0);
        }
        let ms = u128::from(self.0) * 1_000 / u128::from(rate.0.max(1));
        Millis(u64::try_from(ms).unwrap_or(u64::MAX)).min(limit_ms)
    }

    /// The rate at which the work was done in a time.
    pub fn rate_over(self, time_ms: Millis) -> CpuMilli {
        let rate = u128::from(self.0) * 1_000 / u128::from(time_ms.0.max(1));
        CpuMilli(u64::try_from(rate).unwrap_or(u64::MAX))
    }

    /// The work multiplied by `count`.
    pub fn times(self, count: u64) -> Self {
        Self(self.0.saturating_mul(count))
    }

    /// Half of the work.
    pub fn half(self) -> Self {
        Self(self.0 / 2)
    }
}

impl Add for CoreMillis {
    type Output = CoreMillis;

    fn add(self, other: CoreMillis) -> CoreMillis {
        CoreMillis(self.0.saturating_add(other.0))
    }
}

impl Sub for CoreMillis {
    type Output = CoreMillis;

    fn sub(self, other: CoreMillis) -> CoreMillis {
        CoreMillis(self.0.saturating_sub(other.0))
    }
}

impl Sum for CoreMillis {
    fn sum<I: Iterator<Item = CoreMillis>>(items: I) -> CoreMillis {
        items.fold(CoreMillis(0), Add::add)
    }
}

impl CpuMilli {
    /// A percentage of it.
    pub fn percent(self, percent: u64) -> Self {
        Self(self.0.saturating_mul(percent) / 100)
    }

    /// The difference, zero if `other` is larger.
    pub fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl NameHash {
    /// Hash of a name, the same in all processes.
    pub fn of(name: &str) -> Self {
        Self(stable_hash(&[name.as_bytes()]))
    }
}
