//! The proposer of one run: opens it or claims it, then appends to its log.
//!
//! Has no disk. A node that lost its memory claims the run anew.

use ridgeworks_domain::{Ballot, MonotonicTime, NodeId, RunId};

use crate::election::{Election, ElectionState};
use crate::entry::{Entry, LogEntry, LogIndex, Opening, ReplicaId};
use crate::message::{Reply, Request};
use crate::replication::{Replication, ReplicationSettings};

/// Round of the ballot that only the node which drew a run's number uses, once, to open it.
const OPENING_ROUND: u64 = 1;

enum Phase {
    Claiming(Election),
    Leading(Replication),
    SteppedDown(Ballot),
    RunUnknown(Election),
}

/// Where the proposer stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProposerState {
    /// Asks for promises or copies the log.
    Claiming,
    /// Holds a majority's promise; entries may be appended.
    Leading,
    /// Another node claimed the run with this ballot. Final.
    SteppedDown(Ballot),
    /// All replicas answered that they hold nothing of the run.
    RunUnknown,
}

/// The proposer of one run.
pub struct Proposer {
    run: RunId,
    node: NodeId,
    settings: ReplicationSettings,
    phase: Phase,
    claim_index: LogIndex,
    claimed_at: MonotonicTime,
    outgoing: Vec<(NodeId, Request)>,
}

impl Proposer {
    /// Opens a run whose number was drawn just now, after the identities in `opening.replicas` were read.
    pub fn open(
        run: RunId,
        node: NodeId,
        opening: Opening,
        settings: ReplicationSettings,
        now: MonotonicTime,
    ) -> Self {
        let ballot = Ballot {
            round: OPENING_ROUND,
            node,
        };
        let mut replication = Replication::new(run, ballot, settings, Vec::new(), Vec::new(), now);
        let claim_index = replication.append(vec![Entry::Opened(opening)], now);
        Self {
            run,
            node,
            settings,
            phase: Phase::Leading(replication),
            claim_index,
            claimed_at: now,
            outgoing: Vec::new(),
        }
    }

    /// Claims a run that another node owned.
    ///
    /// `instance` is a random number other than 0, new for every claim. `known` is the highest ballot heard of.
    /// `contacts` are the nodes that the run's number or a redirect names.
    pub fn take_over(
        run: RunId,
        node: NodeId,
        instance: u64,
        known: Ballot,
        contacts: &[NodeId],
        settings: ReplicationSettings,
        now: MonotonicTime,
    ) -> Self {
        let election = Election::start(run, node, instance, known, contacts, now);
        Self {
            run,
            node,
            settings,
            phase: Phase::Claiming(election),
            claim_index: LogIndex::NONE,
            claimed_at: now,
            outgoing: Vec::new(),
        }
    }

    /// Where it stands.
    pub fn state(&self) -> ProposerState {
        match &self.phase {
            Phase::Claiming(_) => ProposerState::Claiming,
            Phase::Leading(_) => ProposerState::Leading,
            Phase::SteppedDown(higher) => ProposerState::SteppedDown(*higher),
            Phase::RunUnknown(_) => ProposerState::RunUnknown,
        }
    }

    /// When the replicas were first asked for the claim under way, or for the last one.
    pub fn claimed_at(&self) -> MonotonicTime {
        self.claimed_at
    }

    /// Claims anew a run that was unknown. Answers to the earlier claim don't count.
    pub fn claim_again(&mut self, now: MonotonicTime) {
        if let Phase::RunUnknown(election) = &mut self.phase {
            let election = election.again(now);
            self.phase = Phase::Claiming(election);
            self.claimed_at = now;
        }
    }

    /// Index of the `Opened` or `OwnerChanged` entry of this proposer; once it is committed, so is everything
    /// adopted from earlier owners.
    pub fn claim_index(&self) -> LogIndex {
        self.claim_index
    }

    /// Everything up to here is committed.
    pub fn commit_index(&self) -> LogIndex {
        match &self.phase {
            Phase::Leading(replication) => replication.commit_index(),
            _ => LogIndex::NONE,
        }
    }

    /// Whether every replica was sent the commit index.
    pub fn has_told_commit(&self) -> bool {
        match &self.phase {
            Phase::Leading(replication) => replication.has_told_commit(),
            _ => false,
        }
    }

