//! Settings of failure detection and dissemination.

use std::time::Duration;

/// Settings of the membership protocol. `docs/design/failure-detection.md` gives the figures for the
/// defaults.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipConfig {
    /// Time without a message from a monitored member after which a monitor probes it.
    pub probe_interval: Duration,
    /// Time without a message from a relay of another zone after which a relay probes it.
    pub relay_probe_interval: Duration,
    /// Time after an unanswered probe at which the member is suspected.
    pub probe_timeout: Duration,
    /// Time between probes of an unresponsive member.
    pub suspect_probe_interval: Duration,
    /// Time between requests to others to probe a suspected member.
    pub indirect_probe_interval: Duration,
    /// Time from the first unanswered probe until a member is declared Dead. Must exceed the longest
    /// tolerated pause of a process by more than the delays of network and scheduler.
    pub confirm_timeout: Duration,
    /// Time from the closing of the link to a member, or from earlier evidence of its failure, until
    /// the member is declared Dead. The closing indicates that its process ended or its machine
    /// restarted. A node that probes the member only temporarily waits `confirm_timeout` instead.
    pub link_closed_confirm_timeout: Duration,
    /// A timer that is late by more than this indicates that this process itself was paused.
    pub pause_threshold: Duration,
    /// Factor on the confirmation time while this node receives no messages from other members.
    pub isolation_factor: u32,
    /// Number of monitors of each member.
    pub monitors: usize,
    /// Number of members asked to probe a suspected member.
    pub indirect_probes: usize,
    /// Number of relays of each zone.
    pub relays_per_zone: usize,
    /// Time for which updates are collected before they are sent together.
    pub flush_delay: Duration,
    /// Number of later probes and answers on which an update is piggybacked.
    pub piggyback_copies: u32,
    /// Time between comparisons of the table with one other member's.
    pub anti_entropy_interval: Duration,
    /// Time between comparisons of the table during `newcomer_period`, since a new member may have
    /// missed concurrent joins.
    pub newcomer_anti_entropy_interval: Duration,
    /// Time between join requests while this node knows no other present member.
    pub join_retry_interval: Duration,
    /// Time between join requests to seeds that are not present members.
    pub seed_interval: Duration,
    /// Time after its start for which a node sends its record with its probes, and treats a claim of
    /// a later generation of itself as the effect of a clock set back instead of as its replacement.
    pub newcomer_period: Duration,
    /// Time between pings of a Dead member, by which the end of a network partition is detected.
    pub reconnect_interval: Duration,
    /// Time for which Dead and Left members are kept in the table.
    pub retention: Duration,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(300),
            relay_probe_interval: Duration::from_millis(500),
            probe_timeout: Duration::from_millis(150),
            suspect_probe_interval: Duration::from_millis(100),
            indirect_probe_interval: Duration::from_millis(200),
            confirm_timeout: Duration::from_millis(850),
            link_closed_confirm_timeout: Duration::from_millis(600),
            pause_threshold: Duration::from_millis(200),
            isolation_factor: 3,
            monitors: 3,
            indirect_probes: 3,
            relays_per_zone: 3,
            flush_delay: Duration::from_millis(5),
            piggyback_copies: 3,
            anti_entropy_interval: Duration::from_secs(2),
            newcomer_anti_entropy_interval: Duration::from_millis(200),
            join_retry_interval: Duration::from_millis(500),
            seed_interval: Duration::from_secs(10),
            newcomer_period: Duration::from_secs(5),
            reconnect_interval: Duration::from_secs(1),
            retention: Duration::from_secs(24 * 60 * 60),
        }
    }
}
