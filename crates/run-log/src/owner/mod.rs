//! The owner of one run: orders its calls, holds its budget, writes its log.
//!
//! Has no disk; what must survive is in the log. A node makes one [`RunOwner`] for each run that it opens or takes over,
//! feeds it [`OwnerEvent`]s and carries out the [`OwnerEffect`]s that it hands back, in order. After
//! [`OwnerEffect::SteppedDown`], [`OwnerEffect::RunUnknown`] or [`OwnerEffect::InvalidLog`] it is of no further use.

mod calls;
mod waiting;

use std::collections::BTreeMap;
use std::time::Duration;

use ridgeworks_domain::{Ballot, MonotonicTime, NodeId, Refusal, RefusalReason, RunId, Sequence};

use crate::entry::{Entry, LogEntry, LogIndex, Opening, ReplicaId};
use crate::event::{CallerAnswer, CallerId, OwnerEffect, OwnerEvent};
use crate::proposer::{Proposer, ProposerState};
use crate::replication::ReplicationSettings;
use crate::run_state::{LiveAttempt, RunState};

use waiting::{Deferred, Waiting, caller_of};

/// Limits of an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerSettings {
    /// Limits of replication.
    pub replication: ReplicationSettings,
    /// Time after which a back end that has not answered a fence is asked again.
    pub fence_interval: Duration,
}

impl Default for OwnerSettings {
    fn default() -> Self {
        Self {
            replication: ReplicationSettings::default(),
            fence_interval: Duration::from_millis(200),
        }
    }
}

/// An attempt whose back end was asked to fence it.
#[derive(Debug, Clone)]
struct Fence {
    attempt: LiveAttempt,
    last_sent: MonotonicTime,
}

/// The owner of one run.
pub struct RunOwner {
    run: RunId,
    settings: OwnerSettings,
    proposer: Proposer,
    state: RunState,
    /// Entries up to here are in `state`.
    applied: LogIndex,
    /// Committed entries up to here had their effects.
    acted: LogIndex,
    ready: bool,
    stopped: bool,
    waiting: Waiting,
    /// The slot that the dispatcher was asked for.
    grant: Option<(Sequence, u32)>,
    fence: Option<Fence>,
    children_at: BTreeMap<RunId, LogIndex>,
    effects: Vec<OwnerEffect>,
}

impl RunOwner {
    /// Opens a run whose number was drawn just now, after the identities in `opening.replicas` were read from the replicas.
    pub fn open(
        run: RunId,
        node: NodeId,
        opening: Opening,
        settings: OwnerSettings,
        now: MonotonicTime,
    ) -> (Self, Vec<OwnerEffect>) {
        let proposer = Proposer::open(run, node, opening, settings.replication, now);
        Self::start(run, proposer, settings, now)
    }

    /// Takes over a run.
    ///
    /// `instance` is a random number other than 0, new for every takeover of any node. `known` is the highest ballot heard
    /// of, or [`Ballot::ZERO`]. `contacts` are the nodes that the run's number or a redirect names.
    pub fn take_over(
        run: RunId,
        node: NodeId,
        instance: u64,
        known: Ballot,
        contacts: &[NodeId],
        settings: OwnerSettings,
        now: MonotonicTime,
    ) -> (Self, Vec<OwnerEffect>) {
        let replication = settings.replication;
        let proposer = Proposer::take_over(run, node, instance, known, contacts, replication, now);
        Self::start(run, proposer, settings, now)
    }

    /// The run's state, proposals that are not committed yet included.
    pub fn state(&self) -> &RunState {
        &self.state
    }

    /// Whether the run takes calls.
    pub fn is_ready(&self) -> bool {
        self.ready && !self.stopped
    }

    /// Whether it is of no further use.
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// Whether nothing is under way: no call, no waiting caller, nothing uncommitted, and no end that some replica was
    /// not told of. Replicas forget only runs whose end they know to be committed.
    pub fn is_idle(&self) -> bool {
        let quiet = self.waiting.pending.is_none() && self.waiting.deferred.is_empty();
        let committed = self.proposer.commit_index() == self.applied;
        let end_told = !self.state.is_closed() || self.proposer.has_told_commit();
        self.is_ready() && quiet && committed && end_told && self.state.call_under_way().is_none()
    }

    /// Everything up to here is committed.
    pub fn commit_index(&self) -> LogIndex {
        self.proposer.commit_index()
    }

    /// The entry at `index`, committed or not; `None` unless the claim is won.
    pub fn entry(&self, index: LogIndex) -> Option<&LogEntry> {
        self.proposer.entry(index)
    }

    /// The replica set in use; empty before the claim is won.
    pub fn replicas(&self) -> &[ReplicaId] {
        self.proposer.members()
    }

