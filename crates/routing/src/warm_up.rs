//! Engines that have just started bear less than others until they are warm.

use rkyv::{Archive, Deserialize, Serialize};

/// What the engines of a service bear while they warm up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct WarmUpLimit {
    /// Requests in a thousand seconds.
    pub per_ks: u64,
    /// How long an engine warms up after its start, in milliseconds, where it does not say.
    pub lasts_ms: u64,
}
