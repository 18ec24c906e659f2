//! Configuration objects of all kinds as one type, and their keys.
#![allow(
    missing_docs,
    reason = "the resolvers that rkyv derives carry undocumented fields"
)]

use std::fmt;

use ridgeworks_domain::PartnerName;
use ridgeworks_domain::objects::{Backend, Partner, PoolSplit, PriorityClass, Program, Service};
use rkyv::{Archive, Deserialize, Serialize};

use crate::revision::ObjectVersion;

/// Name of the only object of kind [`ObjectKind::PoolSplit`].
pub const POOL_SPLIT_NAME: &str = "pool";

/// Kind of a configuration object.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Archive,
    Serialize,
    Deserialize,
    serde::Serialize,
    serde::Deserialize,
)]
#[rkyv(derive(Debug, PartialEq, Eq))]
#[serde(rename_all = "snake_case")]
pub enum ObjectKind {
    /// A partner.
    Partner,
    /// A priority class.
    PriorityClass,
    /// A service.
    Service,
    /// A program.
    Program,
    /// The split of the shared pool.
    PoolSplit,
    /// A back end.
    Backend,
}

/// Identifies an object by its kind and its name, which is unique within the kind.
#[derive(
    Debug,
    Clone,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Archive,
    Serialize,
    Deserialize,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct ObjectKey {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name of the object.
    pub name: String,
}

impl ObjectKey {
    /// A key, whether or not the object exists.
    pub fn new(kind: ObjectKind, name: impl Into<String>) -> Self {
        Self {
            kind,
            name: name.into(),
        }
    }

    /// The key of a partner.
    pub fn partner(name: &PartnerName) -> Self {
        Self::new(ObjectKind::Partner, name.as_str())
    }

    /// The key of the only pool split.
    pub fn pool_split() -> Self {
        Self::new(ObjectKind::PoolSplit, POOL_SPLIT_NAME)
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}/{}", self.kind, self.name)
    }
}

/// A configuration object of any kind.
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
#[serde(rename_all = "snake_case")]
pub enum ConfigurationObject {
    /// A partner.
    Partner(Partner),
    /// A priority class.
    PriorityClass(PriorityClass),
    /// A service.
    Service(Service),
    /// A program.
    Program(Program),
    /// The split of the shared pool.
    PoolSplit(PoolSplit),
    /// A back end.
    Backend(Backend),
}

impl ConfigurationObject {
    /// Kind of the object.
    pub fn kind(&self) -> ObjectKind {
        match self {
            Self::Partner(_) => ObjectKind::Partner,
            Self::PriorityClass(_) => ObjectKind::PriorityClass,
            Self::Service(_) => ObjectKind::Service,
            Self::Program(_) => ObjectKind::Program,
            Self::PoolSplit(_) => ObjectKind::PoolSplit,
            Self::Backend(_) => ObjectKind::Backend,
        }
    }

    /// Key of the object.
    pub fn key(&self) -> ObjectKey {
        let name = match self {
            Self::Partner(partner) => partner.name.as_str(),
            Self::PriorityClass(class) => class.name.as_str(),
            Self::Service(service) => service.name.as_str(),
            Self::Program(program) => program.name.as_str(),
            Self::PoolSplit(_) => POOL_SPLIT_NAME,
            Self::Backend(backend) => backend.name.as_str(),
        };
        ObjectKey::new(self.kind(), name)
    }
}

/// An object with its version.
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
pub struct VersionedObject {
    /// The revision in which the object was last changed.
    pub version: ObjectVersion,
    /// The object.
    pub object: ConfigurationObject,
}
