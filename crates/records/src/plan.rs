//! How the replica set is to change, from what a storage node sees.

use std::collections::BTreeSet;

use crate::groups::ReplicaGroups;
use crate::identifiers::{Epoch, ReplicaId};
use crate::replica_set::{Replica, ReplicaSet, majority};

/// A storage node as another one sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StorageNode {
    /// The replica that it runs.
    pub replica: Replica,
    /// Whether it answered lately.
    pub alive: bool,
    /// Whether it may be about to start, or is opening its disk. A voter like that counts for nothing and keeps its place.
    pub starting: bool,
    /// Whether it is to be emptied.
    pub retiring: bool,
    /// Groups that it belongs to.
    pub groups: usize,
    /// Whether it copies already to join this group.
    pub joining: bool,
}

/// What brings the set nearer to the one that is wanted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SetStep {
    /// Newcomers copy first; the set stays as it is meanwhile, so that a copy under load costs the voters its reads only.
    Prepare {
        /// Those that are to copy.
        newcomers: Vec<Replica>,
        /// What is written once they have.
        change: ReplicaSet,
    },
    /// This set is written to the register.
    Write(ReplicaSet),
}

/// What the storage nodes know of copies.
#[derive(Debug, Clone, Default)]
pub struct CopiesSeen {
    /// Replicas outside the set that hold what a read quorum held moments ago.
    pub prepared: BTreeSet<ReplicaId>,
    /// Replicas that finished the copy of the set's epoch.
    pub copied: BTreeSet<ReplicaId>,
}

/// Storage nodes up to which one group keeps everything: more groups would leave no machine to take a lost one's place.
const ONE_GROUP: usize = 6;
/// The most groups that there are.
const MOST_GROUPS: usize = 64;

/// The next step of one group's set, or `None` when nothing is to be changed.
///
/// `size` is the number of replicas wanted; `patient` is false once unfinished copies have been waited for long enough.
pub fn plan_change(
    set: &ReplicaSet,
    nodes: &[StorageNode],
    size: usize,
    copies: &CopiesSeen,
    patient: bool,
) -> Option<SetStep> {
    let alive: BTreeSet<ReplicaId> = nodes
        .iter()
        .filter(|node| node.alive)
        .map(|node| node.replica.id)
        .collect();
    if !set.has_read_quorum(&alive) {
        // The change could not be completed, and who sees so few may be the one who is cut off.
        return None;
    }
    let wanted = wanted_voters(&set.voters, nodes, size);
    let Some(incoming) = &set.incoming else {
        let is_change = !same_replicas(&wanted, &set.voters);
        return is_change.then(|| begin_change(set, wanted, &alive, &copies.prepared));
    };
    let copied = &copies.copied;
    let copiers = set.copiers();
    let mut unfinished = copiers.iter().filter(|copier| !copied.contains(&copier.id));
    let waiting_for_alive = unfinished.any(|copier| is_alive(copier, nodes));
    if set.may_complete(copied) && !(waiting_for_alive && patient) {
        return Some(SetStep::Write(ReplicaSet {
            epoch: next(set.epoch),
            voters: incoming.clone(),
            incoming: None,
        }));
    }
    let retarget = !patient && !same_replicas(&wanted, incoming);
    retarget.then(|| SetStep::Write(joint(set, wanted)))
}

fn begin_change(
    set: &ReplicaSet,
    wanted: Vec<Replica>,
    alive: &BTreeSet<ReplicaId>,
    prepared: &BTreeSet<ReplicaId>,
) -> SetStep {
    let change = joint(set, wanted);
    let newcomers: Vec<Replica> = change.newcomers().into_iter().cloned().collect();
    let is_prepared = |replica: &Replica| prepared.contains(&replica.id);
    // Where nothing can be written, nothing is spared by a copy before the change: with one it took 3.5 s in place of 2.9 s until a
    // set of two had its majority again.
    let can_write = set.has_write_quorum(alive);
    if !can_write || newcomers.iter().all(is_prepared) {
        return SetStep::Write(change);
    }
    SetStep::Prepare { newcomers, change }
}

