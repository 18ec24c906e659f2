//! What is measured in one run of the simulation.

use crate::agent::{ProgramEnd, ProgramState};

const SHARE_WINDOW_SAMPLES: usize = 600;
const SHARE_PARTNERS_NEEDED: usize = 2;
const BUSY_SAMPLES_PERMILLE: usize = 950;

/// Slots and queue of the partners at one moment; samples come every 100 ms.
#[derive(Debug, Clone)]
pub struct ShareSample {
    /// Slots in use by partner.
    pub in_use: Vec<u64>,
    /// Whether the partner had calls waiting.
    pub waiting: Vec<bool>,
}

/// Raw measures.
#[derive(Debug, Default)]
pub struct Measures {
    /// Tokens prefilled again though once cached.
    pub prefilled_again: u64,
    /// Tokens prefilled in all.
    pub prefilled: u64,
    /// Tokens × microseconds held and not used again.
    pub wasted_token_micros: f64,
    /// Waits of urgent calls from the caller to the engine's first step, in microseconds.
    pub urgent_waits: Vec<f64>,
    /// The same of routine calls.
    pub routine_waits: Vec<f64>,
    /// Times of engine steps, in microseconds.
    pub steps: Vec<f64>,
    /// Attempts cancelled in favour of urgent calls.
    pub preemptions: u64,
    /// Contexts moved between engines.
    pub moves: u64,
    /// Samples of the partners' slots.
    pub share_samples: Vec<ShareSample>,
}

/// The figures of one run.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct Figures {
    /// Programs measured.
    pub programs: f64,
    /// Latency of completed programs, in seconds: median.
    pub latency_p50: f64,
    /// The same: 95th percentile.
    pub latency_p95: f64,
    /// The same: 99th percentile.
    pub latency_p99: f64,
    /// The same, 95th percentile, had each of these programs been alone on an engine with all its
    /// contexts cached: no policy can do better.
    pub alone_p95: f64,
    /// Part of the programs that were refused.
    pub refused: f64,
    /// Part of the programs with a deadline that were late or refused.
    pub missed_deadlines: f64,
    /// Tokens prefilled again though once cached, for each program.
    pub prefilled_again: f64,
    /// Token-seconds held for contexts never used again, for each program.
    pub held_in_vain: f64,
    /// Wait of urgent calls, 99th percentile, in milliseconds.
    pub urgent_wait_p99: f64,
    /// Wait of routine calls, mean, in milliseconds.
    pub routine_wait_mean: f64,
    /// Time of an engine step, 99th percentile, in milliseconds.
    pub step_p99: f64,
    /// Largest share error over a minute in which all partners had calls waiting, in percent.
    pub share_error: f64,
    /// Attempts cancelled in favour of urgent calls.
    pub preemptions: f64,
    /// Contexts moved between engines.
    pub moves: f64,
}

impl Figures {
    /// Names of the figures, in the order of [`Figures::values`].
    pub const NAMES: [&'static str; 15] = [
        "programs",
        "latency_p50",
        "latency_p95",
        "latency_p99",
        "alone_p95",
        "refused",
        "missed_deadlines",
        "prefilled_again",
        "held_in_vain",
        "urgent_wait_p99",
        "routine_wait_mean",
        "step_p99",
        "share_error",
        "preemptions",
        "moves",
    ];

    /// The figures as numbers; those that could not be measured are not numbers.
    pub fn values(&self) -> [f64; 15] {
        [
            self.programs,
            self.latency_p50,
            self.latency_p95,
            self.latency_p99,
            self.alone_p95,
            self.refused,
            self.missed_deadlines,
            self.prefilled_again,
            self.held_in_vain,
            self.urgent_wait_p99,
            self.routine_wait_mean,
            self.step_p99,
            self.share_error,
            self.preemptions,
            self.moves,
        ]
    }

