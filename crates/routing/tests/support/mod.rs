//! Engines and routes for tests.
#![allow(dead_code, reason = "each test file uses its own part of the support")]

use std::time::Duration;

use ridgeworks_routing::{
    ClientLimits, Engine, EngineEntry, EngineState, EngineTable, Forecast, Placement,
    PlacementRequest, PromptPart, RequestKind, Residency, Route, RouteConfiguration,
    WeightedService,
};

pub fn engine(instance: &str, zone: &str) -> Engine {
    Engine {
        instance: instance.to_owned(),
        born_ms: 0,
        service: "models".to_owned(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: zone.to_owned(),
        slots: 4,
        state: EngineState::Ready,
        warm_up_ms: 0,
        software: "v1".to_owned(),
    }
}

pub fn entry(instance: &str, revision: u64) -> EngineEntry {
    EngineEntry {
        engine: engine(instance, "zone-a"),
        revision,
    }
}

pub fn table<const N: usize>(engines: [Engine; N]) -> EngineTable {
    let mut table = EngineTable::default();
    for engine in engines {
        table.apply(EngineEntry {
            engine,
            revision: 1,
        });
    }
    table
}

pub fn route(name: &str, host: &str, path_prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind: RequestKind::Repeatable,
        timeout_ms: 1_000,
        target_ms: 100,
        gap_target_ms: 0,
        priority: 1,
        services: vec![WeightedService {
            service: "models".to_owned(),
            weight: 1,
        }],
        max_attempts: 1,
        resumable: false,
        keeps_turns: false,
        retention_ms: 60_000,
        is_public: false,
        residency: Residency::anywhere(),
    }
}

pub fn configuration(routes: Vec<Route>) -> RouteConfiguration {
    RouteConfiguration {
        version: 1,
        routes,
        services: Vec::new(),
        limits: ClientLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 65_536,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        tenants: None,
    }
}

pub const NOW: Duration = Duration::from_secs(1);

pub fn request<'a>(
    key: &'a str,
    parts: &'a [PromptPart],
    excluded: &'a [String],
) -> PlacementRequest<'a> {
    PlacementRequest {
        service: "models",
        key,
        parts,
        zone: "zone-a",
        excluded,
        rules: &[],
    }
}

/// The instance that gets the request.
pub fn choose(
    placement: &mut Placement,
    table: &EngineTable,
    request: &PlacementRequest<'_>,
    now: Duration,
) -> Option<String> {
    let choice = placement.choose(table, request, now)?;
    Some(choice.engine.instance.clone())
}

pub fn send(placement: &mut Placement, instance: &str, parts: &[PromptPart]) -> Forecast {
    placement.on_sent("other", &engine(instance, "zone-a"), parts)
}

pub fn part(hash: u64, tokens: u64) -> PromptPart {
    PromptPart { hash, tokens }
}
