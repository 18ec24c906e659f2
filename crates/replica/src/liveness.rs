//! Which storage nodes live, as one of them sees it.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_records::{Replica, ReplicaGroups, ReplicaId, ReplicaSet, StorageNode};

use crate::handle::ReplicaHandle;
use crate::retirements::Retirements;

/// A storage node that was silent for so long is taken for gone.
const GONE_AFTER: Duration = Duration::from_millis(1_600);
/// A member of other groups only is heard in turn, every two seconds where there are 36 storage nodes; it is no candidate for a place after this
/// silence.
const FOREIGN_GONE_AFTER: Duration = Duration::from_secs(5);
/// How long a voter is awaited that was not heard yet since this node started, or whose process is heard and whose disk is not
/// open. After a power loss of everything voters open their disks 1.1 to 1.8 s after their start (120 MB on 0.17 of a core), and
/// replacing one of them copies everything while the others have most to do: reservations took 200 ms at the median in
/// place of 58.
const START_PATIENCE: Duration = Duration::from_secs(4);

/// A replica with an open disk, as it was last heard.
#[derive(Debug, Clone, Copy, Default)]
struct Seen {
    /// When, since the start of this process.
    at: Duration,
    /// The life of its process.
    incarnation: u64,
}

/// Who lives among the storage nodes.
pub struct Liveness {
    replica: Rc<ReplicaHandle>,
    retirements: Retirements,
    /// When other members of any group were last alive.
    seen: BTreeMap<ReplicaId, Seen>,
}

impl Liveness {
    /// Nobody was heard yet.
    pub fn new(replica: Rc<ReplicaHandle>, retirements: Retirements) -> Self {
        Self {
            replica,
            retirements,
            seen: BTreeMap::new(),
        }
    }

    /// Notes which members were alive lately.
    pub fn note_seen(&mut self, groups: &ReplicaGroups, now: Duration) {
        self.seen.retain(|id, _| groups.has_member(*id));
        for member in self.replica.node.gossip.replicas() {
            let status = member.replica.filter(|status| groups.has_member(status.id));
            if let Some(status) = status
                && member.is_alive(now, GONE_AFTER)
            {
                let incarnation = member.incarnation;
                let seen = Seen {
                    at: now,
                    incarnation,
                };
                self.seen.insert(status.id, seen);
            }
        }
    }

    /// The storage nodes with an open disk that were ever heard, this one among them.
    pub fn nodes(&self, groups: Option<&ReplicaGroups>, now: Duration) -> Vec<StorageNode> {
        let node = &self.replica.node;
        let mut nodes = Vec::new();
        let me = self.replica.status();
        let belongs = |id: ReplicaId| groups.map_or(0, |groups| groups.groups_of(id).len());
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
                groups: belongs(status.id),
                joining: false,
            });
        }
        let own = me.map(|status| status.id);
        for member in node.gossip.replicas() {
            let Some(status) = member.replica else {
                continue;
            };
            let silence = gone_after(groups, own, status.id);
            nodes.push(StorageNode {
                alive: member.is_alive(now, silence),
                starting: false,
                retiring: self.retirements.is_retiring(&member.info.name),
                groups: belongs(status.id),
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

    /// Adds the voters of a set that are not alive and may be in a moment.
    pub fn add_awaited(&self, set: &ReplicaSet, nodes: &mut Vec<StorageNode>, now: Duration) {
        for voter in &set.voters {
            // A node that runs another replica has lost its disk.
            let is_back = nodes
                .iter()
                .any(|node| node.alive && node.replica.node == voter.node);
            if is_back || !self.is_awaited(voter, now) {
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

    /// Whether a voter was not heard yet, or its process has started anew and not opened its disk yet. One whose disk failed
    /// under the same process is not awaited.
    fn is_awaited(&self, voter: &Replica, now: Duration) -> bool {
        let Some(member) = self.replica.node.gossip.heard_member(&voter.node) else {
            return now < START_PATIENCE;
        };
        let seen = self.seen.get(&voter.id).copied().unwrap_or_default();
        let is_opening = member.replica.is_none()
            && member.is_alive(now, GONE_AFTER)
            && member.incarnation != seen.incarnation;
        is_opening && now.saturating_sub(seen.at) < START_PATIENCE
    }
}

/// The silence after which a replica is taken for gone: whoever shares no group hears it in turn only.
fn gone_after(groups: Option<&ReplicaGroups>, me: Option<ReplicaId>, id: ReplicaId) -> Duration {
    let Some((groups, me)) = groups.zip(me) else {
        return GONE_AFTER;
    };
    let of_it: BTreeSet<_> = groups.groups_of(id).into_iter().collect();
    let mut of_me = groups.groups_of(me).into_iter();
    if of_it.is_empty() || of_me.any(|group| of_it.contains(&group)) {
        GONE_AFTER
    } else {
        FOREIGN_GONE_AFTER
    }
}

/// Those of these nodes that live.
pub fn alive(nodes: &[StorageNode]) -> BTreeSet<ReplicaId> {
    let alive = nodes.iter().filter(|node| node.alive);
    alive.map(|node| node.replica.id).collect()
}
