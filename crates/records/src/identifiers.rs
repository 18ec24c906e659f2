//! Identifiers of records and of replicas.

use std::fmt;

use rkyv::{Archive, Deserialize, Serialize};

/// Identity of a replica's disk. A replica that lost its disk comes back under a new identity.
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

/// Version of a replica set; each change of the set increases it.
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

/// Separates a tenant's name from a client's identifier. No HTTP header can carry it, so a client
/// can't name what belongs to another tenant, and the last one in an identifier is always this
/// separator.
const TENANT_SEPARATOR: char = '·';

fn with_tenant(tenant: Option<&str>, id: &str) -> String {
    match tenant {
        Some(tenant) => format!("{tenant}{TENANT_SEPARATOR}{id}"),
        None => id.to_owned(),
    }
}

/// A client's attempt at one turn.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Archive, Serialize, Deserialize)]
#[rkyv(derive(PartialEq, Eq, PartialOrd, Ord))]
pub struct TurnId(pub String);

impl TurnId {
    /// A tenant's turn, from the client's identifier. Turns of two tenants always differ, whatever
    /// identifiers their clients choose.
    pub fn of(tenant: Option<&str>, id: &str) -> Self {
        Self(with_tenant(tenant, id))
    }

    /// The turn's identifier as the client sent it, without the tenant's name and an origin; for logs.
    pub fn request(&self) -> &str {
        let turn = self.without_origin();
        let own = turn.rsplit(TENANT_SEPARATOR).next();
        own.unwrap_or(turn)
    }
}

/// One execution of a program, identified by its client.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Archive, Serialize, Deserialize)]
#[rkyv(derive(PartialEq, Eq, PartialOrd, Ord))]
pub struct ProgramId(pub String);

impl ProgramId {
    /// A tenant's program, from the client's identifier.
    pub fn of(tenant: Option<&str>, id: &str) -> Self {
        Self(with_tenant(tenant, id))
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Archive, Serialize, Deserialize)]
pub enum RecordKey {
    Turn(TurnId),
    Ledger(ProgramId),
}
