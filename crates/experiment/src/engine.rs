//! The engine model: continuous batching in steps.
//!
//! A step generates one token for each sequence whose prompt is prefilled and prefills at most one
//! chunk of tokens, in the order of admission, as the stand-in engine does. Its time grows with both.

use std::collections::VecDeque;
use std::time::Duration;

use ridgeworks_domain::RunId;
use ridgeworks_scheduling::{InheritedContext, Ticket, TokenUsage};

use crate::context_cache::{ContextCache, SharedPrefix};
use crate::workload::EngineSettings;

/// A call as it reaches an engine.
#[derive(Debug, Clone)]
pub struct EngineCall {
    /// Its ticket.
    pub ticket: Ticket,
    /// Its run.
    pub run: RunId,
    /// Whether it goes first.
    pub urgent: bool,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Context of the parent run at its beginning.
    pub inherited: Option<InheritedContext>,
    /// Tokens that it will generate.
    pub output: u64,
    /// Tokens that memory is taken for.
    pub max_output: u64,
}

/// A call that an engine ended.
#[derive(Debug, Clone)]
pub struct EndedCall {
    /// The call.
    pub call: EngineCall,
    /// What was counted.
    pub usage: TokenUsage,
}

#[derive(Debug)]
struct Sequence {
    call: EngineCall,
    cached: u64,
    shared: Option<SharedPrefix>,
    reserved: u64,
    prefill_left: u64,
    generated: u64,
}

/// A step that began.
#[derive(Debug, Clone)]
pub struct Step {
    /// How long it takes.
    pub takes: Duration,
    /// Calls that were admitted in it.
    pub admitted: Vec<Ticket>,
}

/// One engine.
#[derive(Debug)]
pub struct Engine {
    settings: EngineSettings,
    /// Its prefix cache.
    pub cache: ContextCache,
    waiting: VecDeque<EngineCall>,
    running: Vec<Sequence>,
    stepping: bool,
    /// Number of its last cache event.
    pub last_event: u64,
}

impl Engine {
    /// An idle engine.
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            settings,
            cache: ContextCache::new(settings.cache_tokens, settings.block_tokens),
            waiting: VecDeque::new(),
            running: Vec::new(),
            stepping: false,
            last_event: 0,
        }
    }

    /// Takes a call.
    pub fn submit(&mut self, call: EngineCall) {
        if call.urgent {
            let ahead = self.waiting.iter().take_while(|other| other.urgent).count();
            self.waiting.insert(ahead, call);
        } else {
            self.waiting.push_back(call);
        }
    }

    /// Gives a call up. Returns whether it was there.
    pub fn cancel(&mut self, ticket: Ticket, now: u64) -> bool {
        let waiting = self.waiting.len();
        self.waiting.retain(|call| call.ticket != ticket);
        let found = self
            .running
            .iter()
            .position(|sequence| sequence.call.ticket == ticket);
        if let Some(index) = found {
            let sequence = self.running.remove(index);
            let kept = sequence.call.prompt - sequence.prefill_left;
            let run = sequence.call.run;
            self.cache
                .finish(run, sequence.reserved, kept, sequence.shared, now);
        }
        found.is_some() || self.waiting.len() < waiting
    }

    /// Calls that run, and calls that wait for memory.
    pub fn load(&self) -> (u32, u32) {
        (self.running.len() as u32, self.waiting.len() as u32)
    }

    /// Begins a step if none is under way and there is work.
    pub fn begin_step(&mut self, now: u64) -> Option<Step> {
        if self.stepping {
            return None;
        }
        let admitted = self.admit(now);
        if self.running.is_empty() {
            return None;
        }
        self.stepping = true;
        let prefilled = self.prefill();
        let generating = self
            .running
            .iter()
            .filter(|sequence| sequence.prefill_left == 0);
        let micros = self.settings.step_micros
            + self.settings.sequence_micros * generating.count() as f64
            + self.settings.prefill_micros * prefilled as f64;
        Some(Step {
            takes: Duration::from_micros(micros as u64),
            admitted,
        })
    }

    /// Ends the step; returns the calls that are complete.
    pub fn end_step(&mut self, now: u64) -> Vec<EndedCall> {
        self.stepping = false;
        let mut ended = Vec::new();
        let mut index = 0;
        while index < self.running.len() {
            let sequence = &mut self.running[index];
            if sequence.prefill_left == 0 {
                sequence.generated += 1;
            }
            if sequence.generated < sequence.call.output {
                index += 1;
                continue;
            }
            let sequence = self.running.remove(index);
            ended.push(self.finish(sequence, now));
        }
        ended
    }

    fn finish(&mut self, sequence: Sequence, now: u64) -> EndedCall {
        let usage = TokenUsage {
            prompt: sequence.call.prompt,
            cached: sequence.cached,
            output: sequence.generated,
        };
        let kept = usage.prompt + usage.output;
        let run = sequence.call.run;
        self.cache
            .finish(run, sequence.reserved, kept, sequence.shared, now);
        EndedCall {
            call: sequence.call,
            usage,
        }
    }

    fn admit(&mut self, now: u64) -> Vec<Ticket> {
        let mut admitted = Vec::new();
        while self.running.len() < self.settings.slots as usize {
            let Some(call) = self.waiting.front() else {
                break;
            };
            let (cached, shared) = self.cached_tokens(call);
            let shared_tokens = shared.map_or(0, |shared| shared.tokens);
            let reserved = call.prompt + call.max_output - shared_tokens;
            if !self.cache.start(call.run, reserved, now) {
                break;
            }
            let Some(call) = self.waiting.pop_front() else {
                break;
            };
            if let Some(shared) = shared {
                self.cache.touch(shared.run, now);
            }
            admitted.push(call.ticket);
            self.running.push(Sequence {
                cached,
                shared,
                reserved,
                prefill_left: call.prompt - cached,
                generated: 0,
                call,
            });
        }
        admitted
    }

    /// Tokens of the prompt that are cached, and the part that stays shared with a parent run.
    fn cached_tokens(&self, call: &EngineCall) -> (u64, Option<SharedPrefix>) {
        let most = call.prompt.saturating_sub(1);
        let own = self.cache.tokens_of(call.run);
        if own > 0 {
            return (own.min(most), self.cache.shared_of(call.run));
        }
        let Some(inherited) = call.inherited else {
            return (0, None);
        };
        let held = self.cache.tokens_of(inherited.run);
        let tokens = held.min(inherited.tokens).min(most);
        let run = inherited.run;
        let shared = (tokens > 0).then_some(SharedPrefix { run, tokens });
        (tokens, shared)
    }

    /// Spends one chunk on the prompts that are not prefilled; returns the tokens spent.
    fn prefill(&mut self) -> u64 {
        let mut left = self.settings.prefill_chunk;
        for sequence in &mut self.running {
            let spent = sequence.prefill_left.min(left);
            sequence.prefill_left -= spent;
            left -= spent;
        }
        self.settings.prefill_chunk - left
    }
}
