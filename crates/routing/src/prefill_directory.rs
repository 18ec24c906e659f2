//! A directory of the engines that last prefilled each prompt, sharded over the gateways.
//!
//! Most turns of a session arrive at another gateway than the turn before. Without the directory, such a
//! gateway would not know which engine has cached the prompt and would have it prefilled again. Each prompt
//! has a directory node among the gateways, by the hash of its last part. Gateways report each prefill to
//! that node and ask it before the next one (`docs/design/decisions.md`, "Sessions that change gateways").
//! There is no consensus: a missing or outdated record costs one prefill.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use rkyv::{Archive, Deserialize, Serialize};

use crate::request::PromptPart;

/// Prompts with more parts are not recorded.
const MAX_PARTS: usize = 8;
/// Maximum number of writes that one directory node remembers, and so of its records. A record that was
/// written again counts once for each write.
const MAX_RECORDS: usize = 4_096;
/// Older records are dropped. A session that pauses longer has mostly lost its place in the engine's prompt
/// cache.
const RECORD_LIFETIME: Duration = Duration::from_secs(20);
/// Replaces the first part in the record of a failure. A gateway that does not know the marker sees a part
/// without tokens, which has no effect.
const FAILURE_MARKER: PromptPart = PromptPart {
    hash: 0x9a3f_51c7_2ed8_064b,
    tokens: 0,
};

/// A prompt that an engine has prefilled or is about to prefill.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct PrefillRecord {
    /// Value of the engine's [`EngineKey`](crate::EngineKey).
    pub engine: u64,
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
}

impl PrefillRecord {
    /// A record that an engine failed to serve a prompt. The gateway that receives the client's retry finds
    /// it and excludes the engine. `None` for prompts with more than `MAX_PARTS` parts, or with fewer than
    /// two: a single part may be shared by several sessions.
    pub fn failed(engine: u64, parts: &[PromptPart]) -> Option<Self> {
        let [_, .., last] = parts else {
            return None;
        };
        let last = PromptPart {
            hash: last.hash,
            tokens: 0,
        };
        let failed = Self {
            engine,
            parts: vec![FAILURE_MARKER, last],
        };
        (parts.len() <= MAX_PARTS).then_some(failed)
    }

    pub fn is_failure(&self) -> bool {
        self.parts.len() > 1 && self.parts.first() == Some(&FAILURE_MARKER)
    }

    /// Hash of the last part, under which the record is stored; `None` for prompts with too many parts.
    pub fn key(&self) -> Option<u64> {
        let last = self.parts.last()?;
        (self.parts.len() <= MAX_PARTS).then_some(last.hash)
    }
}

/// The records of one directory node. Times are since the start of the process.
#[derive(Debug, Clone, Default)]
pub struct PrefillDirectory {
    records: HashMap<u64, (Duration, PrefillRecord)>,
    /// Keys with the times at which they were written, oldest first; some have been written again since.
    order: VecDeque<(Duration, u64)>,
}

impl PrefillDirectory {
    /// Replaces the record with the same last part. A failure of an engine that is not in the current record
    /// is late and ignored.
    pub fn insert(&mut self, record: PrefillRecord, now: Duration) {
        let Some(key) = record.key() else {
            return;
        };
        self.expire(now);
        let last = self.records.get(&key).map(|(_, last)| last.engine);
        if record.is_failure() && last.is_some_and(|engine| engine != record.engine) {
            return;
        }
        self.records.insert(key, (now, record));
        self.order.push_back((now, key));
    }

    /// The newest record with this last part.
    pub fn find(&self, key: u64, now: Duration) -> Option<&PrefillRecord> {
        let (at, record) = self.records.get(&key)?;
        (now.saturating_sub(*at) < RECORD_LIFETIME).then_some(record)
    }

    pub fn len(&self) -> usize {
        self.records.len()
    }

    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn expire(&mut self, now: Duration) {
        while let Some((at, key)) = self.order.front().copied() {
            let is_expired = now.saturating_sub(at) >= RECORD_LIFETIME;
            if !is_expired && self.order.len() < MAX_RECORDS {
                return;
            }
            self.order.pop_front();
            if self
                .records
                .get(&key)
                .is_some_and(|(inserted_at, _)| *inserted_at == at)
            {
                self.records.remove(&key);
            }
        }
    }
}
