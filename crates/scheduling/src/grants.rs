//! Grants that have not ended.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use ridgeworks_domain::{MonotonicTime, NodeId, RunId};

use crate::backends::BackendIndex;
use crate::event::Ticket;
use crate::queue::{Lane, WaitingCall};

/// Progress of a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantState {
    /// The slot is reserved while the context is moved; the owner has not been notified.
    Moving,
    /// The grant was sent to the owner, which has not confirmed it.
    Offered,
    /// The attempt is running. At this time its owner confirmed the start, or reported to this dispatcher
    /// an attempt that an earlier one had granted.
    Running(MonotonicTime),
}

/// A slot taken by a call.
#[derive(Debug, Clone)]
pub struct Grant {
    /// Call with its values from the queue.
    pub waiting: WaitingCall,
    /// Backend that the slot belongs to.
    pub backend: BackendIndex,
    /// Cache tokens that the call may add at the backend.
    pub reserved_tokens: u64,
    /// Progress of the grant.
    pub state: GrantState,
    /// Whether the owner was asked to cancel the attempt.
    pub preempting: bool,
    /// Time at which the grant expires; in state `Moving`, the time at which it is sent to the owner
    /// even if the move has not ended.
    pub expires_at: MonotonicTime,
}

/// All grants that have not ended.
#[derive(Debug, Default)]
pub struct GrantTable {
    grants: HashMap<Ticket, Grant>,
    by_expiry: BTreeSet<(MonotonicTime, Ticket)>,
    preemptible: BTreeSet<(MonotonicTime, Ticket)>,
    preempting: usize,
}

impl GrantTable {
    /// Number of grants in any state.
    pub fn len(&self) -> usize {
        self.grants.len()
    }

    /// Whether there are no grants.
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }

    /// Number of grants whose owners were asked to cancel and that have not ended.
    pub fn preempting(&self) -> usize {
        self.preempting
    }

    /// The grant with this ticket.
    pub fn get(&self, ticket: Ticket) -> Option<&Grant> {
        self.grants.get(&ticket)
    }

    /// Adds a grant. Its ticket must not have a grant already.
    pub fn insert(&mut self, grant: Grant) {
        let ticket = grant.waiting.call.ticket;
        self.by_expiry.insert((grant.expires_at, ticket));
        self.grants.insert(ticket, grant);
    }

    /// Removes and returns the grant with this ticket.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Grant> {
        let grant = self.grants.remove(&ticket)?;
        self.by_expiry.remove(&(grant.expires_at, ticket));
        if let GrantState::Running(since) = grant.state {
            self.preemptible.remove(&(since, ticket));
        }
        if grant.preempting {
            self.preempting -= 1;
        }
        Some(grant)
    }

    /// Marks a grant as sent to its owner; it expires if not confirmed by `expires_at`.
    pub fn offer(&mut self, ticket: Ticket, expires_at: MonotonicTime) {
        if let Some(mut grant) = self.remove(ticket) {
            grant.state = GrantState::Offered;
            grant.expires_at = expires_at;
            self.insert(grant);
        }
    }

    /// Marks an offered grant as confirmed by its owner; no effect in any other state.
    pub fn start(&mut self, ticket: Ticket, now: MonotonicTime, timeout: Duration) {
        let offered = self.get(ticket).map(|grant| grant.state) == Some(GrantState::Offered);
        if !offered {
            return;
        }
        if let Some(mut grant) = self.remove(ticket) {
            grant.state = GrantState::Running(now);
            grant.expires_at = now + timeout;
            let routine = grant.waiting.lane != Lane::Urgent;
            if routine && grant.waiting.call.preemptible {
                self.preemptible.insert((now, ticket));
            }
            self.insert(grant);
        }
    }

    /// Marks the preemptible attempt that started last, and so loses least work, for cancellation.
    /// Only grants for which `allowed` returns true are considered.
    pub fn preempt_latest(&mut self, allowed: impl Fn(&Grant) -> bool) -> Option<&Grant> {
        let candidates = self.preemptible.iter().rev();
        let mut allowed_ones = candidates.filter(|(_, ticket)| {
            let grant = self.grants.get(ticket);
            grant.is_some_and(&allowed)
        });
        let entry = *allowed_ones.next()?;
        self.preemptible.remove(&entry);
        let grant = self.grants.get_mut(&entry.1)?;
        grant.preempting = true;
        self.preempting += 1;
        Some(grant)
    }

    /// The grant that expired first, if any has expired.
    pub fn first_expired(&self, now: MonotonicTime) -> Option<Ticket> {
        let (expires_at, ticket) = self.by_expiry.first()?;
        (*expires_at <= now).then_some(*ticket)
    }

    /// Tickets granted to an owner.
    pub fn of_owner(&self, owner: NodeId) -> Vec<Ticket> {
        self.tickets_where(|grant| grant.waiting.call.ticket.owner == owner)
    }

    /// Tickets that hold a slot of a backend.
    pub fn at_backend(&self, backend: BackendIndex) -> Vec<Ticket> {
        self.tickets_where(|grant| grant.backend == backend)
    }

    /// Tickets that wait for a context to be moved to a backend; `run` restricts them to one run.
    pub fn moving_to(&self, backend: BackendIndex, run: Option<RunId>) -> Vec<Ticket> {
        self.tickets_where(|grant| {
            grant.state == GrantState::Moving
                && grant.backend == backend
                && run.is_none_or(|run| grant.waiting.call.run == run)
        })
    }

    fn tickets_where(&self, wanted: impl Fn(&Grant) -> bool) -> Vec<Ticket> {
        let matching = self.grants.iter().filter(|(_, grant)| wanted(grant));
        let mut tickets: Vec<Ticket> = matching.map(|(ticket, _)| *ticket).collect();
        tickets.sort_unstable();
        tickets
    }
}
