//! Replication of a configuration to a majority of the voters.

use std::collections::BTreeMap;
use std::sync::Arc;

use ridgeworks_domain::{MonotonicTime, NodeId};

use crate::message::ConfigurationMessage;
use crate::outbox::Outbox;
use crate::quorum::Voters;
use crate::revision::{RequestId, Revision};
use crate::set::ConfigurationSet;
use crate::settings::{QUORUM_WINDOW, RETRY_INTERVAL};

/// The revision that a voter acknowledged, and when the answered request was sent.
#[derive(Debug, Clone, Copy)]
struct Acknowledgement {
    revision: Revision,
    sent_at: MonotonicTime,
}

/// Sends the newest target configuration to the voters until they acknowledge it.
#[derive(Debug)]
pub(crate) struct Replication {
    voters: Voters,
    target: Arc<ConfigurationSet>,
    requests: BTreeMap<RequestId, (NodeId, MonotonicTime)>,
    acknowledged: BTreeMap<NodeId, Acknowledgement>,
    /// Revision that each voter last reported or is assumed to hold, the base of the deltas sent to it.
    reported: BTreeMap<NodeId, Revision>,
    last_sent: Option<MonotonicTime>,
}

impl Replication {
    pub(crate) fn new(voters: Voters) -> Self {
        Self {
            voters,
            target: Arc::new(ConfigurationSet::default()),
            requests: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            reported: BTreeMap::new(),
            last_sent: None,
        }
    }

    /// The newest configuration to replicate.
    pub(crate) fn target(&self) -> &Arc<ConfigurationSet> {
        &self.target
    }

    /// Sets a newer target and sends it at once. `base` is the revision that voters probably hold.
    pub(crate) fn start(
        &mut self,
        set: &Arc<ConfigurationSet>,
        base: Revision,
        now: MonotonicTime,
        outbox: &mut Outbox,
    ) {
        if set.revision() <= self.target.revision() {
            return;
        }
        self.target = Arc::clone(set);
        for voter in self.voters.nodes() {
            let reported = self.reported.entry(*voter).or_insert(base);
            *reported = base.max(*reported);
        }
        self.send(now, outbox);
    }

    /// Handles an acknowledgement. A voter that is behind the target is sent what it lacks.
    pub(crate) fn acknowledge(
        &mut self,
        from: NodeId,
        request: RequestId,
        newest: Revision,
        now: MonotonicTime,
        outbox: &mut Outbox,
    ) {
        let Some((voter, sent_at)) = self.requests.remove(&request) else {
            return;
        };
        if voter != from {
            return;
        }
        self.reported.insert(from, newest);
        let acknowledgement = Acknowledgement {
            revision: newest,
            sent_at,
        };
        self.acknowledged.insert(from, acknowledgement);
        if newest < self.target.revision() {
            self.send_to(from, now, outbox);
        }
    }

    /// The highest revision that a majority is known to hold. Only answers to requests younger than
    /// [`QUORUM_WINDOW`] count, since a voter may lose its disk after it answered.
    pub(crate) fn held(&self, now: MonotonicTime) -> Option<Revision> {
        let recent = self
            .acknowledged
            .values()
            .filter(|answer| now.since(answer.sent_at) < QUORUM_WINDOW);
        let quorum_result = self
            .voters
            .quorum_result(recent.map(|answer| answer.revision))?;
        Some(quorum_result.held)
    }

    /// Sends the target again to voters that have not acknowledged it, every [`RETRY_INTERVAL`].
    pub(crate) fn retry(&mut self, now: MonotonicTime, outbox: &mut Outbox) {
        let due = |sent: MonotonicTime| now.since(sent) >= RETRY_INTERVAL;
        if self.last_sent.is_none_or(due) {
            self.send(now, outbox);
        }
    }

    fn send(&mut self, now: MonotonicTime, outbox: &mut Outbox) {
        self.last_sent = Some(now);
        self.requests
            .retain(|_, (_, sent_at)| now.since(*sent_at) < QUORUM_WINDOW);
        for voter in self.voters.nodes().to_vec() {
            if !self.is_acknowledged(voter, now) {
                self.send_to(voter, now, outbox);
            }
        }
    }

    fn send_to(&mut self, voter: NodeId, now: MonotonicTime, outbox: &mut Outbox) {
        let base = self.reported.get(&voter).copied().unwrap_or_default();
        let update = self.target.update_since(base);
        let update = Box::new(update.unwrap_or_else(|| self.target.snapshot()));
        let request = outbox.next_request();
        self.requests.insert(request, (voter, now));
        outbox.send(voter, ConfigurationMessage::Replicate { request, update });
    }

    fn is_acknowledged(&self, voter: NodeId, now: MonotonicTime) -> bool {
        self.acknowledged.get(&voter).is_some_and(|answer| {
            answer.revision >= self.target.revision() && now.since(answer.sent_at) < QUORUM_WINDOW
        })
    }
}
