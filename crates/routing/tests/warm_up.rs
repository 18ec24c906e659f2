//! Detection of engines that are warming up.

mod support;

use std::collections::HashMap;
use std::time::Duration;

use ridgeworks_routing::{Engine, EngineEntry, WarmUpLimit, WarmUpSource, WarmUps};
use support::engine;

const LIMIT: WarmUpLimit = WarmUpLimit {
    per_ks: 19_000,
    duration_ms: 4_000,
};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn limits() -> HashMap<&'static str, WarmUpLimit> {
    HashMap::from([("models", LIMIT)])
}

/// An engine whose first entry says that it is warm.
fn warm_engine(born_ms: u64) -> Engine {
    Engine {
        born_ms,
        ..engine("i-1", "zone-a")
    }
}

fn entry(engine: &Engine, revision: u64, warm_up_ms: u64) -> EngineEntry {
    EngineEntry {
        engine: Engine {
            warm_up_ms,
            software: "v1".to_owned(),
            ..engine.clone()
        },
        revision,
    }
}

struct Tracker {
    engines: WarmUps,
}

impl Tracker {
    fn list(&mut self, entries: &[EngineEntry], now: u64) {
        self.engines.on_list(entries.iter(), &limits(), at(now));
    }

    /// A tracker whose first list contains one warm engine.
    fn with_first_list(engine: &Engine) -> Self {
        let mut tracker = Self {
            engines: WarmUps::default(),
        };
        tracker.list(&[entry(engine, 1, 0)], 0);
        tracker
    }

    fn is_warming(&self, engine: &Engine, now: u64) -> bool {
        self.grant_free_fraction(engine, now) == 0.0
    }

    fn grant_free_fraction(&self, engine: &Engine, now: u64) -> f64 {
        self.engines.grant_free_fraction(engine.key(), at(now))
    }
}

#[test]
fn an_engine_warms_up_for_as_long_as_its_entry_says() {
    let (warm, cold) = (warm_engine(1), engine("i-2", "zone-a"));
    let mut tracker = Tracker::with_first_list(&warm);
    assert!(!tracker.is_warming(&warm, 1));
    tracker.list(&[entry(&warm, 1, 0), entry(&cold, 2, 1_000)], 100);
    assert!(tracker.is_warming(&cold, 1_099));
    assert!(!tracker.is_warming(&warm, 1_099));
    assert!(!tracker.is_warming(&cold, 1_101));
    // The same entry again changes nothing.
    tracker.list(&[entry(&cold, 2, 1_000)], 3_000);
    assert!(!tracker.is_warming(&cold, 3_001));
}

#[test]
fn a_newly_listed_engine_is_presumed_to_warm_up_until_an_entry_or_answer_says_otherwise() {
    let (first, new) = (warm_engine(1), engine("i-2", "zone-a"));
    let mut tracker = Tracker::with_first_list(&first);
    tracker.list(&[entry(&first, 1, 0), entry(&new, 2, 0)], 100);
    assert!(tracker.is_warming(&new, 4_099));
    assert!(!tracker.is_warming(&new, 4_101));

    let mut tracker = Tracker::with_first_list(&first);
    tracker.list(&[entry(&new, 2, 0)], 100);
    tracker.list(&[entry(&new, 3, 0)], 200);
    assert!(!tracker.is_warming(&new, 300), "warm by its later entry");

    let mut tracker = Tracker::with_first_list(&first);
    tracker.list(&[entry(&new, 2, 0)], 100);
    tracker
        .engines
        .on_answer(&new, LIMIT, Duration::ZERO, at(200));
    assert!(!tracker.is_warming(&new, 300), "warm by its answer");
}

#[test]
fn a_run_that_is_listed_again_is_not_new_but_another_run_is() {
    let first = warm_engine(1);
    let mut tracker = Tracker::with_first_list(&first);
    // The store lost the entry and listed it again.
    tracker.list(&[], 1_000);
    tracker.list(&[entry(&first, 7, 0)], 2_000);
    assert!(!tracker.is_warming(&first, 2_001));
    let second = warm_engine(2);
    tracker.list(&[entry(&second, 8, 0)], 3_000);
    assert!(tracker.is_warming(&second, 3_001));
    assert!(
        !tracker.is_warming(&first, 3_001),
        "the earlier run does not warm up"
    );
}

