//! Which engines warm up, by whatever says so.

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
fn listed(born_ms: u64) -> Engine {
    Engine {
        born_ms,
        ..engine("i-1", "zone-a")
    }
}

fn entry(engine: &Engine, revision: u64, warm_up_ms: u64) -> EngineEntry {
    EngineEntry {
        engine: Engine {
            warm_up_ms,
            ..engine.clone()
        },
        revision,
    }
}

struct Known {
    engines: WarmUps,
}

impl Known {
    fn list(&mut self, entries: &[EngineEntry], now: u64) {
        self.engines.on_list(entries.iter(), &limits(), at(now));
    }

    /// Whose first list holds one engine that is warm.
    fn with(engine: &Engine) -> Self {
        let mut known = Self {
            engines: WarmUps::default(),
        };
        known.list(&[entry(engine, 1, 0)], 0);
        known
    }

    fn is_warming(&self, engine: &Engine, now: u64) -> bool {
        self.share(engine, now) == 0.0
    }

    fn share(&self, engine: &Engine, now: u64) -> f64 {
        self.engines.share(engine.key(), at(now))
    }
}

#[test]
fn an_engine_of_the_first_list_warms_up_for_as_long_as_its_entry_says() {
    let (warm, fresh) = (listed(1), engine("i-2", "zone-a"));
    let mut known = Known::with(&warm);
    assert!(!known.is_warming(&warm, 1));
    known.list(&[entry(&warm, 1, 0), entry(&fresh, 2, 1_000)], 100);
    assert!(known.is_warming(&fresh, 1_099));
    assert!(!known.is_warming(&warm, 1_099));
    assert!(!known.is_warming(&fresh, 1_101));
    // The same entry once more is no news.
    known.list(&[entry(&fresh, 2, 1_000)], 3_000);
    assert!(!known.is_warming(&fresh, 3_001));
}

#[test]
fn an_engine_that_appears_is_presumed_to_warm_up_until_it_says_otherwise() {
    let (first, new) = (listed(1), engine("i-2", "zone-a"));
    let mut known = Known::with(&first);
    known.list(&[entry(&first, 1, 0), entry(&new, 2, 0)], 100);
    assert!(known.is_warming(&new, 4_099));
    assert!(!known.is_warming(&new, 4_101));

    let mut known = Known::with(&first);
    known.list(&[entry(&new, 2, 0)], 100);
    known.list(&[entry(&new, 3, 0)], 200);
    assert!(!known.is_warming(&new, 300), "its later entry says so");

    let mut known = Known::with(&first);
    known.list(&[entry(&new, 2, 0)], 100);
    known
        .engines
        .on_answer(&new, LIMIT, Duration::ZERO, at(200));
    assert!(!known.is_warming(&new, 300), "its answer says so");
}

#[test]
fn a_run_that_was_listed_before_does_not_appear_and_another_run_does() {
    let first = listed(1);
    let mut known = Known::with(&first);
    // The store lost the entry and has it again.
    known.list(&[], 1_000);
    known.list(&[entry(&first, 7, 0)], 2_000);
    assert!(!known.is_warming(&first, 2_001));
    let second = listed(2);
    known.list(&[entry(&second, 8, 0)], 3_000);
    assert!(known.is_warming(&second, 3_001));
    assert!(!known.is_warming(&first, 3_001), "what ended with its run");
}

#[test]
fn an_answer_counts_also_where_an_entry_that_was_written_before_says_nothing() {
    let engine = listed(1);
    let mut known = Known::with(&engine);
    known.engines.on_answer(&engine, LIMIT, at(2_000), at(100));
    known.list(&[entry(&engine, 2, 0)], 200);
    assert!(known.is_warming(&engine, 2_099));
    known
        .engines
        .on_answer(&engine, LIMIT, Duration::ZERO, at(300));
    assert!(!known.is_warming(&engine, 301));
}

#[test]
fn an_engine_that_was_found_away_or_whose_zone_is_taken_back_is_presumed_to_warm_up() {
    let engine = listed(1);
    let mut known = Known::with(&engine);
    known.engines.on_unreachable(&engine, LIMIT, at(100));
    // An entry that was written before says nothing of it.
    known.list(&[entry(&engine, 2, 0)], 200);
    assert!(known.is_warming(&engine, 9_000));
    known.engines.on_reached(engine.key(), at(9_000));
    assert!(known.is_warming(&engine, 12_999));
    assert!(!known.is_warming(&engine, 13_001));
    // It may be gone for good, or gone for this gateway alone.
    known.engines.on_unreachable(&engine, LIMIT, at(20_000));
    assert!(known.is_warming(&engine, 34_999));
    assert!(!known.is_warming(&engine, 35_001));

    let mut known = Known::with(&engine);
    let own = [engine.clone()];
    known.engines.on_drain_ended(own.iter(), &limits(), at(100));
    assert!(known.is_warming(&engine, 4_099));
    let news = known.engines.news(at(200));
    assert_eq!(news[0].source, WarmUpSource::DrainEnded);
    assert_eq!(news[0].left, Some(at(3_900)));
    assert!(known.engines.news(at(300)).is_empty(), "told once");
    assert_eq!(known.engines.news(at(4_200))[0].left, None);
}

#[test]
fn its_share_grows_without_a_step_once_it_is_warm() {
    let engine = listed(1);
    let mut known = Known::with(&engine);
    known.list(&[entry(&engine, 2, 1_000)], 0);
    let shares: Vec<f64> = (1_000..=3_000)
        .step_by(100)
        .map(|now| known.share(&engine, now))
        .collect();
    assert_eq!(shares[0], 0.0);
    assert_eq!(shares.last(), Some(&1.0));
    let steps = shares.windows(2).map(|pair| pair[1] - pair[0]);
    steps.for_each(|step| assert!((0.0..0.06).contains(&step), "{step}"));
    assert!(known.engines.has_limited_engines("models", at(2_900)));
    assert!(!known.engines.has_limited_engines("models", at(3_001)));
    // So it does where its entry ends the warm-up early.
    known.list(&[entry(&engine, 3, 9_000)], 4_000);
    known.list(&[entry(&engine, 4, 0)], 5_000);
    assert!(known.share(&engine, 5_100) < 0.1);
}

#[test]
fn a_service_that_needs_no_care_has_no_engine_that_warms_up() {
    let engine = listed(1);
    let mut engines = WarmUps::default();
    let entries = [entry(&engine, 1, 5_000)];
    engines.on_list(entries.iter(), &HashMap::new(), at(0));
    assert_eq!(engines.share(engine.key(), at(1)), 1.0);
    assert!(!engines.has_limited_engines("models", at(1)));
    // Those that are there when it begins to need care have run for long.
    engines.on_list([entry(&engine, 2, 0)].iter(), &limits(), at(10));
    assert_eq!(engines.share(engine.key(), at(11)), 1.0);
}
