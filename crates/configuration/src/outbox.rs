//! Collects the effects of one event, and messages of a node to itself.

use std::collections::VecDeque;

use ridgeworks_domain::NodeId;

use crate::effect::{Effect, OperatorAnswer, PlatformOperation, Ticket};
use crate::message::ConfigurationMessage;
use crate::revision::RequestId;

/// Output shared by the components of the role.
#[derive(Debug)]
pub(crate) struct Outbox {
    node: NodeId,
    next_request: u64,
    effects: Vec<Effect>,
    local: VecDeque<ConfigurationMessage>,
}

impl Outbox {
    /// Request identifiers start from a hash of `seed`.
    pub(crate) fn new(node: NodeId, seed: u64) -> Self {
        let start = xxhash_rust::xxh3::xxh3_64_with_seed(&node.0.to_le_bytes(), seed);
        Self {
            node,
            next_request: start,
            effects: Vec::new(),
            local: VecDeque::new(),
        }
    }

    pub(crate) fn next_request(&mut self) -> RequestId {
        self.next_request = self.next_request.wrapping_add(1);
        RequestId(self.next_request)
    }

    /// Sends a message. A message to this node itself is handled after the current event.
    pub(crate) fn send(&mut self, to: NodeId, message: ConfigurationMessage) {
        if to == self.node {
            self.local.push_back(message);
            return;
        }
        self.effects.push(Effect::Send { to, message });
    }

    pub(crate) fn platform(&mut self, operation: PlatformOperation) -> RequestId {
        let request = self.next_request();
        self.effects.push(Effect::Platform { request, operation });
        request
    }

    pub(crate) fn answer(&mut self, ticket: Ticket, answer: OperatorAnswer) {
        self.effects.push(Effect::Answer { ticket, answer });
    }

    pub(crate) fn effect(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    pub(crate) fn next_local(&mut self) -> Option<ConfigurationMessage> {
        self.local.pop_front()
    }

    pub(crate) fn take(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }
}
