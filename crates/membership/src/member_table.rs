//! A node's table of all members, merged from the records and claims that it received.
//!
//! Merging is commutative, associative and idempotent (a state-based CRDT), so updates may be lost,
//! repeated and reordered. [`MemberState::Suspect`] is not merged; it is a local mark on an Alive
//! member.

use std::collections::BTreeMap;
use std::time::Duration;

use ridgeworks_domain::{MonotonicTime, NodeId};
use xxhash_rust::xxh3::Xxh3;

use crate::member::{Claim, Member, MemberState, NodeClaim};

/// Result of merging a record or a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merge {
    /// The table changed.
    Changed {
        /// The previous state; `None` if the node was not known.
        old_state: Option<MemberState>,
        /// Whether the member joined or was replaced, so that others need its complete record.
        new_generation: bool,
    },
    /// The table already held the same.
    Same,
    /// The table's record takes precedence.
    Stale,
    /// The claim is about a node or a generation whose record is not known.
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
    /// Merges a complete record.
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

    /// Marks an Alive member as Suspect. Returns whether that changed its state.
    pub fn suspect(&mut self, node: NodeId) -> bool {
        self.replace_state_if(node, MemberState::Alive, MemberState::Suspect)
    }

    /// Reverts [`MemberTable::suspect`]. Returns whether that changed its state.
    pub fn clear_suspicion(&mut self, node: NodeId) -> bool {
        self.replace_state_if(node, MemberState::Suspect, MemberState::Alive)
    }

    fn replace_state_if(&mut self, node: NodeId, from: MemberState, to: MemberState) -> bool {
        match self.entries.get_mut(&node) {
            Some(entry) if entry.member.state == from => {
                entry.member.state = to;
                true
            }
            _ => false,
        }
    }

    /// The member's record, including this node's own suspicion.
    pub fn get(&self, node: NodeId) -> Option<&Member> {
        self.entries.get(&node).map(|entry| &entry.member)
    }

    /// All known members, present or departed, in order of node.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.entries.values().map(|entry| &entry.member)
    }

    /// Present members in order of node.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|member| member.state.is_present())
    }

    /// Claims about all known members as sent to other nodes, in order of node.
    pub fn published_claims(&self) -> impl Iterator<Item = NodeClaim> {
        self.iter().map(|member| NodeClaim {
            node: member.node,
            claim: published_claim(member),
        })
    }

    /// The claim about one member as sent to other nodes.
    pub fn published_claim_of(&self, node: NodeId) -> Option<Claim> {
        self.get(node).map(published_claim)
    }

    /// Hash of the published claims about the present members. Departed members are excluded, because
    /// nodes remove them at different times.
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

    /// Removes members that departed at least `retention` ago and returns their nodes.
    pub fn remove_departed(&mut self, now: MonotonicTime, retention: Duration) -> Vec<NodeId> {
        let is_due = |entry: &Entry| {
            entry
                .departed_at
                .is_some_and(|departed| now.since(departed) >= retention)
        };
        let removed: Vec<NodeId> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_due(entry))
            .map(|(node, _)| *node)
            .collect();
        for node in &removed {
            self.entries.remove(node);
        }
        removed
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

/// The claim about the member as sent to other nodes, without this node's own suspicion.
pub fn published_claim(member: &Member) -> Claim {
    published_state(member.claim())
}

/// The record as sent to other nodes, without this node's own suspicion.
pub fn published(mut member: Member) -> Member {
    member.state = published_claim(&member).state;
    member
}
