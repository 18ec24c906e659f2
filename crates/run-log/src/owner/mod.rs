//! The owner of one run: orders its calls, manages its budget and writes its log.
//!
//! It has no durable state apart from the log. A node creates one [`RunOwner`] for each run that it opens or takes over,
//! passes [`OwnerEvent`]s to it and carries out the returned [`OwnerEffect`]s in order. After
//! [`OwnerEffect::SteppedDown`], [`OwnerEffect::RunUnknown`] or [`OwnerEffect::InvalidLog`] the owner has stopped.

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

/// Timeouts and limits of an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerSettings {
    /// Timeouts and limits of replication.
    pub replication: ReplicationSettings,
    /// Time after which an unanswered fencing request is repeated.
    pub fence_retry_after: Duration,
}

impl Default for OwnerSettings {
    fn default() -> Self {
        Self {
            replication: ReplicationSettings::default(),
            fence_retry_after: Duration::from_millis(200),
        }
    }
}

/// An attempt that is being fenced.
#[derive(Debug, Clone)]
struct Fence {
    attempt: LiveAttempt,
    last_sent: MonotonicTime,
}

/// State machine of the node that owns a run.
pub struct RunOwner {
    run: RunId,
    settings: OwnerSettings,
    proposer: Proposer,
    state: RunState,
    /// Entries up to this index are applied to `state`.
    applied_index: LogIndex,
    /// The effects of committed entries up to this index were emitted.
    effects_index: LogIndex,
    ready: bool,
    stopped: bool,
    waiting: Waiting,
    /// Call and attempt for which a slot is requested from the dispatcher; `None` once it is granted or refused, or the
    /// pending call is refused because the run closes.
    grant: Option<(Sequence, u32)>,
    fence: Option<Fence>,
    child_opened_at: BTreeMap<RunId, LogIndex>,
    effects: Vec<OwnerEffect>,
}

impl RunOwner {
    /// Opens a run. Its identifier must have been generated after the identities in `opening.replicas` were read from the
    /// replicas.
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
    /// `instance` is a nonzero random number, generated anew for every takeover. `known` is the highest ballot known, or
    /// [`Ballot::ZERO`]. `contacts` are the nodes named by the run's identifier or by a redirect.
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

    /// State of the run, including uncommitted entries.
    pub fn state(&self) -> &RunState {
        &self.state
    }

    /// Whether the run accepts calls.
    pub fn is_ready(&self) -> bool {
        self.ready && !self.stopped
    }

    /// Whether the owner has stopped. It then answers every caller with [`CallerAnswer::OwnerChanged`].
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// Whether no call is in progress, no caller waits, every entry is committed and, if the run is closed, every replica
    /// was told so. Replicas delete only runs whose end they know to be committed. False before the run accepts calls and
    /// after the owner has stopped.
    pub fn is_idle(&self) -> bool {
        let no_waiters = self.waiting.pending.is_none() && self.waiting.deferred.is_empty();
        let committed = self.proposer.commit_index() == self.applied_index;
        let end_sent = !self.state.is_closed() || self.proposer.has_sent_commit_index();
        self.is_ready()
            && no_waiters
            && committed
            && end_sent
            && self.state.call_in_progress().is_none()
    }

    /// All entries up to this index are committed; [`LogIndex::NONE`] unless this node's proposer leads the run.
    pub fn commit_index(&self) -> LogIndex {
        self.proposer.commit_index()
    }

    /// The entry at `index`, committed or not; `None` unless this node's proposer leads the run.
    pub fn entry(&self, index: LogIndex) -> Option<&LogEntry> {
        self.proposer.entry(index)
    }

    /// Current replica set; empty unless this node's proposer leads the run.
    pub fn replicas(&self) -> &[ReplicaId] {
        self.proposer.members()
    }

    /// Handles an event. Returns the effects to carry out, in order.
    pub fn handle(&mut self, event: OwnerEvent, now: MonotonicTime) -> Vec<OwnerEffect> {
        if self.stopped {
            self.answer_stopped(event);
        } else {
            self.dispatch_event(event, now);
            self.process_changes(now);
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
            applied_index: LogIndex::NONE,
            effects_index: LogIndex::NONE,
            ready: false,
            stopped: false,
            waiting: Waiting::default(),
            grant: None,
            fence: None,
            child_opened_at: BTreeMap::new(),
            effects: Vec::new(),
        };
        owner.process_changes(now);
        let effects = std::mem::take(&mut owner.effects);
        (owner, effects)
    }

