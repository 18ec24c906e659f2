//! A member of the cluster and what can be claimed of it.

use std::net::SocketAddr;

use ridgeworks_domain::{NodeId, RegionName, ZoneName};
use rkyv::{Archive, Deserialize, Serialize};

/// Bits of an incarnation that count refutations within one start of a process.
const REFUTATION_BITS: u32 = 16;

/// Orders the lives of one node name. The high bits (the generation) come from the wall clock at
/// the start of the process, so that a replacement of the same name supersedes its predecessor; the
/// low bits count how often the process refuted a claim about itself.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Archive,
    Serialize,
    Deserialize,
)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// The first incarnation of a process that started at this wall clock time, in milliseconds
    /// since the Unix epoch.
    pub fn at_start(unix_ms: u64) -> Self {
        Self(unix_ms << REFUTATION_BITS)
    }

    /// The incarnation that refutes claims about this one.
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// The first incarnation of the start of a process after this one.
    pub fn next_generation(self) -> Self {
        Self((self.generation() + 1) << REFUTATION_BITS)
    }

    /// Which start of a process this belongs to. Name, address, zone and disk are fixed within one
    /// generation.
    pub fn generation(self) -> u64 {
        self.0 >> REFUTATION_BITS
    }
}

/// State of a member. The order of the variants is the order of precedence at equal incarnation.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize,
)]
pub enum MemberState {
    /// Answers.
    Alive,
    /// Does not answer this node at the moment. Local to the node that sees it, never merged from
    /// others; the only thing to do about it is to ask another node first.
    Suspect,
    /// Announced that it is leaving; finishes what it has and takes nothing new.
    Leaving,
    /// Did not answer for the confirmation time.
    Dead,
    /// Left on purpose.
    Left,
}

impl MemberState {
    /// Whether the member may be given new work.
    pub fn accepts_work(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }

    /// Whether the member takes part in probing and dissemination.
    pub fn is_present(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect | Self::Leaving)
    }
}

/// What one node says of another: a state at an incarnation. Ordered by precedence.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize,
)]
pub struct Claim {
    /// The incarnation it speaks of.
    pub incarnation: Incarnation,
    /// The state claimed.
    pub state: MemberState,
}

/// A claim about a named node, as dissemination carries it once the node is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize)]
pub struct NodeClaim {
    /// The node spoken of.
    pub node: NodeId,
    /// What is claimed.
    pub claim: Claim,
}

/// All that is known of a member.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Member {
    /// Its identifier, derived from `name`.
    pub node: NodeId,
    /// Its configured name.
    pub name: String,
    /// Which life of that name this is.
    pub incarnation: Incarnation,
    /// Where other nodes dial it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Whether it carries the replica role.
    pub has_disk: bool,
    /// Its state.
    pub state: MemberState,
}

impl Member {
    /// The state and incarnation, without the rest.
    pub fn claim(&self) -> Claim {
        Claim {
            incarnation: self.incarnation,
            state: self.state,
        }
    }

    /// The claim with the node it speaks of.
    pub fn node_claim(&self) -> NodeClaim {
        NodeClaim {
            node: self.node,
            claim: self.claim(),
        }
    }

    /// Whether `self` takes precedence over `other` as a record of the same node. A total order, so
    /// that merging is commutative, associative and idempotent.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.precedence() > other.precedence()
    }

    fn precedence(&self) -> (Claim, SocketAddr, &str, &ZoneName, &RegionName, bool) {
        (
            self.claim(),
            self.address,
            &self.name,
            &self.zone,
            &self.region,
            self.has_disk,
        )
    }
}
