//! Simulation of an engine that is warming up, with many gateways: no second may exceed its bound, and the
//! engine's limit is mostly used.

mod support;

use std::time::Duration;

use ridgeworks_quota::{GRANT_LIFETIME, Grant, GrantLimiter, GrantPool, LimiterDecision};
use ridgeworks_routing::{EngineKey, WarmUpLimit};
use support::warm_up_algorithms::{BelievedShares, DesignatedGateways, Grants};
use support::warm_up_schedule::{
    MakeWarmUpAlgorithm, WARM_UP_BOUNDS, WarmUpResults, run_warm_up_schedule,
};

/// Schedules in a plain test run; the environment variable raises the number (`make simulate`).
const SCHEDULES: u64 = 150;
const SCHEDULES_VARIABLE: &str = "RIDGEWORKS_SIMULATION_SCHEDULES";
/// Requests for which the engine would be chosen, as multiples of its limit: with a full service, and with
/// all gateways choosing it.
const LOADS: [f64; 2] = [3.0, 20.0];

fn schedules() -> u64 {
    let text = std::env::var(SCHEDULES_VARIABLE).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(SCHEDULES)
}

/// Totals over many schedules.
#[derive(Debug, Default)]
#[allow(dead_code, reason = "fields that no test checks are only printed")]
struct Totals {
    /// Requests in the fullest window of any result as a fraction of its bound.
    fullest: f64,
    /// Number of results whose fullest window exceeds its bound.
    broken: usize,
    /// Mean over the schedules.
    used: f64,
    wait_ms: f64,
    /// Messages for each request that was sent.
    messages: f64,
}

fn run_schedules(make: MakeWarmUpAlgorithm, schedules: u64, load: f64, faults: bool) -> Totals {
    let results: Vec<WarmUpResults> = (0..schedules)
        .map(|seed| run_warm_up_schedule(make, seed, load, faults))
        .collect();
    let sent = results
        .iter()
        .map(|results| results.sent)
        .sum::<usize>()
        .max(1) as f64;
    Totals {
        fullest: results
            .iter()
            .map(|results| results.fullest)
            .fold(0.0, f64::max),
        broken: results
            .iter()
            .filter(|results| results.fullest > 1.0)
            .count(),
        used: results.iter().map(|results| results.used).sum::<f64>() / schedules as f64,
        wait_ms: results.iter().map(|results| results.waited_ms).sum::<f64>() / sent,
        messages: results
            .iter()
            .map(|results| results.messages)
            .sum::<usize>() as f64
            / sent,
    }
}

#[test]
fn no_second_exceeds_its_bound_under_partitions_freezes_and_crashes() {
    for load in LOADS {
        let totals = run_schedules(Grants::make, schedules(), load, true);
        println!("grants, {} schedules, load {load}: {totals:?}", schedules());
        assert_eq!(totals.broken, 0, "{totals:?}");
    }
}

#[test]
fn most_of_the_engine_s_limit_is_used_under_load() {
    for load in LOADS {
        let totals = run_schedules(Grants::make, 40, load, false);
        println!("grants, undisturbed, load {load}: {totals:?}");
        assert!(totals.used > 0.6, "{totals:?}");
        assert!(totals.wait_ms < 20.0, "{totals:?}");
    }
}

#[test]
fn each_safeguard_is_needed() {
    for (name, make) in [
        (
            "lifetime of a grant",
            Grants::without_lifetime as MakeWarmUpAlgorithm,
        ),
        ("delay after a limiter's start", Grants::without_start_delay),
        ("split of the limit among limiters", Grants::without_split),
    ] {
        let totals = run_schedules(make, 100, LOADS[1], true);
        println!("without: {name}: {totals:?}");
        assert!(totals.broken > 0, "{name}: {totals:?}");
    }
}

#[test]
fn alternative_algorithms_break_the_bound_or_use_little_of_the_limit() {
    for (name, make) in [
        (
            "shares by believed gateways",
            BelievedShares::make as MakeWarmUpAlgorithm,
        ),
        ("designated gateways", DesignatedGateways::make),
    ] {
        for load in LOADS {
            let without_faults = run_schedules(make, 40, load, false);
            println!("{name}, undisturbed, load {load}: {without_faults:?}");
            let totals = run_schedules(make, 100, load, true);
            println!("{name}, load {load}: {totals:?}");
            assert!(
                totals.broken > 0 || without_faults.used < 0.6,
                "{name}: {totals:?}"
            );
        }
    }
}

