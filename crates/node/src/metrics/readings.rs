//! Counters that other crates keep, read when `/metrics` is asked for.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use ridgeworks_configuration::ConfigurationCounters;
use ridgeworks_http_edge::CountersSnapshot;
use ridgeworks_link::LinkCounters;
use ridgeworks_membership::Counters as MembershipCounters;
use ridgeworks_storage::StoreCountersSnapshot;

const MICROSECONDS_PER_SECOND: f64 = 1_000_000.0;

/// One value.
#[derive(Debug, Clone, Copy)]
pub enum Reading {
    /// Only grows.
    Counter(u64),
    /// Only grows, in seconds.
    Seconds(f64),
    /// Grows and shrinks.
    Gauge(u64),
}

/// One value with its name and meaning.
#[derive(Debug, Clone, Copy)]
pub struct NamedReading {
    name: &'static str,
    help: &'static str,
    reading: Reading,
}

impl NamedReading {
    fn counter(name: &'static str, help: &'static str, value: u64) -> Self {
        let reading = Reading::Counter(value);
        Self {
            name,
            help,
            reading,
        }
    }

    fn gauge(name: &'static str, help: &'static str, value: u64) -> Self {
        let reading = Reading::Gauge(value);
        Self {
            name,
            help,
            reading,
        }
    }

    fn seconds(name: &'static str, help: &'static str, value: f64) -> Self {
        let reading = Reading::Seconds(value);
        Self {
            name,
            help,
            reading,
        }
    }

    fn encode(&self, encoder: &mut DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        match self.reading {
            Reading::Counter(value) => encode(encoder, self, &ConstCounter::new(value)),
            Reading::Seconds(value) => encode(encoder, self, &ConstCounter::new(value)),
            Reading::Gauge(value) => {
                let value = i64::try_from(value).unwrap_or(i64::MAX);
                encode(encoder, self, &ConstGauge::new(value))
            }
        }
    }
}

fn encode(
    encoder: &mut DescriptorEncoder<'_>,
    named: &NamedReading,
    metric: &impl EncodeMetric,
) -> Result<(), fmt::Error> {
    let encoder = encoder.encode_descriptor(named.name, named.help, None, metric.metric_type())?;
    metric.encode(encoder)
}

/// Reads a group of values at each request for them.
pub struct Readings(pub Box<dyn Fn() -> Vec<NamedReading> + Send + Sync>);

impl fmt::Debug for Readings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Readings")
    }
}

impl Collector for Readings {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> Result<(), fmt::Error> {
        for reading in (self.0)() {
            reading.encode(&mut encoder)?;
        }
        Ok(())
    }
}

/// The HTTP edge.
pub fn edge(counters: &CountersSnapshot) -> Vec<NamedReading> {
    let counter = NamedReading::counter;
    vec![
        counter(
            "edge_received",
            "Requests whose head was read",
            counters.received,
        ),
        NamedReading::gauge(
            "edge_open_requests",
            "Requests whose handler is at work",
            counters.open_requests,
        ),
        counter(
            "edge_handled",
            "Requests handed to a handler",
            counters.handled,
        ),
        counter(
            "edge_refused_overload",
            "Requests refused above the bound",
            counters.refused_overload,
        ),
        counter(
            "edge_refused_stopping",
            "Requests refused while stopping",
            counters.refused_stopping,
        ),
        counter(
            "edge_refused_body_too_long",
            "Requests with too long a body",
            counters.refused_body_too_long,
        ),
        counter(
            "edge_refused_malformed",
            "Requests whose length is malformed",
            counters.refused_malformed,
        ),
        counter(
            "edge_timed_out",
            "Requests whose body came too slowly",
            counters.timed_out,
        ),
        counter(
            "edge_broken_requests",
            "Requests that ended before their body did",
            counters.broken_requests,
        ),
        counter(
            "edge_clients_gone",
            "Answers that the client did not take",
            counters.client_disconnects,
        ),
        counter(
            "edge_unanswered",
            "Requests that their handler left unanswered",
            counters.unanswered,
        ),
        counter(
            "edge_handler_panics",
            "Handlers that panicked",
            counters.handler_panics,
        ),
        counter(
            "edge_abandoned_connections",
            "Connections left open for good",
            counters.abandoned_connections,
        ),
        counter(
            "edge_acceptor_restarts",
            "Times that accepting was started anew",
            counters.acceptor_restarts,
        ),
    ]
}