    fn dispatch_event(&mut self, event: OwnerEvent, now: MonotonicTime) {
        match event {
            OwnerEvent::Reply { from, reply } => self.proposer.handle(from, &reply, now),
            OwnerEvent::Tick => self.tick(now),
            OwnerEvent::CallerLeft { caller } => self.waiting.remove_caller(caller),
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
            request if self.ready => self.handle_request(request, now),
            request => self.waiting.queued.push((now, request)),
        }
    }

    fn handle_request(&mut self, request: OwnerEvent, now: MonotonicTime) {
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
        let retry_after = self.settings.fence_retry_after;
        let overdue = self
            .fence
            .as_ref()
            .filter(|fence| now.since(fence.last_sent) >= retry_after);
        if let Some(fence) = overdue {
            let attempt = fence.attempt.clone();
            self.send_fence(attempt, now);
        }
    }

    /// Processes new and committed entries until the state no longer changes, then emits the resulting effects.
    fn process_changes(&mut self, now: MonotonicTime) {
        loop {
            self.apply_new_entries();
            let before = (self.applied_index, self.effects_index, self.ready);
            self.execute_committed();
            self.become_ready(now);
            self.advance_call(now);
            if before == (self.applied_index, self.effects_index, self.ready) {
                break;
            }
        }
        self.send_confirmed_answers();
        self.refuse_unknown_run(now);
        for (to, request) in self.proposer.take_requests() {
            self.effects
                .push(OwnerEffect::SendToReplica { to, request });
        }
        self.check_stopped();
    }

    fn append(&mut self, entries: Vec<Entry>, now: MonotonicTime) {
        self.proposer.append(entries, now);
        self.apply_new_entries();
    }

    fn apply_new_entries(&mut self) {
        while let Some(entry) = self.proposer.entry(self.applied_index.next()) {
            let index = entry.index;
            if let Entry::ChildOpened { run, .. } = &entry.entry {
                self.child_opened_at.insert(*run, index);
            }
            if let Err(error) = self.state.apply(entry) {
                self.effects.push(OwnerEffect::InvalidLog { index, error });
                self.stop(CallerAnswer::OwnerChanged);
                return;
            }
            self.applied_index = index;
        }
    }

    fn execute_committed(&mut self) {
        while !self.stopped && self.effects_index < self.proposer.commit_index() {
            self.effects_index = self.effects_index.next();
            self.execute_entry(self.effects_index);
        }
    }

    fn execute_entry(&mut self, index: LogIndex) {
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
            Entry::Closed => self.on_closed(),
            _ => {}
        }
    }

    /// Marks the run as ready once the claim's entry is committed and every attempt of earlier owners is resolved.
    fn become_ready(&mut self, now: MonotonicTime) {
        let claimed = self.proposer.state() == ProposerState::Leading
            && self.effects_index >= self.proposer.claim_index();
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
            self.dispatch_event(event, now);
        }
    }

    fn send_confirmed_answers(&mut self) {
        let round = self.proposer.confirmed_round();
        for (caller, deferred) in self.waiting.take_confirmed(round) {
            let answer = match deferred {
                Deferred::Answer(answer) => answer,
                Deferred::History => CallerAnswer::History(self.state.history(self.effects_index)),
            };
            self.answer(caller, answer);
        }
    }

    fn check_stopped(&mut self) {
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

    /// Refuses the requests that arrived up to the start of the last election. The run may have been opened before a later
    /// request arrived, so a new election is started for the later ones.
    fn refuse_unknown_run(&mut self, now: MonotonicTime) {
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

    /// Answers once a majority has confirmed that this node owns the run. Refusals need this as much as reads do: a call
    /// that this node never saw may have been executed under another owner.
    fn defer(&mut self, caller: CallerId, deferred: Deferred, now: MonotonicTime) {
        match self.proposer.confirm(now) {
            Some(round) => self.waiting.deferred.push((round, caller, deferred)),
            None => self.answer(caller, CallerAnswer::OwnerChanged),
        }
    }

    fn refuse(&mut self, caller: CallerId, refusal: Refusal, now: MonotonicTime) {
        let refusal = self.state.refusal_if_unchecked(refusal);
        let answer = CallerAnswer::Refused(refusal);
        self.defer(caller, Deferred::Answer(answer), now);
    }
}
