//! Limits of tenants over many gateways: the bound itself over every window, and what is refused below the limit.

mod support;

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ridgeworks_quota::{
    Limiter, LimiterCandidate, LimiterDecision, LimiterKey, LimiterSelection, LimiterSelector,
    ProgramProgress,
};
use ridgeworks_routing::RateLimit;
use support::ways::{OneKeeper, Shares, ToldCounts, share};
use support::{BOUNDS, MakeWay, Trouble, play};

/// Schedules of a plain test run; more by the environment (`make simulate`).
const SCHEDULES: u64 = 1_500;
const SCHEDULES_VARIABLE: &str = "RIDGEWORKS_SIMULATION_SCHEDULES";

fn schedules() -> u64 {
    let text = std::env::var(SCHEDULES_VARIABLE).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(SCHEDULES)
}

/// What many schedules showed.
#[derive(Debug, Default)]
struct Shown {
    asked: usize,
    refused: usize,
    unknown: usize,
    fullest: f64,
    broken: usize,
}

fn show(make: MakeWay, schedules: u64, trouble: Trouble) -> Shown {
    let mut shown = Shown::default();
    for seed in 0..schedules {
        for seen in play(make, seed, trouble) {
            shown.asked += seen.asked;
            shown.refused += seen.refused;
            shown.unknown += seen.unknown;
            shown.fullest = shown.fullest.max(seen.fullest);
            shown.broken += usize::from(seen.fullest > 1.0);
        }
    }
    shown
}

const OVER: Trouble = Trouble {
    faults: true,
    load: 4.0,
    unused: 0.05,
};
/// Many times the limit, so that buckets are empty again within a moment.
const FAR_OVER: Trouble = Trouble { load: 20.0, ..OVER };
/// As much as a tenant makes where its limit was set for 1.6 times that.
const BELOW: Trouble = Trouble {
    faults: false,
    load: 0.625,
    unused: 0.01,
};

#[test]
fn no_window_holds_more_than_the_limit_allows_whatever_is_cut_or_lost() {
    for (schedules, trouble) in [(schedules(), OVER), (schedules() / 5, FAR_OVER)] {
        let shown = show(Shares::make, schedules, trouble);
        println!("shares, {schedules} schedules, {trouble:?}: {shown:?}");
        assert_eq!(shown.broken, 0, "{shown:?}");
    }
}

#[test]
fn little_is_refused_below_the_limit() {
    let shown = show(Shares::make, 300, BELOW);
    println!("shares, below the limit: {shown:?}");
    assert!(shown.refused * 1_000 < shown.asked, "{shown:?}");
    assert_eq!(shown.unknown, 0);
}

#[test]
fn most_of_a_limit_is_given_out_where_more_is_asked_for() {
    let trouble = Trouble {
        faults: false,
        ..OVER
    };
    let shown = show(Shares::make, 100, trouble);
    let granted = (shown.asked - shown.refused) as f64;
    let limit = shown.asked as f64 / trouble.load;
    println!("shares, granted of the limit: {:.3}", granted / limit);
    assert!(granted > limit * 0.98, "{shown:?}");
}

#[test]
fn what_was_not_taken_breaks_the_bound() {
    for (name, make, schedules) in [
        ("one keeper", OneKeeper::make as MakeWay, 100),
        ("told counts", ToldCounts::make, 10),
        ("limiters that start full", Shares::make_forgetful, 200),
    ] {
        let shown = show(make, schedules, FAR_OVER);
        println!("{name}: {shown:?}");
        assert!(shown.broken > 0, "{name}: {shown:?}");
    }
}

fn limit(per_s: u64) -> RateLimit {
    RateLimit {
        per_ks: per_s * 1_000,
        burst: per_s,
    }
}

fn granted(limiter: &mut Limiter, limit: RateLimit, version: u64, now: Duration) -> usize {
    let verdicts =
        (0..10_000).map(|_| limiter.admit("a", ProgramProgress::UnderWay, limit, version, now));
    verdicts
        .take_while(|verdict| *verdict == LimiterDecision::Granted)
        .count()
}

#[test]
fn a_lower_limit_counts_at_once_and_an_earlier_version_changes_nothing() {
    let mut limiter = Limiter::new(BOUNDS, 1, Duration::ZERO);
    let later = Duration::from_secs(60);
    let full = share(limit(5), &BOUNDS, 1).capacity as usize;
    assert_eq!(granted(&mut limiter, limit(5), 2, later), full);
    // Whoever has not heard of it yet asks with the limit of before.
    assert_eq!(granted(&mut limiter, limit(500), 1, later), 0);
    assert_eq!(
        granted(&mut limiter, limit(500), 3, later),
        0,
        "raised, and still empty"
    );
    let filled = later + Duration::from_secs(1);
    assert!(granted(&mut limiter, limit(500), 3, filled) >= 499);
}

#[test]
fn a_lower_limit_is_known_also_after_the_tenant_was_quiet() {
    let mut limiter = Limiter::new(BOUNDS, 1, Duration::ZERO);
    granted(&mut limiter, limit(5), 2, Duration::from_secs(10));
    let later = Duration::from_secs(60);
    limiter.clean_up(later);
    assert!(limiter.is_empty(), "nothing was taken lately");
    // A gateway that has not heard of the lower limit.
    let full = share(limit(5), &BOUNDS, 1).capacity as usize;
    assert_eq!(granted(&mut limiter, limit(500), 1, later), full);
}

