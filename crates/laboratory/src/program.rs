//! Programs: turns one after the other, each with all before it in its prompt.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use ridgeworks_routing::PromptPart;

use crate::deployment::Deployment;

/// Shared beginnings of prompts.
const SHARED_PARTS: u64 = 4;
/// Hashes of sessions' own parts begin here.
const FIRST_SESSION: u64 = 1_000;
/// Pause after a turn, in milliseconds.
const PAUSE_MS: std::ops::Range<f64> = 100.0..600.0;

/// One turn.
#[derive(Debug, Clone, Copy)]
pub struct TurnPlan {
    /// New tokens of the prompt.
    pub new_tokens: u64,
    /// Events of the answer.
    pub events: u32,
    /// Pause after it, in milliseconds.
    pub pause_ms: f64,
}

/// One program on its way.
#[derive(Debug, Clone)]
pub struct Program {
    /// Its number.
    pub number: u64,
    /// Its turns.
    pub turns: Vec<TurnPlan>,
    /// The turn that is next or under way.
    pub at: usize,
    /// How often the turn has failed.
    pub failures: u32,
    /// Gateway of its last turn.
    pub gateway: usize,
    /// When it began, in milliseconds.
    pub began_ms: f64,
    shared: PromptPart,
    session_tokens: u64,
}

impl Program {
    /// A program that begins now.
    pub fn drawn(
        number: u64,
        deployment: &Deployment,
        now_ms: f64,
        random: &mut ChaCha8Rng,
    ) -> Self {
        let turns = (deployment.turns * random.random_range(0.5..1.5))
            .round()
            .max(1.0);
        let turns = (0..turns as usize).map(|_| TurnPlan {
            new_tokens: (deployment.new_tokens * random.random_range(0.2..1.8)) as u64,
            events: (deployment.events * random.random_range(0.5..1.5)).max(2.0) as u32,
            pause_ms: random.random_range(PAUSE_MS),
        });
        Self {
            number,
            turns: turns.collect(),
            at: 0,
            failures: 0,
            gateway: random.random_range(0..deployment.gateways),
            began_ms: now_ms,
            shared: PromptPart {
                hash: random.random_range(0..SHARED_PARTS),
                tokens: deployment.shared_tokens,
            },
            session_tokens: 0,
        }
    }

    /// The turn that is next or under way.
    pub fn turn(&self) -> TurnPlan {
        self.turns[self.at]
    }

    /// The next turn's prompt; the first time, its input comes in.
    pub fn prompt(&mut self) -> [PromptPart; 2] {
        if self.failures == 0 {
            self.session_tokens += self.turn().new_tokens;
        }
        let own = PromptPart {
            hash: FIRST_SESSION + self.number,
            tokens: self.session_tokens,
        };
        [self.shared, own]
    }

    /// Its time on idle engines that hold the shared part, in milliseconds.
    pub fn idle_ms(&self, deployment: &Deployment) -> f64 {
        let turns = self.turns.iter().map(|turn| {
            let read_ms = turn.new_tokens as f64 / deployment.spec.tokens_per_ms;
            read_ms + f64::from(turn.events) * deployment.event_ms(1) + turn.pause_ms
        });
        turns.sum()
    }
}
