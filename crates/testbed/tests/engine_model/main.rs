//! The engine model of the experiments against the stand-in engine as a process: the same trace, step
//! times set alike, and the figures side by side. Runs in real time, so it is ignored by default:
//! `make check-engine-model`.

mod figures;
mod model;
mod stand_in;
mod trace;

use figures::Figures;
use ridgeworks_experiment::workload::{EngineSettings, Workload};
use trace::Trace;

/// Most difference between the model and the stand-in, as part of the stand-in's figure.
const MOST_DIFFERENCE: f64 = 0.10;
/// The trace and the step times run this much faster than the preset, to save time.
const SPEED: f64 = 4.0;
const HORIZON_SECONDS: f64 = 80.0;
const OFFERED_LOAD: f64 = 0.7;
const SEED: u64 = 1;
/// Holds a handful of contexts, so that many are evicted.
const SHORT_CACHE_TOKENS: u64 = 64_000;

fn one_engine(preset: &str, cache_tokens: u64) -> Workload {
    let mut workload = Workload::preset(preset).expect("a preset");
    workload.horizon_seconds = HORIZON_SECONDS;
    workload.engines = EngineSettings {
        count: 1,
        cache_tokens,
        ..workload.engines
    };
    workload
}

fn faster(settings: EngineSettings) -> EngineSettings {
    EngineSettings {
        step_micros: settings.step_micros / SPEED,
        sequence_micros: settings.sequence_micros / SPEED,
        prefill_micros: settings.prefill_micros / SPEED,
        ..settings
    }
}

fn compare(preset: &str, cache_tokens: u64) {
    let workload = one_engine(preset, cache_tokens);
    let trace = Trace::draw(&workload, OFFERED_LOAD, SEED, SPEED);
    let settings = faster(workload.engines);
    let model = Figures::of(&model::replay(&trace, settings));
    let stand_in = Figures::of(&stand_in::replay(&trace, settings));
    println!(
        "{preset}, cache of {cache_tokens} tokens, {} runs",
        trace.runs.len()
    );
    let mut missed = Vec::new();
    for ((name, model), (_, stand_in)) in model.named().into_iter().zip(stand_in.named()) {
        let difference = (model - stand_in) / stand_in.max(f64::EPSILON);
        println!(
            "  {name:<24} model {model:>10.1}  stand-in {stand_in:>10.1}  difference {:>6.1}%",
            difference * 100.0
        );
        if difference.abs() > MOST_DIFFERENCE {
            missed.push(name);
        }
    }
    assert!(missed.is_empty(), "more than 10% apart: {missed:?}");
}

#[test]
#[ignore = "takes half a minute of real time: make check-engine-model"]
fn the_model_agrees_with_the_stand_in_where_contexts_are_evicted() {
    compare("kalahari", SHORT_CACHE_TOKENS);
}
