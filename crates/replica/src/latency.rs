//! Detects when a replica is slow to reply, and logs it.
//!
//! Gateways only see that a replica is slow. The log line of the replica shows why: the number of
//! its requests, the time of its replies, and the lag of its timers, which grows when the process
//! lacks processor time or the actor's thread is blocked.

use std::time::{Duration, Instant};

use ridgeworks_records::ReplicaRequest;
use ridgeworks_resident::clock::whole_ms;

/// Interval of the log lines of a slow replica.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Latency above which a reply or timer is late. An ordinary reply waits for one or two
/// transactions, 30 ms at most.
const LATE_AFTER: Duration = Duration::from_millis(100);

/// Counts of one interval.
#[derive(Debug, Default)]
struct Counts {
    reservations: u64,
    settlements: u64,
    records: u64,
    reads: u64,
    others: u64,
    replies: u64,
    slowest: Duration,
    timer_lag: Duration,
}

impl Counts {
    fn is_late(&self) -> bool {
        self.slowest.max(self.timer_lag) > LATE_AFTER
    }
}

/// Monitors the latency of one replica.
#[derive(Debug)]
pub struct LatencyMonitor {
    interval_start: Instant,
    late_since: Option<Instant>,
    counts: Counts,
}

impl Default for LatencyMonitor {
    fn default() -> Self {
        Self {
            interval_start: Instant::now(),
            late_since: None,
            counts: Counts::default(),
        }
    }
}

impl LatencyMonitor {
    /// Counts a request.
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

    /// Counts a reply, with the time for which it waited for the disk.
    pub fn on_reply(&mut self, latency: Duration) {
        self.counts.replies += 1;
        self.counts.slowest = self.counts.slowest.max(latency);
    }

    /// Updates the interval's largest timer lag: the time by which a timer fired late.
    pub fn on_timer(&mut self, lag: Duration) {
        self.counts.timer_lag = self.counts.timer_lag.max(lag);
    }

    /// Logs once per interval that the replica is late, and once that it no longer is. `waiting` is
    /// the number of replies that wait for the disk, `commits` the total number of its
    /// transactions.
    pub fn log_if_late(&mut self, now: Instant, waiting: usize, commits: u64) {
        if now.duration_since(self.interval_start) < LOG_INTERVAL {
            return;
        }
        self.interval_start = now;
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
                answers = counts.replies,
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
