//! Submits, cancels and looks up jobs.

use libs::rand::{self, Rng};
use types::{
    CallId, JobCommand, JobId, JobQuery, JobSpec, JobView, Message, Millis, NotRunReason, Outcome,
    PoolId, TeamId, rendezvous,
};

use crate::Shared;
use crate::calls::{PendingCall, Reply};

/// Longest time that a command waits until the pool's owner has committed it.
const COMMAND_TIMEOUT_MS: Millis = Millis(10_000);
/// Longest time that a query waits for replies.
const QUERY_TIMEOUT_MS: Millis = Millis(1_000);
/// Pause before the next attempt when the pool has no owner.
const NO_OWNER_PAUSE_MS: Millis = Millis(50);
/// Retry delay that is sent to callers when the pool has no owner.
const RETRY_AFTER_MS: Millis = Millis(1_000);

/// Chooses the pool for a new job: always the same for the same submission key, otherwise a random
/// pool that has an owner.
pub(crate) fn choose_pool(
    shared: &Shared,
    queue: &types::QueueId,
    key: Option<&str>,
) -> Option<PoolId> {
    let view = shared.view.get();
    let pools = view.rules.pools_for(queue);
    if let Some(key) = key {
        return rendezvous(key, pools.iter()).first().map(|pool| (*pool).clone());
    }
    let owned: Vec<PoolId> =
        pools.into_iter().filter(|pool| view.owners.contains_key(pool)).collect();
    if owned.is_empty() {
        return None;
    }
    Some(owned[rand::rng().random_range(0..owned.len())].clone())
}

/// Returns the pool that holds a job.
pub(crate) fn pool_of(job: &JobId) -> Option<PoolId> {
    job.as_str().split_once(':').and_then(|(pool, _)| pool.parse().ok())
}

/// Submits a job and waits for the outcome.
pub(crate) fn submit(shared: &Shared, spec: JobSpec) -> Outcome {
    let Some(pool) = pool_of(&spec.id) else { return no_owner() };
    run_command(shared, &pool, &JobCommand::Submit(spec))
}

/// Cancels a job on behalf of a team and waits for the outcome.
pub(crate) fn cancel(shared: &Shared, id: JobId, team: TeamId) -> Outcome {
    let known_pool = pool_of(&id).filter(|pool| shared.view.get().rules.pool(pool).is_some());
    match known_pool {
        Some(pool) => run_command(shared, &pool, &JobCommand::Cancel(id, team)),
        None => Outcome::not_run(NotRunReason::UnknownJob, Millis(0)),
    }
}

/// Sends a command to the pool's owner and waits for its outcome. Both commands may be repeated: a
/// new owner knows from the journal whether an earlier attempt took effect.
fn run_command(shared: &Shared, pool: &PoolId, command: &JobCommand) -> Outcome {
    let deadline_at = clock::now() + COMMAND_TIMEOUT_MS;
    let mut may_have_run = false;
    while clock::now() < deadline_at {
        let Some(owner) = shared.view.get().owners.get(pool).cloned() else {
            std::thread::sleep(NO_OWNER_PAUSE_MS.to_duration());
            continue;
        };
        let call = shared.calls.open(1);
        shared.mesh.send(owner.address, Message::JobCommand(call.id, command.clone()));
        let reply = call.wait_for_owner(shared, pool, &owner, deadline_at);
        match reply {
            Some(Reply::Outcome(Outcome::NotRun { reason: NotRunReason::NoOwner, .. })) => {
                std::thread::sleep(NO_OWNER_PAUSE_MS.to_duration());
            }
            // The command is repeated under the same id, so the one in progress is its own earlier
            // attempt.
            Some(Reply::Outcome(Outcome::InProgress { retry_after_ms })) => {
                std::thread::sleep(retry_after_ms.to_duration());
            }
            Some(Reply::Outcome(Outcome::Unknown { .. })) => may_have_run = true,
            Some(Reply::Outcome(outcome @ Outcome::NotRun { .. }))
                if may_have_run && is_temporary(&outcome) =>
            {
                std::thread::sleep(NO_OWNER_PAUSE_MS.to_duration());
            }
            Some(Reply::Outcome(outcome)) => return outcome,
            _ => may_have_run = true,
        }
    }
    if may_have_run {
        Outcome::unknown("the pool's owner did not answer in time")
    } else {
        no_owner()
    }
}

/// Returns whether a rejection is temporary, so that it does not tell whether an earlier attempt of
/// the same command took effect.
fn is_temporary(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::NotRun { retry_after_ms, .. } if *retry_after_ms > Millis(0))
}

fn no_owner() -> Outcome {
    Outcome::not_run(NotRunReason::NoOwner, RETRY_AFTER_MS)
}

/// Looks up a job. Returns `None` if no owner answers and an empty list if the job does not exist.
pub(crate) fn find(shared: &Shared, id: &JobId) -> Option<Vec<JobView>> {
    let pool = pool_of(id)?;
    let owner = shared.view.get().owners.get(&pool).cloned()?;
    let call = shared.calls.open(1);
    shared.mesh.send(owner.address, Message::JobQuery(call.id, JobQuery::ById(id.clone())));
    wait_for_jobs(&call)
}

/// Lists all jobs of a team. The second value names the pools that did not answer.
pub(crate) fn list(shared: &Shared, team: &TeamId) -> (Vec<JobView>, Vec<PoolId>) {
    let view = shared.view.get();
    let mut calls: Vec<(PoolId, Option<PendingCall<'_>>)> = Vec::new();
    for pool in view.rules.pools() {
        let call = view.owners.get(&pool.name).map(|owner| {
            let call = shared.calls.open(1);
            let query = JobQuery::ByTeam(pool.name.clone(), team.clone());
            shared.mesh.send(owner.address, Message::JobQuery(call.id, query));
            call
        });
        calls.push((pool.name.clone(), call));
    }
    let mut jobs = Vec::new();
    let mut unanswered = Vec::new();
    for (pool, call) in calls {
        match call.as_ref().and_then(wait_for_jobs) {
            Some(found) => jobs.extend(found),
            None => unanswered.push(pool),
        }
    }
    (jobs, unanswered)
}

fn wait_for_jobs(call: &PendingCall<'_>) -> Option<Vec<JobView>> {
    match call.wait(QUERY_TIMEOUT_MS.to_duration()) {
        Some(Reply::Jobs(jobs)) => Some(jobs),
        _ => None,
    }
}

/// Queries all owners for the status of their pools. Leaves out owners that do not answer.
pub(crate) fn statuses(shared: &Shared) -> Vec<types::PoolStatus> {
    let view = shared.view.get();
    let mut owners: Vec<_> = view.owners.values().map(|owner| owner.address).collect();
    owners.sort();
    owners.dedup();
    let calls: Vec<PendingCall<'_>> = owners.iter().map(|_| shared.calls.open(1)).collect();
    for (owner, call) in owners.iter().zip(&calls) {
        let id: CallId = call.id;
        shared.mesh.send(*owner, Message::StatusQuery(id));
    }
    let replies = calls.iter().filter_map(|call| call.wait(QUERY_TIMEOUT_MS.to_duration()));
    let pools = replies.flat_map(|reply| match reply {
        Reply::Status(pools) => pools,
        _ => Vec::new(),
    });
    pools.collect()
}
