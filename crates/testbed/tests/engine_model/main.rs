//! The engine model of the experiments against the stand-in engine as a process: the same trace, step
//! times set alike, and the figures side by side. Runs in real time, so it is ignored by default:
//! `make check-engine-model`.

mod figures;
mod model;
mod stand_in;
mod trace;

use std::time::Duration;

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
/// As long as the dispatcher's longest lease, at this speed.
const LEASE: Duration = Duration::from_secs(15);
const MORE_URGENT: f64 = 10.0;
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

/// Prints the figures of both side by side; fails where they are too far apart.
fn compare(title: &str, workload: &Workload, lease: Option<Duration>) {
    let mut trace = Trace::draw(workload, OFFERED_LOAD, SEED, SPEED);
    trace.lease = lease;
    let settings = faster(workload.engines);
    let model = Figures::of(&model::replay(&trace, settings)).named();
    let stand_in = Figures::of(&stand_in::replay(&trace, settings)).named();
    let mut report = format!("{title}, {} runs\n", trace.runs.len());
    let mut missed = Vec::new();
    for ((name, model), (_, stand_in)) in model.into_iter().zip(stand_in) {
        let difference = difference(model, stand_in);
        let percent = difference * 100.0;
        report += &format!(
            "  {name:<24} model {model:>10.1}  stand-in {stand_in:>10.1}  difference {percent:>6.1}%\n"
        );
        if difference.abs() > MOST_DIFFERENCE {
            missed.push(name);
        }
    }
    print!("{report}");
    assert!(missed.is_empty(), "more than 10% apart: {missed:?}");
}

/// As part of the stand-in's figure.
fn difference(model: f64, stand_in: f64) -> f64 {
    if model == stand_in {
        return 0.0;
    }
    (model - stand_in) / stand_in
}

#[test]
#[ignore = "takes half a minute of real time: make check-engine-model"]
fn the_model_agrees_with_the_stand_in_where_contexts_are_evicted() {
    let workload = one_engine("kalahari", SHORT_CACHE_TOKENS);
    compare("kalahari, short cache", &workload, None);
}

#[test]
#[ignore = "takes half a minute of real time: make check-engine-model"]
fn the_model_agrees_with_the_stand_in_where_many_short_runs_share_the_batch() {
    let workload = one_engine("serra-branca", SHORT_CACHE_TOKENS);
    compare("serra-branca, short cache", &workload, None);
}

#[test]
#[ignore = "takes half a minute of real time: make check-engine-model"]
fn the_model_agrees_with_the_stand_in_where_contexts_are_leased() {
    let workload = one_engine("kalahari", SHORT_CACHE_TOKENS);
    compare("kalahari, short cache, leases", &workload, Some(LEASE));
}

#[test]
#[ignore = "takes half a minute of real time: make check-engine-model"]
fn the_model_agrees_with_the_stand_in_where_urgent_calls_go_first() {
    let mut workload = one_engine("serra-branca", SHORT_CACHE_TOKENS);
    let urgent = workload.programs.iter_mut().filter(|law| law.urgent);
    for program in urgent {
        program.weight *= MORE_URGENT;
    }
    compare("serra-branca, many urgent runs", &workload, None);
}