/// The links between nodes.
pub fn link(counters: &LinkCounters) -> Vec<NamedReading> {
    let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let counter = NamedReading::counter;
    vec![
        counter(
            "link_sent_messages",
            "Messages handed to a link",
            read(&counters.sent_messages),
        ),
        counter(
            "link_sent_bytes",
            "Bytes of messages sent",
            read(&counters.sent_bytes),
        ),
        counter(
            "link_received_messages",
            "Messages received",
            read(&counters.received_messages),
        ),
        counter(
            "link_received_bytes",
            "Bytes of messages received",
            read(&counters.received_bytes),
        ),
        counter(
            "link_dropped_messages",
            "Messages dropped because a queue was full",
            read(&counters.dropped_messages),
        ),
        counter(
            "link_dialled",
            "Connections dialled",
            read(&counters.dialled),
        ),
        counter(
            "link_broken",
            "Connections that broke",
            read(&counters.broken),
        ),
    ]
}

/// The durable store.
pub fn store(counters: &StoreCountersSnapshot) -> Vec<NamedReading> {
    let counter = NamedReading::counter;
    let commit_seconds = counters.commit_micros as f64 / MICROSECONDS_PER_SECOND;
    vec![
        counter(
            "store_commits",
            "Transactions committed with fsync",
            counters.commits,
        ),
        counter("store_batches", "Batches made durable", counters.batches),
        counter(
            "store_operations",
            "Operations made durable",
            counters.operations,
        ),
        counter("store_refused", "Batches refused", counters.refused),
        NamedReading::seconds(
            "store_commit_seconds",
            "Time spent in transactions",
            commit_seconds,
        ),
    ]
}

/// The membership role.
pub fn membership(counters: &MembershipCounters) -> Vec<NamedReading> {
    let counter = NamedReading::counter;
    vec![
        counter(
            "membership_messages_sent",
            "Messages handed to the links",
            counters.messages_sent,
        ),
        counter(
            "membership_suspicions",
            "Members that this node suspected",
            counters.suspicions,
        ),
        counter(
            "membership_verdicts",
            "Members that this node declared dead",
            counters.deaths_declared,
        ),
        counter(
            "membership_refutations",
            "Claims about this node that it refuted",
            counters.refutations,
        ),
        counter(
            "membership_own_pauses",
            "Pauses of this process that it noticed",
            counters.own_pauses,
        ),
        counter(
            "membership_rumours_checked",
            "Claims of death checked before they were taken",
            counters.dead_claims_verified,
        ),
    ]
}

/// The configuration role.
pub fn configuration(counters: &ConfigurationCounters) -> Vec<NamedReading> {
    let counter = NamedReading::counter;
    vec![
        counter(
            "configuration_messages_sent",
            "Messages sent to other nodes",
            counters.messages_sent,
        ),
        counter(
            "configuration_renewals_sent",
            "Renewals sent",
            counters.renewals_sent,
        ),
        counter(
            "configuration_leases_granted",
            "Times that the lease was granted",
            counters.leases_granted,
        ),
        counter(
            "configuration_leases_lapsed",
            "Times that the lease ran out",
            counters.leases_expired,
        ),
        counter(
            "configuration_revisions_in_force",
            "Revisions put in force",
            counters.revisions_in_force,
        ),
        counter(
            "configuration_pushes_sent",
            "Pushes sent to clients",
            counters.pushes_sent,
        ),
        counter(
            "configuration_updates_mismatched",
            "Updates that did not lead on",
            counters.updates_mismatched,
        ),
        counter(
            "configuration_clients_refused",
            "Renewals refused by a full relay",
            counters.clients_refused,
        ),
        counter(
            "configuration_platform_operations",
            "Operations asked of the platform",
            counters.platform_operations,
        ),
        counter(
            "configuration_changes_accepted",
            "Changes accepted",
            counters.changes_accepted,
        ),
        counter(
            "configuration_changes_rejected",
            "Changes rejected",
            counters.changes_rejected,
        ),
        counter(
            "configuration_requests_refused",
            "Requests refused",
            counters.requests_refused,
        ),
        counter(
            "configuration_changes_unknown",
            "Changes whose end could not be learned",
            counters.changes_unknown,
        ),
    ]
}

/// The process; nothing where the system does not tell.
pub fn process() -> Vec<NamedReading> {
    let stat = procfs::process::Process::myself().and_then(|process| process.stat());
    let Ok(stat) = stat else {
        return Vec::new();
    };
    let ticks = (stat.utime + stat.stime) as f64;
    let cpu_seconds = ticks / procfs::ticks_per_second() as f64;
    let resident = stat.rss.saturating_mul(procfs::page_size());
    vec![
        NamedReading::gauge("process_resident_memory_bytes", "Resident memory", resident),
        NamedReading::seconds("process_cpu_seconds", "Time on processors", cpu_seconds),
        NamedReading::gauge(
            "process_threads",
            "Threads",
            u64::try_from(stat.num_threads).unwrap_or(0),
        ),
    ]
}
