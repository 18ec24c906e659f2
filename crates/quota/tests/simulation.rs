//! Simulation of tenants' limits over many gateways: no window may exceed its bound, and few requests are
//! refused below the limit.

mod support;

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ridgeworks_quota::{
    Limiter, LimiterCandidate, LimiterDecision, LimiterKey, LimiterSelection, LimiterSelector,
    ProgramProgress,
};
use ridgeworks_routing::RateLimit;
use support::algorithms::{GossipedCounts, Shares, SingleLimiter, share};
use support::{BOUNDS, Conditions, MakeAlgorithm, run_schedule};

/// Schedules in a plain test run; the environment variable raises the number (`make simulate`).
const SCHEDULES: u64 = 1_500;
const SCHEDULES_VARIABLE: &str = "RIDGEWORKS_SIMULATION_SCHEDULES";

fn schedules() -> u64 {
    let text = std::env::var(SCHEDULES_VARIABLE).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(SCHEDULES)
}

/// Totals over many schedules.
#[derive(Debug, Default)]
struct Totals {
    asked: usize,
    refused: usize,
    unknown: usize,
    /// Requests in the fullest window of any result as a fraction of its bound.
    fullest: f64,
    /// Number of results whose fullest window exceeds its bound.
    broken: usize,
}

fn run_schedules(make: MakeAlgorithm, schedules: u64, conditions: Conditions) -> Totals {
    let mut totals = Totals::default();
    for seed in 0..schedules {
        for results in run_schedule(make, seed, conditions) {
            totals.asked += results.asked;
            totals.refused += results.refused;
            totals.unknown += results.unknown;
            totals.fullest = totals.fullest.max(results.fullest);
            totals.broken += usize::from(results.fullest > 1.0);
        }
    }
    totals
}

const OVERLOAD: Conditions = Conditions {
    faults: true,
    load: 4.0,
    unused_fraction: 0.05,
};
/// Many times the limit, so that buckets are always nearly empty.
const FAR_OVERLOAD: Conditions = Conditions {
    load: 20.0,
    ..OVERLOAD
};
/// Load of a tenant whose limit is 1.6 times its usage.
const BELOW_LIMIT: Conditions = Conditions {
    faults: false,
    load: 0.625,
    unused_fraction: 0.01,
};

#[test]
fn no_window_exceeds_its_bound_under_partitions_and_restarts() {
    for (schedules, conditions) in [(schedules(), OVERLOAD), (schedules() / 5, FAR_OVERLOAD)] {
        let totals = run_schedules(Shares::make, schedules, conditions);
        println!("shares, {schedules} schedules, {conditions:?}: {totals:?}");
        assert_eq!(totals.broken, 0, "{totals:?}");
    }
}

#[test]
fn few_requests_are_refused_below_the_limit() {
    let totals = run_schedules(Shares::make, 300, BELOW_LIMIT);
    println!("shares, below the limit: {totals:?}");
    assert!(totals.refused * 1_000 < totals.asked, "{totals:?}");
    assert_eq!(totals.unknown, 0);
}

#[test]
fn most_of_the_limit_is_granted_under_overload() {
    let conditions = Conditions {
        faults: false,
        ..OVERLOAD
    };
    let totals = run_schedules(Shares::make, 100, conditions);
    let granted = (totals.asked - totals.refused) as f64;
    let limit = totals.asked as f64 / conditions.load;
    println!("shares, granted of the limit: {:.3}", granted / limit);
    assert!(granted > limit * 0.98, "{totals:?}");
}

#[test]
fn alternative_algorithms_break_the_bound() {
    for (name, make, schedules) in [
        (
            "one limiter for each tenant",
            SingleLimiter::make as MakeAlgorithm,
            100,
        ),
        ("gossiped counts", GossipedCounts::make, 10),
        (
            "limiters that start full",
            Shares::make_full_after_restart,
            200,
        ),
    ] {
        let totals = run_schedules(make, schedules, FAR_OVERLOAD);
        println!("{name}: {totals:?}");
        assert!(totals.broken > 0, "{name}: {totals:?}");
    }
}

fn limit(per_s: u64) -> RateLimit {
    RateLimit {
        per_ks: per_s * 1_000,
        burst: per_s,
    }
}

