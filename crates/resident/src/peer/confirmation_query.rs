//! When another node is asked whether what this one knows is still the newest.
//!
//! An age that comes unasked proves nothing: the datagram may have waited for any time at a process that was frozen, and what it says would
//! look as young as it was when it was sent. So it only tells whom to ask. The answer counts from the question, on the clock of
//! whoever asked, which is as old as the knowledge can be.

use std::cell::Cell;
use std::time::Duration;

/// Part of the bound on configurations by which another node has to know better to be asked: below it the answer is
/// not worth its two datagrams.
const GAIN_SHARE: f64 = 0.1;
/// An answer that takes so long is not waited for any more; another node may be asked.
const ANSWER_TIME: Duration = Duration::from_millis(300);

#[derive(Debug, Clone, Copy)]
struct Question {
    number: u64,
    asked_at: Duration,
}

/// How old two nodes' knowledge of the same kind is, as far as it was ever confirmed.
#[derive(Debug, Clone, Copy)]
pub struct ConfirmationAges {
    /// That of this node.
    pub own: Option<Duration>,
    /// What the other one tells of its own.
    pub told: Option<Duration>,
}

/// The question that is open, if any. Times are since the start of the process.
#[derive(Debug)]
pub struct ConfirmationQuery {
    gain: Duration,
    last: Cell<u64>,
    open: Cell<Option<Question>>,
}

impl ConfirmationQuery {
    /// Nothing is asked yet, under the bound within which configurations come in force.
    pub fn new(bound: Duration) -> Self {
        Self {
            gain: bound.mul_f64(GAIN_SHARE),
            last: Cell::new(0),
            open: Cell::new(None),
        }
    }

    /// Number of the question to a node whose knowledge of these kinds is so old; `None` where asking is not worth it.
    /// Each kind counts by itself, since the store is asked for each by itself.
    pub fn ask(&self, kinds: &[ConfirmationAges], now: Duration) -> Option<u64> {
        let gains = kinds.iter().any(|ages| self.gains(*ages));
        let is_free = self
            .open
            .get()
            .is_none_or(|open| now.saturating_sub(open.asked_at) > ANSWER_TIME);
        if !gains || !is_free {
            return None;
        }
        let number = self.last.get() + 1;
        self.last.set(number);
        self.open.set(Some(Question {
            number,
            asked_at: now,
        }));
        Some(number)
    }

    fn gains(&self, ages: ConfirmationAges) -> bool {
        ages.told.is_some_and(|told| {
            let least = told + self.gain;
            ages.own.is_none_or(|own| own > least)
        })
    }

    /// How long ago the question with this number was asked; `None` for any but the one that is open.
    pub fn on_answer(&self, number: u64, now: Duration) -> Option<Duration> {
        let open = self.open.get().filter(|open| open.number == number)?;
        self.open.set(None);
        Some(now.saturating_sub(open.asked_at))
    }
}
