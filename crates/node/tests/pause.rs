//! Grants that came while the process did not run are not used.

use std::time::{Duration, Instant};

use ridgeworks_node::owner::pause::{GRANT_VALIDITY, PauseDetector, SETTLING_TIME};

#[test]
fn a_process_that_runs_trusts_its_messages() {
    let mut now = Instant::now();
    let mut detector = PauseDetector::new(now);
    for _ in 0..1_000 {
        now += Duration::from_millis(20);
        assert!(!detector.may_be_stale(now));
        detector.tick(now);
    }
}

#[test]
fn messages_right_after_a_pause_may_be_stale_whichever_is_handled_first() {
    let start = Instant::now();
    let mut detector = PauseDetector::new(start);
    let woken = start + GRANT_VALIDITY;
    assert!(detector.may_be_stale(woken), "before the tick");
    detector.tick(woken);
    assert!(detector.may_be_stale(woken), "after the tick");
    let settled = woken + SETTLING_TIME;
    detector.tick(settled);
    assert!(!detector.may_be_stale(settled));
}
