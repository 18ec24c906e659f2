//! Turns that this gateway wrote or read lately. A turn never changes, so a copy is as good as the record.

use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_records::{TurnId, TurnRecord};

struct Cached {
    record: Rc<TurnRecord>,
    until: Duration,
}

/// A cache of turns, bounded in bytes; the oldest give way. Times are since the start of the process.
pub struct TurnCache {
    max_bytes: usize,
    bytes: usize,
    turns: HashMap<TurnId, Cached>,
    order: VecDeque<TurnId>,
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
    pub fn insert(&mut self, record: TurnRecord, until: Duration) {
        let turn = record.turn.clone();
        let weight = record.weight();
        let record = Rc::new(record);
        if self
            .turns
            .insert(turn.clone(), Cached { record, until })
            .is_some()
        {
            return;
        }
        self.bytes += weight;
        self.order.push_back(turn);
        while self.bytes > self.max_bytes {
            self.evict_oldest();
        }
    }

    /// The turn and all before it, oldest first; `None` unless all are here and still kept.
    pub fn chain(&self, newest: &TurnId, now: Duration) -> Option<Vec<Rc<TurnRecord>>> {
        let mut chain = Vec::new();
        let mut next = Some(newest);
        while let Some(turn) = next {
            let cached = self.turns.get(turn).filter(|cached| now < cached.until)?;
            chain.push(Rc::clone(&cached.record));
            next = cached.record.previous.as_ref();
        }
        chain.reverse();
        Some(chain)
    }

    fn evict_oldest(&mut self) {
        let Some(oldest) = self.order.pop_front() else {
            self.bytes = 0;
            return;
        };
        if let Some(cached) = self.turns.remove(&oldest) {
            self.bytes = self.bytes.saturating_sub(cached.record.weight());
        }
    }
}
