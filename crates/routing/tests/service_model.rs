//! Estimates of a service's costs from noisy samples.

use quickcheck::{TestResult, quickcheck};
use ridgeworks_routing::{
    PrefillSample, RequestSample, SampleWindow, ServiceCosts, ServiceKey, ServiceModel,
    ServiceSummary,
};

/// A linear congruential generator with the same sequence in each run.
struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// A simulated engine.
struct Engine {
    prefill_tokens_per_ms: f64,
    first_ms: f64,
    step_ms: f64,
    growth_ms: f64,
}

const EVENTS: u64 = 11;

/// Samples a prefill at an engine that is busy at times, with wrong assumptions about its cache in some
/// samples.
fn sample_prefill(
    model: &mut ServiceModel,
    engine: &Engine,
    wrong_fraction: f64,
    random: &mut Random,
) {
    let tokens = (200.0 + random.next() * 4_000.0).floor();
    let prefilled_tokens = if random.next() < wrong_fraction {
        100.0
    } else {
        tokens
    };
    let queue_ms = random.next().powi(2) * 1_000.0 / engine.prefill_tokens_per_ms;
    model.on_prefill_sample(PrefillSample {
        tokens: tokens as u64,
        first_ms: engine.first_ms + queue_ms + prefilled_tokens / engine.prefill_tokens_per_ms,
        is_certain: true,
    });
}

fn sample_request(model: &mut ServiceModel, engine: &Engine, random: &mut Random) {
    let in_flight = (random.next() * 16.0).floor();
    let step_ms = engine.step_ms + engine.growth_ms * in_flight;
    model.on_request_sample(RequestSample {
        request_ms: step_ms * EVENTS as f64 + random.next() * 100.0,
        step_ms: Some(step_ms * (1.0 + random.next() * 0.1)),
        events: EVENTS,
        in_flight: in_flight as u32,
    });
}

#[test]
fn prefill_rates_of_slow_and_fast_engines_are_estimated() {
    for (seed, prefill_tokens_per_ms) in [20.0, 37.9, 90.0, 270.0, 400.0].into_iter().enumerate() {
        let mut random = Random(seed as u64);
        let engine = Engine {
            prefill_tokens_per_ms,
            first_ms: 5.0,
            step_ms: 10.0,
            growth_ms: 0.1,
        };
        let mut model = ServiceModel::default();
        for _ in 0..200 {
            sample_prefill(&mut model, &engine, 0.15, &mut random);
        }
        let ratio = model.costs().prefill_tokens_per_ms / prefill_tokens_per_ms;
        assert!(
            (0.7..1.4).contains(&ratio),
            "{prefill_tokens_per_ms}: {ratio}"
        );
    }
}

#[test]
fn two_prefills_distinguish_slow_engines_from_fast_ones() {
    let mut rates = Vec::new();
    for prefill_tokens_per_ms in [38.0, 270.0] {
        let mut model = ServiceModel::default();
        for tokens in [3_000_u64, 1_500] {
            let first_ms = 4.0 + tokens as f64 / prefill_tokens_per_ms;
            model.on_prefill_sample(PrefillSample {
                tokens,
                first_ms,
                is_certain: true,
            });
        }
        rates.push(model.costs().prefill_tokens_per_ms);
    }
    assert!(rates[0] < 45.0, "{rates:?}");
    assert!(rates[1] > 150.0, "{rates:?}");
}

#[test]
fn the_prefill_rate_follows_a_change_of_the_engines() {
    let mut random = Random(7);
    let mut model = ServiceModel::default();
    for prefill_tokens_per_ms in [270.0, 38.0] {
        let engine = Engine {
            prefill_tokens_per_ms,
            first_ms: 5.0,
            step_ms: 10.0,
            growth_ms: 0.1,
        };
        for _ in 0..300 {
            sample_prefill(&mut model, &engine, 0.1, &mut random);
        }
    }
    let rate = model.costs().prefill_tokens_per_ms;
    assert!((28.0..55.0).contains(&rate), "{rate}");
}

#[test]
fn the_slowdown_of_a_batch_is_estimated() {
    let engine = Engine {
        prefill_tokens_per_ms: 38.0,
        first_ms: 5.0,
        step_ms: 14.0,
        growth_ms: 0.46,
    };
    let mut random = Random(3);
    let mut model = ServiceModel::default();
    for _ in 0..200 {
        sample_request(&mut model, &engine, &mut random);
    }
    let slowdown_ms = model.costs().slowdown_ms;
    let exact = engine.growth_ms * EVENTS as f64;
    assert!(
        (0.6 * exact..1.6 * exact).contains(&slowdown_ms),
        "{slowdown_ms} for {exact}"
    );
}

#[test]
fn a_gateway_without_samples_uses_received_summaries_and_sends_none() {
    let mut model = ServiceModel::default();
    let received = ServiceSummary {
        service: 1,
        tokens_per_s: 38_000,
        share_us: 5_000,
        turn_us: 700_000,
    };
    model.on_summary(received);
    let expected = ServiceCosts {
        prefill_tokens_per_ms: 38.0,
        slowdown_ms: 5.0,
        request_ms: 700.0,
    };
    assert_eq!(model.costs(), expected);
    // The gateway has no samples of its own, so it sends no summary.
    assert_eq!(model.summary(ServiceKey(1)), None);
}

#[test]
fn a_slope_needs_a_spread_of_x() {
    let mut window = SampleWindow::default();
    for _ in 0..50 {
        window.push(100.0, 7.0);
    }
    assert_eq!(window.slope(0.5, 0.0), None);
    for _ in 0..50 {
        window.push(200.0, 9.0);
    }
    assert!(window.slope(0.5, 10.0).is_some());
    assert_eq!(window.slope(0.5, 1_000.0), None);
}

quickcheck! {
    /// Costs are finite and usable for any samples and summaries.
    fn costs_stay_finite(prefills: Vec<(u64, f64)>, turns: Vec<(f64, f64, u64)>, summaries: Vec<(u32, u32, u32)>) -> TestResult {
        let mut model = ServiceModel::default();
        for (tokens, first_ms) in prefills {
            model.on_prefill_sample(PrefillSample { tokens, first_ms, is_certain: true });
        }
        for (request_ms, step_ms, events) in turns {
            let step_ms = Some(step_ms);
            model.on_request_sample(RequestSample { request_ms, step_ms, events, in_flight: 3 });
        }
        for (tokens_per_s, share_us, turn_us) in summaries {
            model.on_summary(ServiceSummary { service: 1, tokens_per_s, share_us, turn_us });
        }
        let costs = model.costs();
        let values = [costs.prefill_tokens_per_ms, costs.added_request_ms(0), costs.queue_position_ms(0)];
        let is_sound = values.iter().all(|value| value.is_finite() && *value >= 0.0);
        TestResult::from_bool(is_sound && costs.prefill_tokens_per_ms > 0.0)
    }
}
