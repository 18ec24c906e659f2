//! Counters of the membership state machine.

/// What was counted since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages handed to the links.
    pub messages_sent: u64,
    /// Events of [`crate::Event::Timer`] taken; the host sets one timer for what is due next.
    pub timers: u64,
    /// Members that this node suspected.
    pub suspicions: u64,
    /// Members that this node declared Dead.
    pub deaths_declared: u64,
    /// Claims about this node that it refuted.
    pub refutations: u64,
    /// Pauses of this process that it noticed.
    pub own_pauses: u64,
    /// Dead claims learned in table comparison that were checked before they were taken.
    pub dead_claims_verified: u64,
}
