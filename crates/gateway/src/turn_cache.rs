//! Cache of turns that this gateway read or wrote recently. A turn is immutable, so cached copies
//! are never stale.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_records::{TurnId, TurnRecord};

/// How long an unused turn stays. Sessions usually pause a second or two for their tools; a turn
/// that is needed later is read from a replica, which costs less than the memory.
const MAX_IDLE_TIME: Duration = Duration::from_secs(8);

struct CachedTurn {
    record: Rc<TurnRecord>,
    until: Duration,
    used_at: Duration,
}

/// Cache of turns, bounded in bytes and idle time. Times count from the start of the process.
pub struct TurnCache {
    max_bytes: usize,
    bytes: usize,
    turns: HashMap<TurnId, CachedTurn>,
    /// Turns by the time of their last expiry check, the oldest first.
    order: VecDeque<(Duration, TurnId)>,
}

impl TurnCache {
    /// Creates an empty cache of at most `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            bytes: 0,
            turns: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Inserts a turn that is valid until `until`. The oldest turns are evicted while the cache is
    /// too large.
    pub fn insert(&mut self, record: TurnRecord, until: Duration, now: Duration) {
        let turn = record.turn.clone();
        let bytes = record.weight();
        let cached = CachedTurn {
            record: Rc::new(record),
            until,
            used_at: now,
        };
        if self.turns.insert(turn.clone(), cached).is_some() {
            return;
        }
        self.bytes += bytes;
        self.order.push_back((now, turn));
        while self.bytes > self.max_bytes {
            self.evict_oldest();
        }
    }

    /// Drops turns that are past their retention or have not been used recently.
    pub fn expire(&mut self, now: Duration) {
        while let Some((checked_at, _)) = self.order.front()
            && now.saturating_sub(*checked_at) >= MAX_IDLE_TIME
        {
            let Some((_, turn)) = self.order.pop_front() else {
                return;
            };
            let Some(cached) = self.turns.get(&turn) else {
                continue;
            };
            let idle = now.saturating_sub(cached.used_at);
            if idle < MAX_IDLE_TIME && now < cached.until {
                self.order.push_back((now, turn));
            } else {
                self.remove(&turn);
            }
        }
    }

    /// Whether the turn is cached, even if it is past its retention.
    pub fn contains(&self, turn: &TurnId) -> bool {
        self.turns.contains_key(turn)
    }

    /// Total size of the cached turns, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The turn, if it is cached.
    pub fn record(&self, turn: &TurnId) -> Option<Rc<TurnRecord>> {
        let cached = self.turns.get(turn)?;
        Some(Rc::clone(&cached.record))
    }

    /// The turn and all before it, oldest first; `None` unless all are cached and within their
    /// retention.
    pub fn chain(&mut self, newest: &TurnId, now: Duration) -> Option<Vec<Rc<TurnRecord>>> {
        let mut chain = Vec::new();
        let mut next = Some(newest.clone());
        while let Some(turn) = next {
            let cached = self.turns.get_mut(&turn);
            let cached = cached.filter(|cached| now < cached.until)?;
            cached.used_at = now;
            chain.push(Rc::clone(&cached.record));
            next = cached.record.previous.clone();
        }
        chain.reverse();
        Some(chain)
    }

    fn evict_oldest(&mut self) {
        let Some((_, oldest)) = self.order.pop_front() else {
            self.bytes = 0;
            return;
        };
        self.remove(&oldest);
    }

    fn remove(&mut self, turn: &TurnId) {
        if let Some(cached) = self.turns.remove(turn) {
            self.bytes = self.bytes.saturating_sub(cached.record.weight());
        }
    }
}
