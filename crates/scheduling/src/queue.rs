//! Waiting calls: one lane for urgent calls and one for each partner's routine calls.
//!
//! Within a lane, calls are sorted by a key that is fixed on arrival. Ageing needs no re-sorting: all
//! calls age at the same rate, so the penalty for attained service is added to the arrival time once.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use ridgeworks_domain::{MonotonicTime, NodeId};

use crate::backends::BackendIndex;
use crate::event::{QueuedCall, Ticket};
use crate::shares::PartnerIndex;

/// Width of the position ranges for which expected work is summed.
const WORK_BUCKET_MICROS: i64 = 250_000;

/// Sort key of a waiting call; the smallest is first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderKey {
    /// Adjusted arrival time in microseconds, or the call's size in tokens, depending on
    /// [`crate::QueueOrder`].
    pub position: i64,
    /// Order of arrival, to break ties.
    pub serial: u64,
}

/// Lane that a call waits in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lane {
    /// Urgent calls of all partners; takes strict precedence over the other lanes.
    Urgent,
    /// Routine calls of one partner.
    Routine(PartnerIndex),
}

/// A call in the queue, with the values computed when it was admitted.
#[derive(Debug, Clone)]
pub struct WaitingCall {
    /// Call as requested by its owner.
    pub call: QueuedCall,
    /// Partner whose share the slot counts against.
    pub partner: PartnerIndex,
    /// Lane that the call waits in.
    pub lane: Lane,
    /// Sort key within the lane.
    pub key: OrderKey,
    /// Backend that the call prefers to wait for; `None` if any will do.
    pub affinity: Option<BackendIndex>,
    /// Time of arrival.
    pub enqueued_at: MonotonicTime,
    /// Latest start that still meets the deadline; `None` if no deadline is enforced.
    pub latest_start: Option<MonotonicTime>,
    /// Expected time in a slot, in microseconds.
    pub work_micros: u64,
}

/// Calls of one lane.
#[derive(Debug, Default)]
pub struct LaneQueue {
    order: BTreeMap<OrderKey, Ticket>,
    by_affinity: BTreeMap<Option<BackendIndex>, BTreeMap<OrderKey, Ticket>>,
    work_by_bucket: BTreeMap<i64, u64>,
}

impl LaneQueue {
    /// Number of waiting calls.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Keys and tickets in queue order.
    pub fn iter(&self) -> impl Iterator<Item = (OrderKey, Ticket)> {
        self.order.iter().map(|(key, ticket)| (*key, *ticket))
    }

    /// First call in queue order.
    pub fn head(&self) -> Option<(OrderKey, Ticket)> {
        self.iter().next()
    }

    /// Calls with this affinity, in queue order.
    pub fn iter_affinity(
        &self,
        affinity: Option<BackendIndex>,
    ) -> impl Iterator<Item = (OrderKey, Ticket)> {
        let queue = self.by_affinity.get(&affinity).into_iter();
        queue.flatten().map(|(key, ticket)| (*key, *ticket))
    }

    /// First call with this affinity.
    pub fn head_of_affinity(&self, affinity: Option<BackendIndex>) -> Option<(OrderKey, Ticket)> {
        self.iter_affinity(affinity).next()
    }

    /// Number of calls with affinity to this backend.
    pub fn len_of_affinity(&self, affinity: BackendIndex) -> usize {
        self.by_affinity
            .get(&Some(affinity))
            .map_or(0, BTreeMap::len)
    }

    /// Expected work of the calls before `key`, in slot-microseconds. Includes all calls in the same
    /// bucket as `key`.
    pub fn work_before(&self, key: OrderKey) -> u64 {
        let bucket = key.position.div_euclid(WORK_BUCKET_MICROS);
        let before = self.work_by_bucket.range(..=bucket);
        before.map(|(_, work)| *work).sum()
    }

    fn insert(&mut self, waiting: &WaitingCall) {
        let ticket = waiting.call.ticket;
        self.order.insert(waiting.key, ticket);
        self.insert_affinity(waiting.affinity, waiting.key, ticket);
        let bucket = waiting.key.position.div_euclid(WORK_BUCKET_MICROS);
        *self.work_by_bucket.entry(bucket).or_default() += waiting.work_micros;
    }

    fn remove(&mut self, waiting: &WaitingCall) {
        self.order.remove(&waiting.key);
        self.remove_affinity(waiting.affinity, waiting.key);
        let bucket = waiting.key.position.div_euclid(WORK_BUCKET_MICROS);
        if let Some(work) = self.work_by_bucket.get_mut(&bucket) {
            *work -= waiting.work_micros;
            if *work == 0 {
                self.work_by_bucket.remove(&bucket);
            }
        }
    }

