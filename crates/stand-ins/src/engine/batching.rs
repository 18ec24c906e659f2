//! Continuous batching: one thread that takes waiting attempts into a batch by priority and lets
//! the whole batch progress step by step.
//!
//! A step lasts `base + per_sequence × decoding sequences + per_prefill_token × prompt tokens
//! computed`. Prompts are computed in chunks of at most [`PREFILL_CHUNK_TOKENS`] a step, after which
//! every decoding sequence gives one token. Ends of steps are counted on from the one before, so
//! that late wake-ups don't add up.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use ridgeworks_domain::RunId;
use ridgeworks_history::HistoryClock;
use serde::Serialize;

use crate::attempts::{Attempt, AttemptState};
use crate::engine::chat::ChatPlan;
use crate::engine::lagging_load::LaggingLoad;
use crate::engine::memory::EngineMemory;
use crate::engine::queue::{AttemptQueue, ChatWork};
use crate::engine::recording::{record_execution, record_start};
use crate::engine::token_blocks::BLOCK_TOKENS;
use crate::history::Recorder;

/// Most prompt tokens that one step computes.
pub const PREFILL_CHUNK_TOKENS: u64 = 512;

/// How fast the engine is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StepCosts {
    /// Time of an empty step.
    pub base: Duration,
    /// Time that each decoding sequence adds.
    pub per_sequence: Duration,
    /// Time that each prompt token computed adds.
    pub per_prefill_token: Duration,
}

impl StepCosts {
    fn step(&self, decoding: u32, prefill_tokens: u64) -> Duration {
        let prefill_tokens = u32::try_from(prefill_tokens).unwrap_or(u32::MAX);
        self.base + self.per_sequence * decoding + self.per_prefill_token * prefill_tokens
    }
}

/// Load as an engine reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct EngineLoad {
    /// Attempts in the batch.
    pub running: usize,
    /// Attempts that wait.
    pub queued: usize,
    /// Memory blocks that hold nothing.
    pub free_blocks: u64,
    /// Memory blocks in all.
    pub total_blocks: u64,
}

struct Sequence {
    work: ChatWork,
    prefill_left: u64,
    reserved_blocks: u64,
}

/// What an attempt was given when it entered the batch.
struct Reservation {
    blocks: u64,
    prefill_left: u64,
    cached_tokens: u64,
}

/// What a step made of a sequence.
enum Advance {
    /// It needs further steps.
    GoesOn,
    /// It is through; its memory holds the run's context now.
    Finished,
    /// It was cancelled; its memory is still reserved.
    Stopped,
}

/// The scheduler thread's state.
pub struct Batch {
    /// Where attempts come from.
    pub queue: Arc<AttemptQueue>,
    /// The engine's memory.
    pub memory: Arc<EngineMemory>,
    /// Where executions are recorded.
    pub history: Arc<Recorder>,
    /// Where the load is reported.
    pub load: Arc<LaggingLoad>,
    /// How fast the engine is.
    pub costs: StepCosts,
    /// Most sequences at a time.
    pub max_batch: usize,
    running: Vec<Sequence>,
}

impl Batch {
    /// An empty batch.
    pub fn new(
        queue: Arc<AttemptQueue>,
        memory: Arc<EngineMemory>,
        history: Arc<Recorder>,
        load: Arc<LaggingLoad>,
        costs: StepCosts,
        max_batch: usize,
    ) -> Self {
        Self {
            queue,
            memory,
            history,
            load,
            costs,
            max_batch,
            running: Vec::new(),
        }
    }

    /// Works until the queue is closed and everything in it is done.
    pub fn run(mut self) {
        let mut step_end = Instant::now();
        loop {
            self.admit();
            self.report_load();
            if self.running.is_empty() {
                if !self.queue.wait_for_work() {
                    return;
                }
                step_end = Instant::now();
                continue;
            }
            let duration = self.compute_step();
            step_end += duration;
            thread::sleep(step_end.saturating_duration_since(Instant::now()));
            self.finish_step();
            step_end = step_end.max(Instant::now() - duration);
        }
    }

