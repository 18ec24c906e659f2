//! A configuration voter: it keeps the newest revision on its disk and tells it to whoever asks.
//!
//! Survives a crash: [`StoredVoter`]. A voter answers for a revision only after the write of it is
//! durable, so its answers never go back. A voter that starts without its state has lost its disk
//! or is new: it does not vouch for what is newest until it has caught up, either from
//! [`Voters::recovery_quorum`] other voters after a quarantine, or from the platform's document,
//! which every acknowledged revision was written to first.

use std::collections::BTreeMap;
use std::sync::Arc;

use ridgeworks_domain::{MonotonicTime, NodeId};

use crate::effect::Effect;
use crate::message::{ConfigurationMessage, Known, VoterAnswer};
use crate::outbox::Outbox;
use crate::quorum::Voters;
use crate::revision::{RequestId, Revision};
use crate::set::ConfigurationSet;
use crate::settings::{DIGEST_INTERVAL, DISK_LOSS_QUARANTINE, RETRY_INTERVAL};
use crate::staged::StagedSets;
use crate::update::Update;
use crate::voter_state::StoredVoter;

/// A reply that waits for a write.
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
    vouches: bool,
}

/// Catching up after a lost disk.
#[derive(Debug)]
struct Recovery {
    started: MonotonicTime,
    asked: Option<MonotonicTime>,
    requests: BTreeMap<RequestId, NodeId>,
    answers: BTreeMap<NodeId, Revision>,
}

/// One configuration voter.
#[derive(Debug)]
pub(crate) struct Voter {
    node: NodeId,
    voters: Voters,
    durable: Arc<ConfigurationSet>,
    /// Configurations taken, of which the newest is to be written.
    taken: StagedSets,
    vouches: bool,
    /// Whether the next write shall say that the voter vouches.
    shall_vouch: bool,
    write: Option<WriteInFlight>,
    last_write: u64,
    replies: Vec<PendingReply>,
    recovery: Option<Recovery>,
    last_digest: Option<MonotonicTime>,
}

impl Voter {
    pub(crate) fn new(
        node: NodeId,
        voters: Voters,
        stored: Option<StoredVoter>,
        now: MonotonicTime,
    ) -> Self {
        let vouches = stored.as_ref().is_some_and(|stored| stored.vouches);
        let set = stored.map(|stored| ConfigurationSet::from_whole(&stored.whole));
        let durable = Arc::new(set.unwrap_or_default());
        let mut taken = StagedSets::default();
        taken.stage(Arc::clone(&durable));
        let recovery = (!vouches).then(|| Recovery {
            started: now,
            asked: None,
            requests: BTreeMap::new(),
            answers: BTreeMap::new(),
        });
        Self {
            node,
            voters,
            durable,
            taken,
            vouches,
            shall_vouch: vouches,
            write: None,
            last_write: 0,
            replies: Vec::new(),
            recovery,
            last_digest: None,
        }
    }

    /// The newest durable configuration.
    pub(crate) fn durable(&self) -> &Arc<ConfigurationSet> {
        &self.durable
    }

    /// Whether the voter knows every revision that it ever acknowledged.
    pub(crate) fn vouches(&self) -> bool {
        self.vouches
    }

    /// The voter's answer to a renewal: none while it does not vouch.
    pub(crate) fn answers(&self) -> Vec<VoterAnswer> {
        if !self.vouches {
            return Vec::new();
        }
        vec![VoterAnswer {
            voter: self.node,
            newest: self.durable.revision(),
        }]
    }

