//! What a voter keeps on its disk.
//!
//! Survives a crash: the newest revision that the voter acknowledged, whole, and whether the voter
//! vouches for it. Everything else of a voter is learnt again.
#![allow(
    missing_docs,
    reason = "the resolvers that rkyv derives carry undocumented fields"
)]

use rkyv::{Archive, Deserialize, Serialize};

use crate::update::Update;

/// The durable state of a voter, one value that each write replaces.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct StoredVoter {
    /// The whole configuration.
    pub whole: Update,
    /// Whether the voter knows every revision that it ever acknowledged. False after a lost disk.
    pub vouches: bool,
}

/// Why stored bytes are not the state of a voter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CorruptVoterState;

impl StoredVoter {
    /// The bytes to store.
    pub fn to_bytes(&self) -> Vec<u8> {
        rkyv::to_bytes::<rkyv::rancor::Error>(self)
            .expect("serializing into memory does not fail")
            .to_vec()
    }

    /// Reads stored bytes. A host that finds them corrupt starts the role with no state.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, CorruptVoterState> {
        rkyv::from_bytes::<Self, rkyv::rancor::Error>(bytes).map_err(|_| CorruptVoterState)
    }
}
