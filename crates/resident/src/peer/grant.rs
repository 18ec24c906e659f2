//! Grants for requests to engines that warm up (`docs/design/warm-up.md`).
#![allow(
    missing_docs,
    reason = "the resolvers that rkyv derives carry undocumented fields"
)]

use ridgeworks_records::GroupId;
use rkyv::{Archive, Deserialize, Serialize};

/// Asks a limiter for permission to send a request to an engine that warms up.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The group whose voters share the engine's warm-up rate.
    pub group: GroupId,
    /// Instance of the engine.
    pub engine: String,
    /// Warm-up rate of the engine, in requests per 1,000 seconds.
    pub per_ks: u64,
    /// Version of the configuration that sets this rate.
    pub version: u64,
}

/// A limiter's decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum GrantReply {
    /// The request may be sent.
    Granted,
    /// This limiter's share of the rate is used up.
    Exhausted {
        /// Milliseconds until the next request can be granted.
        next_ms: u64,
        /// Milliseconds until this request can be granted, if all that were rejected before it are retried first.
        retry_ms: u64,
    },
    /// The node is not a voter of the group.
    NotMember,
}
