//! Ballots: the ordered claims by which nodes compete for a run or for the configuration.

use std::fmt;

use rkyv::{Archive, Deserialize, Serialize};

use crate::identifiers::NodeId;

/// A claim of one node; a higher ballot supersedes a lower one. Ties of `round` are broken by node,
/// so two nodes never hold the same ballot.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize,
)]
#[rkyv(derive(Debug, PartialEq, Eq, PartialOrd, Ord, Hash))]
pub struct Ballot {
    /// Counter raised above every round the claimant has seen.
    pub round: u64,
    /// The claimant.
    pub node: NodeId,
}

impl Ballot {
    /// The ballot below every claim.
    pub const ZERO: Self = Self {
        round: 0,
        node: NodeId(0),
    };

    /// The lowest ballot of `node` above this one.
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
