//! The proposer of one run: opens the run or wins an election for it, then appends to its log.
//!
//! It has no durable state. After a restart, a node must win a new election.

use ridgeworks_domain::{Ballot, MonotonicTime, NodeId, RunId};

use crate::election::{Election, ElectionState};
use crate::entry::{Entry, LogEntry, LogIndex, Opening, ReplicaId};
use crate::message::{Reply, Request};
use crate::replication::{Replication, ReplicationSettings};

/// Ballot round for opening a run; used once, only by the node that generated the run's identifier.
const OPENING_ROUND: u64 = 1;

enum Phase {
    Claiming(Election),
    Leading(Replication),
    SteppedDown(Ballot),
    RunUnknown(Election),
}

/// Phase of a proposer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProposerState {
    /// Collecting promises or copying the log.
    Claiming,
    /// Holds promises from a majority; entries may be appended.
    Leading,
    /// Another node claimed the run with this ballot. Final.
    SteppedDown(Ballot),
    /// All replicas replied that they hold no state of the run.
    RunUnknown,
}

/// Claims a run and replicates its log.
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
    /// Opens a run. Its identifier must have been generated after the identities in `opening.replicas` were read.
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
    /// `instance` is a nonzero random number, generated anew for every proposer. `known` is the highest ballot known.
    /// `contacts` are the nodes named by the run's identifier or by a redirect.
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

    /// Current phase.
    pub fn state(&self) -> ProposerState {
        match &self.phase {
            Phase::Claiming(_) => ProposerState::Claiming,
            Phase::Leading(_) => ProposerState::Leading,
            Phase::SteppedDown(higher) => ProposerState::SteppedDown(*higher),
            Phase::RunUnknown(_) => ProposerState::RunUnknown,
        }
    }

    /// Start of the current claim, or of the last one if none is in progress.
    pub fn claimed_at(&self) -> MonotonicTime {
        self.claimed_at
    }

    /// Restarts the claim of an unknown run. Replies to the earlier claim are ignored.
    pub fn claim_again(&mut self, now: MonotonicTime) {
        if let Phase::RunUnknown(election) = &mut self.phase {
            let election = election.restart(now);
            self.phase = Phase::Claiming(election);
            self.claimed_at = now;
        }
    }

    /// Index of this proposer's `Opened` or `OwnerChanged` entry. Committing it commits all entries
    /// adopted from earlier owners.
    pub fn claim_index(&self) -> LogIndex {
        self.claim_index
    }

    /// All entries up to this index are committed; [`LogIndex::NONE`] unless leading.
    pub fn commit_index(&self) -> LogIndex {
        match &self.phase {
            Phase::Leading(replication) => replication.commit_index(),
            _ => LogIndex::NONE,
        }
    }

    /// Whether the current commit index was sent to every replica.
    pub fn has_sent_commit_index(&self) -> bool {
        match &self.phase {
            Phase::Leading(replication) => replication.has_sent_commit_index(),
            _ => false,
        }
    }

    /// The entry at `index`, committed or not; `None` unless leading.
    pub fn entry(&self, index: LogIndex) -> Option<&LogEntry> {
        match &self.phase {
            Phase::Leading(replication) => replication.entry(index),
            _ => None,
        }
    }

    /// Current replica set; empty unless leading.
    pub fn members(&self) -> &[ReplicaId] {
        match &self.phase {
            Phase::Leading(replication) => replication.members(),
            _ => &[],
        }
    }

    /// Appends entries at consecutive indices in one request. Returns the index of the last one, or `None` unless leading.
    pub fn append(&mut self, entries: Vec<Entry>, now: MonotonicTime) -> Option<LogIndex> {
        match &mut self.phase {
            Phase::Leading(replication) => Some(replication.append(entries, now)),
            _ => None,
        }
    }

    /// Starts a confirmation round. Once [`Proposer::confirmed_round`] reaches it, it is certain that no other
    /// owner had won the run when this was called. `None` unless leading.
    pub fn confirm(&mut self, now: MonotonicTime) -> Option<u64> {
        match &mut self.phase {
            Phase::Leading(replication) => Some(replication.confirm(now)),
            _ => None,
        }
    }

    /// The highest confirmation round that a majority answered.
    pub fn confirmed_round(&self) -> u64 {
        match &self.phase {
            Phase::Leading(replication) => replication.confirmed_round(),
            _ => 0,
        }
    }

    /// Starts to replace `old` by `new` in the replica set. Ignored unless leading.
    pub fn replace_replica(&mut self, old: ReplicaId, new: ReplicaId, now: MonotonicTime) {
        if let Phase::Leading(replication) = &mut self.phase {
            replication.replace(old, new, now);
        }
    }

    /// Handles a reply from the node `from`. Replies about other runs are ignored.
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

    /// Repeats requests that were not answered in time.
    pub fn tick(&mut self, now: MonotonicTime) {
        match &mut self.phase {
            Phase::Claiming(election) => election.tick(now, self.settings.retry_after),
            Phase::Leading(replication) => replication.tick(now),
            Phase::SteppedDown(_) | Phase::RunUnknown(_) => return,
        }
        self.change_phase(now);
    }

    /// Removes and returns the requests to send, each with its destination.
    pub fn take_requests(&mut self) -> Vec<(NodeId, Request)> {
        self.collect_outgoing();
        std::mem::take(&mut self.outgoing)
    }

    fn collect_outgoing(&mut self) {
        let requests = match &mut self.phase {
            Phase::Claiming(election) => election.take_outgoing(),
            Phase::Leading(replication) => replication.take_outgoing(),
            Phase::SteppedDown(_) | Phase::RunUnknown(_) => Vec::new(),
        };
        self.outgoing.extend(requests);
    }

    fn change_phase(&mut self, now: MonotonicTime) {
        self.collect_outgoing();
        let next = match &self.phase {
            Phase::Claiming(election) => match election.state() {
                ElectionState::InProgress => return,
                ElectionState::Won { log } => self.start_leading(election, log.clone(), now),
                ElectionState::Lost { higher } => Phase::SteppedDown(*higher),
                ElectionState::RunUnknown => Phase::RunUnknown(election.clone()),
            },
            Phase::Leading(replication) => match replication.higher_ballot() {
                Some(higher) => Phase::SteppedDown(higher),
                None => return,
            },
            Phase::SteppedDown(_) | Phase::RunUnknown(_) => return,
        };
        self.phase = next;
        self.append_claim(now);
    }

    fn start_leading(&self, election: &Election, log: Vec<LogEntry>, now: MonotonicTime) -> Phase {
        Phase::Leading(Replication::new(
            self.run,
            election.ballot,
            self.settings,
            log,
            election.without_vote(),
            now,
        ))
    }

    fn append_claim(&mut self, now: MonotonicTime) {
        let owner = self.node;
        if let Phase::Leading(replication) = &mut self.phase {
            self.claim_index = replication.append(vec![Entry::OwnerChanged { owner }], now);
        }
    }
}
