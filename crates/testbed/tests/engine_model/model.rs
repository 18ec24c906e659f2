//! The trace on the engine model, in virtual time.

use std::collections::BTreeSet;
use std::time::Duration;

use ridgeworks_domain::{NodeId, RunId};
use ridgeworks_experiment::engine::{Engine, EngineCall};
use ridgeworks_experiment::workload::EngineSettings;
use ridgeworks_scheduling::Ticket;

use crate::figures::CallResult;
use crate::trace::Trace;

const OWNER: NodeId = NodeId(1);
/// How often calls that found no memory look again in an idle engine.
const POLL_MICROS: u64 = 5_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    StepEnd,
    Poll,
    Call(usize),
}

#[derive(Debug, Clone, Copy, Default)]
struct RunState {
    next_call: usize,
    context: u64,
    called_at: u64,
}

struct Replay<'a> {
    trace: &'a Trace,
    engine: Engine,
    runs: Vec<RunState>,
    agenda: BTreeSet<(u64, Happening)>,
    results: Vec<CallResult>,
}

/// Replays the trace; results are in the order of their ends.
pub fn replay(trace: &Trace, settings: EngineSettings) -> Vec<CallResult> {
    let starts = trace.runs.iter().enumerate();
    let starts =
        starts.map(|(run, entry)| (entry.starts_at.as_micros() as u64, Happening::Call(run)));
    let mut replay = Replay {
        trace,
        engine: Engine::new(settings),
        runs: vec![RunState::default(); trace.runs.len()],
        agenda: starts.collect(),
        results: Vec::new(),
    };
    while let Some((now, happening)) = replay.agenda.pop_first() {
        match happening {
            Happening::Call(run) => replay.call(run, now),
            Happening::StepEnd => replay.end_step(now),
            Happening::Poll => {}
        }
        replay.begin_step(now);
    }
    replay.results
}

impl Replay<'_> {
    fn call(&mut self, run: usize, now: u64) {
        let state = &mut self.runs[run];
        state.called_at = now;
        let call = self.trace.runs[run].calls[state.next_call];
        self.engine.submit(EngineCall {
            ticket: Ticket {
                owner: OWNER,
                number: run as u64,
            },
            run: RunId(run as u128 + 1),
            urgent: self.trace.runs[run].urgent,
            prompt: state.context + call.new_tokens,
            inherited: None,
            output: call.output,
            max_output: call.output,
        });
    }

    fn begin_step(&mut self, now: u64) {
        if let Some(step) = self.engine.begin_step(now) {
            let end = now + step.takes.as_micros() as u64;
            self.agenda.insert((end, Happening::StepEnd));
            return;
        }
        let (running, waiting) = self.engine.load();
        if running == 0 && waiting > 0 {
            self.agenda.insert((now + POLL_MICROS, Happening::Poll));
        }
    }

    fn end_step(&mut self, now: u64) {
        for ended in self.engine.end_step(now) {
            let run = ended.call.ticket.number as usize;
            let state = &mut self.runs[run];
            self.results.push(CallResult {
                urgent: ended.call.urgent,
                latency_micros: now - state.called_at,
                context: state.context,
                cached: ended.usage.cached,
            });
            state.context = ended.usage.prompt + ended.usage.output;
            let calls = &self.trace.runs[run].calls;
            let pause = calls[state.next_call].pause;
            state.next_call += 1;
            if state.next_call < calls.len() {
                let at = now + pause.as_micros() as u64;
                self.agenda.insert((at, Happening::Call(run)));
            }
            if let Some(lease) = self.trace.lease {
                let goes_on = state.next_call < calls.len();
                keep(&mut self.engine, ended.call.run, goes_on, lease, now);
            }
        }
    }
}

fn keep(engine: &mut Engine, run: RunId, goes_on: bool, lease: Duration, now: u64) {
    if goes_on {
        engine.cache.retain(run, now + lease.as_micros() as u64);
    } else {
        engine.cache.release(run, now);
    }
}
