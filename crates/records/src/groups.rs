//! Groups of replicas, each of which keeps the records of its own programs.
//!
//! Groups spread the load over the storage nodes; with a single set, the turns of all programs go
//! to the same few nodes (`docs/design/large-fleets.md`, "Groups of replicas"). A program belongs
//! to one group by a hash of its identifier, and so do all its records, so no operation spans
//! groups. The number of groups is fixed when the first sets are written.

use std::fmt;

use rkyv::{Archive, Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::identifiers::{Epoch, ProgramId, ReplicaId};
use crate::replica_set::{Replica, ReplicaSet};

/// Index of a group of replicas.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Archive,
    Serialize,
    Deserialize,
)]
pub struct GroupId(pub u16);

impl fmt::Display for GroupId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// The sets of all groups, as one object of the register.
///
/// A write changes the set of one group, so of two values the one with the greater [`Self::epoch`]
/// is the newer one in every group.
#[derive(
    Debug,
    Clone,
    PartialEq,
    Eq,
    Archive,
    Serialize,
    Deserialize,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(into = "RegisteredForm", from = "RegisteredForm")]
pub struct ReplicaGroups {
    sets: Vec<ReplicaSet>,
}

/// The serialized form. A single set is written alone, so that nodes of versions without groups can
/// read it.
#[derive(serde::Serialize, serde::Deserialize)]
#[serde(untagged)]
enum RegisteredForm {
    One(ReplicaSet),
    Many { sets: Vec<ReplicaSet> },
}

impl From<ReplicaGroups> for RegisteredForm {
    fn from(mut groups: ReplicaGroups) -> Self {
        match groups.sets.len() {
            1 => Self::One(groups.sets.remove(0)),
            _ => Self::Many { sets: groups.sets },
        }
    }
}

impl From<RegisteredForm> for ReplicaGroups {
    fn from(form: RegisteredForm) -> Self {
        match form {
            RegisteredForm::One(set) => Self::single(set),
            RegisteredForm::Many { sets } => Self::new(sets),
        }
    }
}

impl ReplicaGroups {
    pub fn new(sets: Vec<ReplicaSet>) -> Self {
        Self { sets }
    }

    pub fn single(set: ReplicaSet) -> Self {
        Self::new(vec![set])
    }

    pub fn iter(&self) -> impl Iterator<Item = (GroupId, &ReplicaSet)> {
        (0..).map(GroupId).zip(&self.sets)
    }

    /// The set of a group; `None` if there is no such group.
    pub fn set(&self, group: GroupId) -> Option<&ReplicaSet> {
        self.sets.get(usize::from(group.0))
    }

    /// The group that keeps a program's records. Records without a program belong to the first
    /// group.
    pub fn group_of(&self, program: Option<&ProgramId>) -> GroupId {
        program.map_or(GroupId::default(), |program| self.group_by_hash(&program.0))
    }

    /// The group whose voters share the warm-up limit of an engine.
    pub fn group_of_engine(&self, instance: &str) -> GroupId {
        self.group_by_hash(instance)
    }

    /// The group whose voters share the rate limit of a tenant.
    pub fn group_of_tenant(&self, tenant: &str) -> GroupId {
        self.group_by_hash(tenant)
    }

    fn group_by_hash(&self, text: &str) -> GroupId {
        let groups = self.sets.len().max(1) as u64;
        let number = xxh3_64(text.as_bytes()) % groups;
        GroupId(u16::try_from(number).unwrap_or_default())
    }

    /// The sum of the epochs of all sets; each change of any set increases it.
    pub fn epoch(&self) -> Epoch {
        Epoch(self.sets.iter().map(|set| set.epoch.0).sum())
    }

    /// A copy with another set for one group.
    pub fn with_set(&self, group: GroupId, set: ReplicaSet) -> Self {
        let mut changed = self.clone();
        if let Some(known) = changed.sets.get_mut(usize::from(group.0)) {
            *known = set;
        }
        changed
    }

    /// The replicas of all groups, without duplicates.
    pub fn members(&self) -> Vec<&Replica> {
        let mut members: Vec<&Replica> = Vec::new();
        for replica in self.sets.iter().flat_map(ReplicaSet::members) {
            if !members.iter().any(|member| member.id == replica.id) {
                members.push(replica);
            }
        }
        members
    }

    pub fn groups_of(&self, id: ReplicaId) -> Vec<GroupId> {
        let with_member = self.iter().filter(|(_, set)| set.has_member(id));
        with_member.map(|(group, _)| group).collect()
    }

    pub fn has_member(&self, id: ReplicaId) -> bool {
        self.sets.iter().any(|set| set.has_member(id))
    }
}
