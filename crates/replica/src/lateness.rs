//! Whether a replica keeps up with what it is asked, for the log.
//!
//! A replica that is short of processor time answers everybody late, and gateways can only tell that it is slow. This says why: how
//! much it was asked, how long its own answers took and how late its timers fired, which nothing but the processor delays.

use std::time::{Duration, Instant};

use ridgeworks_records::ReplicaRequest;
use ridgeworks_resident::clock::whole_ms;

/// How often a replica that is late says so.
const INTERVAL: Duration = Duration::from_secs(1);
/// Answers or timers that are later than this are late: ordinary answers wait for a transaction or two, 30 ms at most.
const LATE: Duration = Duration::from_millis(100);

/// What happened in one interval.
#[derive(Debug, Default)]
struct Counts {
    reservations: u64,
    settlements: u64,
    records: u64,
    reads: u64,
    others: u64,
    answers: u64,
    slowest: Duration,
    timer_lag: Duration,
}

impl Counts {
    fn is_late(&self) -> bool {
        self.slowest.max(self.timer_lag) > LATE
    }
}

/// Watches one replica.
#[derive(Debug)]
pub struct Lateness {
    began: Instant,
    late_since: Option<Instant>,
    counts: Counts,
}

impl Default for Lateness {
    fn default() -> Self {
        Self {
            began: Instant::now(),
            late_since: None,
            counts: Counts::default(),
        }
    }
}

impl Lateness {
    /// A request was read.
    pub fn on_request(&mut self, request: &ReplicaRequest) {
        let counts = &mut self.counts;
        let count = match request {
            ReplicaRequest::Charge { .. } => &mut counts.reservations,
            ReplicaRequest::Settle { .. } => &mut counts.settlements,
            ReplicaRequest::Append { .. } => &mut counts.records,
            ReplicaRequest::ReadChain { .. } => &mut counts.reads,
            _ => &mut counts.others,
        };
        *count += 1;
    }

    /// An answer was given so long after its request was read.
    pub fn on_answer(&mut self, taken: Duration) {
        self.counts.answers += 1;
        self.counts.slowest = self.counts.slowest.max(taken);
    }

    /// A timer fired so long after it was due.
    pub fn on_timer(&mut self, lag: Duration) {
        self.counts.timer_lag = self.counts.timer_lag.max(lag);
    }

    /// Says once an interval that the replica is late, with the transactions of its disk so far, and once that it no longer is.
    pub fn tell(&mut self, now: Instant, waiting: usize, commits: u64) {
        if now.duration_since(self.began) < INTERVAL {
            return;
        }
        self.began = now;
        let counts = std::mem::take(&mut self.counts);
        if counts.is_late() {
            self.late_since.get_or_insert(now);
            log::warn!(
                target: "belief",
                reservations = counts.reservations,
                settlements = counts.settlements,
                records = counts.records,
                reads = counts.reads,
                others = counts.others,
                answers = counts.answers,
                waiting = waiting,
                slowest_ms = whole_ms(counts.slowest),
                timer_lag_ms = whole_ms(counts.timer_lag),
                commits = commits;
                "replica answers late"
            );
        } else if let Some(since) = self.late_since.take() {
            log::info!(
                target: "belief",
                late_ms = whole_ms(now.duration_since(since)),
                reservations = counts.reservations,
                reads = counts.reads;
                "replica answers in time again"
            );
        }
    }
}
