//! Fast capacity to keep free for urgent work.

use std::collections::VecDeque;

use types::Millis;

/// Length of a window. Fast capacity that is missing becomes free within about that time, by the end
/// of short runs or by preemption.
const WINDOW_MS: u64 = 500;
/// Number of windows, so that ten seconds count.
const WINDOWS: usize = 20;
/// Number of windows in which more may start than the reserve covers: a tenth.
const EXCEPTIONS: usize = WINDOWS / 10;
/// Part of the fast capacity that may be kept free at most, in percent.
const MAX_RESERVE_PERCENT: u64 = 50;

/// Starts of urgent work, from which the reserve derives.
#[derive(Debug, Clone, Default)]
pub struct Reserve {
    /// Processor capacity started in each window in millicores, the current one last.
    started_cpu_milli: VecDeque<u64>,
    /// Number of the current window since time 0.
    window: u64,
}

impl Reserve {
    /// Counts a start of urgent work.
    pub fn record_start(&mut self, cpu_milli: u64, now: Millis) {
        self.advance(now);
        if let Some(current) = self.started_cpu_milli.back_mut() {
            *current += cpu_milli;
        }
    }

    /// Fast capacity to keep free, in millicores: what started at once lately, but for the largest
    /// tenth, and at most half of the fast capacity.
    pub fn cpu_milli(&mut self, fast_cpu_milli: u64, now: Millis) -> u64 {
        self.advance(now);
        let mut sorted: Vec<u64> = self.started_cpu_milli.iter().copied().collect();
        sorted.sort_unstable_by_key(|started| std::cmp::Reverse(*started));
        let covered = sorted.get(EXCEPTIONS).copied().unwrap_or(0);
        covered.min(fast_cpu_milli * MAX_RESERVE_PERCENT / 100)
    }

    fn advance(&mut self, now: Millis) {
        let window = now.0 / WINDOW_MS;
        let passed = window.saturating_sub(self.window);
        if self.started_cpu_milli.is_empty() || passed >= WINDOWS as u64 {
            self.started_cpu_milli = VecDeque::from(vec![0; WINDOWS]);
        } else {
            for _ in 0..passed {
                self.started_cpu_milli.pop_front();
                self.started_cpu_milli.push_back(0);
            }
        }
        self.window = self.window.max(window);
    }
}
