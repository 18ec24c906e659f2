//! How long turns are kept: a turn's prompt holds all turns before it, so none of these expires before it does.
//!
//! The disk has the expiry of each turn as it was written. What a later turn adds to it is worked out again wherever turns come
//! together: when one is written, copied or restored, in any order.

use super::ReplicaState;
use crate::identifiers::TurnId;

/// Added to a renewed expiry, so that a chain is walked once in this time and not with each of its turns.
const RENEWAL_MARGIN_MS: u64 = 30_000;

/// Longest time that a record is kept, 100 years. All sums with a time of expiry have room above it.
const MAX_TTL_MS: u64 = 100 * 365 * 24 * 60 * 60 * 1_000;

/// Time of expiry, in milliseconds since 1970, of a record that is to be kept for `ttl_ms`. A configuration or another node may
/// ask for any time.
pub(super) fn expiry_ms(now_ms: u64, ttl_ms: u64) -> u64 {
    now_ms.saturating_add(ttl_ms.min(MAX_TTL_MS))
}

impl ReplicaState {
    /// The expiry of a turn that is being added, also by what was known of it, or by later turns that came before it.
    pub(super) fn renewed_expiry(&mut self, turn: &TurnId, expires_at_ms: u64) -> u64 {
        let awaited = self.awaited.remove(turn).unwrap_or_default();
        let known = self.turns.get(turn);
        let known = known.map_or(0, |retained| retained.expires_at_ms);
        expires_at_ms.max(awaited).max(known)
    }

    /// Keeps all turns from `previous` back for as long as the turn that names it.
    pub(super) fn renew_chain(&mut self, previous: Option<&TurnId>, expires_at_ms: u64) {
        let mut next = previous.cloned();
        let mut until_ms = expires_at_ms;
        while let Some(turn) = next {
            let Some(retained) = self.turns.get_mut(&turn) else {
                let awaited = self.awaited.entry(turn).or_default();
                *awaited = until_ms.max(*awaited);
                return;
            };
            // Those before it were renewed with it.
            if retained.expires_at_ms >= until_ms {
                return;
            }
            until_ms = expires_at_ms + RENEWAL_MARGIN_MS;
            retained.expires_at_ms = until_ms;
            next = retained.value.record.previous.clone();
        }
    }
}
