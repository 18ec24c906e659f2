//! Carries messages between the roles of this node and those of others.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use ridgeworks_domain::NodeId;
use ridgeworks_link::{Delivery, LinkClosed, Links, Peer};
use ridgeworks_run_log::message::Message as RunLogMessage;
use stakker::{Actor, CX, Fwd, call};

use crate::directory::Directory;
use crate::membership::SeedMessage;
use crate::message::NodeMessage;

/// A message to a role of some node, this one included.
#[derive(Debug)]
pub struct Outgoing {
    /// The node.
    pub to: NodeId,
    /// The message.
    pub message: NodeMessage,
}

/// A message that arrived for a role of this node.
#[derive(Debug)]
pub struct Incoming {
    /// The node that sent it.
    pub from: NodeId,
    /// The message.
    pub message: NodeMessage,
}

/// Where the messages for each role go.
pub struct Roles {
    /// The gateway role.
    pub gateway: Fwd<Incoming>,
    /// The owner role.
    pub owner: Fwd<Incoming>,
    /// The replica role.
    pub replica: Fwd<Incoming>,
    /// The dispatcher role.
    pub dispatcher: Fwd<Incoming>,
    /// The membership role.
    pub membership: Fwd<Incoming>,
    /// The configuration role.
    pub configuration: Fwd<Incoming>,
    /// Signs of life of other nodes, from messages other than probes.
    pub alive: Fwd<NodeId>,
    /// Links that closed.
    pub link_closed: Fwd<NodeId>,
    /// Orders to stop as planned.
    pub drain: Fwd<Incoming>,
}

/// Signs of life of one node are passed on no more often than this.
const ALIVE_INTERVAL: Duration = Duration::from_millis(100);

/// Actor that routes messages.
pub struct Router {
    node: NodeId,
    directory: Directory,
    links: Actor<Links>,
    roles: Roles,
    last_alive: HashMap<NodeId, Instant>,
}

impl Router {
    /// Starts the actor.
    pub fn init(
        _cx: CX![],
        node: NodeId,
        directory: Directory,
        links: Actor<Links>,
        roles: Roles,
    ) -> Option<Self> {
        Some(Self {
            node,
            directory,
            links,
            roles,
            last_alive: HashMap::new(),
        })
    }

    /// Sends a message; to this node it goes without a link.
    pub fn send(&mut self, _cx: CX![], outgoing: Outgoing) {
        let Outgoing { to, message } = outgoing;
        if to == self.node {
            let from = self.node;
            self.hand_over(Incoming { from, message });
            return;
        }
        // A node that no member list names any more can't be reached; the sender repeats or gives up.
        if let Some(address) = self.directory.address_of(to) {
            let peer = Peer { node: to, address };
            call!([self.links], send(peer, message.encode()));
        }
    }

    /// Sends a message to an address whose node is not known yet.
    pub fn send_to_seed(&mut self, _cx: CX![], seed: SeedMessage) {
        let SeedMessage { address, message } = seed;
        let node = NodeId::from_name(&address.to_string());
        let peer = Peer { node, address };
        call!([self.links], send(peer, message.encode()));
    }

    /// Takes a message from a link. A malformed one is dropped: its sender is of another version.
    pub fn deliver(&mut self, cx: CX![], delivery: Delivery) {
        let Delivery { from, body } = delivery;
        let Ok(message) = NodeMessage::decode(&body) else {
            return;
        };
        self.note_alive(cx.now(), from, &message);
        self.hand_over(Incoming { from, message });
    }

    /// Takes the news that a link closed.
    pub fn link_closed(&mut self, _cx: CX![], closed: LinkClosed) {
        self.roles.link_closed.fwd(closed.peer.node);
    }

    fn note_alive(&mut self, now: Instant, from: NodeId, message: &NodeMessage) {
        if matches!(message, NodeMessage::Membership(_)) {
            return;
        }
        let last = self.last_alive.get(&from);
        if last.is_some_and(|last| now.duration_since(*last) < ALIVE_INTERVAL) {
            return;
        }
        self.last_alive.insert(from, now);
        self.roles.alive.fwd(from);
    }

    fn hand_over(&self, incoming: Incoming) {
        let role = match incoming.message {
            NodeMessage::ToOwner { .. }
            | NodeMessage::ToOwnerOfTicket(_)
            | NodeMessage::OwnershipQuery { .. }
            | NodeMessage::OwnershipAnswer { .. }
            | NodeMessage::AdoptRuns { .. } => &self.roles.owner,
            NodeMessage::Drain => &self.roles.drain,
            NodeMessage::ToGateway { .. } => &self.roles.gateway,
            NodeMessage::EndedRunsQuery { .. } => &self.roles.replica,
            NodeMessage::EndedRunsAnswer { .. } => &self.roles.dispatcher,
            NodeMessage::RunLog(RunLogMessage::Request(_)) => &self.roles.replica,
            NodeMessage::RunLog(RunLogMessage::Reply(_)) => &self.roles.owner,
            NodeMessage::ToDispatcher(_) => &self.roles.dispatcher,
            NodeMessage::Membership(_) => &self.roles.membership,
            NodeMessage::Configuration(_) => &self.roles.configuration,
        };
        role.fwd(incoming);
    }
}
