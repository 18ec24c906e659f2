//! Chooses the engine of a request.
//!
//! The cost of an engine is the time that the request is expected to lose there, in milliseconds: the
//! wait for a slot, the slower steps of a fuller batch, and the reading of prompt parts that the engine
//! does not hold.
//!
//! Gateways decide alone and know each other's load only as it was a moment ago. If all of them took the
//! engine that looked idlest, they would flock to it. So each session has a few *candidates*, by rendezvous
//! hashing, the same at all gateways; other engines are taken only where they are better by a margin.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::engine_health::EngineHealth;
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
const OTHER_ZONE_MS: f64 = 6.0;
/// Extra cost for an engine that failed lately, in milliseconds.
const RESTING_MS: f64 = 10_000.0;
/// Extra cost for each time that an engine's step is longer than the quickest one's, in milliseconds.
const SLOW_STEP_MS: f64 = 60.0;
/// Parts of prompts remembered for one engine.
const MAX_PARTS: usize = 2_048;
/// How long a report of another gateway counts.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

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

/// Parts of prompts that an engine is believed to hold.
#[derive(Debug, Clone, Default)]
struct HeldParts {
    tokens: HashMap<u64, u64>,
    order: VecDeque<u64>,
}

impl HeldParts {
    fn insert(&mut self, part: PromptPart) {
        if self.tokens.insert(part.hash, part.tokens).is_none() {
            self.order.push_back(part.hash);
        }
        while self.order.len() > MAX_PARTS {
            if let Some(oldest) = self.order.pop_front() {
                self.tokens.remove(&oldest);
            }
        }
    }

    /// Tokens of a prompt that are not held: all from the first missing part on.
    fn missing(&self, parts: &[PromptPart]) -> u64 {
        let held = parts
            .iter()
            .take_while(|part| self.tokens.contains_key(&part.hash));
        let missing = &parts[held.count()..];
        missing.iter().map(|part| part.tokens).sum()
    }
}

#[derive(Debug, Clone, Default)]
struct EngineLoad {
    open: u32,
    parts: HeldParts,
    health: EngineHealth,
}

#[derive(Debug, Clone)]
struct Report {
    at: Duration,
    open: HashMap<u64, u32>,
}

/// Load and contents of the engines, as one gateway knows them. Times are since the start of the process.
#[derive(Debug, Clone, Default)]
pub struct Placement {
    engines: HashMap<String, EngineLoad>,
    reports: HashMap<String, Report>,
    /// The engine that last got a request of a key.
    homes: HashMap<String, String>,
}

/// Short name of an engine in reports between gateways.
fn short_name(instance: &str) -> u64 {
    xxh3_64(instance.as_bytes())
}

