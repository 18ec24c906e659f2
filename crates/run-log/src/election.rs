//! Election of a run's owner: promises from a majority, then a copy of the most recent log among them.
//!
//! Nothing here is durable. If the node fails, its promises remain with the acceptors until a later claim
//! supersedes them with a higher ballot.

use std::collections::BTreeMap;
use std::time::Duration;

use ridgeworks_domain::{Ballot, MonotonicTime, NodeId, RunId};

use crate::entry::{LogEntry, LogIndex, LogPosition, ReplicaId};
use crate::message::{Rejection, Reply, Request};

/// Lowest ballot round of a claim; the opening of the run uses the round before it.
const FIRST_CLAIM_ROUND: u64 = 2;
/// Number of times that a claim is repeated with a higher ballot. The next rejection ends the election as lost, because
/// another node is active.
const MAX_BALLOT_RAISES: u32 = 3;
/// Number of retries of a fetch before the log is copied from another acceptor.
const MAX_FETCH_RETRIES: u32 = 3;
/// Replies required before the log is copied. The replica set is not known before that.
const MIN_REPLIES: usize = 2;

/// State of an election.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ElectionState {
    InProgress,
    /// Won, with the adopted log.
    Won {
        log: Vec<LogEntry>,
    },
    /// Another node claims the run.
    Lost {
        higher: Ballot,
    },
    /// No acceptor that was asked holds any state of the run.
    RunUnknown,
}

#[derive(Debug, Clone, Copy)]
struct Vote {
    replica: ReplicaId,
    last: LogPosition,
}

#[derive(Debug, Clone, Default)]
struct Candidate {
    vote: Option<Vote>,
    /// Identity of the replica that replied that it can't vote.
    without_vote: Option<ReplicaId>,
    /// Identity of the replica in the log.
    member: Option<ReplicaId>,
}

#[derive(Debug, Clone)]
struct LogCopy {
    source: Vote,
    log: Vec<LogEntry>,
    fetch_retries: u32,
}

/// The election of a node as owner of one run.
#[derive(Debug, Clone)]
pub(crate) struct Election {
    run: RunId,
    instance: u64,
    pub ballot: Ballot,
    ballot_raises: u32,
    candidates: BTreeMap<NodeId, Candidate>,
    log_copy: Option<LogCopy>,
    state: ElectionState,
    last_sent: MonotonicTime,
    outgoing: Vec<(NodeId, Request)>,
}

impl Election {
    /// Claims `run` with a ballot above `known` and asks `contacts`. `instance` is a nonzero random number.
    pub fn start(
        run: RunId,
        node: NodeId,
        instance: u64,
        known: Ballot,
        contacts: &[NodeId],
        now: MonotonicTime,
    ) -> Self {
        let floor = Ballot {
            round: FIRST_CLAIM_ROUND - 1,
            node,
        };
        let candidates = contacts
            .iter()
            .map(|contact| (*contact, Candidate::default()));
        let mut election = Self {
            run,
            instance,
            ballot: known.max(floor).next_for(node),
            ballot_raises: 0,
            candidates: candidates.collect(),
            log_copy: None,
            state: ElectionState::InProgress,
            last_sent: now,
            outgoing: Vec::new(),
        };
        election.send_prepares(now);
        election
    }

    /// Restarts the claim with a higher ballot, so that replies to the earlier one are ignored.
    pub fn restart(&self, now: MonotonicTime) -> Self {
        let contacts: Vec<NodeId> = self.candidates.keys().copied().collect();
        let node = self.ballot.node;
        Self::start(self.run, node, self.instance, self.ballot, &contacts, now)
    }

    pub fn state(&self) -> &ElectionState {
        &self.state
    }

    /// Removes and returns the requests to send, each with its destination.
    pub fn take_outgoing(&mut self) -> Vec<(NodeId, Request)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Replicas that replied without a vote; they may join the replica set.
    pub fn without_vote(&self) -> Vec<ReplicaId> {
        let answers = self.candidates.values();
        answers
            .filter_map(|candidate| candidate.without_vote)
            .collect()
    }

    /// Handles a reply from the node `from`.
    pub fn handle(&mut self, from: NodeId, reply: &Reply, now: MonotonicTime) {
        match reply {
            Reply::Promise {
                ballot,
                instance,
                replica,
                last,
                ..
            } if *ballot == self.ballot && *instance == self.instance => {
                let vote = Vote {
                    replica: *replica,
                    last: *last,
                };
                self.candidates.entry(from).or_default().vote = Some(vote);
            }
            Reply::Fetched {
                ballot,
                replica,
                entries,
                ..
            } if *ballot == self.ballot => self.handle_fetched(*replica, entries, now),
            Reply::Rejected {
                replica,
                reason,
                ballot,
                ..
            } => self.handle_rejection(from, *ballot, *replica, *reason, now),
            _ => return,
        }
        self.advance(now);
    }

    /// Repeats requests that were not answered within `retry_after`.
    pub fn tick(&mut self, now: MonotonicTime, retry_after: Duration) {
        if self.state != ElectionState::InProgress || now.since(self.last_sent) < retry_after {
            return;
        }
        self.send_prepares(now);
        let Some(log_copy) = self.log_copy.as_mut() else {
            return;
        };
        log_copy.fetch_retries += 1;
        if log_copy.fetch_retries <= MAX_FETCH_RETRIES {
            self.send_fetch();
            return;
        }
        let unresponsive = log_copy.source.replica.node;
        self.log_copy = None;
        if let Some(candidate) = self.candidates.get_mut(&unresponsive) {
            candidate.vote = None;
        }
        self.advance(now);
    }

