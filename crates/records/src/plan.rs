//! Plans changes of a replica set from what a storage node observes.

use std::collections::BTreeSet;

use crate::groups::ReplicaGroups;
use crate::identifiers::{Epoch, ReplicaId};
use crate::replica_set::{Replica, ReplicaSet, majority};

/// A storage node as observed by another one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StorageNode {
    pub replica: Replica,
    /// Whether it was heard from recently, with an open disk.
    pub alive: bool,
    /// Whether it may be starting or opening its disk. A voter in this state counts in no quorum
    /// and isn't replaced.
    pub starting: bool,
    /// Whether it is being retired.
    pub retiring: bool,
    /// Number of groups that it belongs to.
    pub groups: usize,
    /// Whether it is already copying to join this group.
    pub joining: bool,
}

/// The next step towards the wanted set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SetStep {
    /// New members copy first. The set doesn't change meanwhile, so that the copy costs the voters
    /// no additional writes.
    Prepare {
        /// The replicas that have to copy.
        new_members: Vec<Replica>,
        /// The joint set to write once the new members have copied the group's records.
        change: ReplicaSet,
    },
    /// Write this set to the register.
    Write(ReplicaSet),
    /// Write this joint set, which leaves out voters that are lost and that no node can replace, once they have been lost for long. A
    /// set with fewer voters survives the loss of one more disk; a voter that comes back has to copy before it counts again.
    LeaveOut(ReplicaSet),
}

/// Progress of copies, as reported by the storage nodes.
#[derive(Debug, Clone, Default)]
pub struct CopyProgress {
    /// Replicas outside the set that recently held all records that a read quorum of the voters
    /// holds.
    pub prepared: BTreeSet<ReplicaId>,
    /// Replicas that have finished copying at the set's epoch.
    pub copied: BTreeSet<ReplicaId>,
}

/// Largest number of storage nodes that form a single group: more groups would leave no node to
/// replace a lost one.
const SINGLE_GROUP_MAX_NODES: usize = 6;
const MAX_GROUPS: usize = 64;

/// The next step for the set of one group; `None` when nothing has to change.
///
/// `size` is the wanted number of replicas; `may_wait` is false once unfinished copies have been
/// waited for long enough.
pub fn plan_change(
    set: &ReplicaSet,
    nodes: &[StorageNode],
    size: usize,
    copies: &CopyProgress,
    may_wait: bool,
) -> Option<SetStep> {
    let alive: BTreeSet<ReplicaId> = nodes
        .iter()
        .filter(|node| node.alive)
        .map(|node| node.replica.id)
        .collect();
    if !set.has_read_quorum(&alive) {
        // The change couldn't be completed, and a node that reaches so few voters may itself be
        // partitioned.
        return None;
    }
    let nodes = &with_incoming_joining(set, nodes);
    let wanted = wanted_voters(&set.voters, nodes, size);
    let Some(incoming) = &set.incoming else {
        if !same_replicas(&wanted, &set.voters) {
            return Some(begin_change(set, wanted, &alive, &copies.prepared));
        }
        let remaining = without_lost(&set.voters, nodes, size)?;
        return Some(SetStep::LeaveOut(joint_set(set, remaining)));
    };
    let copied = &copies.copied;
    let copiers = set.copiers();
    let mut unfinished = copiers.iter().filter(|copier| !copied.contains(&copier.id));
    let waiting_for_alive = unfinished.any(|copier| is_alive(copier, nodes));
    if set.may_complete(copied) && !(waiting_for_alive && may_wait) {
        return Some(SetStep::Write(ReplicaSet {
            epoch: next_epoch(set.epoch),
            voters: incoming.clone(),
            incoming: None,
        }));
    }
    let should_retarget = !may_wait && !same_replicas(&wanted, incoming);
    should_retarget.then(|| SetStep::Write(joint_set(set, wanted)))
}

