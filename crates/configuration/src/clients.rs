//! Clients: nodes that renew their leases through this node and receive its pushes.

use std::collections::BTreeMap;

use ridgeworks_domain::{MonotonicTime, NodeId};

use crate::machines::MachineList;
use crate::message::{KnownVersions, StateDelta};
use crate::revision::RequestId;
use crate::set::ConfigurationSet;
use crate::settings::{CLIENT_EXPIRY, RENEW_INTERVAL};

/// A client's renewal that waits for the relay's own renewal.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WaitingRenewal {
    /// Identifier of the client's request.
    pub(crate) request: RequestId,
    /// Time of arrival on this node's clock.
    pub(crate) arrived: MonotonicTime,
}

#[derive(Debug)]
struct Client {
    seen: MonotonicTime,
    known: KnownVersions,
    waiting: Option<WaitingRenewal>,
}

/// All clients of one node.
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

    /// Records that a client renewed, and the versions that it holds.
    pub(crate) fn record_renewal(
        &mut self,
        node: NodeId,
        known: KnownVersions,
        now: MonotonicTime,
    ) {
        let client = self.clients.entry(node).or_insert(Client {
            seen: now,
            known,
            waiting: None,
        });
        client.seen = now;
        client.known = known;
    }

    /// Queues a client's renewal until a renewal that this node sends at or after its arrival is
    /// granted. A repeated request replaces a queued one only if it arrived at least
    /// [`RENEW_INTERVAL`] later: replacing it resets the arrival time, so a client that retries fast
    /// would never be answered.
    pub(crate) fn enqueue(&mut self, node: NodeId, renewal: WaitingRenewal) {
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

    /// Arrival time of the oldest queued renewal.
    pub(crate) fn waiting_since(&self) -> Option<MonotonicTime> {
        let waiting = self.clients.values().filter_map(|client| client.waiting);
        waiting.map(|renewal| renewal.arrived).min()
    }

    /// Removes and returns the queued renewals that arrived at or before `sent_at`.
    pub(crate) fn drain_waiting(&mut self, sent_at: MonotonicTime) -> Vec<(NodeId, RequestId)> {
        let mut drained = Vec::new();
        for (node, client) in &mut self.clients {
            if let Some(renewal) = client.waiting.take_if(|renewal| renewal.arrived <= sent_at) {
                drained.push((*node, renewal.request));
            }
        }
        drained
    }

    /// What a client lacks of `newest` and `machines`. The client is assumed to receive it, so that
    /// later deltas start from there.
    pub(crate) fn delta_for(
        &mut self,
        node: NodeId,
        newest: &ConfigurationSet,
        in_force: &ConfigurationSet,
        machines: &MachineList,
    ) -> StateDelta {
        let Some(client) = self.clients.get_mut(&node) else {
            return StateDelta::default();
        };
        let news = StateDelta {
            update: newest.update_since(client.known.newest).map(Box::new),
            held: in_force.revision(),
            machines: machines.update_since(client.known.machines).map(Box::new),
        };
        client.known.newest = client.known.newest.max(newest.revision());
        client.known.machines = client.known.machines.max(machines.version());
        news
    }

    pub(crate) fn nodes(&self) -> Vec<NodeId> {
        self.clients.keys().copied().collect()
    }

    /// Removes clients that have not renewed for [`CLIENT_EXPIRY`].
    pub(crate) fn remove_idle(&mut self, now: MonotonicTime) {
        self.clients
            .retain(|_, client| now.since(client.seen) < CLIENT_EXPIRY);
    }
}
