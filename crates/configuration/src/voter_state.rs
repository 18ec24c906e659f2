//! Durable state of a voter.
//!
//! It consists of a snapshot of the newest revision that the voter acknowledged, and whether the
//! voter is eligible. All other state of a voter is rebuilt after a restart.
#![allow(
    missing_docs,
    reason = "the resolvers that rkyv derives carry undocumented fields"
)]

use rkyv::{Archive, Deserialize, Serialize};

use crate::update::Update;

/// The durable state of a voter. Each write replaces it completely.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct StoredVoter {
    /// Snapshot of the configuration.
    pub whole: Update,
    /// Whether the voter is eligible: it holds every revision that it ever acknowledged. False after
    /// the loss of its disk until it has recovered.
    pub vouches: bool,
}

/// The stored bytes are not the state of a voter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CorruptVoterState;

impl StoredVoter {
    /// The bytes to store.
    pub fn to_bytes(&self) -> Vec<u8> {
        rkyv::to_bytes::<rkyv::rancor::Error>(self)
            .expect("serializing into memory does not fail")
            .to_vec()
    }

    /// Reads stored bytes. On an error, the host starts the role without stored state.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, CorruptVoterState> {
        rkyv::from_bytes::<Self, rkyv::rancor::Error>(bytes).map_err(|_| CorruptVoterState)
    }
}