    /// The entry at `index`, committed or not.
    pub fn entry(&self, index: LogIndex) -> Option<&LogEntry> {
        match &self.phase {
            Phase::Leading(replication) => replication.entry(index),
            _ => None,
        }
    }

    /// The replica set in use; empty before the claim is won.
    pub fn members(&self) -> &[ReplicaId] {
        match &self.phase {
            Phase::Leading(replication) => replication.members(),
            _ => &[],
        }
    }

    /// Appends entries at consecutive indices in one request. Returns the index of the last one, or `None` when not leading.
    pub fn append(&mut self, entries: Vec<Entry>, now: MonotonicTime) -> Option<LogIndex> {
        match &mut self.phase {
            Phase::Leading(replication) => Some(replication.append(entries, now)),
            _ => None,
        }
    }

    /// Starts a round that, once [`Proposer::confirmed_round`] reaches it, proves that no other owner had won
    /// before this call. `None` when not leading.
    pub fn confirm(&mut self, now: MonotonicTime) -> Option<u64> {
        match &mut self.phase {
            Phase::Leading(replication) => Some(replication.confirm(now)),
            _ => None,
        }
    }

    /// The highest round that a majority answered.
    pub fn confirmed_round(&self) -> u64 {
        match &self.phase {
            Phase::Leading(replication) => replication.confirmed_round(),
            _ => 0,
        }
    }

    /// Asks for `new` in place of `old` in the replica set.
    pub fn replace_replica(&mut self, old: ReplicaId, new: ReplicaId, now: MonotonicTime) {
        if let Phase::Leading(replication) = &mut self.phase {
            replication.replace(old, new, now);
        }
    }

    /// Takes a reply of `from`.
    pub fn handle(&mut self, from: NodeId, reply: &Reply, now: MonotonicTime) {
        if reply.run() != Some(self.run) {
            return;
        }
        match &mut self.phase {
            Phase::Claiming(election) => election.handle(from, reply, now),
            Phase::Leading(replication) => replication.handle(from, reply, now),
            Phase::SteppedDown(_) | Phase::RunUnknown(_) => return,
        }
        self.change_phase(now);
    }

    /// Sends again what was not answered in time.
    pub fn tick(&mut self, now: MonotonicTime) {
        match &mut self.phase {
            Phase::Claiming(election) => election.tick(now, self.settings.retry_after),
            Phase::Leading(replication) => replication.tick(now),
            Phase::SteppedDown(_) | Phase::RunUnknown(_) => return,
        }
        self.change_phase(now);
    }

    /// Requests to send, with the node that each goes to.
    pub fn take_requests(&mut self) -> Vec<(NodeId, Request)> {
        self.collect_outgoing();
        std::mem::take(&mut self.outgoing)
    }

    fn collect_outgoing(&mut self) {
        let news = match &mut self.phase {
            Phase::Claiming(election) => election.take_outgoing(),
            Phase::Leading(replication) => replication.take_outgoing(),
            Phase::SteppedDown(_) | Phase::RunUnknown(_) => Vec::new(),
        };
        self.outgoing.extend(news);
    }

    fn change_phase(&mut self, now: MonotonicTime) {
        self.collect_outgoing();
        let next = match &self.phase {
            Phase::Claiming(election) => match election.state() {
                ElectionState::Open => return,
                ElectionState::Won { log } => self.lead(election, log.clone(), now),
                ElectionState::Lost { higher } => Phase::SteppedDown(*higher),
                ElectionState::RunUnknown => Phase::RunUnknown(election.clone()),
            },
            Phase::Leading(replication) => match replication.higher() {
                Some(higher) => Phase::SteppedDown(higher),
                None => return,
            },
            Phase::SteppedDown(_) | Phase::RunUnknown(_) => return,
        };
        self.phase = next;
        self.claim(now);
    }

    fn lead(&self, election: &Election, log: Vec<LogEntry>, now: MonotonicTime) -> Phase {
        Phase::Leading(Replication::new(
            self.run,
            election.ballot,
            self.settings,
            log,
            election.without_vote(),
            now,
        ))
    }

    fn claim(&mut self, now: MonotonicTime) {
        let owner = self.node;
        if let Phase::Leading(replication) = &mut self.phase {
            self.claim_index = replication.append(vec![Entry::OwnerChanged { owner }], now);
        }
    }
}
