//! The configuration lease of a node.
//!
//! A node asks the voters, directly or through a relay, for their newest revisions. The lease is
//! granted once a majority has answered and every revision that was accepted before the node *sent*
//! the renewal is in force on the node. The lease lasts until [`LEASE_DURATION`] after the renewal was
//! sent, on the node's own clock, however late the answers arrive: a node that was paused in between
//! finds its lease expired.
//!
//! The lease is not durable. A restarted process renews it before it serves.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use ridgeworks_domain::safeguard::{Safeguard, is_disabled};
use ridgeworks_domain::{MonotonicTime, NodeId};

use crate::message::VoterAnswer;
use crate::quorum::{QuorumResult, Voters};
use crate::revision::{RequestId, Revision};
use crate::set::ConfigurationSet;
use crate::settings::{LEASE_DURATION, RENEW_INTERVAL};
use crate::staged::StagedSets;

/// Maximum number of renewals in flight; the oldest is dropped.
const MAX_PENDING_RENEWALS: usize = 16;

/// A renewal in flight, with the answers received so far.
#[derive(Debug, Clone)]
pub struct PendingRenewal {
    request: RequestId,
    sent_at: MonotonicTime,
    answers: BTreeMap<NodeId, Revision>,
}

/// A renewal that a majority answered. A relay forwards the answers to its clients.
#[derive(Debug, Clone)]
pub struct LeaseGrant {
    /// When this node sent the renewal.
    pub sent_at: MonotonicTime,
    /// The answers of the voters.
    pub answers: Vec<VoterAnswer>,
}

/// The lease of one node, with the configurations that it holds.
#[derive(Debug)]
pub struct ConfigurationLease {
    voters: Voters,
    /// The configuration in force and newer ones that no majority is known to hold.
    pub sets: StagedSets,
    pending_renewals: VecDeque<PendingRenewal>,
    granted_from: Option<MonotonicTime>,
    granted_at: Option<MonotonicTime>,
    last_sent: Option<MonotonicTime>,
}

impl ConfigurationLease {
    /// A lease that was never granted.
    pub fn new(voters: Voters) -> Self {
        Self {
            voters,
            sets: StagedSets::default(),
            pending_renewals: VecDeque::new(),
            granted_from: None,
            granted_at: None,
            last_sent: None,
        }
    }

    /// The configuration in force, whether or not the lease is valid.
    pub fn set(&self) -> &Arc<ConfigurationSet> {
        self.sets.in_force()
    }

    /// Whether the lease is valid at `now`.
    pub fn is_valid(&self, now: MonotonicTime) -> bool {
        self.granted_from
            .is_some_and(|sent_at| now < sent_at + LEASE_DURATION || is_disabled(Safeguard::Lease))
    }

    /// When the renewal that granted the current lease was sent; the lease starts then.
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

    /// Whether [`RENEW_INTERVAL`] has passed since the last renewal and the last grant. Counting from
    /// the grant as well aligns the clients of a relay, so that one renewal to the voters serves all
    /// of them.
    pub fn renewal_due(&self, now: MonotonicTime) -> bool {
        let passed = |at: MonotonicTime| now.since(at) >= RENEW_INTERVAL;
        self.last_sent.is_none_or(passed) && self.granted_at.is_none_or(passed)
    }

    /// Records that a renewal is sent now.
    pub fn begin(&mut self, request: RequestId, now: MonotonicTime) {
        self.pending_renewals
            .retain(|renewal| now.since(renewal.sent_at) < LEASE_DURATION);
        if self.pending_renewals.len() == MAX_PENDING_RENEWALS {
            self.pending_renewals.pop_front();
        }
        self.pending_renewals.push_back(PendingRenewal {
            request,
            sent_at: now,
            answers: BTreeMap::new(),
        });
        self.last_sent = Some(now);
    }

    /// Records answers of voters to the renewal `request`. Returns whether it is still in flight.
    pub fn record_answers(&mut self, request: RequestId, answers: &[VoterAnswer]) -> bool {
        let mut pending_renewals = self.pending_renewals.iter_mut();
        let Some(renewal) = pending_renewals.find(|renewal| renewal.request == request) else {
            return false;
        };
        for answer in answers {
            if self.voters.contains(answer.voter) {
                let newest = renewal.answers.entry(answer.voter).or_default();
                *newest = answer.newest.max(*newest);
            }
        }
        true
    }

    /// Puts in force the newest configuration that a majority holds, and grants the lease if a
    /// renewal is complete. Returns the newest grant.
    pub fn try_grant(&mut self, now: MonotonicTime) -> Option<LeaseGrant> {
        self.pending_renewals
            .retain(|renewal| now.since(renewal.sent_at) < LEASE_DURATION);
        let mut granted = None;
        for (index, renewal) in self.pending_renewals.iter().enumerate() {
            let Some(quorum_result) = self.voters.quorum_result(renewal.answers.values().copied())
            else {
                continue;
            };
            self.sets.promote(quorum_result.held);
            if Self::is_complete(quorum_result, self.sets.in_force().revision()) {
                granted = Some(index);
            }
        }
        let index = granted?;
        let renewal = self.pending_renewals.drain(..=index).next_back()?;
        self.granted_from = self.granted_from.max(Some(renewal.sent_at));
        self.granted_at = Some(now);
        let answers = renewal.answers.iter().map(|(voter, newest)| VoterAnswer {
            voter: *voter,
            newest: *newest,
        });
        Some(LeaseGrant {
            sent_at: renewal.sent_at,
            answers: answers.collect(),
        })
    }

    fn is_complete(quorum_result: QuorumResult, in_force: Revision) -> bool {
        in_force >= quorum_result.required
    }
}
