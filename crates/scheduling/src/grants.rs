//! Grants that have not ended.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use ridgeworks_domain::{MonotonicTime, NodeId, RunId};

use crate::backends::BackendIndex;
use crate::event::Ticket;
use crate::queue::{Lane, WaitingCall};

/// How far a grant has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantState {
    /// A slot is kept while the context moves; the owner knows nothing yet.
    Moving,
    /// The owner was told.
    Offered,
    /// The owner confirmed at the time given.
    Running(MonotonicTime),
}

/// A slot that is taken.
#[derive(Debug, Clone)]
pub struct Grant {
    /// The call, as it waited.
    pub waiting: WaitingCall,
    /// Where the slot is.
    pub backend: BackendIndex,
    /// Tokens that the call may add to the back end's memory.
    pub reserved_tokens: u64,
    /// How far it has come.
    pub state: GrantState,
    /// The owner was asked to cancel the attempt.
    pub preempting: bool,
    /// When the grant lapses.
    pub lapses_at: MonotonicTime,
}

/// All slots that are taken.
#[derive(Debug, Default)]
pub struct GrantTable {
    grants: HashMap<Ticket, Grant>,
    by_lapse: BTreeSet<(MonotonicTime, Ticket)>,
    preemptible: BTreeSet<(MonotonicTime, Ticket)>,
    preempting: usize,
}

impl GrantTable {
    /// Number of grants.
    pub fn len(&self) -> usize {
        self.grants.len()
    }

    /// Whether nothing is granted.
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }

    /// Grants whose owners were asked to cancel and that have not ended.
    pub fn preempting(&self) -> usize {
        self.preempting
    }

    /// A grant.
    pub fn get(&self, ticket: Ticket) -> Option<&Grant> {
        self.grants.get(&ticket)
    }

    /// Adds a grant.
    pub fn insert(&mut self, grant: Grant) {
        let ticket = grant.waiting.call.ticket;
        self.by_lapse.insert((grant.lapses_at, ticket));
        self.grants.insert(ticket, grant);
    }

    /// Takes a grant out.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Grant> {
        let grant = self.grants.remove(&ticket)?;
        self.by_lapse.remove(&(grant.lapses_at, ticket));
        if let GrantState::Running(since) = grant.state {
            self.preemptible.remove(&(since, ticket));
        }
        if grant.preempting {
            self.preempting -= 1;
        }
        Some(grant)
    }

    /// The owner was told of the slot.
    pub fn offer(&mut self, ticket: Ticket, lapses_at: MonotonicTime) {
        if let Some(mut grant) = self.remove(ticket) {
            grant.state = GrantState::Offered;
            grant.lapses_at = lapses_at;
            self.insert(grant);
        }
    }

    /// The owner confirmed.
    pub fn start(&mut self, ticket: Ticket, now: MonotonicTime, timeout: Duration) {
        let offered = self.get(ticket).map(|grant| grant.state) == Some(GrantState::Offered);
        if !offered {
            return;
        }
        if let Some(mut grant) = self.remove(ticket) {
            grant.state = GrantState::Running(now);
            grant.lapses_at = now + timeout;
            let routine = grant.waiting.lane != Lane::Urgent;
            if routine && grant.waiting.call.preemptible {
                self.preemptible.insert((now, ticket));
            }
            self.insert(grant);
        }
    }

    /// Marks the attempt that started last, and so has least to lose, as to be cancelled.
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

    /// A grant whose time is over.
    pub fn first_lapsed(&self, now: MonotonicTime) -> Option<Ticket> {
        let (lapses_at, ticket) = self.by_lapse.first()?;
        (*lapses_at <= now).then_some(*ticket)
    }

    /// Tickets of an owner.
    pub fn of_owner(&self, owner: NodeId) -> Vec<Ticket> {
        self.tickets_where(|grant| grant.waiting.call.ticket.owner == owner)
    }

    /// Tickets with a slot of a back end.
    pub fn at_backend(&self, backend: BackendIndex) -> Vec<Ticket> {
        self.tickets_where(|grant| grant.backend == backend)
    }

    /// Tickets that wait for a context to arrive at a back end.
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
