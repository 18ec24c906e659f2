//! Turns that this gateway wrote or read lately. A turn never changes, so a copy is as good as the record.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_records::{TurnId, TurnRecord};

/// How long a turn stays that nobody goes on from. A line of turns pauses for its tools, a second or two; one
/// that comes back later is read from a replica, at once and for less than the memory would cost.
const IDLE_LIFETIME: Duration = Duration::from_secs(8);

struct Cached {
    record: Rc<TurnRecord>,
    until: Duration,
    used_at: Duration,
}

/// A cache of turns, bounded in bytes and in time. Times are since the start of the process.
pub struct TurnCache {
    max_bytes: usize,
    bytes: usize,
    turns: HashMap<TurnId, Cached>,
    /// Turns with the time at which they were last looked at for expiry, the oldest first.
    order: VecDeque<(Duration, TurnId)>,
}

impl TurnCache {
    /// An empty cache of at most so many bytes.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            bytes: 0,
            turns: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Takes in a turn that is kept until then.
    pub fn insert(&mut self, record: TurnRecord, until: Duration, now: Duration) {
        let turn = record.turn.clone();
        let weight = record.weight();
        let cached = Cached {
            record: Rc::new(record),
            until,
            used_at: now,
        };
        if self.turns.insert(turn.clone(), cached).is_some() {
            return;
        }
        self.bytes += weight;
        self.order.push_back((now, turn));
        while self.bytes > self.max_bytes {
            self.evict_oldest();
        }
    }

    /// Lets go of turns that nobody has used for a while.
    pub fn expire(&mut self, now: Duration) {
        while let Some((looked_at, _)) = self.order.front()
            && now.saturating_sub(*looked_at) >= IDLE_LIFETIME
        {
            let Some((_, turn)) = self.order.pop_front() else {
                return;
            };
            let Some(cached) = self.turns.get(&turn) else {
                continue;
            };
            let idle = now.saturating_sub(cached.used_at);
            if idle < IDLE_LIFETIME && now < cached.until {
                self.order.push_back((now, turn));
            } else {
                self.remove(&turn);
            }
        }
    }

    /// Whether a turn is here.
    pub fn contains(&self, turn: &TurnId) -> bool {
        self.turns.contains_key(turn)
    }

    /// Bytes of all turns.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The turn and all before it, oldest first; `None` unless all are here and still kept.
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
