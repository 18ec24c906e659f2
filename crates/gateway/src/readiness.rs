//! Why a gateway is not ready, and the log lines of one that is not ready for long.

use std::cell::Cell;
use std::time::Duration;

use ridgeworks_resident::clock::whole_ms;

use crate::gateway::Gateway;

/// Time after which a gateway that is not ready logs what it lacks; longer than a start takes.
const LOG_AFTER: Duration = Duration::from_secs(5);

/// Something that a gateway lacks to be ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lack {
    /// The process stops.
    Stop,
    /// No configuration is known.
    Configuration,
    /// No complete list of the engines is known.
    Engines,
    /// The drains of zones are not known.
    ZoneDrains,
    /// Most groups of replicas have lost their majority.
    Majorities,
    /// The known API keys are too old to be trusted.
    Keys,
}

impl Lack {
    fn name(self) -> &'static str {
        match self {
            Self::Stop => "stop",
            Self::Configuration => "configuration",
            Self::Engines => "engines",
            Self::ZoneDrains => "zone_drains",
            Self::Majorities => "majorities",
            Self::Keys => "keys",
        }
    }
}

/// Logs once when a gateway has not been ready for [`LOG_AFTER`], and once when it is ready again.
#[derive(Debug, Default)]
pub struct ReadinessLog {
    /// Since when the gateway has not been ready, on its clock; zero from its start on, `None` while it is ready.
    unready_since: Cell<Option<Duration>>,
    has_been_ready: Cell<bool>,
    /// Whether the present time without readiness was logged.
    is_logged: Cell<bool>,
}

impl ReadinessLog {
    /// Logs if due. To be called periodically.
    pub fn update(&self, gateway: &Gateway) {
        let lacks = gateway.lacks();
        let now = gateway.now();
        if lacks.is_empty() {
            self.on_ready(now);
        } else {
            self.on_unready(gateway, &lacks, now);
        }
    }

    fn on_ready(&self, now: Duration) {
        self.has_been_ready.set(true);
        let since = self.unready_since.take().unwrap_or(now);
        if !self.is_logged.replace(false) {
            return;
        }
        log::info!(
            target: "process",
            unready_ms = whole_ms(now.saturating_sub(since));
            "gateway ready after a long time"
        );
    }

    fn on_unready(&self, gateway: &Gateway, lacks: &[Lack], now: Duration) {
        let first = if self.has_been_ready.get() {
            now
        } else {
            Duration::ZERO
        };
        let since = self.unready_since.get().unwrap_or(first);
        self.unready_since.set(Some(since));
        let unready_for = now.saturating_sub(since);
        if unready_for < LOG_AFTER || self.is_logged.replace(true) {
            return;
        }
        let names: Vec<&str> = lacks.iter().map(|lack| lack.name()).collect();
        let node = &gateway.node;
        log::warn!(
            target: "process",
            unready_ms = whole_ms(unready_for),
            lacks = names.join(","),
            version = node.view.version(),
            watches_store = node.watch_control.should_watch(),
            has_replica_sets = node.view.replica_sets().is_some(),
            nodes = node.gossip.members().len(),
            store_calls = node.store.calls();
            "gateway not ready for long"
        );
    }
}