    fn admit(&mut self) {
        while self.running.len() < self.max_batch {
            let Some(next) = self.queue.pop() else {
                return;
            };
            if next.work.attempt.progress().state.is_final() {
                continue;
            }
            let Some(reservation) = self.reserve(&next.work) else {
                self.queue.put_back(next);
                return;
            };
            let sequence = Sequence {
                work: next.work,
                prefill_left: reservation.prefill_left,
                reserved_blocks: reservation.blocks,
            };
            if start(
                &sequence.work.attempt,
                reservation.cached_tokens,
                &self.history,
            ) {
                self.running.push(sequence);
            } else {
                self.release(&sequence);
            }
        }
    }

    fn reserve(&self, work: &ChatWork) -> Option<Reservation> {
        let plan = &work.attempt.plan;
        let run = run_of(plan);
        self.memory.with(&self.history, |cache| {
            let prompt = &work.context.prompt;
            let matched = run.map_or(0, |run| cache.matched_blocks(run, prompt));
            let blocks = plan.blocks().saturating_sub(matched);
            let has_room = cache.begin_attempt(run, blocks, Instant::now());
            let cached_tokens = matched * BLOCK_TOKENS;
            has_room.then(|| Reservation {
                blocks,
                prefill_left: prompt.tokens().saturating_sub(cached_tokens),
                cached_tokens,
            })
        })
    }

    fn release(&self, sequence: &Sequence) {
        let run = run_of(&sequence.work.attempt.plan);
        self.memory.with(&self.history, |cache| {
            cache.end_attempt(run, sequence.reserved_blocks);
        });
    }

    /// Computes prompts, in order of admission; answers how long the step lasts.
    fn compute_step(&mut self) -> Duration {
        let mut chunk_left = PREFILL_CHUNK_TOKENS;
        for sequence in &mut self.running {
            let computed = sequence.prefill_left.min(chunk_left);
            sequence.prefill_left -= computed;
            chunk_left -= computed;
        }
        let decoding = self
            .running
            .iter()
            .filter(|sequence| sequence.prefill_left == 0);
        let decoding = u32::try_from(decoding.count()).unwrap_or(u32::MAX);
        self.costs.step(decoding, PREFILL_CHUNK_TOKENS - chunk_left)
    }

    fn finish_step(&mut self) {
        let sequences = std::mem::take(&mut self.running);
        for sequence in sequences {
            match self.advance(&sequence) {
                Advance::GoesOn => self.running.push(sequence),
                Advance::Finished => {}
                Advance::Stopped => self.release(&sequence),
            }
        }
    }

    /// Gives a decoding sequence its token.
    fn advance(&self, sequence: &Sequence) -> Advance {
        let plan = &sequence.work.attempt.plan;
        let has_token = sequence.prefill_left == 0;
        sequence.work.attempt.update(|progress| {
            if progress.state != AttemptState::Running {
                return Advance::Stopped;
            }
            if !has_token {
                return Advance::GoesOn;
            }
            progress.produced += 1;
            if progress.produced < plan.content.tokens() {
                return Advance::GoesOn;
            }
            self.keep_context(sequence);
            record_execution(plan, progress, false, &self.history);
            progress.state = AttemptState::Finished {
                answer: plan.content.text().to_owned(),
                spent: plan.cost(progress.produced),
            };
            Advance::Finished
        })
    }

    /// Turns what the attempt had reserved into the context of its run.
    fn keep_context(&self, sequence: &Sequence) {
        let plan = &sequence.work.attempt.plan;
        let run = run_of(plan);
        self.memory.with(&self.history, |cache| {
            cache.end_attempt(run, sequence.reserved_blocks);
            if let Some(run) = run {
                cache.store(run, sequence.work.context.whole.clone(), Instant::now());
            }
        });
    }

    fn report_load(&self) {
        let (free_blocks, total_blocks) = self.memory.with(&self.history, |cache| {
            (cache.free_blocks(), cache.total_blocks())
        });
        self.load.set(EngineLoad {
            running: self.running.len(),
            queued: self.queue.len(),
            free_blocks,
            total_blocks,
        });
    }
}

fn run_of(plan: &ChatPlan) -> Option<RunId> {
    plan.key.as_ref().map(|key| key.run)
}

fn start(attempt: &Attempt<ChatPlan>, cached_tokens: u64, history: &Recorder) -> bool {
    attempt.update(|progress| {
        let may_start = progress.state == AttemptState::Queued;
        if may_start {
            record_start(&attempt.plan, history);
            progress.state = AttemptState::Running;
            progress.started_at_us = Some(HistoryClock.now_micros());
            progress.cached_tokens = cached_tokens;
        }
        may_start
    })
}
