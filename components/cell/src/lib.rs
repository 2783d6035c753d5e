//! Scheduling decisions of a cell: jobs made of steps that run on workers under one leader.
//!
//! This crate does no I/O. The owner of a [`Cell`] passes events to it and carries out the
//! [`Action`]s that it returns. Times are milliseconds of the process clock unless a name says
//! otherwise.

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
mod model;
mod order;
mod polling;
mod preempt;
mod queries;
mod roster;
mod runs;
mod schedule;
mod watch;
mod worker;

pub use action::{Action, PaceOrder, PollOrder, Refusal, StartAnswer, StartOrder, StopOrder};
pub use batch::{Batch, StoredEnd};
pub use budget::RepeatBudget;
pub use cell::{Cell, CellSettings};
pub use model::{
    AdvicePolicy, Final, JobRecord, JobSpec, JobStatus, Policy, Progress, QueuePolicy, StepKey,
    StepProgress, StepSpec, TaskKey, TeamPolicy, Timetable,
};
pub use polling::{ActiveRun, EndedRun, Ending, PollAnswer};
pub use roster::RosterRow;
pub use worker::WorkerReport;