/// The nodes, of which the set's incoming replicas count as joining: they copy, whichever member asked them to. Without this, a
/// member that didn't ask would replace them by nodes of fewer groups, whose copy has yet to begin.
fn with_incoming_joining(set: &ReplicaSet, nodes: &[StorageNode]) -> Vec<StorageNode> {
    let mut nodes = nodes.to_vec();
    for node in &mut nodes {
        node.joining |= set.is_incoming(node.replica.id);
    }
    nodes
}

fn begin_change(
    set: &ReplicaSet,
    wanted: Vec<Replica>,
    alive: &BTreeSet<ReplicaId>,
    prepared: &BTreeSet<ReplicaId>,
) -> SetStep {
    let change = joint_set(set, wanted);
    let new_members: Vec<Replica> = change.new_members().into_iter().cloned().collect();
    let is_prepared = |replica: &Replica| prepared.contains(&replica.id);
    // Without a write quorum the group is unavailable, so the joint set is written at once: copying
    // before would only delay the recovery. With it, a set of two had its majority again after 3.5 s
    // instead of 2.9 s.
    let can_write = set.has_write_quorum(alive);
    if !can_write || new_members.iter().all(is_prepared) {
        return SetStep::Write(change);
    }
    SetStep::Prepare {
        new_members,
        change,
    }
}

fn next_epoch(epoch: Epoch) -> Epoch {
    Epoch(epoch.0 + 1)
}

fn joint_set(set: &ReplicaSet, wanted: Vec<Replica>) -> ReplicaSet {
    ReplicaSet {
        epoch: next_epoch(set.epoch),
        voters: set.voters.clone(),
        incoming: Some(wanted),
    }
}

/// The initial sets of all groups, with as many groups as the live storage nodes can fill without
/// sharing a node; `None` if no node is alive.
pub fn initial_groups(nodes: &[StorageNode], size: usize) -> Option<ReplicaGroups> {
    let alive = nodes.iter().filter(|node| node.alive).count();
    match alive {
        0 => None,
        1..=SINGLE_GROUP_MAX_NODES => Some(assign_groups(nodes, size, 1)),
        _ => {
            let number = (alive / size.max(1)).clamp(1, MAX_GROUPS);
            Some(assign_groups(nodes, size, number))
        }
    }
}

/// The initial sets of this many groups, with each node in as few of them as possible.
pub fn assign_groups(nodes: &[StorageNode], size: usize, number: usize) -> ReplicaGroups {
    let mut nodes = nodes.to_vec();
    let mut sets = Vec::new();
    for _ in 0..number {
        let voters = wanted_voters(&[], &nodes, size);
        let taken = nodes.iter_mut().filter(|node| {
            let id = node.replica.id;
            voters.iter().any(|voter| voter.id == id)
        });
        taken.for_each(|node| node.groups += 1);
        sets.push(ReplicaSet {
            epoch: Epoch(1),
            voters,
            incoming: None,
        });
    }
    ReplicaGroups::new(sets)
}

fn find<'a>(replica: &Replica, nodes: &'a [StorageNode]) -> Option<&'a StorageNode> {
    nodes.iter().find(|node| node.replica.id == replica.id)
}

fn is_alive(replica: &Replica, nodes: &[StorageNode]) -> bool {
    find(replica, nodes).is_some_and(|node| node.alive)
}

fn is_retiring(replica: &Replica, nodes: &[StorageNode]) -> bool {
    find(replica, nodes).is_some_and(|node| node.retiring)
}

fn is_starting(replica: &Replica, nodes: &[StorageNode]) -> bool {
    find(replica, nodes).is_some_and(|node| node.starting)
}

/// Smallest number of voters that a set of this many is reduced to.
fn least_voters(voters: &[Replica], size: usize) -> usize {
    majority(size).min(voters.len())
}