    /// Computes the figures of the programs that arrived after `warm_up`, at `now`. A program that
    /// has not ended counts as if it ended now.
    pub fn compute(
        measures: &Measures,
        programs: &[ProgramState],
        permille: &[u16],
        warm_up: u64,
        now: u64,
    ) -> Self {
        let measured = programs.iter().filter(|program| {
            let abandoned = matches!(program.end, Some((_, ProgramEnd::Abandoned)));
            program.arrived_at >= warm_up && !abandoned
        });
        let measured: Vec<&ProgramState> = measured.collect();
        let count = measured.len() as f64;
        let refused = measured.iter().filter(|program| is_refused(program));
        let refused = refused.count() as f64;
        let completed = || measured.iter().filter(|program| !is_refused(program));
        let mut alone: Vec<f64> = completed()
            .map(|program| program.alone_micros / 1.0e6)
            .collect();
        alone.sort_by(f64::total_cmp);
        let mut latencies: Vec<f64> = completed()
            .map(|program| (ended_at(program, now) - program.arrived_at) as f64 / 1.0e6)
            .collect();
        latencies.sort_by(f64::total_cmp);
        let all = programs.len() as f64;
        Self {
            programs: count,
            latency_p50: quantile(&latencies, 0.5),
            latency_p95: quantile(&latencies, 0.95),
            latency_p99: quantile(&latencies, 0.99),
            alone_p95: quantile(&alone, 0.95),
            refused: refused / count,
            missed_deadlines: missed_part(&measured, now),
            prefilled_again: measures.prefilled_again as f64 / all,
            held_in_vain: measures.wasted_token_micros / 1.0e6 / all,
            urgent_wait_p99: sorted_quantile(&measures.urgent_waits, 0.99) / 1.0e3,
            routine_wait_mean: mean(&measures.routine_waits) / 1.0e3,
            step_p99: sorted_quantile(&measures.steps, 0.99) / 1.0e3,
            share_error: share_error(&measures.share_samples, permille),
            preemptions: measures.preemptions as f64,
            moves: measures.moves as f64,
        }
    }
}

fn is_refused(program: &ProgramState) -> bool {
    matches!(program.end, Some((_, ProgramEnd::Refused)))
}

fn ended_at(program: &ProgramState, now: u64) -> u64 {
    program.end.map_or(now, |(at, _)| at)
}

fn missed_part(programs: &[&ProgramState], now: u64) -> f64 {
    let mut with_deadline = 0.0;
    let mut missed = 0.0;
    for program in programs {
        let Some(deadline) = program.deadline else {
            continue;
        };
        with_deadline += 1.0;
        if is_refused(program) || ended_at(program, now) > deadline {
            missed += 1.0;
        }
    }
    missed / with_deadline
}

fn sorted_quantile(values: &[f64], part: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    quantile(&sorted, part)
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

fn quantile(sorted: &[f64], part: f64) -> f64 {
    if sorted.is_empty() {
        return f64::NAN;
    }
    let index = (part * (sorted.len() - 1) as f64).round() as usize;
    sorted[index]
}

/// Largest deviation of a partner's part of the slots from its share, over whole minutes in which
/// (nearly) always all partners had calls waiting; not a number when there was no such minute.
fn share_error(samples: &[ShareSample], permille: &[u16]) -> f64 {
    if permille.len() < SHARE_PARTNERS_NEEDED {
        return f64::NAN;
    }
    let windows = samples.chunks_exact(SHARE_WINDOW_SAMPLES);
    let busy = windows.filter(|window| {
        let all_wait = |sample: &&ShareSample| sample.waiting.iter().all(|waits| *waits);
        let count = window.iter().filter(all_wait).count();
        count * 1000 >= SHARE_WINDOW_SAMPLES * BUSY_SAMPLES_PERMILLE
    });
    let errors = busy.map(|window| window_error(window, permille));
    errors.fold(f64::NAN, f64::max)
}

fn window_error(window: &[ShareSample], permille: &[u16]) -> f64 {
    let used = |partner: usize| -> u64 { window.iter().map(|sample| sample.in_use[partner]).sum() };
    let total: u64 = (0..permille.len()).map(used).sum();
    let errors = permille.iter().enumerate().map(|(partner, permille)| {
        let part = used(partner) as f64 / total.max(1) as f64;
        (part * 100.0 - f64::from(*permille) / 10.0).abs()
    });
    errors.fold(0.0, f64::max)
}
