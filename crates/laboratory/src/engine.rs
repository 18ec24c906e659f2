//! An engine that batches continuously and caches prompts, as the users' pages describe it.

use std::collections::{BTreeMap, HashMap, VecDeque};

use ridgeworks_routing::PromptPart;

use crate::deployment::{Deployment, EngineSpec};

/// What a request that fails loses, in milliseconds, for the policy that knows everything.
const FAILURE_MS: f64 = 10_000.0;
/// Prompt tokens read between two steps.
const CHUNK_TOKENS: u64 = 2_048;

/// A turn at an engine.
#[derive(Debug, Clone)]
pub struct Job {
    /// Number of its program.
    pub program: u64,
    /// Its prompt.
    pub prompt: [PromptPart; 2],
    /// Events that it makes.
    pub events: u32,
}

struct Running {
    program: u64,
    unread: u64,
    events_left: u32,
}

impl Running {
    fn make_event(&mut self, is_first: bool) -> Made {
        self.events_left -= 1;
        Made {
            program: self.program,
            is_first,
            is_last: self.events_left == 0,
        }
    }
}

/// What an engine has made.
#[derive(Debug, Clone, Copy)]
pub struct Made {
    /// The program.
    pub program: u64,
    /// Whether this is its turn's first event.
    pub is_first: bool,
    /// Whether this is its turn's last event.
    pub is_last: bool,
}

/// Parts of prompts in memory; those unused longest give way.
#[derive(Default)]
struct Memory {
    parts: HashMap<u64, (u64, u64)>,
    by_use: BTreeMap<u64, u64>,
    tokens: u64,
    uses: u64,
}

impl Memory {
    fn missing(&self, prompt: &[PromptPart]) -> u64 {
        let mut held = 0;
        for part in prompt {
            let of_part = self.parts.get(&part.hash).map_or(0, |(tokens, _)| *tokens);
            held += of_part.min(part.tokens);
            if of_part < part.tokens {
                break;
            }
        }
        prompt.iter().map(|part| part.tokens).sum::<u64>() - held
    }

    fn insert(&mut self, part: PromptPart, capacity: u64) {
        self.uses += 1;
        let earlier = self.parts.insert(part.hash, (part.tokens, self.uses));
        if let Some((tokens, used)) = earlier {
            self.by_use.remove(&used);
            self.tokens -= tokens;
        }
        self.by_use.insert(self.uses, part.hash);
        self.tokens += part.tokens;
        while self.tokens > capacity
            && let Some((_, oldest)) = self.by_use.pop_first()
        {
            let gone = self.parts.remove(&oldest);
            self.tokens -= gone.map_or(0, |(tokens, _)| tokens);
        }
    }
}

/// One engine.
pub struct Engine {
    spec: EngineSpec,
    stride: u32,
    slowness: f64,
    failing: f64,
    memory: Memory,
    running: Vec<Running>,
    queue: VecDeque<Job>,
    /// Prompt tokens read so far.
    pub tokens_read: u64,
}

impl Engine {
    /// Engine `index` of a deployment.
    pub fn new(deployment: &Deployment, index: usize) -> Self {
        Self {
            spec: deployment.spec,
            stride: deployment.stride,
            slowness: deployment.slowness[index],
            failing: deployment.failing[index],
            memory: Memory::default(),
            running: Vec::new(),
            queue: VecDeque::new(),
            tokens_read: 0,
        }
    }

    /// Requests in a batch.
    pub fn slots(&self) -> u32 {
        u32::try_from(self.spec.slots).unwrap_or(u32::MAX)
    }

    /// Whether it has nothing to do.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queue.is_empty()
    }

    /// A turn comes in.
    pub fn push(&mut self, job: Job) {
        self.queue.push_back(job);
    }

    /// Admits what has room and begins the next round of its batch; gives its time in milliseconds.
    pub fn begin_round(&mut self) -> f64 {
        while self.running.len() < self.spec.slots
            && let Some(job) = self.queue.pop_front()
        {
            self.admit(job);
        }
        let chunk = self.next_chunk();
        let decoding = self.running.iter().filter(|run| run.unread == 0).count();
        let step = self.spec.step_ms + self.spec.growth_ms * decoding as f64;
        let steps = if decoding > 0 { self.stride } else { 1 };
        let read_ms = chunk as f64 / self.spec.tokens_per_ms;
        self.slowness * (f64::from(steps) * step + read_ms)
    }

    /// Ends the round: a chunk of a prompt is read, and each request of the batch has made an event.
    pub fn end_round(&mut self) -> Vec<Made> {
        let chunk = self.next_chunk();
        let mut made = Vec::new();
        for run in &mut self.running {
            if run.unread == 0 {
                made.push(run.make_event(false));
            }
        }
        if let Some(reading) = self.running.iter_mut().find(|run| run.unread > 0) {
            reading.unread -= chunk;
            if reading.unread == 0 {
                made.push(reading.make_event(true));
            }
        }
        self.running.retain(|run| run.events_left > 0);
        made
    }

    /// What a turn with this prompt costs all that are here, itself included, in milliseconds. Only the
    /// policy that knows everything may look.
    pub fn exact_cost_ms(&self, prompt: &[PromptPart]) -> f64 {
        let unread: u64 = self.running.iter().map(|run| run.unread).sum();
        let queued: u64 = self
            .queue
            .iter()
            .map(|job| self.memory.missing(&job.prompt))
            .sum();
        let missing = self.memory.missing(prompt) as f64;
        let open = self.running.len() + self.queue.len();
        let batch = open.min(self.spec.slots) as f64;
        let waiting = (open + 1).saturating_sub(self.spec.slots) as f64;
        let turn_ms =
            f64::from(self.stride) * 10.0 * (self.spec.step_ms + self.spec.growth_ms * batch);
        let read_ms =
            ((unread + queued) as f64 + missing * (1.0 + batch)) / self.spec.tokens_per_ms;
        let growth_ms = 2.0 * batch * self.spec.growth_ms * f64::from(self.stride) * 10.0;
        let queue_ms = waiting * turn_ms / self.spec.slots as f64;
        let lost_ms = self.failing * FAILURE_MS;
        lost_ms + self.slowness * (read_ms + growth_ms + queue_ms + turn_ms)
    }

    fn admit(&mut self, job: Job) {
        // The last token is always read, so that there is something to go on from.
        let unread = self.memory.missing(&job.prompt).max(1);
        self.tokens_read += unread;
        for part in job.prompt {
            self.memory.insert(part, self.spec.memory_tokens);
        }
        self.running.push(Running {
            program: job.program,
            unread,
            events_left: job.events,
        });
    }

    fn next_chunk(&self) -> u64 {
        let reading = self.running.iter().find(|run| run.unread > 0);
        reading.map_or(0, |run| run.unread.min(CHUNK_TOKENS))
    }
}
