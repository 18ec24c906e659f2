//! Settings and time constants of the configuration role.

use std::time::Duration;

use ridgeworks_domain::{NodeId, ZoneName};

/// How long a lease is valid, counted from the sending of the renewal.
pub const LEASE_DURATION: Duration = Duration::from_secs(3);
/// Time between renewals of a node.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the host sends [`crate::effect::Event::Tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum time from the acceptance of a revision until it is in force on every node that accepts
/// work.
pub const STALENESS_BOUND: Duration = Duration::from_secs(4);

/// Time between retries of a renewal that the voters have not granted.
pub const RENEW_RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Time between retries of a renewal that a relay has not answered; longer than
/// [`RELAY_BATCH_INTERVAL`] plus a round trip.
pub const RELAY_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a node stops waiting for a relay and asks the voters; leaves a second of the
/// lease for them.
pub const RELAY_TIMEOUT: Duration = Duration::from_millis(950);
/// Minimum time between two renewals that a relay sends for its clients.
pub const RELAY_BATCH_INTERVAL: Duration = Duration::from_millis(450);
/// Minimum time between two pushes to the clients of a node; the first of a burst is sent at once.
pub const PUSH_INTERVAL: Duration = Duration::from_millis(100);
/// A client that has not renewed for this long is removed.
pub const CLIENT_EXPIRY: Duration = Duration::from_secs(3);
/// Number of members of a zone per relay.
pub const MEMBERS_PER_RELAY: usize = 16;
/// Maximum number of clients of one relay.
pub const MAX_RELAY_CLIENTS: usize = 32;
/// Time between reports of its versions that a voter sends to the other voters.
pub const VERSION_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Answers of voters count together only while their requests are younger than this.
pub const QUORUM_WINDOW: Duration = LEASE_DURATION;
/// Time after which a voter with a lost disk asks the other voters. Longer than [`QUORUM_WINDOW`],
/// so that answers given from the lost disk no longer count.
pub const DISK_LOSS_QUARANTINE: Duration = Duration::from_secs(4);
/// Time between retries of requests to voters or the platform.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a platform operation without an answer counts as lost.
pub const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a change that was not sent to the platform is refused.
pub const QUEUED_CHANGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a change that was sent to the platform is answered without waiting longer.
pub const SENT_CHANGE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which a read is refused.
pub const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between reads by which a watcher detects events that its watch missed.
pub const RELIST_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of voters that watch the platform, by rank.
pub const MAX_WATCHERS: usize = 3;
/// Maximum number of open changes on one node.
pub const MAX_OPEN_CHANGES: usize = 256;
/// Maximum number of changes in one write of the platform's document.
pub const MAX_CHANGES_PER_WRITE: usize = 64;

/// Settings of the configuration role of one node.
#[derive(Debug, Clone)]
pub struct ConfigurationSettings {
    /// This node.
    pub node: NodeId,
    /// The configuration voters in order of rank, the same list on every node.
    pub voters: Vec<NodeId>,
    /// A number that differs at each start of the process. Request identifiers start from it, so
    /// that an answer to the process before a restart is not mistaken for one to this process.
    pub seed: u64,
}

/// A live member, as needed for the choice of relays.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The node.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneName,
}
