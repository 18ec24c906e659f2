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

/// Time between attempts of a renewal that the voters have not granted.
pub const RENEW_RETRY: Duration = Duration::from_millis(250);
/// Time between attempts of a renewal that a relay has not answered; longer than
/// [`RELAY_BATCH_INTERVAL`] with the way there and back.
pub const RELAY_RETRY: Duration = Duration::from_millis(500);
/// Time that a node gives a relay before it asks the voters. It then still has a second of its
/// lease for them.
pub const RELAY_PATIENCE: Duration = Duration::from_millis(950);
/// Shortest time between two renewals that a relay sends for its clients.
pub const RELAY_BATCH_INTERVAL: Duration = Duration::from_millis(450);
/// Shortest time between two pushes to the clients of a node; the first of a burst goes at once.
pub const PUSH_INTERVAL: Duration = Duration::from_millis(100);
/// A client that has not renewed for this long is forgotten.
pub const CLIENT_TIME: Duration = Duration::from_secs(3);
/// Members for each relay of a zone.
pub const MEMBERS_PER_RELAY: usize = 16;
/// Most clients of one relay.
pub const MAX_RELAY_CLIENTS: usize = 32;
/// Time between digests among voters.
pub const DIGEST_INTERVAL: Duration = Duration::from_millis(500);
/// Answers of voters count together only while their requests are younger than this.
pub const QUORUM_WINDOW: Duration = LEASE_TIME;
/// A voter without its disk asks the other voters only after this time: longer than
/// [`QUORUM_WINDOW`], so that no answer given from the lost disk counts any more.
pub const DISK_LOSS_QUARANTINE: Duration = Duration::from_secs(4);
/// Time between attempts to reach voters or the platform.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which an operation of the platform counts as lost.
pub const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a change that was never sent to the platform is refused.
pub const REFUSE_AFTER: Duration = Duration::from_secs(3);
/// Time after which a change that was sent, or its replication, is given up.
pub const GIVE_UP_AFTER: Duration = Duration::from_secs(10);
/// Time after which a read is given up.
pub const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between reads by which a watcher makes sure that its watch missed nothing.
pub const RELIST_INTERVAL: Duration = Duration::from_secs(5);
/// Most voters that watch the platform: the first of the list.
pub const MAX_WATCHERS: usize = 3;
/// Most changes open on one node.
pub const MAX_OPEN_CHANGES: usize = 256;
/// Most changes in one write of the platform's document.
pub const MAX_BATCH: usize = 64;

/// Settings of the configuration role of one node.
#[derive(Debug, Clone)]
pub struct ConfigurationSettings {
    /// This node.
    pub node: NodeId,
    /// The configuration voters in order of rank, the same list on every node.
    pub voters: Vec<NodeId>,
    /// A number that differs at each start of the process. Request numbers start from it, so that
    /// no answer to the process before a restart is taken for one to this process.
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
