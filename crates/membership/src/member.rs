//! Members of the cluster, and claims about their state.

use std::net::SocketAddr;

use ridgeworks_domain::{NodeId, RegionName, ZoneName};
use rkyv::{Archive, Deserialize, Serialize};

/// Number of low bits of an incarnation that count refutations within one generation.
const REFUTATION_BITS: u32 = 16;

/// Orders the successive processes of one node name, and the claims about each of them. The high bits
/// (the generation) are the wall clock time at the start of the process, so that a replacement of the
/// same name supersedes its predecessor; the low bits count how often the process refuted a claim
/// about itself.
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

    /// The first incarnation of the next generation.
    pub fn next_generation(self) -> Self {
        Self((self.generation() + 1) << REFUTATION_BITS)
    }

    /// The part that identifies one start of the process. Name, address, zone and disk are fixed
    /// within one generation.
    pub fn generation(self) -> u64 {
        self.0 >> REFUTATION_BITS
    }
}

/// State of a member. The order of the variants is the order of precedence at equal incarnation.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize,
)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Does not currently answer this node's probes. Local to this node and never merged from others;
    /// its only effect is that other nodes are asked first.
    Suspect,
    /// Announced that it is leaving; drains its work and accepts no new work.
    Leaving,
    /// Did not answer within the confirmation timeout.
    Dead,
    /// Left as planned.
    Left,
}

impl MemberState {
    /// Whether the member is eligible for new work.
    pub fn accepts_work(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect)
    }

    /// Whether the member takes part in probing and dissemination.
    pub fn is_present(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect | Self::Leaving)
    }
}

/// A claim about a node: its state at an incarnation. Ordered by precedence.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize,
)]
pub struct Claim {
    /// The incarnation that the claim is about.
    pub incarnation: Incarnation,
    /// The claimed state.
    pub state: MemberState,
}

/// A claim with the node that it is about. Disseminated instead of the complete record once the node
/// is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Archive, Serialize, Deserialize)]
pub struct NodeClaim {
    /// The node that the claim is about.
    pub node: NodeId,
    /// The claim.
    pub claim: Claim,
}

/// The complete record of a member.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Member {
    /// Its identifier, derived from `name`.
    pub node: NodeId,
    /// Its configured name.
    pub name: String,
    /// Incarnation of the process of that name.
    pub incarnation: Incarnation,
    /// Address that other nodes connect to.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Whether it has the replica role.
    pub has_disk: bool,
    /// Its state.
    pub state: MemberState,
}

impl Member {
    /// The claim that this record makes.
    pub fn claim(&self) -> Claim {
        Claim {
            incarnation: self.incarnation,
            state: self.state,
        }
    }

    /// The claim that this record makes, with its node.
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
