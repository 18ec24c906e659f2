//! Dissemination of updates: they are collected for a short time, sent once to the fingers, and
//! piggybacked a bounded number of times on probes and answers.

use std::collections::{BTreeMap, BTreeSet};

use ridgeworks_domain::{MonotonicTime, NodeId};

use crate::config::MembershipConfig;
use crate::member::{Claim, NodeClaim};

/// Maximum number of claims on one probe or answer.
const MAX_PIGGYBACKED_CLAIMS: usize = 4;
/// Maximum number of claims kept for piggybacking; further ones are left to anti-entropy.
const MAX_REPEATED_CLAIMS: usize = 1024;

/// Updates to send to the fingers.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// Claims about members whose record other members already hold.
    pub claims: Vec<NodeClaim>,
    /// Nodes whose complete record is sent.
    pub records: BTreeSet<NodeId>,
}

#[derive(Debug)]
struct PiggybackedClaim {
    claimed: NodeClaim,
    copies_left: u32,
}

/// Updates waiting to be sent.
#[derive(Debug, Default)]
pub struct Dissemination {
    claims: BTreeMap<NodeId, Claim>,
    records: BTreeSet<NodeId>,
    flush_at: Option<MonotonicTime>,
    piggybacked: Vec<PiggybackedClaim>,
}

impl Dissemination {
    /// Queues a claim about a known member.
    pub fn add_claim(&mut self, claimed: NodeClaim, now: MonotonicTime, config: &MembershipConfig) {
        self.claims.insert(claimed.node, claimed.claim);
        self.schedule(now, config);
        self.piggybacked
            .retain(|piggybacked| piggybacked.claimed.node != claimed.node);
        if self.piggybacked.len() < MAX_REPEATED_CLAIMS {
            let copies_left = config.piggyback_copies;
            self.piggybacked.push(PiggybackedClaim {
                claimed,
                copies_left,
            });
        }
    }

    /// Queues the complete record of a member that joined or was replaced.
    pub fn add_record(&mut self, node: NodeId, now: MonotonicTime, config: &MembershipConfig) {
        self.claims.remove(&node);
        self.records.insert(node);
        self.schedule(now, config);
    }

    /// Returns the queued updates if they are due.
    pub fn take_due(&mut self, now: MonotonicTime) -> Option<Batch> {
        let flush_at = self.flush_at?;
        if flush_at > now {
            return None;
        }
        Some(self.take_all())
    }

    /// Returns all queued updates, due or not.
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

    /// Returns claims to add to a probe or an answer.
    pub fn piggyback(&mut self) -> Vec<NodeClaim> {
        let chosen = self.piggybacked.iter_mut().take(MAX_PIGGYBACKED_CLAIMS);
        let claims = chosen
            .map(|piggybacked| {
                piggybacked.copies_left = piggybacked.copies_left.saturating_sub(1);
                piggybacked.claimed
            })
            .collect();
        self.piggybacked
            .retain(|piggybacked| piggybacked.copies_left > 0);
        claims
    }

    /// When [`Dissemination::take_due`] is due; `None` if nothing is queued.
    pub fn next_timer(&self) -> Option<MonotonicTime> {
        self.flush_at
    }

    fn schedule(&mut self, now: MonotonicTime, config: &MembershipConfig) {
        self.flush_at.get_or_insert(now + config.flush_delay);
    }
}
