//! Health of an engine after outcomes of requests.

use std::time::Duration;

use quickcheck::quickcheck;
use ridgeworks_routing::{EngineHealth, Outcome, OutcomeCounts};

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn failures_decay_so_that_a_recovered_engine_is_used_again() {
    let mut health = EngineHealth::default();
    for _ in 0..20 {
        health.on_outcome(Outcome::Failed, seconds(1));
    }
    let fraction = |now| health.outcomes(now).failed_fraction(3.0, 0.0);
    assert!(fraction(seconds(1)) > 0.8);
    assert!(fraction(seconds(20)) < 0.1);
}

#[test]
fn one_failure_keeps_the_failed_share_low() {
    let mut health = EngineHealth::default();
    health.on_outcome(Outcome::Failed, seconds(1));
    let fraction = health.outcomes(seconds(1)).failed_fraction(3.0, 0.0);
    assert!(fraction <= 0.25, "{fraction}");
}

quickcheck! {
    /// Clocks may jump, and prior fractions come from reports of other nodes.
    fn failed_fraction_stays_between_zero_and_one(outcomes: Vec<(u8, u32)>, prior: u8, fraction: u8, read_at: u32) -> bool {
        let mut health = EngineHealth::default();
        for (kind, at_ms) in outcomes {
            let kinds = [Outcome::Served, Outcome::Failed, Outcome::Unreachable];
            let outcome = kinds[usize::from(kind) % kinds.len()];
            health.on_outcome(outcome, Duration::from_millis(u64::from(at_ms)));
        }
        let counts = health.outcomes(Duration::from_millis(u64::from(read_at)));
        let both = counts.plus(OutcomeCounts::default());
        let prior = 1.0 + f64::from(prior);
        let failed = both.failed_fraction(prior, f64::from(fraction) / 255.0);
        (0.0..=1.0).contains(&failed)
    }
}