const LIMIT: WarmUpLimit = WarmUpLimit {
    per_ks: 19_000,
    duration_ms: 3_000,
};

#[test]
fn a_restarted_limiter_grants_nothing_until_its_earlier_grants_have_expired() {
    let start = Duration::from_secs(7);
    let mut limiter = GrantLimiter::new(WARM_UP_BOUNDS, 5, start);
    let refused = limiter.grant("a", LIMIT, 1, start + Duration::from_millis(1_100));
    let LimiterDecision::Exhausted { next, .. } = refused else {
        panic!("granted before earlier grants have expired");
    };
    let available_at = start + Duration::from_millis(1_100) + next;
    assert!(available_at >= start + Duration::from_secs(1) + GRANT_LIFETIME);
    assert_eq!(
        limiter.grant("a", LIMIT, 1, available_at),
        LimiterDecision::Granted
    );
    // The limiter refills at a fifth of the rate; another engine is not affected.
    assert_ne!(
        limiter.grant("a", LIMIT, 1, available_at),
        LimiterDecision::Granted
    );
    assert_eq!(
        limiter.grant("b", LIMIT, 1, available_at),
        LimiterDecision::Granted
    );
}

#[test]
fn an_engine_whose_limit_is_below_one_request_per_limiter_gets_none() {
    let bounds = ridgeworks_quota::WarmUpBounds {
        factor: 1.0,
        slack: 0.0,
    };
    let mut limiter = GrantLimiter::new(bounds, 5, Duration::ZERO);
    let limit = WarmUpLimit {
        per_ks: 2_000,
        duration_ms: 3_000,
    };
    for second in 5..20 {
        let decision = limiter.grant("a", limit, 1, Duration::from_secs(second));
        assert_ne!(decision, LimiterDecision::Granted);
    }
}

#[test]
fn a_grant_is_used_once_and_not_after_it_has_expired() {
    let engine = EngineKey(1);
    let mut pool = GrantPool::default();
    let asked = Duration::from_secs(1);
    pool.put(engine, Grant::requested_at(asked));
    let late = asked + GRANT_LIFETIME;
    assert!(pool.has(engine, asked));
    assert!(!pool.has(engine, late));
    assert_eq!(pool.take(engine, late), None);
    pool.put(engine, Grant::requested_at(asked));
    assert!(pool.take(engine, asked).is_some());
    assert_eq!(pool.take(engine, asked), None);
}

/// Most requests that several limiters grant within a second and the lifetime of a grant, if each is asked
/// every millisecond. Each has the share of one of `split` limiters.
fn most_granted(limiters: usize, split: usize) -> usize {
    let fresh = || GrantLimiter::new(WARM_UP_BOUNDS, split, Duration::ZERO);
    let mut limiters: Vec<GrantLimiter> = (0..limiters).map(|_| fresh()).collect();
    let mut grants = Vec::new();
    for ms in 3_000..6_000 {
        let now = Duration::from_millis(ms);
        for limiter in &mut limiters {
            let decision = limiter.grant("a", LIMIT, 1, now);
            grants.extend((decision == LimiterDecision::Granted).then_some(now));
        }
    }
    let span = Duration::from_secs(1) + GRANT_LIFETIME;
    let spans = grants.iter().map(|first| {
        let inside = grants
            .iter()
            .filter(|at| *first <= **at && **at < *first + span);
        inside.count()
    });
    spans.max().unwrap_or_default()
}

#[test]
fn a_replaced_limiter_that_still_grants_does_not_break_the_bound() {
    let most = WARM_UP_BOUNDS.most(LIMIT) as usize;
    for limiters in [3, 5] {
        assert!(most_granted(limiters, limiters) <= most);
        let with_replaced = most_granted(limiters + 1, limiters);
        assert!(
            with_replaced <= most,
            "{limiters}: {with_replaced} of {most}"
        );
    }
    // Shares of two limiters leave room for a third one, not for a fourth.
    assert!(most_granted(4, 2) > most);
}
