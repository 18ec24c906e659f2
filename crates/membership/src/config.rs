//! Settings of failure detection and dissemination.

use std::time::Duration;

/// Settings; the defaults are those measured in `docs/design/failure-detection.md`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipConfig {
    /// How often a monitor makes sure that it heard from a member of its zone.
    pub probe_interval: Duration,
    /// How often a relay makes sure that it heard from the relays of another zone.
    pub relay_probe_interval: Duration,
    /// How long a probe may stay unanswered before the member is suspected.
    pub probe_timeout: Duration,
    /// How often a suspected member is probed again.
    pub suspect_probe_interval: Duration,
    /// How often others are asked to probe a suspected member.
    pub indirect_probe_interval: Duration,
    /// Time from the first unanswered probe until a member is declared Dead. Must exceed the longest
    /// freeze that is to be forgiven by more than the delays of network and scheduler.
    pub confirm_timeout: Duration,
    /// The same when the member's link was closed: its process ended or its machine restarted.
    pub link_closed_confirm_timeout: Duration,
    /// A timer that runs later than this shows that this node itself was paused.
    pub pause_threshold: Duration,
    /// By how much the confirmation time grows while this node hears from nobody at all.
    pub isolation_factor: u32,
    /// Monitors of each member.
    pub monitors: usize,
    /// Members asked to probe a suspected one.
    pub indirect_probes: usize,
    /// Relays of each zone.
    pub relays_per_zone: usize,
    /// How long updates are gathered before they go out together.
    pub flush_delay: Duration,
    /// How often an update is repeated on later probes to other members.
    pub piggyback_copies: u32,
    /// How often the table is compared with one other member's.
    pub anti_entropy_interval: Duration,
    /// The same for a newcomer, which may have missed the joins of others around its own.
    pub newcomer_anti_entropy_interval: Duration,
    /// How often a join is repeated until a seed answers.
    pub join_retry_interval: Duration,
    /// How often a seed that is no present member is tried.
    pub seed_interval: Duration,
    /// For how long after its start a node introduces itself with its probes, and takes a claim of
    /// a later start of its name for a clock that went back rather than for its replacement.
    pub newcomer_period: Duration,
    /// How often one Dead member is tried again, so that a healed cut is noticed.
    pub reconnect_interval: Duration,
    /// How long Dead and Left members stay known.
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
