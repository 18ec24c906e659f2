//! Counters and gauges of a replica.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// All metrics of a replica.
pub struct ReplicaMetrics {
    /// Requests of other nodes.
    pub requests: Counter,
    /// Requests of tenants for which a grant was asked.
    pub admissions: Counter,
    /// Requests to engines that warm up for which a grant was asked.
    pub grants_asked: Counter,
    /// Tenants of whose limits something was given out lately.
    pub limited_tenants: Gauge,
    /// Batches handed to the disk.
    pub batches: Counter,
    /// Transactions of the disk, each with all batches that waited.
    pub commits: Counter,
    /// Time spent in them, in microseconds.
    pub commit_micros: Counter,
    /// Times that the disk failed.
    pub disk_failures: Counter,
    /// Changes of the replica set that this node wrote.
    pub set_changes: Counter,
    /// Turns that are kept.
    pub turns: Gauge,
    /// Ledgers that are kept.
    pub ledgers: Gauge,
    /// Bytes of the turns that are kept.
    pub turn_bytes: Gauge,
    /// Epoch of the replica set.
    pub replica_set_epoch: Gauge,
}

impl ReplicaMetrics {
    /// Registers all metrics.
    pub fn register(registry: &mut Registry) -> Self {
        let metrics = Self {
            requests: Counter::default(),
            admissions: Counter::default(),
            grants_asked: Counter::default(),
            limited_tenants: Gauge::default(),
            batches: Counter::default(),
            commits: Counter::default(),
            commit_micros: Counter::default(),
            disk_failures: Counter::default(),
            set_changes: Counter::default(),
            turns: Gauge::default(),
            ledgers: Gauge::default(),
            turn_bytes: Gauge::default(),
            replica_set_epoch: Gauge::default(),
        };
        let counters = [
            (
                "replica_requests",
                "Requests of other nodes",
                &metrics.requests,
            ),
            (
                "disk_batches",
                "Batches handed to the disk",
                &metrics.batches,
            ),
            (
                "admissions",
                "Requests of tenants for which a grant was asked",
                &metrics.admissions,
            ),
            (
                "warm_up_grants_asked",
                "Requests to engines that warm up for which a grant was asked",
                &metrics.grants_asked,
            ),
            ("disk_commits", "Transactions of the disk", &metrics.commits),
            (
                "disk_commit_micros",
                "Microseconds spent in transactions of the disk",
                &metrics.commit_micros,
            ),
            (
                "disk_failures",
                "Times that the disk failed",
                &metrics.disk_failures,
            ),
            (
                "replica_set_changes",
                "Changes of the replica set that this node wrote",
                &metrics.set_changes,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        let gauges = [
            ("turns", "Turns that are kept", &metrics.turns),
            (
                "limited_tenants",
                "Tenants of whose limits something was given out lately",
                &metrics.limited_tenants,
            ),
            ("ledgers", "Ledgers that are kept", &metrics.ledgers),
            (
                "turn_bytes",
                "Bytes of the turns that are kept",
                &metrics.turn_bytes,
            ),
            (
                "replica_set_epoch",
                "Epoch of the replica set",
                &metrics.replica_set_epoch,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
        metrics
    }
}
