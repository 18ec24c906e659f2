//! A call of a run, as exchanged between the gateway, the run owner and the dispatcher.
#![allow(
    missing_docs,
    reason = "the resolvers that rkyv derives carry undocumented fields"
)]

use std::net::SocketAddr;

use rkyv::{Archive, Deserialize, Serialize};

use crate::identifiers::{CallKey, Sequence, ServiceName};
use crate::units::Cost;

/// Kind of back end that serves a service.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Archive,
    Serialize,
    Deserialize,
    serde::Serialize,
    serde::Deserialize,
)]
#[rkyv(derive(Debug, PartialEq, Eq))]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines that speak OpenAI-style HTTP with server-sent events.
    Model,
    /// Tool services that speak plain HTTP with JSON bodies.
    Tool,
    /// Notice services: same protocol as tool services, but a call has an external effect, such as sending
    /// an offer or an alert.
    Notice,
}

/// A call as received from the caller.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct CallRequest {
    /// Idempotency key chosen by the caller; a retry carries the same key.
    pub key: CallKey,
    /// Position in the run.
    pub sequence: Sequence,
    /// Service that the call is sent to.
    pub service: ServiceName,
    /// Whether the call may be executed more than once.
    pub repeatable: bool,
    /// Upper bound of the cost of the call.
    pub reserve: Cost,
    /// Time until the caller stops waiting, in milliseconds from the sending of the message; `None`
    /// without a deadline.
    pub deadline_ms: Option<u64>,
    /// Whether the caller requested a streamed answer.
    pub stream: bool,
    /// Request body: for a model service the JSON array of the new chat messages and the sampling
    /// parameters; for a tool the JSON arguments.
    pub body: Vec<u8>,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum CallEnd {
    /// The back end answered.
    Finished {
        /// Complete response body of the back end.
        answer: Vec<u8>,
        /// Cost reported by the back end, at most the reserve.
        spent: Cost,
    },
    /// The call did not run and cannot run later.
    NotRun,
    /// The call may have run; its answer cannot be obtained.
    Unknown,
}

/// Destination of an attempt: the address of a back end and the instance that ran there.
///
/// A restarted back end does not know the attempts of earlier instances. Its statement that an attempt
/// never started is valid only for an attempt that was dispatched to the same instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub struct BackendAddress {
    /// IP address and port of the back end.
    pub socket: SocketAddr,
    /// Instance number that the back end publishes, new at each start; `None` while unknown.
    pub instance: Option<u64>,
}

impl From<SocketAddr> for BackendAddress {
    fn from(socket: SocketAddr) -> Self {
        Self {
            socket,
            instance: None,
        }
    }
}
