//! The memory that a copy of large turns takes. In a file of its own, since a process has one actor runtime.

#[allow(dead_code, reason = "each test file uses its own part of the support")]
#[path = "support/busy_voters.rs"]
mod busy_voters;

use std::time::Duration;

use busy_voters::{KeptTurns, prepare_new_member};

const KEPT: KeptTurns = KeptTurns {
    count: 1_000,
    more_per_tick: 0,
    output_bytes: 48 * 1024,
};
/// The turns themselves, and as much again for those on their way.
const MAX_MEMORY_GROWTH: u64 = 2 * 1_000 * 48 * 1024;

/// A page of a copy was held whole and written at once, so large turns took three times their size, more than a replica's limit of
/// memory has room for.
#[test]
fn a_copy_of_large_turns_holds_few_of_them_at_once() {
    let prepared = prepare_new_member(KEPT, Duration::from_secs(60)).expect("prepared");
    let growth = prepared.memory_growth;
    assert!(growth < MAX_MEMORY_GROWTH, "{growth} bytes");
}
