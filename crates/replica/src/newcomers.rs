//! Asks replicas that are to join the set to copy first, and remembers which of them have.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_records::{Epoch, GroupId, Replica, ReplicaGroups, ReplicaId};
use ridgeworks_resident::node::Node;
use ridgeworks_resident::peer::{PeerReply, PeerRequest, PrepareRequest};
use tokio::time::Instant;

/// How long a newcomer may take to say how far it is.
const ASK_TIMEOUT: Duration = Duration::from_millis(700);
/// How long it counts that a newcomer has said that it is ready. It is asked every 200 ms; an older word is of a change that was given up.
const READY_LIFETIME: Duration = Duration::from_secs(1);

/// What is known of one newcomer.
#[derive(Debug, Clone, Copy, Default)]
struct Newcomer {
    is_asked: bool,
    /// The epoch for which it has copied, and when it said so.
    ready: Option<(Epoch, Instant)>,
}

impl Newcomer {
    fn is_ready(&self, epoch: Epoch) -> bool {
        let ready = self.ready.filter(|(_, at)| at.elapsed() < READY_LIFETIME);
        ready.is_some_and(|(of, _)| of == epoch)
    }
}

/// A replica that is to join a group.
type Joining = (GroupId, ReplicaId);

/// The newcomers of the changes that are being prepared.
pub struct Newcomers {
    node: Rc<Node>,
    known: Rc<RefCell<BTreeMap<Joining, Newcomer>>>,
}

impl Newcomers {
    /// Nobody was asked yet.
    pub fn new(node: Rc<Node>) -> Self {
        Self {
            node,
            known: Rc::default(),
        }
    }

    /// Those that hold what a read quorum of this group's epoch held moments ago.
    pub fn prepared(&self, group: GroupId, epoch: Epoch) -> BTreeSet<ReplicaId> {
        let known = self.known.borrow();
        let ready = known
            .iter()
            .filter(|((of, _), new)| *of == group && new.is_ready(epoch));
        ready.map(|((_, id), _)| *id).collect()
    }

    /// Whether a replica was asked to copy for a group.
    pub fn is_joining(&self, group: GroupId, id: ReplicaId) -> bool {
        self.known.borrow().contains_key(&(group, id))
    }

    /// Has these replicas copy what the voters of this group hold, or tells them the set that has changed since.
    pub fn ask(&self, group: GroupId, groups: &ReplicaGroups, replicas: &[Replica]) {
        let is_wanted = |id: ReplicaId| replicas.iter().any(|replica| replica.id == id);
        let mut known = self.known.borrow_mut();
        known.retain(|(of, id), _| *of != group || is_wanted(*id));
        for replica in replicas {
            let newcomer = known.entry((group, replica.id)).or_default();
            if !std::mem::replace(&mut newcomer.is_asked, true) {
                let asking = self.ask_one(group, groups.clone(), replica.clone());
                tokio::task::spawn_local(asking);
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
            let is_ready = is_ready(&node, group, groups, &replica).await;
            if let Some(newcomer) = known.borrow_mut().get_mut(&(group, replica.id)) {
                newcomer.is_asked = false;
                let ready = epoch.filter(|_| is_ready);
                newcomer.ready = ready.map(|epoch| (epoch, Instant::now()));
            }
        }
    }
}

async fn is_ready(node: &Node, group: GroupId, groups: ReplicaGroups, replica: &Replica) -> bool {
    let Ok(address) = replica.address.parse() else {
        log::error!(
            target: "belief",
            node = replica.node.as_str(),
            address = replica.address.as_str();
            "address of a replica cannot be read"
        );
        return false;
    };
    let to = replica.id;
    let request = PeerRequest::Prepare(Box::new(PrepareRequest { to, group, groups }));
    // One that does not answer is asked again for as long as it is wanted.
    let reply = node.links.call(address, request, ASK_TIMEOUT).await;
    matches!(reply, Ok(PeerReply::Prepared { is_ready: true }))
}
