//! Replicas, gateways and the register under virtual time, with faults. The state machines are
//! those of the product; the simulator drives them.

pub mod gateway;
pub mod storage;
pub mod world;

/// The mechanism that a simulation disables, to show that the checks detect its absence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DisabledMechanism {
    /// All mechanisms are enabled.
    None,
    /// A gateway decides by the ledger of one replica instead of the merged ledgers.
    NoUnion,
    /// Replies don't wait for the disk.
    NoSync,
    /// One replica without a record counts as proof that there is none.
    NoReadMajority,
    /// A set change completes without a copy.
    NoCopy,
    /// Replicas accept requests of any epoch.
    NoEpochs,
    /// A set change completes with the records that new members copied before the joint step,
    /// without waiting until records that changed since are copied.
    NoRest,
    /// Positions in a replica's change log stay valid after a restart.
    NoLives,
    /// A voter acknowledges a turn without the turns before it.
    NoChainRepair,
    /// A ledger that is still on the disk only is changed as if there were none.
    NoRestoredLedgers,
    /// Entries that a replica of the newest majority lacks are not written again.
    NoWriteBack,
}

/// How long programs and their records live. Times are in milliseconds of virtual time.
#[derive(Debug, Clone, Copy)]
pub struct Profile {
    /// Longest pause of a program after which it goes on.
    pub retention: u64,
    /// How long records are kept after their last change: the retention, and the longest that two operations take.
    pub ttl: u64,
    pub operation_timeout: u64,
    /// Fewest and most turns that a program's budget holds.
    pub budget_turns: (u64, u64),
    /// How long gateways prefer the same replicas for a program's ledger.
    pub preference_period: Option<u64>,
    /// How long requests about a ledger are repeated to the same replicas before all are asked.
    pub hedge_delay: u64,
}

impl Profile {
    /// Programs and records that last until the end.
    pub const ENDLESS: Self = Self {
        retention: 1 << 39,
        ttl: 1 << 40,
        operation_timeout: 1_500,
        budget_turns: (8, 8),
        preference_period: None,
        hedge_delay: 0,
    };

    /// Records expire, and a replica may hear nothing of a living program for longer than it keeps records.
    pub const EXPIRING: Self = Self {
        retention: 600,
        ttl: 2_800,
        operation_timeout: 1_000,
        budget_turns: (8, 30),
        preference_period: Some(3_400),
        hedge_delay: 400,
    };
}

/// Result of a simulation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Turns that ran after a program had exceeded its budget by more than one turn.
    pub overspent: u64,
    /// Reads in which an acknowledged turn was reported missing, or its chain was wrong.
    pub lost_turns: u64,
    /// Reads that returned a turn that was never written.
    pub invented_turns: u64,
    /// Turns answered completely.
    pub answered: u64,
    /// Completed reads.
    pub chains_read: u64,
    pub set_changes: u64,
    pub wipes: u64,
    /// Turns copied before the set changed.
    pub prepared_turns: u64,
    /// Turns copied while the set was joint.
    pub copied_turns: u64,
    /// Turns copied by voters that had missed them.
    pub repaired_turns: u64,
    /// Entries of ledgers written again.
    pub written_back: u64,
}

impl Outcome {
    /// Number of violated invariants.
    pub fn violations(&self) -> u64 {
        self.overspent + self.lost_turns + self.invented_turns
    }

    pub fn add(&mut self, other: &Self) {
        self.overspent += other.overspent;
        self.lost_turns += other.lost_turns;
        self.invented_turns += other.invented_turns;
        self.answered += other.answered;
        self.chains_read += other.chains_read;
        self.set_changes += other.set_changes;
        self.wipes += other.wipes;
        self.prepared_turns += other.prepared_turns;
        self.copied_turns += other.copied_turns;
        self.repaired_turns += other.repaired_turns;
        self.written_back += other.written_back;
    }
}
