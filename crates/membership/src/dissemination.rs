//! Updates on their way to other members: gathered for a moment, passed on once to the fingers, then
//! repeated a bounded number of times on probes.

use std::collections::{BTreeMap, BTreeSet};

use ridgeworks_domain::{MonotonicTime, NodeId};

use crate::config::MembershipConfig;
use crate::member::{Claim, NodeClaim};

/// Most claims added to one probe or answer.
const MAX_PIGGYBACKED_CLAIMS: usize = 4;
/// Most claims kept for piggybacking; older ones are left to anti-entropy.
const MAX_REPEATED_CLAIMS: usize = 1024;

/// What is due to go to the fingers.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// Claims about members whose record is widely known.
    pub claims: Vec<NodeClaim>,
    /// Nodes whose whole record goes out.
    pub records: BTreeSet<NodeId>,
}

#[derive(Debug)]
struct Repeated {
    claimed: NodeClaim,
    copies_left: u32,
}

/// Updates waiting to go out.
#[derive(Debug, Default)]
pub struct Dissemination {
    claims: BTreeMap<NodeId, Claim>,
    records: BTreeSet<NodeId>,
    flush_at: Option<MonotonicTime>,
    repeated: Vec<Repeated>,
}

impl Dissemination {
    /// Queues a claim about a known member.
    pub fn add_claim(&mut self, claimed: NodeClaim, now: MonotonicTime, config: &MembershipConfig) {
        self.claims.insert(claimed.node, claimed.claim);
        self.schedule(now, config);
        self.repeated
            .retain(|repeated| repeated.claimed.node != claimed.node);
        if self.repeated.len() < MAX_REPEATED_CLAIMS {
            let copies_left = config.piggyback_copies;
            self.repeated.push(Repeated {
                claimed,
                copies_left,
            });
        }
    }

    /// Queues the whole record of a member that joined or was replaced.
    pub fn add_record(&mut self, node: NodeId, now: MonotonicTime, config: &MembershipConfig) {
        self.claims.remove(&node);
        self.records.insert(node);
        self.schedule(now, config);
    }

    /// What is due, if anything is.
    pub fn take_due(&mut self, now: MonotonicTime) -> Option<Batch> {
        let flush_at = self.flush_at?;
        if flush_at > now {
            return None;
        }
        Some(self.take_all())
    }

    /// All that is queued, due or not.
    pub fn take_all(&mut self) -> Batch {
        self.flush_at = None;
        let claims = std::mem::take(&mut self.claims);
        let claims = claims.into_iter();
        Batch {
            claims: claims
                .map(|(node, claim)| NodeClaim { node, claim })
                .collect(),
            records: std::mem::take(&mut self.records),
        }
    }

    /// Claims to add to a probe or an answer.
    pub fn piggyback(&mut self) -> Vec<NodeClaim> {
        let chosen = self.repeated.iter_mut().take(MAX_PIGGYBACKED_CLAIMS);
        let claims = chosen
            .map(|repeated| {
                repeated.copies_left = repeated.copies_left.saturating_sub(1);
                repeated.claimed
            })
            .collect();
        self.repeated.retain(|repeated| repeated.copies_left > 0);
        claims
    }

    /// When [`Dissemination::take_due`] has something.
    pub fn next_timer(&self) -> Option<MonotonicTime> {
        self.flush_at
    }

    fn schedule(&mut self, now: MonotonicTime, config: &MembershipConfig) {
        self.flush_at.get_or_insert(now + config.flush_delay);
    }
}
