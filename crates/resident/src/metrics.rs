//! Metrics of a process, in the OpenMetrics text format.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use http::StatusCode;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::registry::Registry;

use crate::http_server::TextResponse;
use crate::logging::LogCounters;
use crate::peer::REJECTED;

/// Media type of the OpenMetrics text format.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
const PREFIX: &str = "ridgeworks";

/// A registry whose metrics have the product's name as a prefix.
pub fn registry() -> Registry {
    Registry::with_prefix(PREFIX)
}

/// Encodes a registry as an HTTP response.
pub fn answer(registry: &Registry) -> TextResponse {
    let mut body = String::new();
    match encode(&mut body, registry) {
        Ok(()) => TextResponse {
            status: StatusCode::OK,
            content_type: CONTENT_TYPE,
            body,
        },
        Err(_) => TextResponse::empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Exports the counters of the log.
#[derive(Debug)]
pub struct LogCollector(pub Arc<LogCounters>);

impl Collector for LogCollector {
    fn encode(&self, encoder: DescriptorEncoder) -> Result<(), std::fmt::Error> {
        let counters = [
            ("log_lines_written", "Lines of the log", &self.0.queued),
            (
                "log_lines_suppressed",
                "Lines left out because too many of their kind came in one second",
                &self.0.suppressed,
            ),
            (
                "log_lines_lost",
                "Lines lost because the log's queue was full",
                &self.0.lost,
            ),
        ];
        encode_counters(encoder, &counters)
    }
}

/// Exports the numbers of messages of other nodes that were rejected as unknown or unreadable.
#[derive(Debug)]
pub struct RejectedMessageCollector;

impl Collector for RejectedMessageCollector {
    fn encode(&self, encoder: DescriptorEncoder) -> Result<(), std::fmt::Error> {
        let counters = [
            (
                "messages_unknown",
                "Messages of other nodes of a kind that this version does not know",
                &REJECTED.unknown,
            ),
            (
                "messages_unreadable",
                "Messages of other nodes that could not be read",
                &REJECTED.unreadable,
            ),
        ];
        encode_counters(encoder, &counters)
    }
}

fn encode_counters(
    mut encoder: DescriptorEncoder,
    counters: &[(&str, &str, &AtomicU64)],
) -> Result<(), std::fmt::Error> {
    for (name, help, value) in counters {
        let counter = ConstCounter::new(value.load(Ordering::Relaxed));
        let metric = encoder.encode_descriptor(name, help, None, counter.metric_type())?;
        counter.encode(metric)?;
    }
    Ok(())
}
