//! Counters of the membership state machine.

/// Counts since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages handed to the links.
    pub messages_sent: u64,
    /// Handled [`crate::Event::Timer`] events.
    pub timers: u64,
    /// Members that this node suspected.
    pub suspicions: u64,
    /// Members that this node declared Dead.
    pub deaths_declared: u64,
    /// Claims about this node that it refuted.
    pub refutations: u64,
    /// Pauses of this process that it detected.
    pub own_pauses: u64,
    /// Dead claims from table comparisons and join answers that this node started to verify by a probe.
    pub dead_claims_verified: u64,
}
