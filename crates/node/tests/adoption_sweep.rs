//! Tests the rate of adoption requests to owners with virtual time.

use std::time::Duration;

use ridgeworks_domain::{MonotonicTime, RunId};
use ridgeworks_node::replica::adoption_sweep::{
    AdoptionSweep, FIRST_REPEAT, LAST_REPEAT, MAX_ADOPTIONS_PER_STEP,
};

fn at(after: Duration) -> MonotonicTime {
    MonotonicTime::ZERO + after
}

#[test]
fn steps_are_bounded_and_together_cover_all_runs() {
    let runs = || (0..150).map(RunId);
    let mut sweep = AdoptionSweep::default();
    let mut asked = Vec::new();
    for step in 0..3 {
        let due = sweep.step(at(Duration::from_millis(step)), runs());
        assert!(due.len() <= MAX_ADOPTIONS_PER_STEP);
        asked.extend(due);
    }
    assert!(asked.iter().copied().eq(runs()));
}

#[test]
fn repeats_back_off_and_settled_run_is_removed() {
    let run = RunId(1);
    let mut sweep = AdoptionSweep::default();
    let mut asked_at = Vec::new();
    for second in 0..3_600 {
        let now = at(Duration::from_secs(second));
        if !sweep.step(now, [run].into_iter()).is_empty() {
            asked_at.push(second);
        }
    }
    let first = FIRST_REPEAT.as_secs();
    assert_eq!(asked_at[..4], [0, first, first * 3, first * 7]);
    let last = asked_at[asked_at.len() - 2..].to_vec();
    assert_eq!(last[1] - last[0], LAST_REPEAT.as_secs());
    let now = at(Duration::from_secs(3_600));
    assert!(sweep.step(now, std::iter::empty()).is_empty());
    assert_eq!(sweep.step(now, [run].into_iter()), [run]);
}