impl Placement {
    /// The engine with the least cost; `None` when no engine of the service may get the request.
    pub fn choose<'a>(
        &self,
        table: &'a EngineTable,
        demand: &Demand<'a>,
        now: Duration,
    ) -> Option<&'a Engine> {
        let candidates: Vec<&Engine> = table
            .ready(demand.service)
            .filter(|engine| !demand.excluded.contains(&engine.instance))
            .collect();
        let quickest = self.quickest_step(&candidates);
        let home = self.homes.get(demand.key).map(String::as_str);
        let preferred = preferred(&candidates, demand);
        let costs = candidates.into_iter().map(|engine| {
            let mut cost = self.cost(engine, demand, quickest, now);
            let is_home = home == Some(engine.instance.as_str());
            if !is_home && !preferred.contains(&engine.instance.as_str()) {
                cost += STRANGER_MS;
            }
            (cost, rendezvous(demand.key, &engine.instance), engine)
        });
        let best = costs.min_by(|one, two| one.0.total_cmp(&two.0).then(two.1.cmp(&one.1)));
        best.map(|(_, _, engine)| engine)
    }

    /// A request with this key goes to an engine.
    pub fn on_sent(&mut self, key: &str, instance: &str, parts: &[PromptPart]) {
        if self.homes.len() >= MAX_HOMES {
            self.homes.clear();
        }
        self.homes.insert(key.to_owned(), instance.to_owned());
        let load = self.engines.entry(instance.to_owned()).or_default();
        load.open += 1;
        for part in parts {
            load.parts.insert(*part);
        }
    }

    /// A request has left an engine.
    pub fn on_ended(&mut self, instance: &str) {
        if let Some(load) = self.engines.get_mut(instance) {
            load.open = load.open.saturating_sub(1);
        }
    }

    /// Health of an engine.
    pub fn health(&mut self, instance: &str) -> &mut EngineHealth {
        let load = self.engines.entry(instance.to_owned()).or_default();
        &mut load.health
    }

    /// Requests of this gateway at an engine.
    pub fn open_at(&self, instance: &str) -> u32 {
        self.engines.get(instance).map_or(0, |load| load.open)
    }

    /// Requests of this gateway by engine, for the other gateways.
    pub fn report(&self) -> Vec<(u64, u32)> {
        let busy = self.engines.iter().filter(|(_, load)| load.open > 0);
        busy.map(|(instance, load)| (short_name(instance), load.open))
            .collect()
    }

    /// Takes in another gateway's report.
    pub fn on_report(&mut self, gateway: &str, open: Vec<(u64, u32)>, now: Duration) {
        let report = Report {
            at: now,
            open: open.into_iter().collect(),
        };
        self.reports.insert(gateway.to_owned(), report);
    }

    /// Forgets engines that are gone and gateways that are silent.
    pub fn retain(&mut self, table: &EngineTable, now: Duration) {
        self.engines
            .retain(|instance, load| load.open > 0 || table.get(instance).is_some());
        self.reports
            .retain(|_, report| now.saturating_sub(report.at) < REPORT_LIFETIME);
    }

    fn quickest_step(&self, candidates: &[&Engine]) -> Option<f64> {
        let steps = candidates.iter().filter_map(|engine| {
            let load = self.engines.get(&engine.instance)?;
            load.health.step_ms()
        });
        steps.min_by(f64::total_cmp)
    }

    fn cost(&self, engine: &Engine, demand: &Demand, quickest: Option<f64>, now: Duration) -> f64 {
        let open = self.open_everywhere(&engine.instance, now);
        let queued = (open + 1).saturating_sub(engine.slots);
        let mut cost = f64::from(open) * SHARED_BATCH_MS + f64::from(queued) * QUEUE_PLACE_MS;
        if engine.zone != demand.zone {
            cost += OTHER_ZONE_MS;
        }
        let known = self.engines.get(&engine.instance);
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

    fn open_everywhere(&self, instance: &str, now: Duration) -> u32 {
        let name = short_name(instance);
        let fresh = self
            .reports
            .values()
            .filter(|report| now.saturating_sub(report.at) < REPORT_LIFETIME);
        let others: u32 = fresh.filter_map(|report| report.open.get(&name)).sum();
        self.open_at(instance) + others
    }
}

/// The candidates of a key: the first of all engines, and the first of the gateway's zone.
fn preferred<'a>(engines: &[&'a Engine], demand: &Demand<'_>) -> Vec<&'a str> {
    let mut ranked: Vec<(u64, &Engine)> = engines
        .iter()
        .map(|engine| (rendezvous(demand.key, &engine.instance), *engine))
        .collect();
    ranked.sort_by_key(|(rank, _)| std::cmp::Reverse(*rank));
    let near = ranked
        .iter()
        .filter(|(_, engine)| engine.zone == demand.zone);
    let first = ranked.iter().take(CANDIDATES);
    let preferred = first.chain(near.take(CANDIDATES));
    preferred
        .map(|(_, engine)| engine.instance.as_str())
        .collect()
}

fn rendezvous(key: &str, instance: &str) -> u64 {
    let mut bytes = Vec::with_capacity(key.len() + instance.len() + 1);
    bytes.extend_from_slice(key.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(instance.as_bytes());
    xxh3_64(&bytes)
}
