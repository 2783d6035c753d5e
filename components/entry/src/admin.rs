//! The read-only administration API. See docs/API.md.

use std::collections::BTreeMap;

use libs::serde_json::{Value, json};
use types::{PoolStatus, Resources, TeamId};
use web::ServerResponse;

use crate::api::{job_json, json_response};
use crate::view::View;
use crate::{Shared, jobs};

/// Answers a request below `/v1/admin`. Returns `None` if the resource does not exist.
pub(crate) fn handle(shared: &Shared, view: &View, parts: &[&str]) -> Option<ServerResponse> {
    match parts {
        ["status"] => Some(status(shared, view)),
        ["teams"] => Some(teams(shared, view)),
        ["pools"] => Some(json_response(&jobs::statuses(shared))),
        ["pools", name] => {
            let pools = jobs::statuses(shared);
            pools.iter().find(|pool| pool.pool.as_str() == *name).map(json_response)
        }
        ["jobs", id] => {
            let found = jobs::find(shared, &id.parse().ok()?)?;
            found.first().map(|job| json_response(&job_json(job)))
        }
        ["metrics"] => Some(json_response(&shared.metrics.snapshot())),
        _ => None,
    }
}

fn status(shared: &Shared, view: &View) -> ServerResponse {
    let pools = jobs::statuses(shared);
    let processes: Vec<Value> = view
        .processes
        .iter()
        .map(|process| {
            json!({
                "name": process.node.name,
                "role": process.role,
                "address": process.address,
                "alive": process.alive,
                "rules_version": process.rules_version,
            })
        })
        .collect();
    let pool_rows: Vec<Value> =
        view.rules.pools().map(|rule| pool_row(rule.name.as_str(), &pools)).collect();
    json_response(&json!({
        "rules_version": view.rules.version,
        "rules_confirmed": view.trusted,
        "processes": processes,
        "pools": pool_rows,
    }))
}

/// Summary of a pool. Only its name is known if no owner answers.
fn pool_row(name: &str, pools: &[PoolStatus]) -> Value {
    let Some(pool) = pools.iter().find(|pool| pool.pool.as_str() == name) else {
        return json!({ "pool": name, "owner": null });
    };
    let count_up =
        |states: &mut dyn Iterator<Item = &str>| states.filter(|state| *state == "up").count();
    let capacity =
        pool.workers.iter().fold(Resources::ZERO, |sum, worker| sum.plus(&worker.capacity));
    let granted =
        pool.workers.iter().fold(Resources::ZERO, |sum, worker| sum.plus(&worker.granted));
    json!({
        "pool": pool.pool,
        "owner": pool.owner.name,
        "epoch": pool.epoch,
        "workers": pool.workers.len(),
        "workers_up": count_up(&mut pool.workers.iter().map(|worker| worker.state.as_str())),
        "runners": pool.runners.len(),
        "runners_up": count_up(&mut pool.runners.iter().map(|runner| runner.state.as_str())),
        "capacity": capacity,
        "granted": granted,
        "live_jobs": pool.live_jobs,
        "waiting_requests": pool.waiting_requests,
    })
}

#[derive(Default)]
struct TeamTotals {
    running: Resources,
    waiting_tasks: u32,
}

fn teams(shared: &Shared, view: &View) -> ServerResponse {
    let pools = jobs::statuses(shared);
    let capacity = pools
        .iter()
        .flat_map(|pool| &pool.workers)
        .fold(Resources::ZERO, |sum, worker| sum.plus(&worker.capacity));
    let mut totals: BTreeMap<&TeamId, TeamTotals> = BTreeMap::new();
    for team in pools.iter().flat_map(|pool| &pool.teams) {
        let team_totals = totals.entry(&team.team).or_default();
        team_totals.running = team_totals.running.plus(&team.running);
        team_totals.waiting_tasks += team.waiting_tasks;
    }
    let total_shares: u32 = view.rules.teams().map(|team| team.share).sum();
    let rows: Vec<Value> = view
        .rules
        .teams()
        .map(|team| {
            let team_totals = totals.get(&team.name);
            let running = team_totals.map(|totals| totals.running).unwrap_or_default();
            let limit = view.rules.limit(&team.name);
            json!({
                "team": team.name,
                "share_percent": 100.0 * f64::from(team.share) / f64::from(total_shares.max(1)),
                "used_percent": 100.0 * running.dominant_share(&capacity),
                "running": running,
                "limit_cores": limit.map(|limit| limit.resources.cpu_milli / 1000).filter(|cores| *cores < u64::MAX / 1000),
                "waiting_tasks": team_totals.map_or(0, |totals| totals.waiting_tasks),
            })
        })
        .collect();
    json_response(&rows)
}
