//! What a node knows of all members: a state-based join of the records it heard of.
//!
//! Merging is commutative, associative and idempotent, so updates may be lost, repeated and
//! reordered. [`MemberState::Suspect`] is not merged: it is this node's own mark on an Alive member.

use std::collections::BTreeMap;
use std::time::Duration;

use ridgeworks_domain::{MonotonicTime, NodeId};
use xxhash_rust::xxh3::Xxh3;

use crate::member::{Claim, Member, MemberState, NodeClaim};

/// What merging a record or a claim did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merge {
    /// The table changed.
    Changed {
        /// The state held before, `None` when the node was not known.
        old_state: Option<MemberState>,
        /// Whether the member joined or was replaced, so that others need its whole record.
        new_generation: bool,
    },
    /// The table held the same.
    Same,
    /// The table holds something that takes precedence.
    Stale,
    /// The claim speaks of a node or a generation whose record is not known.
    RecordMissing,
}

#[derive(Debug, Clone)]
struct Entry {
    member: Member,
    departed_at: Option<MonotonicTime>,
}

/// All known members by node.
#[derive(Debug, Clone, Default)]
pub struct MemberTable {
    entries: BTreeMap<NodeId, Entry>,
}

impl MemberTable {
    /// Merges a whole record.
    pub fn merge_record(&mut self, member: Member, now: MonotonicTime) -> Merge {
        let member = published(member);
        let Some(entry) = self.entries.get_mut(&member.node) else {
            self.entries.insert(member.node, Entry::new(member, now));
            return Merge::Changed {
                old_state: None,
                new_generation: true,
            };
        };
        let held = published(entry.member.clone());
        if member == held {
            return Merge::Same;
        }
        if !member.supersedes(&held) {
            return Merge::Stale;
        }
        let old_state = Some(entry.member.state);
        let new_generation = member.incarnation.generation() > held.incarnation.generation();
        *entry = Entry::new(member, now);
        Merge::Changed {
            old_state,
            new_generation,
        }
    }

    /// Merges a claim about a member whose record is known.
    pub fn merge_claim(&mut self, claimed: NodeClaim, now: MonotonicTime) -> Merge {
        let Some(entry) = self.entries.get_mut(&claimed.node) else {
            return Merge::RecordMissing;
        };
        let held = published_claim(&entry.member);
        let claim = published_state(claimed.claim);
        if claim == held {
            return Merge::Same;
        }
        if claim < held {
            return Merge::Stale;
        }
        if claim.incarnation.generation() > held.incarnation.generation() {
            return Merge::RecordMissing;
        }
        let old_state = Some(entry.member.state);
        entry.member.incarnation = claim.incarnation;
        entry.member.state = claim.state;
        entry.departed_at = departure(claim.state, now);
        Merge::Changed {
            old_state,
            new_generation: false,
        }
    }

    /// Marks an Alive member as not answering. Returns whether that changed its state.
    pub fn suspect(&mut self, node: NodeId) -> bool {
        self.exchange_state(node, MemberState::Alive, MemberState::Suspect)
    }

    /// Takes the mark of [`MemberTable::suspect`] back. Returns whether that changed its state.
    pub fn trust(&mut self, node: NodeId) -> bool {
        self.exchange_state(node, MemberState::Suspect, MemberState::Alive)
    }

    fn exchange_state(&mut self, node: NodeId, from: MemberState, to: MemberState) -> bool {
        match self.entries.get_mut(&node) {
            Some(entry) if entry.member.state == from => {
                entry.member.state = to;
                true
            }
            _ => false,
        }
    }

    /// The member, if it is known.
    pub fn get(&self, node: NodeId) -> Option<&Member> {
        self.entries.get(&node).map(|entry| &entry.member)
    }

    /// All known members in order of node.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|entry| &entry.member)
    }

    /// Members that take part, in order of node.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|member| member.state.is_present())
    }

    /// What is published of each known member, in order of node.
    pub fn published_claims(&self) -> impl Iterator<Item = NodeClaim> {
        self.iter().map(|member| NodeClaim {
            node: member.node,
            claim: published_claim(member),
        })
    }

    /// What is published of one member.
    pub fn published_claim_of(&self, node: NodeId) -> Option<Claim> {
        self.get(node).map(published_claim)
    }

    /// Hash over what is published of the present members. Departed ones are left out, because nodes
    /// forget them at different times.
    pub fn hash(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for member in self.present() {
            let claim = published_claim(member);
            hasher.update(&member.node.0.to_le_bytes());
            hasher.update(&claim.incarnation.0.to_le_bytes());
            hasher.update(&[claim.state as u8]);
        }
        hasher.digest()
    }

    /// Drops members that departed more than `retention` ago and returns their nodes.
    pub fn forget_departed(&mut self, now: MonotonicTime, retention: Duration) -> Vec<NodeId> {
        let is_due = |entry: &Entry| {
            entry
                .departed_at
                .is_some_and(|departed| now.since(departed) >= retention)
        };
        let forgotten: Vec<NodeId> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_due(entry))
            .map(|(node, _)| *node)
            .collect();
        for node in &forgotten {
            self.entries.remove(node);
        }
        forgotten
    }
}

impl Entry {
    fn new(member: Member, now: MonotonicTime) -> Self {
        let departed_at = departure(member.state, now);
        Self {
            member,
            departed_at,
        }
    }
}

fn departure(state: MemberState, now: MonotonicTime) -> Option<MonotonicTime> {
    (!state.is_present()).then_some(now)
}

fn published_state(claim: Claim) -> Claim {
    match claim.state {
        MemberState::Suspect => Claim {
            state: MemberState::Alive,
            ..claim
        },
        _ => claim,
    }
}

/// What other nodes may be told of the member: all but this node's own suspicion.
pub fn published_claim(member: &Member) -> Claim {
    published_state(member.claim())
}

/// The record as other nodes may be told of it.
pub fn published(mut member: Member) -> Member {
    member.state = published_claim(&member).state;
    member
}
