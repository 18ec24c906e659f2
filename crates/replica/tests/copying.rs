//! The time until a new member of a set with busy voters counts as prepared. In a file of its own, since a process has one
//! actor runtime.

#[allow(dead_code, reason = "each test file uses its own part of the support")]
#[path = "support/busy_voters.rs"]
mod busy_voters;

use std::time::Duration;

use busy_voters::{KeptTurns, prepare_new_member};

/// Shorter than the 4 s in which a machine with a new disk has to catch up at the least.
const PREPARATION_LIMIT: Duration = Duration::from_secs(3);
const KEPT: KeptTurns = KeptTurns {
    count: 300,
    more_per_tick: 5,
    output_bytes: 6,
};

/// Three voters that take over 0.1 s for each reply made every round of a copy too long for the replica to count as prepared,
/// however little had changed, so each change of the set waited for its timeout.
#[test]
fn a_new_member_of_busy_voters_is_prepared_once_little_has_changed() {
    let prepared = prepare_new_member(KEPT, Duration::from_secs(12));
    let prepared = prepared.expect("prepared before the set changes without it");
    assert!(prepared.took < PREPARATION_LIMIT, "{:?}", prepared.took);
}
