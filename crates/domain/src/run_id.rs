//! Run identifiers, which encode the replicas that a run was opened on.
//!
//! Any node can locate a run's initial replicas by matching the identifier's hints against the nodes that
//! it knows, even after membership changes. A later change of the replica set is recorded in the run's
//! log, and the initial replicas redirect requests to the current ones.

use std::fmt;
use std::str::FromStr;

use rkyv::{Archive, Deserialize, Serialize};

use crate::identifiers::{IdentifierError, NodeId};

/// Number of replicas of each run.
pub const REPLICAS_PER_RUN: usize = 3;
/// Number of a run's initial replicas that form a majority.
pub const MAJORITY_OF_REPLICAS: usize = REPLICAS_PER_RUN / 2 + 1;

const HINT_BITS: u32 = 24;
const HINT_MASK: u128 = (1 << HINT_BITS) - 1;
const UNIQUE_BITS: u32 = 128 - HINT_BITS * REPLICAS_PER_RUN as u32;

/// The low 24 bits of a replica's [`NodeId`], as stored in a run identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ReplicaHint(u32);

impl ReplicaHint {
    /// Returns whether the low bits of `node` equal this hint; distinct nodes may share a hint.
    pub fn matches(self, node: NodeId) -> bool {
        Self::of(node) == self
    }

    fn of(node: NodeId) -> Self {
        Self((u128::from(node.0) & HINT_MASK) as u32)
    }
}

/// Identifies one execution of a program. The text form is 32 hexadecimal digits: 56 unique bits, then
/// a 24-bit hint for each of the initial replicas.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Archive,
    Serialize,
    Deserialize,
    serde::Serialize,
    serde::Deserialize,
)]
#[rkyv(derive(Debug, PartialEq, Eq, PartialOrd, Ord, Hash))]
#[serde(try_from = "String", into = "String")]
pub struct RunId(pub u128);

impl RunId {
    /// Builds an identifier from the low 56 bits of `unique`, which must not have been used before, and
    /// the run's initial replicas.
    pub fn from_parts(unique: u64, replicas: [NodeId; REPLICAS_PER_RUN]) -> Self {
        let unique = u128::from(unique) & ((1 << UNIQUE_BITS) - 1);
        let joined = replicas.iter().fold(unique, |joined, replica| {
            (joined << HINT_BITS) | u128::from(ReplicaHint::of(*replica).0)
        });
        Self(joined)
    }

    /// Returns the hints of the initial replicas, in the order given to [`RunId::from_parts`].
    pub fn replica_hints(self) -> [ReplicaHint; REPLICAS_PER_RUN] {
        std::array::from_fn(|index| {
            let shift = HINT_BITS * (REPLICAS_PER_RUN - 1 - index) as u32;
            ReplicaHint(((self.0 >> shift) & HINT_MASK) as u32)
        })
    }
}

impl fmt::Display for RunId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl FromStr for RunId {
    type Err = IdentifierError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| IdentifierError::NotHexadecimal)
    }
}

impl TryFrom<String> for RunId {
    type Error = IdentifierError;
    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<RunId> for String {
    fn from(run: RunId) -> String {
        run.to_string()
    }
}
