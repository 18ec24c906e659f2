//! Chooses the engine of a request.
//!
//! The cost of an engine is the time that the request is expected to lose there, in milliseconds: the
//! wait for a slot, the slower steps of a fuller batch, and the reading of prompt parts that the engine
//! does not hold.
//!
//! Gateways decide alone and know each other's load only as it was a moment ago. If all of them took the
//! engine that looked idlest, they would flock to it. So each session has a few *candidates*, by rendezvous
//! hashing, the same at all gateways; other engines are taken only where they are better by a margin.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::engine_health::EngineHealth;
use crate::engine_load::{EngineKey, EngineLoads};
use crate::engine_table::{Engine, EngineTable};
use crate::request::PromptPart;

/// Prompt tokens that an engine reads in a millisecond, for weighing a missing part against a wait.
const PROMPT_TOKENS_PER_MS: f64 = 250.0;
/// What one more request in the batch costs, in milliseconds.
const SHARED_BATCH_MS: f64 = 8.0;
/// Margin by which an engine that is no candidate of the session has to be better, in milliseconds.
const STRANGER_MS: f64 = 40.0;
/// Candidates of a session among all engines, and among those of the gateway's zone.
const CANDIDATES: usize = 2;
/// Sessions whose engine is remembered.
const MAX_HOMES: usize = 8_192;
/// What one place in an engine's queue costs, in milliseconds.
const QUEUE_PLACE_MS: f64 = 30.0;
/// Extra cost for an engine of another zone, in milliseconds: the way there, and the price of the bytes.
const OTHER_ZONE_MS: f64 = 20.0;
/// Extra cost for an engine that failed lately, in milliseconds.
const RESTING_MS: f64 = 10_000.0;
/// Extra cost for each time that an engine's step is longer than the quickest one's, in milliseconds.
const SLOW_STEP_MS: f64 = 60.0;

/// What a request asks of an engine.
#[derive(Debug, Clone, Copy)]
pub struct Demand<'a> {
    /// Service whose engines may take it.
    pub service: &'a str,
    /// Key by which gateways agree on an engine where costs are equal.
    pub key: &'a str,
    /// Parts of its prompt, in order.
    pub parts: &'a [PromptPart],
    /// Zone of the gateway.
    pub zone: &'a str,
    /// Engines that must not get it.
    pub excluded: &'a [String],
}

/// Load and contents of the engines, as one gateway knows them. Times are since the start of the process.
#[derive(Debug, Clone, Default)]
pub struct Placement {
    loads: EngineLoads,
    /// The engine that last got a request, by the hash of the request's key.
    homes: HashMap<u64, EngineKey>,
}

/// An engine that may get a request.
struct Candidate<'a> {
    engine: &'a Engine,
    key: EngineKey,
    /// Its rank for the request's key, the highest first.
    rank: u64,
}

