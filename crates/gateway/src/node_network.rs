//! Sends requests to replicas over the node's links, and relays those of other gateways.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_records::{Replica, ReplicaReply, ReplicaRequest};
use ridgeworks_resident::node::Node;
use ridgeworks_resident::peer::{LinkError, PeerReply, PeerRequest, RelayedRequest};
use ridgeworks_routing::Residency;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::replica_paths::{RELAY_TIMEOUT, ReplicaNetwork, ReplicaPaths, ReplyFuture};

/// A gateway that has not been heard from for this long is not used as a relay. In a large fleet
/// each one is heard from every few seconds.
const MAX_RELAY_SILENCE: Duration = Duration::from_secs(10);

/// Reaches replicas over the links of a node.
pub struct NodeNetwork(pub Rc<Node>);

impl NodeNetwork {
    fn call(&self, to: SocketAddr, request: PeerRequest, timeout: Duration) -> ReplyFuture {
        let node = Rc::clone(&self.0);
        Box::pin(async move { read_reply(node.links.call(to, request, timeout).await) })
    }
}

impl ReplicaNetwork for NodeNetwork {
    fn ask(&self, replica: &Replica, request: ReplicaRequest, timeout: Duration) -> ReplyFuture {
        let Ok(address) = replica.address.parse() else {
            return Box::pin(std::future::ready(Err(LinkError::Unreachable)));
        };
        let to = replica.id;
        self.call(address, PeerRequest::Replica { to, request }, timeout)
    }

    fn ask_via(
        &self,
        relay: SocketAddr,
        replica: &Replica,
        request: ReplicaRequest,
    ) -> ReplyFuture {
        let Ok(address) = replica.address.parse() else {
            return Box::pin(std::future::ready(Err(LinkError::Unreachable)));
        };
        let to = replica.id;
        let relayed = RelayedRequest {
            address,
            to,
            request,
        };
        let request = PeerRequest::Relay(Box::new(relayed));
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
            members.filter(|node| !node.info.is_replica && node.is_alive(now, MAX_RELAY_SILENCE));
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

/// Relays another gateway's request to a replica, over the direct path only to prevent loops.
pub fn relay_request(
    node: &Rc<Node>,
    paths: &ReplicaPaths,
    relayed: RelayedRequest,
    reply: oneshot::Sender<PeerReply>,
) {
    let RelayedRequest {
        address,
        to,
        request,
    } = relayed;
    if !paths.can_relay_to(to) {
        // The receiver is gone when the requester has given up.
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
