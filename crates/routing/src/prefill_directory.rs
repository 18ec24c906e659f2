//! Where prompts were read last: the part of that knowledge which one gateway keeps for all.
//!
//! Most turns of a session come through another gateway than the one before. A gateway that does not know
//! where the earlier ones were read has them read again. So each prompt has a directory node among the
//! gateways, by a hash of its last part: it is told of each reading, and asked before the next one
//! (`docs/design/decisions.md`, "Sessions that change gateways"). Nothing is agreed on; an entry that is
//! missing or old costs a reading.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use rkyv::{Archive, Deserialize, Serialize};

use crate::request::PromptPart;

/// Parts of one prompt that are told; prompts of more are nobody else's concern.
const MAX_PARTS: usize = 8;
/// Entries of one directory node.
const MAX_ENTRIES: usize = 4_096;
/// How long an entry is kept; a session that pauses for longer has mostly lost its place at the engine.
const ENTRY_LIFETIME: Duration = Duration::from_secs(20);
/// Stands in place of the first part where an engine has failed the prompt. A gateway that does not know it takes it for a part of no
/// tokens, which costs nothing.
const FAILURE_MARKER: PromptPart = PromptPart {
    hash: 0x9a3f_51c7_2ed8_064b,
    tokens: 0,
};

/// A prompt that an engine has read, or is about to read.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct PrefillRecord {
    /// Key of the engine.
    pub engine: u64,
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
}

impl PrefillRecord {
    /// What is told of a prompt that an engine has failed: whoever gets the client's next try asks for it, and leaves the engine out.
    /// `None` for prompts that are not told, and for those that have no part of their own.
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

    /// Whether the engine has failed the prompt.
    pub fn is_failure(&self) -> bool {
        self.parts.len() > 1 && self.parts.first() == Some(&FAILURE_MARKER)
    }

    /// The last part's hash, by which the read is kept; `None` for prompts that are not told.
    pub fn key(&self) -> Option<u64> {
        let last = self.parts.last()?;
        (self.parts.len() <= MAX_PARTS).then_some(last.hash)
    }
}

/// The reads that this gateway keeps for all. Times are since the start of the process.
#[derive(Debug, Clone, Default)]
pub struct PrefillDirectory {
    records: HashMap<u64, (Duration, PrefillRecord)>,
    /// Keys with the time at which they were written, oldest first; some have been written again since.
    order: VecDeque<(Duration, u64)>,
}

impl PrefillDirectory {
    /// Takes in a read in place of an earlier one with the same last part. A failure of an engine that was not the last one to get the
    /// prompt comes late, and is nobody's concern any more.
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

    /// The last read with this last part.
    pub fn find(&self, key: u64, now: Duration) -> Option<&PrefillRecord> {
        let (at, record) = self.records.get(&key)?;
        (now.saturating_sub(*at) < ENTRY_LIFETIME).then_some(record)
    }

    /// Number of reads.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn expire(&mut self, now: Duration) {
        while let Some((at, key)) = self.order.front().copied() {
            let is_expired = now.saturating_sub(at) >= ENTRY_LIFETIME;
            if !is_expired && self.order.len() < MAX_ENTRIES {
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