/// The voters without those that are lost; `None` if none is, or if too few would remain.
fn without_lost(voters: &[Replica], nodes: &[StorageNode], size: usize) -> Option<Vec<Replica>> {
    let is_there = |voter: &&Replica| is_alive(voter, nodes) || is_starting(voter, nodes);
    let remaining: Vec<Replica> = voters.iter().filter(is_there).cloned().collect();
    let is_fewer = remaining.len() < voters.len();
    (is_fewer && remaining.len() >= least_voters(voters, size)).then_some(remaining)
}

/// Voters stay while they are alive or starting. Lost or retiring voters are replaced by other
/// nodes. Where there is none, a lost voter stays, and a retiring one leaves if enough others remain.
fn wanted_voters(voters: &[Replica], nodes: &[StorageNode], size: usize) -> Vec<Replica> {
    let staying = voters.iter().filter(|voter| !is_retiring(voter, nodes));
    let (kept, lost): (Vec<&Replica>, Vec<&Replica>) =
        staying.partition(|voter| is_alive(voter, nodes) || is_starting(voter, nodes));
    let mut wanted: Vec<Replica> = kept.into_iter().cloned().collect();
    add_candidates(&mut wanted, voters, nodes, size);
    let mut unreplaced: Vec<&Replica> = lost
        .into_iter()
        .filter(|voter| !was_replaced(voter, nodes))
        .collect();
    while wanted.len() < size.min(voters.len()) {
        let Some(voter) = unreplaced.pop() else {
            break;
        };
        wanted.push(voter.clone());
    }
    let least = least_voters(voters, size);
    let retiring = voters.iter().filter(|voter| is_retiring(voter, nodes));
    let needed = least.saturating_sub(wanted.len());
    let still_there = retiring.filter(|voter| is_alive(voter, nodes));
    wanted.extend(still_there.take(needed).cloned());
    if wanted.len() < least {
        return voters.to_vec();
    }
    wanted
}

/// Whether a voter's node now runs another replica, which means that the voter's disk is lost.
fn was_replaced(voter: &Replica, nodes: &[StorageNode]) -> bool {
    nodes
        .iter()
        .any(|node| node.alive && node.replica.node == voter.node && node.replica.id != voter.id)
}

fn add_candidates(
    wanted: &mut Vec<Replica>,
    voters: &[Replica],
    nodes: &[StorageNode],
    size: usize,
) {
    while wanted.len() < size {
        let free: Vec<&StorageNode> = nodes
            .iter()
            .filter(|node| {
                let known = wanted.iter().chain(voters);
                let is_known = known.clone().any(|replica| replica.id == node.replica.id);
                node.alive && !node.retiring && !is_known
            })
            .collect();
        let best = free
            .iter()
            .min_by_key(|node| candidate_rank(node, wanted, &free, size));
        let Some(node) = best else {
            break;
        };
        wanted.push(node.replica.clone());
    }
}

/// Sort key of a candidate; the smallest is chosen.
///
/// First, no zone holds more members than the set can lose, where possible. Then a node that is
/// already copying is kept, so that its copy isn't started again at another one. Then the nodes
/// with the fewest groups come first, and the zones with the fewest members; among these the zone
/// with the most free nodes.
fn candidate_rank(
    node: &StorageNode,
    wanted: &[Replica],
    free: &[&StorageNode],
    size: usize,
) -> impl Ord + use<> {
    let zone = &node.replica.zone;
    let zone_members = wanted.iter().filter(|replica| replica.zone == *zone);
    let zone_members = zone_members.count();
    let is_zone_full = zone_members + majority(size) >= size.max(2);
    let equivalent = free
        .iter()
        .filter(|other| other.replica.zone == *zone && other.groups == node.groups);
    let zone_spares = std::cmp::Reverse(equivalent.count());
    let id = node.replica.id;
    (
        is_zone_full,
        !node.joining,
        node.groups,
        zone_members,
        zone_spares,
        id,
    )
}

fn same_replicas(one: &[Replica], two: &[Replica]) -> bool {
    let ids = |replicas: &[Replica]| -> BTreeSet<ReplicaId> {
        replicas.iter().map(|replica| replica.id).collect()
    };
    ids(one) == ids(two)
}
