//! Writes what a stand-in did to the recorded history that checkers read.
//!
//! The file, its clock and what survives a crash are those of [`ridgeworks_history::writer`].

use std::io;
use std::path::Path;

use ridgeworks_domain::{CallKey, Cost, RunId, Sequence};
use ridgeworks_history::HistoryWriter;
use serde::Serialize;

/// What a stand-in records. Beside what [`ridgeworks_history::Event`] reads it has events and fields for
/// people and tests, and names that need not be identifiers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum HistoryEvent {
    /// An engine took an attempt into its batch.
    AttemptStarted {
        /// The stand-in's name.
        backend: String,
        /// The run.
        run: RunId,
        /// The call.
        call: CallKey,
        /// Number of the attempt.
        attempt: u32,
    },
    /// A call took effect.
    BackendExecuted {
        /// The stand-in's name.
        backend: String,
        /// The run.
        run: RunId,
        /// The call.
        call: CallKey,
        /// Number of the attempt.
        attempt: u32,
        /// The call's position in its run.
        sequence: Option<Sequence>,
        /// What the call cost.
        cost: Cost,
        /// Digest of the answer: a model's message content, a tool's whole body.
        answer_digest: String,
        /// Calls whose answers the request held, in order; none where the service takes no history.
        #[serde(skip_serializing_if = "Option::is_none")]
        prior_calls: Option<Vec<CallKey>>,
        /// When the execution began, where that is not the event's own time.
        #[serde(skip_serializing_if = "Option::is_none")]
        started_at_us: Option<u64>,
        /// Whether the execution was cut short by a cancellation.
        cancelled: bool,
    },
    /// An engine began to hold the context of a run.
    ContextHeld {
        /// The stand-in's name.
        backend: String,
        /// The run.
        run: RunId,
        /// Size of the context.
        tokens: u64,
    },
    /// An engine holds the context of a run no longer.
    ContextReleased {
        /// The stand-in's name.
        backend: String,
        /// The run.
        run: RunId,
        /// Size of the context.
        tokens: u64,
    },
    /// The platform published that a machine leaves.
    BackendLeaving {
        /// The machine's name.
        backend: String,
    },
}

/// Records events of one process in a history file, or drops them where none is wanted.
#[derive(Debug)]
pub struct Recorder {
    by: String,
    writer: Option<HistoryWriter>,
}

impl Recorder {
    /// A recorder for the process called `by`; without a path nothing is recorded.
    pub fn open(by: &str, path: Option<&Path>) -> io::Result<Self> {
        let writer = path.map(|path| HistoryWriter::append(path, by));
        Ok(Self {
            by: by.to_owned(),
            writer: writer.transpose()?,
        })
    }

    /// The name of the process that writes.
    pub fn by(&self) -> &str {
        &self.by
    }

    /// Records one event.
    ///
    /// # Panics
    /// Panics when the file can't be written: a history with holes would prove nothing.
    pub fn record(&self, event: &HistoryEvent) {
        let Some(writer) = &self.writer else { return };
        writer
            .write(event)
            .expect("the history file takes every line");
    }
}

/// Digest of an answer as the history carries it: xxh3-64 in hexadecimal.
pub fn digest(bytes: &[u8]) -> String {
    format!("{:016x}", xxhash_rust::xxh3::xxh3_64(bytes))
}