fn granted(limiter: &mut Limiter, limit: RateLimit, version: u64, now: Duration) -> usize {
    let decisions =
        (0..10_000).map(|_| limiter.admit("a", ProgramProgress::UnderWay, limit, version, now));
    decisions
        .take_while(|decision| *decision == LimiterDecision::Granted)
        .count()
}

#[test]
fn a_lower_limit_applies_at_once_and_an_earlier_version_is_ignored() {
    let mut limiter = Limiter::new(BOUNDS, 1, Duration::ZERO);
    let later = Duration::from_secs(60);
    let full = share(limit(5), &BOUNDS, 1).capacity as usize;
    assert_eq!(granted(&mut limiter, limit(5), 2, later), full);
    // A gateway with the earlier configuration still asks with the earlier limit.
    assert_eq!(granted(&mut limiter, limit(500), 1, later), 0);
    assert_eq!(
        granted(&mut limiter, limit(500), 3, later),
        0,
        "a raised limit does not fill the bucket"
    );
    let filled = later + Duration::from_secs(1);
    assert!(granted(&mut limiter, limit(500), 3, filled) >= 499);
}

#[test]
fn a_lower_limit_is_kept_while_the_tenant_is_idle() {
    let mut limiter = Limiter::new(BOUNDS, 1, Duration::ZERO);
    granted(&mut limiter, limit(5), 2, Duration::from_secs(10));
    let later = Duration::from_secs(60);
    limiter.clean_up(later);
    assert!(limiter.is_empty(), "the bucket is full again");
    // A gateway that does not know the lower limit.
    let full = share(limit(5), &BOUNDS, 1).capacity as usize;
    assert_eq!(granted(&mut limiter, limit(500), 1, later), full);
}

#[test]
fn discarded_limits_are_not_replaced_by_earlier_versions() {
    let mut limiter = Limiter::new(BOUNDS, 1, Duration::ZERO);
    let once = |limiter: &mut Limiter, tenant: u64, version: u64, now: Duration| {
        let tenant = format!("tenant-{tenant}");
        limiter.admit(&tenant, ProgramProgress::UnderWay, limit(5), version, now)
    };
    let now = Duration::from_secs(10);
    for tenant in 0..20_000 {
        assert_eq!(
            once(&mut limiter, tenant, 1 + tenant, now),
            LimiterDecision::Granted
        );
    }
    let later = Duration::from_secs(60);
    limiter.clean_up(later);
    assert!(limiter.is_empty());
    assert!(limiter.retained() <= 5_000, "{}", limiter.retained());
    // The first tenant's limit was discarded and may have been lowered.
    assert_ne!(once(&mut limiter, 0, 1, later), LimiterDecision::Granted);
    assert_eq!(
        once(&mut limiter, 0, 20_000, later),
        LimiterDecision::Granted
    );
    // The limits of the newest versions are known.
    assert_eq!(
        once(&mut limiter, 19_999, 1, later),
        LimiterDecision::Granted
    );
}

#[test]
fn refused_requests_get_increasing_retry_delays() {
    let mut limiter = Limiter::new(BOUNDS, 1, Duration::ZERO);
    let now = Duration::from_secs(60);
    granted(&mut limiter, limit(10), 1, now);
    let mut earlier = Duration::ZERO;
    for _ in 0..20 {
        let LimiterDecision::Exhausted { next, retry } =
            limiter.admit("a", ProgramProgress::UnderWay, limit(10), 1, now)
        else {
            panic!("a request was granted from an empty bucket");
        };
        assert!(next <= Duration::from_millis(100));
        assert!(retry > earlier && retry <= BOUNDS.window, "{retry:?}");
        earlier = retry;
    }
}

/// A limiter; the second one is unresponsive.
fn candidate(key: u64) -> LimiterCandidate {
    LimiterCandidate {
        key: LimiterKey(key),
        is_unresponsive: key == 1,
    }
}