    fn insert_affinity(&mut self, affinity: Option<BackendIndex>, key: OrderKey, ticket: Ticket) {
        self.by_affinity
            .entry(affinity)
            .or_default()
            .insert(key, ticket);
    }

    fn remove_affinity(&mut self, affinity: Option<BackendIndex>, key: OrderKey) {
        if let Some(queue) = self.by_affinity.get_mut(&affinity) {
            queue.remove(&key);
            if queue.is_empty() {
                self.by_affinity.remove(&affinity);
            }
        }
    }
}

/// Waiting calls of all lanes.
#[derive(Debug, Default)]
pub struct CallQueue {
    calls: HashMap<Ticket, WaitingCall>,
    lanes: BTreeMap<Lane, LaneQueue>,
    by_latest_start: BTreeSet<(MonotonicTime, Ticket)>,
}

impl CallQueue {
    /// Number of all waiting calls.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    /// All waiting calls, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingCall> {
        self.calls.values()
    }

    /// Whether the call with this ticket is waiting.
    pub fn contains(&self, ticket: Ticket) -> bool {
        self.calls.contains_key(&ticket)
    }

    /// The call with this ticket, if it is waiting.
    pub fn get(&self, ticket: Ticket) -> Option<&WaitingCall> {
        self.calls.get(&ticket)
    }

    /// A lane; `None` if no call has ever waited in it.
    pub fn lane(&self, lane: Lane) -> Option<&LaneQueue> {
        self.lanes.get(&lane)
    }

    /// Number of calls waiting in a lane.
    pub fn lane_len(&self, lane: Lane) -> usize {
        self.lane(lane).map_or(0, LaneQueue::len)
    }

    /// First waiting urgent call.
    pub fn urgent_head(&self) -> Option<Ticket> {
        let (_, ticket) = self.lane(Lane::Urgent)?.head()?;
        Some(ticket)
    }

    /// Adds a call. Its ticket must not be in the queue already.
    pub fn insert(&mut self, waiting: WaitingCall) {
        let ticket = waiting.call.ticket;
        if let Some(latest_start) = waiting.latest_start {
            self.by_latest_start.insert((latest_start, ticket));
        }
        self.lanes.entry(waiting.lane).or_default().insert(&waiting);
        self.calls.insert(ticket, waiting);
    }

    /// Removes and returns the call with this ticket, if it is waiting.
    pub fn remove(&mut self, ticket: Ticket) -> Option<WaitingCall> {
        let waiting = self.calls.remove(&ticket)?;
        if let Some(latest_start) = waiting.latest_start {
            self.by_latest_start.remove(&(latest_start, ticket));
        }
        if let Some(lane) = self.lanes.get_mut(&waiting.lane) {
            lane.remove(&waiting);
        }
        Some(waiting)
    }

    /// Changes the backend that a call prefers to wait for.
    pub fn set_affinity(&mut self, ticket: Ticket, affinity: Option<BackendIndex>) {
        let Some(waiting) = self.calls.get_mut(&ticket) else {
            return;
        };
        if waiting.affinity == affinity {
            return;
        }
        if let Some(lane) = self.lanes.get_mut(&waiting.lane) {
            lane.remove_affinity(waiting.affinity, waiting.key);
            lane.insert_affinity(affinity, waiting.key, ticket);
        }
        waiting.affinity = affinity;
    }

    /// All waiting tickets, sorted by ticket.
    pub fn tickets(&self) -> Vec<Ticket> {
        let mut tickets: Vec<Ticket> = self.calls.keys().copied().collect();
        tickets.sort_unstable();
        tickets
    }

    /// Tickets with affinity to a backend.
    pub fn waiting_for(&self, affinity: BackendIndex) -> Vec<Ticket> {
        let lanes = self.lanes.values();
        let queues = lanes.filter_map(|lane| lane.by_affinity.get(&Some(affinity)));
        queues.flat_map(|queue| queue.values().copied()).collect()
    }

    /// Waiting tickets of an owner.
    pub fn of_owner(&self, owner: NodeId) -> Vec<Ticket> {
        let mut tickets = self.tickets();
        tickets.retain(|ticket| ticket.owner == owner);
        tickets
    }

    /// The call whose latest start passed first; `None` if all deadlines can still be met.
    pub fn first_unmeetable_deadline(&self, now: MonotonicTime) -> Option<Ticket> {
        let (latest_start, ticket) = self.by_latest_start.first()?;
        (*latest_start < now).then_some(*ticket)
    }
}
