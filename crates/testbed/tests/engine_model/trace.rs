//! Runs with their calls, drawn from a preset: starts, prompt and output tokens, pauses.

use std::time::Duration;

use ridgeworks_experiment::script::{Pause, Turn, draw_arrivals};
use ridgeworks_experiment::workload::Workload;

/// One call and the pause after it.
#[derive(Debug, Clone, Copy)]
pub struct TraceCall {
    /// Tokens that the prompt adds to the context.
    pub new_tokens: u64,
    /// Tokens generated.
    pub output: u64,
    /// From the answer to the next call.
    pub pause: Duration,
}

/// One run: its calls follow each other.
#[derive(Debug, Clone)]
pub struct TraceRun {
    /// Whether its calls go first.
    pub urgent: bool,
    /// When its first call is made.
    pub starts_at: Duration,
    /// In order.
    pub calls: Vec<TraceCall>,
}

/// A trace for one engine.
#[derive(Debug, Clone)]
pub struct Trace {
    /// In order of their starts.
    pub runs: Vec<TraceRun>,
    /// Lease on the context of a run in each pause, and its release at the run's end; `None` leaves
    /// the cache to itself.
    pub lease: Option<Duration>,
}

impl Trace {
    /// Draws a trace whose times are shorter by `speed`. Sub-agents are left out.
    pub fn draw(workload: &Workload, offered_load: f64, seed: u64, speed: f64) -> Self {
        let arrivals = draw_arrivals(workload, offered_load, seed).into_iter();
        let runs = arrivals.map(|arrival| TraceRun {
            urgent: workload.programs[arrival.program].urgent,
            starts_at: Duration::from_micros(arrival.at_micros).div_f64(speed),
            calls: arrival
                .script
                .turns
                .iter()
                .map(|turn| trace_call(turn, speed))
                .collect(),
        });
        Self {
            runs: runs.collect(),
            lease: None,
        }
    }
}

fn trace_call(turn: &Turn, speed: f64) -> TraceCall {
    let pause = match &turn.pause {
        Pause::Tool { micros, .. } => Duration::from_micros(*micros),
        Pause::SubAgents(_) => Duration::ZERO,
    };
    TraceCall {
        new_tokens: turn.new_tokens,
        output: turn.output,
        pause: pause.div_f64(speed),
    }
}