#[test]
fn exhausted_limiters_are_not_asked_and_unresponsive_ones_are_asked_last() {
    let keys: Vec<LimiterCandidate> = (0..3).map(candidate).collect();
    let mut selector = LimiterSelector::default();
    let mut random = rand::rng();
    let now = Duration::from_secs(1);
    for _ in 0..20 {
        let LimiterSelection::Ask(order) =
            selector.next("a", ProgramProgress::UnderWay, &keys, now, &mut random)
        else {
            panic!("no limiter was selected although all are available");
        };
        assert_eq!(order.last(), Some(&keys[1].key));
    }
    for key in &keys {
        let exhausted = Duration::from_millis(100 * (key.key.0 + 1));
        selector.on_exhausted(
            "a",
            ProgramProgress::UnderWay,
            key.key,
            exhausted,
            exhausted,
            now,
        );
    }
    let exhausted = selector.next("a", ProgramProgress::UnderWay, &keys, now, &mut random);
    assert_eq!(
        exhausted,
        LimiterSelection::Exhausted(Duration::from_millis(100))
    );
    let later = now + Duration::from_millis(150);
    assert_eq!(
        selector.next("a", ProgramProgress::UnderWay, &keys, later, &mut random),
        LimiterSelection::Ask(vec![keys[0].key])
    );
    // Another tenant is not affected.
    assert!(matches!(
        selector.next("b", ProgramProgress::UnderWay, &keys, now, &mut random),
        LimiterSelection::Ask(_)
    ));
}

#[test]
fn a_returned_grant_serves_the_next_request_until_it_expires() {
    let keys = [candidate(0)];
    let mut selector = LimiterSelector::default();
    let mut random = rand::rng();
    let now = Duration::from_secs(1);
    selector.return_grant("a", now);
    selector.return_grant("a", now);
    assert_eq!(
        selector.next("a", ProgramProgress::UnderWay, &keys, now, &mut random),
        LimiterSelection::Granted
    );
    let later = now + Duration::from_secs(1);
    assert!(matches!(
        selector.next("a", ProgramProgress::UnderWay, &keys, later, &mut random),
        LimiterSelection::Ask(_)
    ));
}

/// Programs that start at a steady rate, each with requests in sequence.
struct Programs {
    /// Requests of each program.
    requests: usize,
    /// Load of all programs as a fraction of the limit.
    load: f64,
    /// Whether the limiter gets the progress of each program.
    knows_progress: bool,
}

/// Completed programs as a fraction of those that the limit allows.
fn completed_fraction(programs: &Programs) -> f64 {
    const LENGTH_S: f64 = 60.0;
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let limit = limit(20);
    let mut limiter = Limiter::new(BOUNDS, 1, Duration::ZERO);
    let per_s = 20.0 * programs.load / programs.requests as f64;
    let started = (LENGTH_S * per_s) as usize;
    let mut due: Vec<(Duration, usize, usize)> = (0..started)
        .map(|number| (6.0 + random.random_range(0.0..LENGTH_S), number))
        .map(|(at, number)| (Duration::from_secs_f64(at), number, 0))
        .collect();
    let mut completed = 0;
    while let Some(first) = due.iter().min().copied() {
        due.retain(|next| *next != first);
        let (now, number, request) = first;
        let progress = if request == 0 && programs.knows_progress {
            ProgramProgress::Beginning
        } else {
            ProgramProgress::UnderWay
        };
        match limiter.admit("a", progress, limit, 1, now) {
            LimiterDecision::Granted if request + 1 == programs.requests => completed += 1,
            LimiterDecision::Granted => {
                let step = Duration::from_millis(random.random_range(50..600));
                due.push((now + step, number, request + 1));
            }
            // The client aborts the program.
            LimiterDecision::Exhausted { .. } => {}
        }
    }
    completed as f64 / (started as f64 / programs.load)
}

#[test]
fn most_admitted_programs_complete_under_overload() {
    let programs = |knows_progress| Programs {
        requests: 15,
        load: 2.0,
        knows_progress,
    };
    let (with_progress, without_progress) = (
        completed_fraction(&programs(true)),
        completed_fraction(&programs(false)),
    );
    println!(
        "completed of what the limit allows: {with_progress:.3} with progress, {without_progress:.3} without"
    );
    assert!(with_progress > 0.85, "{with_progress}");
    assert!(
        with_progress > without_progress + 0.3,
        "{with_progress} {without_progress}"
    );
}

#[test]
fn a_full_bucket_grants_any_request_however_small_it_is() {
    let small = RateLimit {
        per_ks: 300,
        burst: 1,
    };
    let bounds = ridgeworks_quota::QuotaBounds {
        overshoot: 0.0,
        slack: 0.0,
        ..BOUNDS
    };
    let mut limiter = Limiter::new(bounds, 1, Duration::ZERO);
    let decision = limiter.admit(
        "a",
        ProgramProgress::Beginning,
        small,
        1,
        Duration::from_secs(60),
    );
    assert_eq!(decision, LimiterDecision::Granted);
}
