//! Engines of drained zones at one gateway: what it still has there, and when their zone may be expected back.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_resident::clock::whole_ms;
use ridgeworks_resident::node::Node;
use ridgeworks_routing::{EligibilityRule, Engine, EngineKey, Placement, first_exclusion};

use crate::metrics::{GatewayMetrics, ZoneServiceLabel};

/// Bounds of the time after which a client may come back: a drain is taken to last for as long again as it has lasted. Coming
/// back sooner finds the zone still drained and costs the client one of its tries.
const LEAST_COME_BACK: Duration = Duration::from_secs(1);
const MOST_COME_BACK: Duration = Duration::from_secs(30);

/// What a gateway does about drained zones.
pub struct ZoneDrainWatch {
    node: Rc<Node>,
    /// Drained zones in which this gateway had requests when it last looked, or of which it has said that it has none; by the revision
    /// of the order.
    looked: RefCell<BTreeMap<String, Looked>>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Looked {
    Occupied,
    Empty,
}

impl ZoneDrainWatch {
    /// Of the gateway on this node.
    pub fn new(node: Rc<Node>) -> Self {
        Self {
            node,
            looked: RefCell::default(),
        }
    }

    /// Whether the drains are known, or need not be: where nobody could tell them for as long as an order may take to be in force,
    /// no request waits for them any longer.
    pub fn are_known(&self) -> bool {
        let drains = &self.node.view.drains;
        let bound = self.node.settings.bounds.zone_drain();
        let is_overdue = bound.is_none_or(|bound| self.node.clock.now() > bound);
        !drains.are_followed() || drains.are_known() || is_overdue
    }

    /// Whether any zone is drained.
    pub fn has_any(&self) -> bool {
        self.node.view.drains.in_force().is_some()
    }

    /// Ready engines of a service that get nothing now for their zones' sake.
    pub fn shut_out(&self, service: &str) -> usize {
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

    /// When a client may come back whose service has no engine for it outside drained zones.
    pub fn retry_later(&self, service: &str) -> Duration {
        let view = &self.node.view;
        let least = view.with_engines(|table| {
            let ready = table.ready(service);
            let stood = ready.filter_map(|engine| view.drains.drained_for(&engine.zone));
            stood.min()
        });
        least
            .unwrap_or_default()
            .clamp(LEAST_COME_BACK, MOST_COME_BACK)
    }

    /// Says once of each drained zone that the last request of this gateway there has ended.
    pub fn tell_empty(&self, placement: &Placement) {
        let drains = self.node.view.drains.in_force();
        let mut looked = self.looked.borrow_mut();
        looked.retain(|zone, _| {
            drains
                .as_ref()
                .is_some_and(|drains| drains.is_drained(zone))
        });
        let Some(drains) = drains else { return };
        for (zone, revision) in drains.orders() {
            let is_empty = self.open_in(zone, placement) == 0;
            let now = if is_empty {
                Looked::Empty
            } else {
                Looked::Occupied
            };
            let before = looked.insert(zone.to_owned(), now);
            if is_empty && before != Some(Looked::Empty) {
                let stood = self.node.view.drains.drained_for(zone);
                log::info!(
                    target: "belief",
                    zone = zone,
                    revision = revision,
                    stood_ms = stood.map(whole_ms);
                    "no request of this gateway is left in a drained zone"
                );
            }
        }
    }

    /// Brings the gauges up to date.
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
            let barred = table.engines();
            let barred = barred.filter(|engine| first_exclusion(&rules, engine).is_some());
            for engine in barred {
                let label = ZoneServiceLabel::of(engine);
                let open = i64::from(placement.own_open_requests(engine.key()));
                metrics.drained_engines.get_or_create(&label).inc();
                metrics.drained_requests.get_or_create(&label).inc_by(open);
            }
        });
    }

    /// Requests of this gateway that are open at a zone's engines.
    fn open_in(&self, zone: &str, placement: &Placement) -> u32 {
        self.node.view.with_engines(|table| {
            let engines = table.engines().filter(|engine| engine.zone == zone);
            let keys = engines.map(Engine::key);
            keys.map(|key: EngineKey| placement.own_open_requests(key))
                .sum()
        })
    }
}
