//! A configuration voter stores the newest revision durably and reports it on request.
//!
//! The durable state is [`StoredVoter`]. A voter reports a revision only after its write is durable,
//! so the reported revision never decreases. A voter that starts without stored state is new or has
//! lost its disk. It is not eligible, so its answers do not count towards a quorum, until it has
//! caught up: either from [`Voters::recovery_quorum`] other voters after [`DISK_LOSS_QUARANTINE`], or
//! from the platform's document, to which every acknowledged revision was written first.

use std::collections::BTreeMap;
use std::sync::Arc;

use ridgeworks_domain::{MonotonicTime, NodeId};

use crate::effect::Effect;
use crate::message::{ConfigurationMessage, KnownVersions, VoterAnswer};
use crate::outbox::Outbox;
use crate::quorum::Voters;
use crate::revision::{RequestId, Revision};
use crate::set::ConfigurationSet;
use crate::settings::{DISK_LOSS_QUARANTINE, RETRY_INTERVAL, VERSION_REPORT_INTERVAL};
use crate::staged::StagedSets;
use crate::update::Update;
use crate::voter_state::StoredVoter;

/// A reply that is sent once its revision is durable.
#[derive(Debug)]
struct PendingReply {
    to: NodeId,
    request: RequestId,
    revision: Revision,
}

#[derive(Debug)]
struct WriteInFlight {
    number: u64,
    set: Arc<ConfigurationSet>,
    is_eligible: bool,
}

/// Recovery after the loss of the disk.
#[derive(Debug)]
struct Recovery {
    started: MonotonicTime,
    requested_at: Option<MonotonicTime>,
    requests: BTreeMap<RequestId, NodeId>,
    answers: BTreeMap<NodeId, Revision>,
}

/// One configuration voter.
#[derive(Debug)]
pub(crate) struct Voter {
    node: NodeId,
    voters: Voters,
    durable: Arc<ConfigurationSet>,
    /// Received configurations; the newest is written next.
    received: StagedSets,
    is_eligible: bool,
    /// Whether the next write marks the voter as eligible.
    eligible_after_write: bool,
    write: Option<WriteInFlight>,
    last_write: u64,
    replies: Vec<PendingReply>,
    recovery: Option<Recovery>,
    last_version_report: Option<MonotonicTime>,
}

impl Voter {
    pub(crate) fn new(
        node: NodeId,
        voters: Voters,
        stored: Option<StoredVoter>,
        now: MonotonicTime,
    ) -> Self {
        let is_eligible = stored.as_ref().is_some_and(|stored| stored.vouches);
        let set = stored.map(|stored| ConfigurationSet::from_snapshot(&stored.whole));
        let durable = Arc::new(set.unwrap_or_default());
        let mut received = StagedSets::default();
        received.stage(Arc::clone(&durable));
        let recovery = (!is_eligible).then(|| Recovery {
            started: now,
            requested_at: None,
            requests: BTreeMap::new(),
            answers: BTreeMap::new(),
        });
        Self {
            node,
            voters,
            durable,
            received,
            is_eligible,
            eligible_after_write: is_eligible,
            write: None,
            last_write: 0,
            replies: Vec::new(),
            recovery,
            last_version_report: None,
        }
    }

    /// The newest durable configuration.
    pub(crate) fn durable(&self) -> &Arc<ConfigurationSet> {
        &self.durable
    }

    /// Whether the voter holds every revision that it ever acknowledged.
    pub(crate) fn is_eligible(&self) -> bool {
        self.is_eligible
    }

    /// The voter's answer to a renewal; empty while it is not eligible.
    pub(crate) fn answers(&self) -> Vec<VoterAnswer> {
        if !self.is_eligible {
            return Vec::new();
        }
        vec![VoterAnswer {
            voter: self.node,
            newest: self.durable.revision(),
        }]
    }

    /// Stores a configuration for a coordinator or another voter.
    pub(crate) fn replicate(
        &mut self,
        from: NodeId,
        request: RequestId,
        update: &Update,
        machines: u64,
        outbox: &mut Outbox,
    ) {
        let is_applicable = self.received.stage_update(update).is_ok();
        if is_applicable && update.revision > self.durable.revision() {
            self.replies.push(PendingReply {
                to: from,
                request,
                revision: update.revision,
            });
            self.start_write(outbox);
            return;
        }
        outbox.send(from, self.stored(Some(request), machines));
    }

    /// Stores a configuration that this node's watcher observed.
    pub(crate) fn apply_watched(&mut self, set: &Arc<ConfigurationSet>, outbox: &mut Outbox) {
        self.received.stage(Arc::clone(set));
        self.start_write(outbox);
    }

    /// Stores a configuration that this node read from the platform's store after the voter started.
    /// It includes every revision that this voter ever acknowledged, so it completes a recovery.
    pub(crate) fn apply_read(&mut self, set: &Arc<ConfigurationSet>, outbox: &mut Outbox) {
        if self.recovery.is_some() && set.revision() >= self.durable.revision() {
            self.eligible_after_write = true;
        }
        self.apply_watched(set, outbox);
    }

