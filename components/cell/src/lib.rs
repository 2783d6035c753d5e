//! Decisions of a cell: jobs of steps on workers under one leader, without I/O.
//!
//! The owner of a [`Cell`] feeds it what happened and carries out the [`Action`]s it returns.
//! Times are milliseconds of one process clock unless a name says otherwise.

mod action;
mod advice;
mod batch;
mod budget;
mod cell;
mod drain;
mod ends;
mod fit;
mod health;
mod job;
mod listing;
mod looks;
mod model;
mod order;
mod preempt;
mod queries;
mod roster;
mod runs;
mod schedule;
mod watch;
mod worker;

pub use action::{Action, LookOrder, PaceOrder, Refusal, StartAnswer, StartOrder, StopOrder};
pub use batch::{Batch, StoredEnd};
pub use budget::RepeatBudget;
pub use cell::{Cell, CellSettings};
pub use looks::{ActiveRun, EndedRun, Ending, Look};
pub use model::{
    AdvicePolicy, Final, JobRecord, JobSpec, JobStatus, Policy, Progress, QueuePolicy, StepKey,
    StepProgress, StepSpec, TaskKey, TeamPolicy, Timetable,
};
pub use roster::RosterRow;
pub use worker::WorkerReport;
