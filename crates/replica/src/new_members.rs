//! Asks replicas that are to join a set to copy first, and tracks which of them have.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_records::{Epoch, GroupId, Replica, ReplicaGroups, ReplicaId};
use ridgeworks_resident::node::Node;
use ridgeworks_resident::peer::{PeerReply, PeerRequest, PrepareRequest};
use tokio::time::Instant;

/// Timeout of a request to a new member.
const ASK_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a new member counts as prepared after its reply. It is asked every 200 ms; an older
/// reply belongs to a change that was given up.
const PREPARED_LIFETIME: Duration = Duration::from_secs(1);

/// State of one new member.
#[derive(Debug, Clone, Copy, Default)]
struct NewMember {
    is_pending: bool,
    /// The epoch that it has copied for, and when it replied so.
    prepared: Option<(Epoch, Instant)>,
}

impl NewMember {
    fn is_prepared(&self, epoch: Epoch) -> bool {
        let prepared = self
            .prepared
            .filter(|(_, at)| at.elapsed() < PREPARED_LIFETIME);
        prepared.is_some_and(|(prepared_epoch, _)| prepared_epoch == epoch)
    }
}

/// Key of a replica that is to join a group.
type NewMemberKey = (GroupId, ReplicaId);

/// The new members of the changes that are being prepared.
pub struct NewMembers {
    node: Rc<Node>,
    known: Rc<RefCell<BTreeMap<NewMemberKey, NewMember>>>,
}

impl NewMembers {
    pub fn new(node: Rc<Node>) -> Self {
        Self {
            node,
            known: Rc::default(),
        }
    }

    /// New members that recently held all records that a read quorum of the voters holds, at this
    /// epoch of the group.
    pub fn prepared(&self, group: GroupId, epoch: Epoch) -> BTreeSet<ReplicaId> {
        let known = self.known.borrow();
        let prepared = known.iter().filter(|((member_group, _), new_member)| {
            *member_group == group && new_member.is_prepared(epoch)
        });
        prepared.map(|((_, id), _)| *id).collect()
    }

    /// Whether a replica was asked to copy for a group.
    pub fn is_joining(&self, group: GroupId, id: ReplicaId) -> bool {
        self.known.borrow().contains_key(&(group, id))
    }

    /// Asks these replicas to copy what the voters of this group hold, and sends them the current
    /// sets. Other new members of the group are forgotten.
    pub fn ask(&self, group: GroupId, groups: &ReplicaGroups, replicas: &[Replica]) {
        let is_wanted = |id: ReplicaId| replicas.iter().any(|replica| replica.id == id);
        let mut known = self.known.borrow_mut();
        known.retain(|(member_group, id), _| *member_group != group || is_wanted(*id));
        for replica in replicas {
            let new_member = known.entry((group, replica.id)).or_default();
            if !std::mem::replace(&mut new_member.is_pending, true) {
                let request = self.ask_one(group, groups.clone(), replica.clone());
                tokio::task::spawn_local(request);
            }
        }
    }

    fn ask_one(
        &self,
        group: GroupId,
        groups: ReplicaGroups,
        replica: Replica,
    ) -> impl Future<Output = ()> + use<> {
        let node = Rc::clone(&self.node);
        let known = Rc::clone(&self.known);
        async move {
            let epoch = groups.set(group).map(|set| set.epoch);
            let is_prepared = request_preparation(&node, group, groups, &replica).await;
            if let Some(new_member) = known.borrow_mut().get_mut(&(group, replica.id)) {
                new_member.is_pending = false;
                let prepared = epoch.filter(|_| is_prepared);
                new_member.prepared = prepared.map(|epoch| (epoch, Instant::now()));
            }
        }
    }
}

/// Asks a replica to copy; returns whether it replied that it has.
async fn request_preparation(
    node: &Node,
    group: GroupId,
    groups: ReplicaGroups,
    replica: &Replica,
) -> bool {
    let Ok(address) = replica.address.parse() else {
        log::error!(
            target: "belief",
            node = replica.node.as_str(),
            address = replica.address.as_str();
            "address of a replica is invalid"
        );
        return false;
    };
    let to = replica.id;
    let request = PeerRequest::Prepare(Box::new(PrepareRequest { to, group, groups }));
    // A failed request is repeated by the next call of `ask`.
    let reply = node.links.call(address, request, ASK_TIMEOUT).await;
    matches!(reply, Ok(PeerReply::Prepared { is_ready: true }))
}
