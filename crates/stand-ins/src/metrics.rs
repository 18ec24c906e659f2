//! Counters of a back end, in Prometheus text form.

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::registry::Registry;

/// What a back end counts.
#[derive(Debug)]
pub struct BackendMetrics {
    /// Attempts taken.
    pub accepted: Counter,
    /// Repeated requests that joined an attempt.
    pub joined: Counter,
    /// Requests refused.
    pub refused: Counter,
    /// Attempts fenced or cancelled.
    pub fenced: Counter,
    registry: Registry,
}

impl Default for BackendMetrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("ridgeworks_backend");
        let mut counter = |name: &str, help: &str| {
            let counter: Counter = Counter::default();
            registry.register(name, help, counter.clone());
            counter
        };
        Self {
            accepted: counter("accepted", "Attempts taken"),
            joined: counter("joined", "Repeated requests that joined an attempt"),
            refused: counter("refused", "Requests refused"),
            fenced: counter("fenced", "Attempts fenced or cancelled"),
            registry,
        }
    }
}

impl BackendMetrics {
    /// All counters as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("text grows in memory");
        text
    }
}
