//! A simulator of nodes, disks, back ends and callers under virtual time, from one seed.

pub mod backend;
pub mod checks;
pub mod client;
pub mod disk;
pub mod node;
pub mod world;

/// A mechanism taken away in the harness, to see that the checks notice. Product code knows nothing of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weakening {
    /// Promises are lost in a crash.
    PromiseNotDurable,
    /// Replies leave before the writes that they speak of are durable.
    ReplyBeforeFlush,
    /// Replicas take appends of lower ballots than they promised.
    LowerBallotAccepted,
    /// New owners see only what their donors know to be committed.
    AcceptedNotAdopted,
    /// Nothing is reserved for calls.
    NothingReserved,
    /// Attempts leave at the grant, before `Dispatched` is committed.
    SentBeforeDispatched,
    /// New owners go on without asking back ends about doubtful attempts.
    NotFenced,
    /// Owners take their own word that they still own the run.
    NotConfirmed,
    /// Children spend without their parent's budget being set aside.
    ChildNotCarved,
    /// A replica that lost its disk comes back under its old identity.
    IdentityKept,
}
