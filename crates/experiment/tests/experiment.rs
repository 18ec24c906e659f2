//! The experiment: same seed, same figures; the engine model; the statistics.

use ridgeworks_domain::{NodeId, RunId};
use ridgeworks_experiment::context_cache::ContextCache;
use ridgeworks_experiment::engine::{Engine, EngineCall};
use ridgeworks_experiment::script::draw_arrivals;
use ridgeworks_experiment::statistics::Estimate;
use ridgeworks_experiment::workload::Workload;
use ridgeworks_experiment::{policies, simulate};
use ridgeworks_scheduling::Ticket;

const PRESETS: [&str; 5] = ["kalahari", "serra-branca", "burst", "scale", "held-out"];

fn short(preset: &str) -> Workload {
    let mut workload = Workload::preset(preset).unwrap();
    workload.horizon_seconds = 20.0;
    workload.warm_up_seconds = 0.0;
    workload.engines.count = 4;
    workload
}

fn engine_call(number: u64, urgent: bool, prompt: u64, output: u64) -> EngineCall {
    EngineCall {
        ticket: Ticket {
            owner: NodeId(1),
            number,
        },
        run: RunId(u128::from(number)),
        urgent,
        prompt,
        inherited: None,
        output,
        max_output: output,
    }
}

/// Runs an engine until it is idle; returns the ended tickets with their times.
fn run_engine(engine: &mut Engine, mut now: u64) -> Vec<(u64, u64)> {
    let mut ended = Vec::new();
    while let Some(step) = engine.begin_step(now) {
        now += step.takes.as_micros() as u64;
        let calls = engine.end_step(now).into_iter();
        ended.extend(calls.map(|call| (call.call.ticket.number, now)));
    }
    ended
}

#[test]
fn the_same_seed_gives_the_same_figures_under_every_policy() {
    let workload = short("kalahari");
    for policy in policies::ALL {
        let first = simulate(&workload, policy, 0.8, 3).unwrap().values();
        let second = simulate(&workload, policy, 0.8, 3).unwrap().values();
        assert_eq!(format!("{first:?}"), format!("{second:?}"), "{policy}");
    }
}

#[test]
fn every_preset_reads_and_runs() {
    for preset in PRESETS {
        let figures = simulate(&short(preset), policies::WHOLE, 0.5, 1).unwrap();
        assert!(figures.programs > 0.0, "{preset}");
        assert!(figures.latency_p50 > 0.0, "{preset}");
    }
}

#[test]
fn scripts_depend_on_the_seed_alone() {
    let workload = short("serra-branca");
    let first = draw_arrivals(&workload, 0.8, 7);
    assert_eq!(first, draw_arrivals(&workload, 0.8, 7));
    assert_ne!(first, draw_arrivals(&workload, 0.8, 8));
}

#[test]
fn urgent_calls_go_first_in_the_order_of_their_arrival() {
    let workload = short("kalahari");
    let mut engine = Engine::new(workload.engines);
    engine.submit(engine_call(1, false, 1_000, 1));
    engine.submit(engine_call(2, true, 1_000, 1));
    engine.submit(engine_call(3, true, 1_000, 1));
    let ended = run_engine(&mut engine, 0);
    let order: Vec<u64> = ended.iter().map(|(number, _)| *number).collect();
    assert_eq!(order, [2, 3, 1]);
}

#[test]
fn prompts_are_prefilled_in_the_order_of_admission_as_the_stand_in_does() {
    let workload = short("kalahari");
    let mut engine = Engine::new(workload.engines);
    engine.submit(engine_call(1, false, 20_000, 1));
    engine.begin_step(0);
    engine.end_step(0);
    engine.submit(engine_call(2, true, 1_000, 1));
    let ended = run_engine(&mut engine, 0);
    assert_eq!(ended[0].0, 1);
}

#[test]
fn a_cached_prompt_is_prefilled_faster() {
    let workload = short("kalahari");
    let mut engine = Engine::new(workload.engines);
    engine.submit(engine_call(1, false, 10_000, 1));
    let cold = run_engine(&mut engine, 0)[0].1;
    engine.submit(engine_call(1, false, 10_000, 1));
    let warm = run_engine(&mut engine, 0)[0].1;
    assert!(warm * 10 < cold, "{warm} against {cold}");
}

#[test]
fn the_cache_evicts_the_least_recently_used_context_and_never_a_leased_one() {
    let mut cache = ContextCache::new(300, 1);
    let runs = [1, 2, 3].map(RunId);
    for (at, run) in runs.into_iter().enumerate() {
        assert!(cache.store(run, 100, None, at as u64));
    }
    cache.retain(runs[0], 1_000);
    cache.store(RunId(4), 100, None, 10);
    assert_eq!(cache.take_evicted(), [runs[1]]);
    cache.store(RunId(5), 200, None, 20);
    assert_eq!(cache.take_evicted(), [runs[2], RunId(4)]);
    assert_eq!(cache.tokens_of(runs[0]), 100);
    assert!(!cache.store(RunId(7), 201, None, 30), "the lease stands");
    assert!(!cache.start(RunId(8), 201, 30), "the lease stands");
    assert_eq!(cache.take_evicted(), []);
    cache.store(RunId(6), 100, None, 2_000);
    assert_eq!(cache.take_evicted(), [runs[0]], "its lease is over");
}

#[test]
fn held_contexts_that_are_never_used_again_are_counted() {
    let mut cache = ContextCache::new(300, 1);
    cache.store(RunId(1), 100, None, 0);
    assert!(cache.start(RunId(1), 150, 50));
    cache.finish(RunId(1), 150, 150, None, 60);
    cache.release(RunId(1), 160);
    assert_eq!(cache.wasted_token_micros(1_000), 150.0 * 100.0);
}

#[test]
fn the_confidence_interval_is_students() {
    let estimate = Estimate::of([1.0, 2.0, 3.0, f64::NAN]);
    assert_eq!((estimate.mean, estimate.seeds), (Some(2.0), 3));
    let half_width = estimate.half_width.unwrap();
    assert!((half_width - 4.303 / 3.0_f64.sqrt()).abs() < 1e-9);
}
