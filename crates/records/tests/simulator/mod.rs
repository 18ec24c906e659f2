//! Replicas, gateways and the register under virtual time, with everything that can go wrong between
//! them. The state machines are those of the product; only their drivers stand here.

pub mod gateway;
pub mod storage;
pub mod world;

/// A mechanism that is left out, to see that the checks notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weakening {
    /// Nothing is left out.
    None,
    /// A gateway decides on the ledger of one replica instead of the union.
    NoUnion,
    /// Replies do not wait for the disk.
    NoSync,
    /// One replica without a record is taken for proof that there is none.
    NoReadMajority,
    /// A changed set is completed without a copy.
    NoCopy,
    /// Replicas take requests of any epoch.
    NoEpochs,
    /// A change is completed on what newcomers copied before it, without the rest.
    NoRest,
    /// Positions in a replica's list of changes count on after it has started anew.
    NoLives,
}

/// What a schedule showed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Tokens handed out beyond a budget and one turn.
    pub overspent: u64,
    /// Acknowledged turns of which a gateway said that they do not exist, or whose chain was wrong.
    pub lost_turns: u64,
    /// Turns that were read although nobody wrote them.
    pub invented_turns: u64,
    /// Turns answered whole.
    pub answered: u64,
    /// Chains read.
    pub chains_read: u64,
    /// Changes of the replica set.
    pub set_changes: u64,
    /// Disks lost.
    pub wipes: u64,
    /// Records of turns copied before the set changed.
    pub prepared_turns: u64,
    /// Records of turns copied while the set was changing.
    pub copied_turns: u64,
}

impl Outcome {
    /// Number of broken promises.
    pub fn violations(&self) -> u64 {
        self.overspent + self.lost_turns + self.invented_turns
    }

    /// Adds another schedule's.
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
    }
}
