//! The waiting calls: one lane for urgent calls, one for each partner's routine calls.
//!
//! Within a lane calls are sorted by a fixed key, the time from which on a call is due. Ageing needs
//! no re-sorting: all calls age alike, so attained service is added to the time of arrival once.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use ridgeworks_domain::{MonotonicTime, NodeId};

use crate::backends::BackendIndex;
use crate::event::{QueuedCall, Ticket};
use crate::shares::PartnerIndex;

const WORK_BUCKET_MICROS: i64 = 250_000;

/// Sort key of a waiting call; smaller goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderKey {
    /// When the call is due, or its size, as the order has it.
    pub position: i64,
    /// Order of arrival, which breaks ties.
    pub serial: u64,
}

/// The lane that a call waits in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lane {
    /// Strictly before all others.
    Urgent,
    /// Routine calls of one partner.
    Routine(PartnerIndex),
}

/// A call in the queue.
#[derive(Debug, Clone)]
pub struct WaitingCall {
    /// The call.
    pub call: QueuedCall,
    /// Its partner.
    pub partner: PartnerIndex,
    /// Its lane.
    pub lane: Lane,
    /// Its place in the lane.
    pub key: OrderKey,
    /// The back end that it waits for.
    pub home: Option<BackendIndex>,
    /// When it came.
    pub enqueued_at: MonotonicTime,
    /// When it must start to meet its deadline.
    pub latest_start: Option<MonotonicTime>,
    /// Expected time in a slot, in microseconds.
    pub work_micros: u64,
}

/// Calls of one lane.
#[derive(Debug, Default)]
pub struct LaneQueue {
    order: BTreeMap<OrderKey, Ticket>,
    by_home: BTreeMap<Option<BackendIndex>, BTreeMap<OrderKey, Ticket>>,
    work_by_bucket: BTreeMap<i64, u64>,
}

impl LaneQueue {
    /// Number of calls.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Calls in their order.
    pub fn iter(&self) -> impl Iterator<Item = (OrderKey, Ticket)> {
        self.order.iter().map(|(key, ticket)| (*key, *ticket))
    }

    /// First call.
    pub fn head(&self) -> Option<(OrderKey, Ticket)> {
        self.iter().next()
    }

    /// Calls that wait for `home`, in their order.
    pub fn iter_home(
        &self,
        home: Option<BackendIndex>,
    ) -> impl Iterator<Item = (OrderKey, Ticket)> {
        let queue = self.by_home.get(&home).into_iter();
        queue.flatten().map(|(key, ticket)| (*key, *ticket))
    }

    /// First call that waits for `home`.
    pub fn head_of_home(&self, home: Option<BackendIndex>) -> Option<(OrderKey, Ticket)> {
        self.iter_home(home).next()
    }

    /// Calls that wait for `home`.
    pub fn len_of_home(&self, home: BackendIndex) -> usize {
        self.by_home.get(&Some(home)).map_or(0, BTreeMap::len)
    }

    /// Expected work before `key`, in microseconds of slots.
    pub fn work_before(&self, key: OrderKey) -> u64 {
        let bucket = key.position.div_euclid(WORK_BUCKET_MICROS);
        let before = self.work_by_bucket.range(..=bucket);
        before.map(|(_, work)| *work).sum()
    }

    fn insert(&mut self, waiting: &WaitingCall) {
        let ticket = waiting.call.ticket;
        self.order.insert(waiting.key, ticket);
        self.insert_home(waiting.home, waiting.key, ticket);
        let bucket = waiting.key.position.div_euclid(WORK_BUCKET_MICROS);
        *self.work_by_bucket.entry(bucket).or_default() += waiting.work_micros;
    }

    fn remove(&mut self, waiting: &WaitingCall) {
        self.order.remove(&waiting.key);
        self.remove_home(waiting.home, waiting.key);
        let bucket = waiting.key.position.div_euclid(WORK_BUCKET_MICROS);
        if let Some(work) = self.work_by_bucket.get_mut(&bucket) {
            *work -= waiting.work_micros;
            if *work == 0 {
                self.work_by_bucket.remove(&bucket);
            }
        }
    }

    fn insert_home(&mut self, home: Option<BackendIndex>, key: OrderKey, ticket: Ticket) {
        self.by_home.entry(home).or_default().insert(key, ticket);
    }

    fn remove_home(&mut self, home: Option<BackendIndex>, key: OrderKey) {
        if let Some(queue) = self.by_home.get_mut(&home) {
            queue.remove(&key);
            if queue.is_empty() {
                self.by_home.remove(&home);
            }
        }
    }
}

/// All waiting calls.
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

    /// All waiting calls, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingCall> {
        self.calls.values()
    }

    /// Whether the ticket waits.
    pub fn contains(&self, ticket: Ticket) -> bool {
        self.calls.contains_key(&ticket)
    }

    /// A waiting call.
    pub fn get(&self, ticket: Ticket) -> Option<&WaitingCall> {
        self.calls.get(&ticket)
    }

    /// A lane, if calls ever waited in it.
    pub fn lane(&self, lane: Lane) -> Option<&LaneQueue> {
        self.lanes.get(&lane)
    }

    /// Number of calls of a lane.
    pub fn lane_len(&self, lane: Lane) -> usize {
        self.lane(lane).map_or(0, LaneQueue::len)
    }

    /// First urgent call.
    pub fn urgent_head(&self) -> Option<Ticket> {
        let (_, ticket) = self.lane(Lane::Urgent)?.head()?;
        Some(ticket)
    }

    /// Adds a call whose ticket does not wait yet.
    pub fn insert(&mut self, waiting: WaitingCall) {
        let ticket = waiting.call.ticket;
        if let Some(latest_start) = waiting.latest_start {
            self.by_latest_start.insert((latest_start, ticket));
        }
        self.lanes.entry(waiting.lane).or_default().insert(&waiting);
        self.calls.insert(ticket, waiting);
    }

    /// Takes a call out.
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

    /// Lets a call wait for another back end.
    pub fn set_home(&mut self, ticket: Ticket, home: Option<BackendIndex>) {
        let Some(waiting) = self.calls.get_mut(&ticket) else {
            return;
        };
        if waiting.home == home {
            return;
        }
        if let Some(lane) = self.lanes.get_mut(&waiting.lane) {
            lane.remove_home(waiting.home, waiting.key);
            lane.insert_home(home, waiting.key, ticket);
        }
        waiting.home = home;
    }

    /// All waiting tickets, in their order.
    pub fn tickets(&self) -> Vec<Ticket> {
        let mut tickets: Vec<Ticket> = self.calls.keys().copied().collect();
        tickets.sort_unstable();
        tickets
    }

    /// Tickets that wait for a back end.
    pub fn waiting_for(&self, home: BackendIndex) -> Vec<Ticket> {
        let lanes = self.lanes.values();
        let queues = lanes.filter_map(|lane| lane.by_home.get(&Some(home)));
        queues.flat_map(|queue| queue.values().copied()).collect()
    }

    /// Tickets of an owner.
    pub fn of_owner(&self, owner: NodeId) -> Vec<Ticket> {
        let mut tickets = self.tickets();
        tickets.retain(|ticket| ticket.owner == owner);
        tickets
    }

    /// A call whose deadline can no longer be met.
    pub fn first_too_late(&self, now: MonotonicTime) -> Option<Ticket> {
        let (latest_start, ticket) = self.by_latest_start.first()?;
        (*latest_start < now).then_some(*ticket)
    }
}