#[test]
fn a_limiter_keeps_few_limits_and_takes_no_earlier_one_for_those_that_it_let_go() {
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
    // Of the first tenant nothing is known, and its limit may have been lowered.
    assert_ne!(once(&mut limiter, 0, 1, later), LimiterDecision::Granted);
    assert_eq!(
        once(&mut limiter, 0, 20_000, later),
        LimiterDecision::Granted
    );
    // Those that asked last by the newest versions are known.
    assert_eq!(
        once(&mut limiter, 19_999, 1, later),
        LimiterDecision::Granted
    );
}

#[test]
fn those_that_are_turned_away_come_back_one_after_the_other() {
    let mut limiter = Limiter::new(BOUNDS, 1, Duration::ZERO);
    let now = Duration::from_secs(60);
    granted(&mut limiter, limit(10), 1, now);
    let mut earlier = Duration::ZERO;
    for _ in 0..20 {
        let LimiterDecision::Exhausted { next, retry } =
            limiter.admit("a", ProgramProgress::UnderWay, limit(10), 1, now)
        else {
            panic!("nothing is left");
        };
        assert!(next <= Duration::from_millis(100));
        assert!(retry > earlier && retry <= BOUNDS.window, "{retry:?}");
        earlier = retry;
    }
}

/// A limiter; the second one is late.
fn candidate(key: u64) -> LimiterCandidate {
    LimiterCandidate {
        key: LimiterKey(key),
        is_unresponsive: key == 1,
    }
}

#[test]
fn a_gate_asks_no_limiter_that_has_nothing_and_late_ones_last() {
    let keys: Vec<LimiterCandidate> = (0..3).map(candidate).collect();
    let mut selector = LimiterSelector::default();
    let mut random = rand::rng();
    let now = Duration::from_secs(1);
    for _ in 0..20 {
        let LimiterSelection::Ask(order) =
            selector.next("a", ProgramProgress::UnderWay, &keys, now, &mut random)
        else {
            panic!("all are open");
        };
        assert_eq!(order.last(), Some(&keys[1].key));
    }
    for key in &keys {
        let closed = Duration::from_millis(100 * (key.key.0 + 1));
        selector.on_exhausted("a", ProgramProgress::UnderWay, key.key, closed, closed, now);
    }
    let closed = selector.next("a", ProgramProgress::UnderWay, &keys, now, &mut random);
    assert_eq!(closed, LimiterSelection::Closed(Duration::from_millis(100)));
    let later = now + Duration::from_millis(150);
    assert_eq!(
        selector.next("a", ProgramProgress::UnderWay, &keys, later, &mut random),
        LimiterSelection::Ask(vec![keys[0].key])
    );
    // Another tenant is not concerned.
    assert!(matches!(
        selector.next("b", ProgramProgress::UnderWay, &keys, now, &mut random),
        LimiterSelection::Ask(_)
    ));
}

#[test]
fn a_grant_that_was_not_used_serves_the_next_request_for_a_moment() {
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

/// Programs that begin at a steady rate, each with requests one after the other.
struct Programs {
    /// Requests of each.
    requests: usize,
    /// Part of the limit that they need together.
    load: f64,
    /// Whether the limiter is told how far a program has come.
    is_told: bool,
}

/// Part of the programs for which there was room that were carried out whole.
fn carried_out(programs: &Programs) -> f64 {
    const LENGTH_S: f64 = 60.0;
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let limit = limit(20);
    let mut limiter = Limiter::new(BOUNDS, 1, Duration::ZERO);
    let per_s = 20.0 * programs.load / programs.requests as f64;
    let begun = (LENGTH_S * per_s) as usize;
    let mut due: Vec<(Duration, usize, usize)> = (0..begun)
        .map(|number| (6.0 + random.random_range(0.0..LENGTH_S), number))
        .map(|(at, number)| (Duration::from_secs_f64(at), number, 0))
        .collect();
    let mut whole = 0;
    while let Some(first) = due.iter().min().copied() {
        due.retain(|next| *next != first);
        let (now, number, request) = first;
        let progress = if request == 0 && programs.is_told {
            ProgramProgress::Beginning
        } else {
            ProgramProgress::UnderWay
        };
        match limiter.admit("a", progress, limit, 1, now) {
            LimiterDecision::Granted if request + 1 == programs.requests => whole += 1,
            LimiterDecision::Granted => {
                let step = Duration::from_millis(random.random_range(50..600));
                due.push((now + step, number, request + 1));
            }
            // Its client gives the program up.
            LimiterDecision::Exhausted { .. } => {}
        }
    }
    whole as f64 / (begun as f64 / programs.load)
}

#[test]
fn where_more_programs_begin_than_there_is_room_for_most_that_are_let_in_are_carried_out() {
    let programs = |is_told| Programs {
        requests: 15,
        load: 2.0,
        is_told,
    };
    let (told, untold) = (carried_out(&programs(true)), carried_out(&programs(false)));
    println!("carried out of what there is room for: {told:.3} told, {untold:.3} not told");
    assert!(told > 0.85, "{told}");
    assert!(told > untold + 0.3, "{told} {untold}");
}

#[test]
fn a_bucket_that_is_full_serves_whoever_comes_however_small_it_is() {
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
    let verdict = limiter.admit(
        "a",
        ProgramProgress::Beginning,
        small,
        1,
        Duration::from_secs(60),
    );
    assert_eq!(verdict, LimiterDecision::Granted);
}
