//! Which storage nodes are alive, as seen by one of them.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_records::{Replica, ReplicaGroups, ReplicaId, ReplicaSet, StorageNode};

use crate::handle::ReplicaHandle;
use crate::retirements::Retirements;

/// Silence after which a storage node counts as lost.
const LOST_AFTER: Duration = Duration::from_millis(1_600);
/// The same for nodes that share no group with this one, whose heartbeats arrive in rotation: in a
/// fleet of 36 storage nodes, every two seconds.
const OTHER_GROUP_LOST_AFTER: Duration = Duration::from_secs(5);
/// How long a voter counts as starting that hasn't been heard since this node started, or whose
/// process runs but hasn't opened its disk. After a power loss voters open their disks 1.1 to 1.8 s
/// after their start (120 MB on 0.17 of a core). Replacing such a voter would copy all its records
/// while the other voters are busiest: reservations then took 200 ms at the median instead of 58.
const START_TIMEOUT: Duration = Duration::from_secs(4);

/// Last observation of a replica with an open disk.
#[derive(Debug, Clone, Copy, Default)]
struct LastSeen {
    /// Time since the start of this process.
    at: Duration,
    /// Incarnation of the replica's process.
    incarnation: u64,
}

/// Liveness of the storage nodes.
pub struct Liveness {
    replica: Rc<ReplicaHandle>,
    retirements: Retirements,
    /// Last observation of other members of any group.
    last_seen: BTreeMap<ReplicaId, LastSeen>,
}

impl Liveness {
    pub fn new(replica: Rc<ReplicaHandle>, retirements: Retirements) -> Self {
        Self {
            replica,
            retirements,
            last_seen: BTreeMap::new(),
        }
    }

    /// Updates the last observation of each group member that is alive, and drops replicas that are
    /// no longer members.
    pub fn note_seen(&mut self, groups: &ReplicaGroups, now: Duration) {
        self.last_seen.retain(|id, _| groups.has_member(*id));
        for member in self.replica.node.gossip.replicas() {
            let status = member.replica.filter(|status| groups.has_member(status.id));
            if let Some(status) = status
                && member.is_alive(now, LOST_AFTER)
            {
                let incarnation = member.incarnation;
                let last_seen = LastSeen {
                    at: now,
                    incarnation,
                };
                self.last_seen.insert(status.id, last_seen);
            }
        }
    }

    /// The storage nodes with an open disk that were ever heard, including this one.
    pub fn nodes(&self, groups: Option<&ReplicaGroups>, now: Duration) -> Vec<StorageNode> {
        let node = &self.replica.node;
        let mut nodes = Vec::new();
        let me = self.replica.status();
        let group_count = |id: ReplicaId| groups.map_or(0, |groups| groups.groups_of(id).len());
        if let Some(status) = me {
            nodes.push(StorageNode {
                replica: Replica {
                    id: status.id,
                    node: node.settings.name.clone(),
                    address: node.settings.peer_address().to_string(),
                    zone: node.settings.zone.clone(),
                },
                alive: true,
                starting: false,
                retiring: self.retirements.is_retiring(&node.settings.name),
                groups: group_count(status.id),
                joining: false,
            });
        }
        let own = me.map(|status| status.id);
        for member in node.gossip.replicas() {
            let Some(status) = member.replica else {
                continue;
            };
            let silence = silence_limit(groups, own, status.id);
            nodes.push(StorageNode {
                alive: member.is_alive(now, silence),
                starting: false,
                retiring: self.retirements.is_retiring(&member.info.name),
                groups: group_count(status.id),
                joining: false,
                replica: Replica {
                    id: status.id,
                    node: member.info.name,
                    address: member.info.address.to_string(),
                    zone: member.info.zone,
                },
            });
        }
        nodes
    }

    /// Whether the process of another storage node runs that hasn't opened its disk, and has been
    /// known for less than this time.
    pub fn is_any_opening(&self, now: Duration, max_wait: Duration) -> bool {
        let mut members = self.replica.node.gossip.members().into_iter();
        members.any(|member| {
            let is_open = member.replica.is_some();
            let is_starting = now.saturating_sub(member.known_since) < max_wait;
            let is_alive = member.is_alive(now, OTHER_GROUP_LOST_AFTER);
            member.info.is_replica && is_alive && !is_open && is_starting
        })
    }

    /// Marks voters of `set` that are starting: replaces their entries in `nodes`, or adds them.
    pub fn add_starting(&self, set: &ReplicaSet, nodes: &mut Vec<StorageNode>, now: Duration) {
        for voter in &set.voters {
            // A node that is alive with another replica has lost its disk.
            let is_back = nodes
                .iter()
                .any(|node| node.alive && node.replica.node == voter.node);
            if is_back || !self.is_starting(voter, now) {
                continue;
            }
            nodes.retain(|node| node.replica.id != voter.id);
            nodes.push(StorageNode {
                replica: voter.clone(),
                alive: false,
                starting: true,
                retiring: self.retirements.is_retiring(&voter.node),
                groups: 1,
                joining: false,
            });
        }
    }

    /// Whether a voter hasn't been heard yet, or its process has restarted and hasn't opened its
    /// disk. A voter whose disk failed within the same process doesn't count as starting.
    fn is_starting(&self, voter: &Replica, now: Duration) -> bool {
        let Some(member) = self.replica.node.gossip.heard_member(&voter.node) else {
            return now < START_TIMEOUT;
        };
        let last_seen = self.last_seen.get(&voter.id).copied().unwrap_or_default();
        let is_opening = member.replica.is_none()
            && member.is_alive(now, LOST_AFTER)
            && member.incarnation != last_seen.incarnation;
        is_opening && now.saturating_sub(last_seen.at) < START_TIMEOUT
    }
}

/// The silence after which a replica counts as lost, which is longer if it shares no group with
/// this one.
fn silence_limit(groups: Option<&ReplicaGroups>, me: Option<ReplicaId>, id: ReplicaId) -> Duration {
    let Some((groups, me)) = groups.zip(me) else {
        return LOST_AFTER;
    };
    let its_groups: BTreeSet<_> = groups.groups_of(id).into_iter().collect();
    let mut own_groups = groups.groups_of(me).into_iter();
    if its_groups.is_empty() || own_groups.any(|group| its_groups.contains(&group)) {
        LOST_AFTER
    } else {
        OTHER_GROUP_LOST_AFTER
    }
}

/// The replicas of the live nodes.
pub fn alive(nodes: &[StorageNode]) -> BTreeSet<ReplicaId> {
    let alive = nodes.iter().filter(|node| node.alive);
    alive.map(|node| node.replica.id).collect()
}
