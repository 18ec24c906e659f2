//! The clock by which records are aged.

use std::time::Duration;

use ridgeworks_resident::clock::Clock;

/// Longer than the test takes.
const MAX_ELAPSED_MS: u64 = 10_000;

/// The machine's wall clock may say anything.
#[test]
fn records_are_not_aged_by_a_wall_clock_that_is_set() {
    for start_unix_ms in [0, 4_000_000_000_000] {
        let clock = Clock::start_at(start_unix_ms);
        std::thread::sleep(Duration::from_millis(5));
        let elapsed_ms = clock.unix_time_ms() - start_unix_ms;
        assert!((5..MAX_ELAPSED_MS).contains(&elapsed_ms), "{elapsed_ms}");
    }
}

#[test]
fn the_last_moment_that_can_be_named_is_not_passed() {
    assert_eq!(Clock::start_at(u64::MAX).unix_time_ms(), u64::MAX);
}
