//! The code that runs on the users' machines.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use ridgeworks_routing::{
    Engine as Listed, EngineEntry, EngineKey, EngineState, EngineTable, Forecast, Outcome,
    Placement, PlacementRequest, PrefillDirectory, PrefillRecord, RequestSample, ServiceCosts,
};

use super::{Choosing, Policy};
use crate::deployment::Deployment;
use crate::engine::Made;

const SERVICE: &str = "models";
const ZONE: &str = "zone";
/// Gaps of a turn below this rank count as free of readings.
const QUIET_PART: usize = 4;

struct UnderWay {
    gateway: usize,
    engine: usize,
    forecast: Forecast,
    sent_ms: f64,
    last_ms: f64,
    gaps: Vec<f64>,
}

/// One [`Placement`] a gateway. Directory nodes answer at once, which the reservation of tokens hides.
pub struct Landed {
    placements: Vec<Placement>,
    directory: PrefillDirectory,
    table: EngineTable,
    engines: Vec<Listed>,
    under_way: HashMap<u64, UnderWay>,
    sees_failures: bool,
}

impl Landed {
    /// For a deployment.
    pub fn new(deployment: &Deployment) -> Self {
        let engines = (0..deployment.slowness.len()).map(|index| Listed {
            instance: format!("engine-{index:03}"),
            born_ms: 0,
            service: SERVICE.to_owned(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            zone: ZONE.to_owned(),
            slots: u32::try_from(deployment.spec.slots).unwrap_or(u32::MAX),
            state: EngineState::Ready,
            warm_up_ms: 0,
            software: String::new(),
        });
        let engines: Vec<Listed> = engines.collect();
        let mut table = EngineTable::default();
        for engine in &engines {
            table.apply(EngineEntry {
                engine: engine.clone(),
                revision: 1,
            });
        }
        Self {
            placements: vec![Placement::default(); deployment.gateways],
            directory: PrefillDirectory::default(),
            table,
            engines,
            under_way: HashMap::new(),
            sees_failures: true,
        }
    }

    /// The same without its eyes for failures, for what they are worth.
    pub fn blind(deployment: &Deployment) -> Self {
        Self {
            sees_failures: false,
            ..Self::new(deployment)
        }
    }

    /// What the first gateway has learned of the engines.
    pub fn costs(&self) -> ServiceCosts {
        self.placements[0].costs(SERVICE)
    }

    fn learn_reads(&mut self, choosing: &Choosing<'_>, now: Duration) {
        let last = choosing.prompt.last();
        let read = last.and_then(|part| self.directory.find(part.hash, now));
        if let Some(read) = read {
            self.placements[choosing.gateway].on_prefill(read);
        }
    }

    fn on_outcome(&mut self, under_way: &UnderWay, outcome: Outcome, now_ms: f64) {
        if self.sees_failures {
            let engine = self.engines[under_way.engine].key();
            self.placements[under_way.gateway].on_outcome(engine, outcome, time(now_ms));
        }
    }

    fn on_whole(&mut self, under_way: UnderWay, now_ms: f64) {
        self.on_outcome(&under_way, Outcome::Served, now_ms);
        let mut gaps = under_way.gaps;
        let events = gaps.len() as u64 + 1;
        let place = gaps.len() / QUIET_PART;
        let step_ms = (gaps.len() >= QUIET_PART).then(|| {
            let (_, gap, _) = gaps.select_nth_unstable_by(place, f64::total_cmp);
            *gap
        });
        let engine = &self.engines[under_way.engine];
        let placement = &mut self.placements[under_way.gateway];
        placement.on_request_sample(
            engine,
            RequestSample {
                request_ms: now_ms - under_way.sent_ms,
                step_ms,
                events,
                in_flight: under_way.forecast.in_flight,
            },
        );
        placement.on_ended(engine.key(), 0);
    }
}

impl Policy for Landed {
    fn choose(&mut self, choosing: &Choosing<'_>) -> usize {
        let now = time(choosing.now_ms);
        self.learn_reads(choosing, now);
        let key = choosing.program.to_string();
        let placement = &mut self.placements[choosing.gateway];
        let demand = PlacementRequest {
            service: SERVICE,
            key: &key,
            parts: choosing.prompt,
            zone: ZONE,
            excluded: &[],
            rules: &[],
        };
        let choice = placement.choose(&self.table, &demand, now);
        let instance = choice.map(|choice| choice.engine.instance.clone());
        let chosen = self
            .engines
            .iter()
            .position(|engine| Some(&engine.instance) == instance.as_ref());
        let chosen = chosen.unwrap_or(0);
        let engine = &self.engines[chosen];
        let forecast = placement.on_sent(&key, engine, choosing.prompt);
        let read = PrefillRecord {
            engine: EngineKey::of(&engine.instance).0,
            parts: choosing.prompt.to_vec(),
        };
        self.directory.insert(read, now);
        let under_way = UnderWay {
            gateway: choosing.gateway,
            engine: chosen,
            forecast,
            sent_ms: choosing.now_ms,
            last_ms: choosing.now_ms,
            gaps: Vec::new(),
        };
        self.under_way.insert(choosing.program, under_way);
        chosen
    }

    fn on_event(&mut self, made: &Made, now_ms: f64) {
        let Some(turn) = self.under_way.get_mut(&made.program) else {
            return;
        };
        if made.is_first {
            let taken = time(now_ms - turn.sent_ms);
            let placement = &mut self.placements[turn.gateway];
            placement.on_first_event(&self.engines[turn.engine], turn.forecast, taken);
        } else {
            turn.gaps.push(now_ms - turn.last_ms);
        }
        turn.last_ms = now_ms;
        if made.is_last
            && let Some(turn) = self.under_way.remove(&made.program)
        {
            self.on_whole(turn, now_ms);
        }
    }

    fn on_failed(&mut self, program: u64, now_ms: f64) {
        let Some(turn) = self.under_way.remove(&program) else {
            return;
        };
        self.on_outcome(&turn, Outcome::Failed, now_ms);
        let engine = self.engines[turn.engine].key();
        self.placements[turn.gateway].on_ended(engine, turn.forecast.missing_tokens);
    }

    fn on_report(&mut self, now_ms: f64) {
        let now = time(now_ms);
        let reports: Vec<_> = self
            .placements
            .iter()
            .map(|placement| (placement.report(now), placement.summaries()))
            .collect();
        for (gateway, placement) in self.placements.iter_mut().enumerate() {
            for (other, (report, summaries)) in reports.iter().enumerate() {
                if other != gateway {
                    placement.on_report(&other.to_string(), report.clone(), now);
                    placement.on_summaries(summaries.clone());
                }
            }
        }
    }
}

fn time(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1_000.0)
}