    fn handle_rejection(
        &mut self,
        from: NodeId,
        ballot: Ballot,
        replica: ReplicaId,
        reason: Rejection,
        now: MonotonicTime,
    ) {
        match reason {
            Rejection::HigherBallot { promised } if promised >= self.ballot => {
                self.raise_ballot(promised, now);
            }
            Rejection::UnknownRun | Rejection::Recovering if ballot == self.ballot => {
                let candidate = self.candidates.entry(from).or_default();
                candidate.without_vote = Some(replica);
            }
            _ => {}
        }
    }

    fn raise_ballot(&mut self, promised: Ballot, now: MonotonicTime) {
        if self.ballot_raises == MAX_BALLOT_RAISES {
            self.state = ElectionState::Lost { higher: promised };
            return;
        }
        self.ballot_raises += 1;
        self.ballot = promised.next_for(self.ballot.node);
        self.log_copy = None;
        for candidate in self.candidates.values_mut() {
            candidate.vote = None;
            candidate.without_vote = None;
        }
        self.send_prepares(now);
    }

    fn advance(&mut self, now: MonotonicTime) {
        if self.state != ElectionState::InProgress {
            return;
        }
        let Some(newest) = self.newest_vote() else {
            self.detect_unknown_run();
            return;
        };
        match &self.log_copy {
            Some(log_copy) if log_copy.source.last >= newest.last => {}
            _ if self.reply_count() < MIN_REPLIES => return,
            _ => return self.copy_from(newest, now),
        }
        self.check_majority(now);
    }

    fn newest_vote(&self) -> Option<Vote> {
        let votes = self
            .candidates
            .values()
            .filter_map(|candidate| candidate.vote);
        votes
            .filter(|vote| vote.last != LogPosition::NONE)
            .max_by_key(|vote| vote.last)
    }

    fn reply_count(&self) -> usize {
        let replied =
            |candidate: &&Candidate| candidate.vote.is_some() || candidate.without_vote.is_some();
        self.candidates.values().filter(replied).count()
    }

    fn detect_unknown_run(&mut self) {
        let unknown = self
            .candidates
            .values()
            .all(|candidate| candidate.without_vote.is_some() && candidate.vote.is_none());
        if unknown {
            self.state = ElectionState::RunUnknown;
        }
    }

    fn copy_from(&mut self, source: Vote, now: MonotonicTime) {
        self.log_copy = Some(LogCopy {
            source,
            log: Vec::new(),
            fetch_retries: 0,
        });
        self.last_sent = now;
        self.send_fetch();
    }

    fn handle_fetched(&mut self, replica: ReplicaId, entries: &[LogEntry], now: MonotonicTime) {
        let Some(log_copy) = self.log_copy.as_mut() else {
            return;
        };
        let next = LogIndex(log_copy.log.len() as u64).next();
        let follows = entries.first().is_some_and(|entry| entry.index == next);
        if !follows || !replica.same_acceptor(log_copy.source.replica) {
            return;
        }
        log_copy.log.extend_from_slice(entries);
        log_copy.fetch_retries = 0;
        self.last_sent = now;
        if !log_copy.is_complete() {
            self.send_fetch();
        }
    }

    /// Wins the election if a majority of the replica set named in the copied log promised this ballot.
    fn check_majority(&mut self, now: MonotonicTime) {
        let Some(log_copy) = self
            .log_copy
            .as_ref()
            .filter(|log_copy| log_copy.is_complete())
        else {
            return;
        };
        let members = replica_set(&log_copy.log);
        let voted = |member: &&ReplicaId| {
            let candidate = self.candidates.get(&member.node);
            let vote = candidate.and_then(|candidate| candidate.vote);
            vote.is_some_and(|vote| vote.replica.same_acceptor(**member))
        };
        if members.iter().filter(voted).count() > members.len() / 2 {
            let log = log_copy.log.clone();
            self.state = ElectionState::Won { log };
            return;
        }
        self.ask_members(&members, now);
    }

    fn ask_members(&mut self, members: &[ReplicaId], now: MonotonicTime) {
        let mut changed = false;
        for member in members {
            let candidate = self.candidates.entry(member.node).or_default();
            changed |= candidate.member != Some(*member);
            candidate.member = Some(*member);
        }
        if changed {
            self.send_prepares(now);
        }
    }

    fn send_prepares(&mut self, now: MonotonicTime) {
        self.last_sent = now;
        for (node, candidate) in &self.candidates {
            if candidate.vote.is_some() {
                continue;
            }
            let prepare = Request::Prepare {
                run: self.run,
                ballot: self.ballot,
                instance: self.instance,
                replica: candidate.member,
            };
            self.outgoing.push((*node, prepare));
        }
    }

    fn send_fetch(&mut self) {
        let Some(log_copy) = &self.log_copy else {
            return;
        };
        if log_copy.is_complete() {
            return;
        }
        let fetch = Request::Fetch {
            run: self.run,
            ballot: self.ballot,
            first_index: LogIndex(log_copy.log.len() as u64).next(),
        };
        self.outgoing.push((log_copy.source.replica.node, fetch));
    }
}

impl LogCopy {
    fn is_complete(&self) -> bool {
        let last = self.log.last().map(LogEntry::position);
        last == Some(self.source.last)
    }
}

/// Replica set defined by the latest entry that defines one; empty if there is none.
pub(crate) fn replica_set(log: &[LogEntry]) -> Vec<ReplicaId> {
    let newest = log.iter().rev().find_map(|entry| entry.entry.replicas());
    newest.map(<[ReplicaId]>::to_vec).unwrap_or_default()
}
