//! Scheduling decisions of a cell: jobs made of steps that run on workers under one leader.
//!
//! This crate does no I/O. The owner of a [`Cell`] passes events to it and carries out the
//! [`Action`]s that it returns. Times are milliseconds of the process clock unless a name says
//! otherwise.

mod accounts;
mod action;
mod advice;
mod advice_records;
mod aging;
mod announce;
mod ask;
mod batch;
mod budget;
mod callers;
mod capacity_counts;
mod cell;
mod drain;
mod ends;
mod evacuate;
mod explain;
mod fit;
mod health;
mod job;
mod learning;
mod losses;
mod memory;
mod model;
mod periodic;
mod permission;
mod place;
mod polling;
mod preempt;
mod queries;
mod ranking;
mod recovery;
mod room;
mod roster;
mod round;
mod runs;
mod schedule;
mod speeds;
mod tasks;
mod team_limit;
mod terms;
mod waiting;
mod waits;
mod worker;
mod worker_list;

pub use accounts::WorkerAccount;
pub use action::{Action, PaceOrder, PollOrder, Refusal, StartAnswer, StartOrder, StopOrder};
pub use advice_records::{AdviceRecords, MAX_ADVICE_BYTES};
pub use batch::{Batch, StoredEnd};
pub use budget::RetryBudget;
pub use cell::{Cell, CellSettings};
pub use evacuate::EvacuationCounts;
pub use evacuation::{EvacuationChange, EvacuationRequest};
pub use learning::{Evidence, ForecastOutcome};
pub use losses::LossCounts;
pub use model::{
    AdvicePolicy, FinalState, JobRecord, JobSpec, JobStatus, LossKind, LostRun, MAX_DEPENDENCIES,
    MAX_OCCURRENCES, MAX_STEPS, MAX_TASKS, Policy, Progress, QueuePolicy, Recurrence, StepKey,
    StepProgress, StepSpec, TaskKey, TaskLosses, TeamPolicy,
};
pub use permission::StartPermission;
pub use polling::{ActiveRun, EndedRun, Ending, PollAnswer};
pub use roster::RosterRow;
pub use round::RoundWork;
pub use run_times::{
    MAX_SUMMARY_BYTES as MAX_RUN_TIMES_BYTES, Source as ForecastSource, Summary as RunTimesSummary,
};
pub use runs::START_DEADLINE_MS;
pub use speeds::SpeedCounts;
pub use terms::TermStart;
pub use waiting::WaitingSteps;
pub use waits::{HoldingWorker, WaitCounts, WaitReason, WaitingTasks};
pub use worker::WorkerReport;
