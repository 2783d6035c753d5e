//! Several pools contend for the limits of some teams. The shared store may lose calls and answers.

use std::collections::BTreeMap;

use config::Rules;
use libs::rand::rngs::StdRng;
use libs::rand::{Rng, SeedableRng};
use types::{Millis, Resources, RulesVersion, TeamId};

use super::{Amount, Limits};
use crate::event::{StoreAnswer, StoreCall, StoreFailure};

const POOLS: usize = 4;
const TEAMS: usize = 3;
const STEPS: u64 = 3_000;

#[derive(Default)]
struct Store {
    entries: BTreeMap<String, (u64, Vec<u8>)>,
}

impl Store {
    fn apply(&mut self, call: &StoreCall) -> Result<StoreAnswer, StoreFailure> {
        match call {
            StoreCall::Get { key } => Ok(self
                .entries
                .get(key.as_str())
                .map_or(StoreAnswer::Missing, |(version, value)| {
                    StoreAnswer::Found(*version, value.clone())
                })),
            StoreCall::Swap { key, expected, value } => {
                let entry = self.entries.entry(key.to_string()).or_default();
                if entry.0 != *expected {
                    return Err(StoreFailure::Conflict);
                }
                *entry = (expected + 1, value.clone());
                Ok(StoreAnswer::Swapped(expected + 1))
            }
            StoreCall::Delete { .. } => Ok(StoreAnswer::Deleted),
        }
    }
}

fn rules(version: u64, cores: u64) -> Rules {
    let mut text = String::new();
    for pool in 0..POOLS {
        text.push_str(&format!("- pool: {{name: p{pool}, domain: d{pool}}}  # Hanna\n"));
    }
    for team in 0..TEAMS {
        text.push_str(&format!("- team: {{name: t{team}, share: 1}}  # Hanna\n"));
        text.push_str(&format!("- limit: {{team: t{team}, cores: {cores}}}  # Hanna\n"));
    }
    Rules::parse(RulesVersion(version), &text).unwrap()
}

fn team(team_index: usize) -> TeamId {
    format!("t{team_index}").parse().unwrap()
}

fn cores(count: u64) -> Amount {
    Amount::of_resources(Resources { cpu_milli: count * 1000, mem_mb: 1, accels: 0 })
}

struct PoolSimulation {
    random: StdRng,
    store: Store,
    pools: Vec<Limits>,
    /// Calls that are not delivered yet: pool, bucket, call.
    in_flight: Vec<(usize, usize, StoreCall)>,
    /// Running tasks: pool, team, cores.
    running: Vec<(usize, usize, u64)>,
    now: Millis,
}

impl PoolSimulation {
    fn new(seed: u64, cores: u64) -> Self {
        let pools = (0..POOLS)
            .map(|pool| {
                let mut limits = Limits::new(format!("p{pool}").parse().unwrap());
                limits.set_rules(&rules(1, cores));
                limits
            })
            .collect();
        let random = StdRng::seed_from_u64(seed);
        Self {
            random,
            store: Store::default(),
            pools,
            in_flight: Vec::new(),
            running: Vec::new(),
            now: Millis(0),
        }
    }

    fn step(&mut self, faults: bool) {
        self.now = self.now + Millis(50);
        for pool in 0..POOLS {
            let calls = self.pools[pool].poll(self.now);
            self.in_flight.extend(calls.into_iter().map(|(bucket, call)| (pool, bucket, call)));
        }
        for _ in 0..4 {
            self.deliver_one(faults);
        }
        let (pool, team_index) =
            (self.random.random_range(0..POOLS), self.random.random_range(0..TEAMS));
        let need = self.random.random_range(1..4);
        if self.pools[pool].allows(&team(team_index), &cores(need), &cores(3 * need)) {
            self.pools[pool].acquire(&team(team_index), &cores(need));
            self.running.push((pool, team_index, need));
        }
        if !self.running.is_empty() && self.random.random_bool(0.4) {
            self.end_task(self.random.clone().random_range(0..self.running.len()));
        }
        self.stop_excess();
    }

    fn deliver_one(&mut self, faults: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let (pool, bucket, call) =
            self.in_flight.swap_remove(self.random.random_range(0..self.in_flight.len()));
        let answer = match self.random.random_range(0..10) {
            0 if faults => Err(StoreFailure::NotSent),
            1 if faults => Err(StoreFailure::Unanswered),
            2 if faults => {
                // The call takes effect, but its answer is lost.
                self.store.apply(&call).ok();
                Err(StoreFailure::Unanswered)
            }
            _ => self.store.apply(&call),
        };
        if let Some(next) = self.pools[pool].answer(bucket, answer) {
            self.in_flight.push((pool, bucket, next));
        }
    }

    fn end_task(&mut self, index: usize) {
        let (pool, team_index, need) = self.running.swap_remove(index);
        self.pools[pool].release(&team(team_index), &cores(need));
    }

    /// Ends tasks of teams that exceed their slice.
    fn stop_excess(&mut self) {
        for pool in 0..POOLS {
            for over in self.pools[pool].teams_over_slice() {
                while self.pools[pool].teams_over_slice().contains(&over) {
                    let found = self
                        .running
                        .iter()
                        .position(|(one, team_index, _)| *one == pool && team(*team_index) == over);
                    let Some(index) = found else { break };
                    self.end_task(index);
                }
            }
        }
    }

    fn used(&self, team_index: usize) -> u64 {
        self.running.iter().filter(|(_, one, _)| *one == team_index).map(|(.., need)| need).sum()
    }
}

#[test]
fn the_sum_over_pools_never_exceeds_the_limit() {
    for seed in 0..20 {
        let mut sim = PoolSimulation::new(seed, 20);
        for _ in 0..STEPS {
            sim.step(true);
            for team_index in 0..TEAMS {
                assert!(
                    sim.used(team_index) <= 20,
                    "seed {seed}: {} cores run",
                    sim.used(team_index)
                );
            }
        }
    }
}

#[test]
fn capacity_released_by_other_pools_becomes_available() {
    let mut sim = PoolSimulation::new(1, 20);
    let everything = cores(20);
    let mut granted = 0;
    for _ in 0..400 {
        sim.step(false);
        // End all tasks; then one pool asks for nearly the whole limit.
        while !sim.running.is_empty() {
            sim.end_task(0);
        }
        if sim.pools[2].allows(&team(0), &cores(16), &everything) {
            granted += 1;
        }
    }
    assert!(granted > 0, "a pool never got what all others had left");
}

#[test]
fn a_lowered_limit_holds_once_every_pool_has_read_it() {
    let mut sim = PoolSimulation::new(3, 20);
    (0..500).for_each(|_| sim.step(false));
    for limits in &mut sim.pools {
        limits.set_rules(&rules(2, 8));
    }
    (0..80).for_each(|_| sim.step(false));
    for _ in 0..500 {
        sim.step(false);
        for team_index in 0..TEAMS {
            assert!(sim.used(team_index) <= 8, "{} cores run", sim.used(team_index));
        }
    }
}
