//! Room for new turns, where turns fill the memory that they may take.
//!
//! Turns are kept for longer than their route asks ([`RETENTION_MARGIN_MS`]), and a chain's earlier turns for longer still. What no
//! later turn may name any more gives way.

use std::collections::HashSet;

use super::{Change, ReplicaState};
use crate::identifiers::TurnId;

/// Added by gateways to the retention of turns and ledgers, since clocks differ and turns take time.
pub const RETENTION_MARGIN_MS: u64 = 30_000;
/// The part of it that also remains where memory is short: for turns that began in time and run.
const LEAST_MARGIN_MS: u64 = 10_000;
/// How long a full replica waits before it looks for such turns again, since it looks at all turns.
const SEARCH_INTERVAL_MS: u64 = 1_000;

impl ReplicaState {
    /// Removes what no later turn may name any more, if there is no room for `bytes` of turns.
    pub(super) fn make_room(&mut self, bytes: usize, now_ms: u64) -> Vec<Change> {
        let is_full = self.turn_bytes + bytes > self.max_total_turn_bytes;
        // A later turn that needs an earlier one may still be on the disk only.
        if !is_full || self.is_restoring || now_ms < self.next_search_ms {
            return Vec::new();
        }
        self.next_search_ms = now_ms + SEARCH_INTERVAL_MS;
        let needed = self.needed_turns(now_ms);
        let all = self.turns.keys();
        let unneeded = all.filter(|turn| !needed.contains(turn)).cloned();
        let unneeded: HashSet<TurnId> = unneeded.collect();
        self.remove_turns(|turn, _| unneeded.contains(turn))
    }

    /// The turns that may still be named, and all before them.
    fn needed_turns(&self, now_ms: u64) -> HashSet<&TurnId> {
        let until_ms = now_ms + RETENTION_MARGIN_MS - LEAST_MARGIN_MS;
        let mut needed = HashSet::new();
        for (turn, retained) in &self.turns {
            if retained.value.own_expires_at_ms <= until_ms {
                continue;
            }
            let mut next = Some(turn);
            while let Some(turn) = next.filter(|turn| needed.insert(*turn)) {
                let retained = self.turns.get(turn);
                next = retained.and_then(|retained| retained.value.record.previous.as_ref());
            }
        }
        needed
    }
}
