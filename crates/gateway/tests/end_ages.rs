//! How long ends of engines count, by one gateway's steady clock.

use std::collections::BTreeSet;
use std::time::Duration;

use ridgeworks_gateway::EndAges;
use ridgeworks_records::{EngineRun, RequestDigest};

const LIFETIME: Duration = Duration::from_secs(120);
const DIGEST: RequestDigest = RequestDigest(1);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn expired(ages: &mut EndAges, runs: &[u64], at_s: u64) -> BTreeSet<u64> {
    let runs = runs.iter().map(|run| EngineRun(*run));
    let expired = ages.expired(DIGEST, runs, seconds(at_s));
    expired.into_iter().map(|run| run.0).collect()
}

#[test]
fn an_end_counts_from_when_it_was_first_read() {
    let mut ages = EndAges::new(LIFETIME);
    assert_eq!(expired(&mut ages, &[1], 10), [].into());
    assert_eq!(expired(&mut ages, &[1, 2], 60), [].into());
    assert_eq!(expired(&mut ages, &[1, 2], 129), [].into());
    assert_eq!(expired(&mut ages, &[1, 2], 130), [1].into());
    assert_eq!(expired(&mut ages, &[1, 2], 180), [1, 2].into());
}

#[test]
fn ends_under_different_requests_have_ages_of_their_own() {
    let mut ages = EndAges::new(LIFETIME);
    assert_eq!(expired(&mut ages, &[1], 0), [].into());
    let other = ages.expired(RequestDigest(2), [EngineRun(1)], seconds(120));
    assert!(other.is_empty());
}

/// One that was forgotten counts again, rather than not at all.
#[test]
fn any_number_of_ends_takes_bounded_memory() {
    let mut ages = EndAges::new(LIFETIME);
    for run in 0..20_000 {
        assert_eq!(expired(&mut ages, &[run], 0), [].into());
    }
    assert!(ages.len() <= 16_384);
    assert_eq!(expired(&mut ages, &[0, 19_999], 120), [19_999].into());
}
