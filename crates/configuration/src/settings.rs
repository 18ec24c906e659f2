//! Settings and time constants of the configuration role.

use std::time::Duration;

use ridgeworks_domain::{NodeId, ZoneName};

/// How long a node may serve after it sent the renewal that a majority answered.
pub const LEASE_TIME: Duration = Duration::from_secs(3);
/// Time between renewals of a node.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two [`crate::effect::Event::Tick`] events that the host should keep.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// An accepted revision is in force on every node that accepts work after this time at most.
pub const STALENESS_BOUND: Duration = Duration::from_secs(4);

/// Settings of the configuration role of one node.
#[derive(Debug, Clone)]
pub struct ConfigurationSettings {
    /// This node.
    pub node: NodeId,
    /// The configuration voters in order of rank, the same list on every node.
    pub voters: Vec<NodeId>,
    /// Seed of the jitter of retries.
    pub seed: u64,
}

/// A node of the membership, as far as relays are concerned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The node.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneName,
}