impl Placement {
    /// The engine with the least cost; `None` when no engine of the service may get the request.
    pub fn choose<'a>(
        &mut self,
        table: &'a EngineTable,
        demand: &Demand<'a>,
        now: Duration,
    ) -> Option<&'a Engine> {
        self.loads.expire(now);
        let session = xxh3_64(demand.key.as_bytes());
        let candidates = candidates(table, demand, session);
        let quickest = self.quickest_step(&candidates);
        let home = self.homes.get(&session);
        let preferred = preferred(&candidates, demand.zone);
        let costs = candidates.iter().map(|candidate| {
            let mut cost = self.cost(candidate, demand, quickest, now);
            if home != Some(&candidate.key) && !preferred.contains(&candidate.key) {
                cost += STRANGER_MS;
            }
            (cost, candidate)
        });
        let best = costs.min_by(|one, two| {
            let by_cost = one.0.total_cmp(&two.0);
            by_cost.then(two.1.rank.cmp(&one.1.rank))
        });
        best.map(|(_, candidate)| candidate.engine)
    }

    /// Open requests at an engine, of this gateway and of those that reported lately.
    pub fn open_at(&mut self, instance: &str, now: Duration) -> u32 {
        self.loads.expire(now);
        self.loads.open_at(EngineKey::of(instance))
    }

    /// A request with this key goes to an engine.
    pub fn on_sent(&mut self, key: &str, instance: &str, parts: &[PromptPart]) {
        if self.homes.len() >= MAX_HOMES {
            self.homes.clear();
        }
        let engine = EngineKey::of(instance);
        self.homes.insert(xxh3_64(key.as_bytes()), engine);
        let load = self.loads.entry(engine);
        load.own += 1;
        for part in parts {
            load.parts.insert(*part);
        }
    }

    /// A request has left an engine.
    pub fn on_ended(&mut self, instance: &str) {
        let load = self.loads.entry(EngineKey::of(instance));
        load.own = load.own.saturating_sub(1);
    }

    /// Health of an engine.
    pub fn health(&mut self, instance: &str) -> &mut EngineHealth {
        &mut self.loads.entry(EngineKey::of(instance)).health
    }

    /// Requests of this gateway by engine, for the other gateways.
    pub fn report(&self) -> Vec<(EngineKey, u32)> {
        self.loads.report()
    }

    /// Takes in another gateway's report.
    pub fn on_report(&mut self, gateway: &str, open: Vec<(EngineKey, u32)>, now: Duration) {
        self.loads.on_report(gateway, open, now);
    }

    /// Forgets engines that are gone and reports that are too old.
    pub fn retain(&mut self, table: &EngineTable, now: Duration) {
        self.loads.expire(now);
        let listed: HashSet<EngineKey> = table.instances().map(EngineKey::of).collect();
        self.loads.retain(|key| listed.contains(&key));
    }

    fn quickest_step(&self, candidates: &[Candidate<'_>]) -> Option<f64> {
        let steps = candidates.iter().filter_map(|candidate| {
            let load = self.loads.get(candidate.key)?;
            load.health.step_ms()
        });
        steps.min_by(f64::total_cmp)
    }

    fn cost(
        &self,
        candidate: &Candidate<'_>,
        demand: &Demand<'_>,
        quickest: Option<f64>,
        now: Duration,
    ) -> f64 {
        let engine = candidate.engine;
        let open = self.loads.open_at(candidate.key);
        let queued = (open + 1).saturating_sub(engine.slots);
        let mut cost = f64::from(open) * SHARED_BATCH_MS + f64::from(queued) * QUEUE_PLACE_MS;
        if engine.zone != demand.zone {
            cost += OTHER_ZONE_MS;
        }
        let known = self.loads.get(candidate.key);
        let missing = known.map_or_else(
            || demand.parts.iter().map(|part| part.tokens).sum(),
            |load| load.parts.missing(demand.parts),
        );
        cost += missing as f64 / PROMPT_TOKENS_PER_MS;
        let Some(load) = known else {
            return cost;
        };
        if let (Some(step), Some(quickest)) = (load.health.step_ms(), quickest) {
            cost += (step / quickest.max(0.1) - 1.0) * SLOW_STEP_MS;
        }
        if load.health.rests(now) {
            cost += RESTING_MS;
        }
        cost
    }
}

fn candidates<'a>(table: &'a EngineTable, demand: &Demand<'a>, session: u64) -> Vec<Candidate<'a>> {
    let ready = table.ready(demand.service);
    let allowed = ready.filter(|engine| !demand.excluded.contains(&engine.instance));
    let candidates = allowed.map(|engine| {
        let key = EngineKey::of(&engine.instance);
        Candidate {
            engine,
            key,
            rank: rendezvous(session, key),
        }
    });
    candidates.collect()
}

/// The engines that a session prefers: the first by rank of all, and the first of the gateway's zone.
fn preferred(candidates: &[Candidate<'_>], zone: &str) -> Vec<EngineKey> {
    let mut ranked: Vec<&Candidate<'_>> = candidates.iter().collect();
    ranked.sort_unstable_by_key(|candidate| std::cmp::Reverse(candidate.rank));
    let near = ranked
        .iter()
        .filter(|candidate| candidate.engine.zone == zone);
    let first = ranked.iter().take(CANDIDATES);
    let preferred = first.chain(near.take(CANDIDATES));
    preferred.map(|candidate| candidate.key).collect()
}

fn rendezvous(session: u64, key: EngineKey) -> u64 {
    xxh3_64_with_seed(&key.0.to_le_bytes(), session)
}
