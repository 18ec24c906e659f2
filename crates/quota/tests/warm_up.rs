//! Engines that warm up, over many gateways: the bound over every second, what is used of what an engine bears, and what that costs.

mod support;

use std::time::Duration;

use ridgeworks_quota::{GRANT_LIFETIME, Grant, GrantLimiter, GrantPool, LimiterDecision};
use ridgeworks_routing::{EngineKey, WarmUpLimit};
use support::warm_ups::{MakeWarmWay, WARM_UP_BOUNDS, WarmSeen, play_warm_up};
use support::warm_ways::{Feeders, Grants, OwnShares};

/// Schedules of a plain test run; more by the environment (`make simulate`).
const SCHEDULES: u64 = 150;
const SCHEDULES_VARIABLE: &str = "RIDGEWORKS_SIMULATION_SCHEDULES";
/// Requests for which the engine would be chosen against what it bears, where the service is full, and where all gateways flock to it.
const LOADS: [f64; 2] = [3.0, 20.0];

fn schedules() -> u64 {
    let text = std::env::var(SCHEDULES_VARIABLE).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(SCHEDULES)
}

/// What many schedules showed.
#[derive(Debug, Default)]
#[allow(dead_code, reason = "what no test holds against a bound is printed")]
struct Shown {
    fullest: f64,
    broken: usize,
    /// In the mean.
    used: f64,
    wait_ms: f64,
    /// By request that was sent.
    messages: f64,
}

fn show(make: MakeWarmWay, schedules: u64, load: f64, faults: bool) -> Shown {
    let seen: Vec<WarmSeen> = (0..schedules)
        .map(|seed| play_warm_up(make, seed, load, faults))
        .collect();
    let sent = seen.iter().map(|seen| seen.sent).sum::<usize>().max(1) as f64;
    Shown {
        fullest: seen.iter().map(|seen| seen.fullest).fold(0.0, f64::max),
        broken: seen.iter().filter(|seen| seen.fullest > 1.0).count(),
        used: seen.iter().map(|seen| seen.used).sum::<f64>() / schedules as f64,
        wait_ms: seen.iter().map(|seen| seen.waited_ms).sum::<f64>() / sent,
        messages: seen.iter().map(|seen| seen.messages).sum::<usize>() as f64 / sent,
    }
}

#[test]
fn no_second_holds_more_than_an_engine_bears_whoever_is_cut_frozen_or_dead() {
    for load in LOADS {
        let shown = show(Grants::make, schedules(), load, true);
        println!("grants, {} schedules, load {load}: {shown:?}", schedules());
        assert_eq!(shown.broken, 0, "{shown:?}");
    }
}

#[test]
fn most_of_what_an_engine_bears_is_used_where_the_service_is_full() {
    for load in LOADS {
        let shown = show(Grants::make, 40, load, false);
        println!("grants, undisturbed, load {load}: {shown:?}");
        assert!(shown.used > 0.6, "{shown:?}");
        assert!(shown.wait_ms < 20.0, "{shown:?}");
    }
}

#[test]
fn each_safeguard_is_needed() {
    for (name, make) in [
        ("a grant lapses", Grants::without_lifetime as MakeWarmWay),
        ("a limiter is silent at first", Grants::without_silent_start),
        ("limiters share what an engine bears", Grants::without_split),
    ] {
        let shown = show(make, 100, LOADS[1], true);
        println!("without: {name}: {shown:?}");
        assert!(shown.broken > 0, "{name}: {shown:?}");
    }
}

#[test]
fn what_was_not_taken_breaks_the_bound_or_uses_little() {
    for (name, make) in [
        ("own shares", OwnShares::make as MakeWarmWay),
        ("feeders", Feeders::make),
    ] {
        for load in LOADS {
            let calm = show(make, 40, load, false);
            println!("{name}, undisturbed, load {load}: {calm:?}");
            let shown = show(make, 100, load, true);
            println!("{name}, load {load}: {shown:?}");
            assert!(shown.broken > 0 || calm.used < 0.6, "{name}: {shown:?}");
        }
    }
}

const LIMIT: WarmUpLimit = WarmUpLimit {
    per_ks: 19_000,
    duration_ms: 3_000,
};

#[test]
fn a_limiter_that_has_just_started_gives_nothing_until_what_was_given_before_has_lapsed() {
    let start = Duration::from_secs(7);
    let mut limiter = GrantLimiter::new(WARM_UP_BOUNDS, 5, start);
    let early = limiter.grant("a", LIMIT, 1, start + Duration::from_millis(1_100));
    let LimiterDecision::Exhausted { next, .. } = early else {
        panic!("it does not know what was given out");
    };
    let open = start + Duration::from_millis(1_100) + next;
    assert!(open >= start + Duration::from_secs(1) + GRANT_LIFETIME);
    assert_eq!(limiter.grant("a", LIMIT, 1, open), LimiterDecision::Granted);
    // The next one a fifth of the rate later; another engine is not concerned.
    assert_ne!(limiter.grant("a", LIMIT, 1, open), LimiterDecision::Granted);
    assert_eq!(limiter.grant("b", LIMIT, 1, open), LimiterDecision::Granted);
}

#[test]
fn an_engine_that_bears_less_than_a_request_for_each_limiter_gets_none() {
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
        let verdict = limiter.grant("a", limit, 1, Duration::from_secs(second));
        assert_ne!(verdict, LimiterDecision::Granted);
    }
}

#[test]
fn a_grant_is_used_once_and_not_after_it_has_lapsed() {
    let engine = EngineKey(1);
    let mut stock = GrantPool::default();
    let asked = Duration::from_secs(1);
    stock.put(engine, Grant::requested_at(asked));
    let late = asked + GRANT_LIFETIME;
    assert!(stock.has(engine, asked));
    assert!(!stock.has(engine, late));
    assert_eq!(stock.take(engine, late), None);
    stock.put(engine, Grant::requested_at(asked));
    assert!(stock.take(engine, asked).is_some());
    assert_eq!(stock.take(engine, asked), None);
}

/// The most that so many limiters give out within a second and the life of a grant, each asked at every moment, that share what an
/// engine bears as if they were `split`.
fn most_given_out(limiters: usize, split: usize) -> usize {
    let fresh = || GrantLimiter::new(WARM_UP_BOUNDS, split, Duration::ZERO);
    let mut limiters: Vec<GrantLimiter> = (0..limiters).map(|_| fresh()).collect();
    let mut given = Vec::new();
    for ms in 3_000..6_000 {
        let now = Duration::from_millis(ms);
        for limiter in &mut limiters {
            let verdict = limiter.grant("a", LIMIT, 1, now);
            given.extend((verdict == LimiterDecision::Granted).then_some(now));
        }
    }
    let span = Duration::from_secs(1) + GRANT_LIFETIME;
    let spans = given.iter().map(|first| {
        let inside = given
            .iter()
            .filter(|at| *first <= **at && **at < *first + span);
        inside.count()
    });
    spans.max().unwrap_or_default()
}

#[test]
fn a_limiter_that_was_replaced_and_has_not_heard_of_it_breaks_nothing() {
    let most = WARM_UP_BOUNDS.most(LIMIT) as usize;
    for limiters in [3, 5] {
        assert!(most_given_out(limiters, limiters) <= most);
        let with_replaced = most_given_out(limiters + 1, limiters);
        assert!(
            with_replaced <= most,
            "{limiters}: {with_replaced} of {most}"
        );
    }
    // Without room for it, as if one fewer shared what the engine bears.
    assert!(most_given_out(4, 2) > most);
}
