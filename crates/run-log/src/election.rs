//! How a node becomes the owner of a run: promises from a majority, then a copy of the newest log among them.
//!
//! Nothing here is durable. A claim that is lost with its node leaves promises behind, which a later claim overbids.

use std::collections::BTreeMap;
use std::time::Duration;

use ridgeworks_domain::{Ballot, MonotonicTime, NodeId, RunId};

use crate::entry::{LogEntry, LogIndex, LogPosition, ReplicaId};
use crate::message::{Rejection, Reply, Request};

/// Lowest round of a claim after the opening one.
const FIRST_CLAIM_ROUND: u64 = 2;
/// Times that a claim is raised over ones not known before; one more higher ballot means a live competitor.
const MAX_RAISES: u32 = 3;
/// Unanswered fetches after which another acceptor's copy is taken.
const MAX_FETCHES: u32 = 3;
/// Acceptors of a run whose log is not known yet of which a majority is sought.
const LEAST_ANSWERS: usize = 2;

/// Where the election stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ElectionState {
    /// Under way.
    Open,
    /// Won, with the log to go on from.
    Won { log: Vec<LogEntry> },
    /// Another node claims the run.
    Lost { higher: Ballot },
    /// Every acceptor asked holds nothing of the run.
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
    /// The replica as it answered that it can't vote.
    without_vote: Option<ReplicaId>,
    /// The replica as the log names it.
    member: Option<ReplicaId>,
}

#[derive(Debug, Clone)]
struct Copying {
    donor: Vote,
    log: Vec<LogEntry>,
    fetches: u32,
}

/// One node's attempt to own one run.
#[derive(Debug, Clone)]
pub(crate) struct Election {
    run: RunId,
    instance: u64,
    pub ballot: Ballot,
    raises: u32,
    candidates: BTreeMap<NodeId, Candidate>,
    copying: Option<Copying>,
    state: ElectionState,
    last_sent: MonotonicTime,
    outgoing: Vec<(NodeId, Request)>,
}