    /// Handles the completion of a write and sends the replies that waited for it.
    pub(crate) fn flushed(&mut self, number: u64, machines: u64, outbox: &mut Outbox) {
        let Some(write) = self.write.take_if(|write| write.number <= number) else {
            return;
        };
        let advanced = write.set.revision() > self.durable.revision();
        self.durable = write.set;
        self.received.promote(self.durable.revision());
        if write.is_eligible && !self.is_eligible {
            self.is_eligible = true;
            self.recovery = None;
        }
        let durable = self.durable.revision();
        let is_ready = |reply: &mut PendingReply| reply.revision <= durable;
        let ready: Vec<PendingReply> = self.replies.extract_if(.., is_ready).collect();
        for reply in ready {
            outbox.send(reply.to, self.stored(Some(reply.request), machines));
        }
        if advanced {
            self.send_version_report(machines, outbox);
        }
        self.start_write(outbox);
    }

    /// Handles another voter's report of its versions: sends the other voter what it lacks, or reports
    /// this voter's versions so that the other one sends what is missing here.
    pub(crate) fn on_version_report(
        &mut self,
        from: NodeId,
        known: KnownVersions,
        machines: u64,
        outbox: &mut Outbox,
    ) {
        if let Some(update) = self.durable.update_since(known.newest) {
            let request = outbox.next_request();
            let update = Box::new(update);
            outbox.send(from, ConfigurationMessage::Replicate { request, update });
        } else if known.newest > self.received.newest().revision() {
            outbox.send(from, self.stored(None, machines));
        }
    }

    /// Handles another voter's answer to a request of the recovery.
    pub(crate) fn on_newest(
        &mut self,
        from: NodeId,
        request: RequestId,
        newest: Revision,
        vouches: bool,
        update: Option<&Update>,
        outbox: &mut Outbox,
    ) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        if recovery.requests.remove(&request) != Some(from) {
            return;
        }
        if vouches {
            recovery.answers.insert(from, newest);
        }
        if let Some(update) = update {
            // An update that cannot be applied is requested again.
            let _ = self.received.stage_update(update);
        }
        self.try_recover();
        self.start_write(outbox);
    }

    /// Sends reports of this voter's versions and requests of the recovery when they are due.
    pub(crate) fn tick(&mut self, now: MonotonicTime, machines: u64, outbox: &mut Outbox) {
        let due = |last: MonotonicTime| now.since(last) >= VERSION_REPORT_INTERVAL;
        if self.last_version_report.is_none_or(due) {
            self.last_version_report = Some(now);
            self.send_version_report(machines, outbox);
        }
        self.request_from_others(now, machines, outbox);
    }

    fn request_from_others(&mut self, now: MonotonicTime, machines: u64, outbox: &mut Outbox) {
        let newest = self.received.newest().revision();
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        let in_quarantine = now.since(recovery.started) < DISK_LOSS_QUARANTINE;
        let requested_recently =
            |requested_at: MonotonicTime| now.since(requested_at) < RETRY_INTERVAL;
        if in_quarantine || recovery.requested_at.is_some_and(requested_recently) {
            return;
        }
        recovery.requested_at = Some(now);
        let others = self.voters.nodes().iter();
        for other in others.filter(|other| **other != self.node) {
            let request = outbox.next_request();
            recovery.requests.insert(request, *other);
            let known = KnownVersions { newest, machines };
            let message = ConfigurationMessage::FetchNewest { request, known };
            outbox.send(*other, message);
        }
    }

    /// Lets the next write make the voter eligible, once a recovery quorum has answered and the voter
    /// has received the newest revision among the answers.
    fn try_recover(&mut self) {
        let Some(recovery) = &self.recovery else {
            return;
        };
        if recovery.answers.len() < self.voters.recovery_quorum() {
            return;
        }
        let target = recovery.answers.values().max().copied();
        if self.received.newest().revision() >= target.unwrap_or_default() {
            self.eligible_after_write = true;
        }
    }

    /// Starts a write unless one is in flight; later changes are combined into the next write.
    fn start_write(&mut self, outbox: &mut Outbox) {
        let newest = self.received.newest();
        let has_changes = newest.revision() > self.durable.revision()
            || self.eligible_after_write != self.is_eligible;
        if !has_changes || self.write.is_some() {
            return;
        }
        self.last_write += 1;
        let state = StoredVoter {
            whole: newest.snapshot(),
            vouches: self.eligible_after_write,
        };
        self.write = Some(WriteInFlight {
            number: self.last_write,
            set: Arc::clone(newest),
            is_eligible: self.eligible_after_write,
        });
        outbox.effect(Effect::Write {
            write: self.last_write,
            state,
        });
    }

    fn send_version_report(&self, machines: u64, outbox: &mut Outbox) {
        let others = self.voters.nodes().iter();
        for other in others.filter(|other| **other != self.node) {
            outbox.send(*other, self.stored(None, machines));
        }
    }

    fn stored(&self, request: Option<RequestId>, machines: u64) -> ConfigurationMessage {
        let newest = self.durable.revision();
        ConfigurationMessage::Stored {
            request,
            known: KnownVersions { newest, machines },
        }
    }
}
