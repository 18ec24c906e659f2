//! Ballot numbers, which order the attempts of nodes to own a run or lead the configuration.

use std::fmt;

use rkyv::{Archive, Deserialize, Serialize};

use crate::identifiers::NodeId;

/// Ballot number of one node; a higher ballot supersedes a lower one. A ballot contains its node, so two
/// nodes never use the same one; ballots of equal rounds are ordered by node.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize,
)]
#[rkyv(derive(Debug, PartialEq, Eq, PartialOrd, Ord, Hash))]
pub struct Ballot {
    /// Counter, chosen above every round that the node has seen.
    pub round: u64,
    /// Node that uses the ballot.
    pub node: NodeId,
}

impl Ballot {
    /// The ballot below that of any node.
    pub const ZERO: Self = Self {
        round: 0,
        node: NodeId(0),
    };

    /// Returns a ballot of `node` that is higher than this one.
    pub fn next_for(self, node: NodeId) -> Self {
        Self {
            round: self.round + 1,
            node,
        }
    }
}

impl fmt::Display for Ballot {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.round, self.node)
    }
}
