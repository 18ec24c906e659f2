//! Identifiers of what is replicated and of who keeps it.

use std::fmt;

use rkyv::{Archive, Deserialize, Serialize};

/// One life of a replica's disk. A replica whose disk was lost is another replica.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Archive,
    Serialize,
    Deserialize,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct ReplicaId(pub u64);

impl fmt::Display for ReplicaId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Version of the replica set; each change of the set has a higher one.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Archive,
    Serialize,
    Deserialize,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct Epoch(pub u64);

/// One attempt of a client at one turn.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Archive, Serialize, Deserialize)]
#[rkyv(derive(PartialEq, Eq, PartialOrd, Ord))]
pub struct TurnId(pub String);

/// One execution of a program, as its client names it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Archive, Serialize, Deserialize)]
#[rkyv(derive(PartialEq, Eq, PartialOrd, Ord))]
pub struct ProgramId(pub String);

/// Which record.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Archive, Serialize, Deserialize)]
pub enum RecordKey {
    /// The record of a turn.
    Turn(TurnId),
    /// The ledger of a program.
    Ledger(ProgramId),
}