    /// Takes an event; hands back what is to be done, in order.
    pub fn handle(&mut self, event: OwnerEvent, now: MonotonicTime) -> Vec<OwnerEffect> {
        if self.stopped {
            self.answer_stopped(event);
        } else {
            self.take_event(event, now);
            self.pump(now);
        }
        std::mem::take(&mut self.effects)
    }

    fn start(
        run: RunId,
        proposer: Proposer,
        settings: OwnerSettings,
        now: MonotonicTime,
    ) -> (Self, Vec<OwnerEffect>) {
        let mut owner = Self {
            run,
            settings,
            proposer,
            state: RunState::new(),
            applied: LogIndex::NONE,
            acted: LogIndex::NONE,
            ready: false,
            stopped: false,
            waiting: Waiting::default(),
            grant: None,
            fence: None,
            children_at: BTreeMap::new(),
            effects: Vec::new(),
        };
        owner.pump(now);
        let effects = std::mem::take(&mut owner.effects);
        (owner, effects)
    }

    fn take_event(&mut self, event: OwnerEvent, now: MonotonicTime) {
        match event {
            OwnerEvent::Reply { from, reply } => self.proposer.handle(from, &reply, now),
            OwnerEvent::Tick => self.tick(now),
            OwnerEvent::CallerLeft { caller } => self.waiting.forget(caller),
            OwnerEvent::CheckReplicas => {
                self.proposer.confirm(now);
            }
            OwnerEvent::ReplaceReplica { old, new } => {
                self.proposer.replace_replica(old, new, now);
            }
            OwnerEvent::Fenced {
                call,
                attempt,
                resolution,
            } => self.attempt_resolved(call, attempt, resolution, now),
            OwnerEvent::AttemptFinished {
                call,
                attempt,
                outcome,
            } => self.attempt_finished(call, attempt, outcome, now),
            OwnerEvent::Granted {
                call,
                attempt,
                backend,
                address,
            } => self.granted(
                LiveAttempt {
                    call,
                    attempt,
                    backend,
                    address,
                },
                now,
            ),
            OwnerEvent::GrantRefused {
                call,
                attempt,
                refusal,
            } => self.grant_refused(call, attempt, refusal, now),
            request if self.ready => self.take_request(request, now),
            request => self.waiting.queued.push((now, request)),
        }
    }

    fn take_request(&mut self, request: OwnerEvent, now: MonotonicTime) {
        match request {
            OwnerEvent::Call {
                caller,
                request,
                max_attempts,
            } => self.call(caller, request, max_attempts, now),
            OwnerEvent::ReadHistory { caller } => self.defer(caller, Deferred::History, now),
            OwnerEvent::OpenChild {
                caller,
                run,
                budget,
            } => self.open_child(caller, run, budget, now),
            OwnerEvent::ChildClosed { run, spent } => self.close_child(run, spent, now),
            OwnerEvent::Close { caller } => self.close(caller, now),
            _ => {}
        }
    }

    fn tick(&mut self, now: MonotonicTime) {
        self.proposer.tick(now);
        let interval = self.settings.fence_interval;
        let overdue = self
            .fence
            .as_ref()
            .filter(|fence| now.since(fence.last_sent) >= interval);
        if let Some(fence) = overdue {
            let attempt = fence.attempt.clone();
            self.send_fence(attempt, now);
        }
    }

    /// Follows up what changed, until nothing does.
    fn pump(&mut self, now: MonotonicTime) {
        loop {
            self.apply_new();
            let before = (self.applied, self.acted, self.ready);
            self.act_on_committed();
            self.become_ready(now);
            self.go_on(now);
            if before == (self.applied, self.acted, self.ready) {
                break;
            }
        }
        self.answer_confirmed();
        self.notice_unknown_run(now);
        for (to, request) in self.proposer.take_requests() {
            self.effects
                .push(OwnerEffect::SendToReplica { to, request });
        }
        self.notice_end();
    }

    fn append(&mut self, entries: Vec<Entry>, now: MonotonicTime) {
        self.proposer.append(entries, now);
        self.apply_new();
    }

    fn apply_new(&mut self) {
        while let Some(entry) = self.proposer.entry(self.applied.next()) {
            let index = entry.index;
            if let Entry::ChildOpened { run, .. } = &entry.entry {
                self.children_at.insert(*run, index);
            }
            if let Err(error) = self.state.apply(entry) {
                self.effects.push(OwnerEffect::InvalidLog { index, error });
                self.stop(CallerAnswer::OwnerChanged);
                return;
            }
            self.applied = index;
        }
    }

    fn act_on_committed(&mut self) {
        while !self.stopped && self.acted < self.proposer.commit_index() {
            self.acted = self.acted.next();
            self.act(self.acted);
        }
    }

