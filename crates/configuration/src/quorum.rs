//! Quorums of the fixed list of voters.

use ridgeworks_domain::NodeId;

use crate::revision::Revision;

/// The fixed list of voters in order of rank.
#[derive(Debug, Clone)]
pub struct Voters {
    nodes: Vec<NodeId>,
}

/// What the answers of at least a majority imply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuorumResult {
    /// No revision above this one was accepted before the request was sent. A majority holds every
    /// accepted revision, and it intersects the majority that answered with the lowest revisions.
    pub required: Revision,
    /// The highest revision that a majority is known to hold.
    pub held: Revision,
}

impl Voters {
    /// `nodes` are in order of rank, the same on every node.
    pub fn new(nodes: Vec<NodeId>) -> Self {
        Self { nodes }
    }

    /// All voters in order of rank.
    pub fn nodes(&self) -> &[NodeId] {
        &self.nodes
    }

    /// Position of a voter in the list; `None` if `node` is not a voter.
    pub fn rank(&self, node: NodeId) -> Option<usize> {
        self.nodes.iter().position(|voter| *voter == node)
    }

    /// Whether `node` is a voter.
    pub fn contains(&self, node: NodeId) -> bool {
        self.nodes.contains(&node)
    }

    /// Number of voters in a majority.
    pub fn majority(&self) -> usize {
        self.nodes.len() / 2 + 1
    }

    /// Number of other voters whose answers a voter with a lost disk needs. They intersect every
    /// majority that the voter may have been part of.
    pub fn recovery_quorum(&self) -> usize {
        (self.nodes.len() + 1 - self.majority()).max(1)
    }

    /// Evaluates answers of distinct voters; `None` for less than a majority.
    pub fn quorum_result(
        &self,
        answers: impl IntoIterator<Item = Revision>,
    ) -> Option<QuorumResult> {
        let mut newest: Vec<Revision> = answers.into_iter().collect();
        newest.sort_unstable();
        let majority = self.majority();
        if newest.len() < majority {
            return None;
        }
        Some(QuorumResult {
            required: newest[majority - 1],
            held: newest[newest.len() - majority],
        })
    }
}
