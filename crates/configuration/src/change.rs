//! Changes that operators request, and their application to a configuration.

use ridgeworks_domain::PartnerName;
use ridgeworks_domain::objects::Share;

use crate::object::{ConfigurationObject, ObjectKey, ObjectKind};
use crate::ownership::{check_owner, check_same_owner};
use crate::pool_split::{consent, propose};
use crate::revision::{ObjectVersion, OperationId};
use crate::set::ConfigurationSet;
use crate::validation::{InvalidObject, check_unreferenced, validate};

/// The identity that requests a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Principal {
    /// An authenticated operator of this partner.
    Partner(PartnerName),
    /// The deployment itself, which may only create partners and the first pool split.
    Bootstrap,
}

/// One change. `expected` is the version that the operator read, or [`ObjectVersion::ABSENT`] to
/// create the object; at any other version the change is rejected as a conflict.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Creates or replaces an object.
    Put {
        /// The new content of the object.
        object: ConfigurationObject,
        /// The version that the operator expects the object to have.
        expected: ObjectVersion,
    },
    /// Deletes an object.
    Delete {
        /// Key of the object.
        key: ObjectKey,
        /// The version that the operator expects the object to have.
        expected: ObjectVersion,
    },
    /// Opens a proposal for the pool split; replaces an open one.
    Propose {
        /// The proposed shares.
        shares: Vec<Share>,
        /// The version that the operator expects the pool split to have, [`ObjectVersion::ABSENT`] if
        /// there is none.
        expected: ObjectVersion,
    },
    /// Consents to the proposal in this version of the pool split.
    Consent {
        /// The version that the operator expects the pool split to have.
        expected: ObjectVersion,
    },
}

impl Change {
    /// Key of the object that the change writes.
    pub fn key(&self) -> ObjectKey {
        match self {
            Self::Put { object, .. } => object.key(),
            Self::Delete { key, .. } => key.clone(),
            Self::Propose { .. } | Self::Consent { .. } => ObjectKey::pool_split(),
        }
    }

    /// The version at which the change applies.
    pub fn expected(&self) -> ObjectVersion {
        match self {
            Self::Put { expected, .. }
            | Self::Delete { expected, .. }
            | Self::Propose { expected, .. }
            | Self::Consent { expected } => *expected,
        }
    }
}

/// A change with its operation identifier and principal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeRequest {
    /// Identifier chosen by the operator, unique to this change; retries repeat it.
    pub operation: OperationId,
    /// The identity that requests the change.
    pub principal: Principal,
    /// The requested change.
    pub change: Change,
}

/// Why a change was rejected. A rejected change has no effect, now or later.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeError {
    /// The object is not at the expected version.
    Conflict {
        /// The current version of the object.
        current: ObjectVersion,
    },
    /// The object belongs to another partner, or can only be changed by proposal and consent.
    Forbidden {
        /// Key of the object.
        key: ObjectKey,
    },
    /// A field holds a value that is not allowed.
    Invalid(InvalidObject),
    /// Another object refers to the object to be deleted.
    Referenced {
        /// Key of the object.
        key: ObjectKey,
        /// Key of an object that refers to it.
        by: ObjectKey,
    },
    /// No proposal for the pool split is open.
    NoProposal,
}

/// Applies one change and returns the configuration at the next revision.
pub fn apply_change(
    set: &ConfigurationSet,
    request: &ChangeRequest,
) -> Result<ConfigurationSet, ChangeError> {
    check_version(set, &request.change)?;
    match &request.change {
        Change::Put { object, .. } => put(set, request, object),
        Change::Delete { key, .. } => delete(set, request, key),
        Change::Propose { shares, .. } => {
            let split = propose(set, &request.principal, shares)?;
            put_split(set, request.operation, split)
        }
        Change::Consent { .. } => {
            let split = consent(set, &request.principal)?;
            put_split(set, request.operation, split)
        }
    }
}

fn check_version(set: &ConfigurationSet, change: &Change) -> Result<(), ChangeError> {
    let current = set.version(&change.key());
    if current == change.expected() {
        return Ok(());
    }
    Err(ChangeError::Conflict { current })
}

fn put(
    set: &ConfigurationSet,
    request: &ChangeRequest,
    object: &ConfigurationObject,
) -> Result<ConfigurationSet, ChangeError> {
    let current = set.object(&object.key());
    validate(set, object).map_err(ChangeError::Invalid)?;
    if let Some(current) = current {
        check_owner(set, &request.principal, current, true)?;
        check_same_owner(set, current, object)?;
    }
    check_owner(set, &request.principal, object, current.is_some())?;
    Ok(set.with_object(request.operation, object.clone()))
}

fn delete(
    set: &ConfigurationSet,
    request: &ChangeRequest,
    key: &ObjectKey,
) -> Result<ConfigurationSet, ChangeError> {
    let Some(current) = set.object(key) else {
        let current = ObjectVersion::ABSENT;
        return Err(ChangeError::Conflict { current });
    };
    check_owner(set, &request.principal, current, true)?;
    if key.kind == ObjectKind::PoolSplit {
        return Err(ChangeError::Forbidden { key: key.clone() });
    }
    check_unreferenced(set, key)?;
    Ok(set.without_object(request.operation, key))
}

fn put_split(
    set: &ConfigurationSet,
    operation: OperationId,
    split: ridgeworks_domain::objects::PoolSplit,
) -> Result<ConfigurationSet, ChangeError> {
    let object = ConfigurationObject::PoolSplit(split);
    validate(set, &object).map_err(ChangeError::Invalid)?;
    Ok(set.with_object(operation, object))
}
