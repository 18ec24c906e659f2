//! Deterministic simulator of nodes, disks, back ends and clients in virtual time, driven by one seed.

pub mod backend;
pub mod checks;
pub mod client;
pub mod disk;
pub mod node;
pub mod world;

/// A safety mechanism that the simulator disables, to verify that the checks detect its absence. Only the
/// simulator is changed, not the code under test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weakening {
    /// Promises are lost in a crash.
    PromiseNotDurable,
    /// Replies are sent before the writes that they depend on are durable.
    ReplyBeforeFlush,
    /// Replicas accept appends with ballots below the promised one.
    LowerBallotAccepted,
    /// New owners adopt only entries that their source knows to be committed.
    AcceptedNotAdopted,
    /// Calls are sent with a reserve of zero.
    NothingReserved,
    /// Attempts are sent when the slot is granted, before `Dispatched` is committed.
    SentBeforeDispatched,
    /// New owners continue without fencing the live attempt.
    NotFenced,
    /// Owners assume that they still own the run, without a majority's confirmation.
    NotConfirmed,
    /// Child runs spend without a reserve in their parent's budget.
    ChildBudgetNotReserved,
    /// A replica that lost its disk restarts with its old identity.
    IdentityKept,
}
