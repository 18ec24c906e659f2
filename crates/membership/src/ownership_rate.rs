//! Rate limit for moving runs between owners when members join or leave.
//!
//! Moving a run costs a prepare on its replicas. A token bucket admits a small burst at once, such as
//! the runs in use of one lost node, and the rest at a steady rate.

use std::time::Duration;

use ridgeworks_domain::MonotonicTime;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// A token bucket. One token permits the move of one run.
#[derive(Debug, Clone)]
pub struct OwnershipRateLimiter {
    moves_per_second: u32,
    burst: u32,
    /// Available tokens in millionths.
    micro_tokens: u64,
    refilled_at: MonotonicTime,
}

impl OwnershipRateLimiter {
    /// Creates a full bucket of `burst` moves, refilled at `moves_per_second`.
    pub fn new(moves_per_second: u32, burst: u32, now: MonotonicTime) -> Self {
        Self {
            moves_per_second,
            burst,
            micro_tokens: u64::from(burst) * MICROS_PER_SECOND,
            refilled_at: now,
        }
    }

    /// Takes up to `wanted` tokens and returns how many runs may be moved now.
    pub fn take(&mut self, wanted: u32, now: MonotonicTime) -> u32 {
        self.refill(now);
        let available = self.micro_tokens / MICROS_PER_SECOND;
        let granted = u64::from(wanted).min(available);
        self.micro_tokens -= granted * MICROS_PER_SECOND;
        u32::try_from(granted).unwrap_or(wanted)
    }

    /// When the next run may be moved; `None` if the bucket is empty and never refilled.
    pub fn next_move_at(&self) -> Option<MonotonicTime> {
        let missing = MICROS_PER_SECOND.saturating_sub(self.micro_tokens);
        if missing == 0 {
            return Some(self.refilled_at);
        }
        let rate = u64::from(self.moves_per_second);
        let wait_micros = (rate > 0).then(|| missing.div_ceil(rate))?;
        Some(self.refilled_at + Duration::from_micros(wait_micros))
    }

    fn refill(&mut self, now: MonotonicTime) {
        let elapsed_micros = now.micros.saturating_sub(self.refilled_at.micros);
        let gained = elapsed_micros.saturating_mul(u64::from(self.moves_per_second));
        let full = u64::from(self.burst) * MICROS_PER_SECOND;
        self.micro_tokens = self.micro_tokens.saturating_add(gained).min(full);
        self.refilled_at = self.refilled_at.max(now);
    }
}
