//! Which prompts this gateway had engines read lately, for the other gateways.
//!
//! Most turns of a session come through another gateway than the one before (`docs/design/decisions.md`,
//! "What binds"). A gateway that does not know where the earlier ones were read has them read again.

use std::collections::VecDeque;
use std::time::Duration;

use rkyv::{Archive, Deserialize, Serialize};

use crate::engine_load::EngineKey;
use crate::request::PromptPart;

/// Reads that are told at once, so that a heartbeat fits one packet.
const MAX_TOLD: usize = 24;
/// Parts of one prompt that are told.
const MAX_PARTS: usize = 8;

/// A prompt that an engine has read, or is about to read.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct PromptRead {
    /// Key of the engine.
    pub engine: u64,
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
}

/// The newest reads. Times are since the start of the process.
#[derive(Debug, Clone, Default)]
pub struct RecentReads {
    reads: VecDeque<(Duration, PromptRead)>,
}

impl RecentReads {
    /// An engine is about to read a prompt. Prompts of very many parts are nobody else's.
    pub fn push(&mut self, engine: EngineKey, parts: &[PromptPart], now: Duration) {
        if parts.is_empty() || parts.len() > MAX_PARTS {
            return;
        }
        if self.reads.len() == MAX_TOLD {
            self.reads.pop_front();
        }
        let read = PromptRead {
            engine: engine.0,
            parts: parts.to_vec(),
        };
        self.reads.push_back((now, read));
    }

    /// The reads since a moment.
    pub fn since(&self, since: Duration) -> Vec<PromptRead> {
        let newest = self.reads.iter().rev();
        let told = newest.take_while(|(at, _)| *at >= since);
        told.map(|(_, read)| read.clone()).collect()
    }
}
