//! Writes what a stand-in did to the recorded history that checkers read.
//!
//! One JSON object a line, appended and handed to the operating system at once, so that a killed
//! process loses no line. Times are microseconds of the machine's monotonic clock, which all
//! processes of one machine share.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;

use ridgeworks_domain::{CallKey, Cost, RunId, Sequence};
use rustix::time::{ClockId, clock_gettime};
use serde::Serialize;

/// What a stand-in records.
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

#[derive(Serialize)]
struct Line<'a> {
    at_us: u64,
    by: &'a str,
    #[serde(flatten)]
    event: &'a HistoryEvent,
}

/// Appends events of one process to a history file, or drops them where none is wanted.
#[derive(Debug)]
pub struct HistoryWriter {
    by: String,
    file: Option<Mutex<File>>,
}

impl HistoryWriter {
    /// A writer for the process called `by`; without a path nothing is recorded.
    pub fn open(by: &str, path: Option<&Path>) -> io::Result<Self> {
        let file = match path {
            Some(path) => Some(Mutex::new(
                OpenOptions::new().create(true).append(true).open(path)?,
            )),
            None => None,
        };
        Ok(Self {
            by: by.to_owned(),
            file,
        })
    }

    /// The name of the process that writes.
    pub fn by(&self) -> &str {
        &self.by
    }

    /// Appends one event.
    ///
    /// # Panics
    /// Panics when the file can't be written: a history with holes would prove nothing.
    pub fn record(&self, event: &HistoryEvent) {
        let Some(file) = &self.file else { return };
        let mut file = file.lock().expect("a history line was not written whole");
        let line = Line {
            at_us: monotonic_micros(),
            by: &self.by,
            event,
        };
        let mut bytes = serde_json::to_vec(&line).expect("history events have a JSON form");
        bytes.push(b'\n');
        file.write_all(&bytes)
            .expect("the history file takes every line");
    }
}

/// Microseconds of the machine's monotonic clock (`CLOCK_MONOTONIC`).
pub fn monotonic_micros() -> u64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}

/// Digest of an answer as the history carries it: xxh3-64 in hexadecimal.
pub fn digest(bytes: &[u8]) -> String {
    format!("{:016x}", xxhash_rust::xxh3::xxh3_64(bytes))
}
