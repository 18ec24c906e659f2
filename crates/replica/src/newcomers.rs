//! Asks replicas that are to join the set to copy first, and remembers which of them have.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_records::{Epoch, Replica, ReplicaId, ReplicaSet};
use ridgeworks_resident::node::Node;
use ridgeworks_resident::peer::{PeerReply, PeerRequest, Preparing};

/// How long a newcomer may take to say how far it is.
const ASK_TIMEOUT: Duration = Duration::from_millis(700);

/// What is known of one newcomer.
#[derive(Debug, Clone, Copy, Default)]
struct Newcomer {
    is_asked: bool,
    /// The epoch for which it has copied.
    ready: Option<Epoch>,
}

/// The newcomers of the change that is being prepared.
pub struct Newcomers {
    node: Rc<Node>,
    known: Rc<RefCell<BTreeMap<ReplicaId, Newcomer>>>,
}

impl Newcomers {
    /// Nobody was asked yet.
    pub fn new(node: Rc<Node>) -> Self {
        Self {
            node,
            known: Rc::default(),
        }
    }

    /// Those that hold what a read quorum of this epoch held moments ago.
    pub fn prepared(&self, epoch: Epoch) -> BTreeSet<ReplicaId> {
        let known = self.known.borrow();
        let ready = known.iter().filter(|(_, new)| new.ready == Some(epoch));
        ready.map(|(id, _)| *id).collect()
    }

    /// Has these replicas copy what the voters of this set hold, or tells them the set that has changed since.
    pub fn ask(&self, set: &ReplicaSet, replicas: &[Replica]) {
        let is_wanted = |id: &ReplicaId| replicas.iter().any(|replica| replica.id == *id);
        self.known.borrow_mut().retain(|id, _| is_wanted(id));
        for replica in replicas {
            let mut known = self.known.borrow_mut();
            let newcomer = known.entry(replica.id).or_default();
            if !std::mem::replace(&mut newcomer.is_asked, true) {
                tokio::task::spawn_local(self.ask_one(set.clone(), replica.clone()));
            }
        }
    }

    fn ask_one(&self, set: ReplicaSet, replica: Replica) -> impl Future<Output = ()> + use<> {
        let node = Rc::clone(&self.node);
        let known = Rc::clone(&self.known);
        async move {
            let epoch = set.epoch;
            let is_ready = is_ready(&node, set, &replica).await;
            if let Some(newcomer) = known.borrow_mut().get_mut(&replica.id) {
                newcomer.is_asked = false;
                newcomer.ready = is_ready.then_some(epoch);
            }
        }
    }
}

async fn is_ready(node: &Node, set: ReplicaSet, replica: &Replica) -> bool {
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
    let request = PeerRequest::Prepare(Box::new(Preparing { to, set }));
    // One that does not answer is asked again for as long as it is wanted.
    let reply = node.links.call(address, request, ASK_TIMEOUT).await;
    matches!(reply, Ok(PeerReply::Prepared { is_ready: true }))
}
