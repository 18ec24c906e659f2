//! The engine's memory behind one lock, with those who observe it: the recorded history and the
//! published cache events.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use ridgeworks_domain::RunId;

use crate::engine::cache_events::{CacheEventKind, CacheEventLog, CacheEventPage};
use crate::engine::prefix_cache::{CacheChange, PrefixCache};
use crate::history::{HistoryEvent, Recorder};

struct Inner {
    cache: PrefixCache,
    events: CacheEventLog,
}

/// The memory and its observers.
pub struct EngineMemory {
    inner: Mutex<Inner>,
}

impl EngineMemory {
    /// An empty memory.
    pub fn new(total_blocks: u64, event_lag: Duration, event_gap_every: Option<u64>) -> Self {
        Self {
            inner: Mutex::new(Inner {
                cache: PrefixCache::new(total_blocks),
                events: CacheEventLog::new(event_lag, event_gap_every),
            }),
        }
    }

    /// Works on the memory, then tells the observers what changed.
    pub fn with<T>(&self, history: &Recorder, work: impl FnOnce(&mut PrefixCache) -> T) -> T {
        let mut inner = self.inner.lock().expect("no holder of this lock panics");
        let result = work(&mut inner.cache);
        let now = Instant::now();
        for change in inner.cache.apply_changes() {
            publish(&mut inner.events, change, now);
            record(history, change);
        }
        result
    }

    /// Published cache events from a number on.
    pub fn events(&self, from: u64) -> CacheEventPage {
        let inner = self.inner.lock().expect("no holder of this lock panics");
        inner.events.read(from, Instant::now())
    }
}

fn publish(events: &mut CacheEventLog, change: CacheChange, now: Instant) {
    match change {
        CacheChange::Held(..) => {}
        CacheChange::Stored(run, tokens) => events.add(CacheEventKind::Stored, run, tokens, now),
        CacheChange::Evicted(run, tokens) | CacheChange::Released(run, tokens) => {
            events.add(CacheEventKind::Evicted, run, tokens, now);
        }
    }
}

fn record(history: &Recorder, change: CacheChange) {
    let held = |run: RunId, tokens| HistoryEvent::ContextHeld {
        backend: history.by().to_owned(),
        run,
        tokens,
    };
    let released = |run: RunId, tokens| HistoryEvent::ContextReleased {
        backend: history.by().to_owned(),
        run,
        tokens,
    };
    match change {
        CacheChange::Held(run, tokens) => history.record(&held(run, tokens)),
        CacheChange::Stored(..) => {}
        CacheChange::Evicted(run, tokens) | CacheChange::Released(run, tokens) => {
            history.record(&released(run, tokens));
        }
    }
}
