//! A bound on how fast runs are moved when members come and go.
//!
//! Moving a run costs a prepare on its replicas. A token bucket lets a small burst through at once
//! (one lost node's runs that are in use) and the rest at a steady rate.

use std::time::Duration;

use ridgeworks_domain::MonotonicTime;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// A token bucket over virtual or real time. One token moves one run.
#[derive(Debug, Clone)]
pub struct OwnershipRate {
    moves_per_second: u32,
    burst: u32,
    /// Tokens in units of a millionth.
    micro_tokens: u64,
    refilled_at: MonotonicTime,
}

impl OwnershipRate {
    /// A full bucket of `burst` moves, refilled at `moves_per_second`.
    pub fn new(moves_per_second: u32, burst: u32, now: MonotonicTime) -> Self {
        Self {
            moves_per_second,
            burst,
            micro_tokens: u64::from(burst) * MICROS_PER_SECOND,
            refilled_at: now,
        }
    }

    /// Takes up to `wanted` moves and returns how many may be made now.
    pub fn take(&mut self, wanted: u32, now: MonotonicTime) -> u32 {
        self.refill(now);
        let available = self.micro_tokens / MICROS_PER_SECOND;
        let granted = u64::from(wanted).min(available);
        self.micro_tokens -= granted * MICROS_PER_SECOND;
        u32::try_from(granted).unwrap_or(wanted)
    }

    /// When the next move may be made, `None` when the rate is zero and the bucket empty.
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
