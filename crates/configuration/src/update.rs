//! The serialised form of a configuration in messages, on disk and in the platform's store: a
//! snapshot, or a delta since a revision.
#![allow(
    missing_docs,
    reason = "the resolvers that rkyv derives carry undocumented fields"
)]

use rkyv::{Archive, Deserialize, Serialize};

use crate::object::{ObjectKey, VersionedObject};
use crate::revision::{OperationId, Revision};

/// Number of most recent operations that a configuration records. A lost answer can be resolved, and
/// a delta can be computed, as long as no more changes than this have followed.
pub const MAX_RECORDED_OPERATIONS: usize = 256;

/// The revision that an operation created, and the object that it changed.
#[derive(
    Debug,
    Clone,
    PartialEq,
    Eq,
    Archive,
    Serialize,
    Deserialize,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct OperationRecord {
    /// Identifier of the change.
    pub operation: OperationId,
    /// The revision that it created.
    pub revision: Revision,
    /// The object that it changed.
    pub key: ObjectKey,
}

/// A snapshot of the configuration, or the delta between two revisions.
#[derive(
    Debug,
    Clone,
    PartialEq,
    Eq,
    Archive,
    Serialize,
    Deserialize,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct Update {
    /// The revision that the delta starts from; `None` for a snapshot.
    pub base: Option<Revision>,
    /// The revision that it results in.
    pub revision: Revision,
    /// Objects created or changed; all objects for a snapshot.
    pub objects: Vec<VersionedObject>,
    /// Objects deleted; empty for a snapshot.
    pub removed: Vec<ObjectKey>,
    /// Operations in order of their revisions: since `base`, or all recorded ones for a snapshot.
    pub operations: Vec<OperationRecord>,
}

/// Why a document of the platform's store could not be parsed.
#[derive(Debug)]
pub enum DocumentError {
    /// It is not JSON of an [`Update`].
    Malformed(serde_json::Error),
    /// It is a delta instead of a snapshot.
    NotWhole,
}

impl Update {
    /// Serialises the update as the JSON document for the platform's store.
    pub fn to_document(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a configuration has only string keys and plain values")
    }

    /// Parses a document of the platform's store, which must be a snapshot.
    pub fn from_document(document: &[u8]) -> Result<Self, DocumentError> {
        let update: Self = serde_json::from_slice(document).map_err(DocumentError::Malformed)?;
        match update.base {
            None => Ok(update),
            Some(_) => Err(DocumentError::NotWhole),
        }
    }
}
