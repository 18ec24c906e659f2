//! The rate limiter never permits more moves than burst and rate allow.

use std::time::Duration;

use quickcheck::quickcheck;
use ridgeworks_domain::MonotonicTime;
use ridgeworks_membership::OwnershipRateLimiter;

quickcheck! {
    fn never_permits_more_than_burst_and_rate(rate: u16, burst: u8, steps: Vec<(u16, u8)>) -> bool {
        let start = MonotonicTime::from_micros(17);
        let mut bucket = OwnershipRateLimiter::new(u32::from(rate), u32::from(burst), start);
        let mut now = start;
        let mut moved = 0;
        steps.into_iter().all(|(wait_ms, wanted)| {
            now = now + Duration::from_millis(u64::from(wait_ms));
            let granted = bucket.take(u32::from(wanted), now);
            moved += u64::from(granted);
            let elapsed_ms = u64::try_from(now.since(start).as_millis()).unwrap();
            granted <= u32::from(wanted)
                && moved <= u64::from(burst) + elapsed_ms * u64::from(rate) / 1000
        })
    }

    fn next_move_is_neither_early_nor_late(rate: u16, burst: u8) -> bool {
        let (rate, burst) = (u32::from(rate) + 1, u32::from(burst) + 1);
        let start = MonotonicTime::ZERO;
        let mut bucket = OwnershipRateLimiter::new(rate, burst, start);
        let first = bucket.take(u32::MAX, start);
        let next = bucket.next_move_at().unwrap();
        let early = MonotonicTime::from_micros(next.micros.saturating_sub(1));
        first == burst && bucket.clone().take(1, early) == 0 && bucket.take(1, next) == 1
    }
}

#[test]
fn an_empty_bucket_that_is_never_refilled_has_no_next_move() {
    let mut bucket = OwnershipRateLimiter::new(0, 1, MonotonicTime::ZERO);
    assert_eq!(bucket.take(5, MonotonicTime::ZERO), 1);
    assert_eq!(bucket.next_move_at(), None);
}
