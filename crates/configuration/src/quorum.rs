//! Majorities of the fixed list of voters, and what their answers prove.

use ridgeworks_domain::NodeId;

use crate::revision::Revision;

/// The fixed list of voters, in order of rank.
#[derive(Debug, Clone)]
pub struct Voters {
    nodes: Vec<NodeId>,
}

/// What the answers of at least a majority prove.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Standing {
    /// No revision above this one was accepted before the question was sent. Every accepted
    /// revision is on a majority, which meets the majority that answered with the lowest numbers.
    pub needed: Revision,
    /// The highest revision that a majority holds.
    pub held: Revision,
}

impl Voters {
    /// The voters in order of rank.
    pub fn new(nodes: Vec<NodeId>) -> Self {
        Self { nodes }
    }

    /// All voters in order of rank.
    pub fn nodes(&self) -> &[NodeId] {
        &self.nodes
    }

    /// Position of a voter in the list.
    pub fn rank(&self, node: NodeId) -> Option<usize> {
        self.nodes.iter().position(|voter| *voter == node)
    }

    /// Whether `node` is a voter.
    pub fn contains(&self, node: NodeId) -> bool {
        self.nodes.contains(&node)
    }

    /// Voters that make a majority.
    pub fn majority(&self) -> usize {
        self.nodes.len() / 2 + 1
    }

    /// Other voters that a voter without its disk must hear: they meet every majority that the
    /// voter may have been part of.
    pub fn recovery_quorum(&self) -> usize {
        (self.nodes.len() + 1 - self.majority()).max(1)
    }

    /// What answers of distinct voters prove; `None` for less than a majority.
    pub fn standing(&self, answers: impl IntoIterator<Item = Revision>) -> Option<Standing> {
        let mut newest: Vec<Revision> = answers.into_iter().collect();
        newest.sort_unstable();
        let majority = self.majority();
        if newest.len() < majority {
            return None;
        }
        Some(Standing {
            needed: newest[majority - 1],
            held: newest[newest.len() - majority],
        })
    }
}
