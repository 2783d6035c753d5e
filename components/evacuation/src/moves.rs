//! Which runs are stopped in an evacuated domain, to be resumed elsewhere.

use types::Millis;

/// A run with less than this to go continues. A stop takes up to 900 ms on the users' platform, a
/// restart some hundred, and both cost the work since the last checkpoint.
const MIN_LEFT_MS: Millis = Millis(3_000);
/// Tasks of a step without a limit of its own that may be unavailable at the same time.
const DEFAULT_MAX_UNAVAILABLE: u32 = 1;

/// A run in an evacuated domain that is not being stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DomainRun {
    /// Expected time until it ends. Without meaning for a long-running task.
    pub left_ms: Millis,
    /// Its task is available, see [`StepRuns::unavailable`].
    pub is_available: bool,
}

/// A step with runs in evacuated domains.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StepRuns {
    /// The tasks run until the job is cancelled.
    pub long_running: bool,
    /// The tasks save checkpoints.
    pub checkpoints: bool,
    /// The tasks run only together.
    pub gang: bool,
    /// Most tasks of the step that may be unavailable because they were stopped.
    pub max_unavailable: Option<u32>,
    /// Tasks that are not done.
    pub tasks: u32,
    /// Tasks of these that are not available, wherever they are: they do not run, or they are
    /// long-running and have not reached 100 percent.
    pub unavailable: u32,
    /// The runs in evacuated domains.
    pub runs: Vec<DomainRun>,
}

impl StepRuns {
    fn has_long_to_go(&self) -> bool {
        let last = self.runs.iter().map(|run| run.left_ms).max().unwrap_or_default();
        self.long_running || last > MIN_LEFT_MS
    }

    fn gang_may_move(&self) -> bool {
        self.checkpoints
            && !self.runs.is_empty()
            && self.unavailable == 0
            && self.max_unavailable.is_none_or(|most| most >= self.tasks)
            && self.has_long_to_go()
    }

    /// Most unavailable tasks beside one that is stopped.
    fn most_unavailable(&self) -> u32 {
        let own = self.max_unavailable;
        if self.long_running {
            own.unwrap_or(DEFAULT_MAX_UNAVAILABLE)
        } else {
            own.unwrap_or(u32::MAX)
        }
    }
}

/// Chooses the runs to stop, as indexes of [`StepRuns::runs`]. A gang moves as a whole: all indexes are
/// returned, and its members elsewhere are to be stopped with them.
///
/// `reserve` reserves places elsewhere for a number of tasks of the step. It returns `false`, and
/// reserves none, if there are not enough.
pub fn runs_to_move(step: &StepRuns, mut reserve: impl FnMut(u32) -> bool) -> Vec<usize> {
    if step.gang {
        let moves = step.gang_may_move() && reserve(step.tasks);
        return if moves { (0..step.runs.len()).collect() } else { Vec::new() };
    }
    if !step.long_running && !step.checkpoints {
        return Vec::new();
    }
    let mut order: Vec<(usize, &DomainRun)> = step.runs.iter().enumerate().collect();
    // To stop a task that is unavailable makes no further one unavailable.
    order.sort_by_key(|(_, run)| (run.is_available, std::cmp::Reverse(run.left_ms)));
    let mut unavailable = step.unavailable;
    let mut chosen = Vec::new();
    for (index, run) in order {
        let others = unavailable.saturating_sub(u32::from(!run.is_available));
        if others >= step.most_unavailable() {
            break;
        }
        if !step.long_running && run.left_ms <= MIN_LEFT_MS {
            continue;
        }
        if !reserve(1) {
            break;
        }
        unavailable += u32::from(run.is_available);
        chosen.push(index);
    }
    chosen
}
