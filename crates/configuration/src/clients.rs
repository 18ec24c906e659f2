//! Nodes that renew their leases with this one, to whom it pushes what is new.

use std::collections::BTreeMap;

use ridgeworks_domain::{MonotonicTime, NodeId};

use crate::machines::MachineList;
use crate::message::{Known, News};
use crate::revision::RequestId;
use crate::set::ConfigurationSet;
use crate::settings::{CLIENT_TIME, RENEW_INTERVAL};

/// A renewal of a client that waits for the relay's own one.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WaitingRenewal {
    /// Number of the client's request.
    pub(crate) request: RequestId,
    /// When it arrived here, on this node's clock.
    pub(crate) arrived: MonotonicTime,
}

#[derive(Debug)]
struct Client {
    seen: MonotonicTime,
    known: Known,
    waiting: Option<WaitingRenewal>,
}

/// The clients of one node.
#[derive(Debug, Default)]
pub(crate) struct Clients {
    clients: BTreeMap<NodeId, Client>,
}

impl Clients {
    pub(crate) fn len(&self) -> usize {
        self.clients.len()
    }

    pub(crate) fn contains(&self, node: NodeId) -> bool {
        self.clients.contains_key(&node)
    }

    /// Notes what a client has.
    pub(crate) fn note(&mut self, node: NodeId, known: Known, now: MonotonicTime) {
        let client = self.clients.entry(node).or_insert(Client {
            seen: now,
            known,
            waiting: None,
        });
        client.seen = now;
        client.known = known;
    }

    /// Lets a client wait for the next renewal of this node. A repeated request leaves the first
    /// one in place for a while, or a client that repeats fast would never be served.
    pub(crate) fn wait(&mut self, node: NodeId, renewal: WaitingRenewal) {
        let Some(client) = self.clients.get_mut(&node) else {
            return;
        };
        let age = |earlier: WaitingRenewal| renewal.arrived.since(earlier.arrived);
        if client
            .waiting
            .is_none_or(|earlier| age(earlier) >= RENEW_INTERVAL)
        {
            client.waiting = Some(renewal);
        }
    }

    /// When the renewal arrived that waits longest.
    pub(crate) fn waiting_since(&self) -> Option<MonotonicTime> {
        let waiting = self.clients.values().filter_map(|client| client.waiting);
        waiting.map(|renewal| renewal.arrived).min()
    }

    /// Takes out the clients whose renewals arrived before `sent_at` or then.
    pub(crate) fn take_waiting(&mut self, sent_at: MonotonicTime) -> Vec<(NodeId, RequestId)> {
        let mut taken = Vec::new();
        for (node, client) in &mut self.clients {
            if let Some(renewal) = client.waiting.take_if(|renewal| renewal.arrived <= sent_at) {
                taken.push((*node, renewal.request));
            }
        }
        taken
    }

    /// What a client lacks of `newest` and `machines`; it is taken to have it from now on.
    pub(crate) fn news_for(
        &mut self,
        node: NodeId,
        newest: &ConfigurationSet,
        in_force: &ConfigurationSet,
        machines: &MachineList,
    ) -> News {
        let Some(client) = self.clients.get_mut(&node) else {
            return News::default();
        };
        let news = News {
            update: newest.update_since(client.known.newest).map(Box::new),
            held: in_force.revision(),
            machines: machines.update_since(client.known.machines).map(Box::new),
        };
        client.known.newest = client.known.newest.max(newest.revision());
        client.known.machines = client.known.machines.max(machines.version());
        news
    }

    /// All clients.
    pub(crate) fn nodes(&self) -> Vec<NodeId> {
        self.clients.keys().copied().collect()
    }

    /// Forgets clients that no longer renew here.
    pub(crate) fn forget_idle(&mut self, now: MonotonicTime) {
        self.clients
            .retain(|_, client| now.since(client.seen) < CLIENT_TIME);
    }
}
