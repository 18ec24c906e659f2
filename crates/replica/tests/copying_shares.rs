//! How much of a copy each voter sends. In a file of its own, since a process has one actor runtime.

#[allow(dead_code, reason = "each test file uses its own part of the support")]
#[path = "support/busy_voters.rs"]
mod busy_voters;

use std::time::Duration;

use busy_voters::{KeptTurns, prepare_new_member};

const KEPT: KeptTurns = KeptTurns {
    count: 3_000,
    more_per_tick: 0,
    output_bytes: 6,
};

/// One busy voter sent all turns, each reply after the one before it was written, so a copy took longer than a lost disk
/// counts as lost.
#[test]
fn the_turns_of_a_large_copy_come_from_several_voters() {
    let prepared = prepare_new_member(KEPT, Duration::from_secs(60));
    let sent = prepared.expect("prepared").sent_turns;
    let most = sent.iter().max().copied().unwrap_or_default();
    let all: usize = sent.iter().sum();
    assert!(most * 2 < all, "{sent:?}");
}