    fn act(&mut self, index: LogIndex) {
        let own = index > self.proposer.claim_index();
        let Some(entry) = self.proposer.entry(index) else {
            return;
        };
        match &entry.entry {
            Entry::Dispatched { call, attempt, .. } if own => {
                let (call, attempt) = (*call, *attempt);
                self.start_attempt(call, attempt);
            }
            Entry::Finished { call, .. } | Entry::NotRun { call } | Entry::Unknown { call } => {
                let call = *call;
                self.call_ended(call);
            }
            Entry::ChildOpened { run, .. } => {
                let run = *run;
                for caller in self.waiting.take_children(run) {
                    self.answer(caller, CallerAnswer::ChildOpened);
                }
            }
            Entry::Closed => self.closed(),
            _ => {}
        }
    }

    /// A claim is complete once its entry is committed and every attempt of earlier owners is resolved.
    fn become_ready(&mut self, now: MonotonicTime) {
        let claimed = self.proposer.state() == ProposerState::Leading
            && self.acted >= self.proposer.claim_index();
        if self.ready || self.stopped || !claimed {
            return;
        }
        if let Some(attempt) = self.state.live_attempt().cloned() {
            if self.fence.is_none() {
                self.send_fence(attempt, now);
            }
            return;
        }
        let Some(opening) = self.state.opening().cloned() else {
            return;
        };
        self.ready = true;
        let spent = self.state.budget().spent();
        self.effects.push(OwnerEffect::Ready { opening, spent });
        for (_, event) in std::mem::take(&mut self.waiting.queued) {
            self.take_event(event, now);
        }
    }

    fn answer_confirmed(&mut self) {
        let round = self.proposer.confirmed_round();
        for (caller, deferred) in self.waiting.take_confirmed(round) {
            let answer = match deferred {
                Deferred::Answer(answer) => answer,
                Deferred::History => CallerAnswer::History(self.state.history(self.acted)),
            };
            self.answer(caller, answer);
        }
    }

    fn notice_end(&mut self) {
        if self.stopped {
            return;
        }
        match self.proposer.state() {
            ProposerState::SteppedDown(higher) => {
                self.effects.push(OwnerEffect::SteppedDown { higher });
                self.stop(CallerAnswer::OwnerChanged);
            }
            ProposerState::RunUnknown => {
                self.effects.push(OwnerEffect::RunUnknown);
                self.stop(CallerAnswer::OwnerChanged);
            }
            ProposerState::Claiming | ProposerState::Leading => {}
        }
    }

    /// Tells those that the run is unknown who came before the replicas were asked. Between an answer and the coming
    /// of a later request the run may have been opened, so for those the replicas are asked anew.
    fn notice_unknown_run(&mut self, now: MonotonicTime) {
        if self.stopped || self.proposer.state() != ProposerState::RunUnknown {
            return;
        }
        let asked_at = self.proposer.claimed_at();
        for caller in self.waiting.take_queued_until(asked_at) {
            let refusal = Refusal::permanent(RefusalReason::UnknownRun);
            self.answer(caller, CallerAnswer::Refused(refusal));
        }
        if !self.waiting.queued.is_empty() {
            self.proposer.claim_again(now);
        }
    }

    fn stop(&mut self, answer: CallerAnswer) {
        self.stopped = true;
        for caller in self.waiting.take_all() {
            self.answer(caller, answer.clone());
        }
    }

    fn answer_stopped(&mut self, event: OwnerEvent) {
        if let Some(caller) = caller_of(&event) {
            self.answer(caller, CallerAnswer::OwnerChanged);
        }
        if let OwnerEvent::Granted {
            call,
            attempt,
            backend,
            ..
        } = event
        {
            self.effects.push(OwnerEffect::ReturnGrant {
                call,
                attempt,
                backend,
            });
        }
    }

    fn answer(&mut self, caller: CallerId, answer: CallerAnswer) {
        self.effects
            .push(OwnerEffect::AnswerCaller { caller, answer });
    }

    /// Answers once a majority proved that this node owns the run. A refusal needs this as much as a read: a call
    /// that this node never saw may have run under another owner.
    fn defer(&mut self, caller: CallerId, deferred: Deferred, now: MonotonicTime) {
        match self.proposer.confirm(now) {
            Some(round) => self.waiting.deferred.push((round, caller, deferred)),
            None => self.answer(caller, CallerAnswer::OwnerChanged),
        }
    }

    fn refuse(&mut self, caller: CallerId, refusal: Refusal, now: MonotonicTime) {
        let refusal = self.state.refusal_if_weakened(refusal);
        let answer = CallerAnswer::Refused(refusal);
        self.defer(caller, Deferred::Answer(answer), now);
    }
}
