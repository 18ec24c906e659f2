//! Conversion between configuration objects of the domain and messages of the schema.

mod from_message;

use ridgeworks_domain::objects::{
    Backend, Partner, PoolSplit, PriorityClass, Program, Service, Share,
};
use ridgeworks_domain::{PartnerName, ServiceKind};

use crate::field_error::FieldError;
use crate::v1;
use crate::v1::object::Specification;
use crate::v1::{FieldProblem, ObjectKind};

pub use from_message::shares_from_messages;
use from_message::{
    backend_from_message, class_from_message, missing, partner_from_message, program_from_message,
    service_from_message, split_from_message,
};

/// Name of the pool split, of which there is only one.
pub const POOL_SPLIT_NAME: &str = "pool";
/// Sum of all shares of a split, in thousandths.
pub const WHOLE_POOL_PERMILLE: u32 = 1000;

/// A configuration object of any kind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DomainObject {
    /// A partner.
    Partner(Partner),
    /// A priority class.
    PriorityClass(PriorityClass),
    /// A service.
    Service(Service),
    /// A program.
    Program(Program),
    /// The split of the pool.
    PoolSplit(PoolSplit),
    /// A back end.
    Backend(Backend),
}

/// Versions that the store assigned to an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ObjectVersions {
    /// Version of the object.
    pub version: u64,
    /// Revision of the configuration in which the object last changed.
    pub revision: u64,
}

impl DomainObject {
    /// Returns the kind of the object.
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

    /// Returns the name of the object; [`POOL_SPLIT_NAME`] for the pool split.
    pub fn name(&self) -> &str {
        match self {
            Self::Partner(partner) => partner.name.as_str(),
            Self::PriorityClass(class) => class.name.as_str(),
            Self::Service(service) => service.name.as_str(),
            Self::Program(program) => program.name.as_str(),
            Self::PoolSplit(_) => POOL_SPLIT_NAME,
            Self::Backend(backend) => backend.name.as_str(),
        }
    }

    /// Returns the partner that owns the object; `None` for the pool split and for back ends.
    pub fn partner(&self) -> Option<&PartnerName> {
        match self {
            Self::Partner(partner) => Some(&partner.name),
            Self::PriorityClass(class) => Some(&class.partner),
            Self::Service(service) => Some(&service.partner),
            Self::Program(program) => Some(&program.partner),
            Self::PoolSplit(_) | Self::Backend(_) => None,
        }
    }

    /// Converts the object to a message for `viewer`. A token's hash is included only for its own partner.
    pub fn to_message(&self, versions: ObjectVersions, viewer: &PartnerName) -> v1::Object {
        let metadata = v1::Metadata {
            kind: self.kind().into(),
            name: self.name().to_owned(),
            version: versions.version,
            partner: self.partner().map(ToString::to_string).unwrap_or_default(),
            revision: versions.revision,
        };
        v1::Object {
            metadata: Some(metadata),
            specification: Some(self.specification(viewer)),
        }
    }

    fn specification(&self, viewer: &PartnerName) -> Specification {
        match self {
            Self::Partner(partner) => Specification::Partner(partner_message(partner, viewer)),
            Self::PriorityClass(class) => Specification::PriorityClass(v1::PriorityClass {
                urgent: class.urgent,
                rank: class.rank.into(),
            }),
            Self::Service(service) => Specification::Service(v1::Service {
                kind: service_kind_message(service.kind).into(),
                price: service.price.0,
                attempt_timeout_ms: service.attempt_timeout_ms,
                max_attempts: service.max_attempts,
            }),
            Self::Program(program) => Specification::Program(v1::Program {
                class: program.class.to_string(),
                services: program.services.iter().map(ToString::to_string).collect(),
                budget: program.budget.0,
                max_calls: program.max_calls,
            }),
            Self::PoolSplit(split) => Specification::PoolSplit(v1::PoolSplit {
                shares: shares_message(&split.shares),
                proposed: split
                    .proposed
                    .as_deref()
                    .map(shares_message)
                    .unwrap_or_default(),
                consents: split.consents.iter().map(ToString::to_string).collect(),
            }),
            Self::Backend(backend) => Specification::Backend(v1::Backend {
                service: backend.service.to_string(),
                address: backend.address.to_string(),
                zone: backend.zone.to_string(),
                slots: backend.slots,
            }),
        }
    }

    /// Converts an object from a [`v1::ApplyRequest`] or a response.
    ///
    /// # Errors
    /// Returns the first field that is missing or has an invalid value.
    pub fn from_message(object: &v1::Object) -> Result<Self, FieldError> {
        let metadata = object.metadata.as_ref().ok_or(missing("object.metadata"))?;
        let specification = object
            .specification
            .as_ref()
            .ok_or(missing("object.specification"))?;
        let converted = match specification {
            Specification::Partner(partner) => {
                Self::Partner(partner_from_message(metadata, partner)?)
            }
            Specification::PriorityClass(class) => {
                Self::PriorityClass(class_from_message(metadata, class)?)
            }
            Specification::Service(service) => {
                Self::Service(service_from_message(metadata, service)?)
            }
            Specification::Program(program) => {
                Self::Program(program_from_message(metadata, program)?)
            }
            Specification::PoolSplit(split) => {
                Self::PoolSplit(split_from_message(metadata, split)?)
            }
            Specification::Backend(backend) => {
                Self::Backend(backend_from_message(metadata, backend)?)
            }
        };
        if metadata.kind() != converted.kind() {
            return Err(FieldError::new(
                "object.metadata.kind",
                FieldProblem::Contradictory,
            ));
        }
        Ok(converted)
    }
}

fn partner_message(partner: &Partner, viewer: &PartnerName) -> v1::Partner {
    let visible = partner.name == *viewer;
    v1::Partner {
        token_sha256: visible.then(|| partner.token_sha256.clone()),
        latency_weight: partner.latency_weight.into(),
    }
}

fn service_kind_message(kind: ServiceKind) -> v1::ServiceKind {
    match kind {
        ServiceKind::Model => v1::ServiceKind::Model,
        ServiceKind::Tool => v1::ServiceKind::Tool,
        ServiceKind::Notice => v1::ServiceKind::Notice,
    }
}

fn shares_message(shares: &[Share]) -> Vec<v1::Share> {
    shares
        .iter()
        .map(|share| v1::Share {
            partner: share.partner.to_string(),
            permille: share.permille.into(),
        })
        .collect()
}
