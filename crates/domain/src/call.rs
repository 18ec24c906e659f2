//! A call of a run as it travels between the gateway, the run owner and the dispatcher.
#![allow(
    missing_docs,
    reason = "the resolvers that rkyv derives carry undocumented fields"
)]

use std::net::SocketAddr;

use rkyv::{Archive, Deserialize, Serialize};

use crate::identifiers::{CallKey, Sequence, ServiceName};
use crate::units::Cost;

/// What kind of back end serves a service.
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
    /// Notice services: as tools, with an effect outside (an offer, an alert).
    Notice,
}

/// One call as its caller sent it.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct CallRequest {
    /// The caller's key; a repeated request carries the same one.
    pub key: CallKey,
    /// Position in the run.
    pub sequence: Sequence,
    /// Where the call goes.
    pub service: ServiceName,
    /// Whether a second execution does no harm.
    pub repeatable: bool,
    /// Upper bound of what the call may cost.
    pub reserve: Cost,
    /// Time left until the caller stops waiting, in milliseconds from when the message was sent.
    pub deadline_ms: Option<u64>,
    /// Whether the caller wants the answer as a stream.
    pub stream: bool,
    /// Request body: for a model service the JSON array of the new chat messages and the sampling
    /// parameters; for a tool the JSON arguments.
    pub body: Vec<u8>,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum CallEnd {
    /// The back end answered; `answer` is its whole body and `spent` what it counted.
    Finished {
        /// The back end's whole answer.
        answer: Vec<u8>,
        /// What the back end counted, never above the reserve.
        spent: Cost,
    },
    /// The call did not run and can no longer run.
    NotRun,
    /// The call may have run; its answer is not to be had.
    Unknown,
}

/// Where an attempt was dispatched to: an address, and which start of the back end answered there.
///
/// A back end that was started anew has forgotten what its predecessor ran: its word that an attempt
/// never started holds only for an attempt that was dispatched to this same start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub struct BackendAddress {
    /// Socket address.
    pub socket: SocketAddr,
    /// Number of the start, as the back end publishes it; `None` while it is not known.
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
