//! Carries requests to replicas over the node's links, and passes on those of other gateways.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_records::{Replica, ReplicaReply, ReplicaRequest};
use ridgeworks_resident::node::Node;
use ridgeworks_resident::peer::{LinkError, PeerReply, PeerRequest, RelayedRequest};
use ridgeworks_routing::Residency;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::replica_paths::{Answering, RELAY_TIMEOUT, ReplicaNetwork, ReplicaPaths};

/// A gateway silent for so long is not asked to pass anything on; in a large fleet each is heard every few seconds.
const RELAY_SILENCE: Duration = Duration::from_secs(10);

/// The links of a node.
pub struct NodeNetwork(pub Rc<Node>);

impl NodeNetwork {
    fn call(&self, to: SocketAddr, request: PeerRequest, timeout: Duration) -> Answering {
        let node = Rc::clone(&self.0);
        Box::pin(async move { read_reply(node.links.call(to, request, timeout).await) })
    }
}

impl ReplicaNetwork for NodeNetwork {
    fn ask(&self, replica: &Replica, request: ReplicaRequest, timeout: Duration) -> Answering {
        let Ok(address) = replica.address.parse() else {
            return Box::pin(std::future::ready(Err(LinkError::Unreachable)));
        };
        let to = replica.id;
        self.call(address, PeerRequest::Replica { to, request }, timeout)
    }

    fn ask_by(&self, relay: SocketAddr, replica: &Replica, request: ReplicaRequest) -> Answering {
        let Ok(address) = replica.address.parse() else {
            return Box::pin(std::future::ready(Err(LinkError::Unreachable)));
        };
        let to = replica.id;
        let passed = RelayedRequest {
            address,
            to,
            request,
        };
        let request = PeerRequest::Relay(Box::new(passed));
        self.call(relay, request, RELAY_TIMEOUT)
    }

    fn has_received_since(&self, replica: &Replica, since: Instant) -> bool {
        let address = replica.address.parse();
        address.is_ok_and(|address| self.0.links.has_received_since(address, since))
    }

    fn slowest_reply(&self, replica: &Replica) -> Duration {
        let address = replica.address.parse();
        address.map_or(Duration::ZERO, |address| {
            self.0.links.slowest_reply(address)
        })
    }

    fn relays(&self, residency: &Residency) -> Vec<SocketAddr> {
        let now = self.0.clock.now();
        let members = self.0.gossip.members().into_iter();
        let gateways =
            members.filter(|node| !node.info.is_replica && node.is_alive(now, RELAY_SILENCE));
        let regions = &self.0.regions;
        let gateways = gateways.filter(|node| regions.allows(residency, &node.info.zone));
        gateways.map(|node| node.info.address).collect()
    }
}

fn read_reply(reply: Result<PeerReply, LinkError>) -> Result<ReplicaReply, LinkError> {
    match reply? {
        PeerReply::Replica(reply) => Ok(reply),
        PeerReply::RelayFailed => Err(LinkError::RelayTargetUnreachable),
        _ => Err(LinkError::Broken),
    }
}

/// Passes another gateway's request on to a replica, straight only: requests must not go in circles.
pub fn pass_on(
    node: &Rc<Node>,
    paths: &ReplicaPaths,
    passed: RelayedRequest,
    reply: oneshot::Sender<PeerReply>,
) {
    let RelayedRequest {
        address,
        to,
        request,
    } = passed;
    if !paths.can_pass_on(to) {
        // Whoever asked may have given up.
        let _ = reply.send(PeerReply::RelayFailed);
        return;
    }
    let request = PeerRequest::Replica { to, request };
    let calling = NodeNetwork(Rc::clone(node)).call(address, request, RELAY_TIMEOUT);
    tokio::task::spawn_local(async move {
        let answer = calling.await;
        let answer = answer.map_or(PeerReply::RelayFailed, PeerReply::Replica);
        let _ = reply.send(answer);
    });
}