fn next(epoch: Epoch) -> Epoch {
    Epoch(epoch.0 + 1)
}

fn joint(set: &ReplicaSet, wanted: Vec<Replica>) -> ReplicaSet {
    ReplicaSet {
        epoch: next(set.epoch),
        voters: set.voters.clone(),
        incoming: Some(wanted),
    }
}

/// The first sets of all groups: as many groups as the storage nodes that live make up, each with its own ones; `None` where
/// none lives.
pub fn initial_groups(nodes: &[StorageNode], size: usize) -> Option<ReplicaGroups> {
    let alive = nodes.iter().filter(|node| node.alive).count();
    match alive {
        0 => None,
        1..=ONE_GROUP => Some(deal_groups(nodes, size, 1)),
        _ => {
            let number = (alive / size.max(1)).clamp(1, MOST_GROUPS);
            Some(deal_groups(nodes, size, number))
        }
    }
}

/// The first sets of so many groups, each machine in as few of them as there may be.
pub fn deal_groups(nodes: &[StorageNode], size: usize, number: usize) -> ReplicaGroups {
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

fn is_awaited(replica: &Replica, nodes: &[StorageNode]) -> bool {
    find(replica, nodes).is_some_and(|node| node.starting)
}

/// Voters stay while they live or are awaited. Those that are gone or retire make room for others; where there is no
/// other, one that is gone stays and one that retires leaves.
fn wanted_voters(voters: &[Replica], nodes: &[StorageNode], size: usize) -> Vec<Replica> {
    let staying = voters.iter().filter(|voter| !is_retiring(voter, nodes));
    let (alive, gone): (Vec<&Replica>, Vec<&Replica>) =
        staying.partition(|voter| is_alive(voter, nodes) || is_awaited(voter, nodes));
    let mut wanted: Vec<Replica> = alive.into_iter().cloned().collect();
    add_others(&mut wanted, voters, nodes, size);
    let mut absent: Vec<&Replica> = gone
        .into_iter()
        .filter(|voter| !was_replaced(voter, nodes))
        .collect();
    while wanted.len() < size.min(voters.len()) {
        let Some(voter) = absent.pop() else {
            break;
        };
        wanted.push(voter.clone());
    }
    if wanted.len() < majority(size).min(voters.len()) {
        return voters.to_vec();
    }
    wanted
}

/// Whether a voter's node runs another replica now: its disk is lost.
fn was_replaced(voter: &Replica, nodes: &[StorageNode]) -> bool {
    nodes
        .iter()
        .any(|node| node.alive && node.replica.node == voter.node && node.replica.id != voter.id)
}

fn add_others(wanted: &mut Vec<Replica>, voters: &[Replica], nodes: &[StorageNode], size: usize) {
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
            .min_by_key(|node| preference(node, wanted, &free, size));
        let Some(node) = best else {
            break;
        };
        wanted.push(node.replica.clone());
    }
}

/// What speaks for a replica's joining, the least first.
///
/// A zone holds no more of a set than may be lost of it, where that can be. Then one that copies already keeps on: another one would begin
/// again. Then machines share the work, then zones do, the zone first that has most left to give.
fn preference(
    node: &StorageNode,
    wanted: &[Replica],
    free: &[&StorageNode],
    size: usize,
) -> impl Ord + use<> {
    let zone = &node.replica.zone;
    let crowd = wanted.iter().filter(|replica| replica.zone == *zone);
    let crowd = crowd.count();
    let is_crowded = crowd + majority(size) >= size.max(2);
    let alike = free
        .iter()
        .filter(|other| other.replica.zone == *zone && other.groups == node.groups);
    let left = std::cmp::Reverse(alike.count());
    let id = node.replica.id;
    (is_crowded, !node.joining, node.groups, crowd, left, id)
}

fn same_replicas(one: &[Replica], two: &[Replica]) -> bool {
    let ids = |replicas: &[Replica]| -> BTreeSet<ReplicaId> {
        replicas.iter().map(|replica| replica.id).collect()
    };
    ids(one) == ids(two)
}
