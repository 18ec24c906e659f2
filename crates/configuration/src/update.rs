//! The form in which a configuration travels, rests on disk and stands in the platform's store:
//! the whole of it, or what changed since a revision.
#![allow(
    missing_docs,
    reason = "the resolvers that rkyv derives carry undocumented fields"
)]

use rkyv::{Archive, Deserialize, Serialize};

use crate::object::{ObjectKey, VersionedObject};
use crate::revision::{OperationId, Revision};

/// Changes whose operation ids a configuration remembers. A lost answer can be resolved, and a
/// delta can be made, as long as no more changes than this have followed.
pub const REMEMBERED_OPERATIONS: usize = 256;

/// Which operation made which revision, and which object it touched.
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
    /// The operator's name of the change.
    pub operation: OperationId,
    /// The revision it made.
    pub revision: Revision,
    /// The object it touched.
    pub key: ObjectKey,
}

/// A configuration, or the difference between two revisions of it.
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
    /// The revision this difference starts from; `None` for the whole configuration.
    pub base: Option<Revision>,
    /// The revision it leads to.
    pub revision: Revision,
    /// Objects created or changed.
    pub objects: Vec<VersionedObject>,
    /// Objects deleted; empty for the whole configuration.
    pub removed: Vec<ObjectKey>,
    /// Newest operations in order of their revisions: since `base`, or all that are remembered.
    pub operations: Vec<OperationRecord>,
}

/// Why a document of the platform's store could not be read.
#[derive(Debug)]
pub enum DocumentError {
    /// It is not the JSON of a configuration.
    Malformed(serde_json::Error),
    /// It is a difference where the whole configuration belongs.
    NotWhole,
}

impl Update {
    /// The JSON document for the platform's store.
    pub fn to_document(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a configuration has only string keys and plain values")
    }

    /// Reads a document of the platform's store.
    pub fn from_document(document: &[u8]) -> Result<Self, DocumentError> {
        let update: Self = serde_json::from_slice(document).map_err(DocumentError::Malformed)?;
        match update.base {
            None => Ok(update),
            Some(_) => Err(DocumentError::NotWhole),
        }
    }
}
