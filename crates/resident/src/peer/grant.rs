//! Grants for requests to engines that warm up (`docs/design/warm-up.md`).
#![allow(
    missing_docs,
    reason = "the resolvers that rkyv derives carry undocumented fields"
)]

use ridgeworks_records::GroupId;
use rkyv::{Archive, Deserialize, Serialize};

/// Asks a limiter whether a request may go to an engine that warms up.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The group whose voters share what the engine bears.
    pub group: GroupId,
    /// The engine's instance.
    pub engine: String,
    /// Requests that it bears in a thousand seconds.
    pub per_ks: u64,
    /// Version of the configuration that says so.
    pub version: u64,
}

/// What a limiter answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum GrantReply {
    /// The request may go there.
    Granted,
    /// Nothing is left here.
    Exhausted {
        /// Milliseconds until the next request can be granted.
        next_ms: u64,
        /// Milliseconds until this one can, if all that were turned away before come back first.
        retry_ms: u64,
    },
    /// The node is no voter of the group.
    NotMember,
}