    /// Takes a revision that a coordinator or another voter asks to store.
    pub(crate) fn replicate(
        &mut self,
        from: NodeId,
        request: RequestId,
        update: &Update,
        machines: u64,
        outbox: &mut Outbox,
    ) {
        let fits = self.taken.stage_update(update).is_ok();
        if fits && update.revision > self.durable.revision() {
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

    /// Takes a configuration that a watcher of this node was told of.
    pub(crate) fn take_watched(&mut self, set: &Arc<ConfigurationSet>, outbox: &mut Outbox) {
        self.taken.stage(Arc::clone(set));
        self.start_write(outbox);
    }

    /// Takes a configuration that this node read from the platform's store after the voter
    /// started: it holds every revision that this voter ever acknowledged.
    pub(crate) fn take_read(&mut self, set: &Arc<ConfigurationSet>, outbox: &mut Outbox) {
        if self.recovery.is_some() && set.revision() >= self.durable.revision() {
            self.shall_vouch = true;
        }
        self.take_watched(set, outbox);
    }

    /// Takes the news that a write is durable, and gives the replies that waited for it.
    pub(crate) fn flushed(&mut self, number: u64, machines: u64, outbox: &mut Outbox) {
        let Some(write) = self.write.take_if(|write| write.number <= number) else {
            return;
        };
        let grown = write.set.revision() > self.durable.revision();
        self.durable = write.set;
        self.taken.promote(self.durable.revision());
        if write.vouches && !self.vouches {
            self.vouches = true;
            self.recovery = None;
        }
        let durable = self.durable.revision();
        let is_ready = |reply: &mut PendingReply| reply.revision <= durable;
        let ready: Vec<PendingReply> = self.replies.extract_if(.., is_ready).collect();
        for reply in ready {
            outbox.send(reply.to, self.stored(Some(reply.request), machines));
        }
        if grown {
            self.send_digest(machines, outbox);
        }
        self.start_write(outbox);
    }

    /// Takes another voter's digest: sends it what it lacks, or asks for what this one lacks.
    pub(crate) fn digest(
        &mut self,
        from: NodeId,
        known: Known,
        machines: u64,
        outbox: &mut Outbox,
    ) {
        if let Some(update) = self.durable.update_since(known.newest) {
            let request = outbox.next_request();
            let update = Box::new(update);
            outbox.send(from, ConfigurationMessage::Replicate { request, update });
        } else if known.newest > self.taken.newest().revision() {
            outbox.send(from, self.stored(None, machines));
        }
    }

    /// Takes the answer of another voter to this one, which lost its disk.
    pub(crate) fn take_newest(
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
            // One that does not fit is asked for again.
            let _ = self.taken.stage_update(update);
        }
        self.try_recover();
        self.start_write(outbox);
    }

    /// Sends digests, and questions of a recovery, when they are due.
    pub(crate) fn tick(&mut self, now: MonotonicTime, machines: u64, outbox: &mut Outbox) {
        let due = |last: MonotonicTime| now.since(last) >= DIGEST_INTERVAL;
        if self.last_digest.is_none_or(due) {
            self.last_digest = Some(now);
            self.send_digest(machines, outbox);
        }
        self.ask_others(now, machines, outbox);
    }

    fn ask_others(&mut self, now: MonotonicTime, machines: u64, outbox: &mut Outbox) {
        let newest = self.taken.newest().revision();
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        let early = now.since(recovery.started) < DISK_LOSS_QUARANTINE;
        let asked_lately = |asked: MonotonicTime| now.since(asked) < RETRY_INTERVAL;
        if early || recovery.asked.is_some_and(asked_lately) {
            return;
        }
        recovery.asked = Some(now);
        let others = self.voters.nodes().iter();
        for other in others.filter(|other| **other != self.node) {
            let request = outbox.next_request();
            recovery.requests.insert(request, *other);
            let known = Known { newest, machines };
            let message = ConfigurationMessage::FetchNewest { request, known };
            outbox.send(*other, message);
        }
    }

    /// Vouches once the voter has what enough others had when they were asked.
    fn try_recover(&mut self) {
        let Some(recovery) = &self.recovery else {
            return;
        };
        if recovery.answers.len() < self.voters.recovery_quorum() {
            return;
        }
        let target = recovery.answers.values().max().copied();
        if self.taken.newest().revision() >= target.unwrap_or_default() {
            self.shall_vouch = true;
        }
    }

    /// One write at a time; what comes meanwhile goes into the next one.
    fn start_write(&mut self, outbox: &mut Outbox) {
        let newest = self.taken.newest();
        let news = newest.revision() > self.durable.revision() || self.shall_vouch != self.vouches;
        if !news || self.write.is_some() {
            return;
        }
        self.last_write += 1;
        let state = StoredVoter {
            whole: newest.whole(),
            vouches: self.shall_vouch,
        };
        self.write = Some(WriteInFlight {
            number: self.last_write,
            set: Arc::clone(newest),
            vouches: self.shall_vouch,
        });
        outbox.effect(Effect::Write {
            write: self.last_write,
            state,
        });
    }

    fn send_digest(&self, machines: u64, outbox: &mut Outbox) {
        let others = self.voters.nodes().iter();
        for other in others.filter(|other| **other != self.node) {
            outbox.send(*other, self.stored(None, machines));
        }
    }

    fn stored(&self, request: Option<RequestId>, machines: u64) -> ConfigurationMessage {
        let newest = self.durable.revision();
        ConfigurationMessage::Stored {
            request,
            known: Known { newest, machines },
        }
    }
}
