//! The records of a history file, one JSON object a line.
//!
//! Unknown fields are ignored and unknown events become [`Event::Other`], so that other writers
//! may add their own. Digests are xxh3-64 in hexadecimal of the whole body.

use ridgeworks_domain::{BackendName, CallKey, Cost, PartnerName, RunId, Sequence, ServiceName};
use serde::{Deserialize, Deserializer, Serialize};

/// One line of a history file. Writers whose events have fields of their own put these in place of
/// [`Event`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record<E = Event> {
    /// Microseconds on the shared clock.
    pub at_us: u64,
    /// Name of the process that wrote the record.
    pub by: String,
    /// What happened.
    #[serde(flatten)]
    pub event: E,
}

/// How a call ended, as its client heard it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The whole answer arrived.
    Ok,
    /// The call was refused and did not run.
    NotRun,
    /// The call may have run.
    Unknown,
}

/// How a configuration operation ended, as its operator heard it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigOutcome {
    /// The change is accepted, or the read was answered.
    Accepted,
    /// The operation had no effect.
    Rejected,
    /// The operation may have taken effect.
    Unknown,
}

/// What a record tells.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A client opened a run; written when it heard so.
    RunOpened {
        /// The run.
        run: RunId,
        /// Owner of the run.
        partner: PartnerName,
        /// Hard limit of the run's spending.
        budget: Cost,
    },
    /// A client closed a run; written when it heard so.
    RunClosed {
        /// The run.
        run: RunId,
        /// Owner of the run.
        partner: PartnerName,
    },
    /// A run ended without being closed; an addition to the documented events.
    RunAbandoned {
        /// The run.
        run: RunId,
    },
    /// A client sends a call; written before the first byte leaves.
    CallInvoked {
        /// The run.
        run: RunId,
        /// The call's key.
        call: CallKey,
        /// The call's position in the run.
        sequence: Sequence,
        /// Where the call goes.
        service: ServiceName,
        /// Whether a second execution does no harm.
        repeatable: bool,
        /// Upper bound of the call's cost.
        reserve: Cost,
        /// Digest of the request's body.
        request_digest: String,
    },
    /// A client heard the end of a call.
    CallAnswered {
        /// The run.
        run: RunId,
        /// The call's key.
        call: CallKey,
        /// How the call ended.
        outcome: Outcome,
        /// Digest of the answer's body; present when the outcome is ok.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        answer_digest: Option<String>,
        /// Milliseconds after which coming back helps; only when the outcome is not-run.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        retry_after_ms: Option<u64>,
    },
    /// A back end executed a call.
    BackendExecuted {
        /// The back end.
        backend: BackendName,
        /// The run.
        run: RunId,
        /// The call's key.
        call: CallKey,
        /// Number of the attempt.
        attempt: u64,
        /// The call's position in the run.
        sequence: Sequence,
        /// What the back end counted.
        cost: Cost,
        /// Digest of the answer's body.
        answer_digest: String,
        /// Calls of the history that the back end was given, in order; absent where the service
        /// takes no history.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        prior_calls: Option<Vec<CallKey>>,
        /// When the execution started, where that is not `at_us`; an additional field.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        started_at_us: Option<u64>,
    },
    /// A client read a run's history; `at_us` is when the answer came.
    HistoryRead {
        /// The run.
        run: RunId,
        /// Answered calls, in order.
        calls: Vec<CallKey>,
        /// Digests of their answers, in the same order.
        answer_digests: Vec<String>,
        /// When the read was sent.
        invoked_at_us: u64,
    },
    /// An engine holds the context of a run.
    ContextHeld {
        /// The engine.
        backend: BackendName,
        /// The run.
        run: RunId,
        /// Size of the context in tokens.
        #[serde(default)]
        tokens: u64,
    },
    /// An engine no longer holds the context of a run.
    ContextReleased {
        /// The engine.
        backend: BackendName,
        /// The run.
        run: RunId,
        /// Size of the context in tokens.
        #[serde(default)]
        tokens: u64,
    },
    /// The platform published that a back end is leaving.
    BackendLeaving {
        /// The back end.
        backend: BackendName,
    },
    /// An operator sends a configuration operation.
    ConfigInvoked {
        /// Kind of the operation and its identifier; see [`crate::checks::configuration`].
        operation: String,
        /// The object.
        key: String,
        /// The value written; absent for reads and deletions.
        #[serde(default, deserialize_with = "text_of_json")]
        #[serde(skip_serializing_if = "Option::is_none")]
        value: Option<String>,
    },
    /// An operator heard the end of a configuration operation.
    ConfigAnswered {
        /// As in the invocation.
        operation: String,
        /// The object.
        key: String,
        /// The value written or read; absent where the object does not exist.
        #[serde(default, deserialize_with = "text_of_json")]
        #[serde(skip_serializing_if = "Option::is_none")]
        value: Option<String>,
        /// How the operation ended.
        outcome: ConfigOutcome,
        /// Revision at which the change was accepted, or which the read showed.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        revision: Option<u64>,
    },
    /// A node's public status call showed this revision; `at_us` is when the answer came.
    ConfigInForce {
        /// The node.
        node: String,
        /// Revision in force on it.
        revision: u64,
        /// When the status call was sent.
        invoked_at_us: u64,
    },
    /// The driver asks a node to stop.
    NodeStopping {
        /// The node.
        node: String,
        /// Whether the node was asked to finish its work first.
        planned: bool,
    },
    /// The node's process is gone.
    NodeStopped {
        /// The node.
        node: String,
        /// Whether the stop was planned.
        planned: bool,
    },
    /// A fault begins.
    FaultOn {
        /// Kind of the fault.
        fault: String,
        /// Processes or links that it hits.
        #[serde(default)]
        targets: Vec<String>,
    },
    /// A fault ends.
    FaultOff {
        /// Kind of the fault.
        fault: String,
        /// Processes or links that it hit.
        #[serde(default)]
        targets: Vec<String>,
    },
    /// An event that this version does not know.
    #[serde(other)]
    Other,
}

impl Record {
    /// Moves every time of the record back by `start` microseconds.
    pub fn subtract_start(&mut self, start: u64) {
        self.at_us = self.at_us.saturating_sub(start);
        match &mut self.event {
            Event::HistoryRead { invoked_at_us, .. }
            | Event::ConfigInForce { invoked_at_us, .. } => {
                *invoked_at_us = invoked_at_us.saturating_sub(start);
            }
            Event::BackendExecuted {
                started_at_us: Some(started),
                ..
            } => *started = started.saturating_sub(start),
            _ => {}
        }
    }
}

/// Takes a string as it is and any other JSON value as its text.
fn text_of_json<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<String>, D::Error> {
    let value = Option::<serde_json::Value>::deserialize(deserializer)?;
    Ok(value.map(|value| match value {
        serde_json::Value::String(text) => text,
        other => other.to_string(),
    }))
}
