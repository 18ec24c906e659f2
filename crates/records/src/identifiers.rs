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

/// Stands between a tenant's name and a client's own identifier. No header carries it, so that no client can name what belongs to
/// another tenant, and the last one in an identifier is always this.
const OWNER_END: char = '·';

fn owned(owner: Option<&str>, id: &str) -> String {
    match owner {
        Some(owner) => format!("{owner}{OWNER_END}{id}"),
        None => id.to_owned(),
    }
}

/// One attempt of a client at one turn.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Archive, Serialize, Deserialize)]
#[rkyv(derive(PartialEq, Eq, PartialOrd, Ord))]
pub struct TurnId(pub String);

impl TurnId {
    /// A turn of a tenant, by its client's identifier. Turns of two tenants are never the same, whatever their clients name them.
    pub fn of(owner: Option<&str>, id: &str) -> Self {
        Self(owned(owner, id))
    }

    /// The client's own identifier, which logs tell.
    pub fn request(&self) -> &str {
        let own = self.0.rsplit(OWNER_END).next();
        own.unwrap_or(&self.0)
    }
}

/// One execution of a program, as its client names it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Archive, Serialize, Deserialize)]
#[rkyv(derive(PartialEq, Eq, PartialOrd, Ord))]
pub struct ProgramId(pub String);

impl ProgramId {
    /// A program of a tenant, by its client's identifier.
    pub fn of(owner: Option<&str>, id: &str) -> Self {
        Self(owned(owner, id))
    }
}

/// Which record.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Archive, Serialize, Deserialize)]
pub enum RecordKey {
    /// The record of a turn.
    Turn(TurnId),
    /// The ledger of a program.
    Ledger(ProgramId),
}