#[test]
fn an_entry_without_a_warm_up_does_not_override_an_answer() {
    let engine = warm_engine(1);
    let mut tracker = Tracker::with_first_list(&engine);
    tracker
        .engines
        .on_answer(&engine, LIMIT, at(2_000), at(100));
    tracker.list(&[entry(&engine, 2, 0)], 200);
    assert!(tracker.is_warming(&engine, 2_099));
    tracker
        .engines
        .on_answer(&engine, LIMIT, Duration::ZERO, at(300));
    assert!(!tracker.is_warming(&engine, 301));
}

#[test]
fn an_engine_is_presumed_to_warm_up_after_it_was_unreachable_or_its_zone_drained() {
    let engine = warm_engine(1);
    let mut tracker = Tracker::with_first_list(&engine);
    tracker.engines.on_unreachable(&engine, LIMIT, at(100));
    // The entry was written before and does not mention a restart.
    tracker.list(&[entry(&engine, 2, 0)], 200);
    assert!(tracker.is_warming(&engine, 9_000));
    tracker.engines.on_reached(engine.key(), at(9_000));
    assert!(tracker.is_warming(&engine, 12_999));
    assert!(!tracker.is_warming(&engine, 13_001));
    // The engine may be gone, or unreachable only for this gateway.
    tracker.engines.on_unreachable(&engine, LIMIT, at(20_000));
    assert!(tracker.is_warming(&engine, 34_999));
    assert!(!tracker.is_warming(&engine, 35_001));

    let mut tracker = Tracker::with_first_list(&engine);
    let own = [engine.clone()];
    tracker
        .engines
        .on_drain_ended(own.iter(), &limits(), at(100));
    assert!(tracker.is_warming(&engine, 4_099));
    let changes = tracker.engines.changes(at(200));
    assert_eq!(changes[0].source, WarmUpSource::DrainEnded);
    assert_eq!(changes[0].left, Some(at(3_900)));
    assert!(tracker.engines.changes(at(300)).is_empty(), "returned once");
    assert_eq!(tracker.engines.changes(at(4_200))[0].left, None);
}

#[test]
fn the_grant_free_fraction_of_a_warm_engine_rises_gradually() {
    let engine = warm_engine(1);
    let mut tracker = Tracker::with_first_list(&engine);
    tracker.list(&[entry(&engine, 2, 1_000)], 0);
    let grant_free_fractions: Vec<f64> = (1_000..=3_000)
        .step_by(100)
        .map(|now| tracker.grant_free_fraction(&engine, now))
        .collect();
    assert_eq!(grant_free_fractions[0], 0.0);
    assert_eq!(grant_free_fractions.last(), Some(&1.0));
    let steps = grant_free_fractions
        .windows(2)
        .map(|pair| pair[1] - pair[0]);
    steps.for_each(|step| assert!((0.0..0.06).contains(&step), "{step}"));
    assert!(tracker.engines.has_limited_engines("models", at(2_900)));
    assert!(!tracker.engines.has_limited_engines("models", at(3_001)));
    // The fraction also rises gradually if an entry ends the warm-up early.
    tracker.list(&[entry(&engine, 3, 9_000)], 4_000);
    tracker.list(&[entry(&engine, 4, 0)], 5_000);
    assert!(tracker.grant_free_fraction(&engine, 5_100) < 0.1);
}

#[test]
fn a_service_without_a_limit_has_no_engine_that_warms_up() {
    let engine = warm_engine(1);
    let mut engines = WarmUps::default();
    let entries = [entry(&engine, 1, 5_000)];
    engines.on_list(entries.iter(), &HashMap::new(), at(0));
    assert_eq!(engines.grant_free_fraction(engine.key(), at(1)), 1.0);
    assert!(!engines.has_limited_engines("models", at(1)));
    // Engines that are listed when the limit is introduced may have run for long.
    engines.on_list([entry(&engine, 2, 0)].iter(), &limits(), at(10));
    assert_eq!(engines.grant_free_fraction(engine.key(), at(11)), 1.0);
}
