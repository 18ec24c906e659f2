//! The configuration lease of a node.
//!
//! A node asks the voters, or a relay that asks them, for their newest revisions. Once a majority
//! has answered and the node has every revision in force that was accepted before it *sent* the
//! question, its lease runs until [`LEASE_TIME`] after the sending, on its own clock. The answer's
//! time of arrival plays no part: a node that was paused in between finds its lease over.
//!
//! Nothing here survives a crash. A new process asks a majority before it serves.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use ridgeworks_domain::safeguard::{Safeguard, is_disabled};
use ridgeworks_domain::{MonotonicTime, NodeId};

use crate::message::VoterAnswer;
use crate::quorum::{Standing, Voters};
use crate::revision::{RequestId, Revision};
use crate::set::ConfigurationSet;
use crate::settings::{LEASE_TIME, RENEW_INTERVAL};
use crate::staged::StagedSets;

/// Most renewals whose answers are awaited at a time.
const MAX_ROUNDS: usize = 16;

/// One renewal under way.
#[derive(Debug, Clone)]
pub struct Round {
    request: RequestId,
    sent_at: MonotonicTime,
    answers: BTreeMap<NodeId, Revision>,
}

/// A renewal that a majority answered, as a relay passes it on.
#[derive(Debug, Clone)]
pub struct Grant {
    /// When this node sent the question.
    pub sent_at: MonotonicTime,
    /// The answers of the voters.
    pub answers: Vec<VoterAnswer>,
}

/// The lease of one node, with the configurations that it has.
#[derive(Debug)]
pub struct ConfigurationLease {
    voters: Voters,
    /// The configuration in force and those that wait for a majority.
    pub sets: StagedSets,
    rounds: VecDeque<Round>,
    granted_from: Option<MonotonicTime>,
    granted_at: Option<MonotonicTime>,
    last_sent: Option<MonotonicTime>,
}

impl ConfigurationLease {
    /// A node that was never granted a lease.
    pub fn new(voters: Voters) -> Self {
        Self {
            voters,
            sets: StagedSets::default(),
            rounds: VecDeque::new(),
            granted_from: None,
            granted_at: None,
            last_sent: None,
        }
    }

    /// The configuration in force, whether or not the lease holds.
    pub fn set(&self) -> &Arc<ConfigurationSet> {
        self.sets.in_force()
    }

    /// Whether the lease holds at `now`.
    pub fn holds(&self, now: MonotonicTime) -> bool {
        self.granted_from
            .is_some_and(|sent_at| now < sent_at + LEASE_TIME || is_disabled(Safeguard::Lease))
    }

    /// When the renewal was sent that the lease counts from.
    pub fn granted_from(&self) -> Option<MonotonicTime> {
        self.granted_from
    }

    /// When the last renewal was sent.
    pub fn last_sent(&self) -> Option<MonotonicTime> {
        self.last_sent
    }

    /// Whether `interval` has passed since the last renewal was sent.
    pub fn due(&self, now: MonotonicTime, interval: Duration) -> bool {
        self.last_sent
            .is_none_or(|sent| now.since(sent) >= interval)
    }

    /// Whether [`RENEW_INTERVAL`] has passed since the last grant arrived. Counted from the grant,
    /// all clients of a relay come to renew together, and one question to the voters serves them.
    pub fn renewal_due(&self, now: MonotonicTime) -> bool {
        let passed = |at: MonotonicTime| now.since(at) >= RENEW_INTERVAL;
        self.last_sent.is_none_or(passed) && self.granted_at.is_none_or(passed)
    }

    /// Notes that a renewal is being sent now.
    pub fn begin(&mut self, request: RequestId, now: MonotonicTime) {
        self.rounds
            .retain(|round| now.since(round.sent_at) < LEASE_TIME);
        if self.rounds.len() == MAX_ROUNDS {
            self.rounds.pop_front();
        }
        self.rounds.push_back(Round {
            request,
            sent_at: now,
            answers: BTreeMap::new(),
        });
        self.last_sent = Some(now);
    }

    /// Takes answers of voters to the renewal `request`. Returns whether it is still awaited.
    pub fn take_answers(&mut self, request: RequestId, answers: &[VoterAnswer]) -> bool {
        let mut rounds = self.rounds.iter_mut();
        let Some(round) = rounds.find(|round| round.request == request) else {
            return false;
        };
        for answer in answers {
            if self.voters.contains(answer.voter) {
                let newest = round.answers.entry(answer.voter).or_default();
                *newest = answer.newest.max(*newest);
            }
        }
        true
    }

    /// Puts in force what the answers allow and grants the lease where a renewal is complete.
    /// Returns the newest grant, if there is one.
    pub fn try_grant(&mut self, now: MonotonicTime) -> Option<Grant> {
        self.rounds
            .retain(|round| now.since(round.sent_at) < LEASE_TIME);
        let mut granted = None;
        for (index, round) in self.rounds.iter().enumerate() {
            let Some(standing) = self.voters.standing(round.answers.values().copied()) else {
                continue;
            };
            self.sets.promote(standing.held);
            if Self::is_complete(standing, self.sets.in_force().revision()) {
                granted = Some(index);
            }
        }
        let index = granted?;
        let round = self.rounds.drain(..=index).next_back()?;
        self.granted_from = self.granted_from.max(Some(round.sent_at));
        self.granted_at = Some(now);
        let answers = round.answers.iter().map(|(voter, newest)| VoterAnswer {
            voter: *voter,
            newest: *newest,
        });
        Some(Grant {
            sent_at: round.sent_at,
            answers: answers.collect(),
        })
    }

    fn is_complete(standing: Standing, in_force: Revision) -> bool {
        in_force >= standing.needed
    }
}
