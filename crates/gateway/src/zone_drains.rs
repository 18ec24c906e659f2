//! Tracks this gateway's open requests in drained zones, and estimates how long clients should wait
//! for a drain to end.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_resident::clock::whole_ms;
use ridgeworks_resident::node::Node;
use ridgeworks_routing::{EligibilityRule, Engine, EngineKey, Placement, first_exclusion};

use crate::metrics::{GatewayMetrics, ZoneServiceLabel};

/// Bounds of the retry delay. The delay is the time for which the newest drain has lasted so far,
/// as an estimate of the time that remains; retrying earlier would waste one of the client's tries.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Reports the effects of zone drains: excluded engines, retry delays, and this gateway's open
/// requests in drained zones.
pub struct ZoneDrainWatch {
    node: Rc<Node>,
    /// Whether this gateway had open requests in each drained zone at the last check, so that an
    /// emptied zone is logged once.
    occupancy: RefCell<BTreeMap<String, ZoneOccupancy>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ZoneOccupancy {
    Occupied,
    Empty,
}

impl ZoneDrainWatch {
    /// Creates a watch that has not checked any drained zone yet.
    pub fn new(node: Rc<Node>) -> Self {
        Self {
            node,
            occupancy: RefCell::default(),
        }
    }

    /// Whether requests need not wait for the list of drains: it is known, this node does not use
    /// drains, the settings have no bound on the time until a drain takes effect, or the process
    /// has run for longer than that bound.
    pub fn are_known_or_overdue(&self) -> bool {
        let drains = &self.node.view.drains;
        let bound = self.node.settings.bounds.zone_drain();
        let is_overdue = bound.is_none_or(|bound| self.node.clock.now() > bound);
        !drains.are_used() || drains.are_known() || is_overdue
    }

    pub fn has_any(&self) -> bool {
        self.node.view.drains.in_force().is_some()
    }

    /// Number of ready engines of a service that zone drains exclude.
    pub fn drained_engines(&self, service: &str) -> usize {
        let Some(drains) = self.node.view.drains.in_force() else {
            return 0;
        };
        let view = &self.node.view;
        view.with_engines(|table| {
            let ready = table.ready(service);
            ready
                .filter(|engine| drains.exclusion(engine).is_some())
                .count()
        })
    }

    /// Retry delay when zone drains exclude all engines of a service.
    pub fn retry_after(&self, service: &str) -> Duration {
        let view = &self.node.view;
        let shortest = view.with_engines(|table| {
            let ready = table.ready(service);
            let drain_age = ready.filter_map(|engine| view.drains.drained_for(&engine.zone));
            drain_age.min()
        });
        shortest
            .unwrap_or_default()
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Logs once per drained zone that this gateway's last request there has ended.
    pub fn log_emptied_zones(&self, placement: &Placement) {
        let drains = self.node.view.drains.in_force();
        let mut occupancy = self.occupancy.borrow_mut();
        occupancy.retain(|zone, _| {
            drains
                .as_ref()
                .is_some_and(|drains| drains.is_drained(zone))
        });
        let Some(drains) = drains else { return };
        for (zone, revision) in drains.orders() {
            let is_empty = self.open_requests_in(zone, placement) == 0;
            let now = if is_empty {
                ZoneOccupancy::Empty
            } else {
                ZoneOccupancy::Occupied
            };
            let previous = occupancy.insert(zone.to_owned(), now);
            if is_empty && previous != Some(ZoneOccupancy::Empty) {
                let drain_age = self.node.view.drains.drained_for(zone);
                log::info!(
                    target: "belief",
                    zone = zone,
                    revision = revision,
                    stood_ms = drain_age.map(whole_ms);
                    "no request of this gateway is left in a drained zone"
                );
            }
        }
    }

    pub fn update_gauges(&self, placement: &Placement, metrics: &GatewayMetrics) {
        let drains = self.node.view.drains.in_force();
        let zones = drains.as_ref().map_or(0, |drains| drains.orders().count());
        metrics
            .drained_zones
            .set(i64::try_from(zones).unwrap_or(i64::MAX));
        metrics.drained_engines.clear();
        metrics.drained_requests.clear();
        let Some(drains) = drains else { return };
        self.node.view.with_engines(|table| {
            let rules: [&dyn EligibilityRule; 1] = [&*drains];
            let excluded = table.engines();
            let excluded = excluded.filter(|engine| first_exclusion(&rules, engine).is_some());
            for engine in excluded {
                let label = ZoneServiceLabel::of(engine);
                let open = i64::from(placement.own_in_flight_at(engine.key()));
                metrics.drained_engines.get_or_create(&label).inc();
                metrics.drained_requests.get_or_create(&label).inc_by(open);
            }
        });
    }

    /// Number of this gateway's open requests at a zone's engines.
    fn open_requests_in(&self, zone: &str, placement: &Placement) -> u32 {
        self.node.view.with_engines(|table| {
            let engines = table.engines().filter(|engine| engine.zone == zone);
            let keys = engines.map(Engine::key);
            keys.map(|key: EngineKey| placement.own_in_flight_at(key))
                .sum()
        })
    }
}
