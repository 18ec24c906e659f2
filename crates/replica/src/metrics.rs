//! Counters and gauges of a replica.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// The metrics of a replica.
pub struct ReplicaMetrics {
    /// Requests from other nodes.
    pub requests: Counter,
    /// Requests of tenants that were checked against a rate limit.
    pub admissions: Counter,
    /// Requests to warming-up engines that were checked against a warm-up limit.
    pub grants_asked: Counter,
    /// Tenants that were recently granted requests.
    pub limited_tenants: Gauge,
    /// Batches submitted to the disk.
    pub batches: Counter,
    /// Transactions of the disk, each of which writes all waiting batches.
    pub commits: Counter,
    /// Time spent in transactions, in microseconds.
    pub commit_micros: Counter,
    /// Failures of the disk.
    pub disk_failures: Counter,
    /// Changes of replica sets written by this node.
    pub set_changes: Counter,
    /// Chains of turns that were completed from other voters.
    pub chains_repaired: Counter,
    /// Turns that were copied for that.
    pub turns_repaired: Counter,
    /// Chains that could not be completed in time.
    pub chain_repairs_failed: Counter,
    /// Number of turns.
    pub turns: Gauge,
    /// Number of ledgers.
    pub ledgers: Gauge,
    /// Size of all turns, in bytes.
    pub turn_bytes: Gauge,
    /// Sum of the epochs of all replica sets.
    pub replica_set_epoch: Gauge,
}

impl ReplicaMetrics {
    /// Creates the metrics and registers them under their names.
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
            chains_repaired: Counter::default(),
            turns_repaired: Counter::default(),
            chain_repairs_failed: Counter::default(),
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
            (
                "chains_repaired",
                "Chains of turns that were completed from other voters",
                &metrics.chains_repaired,
            ),
            (
                "turns_repaired",
                "Turns that were copied from other voters to complete a chain",
                &metrics.turns_repaired,
            ),
            (
                "chain_repairs_failed",
                "Chains of turns that could not be completed in time",
                &metrics.chain_repairs_failed,
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