impl Election {
    /// Claims `run` above `known`, asking `contacts`. `instance` is a random number other than 0.
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
            raises: 0,
            candidates: candidates.collect(),
            copying: None,
            state: ElectionState::Open,
            last_sent: now,
            outgoing: Vec::new(),
        };
        election.send_prepares(now);
        election
    }

    /// The same claim from the start, at a higher ballot so that earlier answers don't count.
    pub fn again(&self, now: MonotonicTime) -> Self {
        let contacts: Vec<NodeId> = self.candidates.keys().copied().collect();
        let node = self.ballot.node;
        Self::start(self.run, node, self.instance, self.ballot, &contacts, now)
    }

    /// What became of it.
    pub fn state(&self) -> &ElectionState {
        &self.state
    }

    /// Requests to send.
    pub fn take_outgoing(&mut self) -> Vec<(NodeId, Request)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Replicas that answered without a vote: they may be taken into the set again.
    pub fn without_vote(&self) -> Vec<ReplicaId> {
        let answers = self.candidates.values();
        answers
            .filter_map(|candidate| candidate.without_vote)
            .collect()
    }

    /// Takes a reply.
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
            } if *ballot == self.ballot => self.take_page(*replica, entries, now),
            Reply::Rejected {
                replica,
                reason,
                ballot,
                ..
            } => self.take_rejection(from, *ballot, *replica, *reason, now),
            _ => return,
        }
        self.advance(now);
    }

    /// Repeats what was not answered within `retry_after`.
    pub fn tick(&mut self, now: MonotonicTime, retry_after: Duration) {
        if self.state != ElectionState::Open || now.since(self.last_sent) < retry_after {
            return;
        }
        self.send_prepares(now);
        let Some(copying) = self.copying.as_mut() else {
            return;
        };
        copying.fetches += 1;
        if copying.fetches <= MAX_FETCHES {
            self.send_fetch();
            return;
        }
        let silent = copying.donor.replica.node;
        self.copying = None;
        if let Some(candidate) = self.candidates.get_mut(&silent) {
            candidate.vote = None;
        }
        self.advance(now);
    }

    fn take_rejection(
        &mut self,
        from: NodeId,
        ballot: Ballot,
        replica: ReplicaId,
        reason: Rejection,
        now: MonotonicTime,
    ) {
        match reason {
            Rejection::HigherBallot { promised } if promised >= self.ballot => {
                self.raise(promised, now);
            }
            Rejection::UnknownRun | Rejection::Recovering if ballot == self.ballot => {
                let candidate = self.candidates.entry(from).or_default();
                candidate.without_vote = Some(replica);
            }
            _ => {}
        }
    }

    fn raise(&mut self, promised: Ballot, now: MonotonicTime) {
        if self.raises == MAX_RAISES {
            self.state = ElectionState::Lost { higher: promised };
            return;
        }
        self.raises += 1;
        self.ballot = promised.next_for(self.ballot.node);
        self.copying = None;
        for candidate in self.candidates.values_mut() {
            candidate.vote = None;
            candidate.without_vote = None;
        }
        self.send_prepares(now);
    }

    fn advance(&mut self, now: MonotonicTime) {
        if self.state != ElectionState::Open {
            return;
        }
        let Some(newest) = self.newest_vote() else {
            self.notice_unknown_run();
            return;
        };
        match &self.copying {
            Some(copying) if copying.donor.last >= newest.last => {}
            _ if self.answers() < LEAST_ANSWERS => return,
            _ => return self.copy_from(newest, now),
        }
        self.conclude(now);
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

    fn answers(&self) -> usize {
        let answered =
            |candidate: &&Candidate| candidate.vote.is_some() || candidate.without_vote.is_some();
        self.candidates.values().filter(answered).count()
    }

    fn notice_unknown_run(&mut self) {
        let unknown = self
            .candidates
            .values()
            .all(|candidate| candidate.without_vote.is_some() && candidate.vote.is_none());
        if unknown {
            self.state = ElectionState::RunUnknown;
        }
    }

    fn copy_from(&mut self, donor: Vote, now: MonotonicTime) {
        self.copying = Some(Copying {
            donor,
            log: Vec::new(),
            fetches: 0,
        });
        self.last_sent = now;
        self.send_fetch();
    }

    fn take_page(&mut self, replica: ReplicaId, entries: &[LogEntry], now: MonotonicTime) {
        let Some(copying) = self.copying.as_mut() else {
            return;
        };
        let next = LogIndex(copying.log.len() as u64).next();
        let follows = entries.first().is_some_and(|entry| entry.index == next);
        if !follows || !replica.same_acceptor(copying.donor.replica) {
            return;
        }
        copying.log.extend_from_slice(entries);
        copying.fetches = 0;
        self.last_sent = now;
        if !copying.is_whole() {
            self.send_fetch();
        }
    }

    /// Checks whether the copied log's own replica set voted for this claim with a majority.
    fn conclude(&mut self, now: MonotonicTime) {
        let Some(copying) = self.copying.as_ref().filter(|copying| copying.is_whole()) else {
            return;
        };
        let members = replica_set(&copying.log);
        let voted = |member: &&ReplicaId| {
            let candidate = self.candidates.get(&member.node);
            let vote = candidate.and_then(|candidate| candidate.vote);
            vote.is_some_and(|vote| vote.replica.same_acceptor(**member))
        };
        if members.iter().filter(voted).count() > members.len() / 2 {
            let log = copying.log.clone();
            self.state = ElectionState::Won { log };
            return;
        }
        self.ask_members(&members, now);
    }

    fn ask_members(&mut self, members: &[ReplicaId], now: MonotonicTime) {
        let mut news = false;
        for member in members {
            let candidate = self.candidates.entry(member.node).or_default();
            news |= candidate.member != Some(*member);
            candidate.member = Some(*member);
        }
        if news {
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
        let Some(copying) = &self.copying else {
            return;
        };
        if copying.is_whole() {
            return;
        }
        let fetch = Request::Fetch {
            run: self.run,
            ballot: self.ballot,
            first_index: LogIndex(copying.log.len() as u64).next(),
        };
        self.outgoing.push((copying.donor.replica.node, fetch));
    }
}

impl Copying {
    fn is_whole(&self) -> bool {
        let last = self.log.last().map(LogEntry::position);
        last == Some(self.donor.last)
    }
}

/// The replica set that the newest entry naming one sets.
pub(crate) fn replica_set(log: &[LogEntry]) -> Vec<ReplicaId> {
    let newest = log.iter().rev().find_map(|entry| entry.entry.replicas());
    newest.map(<[ReplicaId]>::to_vec).unwrap_or_default()
}
