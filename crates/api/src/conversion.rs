//! Conversion between the domain's configuration objects and the messages of the schema.

use std::collections::BTreeSet;
use std::fmt;

use ridgeworks_domain::objects::{
    Backend, Partner, PoolSplit, PriorityClass, Program, Service, Share,
};
use ridgeworks_domain::{Cost, IdentifierError, PartnerName, ServiceKind};

use crate::v1;
use crate::v1::object::Specification;
use crate::v1::{FieldProblem, ObjectKind};

/// Name of the one pool split.
pub const POOL_SPLIT_NAME: &str = "pool";
/// Sum of all parts of a split.
pub const WHOLE_POOL_PERMILLE: u32 = 1000;

const SHA256_HEXADECIMAL_DIGITS: usize = 64;
const MAX_LATENCY_WEIGHT: u32 = 100;

/// A field of a message that holds what is not allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FieldError {
    /// Path of the field from the request's message.
    pub field: &'static str,
    /// What is wrong.
    pub problem: FieldProblem,
}

impl FieldError {
    /// An error of one field.
    pub fn new(field: &'static str, problem: FieldProblem) -> Self {
        Self { field, problem }
    }

    /// The error as a message of the schema.
    pub fn to_violation(self) -> v1::FieldViolation {
        v1::FieldViolation {
            field: self.field.to_owned(),
            problem: self.problem.into(),
        }
    }
}

impl fmt::Display for FieldError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let problem = match self.problem {
            FieldProblem::Unspecified => "is invalid",
            FieldProblem::Missing => "is missing",
            FieldProblem::Malformed => "cannot be read",
            FieldProblem::OutOfRange => "is out of range",
            FieldProblem::Contradictory => "contradicts another field",
            FieldProblem::UnknownReference => "names an object that does not exist",
        };
        write!(formatter, "{} {problem}", self.field)
    }
}

impl std::error::Error for FieldError {}

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

/// Versions that the store gave to an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ObjectVersions {
    /// Version of the object.
    pub version: u64,
    /// Revision of the configuration in which the object last changed.
    pub revision: u64,
}

impl DomainObject {
    /// The object's kind.
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

    /// The object's name.
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

    /// The partner that owns the object, if it names one.
    pub fn partner(&self) -> Option<&PartnerName> {
        match self {
            Self::Partner(partner) => Some(&partner.name),
            Self::PriorityClass(class) => Some(&class.partner),
            Self::Service(service) => Some(&service.partner),
            Self::Program(program) => Some(&program.partner),
            Self::PoolSplit(_) | Self::Backend(_) => None,
        }
    }

    /// The object as `viewer` may see it: a token's hash is shown to its own partner only.
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

    /// Reads an object out of an [`v1::ApplyRequest`] or an answer.
    ///
    /// # Errors
    /// The first field that is missing or holds what is not allowed.
    pub fn from_message(object: &v1::Object) -> Result<Self, FieldError> {
        let metadata = object.metadata.as_ref().ok_or(missing("object.metadata"))?;
        let specification = object
            .specification
            .as_ref()
            .ok_or(missing("object.specification"))?;
        let converted = match specification {
            Specification::Partner(partner) => Self::Partner(read_partner(metadata, partner)?),
            Specification::PriorityClass(class) => {
                Self::PriorityClass(read_class(metadata, class)?)
            }
            Specification::Service(service) => Self::Service(read_service(metadata, service)?),
            Specification::Program(program) => Self::Program(read_program(metadata, program)?),
            Specification::PoolSplit(split) => Self::PoolSplit(read_split(metadata, split)?),
            Specification::Backend(backend) => Self::Backend(read_backend(metadata, backend)?),
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

fn missing(field: &'static str) -> FieldError {
    FieldError::new(field, FieldProblem::Missing)
}

fn identifier<T>(field: &'static str, text: &str) -> Result<T, FieldError>
where
    T: TryFrom<String, Error = IdentifierError>,
{
    T::try_from(text.to_owned()).map_err(|error| match error {
        IdentifierError::Empty => missing(field),
        IdentifierError::TooLong(_) => FieldError::new(field, FieldProblem::OutOfRange),
        IdentifierError::InvalidCharacter(_) | IdentifierError::NotHexadecimal => {
            FieldError::new(field, FieldProblem::Malformed)
        }
    })
}

fn object_name<T>(metadata: &v1::Metadata) -> Result<T, FieldError>
where
    T: TryFrom<String, Error = IdentifierError>,
{
    identifier("object.metadata.name", &metadata.name)
}

fn owner(metadata: &v1::Metadata) -> Result<PartnerName, FieldError> {
    identifier("object.metadata.partner", &metadata.partner)
}

fn no_owner(metadata: &v1::Metadata) -> Result<(), FieldError> {
    if metadata.partner.is_empty() {
        Ok(())
    } else {
        Err(FieldError::new(
            "object.metadata.partner",
            FieldProblem::Contradictory,
        ))
    }
}

fn above_zero<N: PartialEq + Default>(field: &'static str, number: N) -> Result<N, FieldError> {
    if number == N::default() {
        Err(FieldError::new(field, FieldProblem::OutOfRange))
    } else {
        Ok(number)
    }
}

fn partner_message(partner: &Partner, viewer: &PartnerName) -> v1::Partner {
    let visible = partner.name == *viewer;
    v1::Partner {
        token_sha256: visible.then(|| partner.token_sha256.clone()),
        latency_weight: partner.latency_weight.into(),
    }
}

fn read_partner(metadata: &v1::Metadata, partner: &v1::Partner) -> Result<Partner, FieldError> {
    const TOKEN: &str = "object.partner.token_sha256";
    let name: PartnerName = object_name(metadata)?;
    if owner(metadata)? != name {
        return Err(FieldError::new(
            "object.metadata.partner",
            FieldProblem::Contradictory,
        ));
    }
    let token_sha256 = partner.token_sha256.clone().ok_or(missing(TOKEN))?;
    let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    if token_sha256.len() != SHA256_HEXADECIMAL_DIGITS || !token_sha256.bytes().all(is_digit) {
        return Err(FieldError::new(TOKEN, FieldProblem::Malformed));
    }
    let latency_weight = u8::try_from(partner.latency_weight)
        .ok()
        .filter(|weight| u32::from(*weight) <= MAX_LATENCY_WEIGHT)
        .ok_or(FieldError::new(
            "object.partner.latency_weight",
            FieldProblem::OutOfRange,
        ))?;
    Ok(Partner {
        name,
        token_sha256,
        latency_weight,
    })
}

fn read_class(
    metadata: &v1::Metadata,
    class: &v1::PriorityClass,
) -> Result<PriorityClass, FieldError> {
    let rank = u8::try_from(class.rank)
        .map_err(|_| FieldError::new("object.priority_class.rank", FieldProblem::OutOfRange))?;
    Ok(PriorityClass {
        name: object_name(metadata)?,
        partner: owner(metadata)?,
        urgent: class.urgent,
        rank,
    })
}

fn service_kind_message(kind: ServiceKind) -> v1::ServiceKind {
    match kind {
        ServiceKind::Model => v1::ServiceKind::Model,
        ServiceKind::Tool => v1::ServiceKind::Tool,
        ServiceKind::Notice => v1::ServiceKind::Notice,
    }
}

fn read_service(metadata: &v1::Metadata, service: &v1::Service) -> Result<Service, FieldError> {
    let kind = match service.kind() {
        v1::ServiceKind::Unspecified => return Err(missing("object.service.kind")),
        v1::ServiceKind::Model => ServiceKind::Model,
        v1::ServiceKind::Tool => ServiceKind::Tool,
        v1::ServiceKind::Notice => ServiceKind::Notice,
    };
    Ok(Service {
        name: object_name(metadata)?,
        partner: owner(metadata)?,
        kind,
        price: Cost(service.price),
        attempt_timeout_ms: above_zero(
            "object.service.attempt_timeout_ms",
            service.attempt_timeout_ms,
        )?,
        max_attempts: above_zero("object.service.max_attempts", service.max_attempts)?,
    })
}

fn read_program(metadata: &v1::Metadata, program: &v1::Program) -> Result<Program, FieldError> {
    let services = program
        .services
        .iter()
        .map(|service| identifier("object.program.services", service))
        .collect::<Result<Vec<_>, _>>()?;
    Ok(Program {
        name: object_name(metadata)?,
        partner: owner(metadata)?,
        class: identifier("object.program.class", &program.class)?,
        services,
        budget: Cost(program.budget),
        max_calls: above_zero("object.program.max_calls", program.max_calls)?,
    })
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

/// Reads the parts of a split, as [`v1::ProposeSharesRequest`] carries them: each partner once, and
/// the whole pool in sum.
///
/// # Errors
/// `field` with what is wrong in it.
pub fn read_shares(field: &'static str, shares: &[v1::Share]) -> Result<Vec<Share>, FieldError> {
    let mut partners = BTreeSet::new();
    let mut sum = 0_u32;
    let mut read = Vec::with_capacity(shares.len());
    for share in shares {
        let partner: PartnerName = identifier(field, &share.partner)?;
        let permille = u16::try_from(share.permille)
            .map_err(|_| FieldError::new(field, FieldProblem::OutOfRange))?;
        if !partners.insert(partner.clone()) {
            return Err(FieldError::new(field, FieldProblem::Contradictory));
        }
        sum = sum.saturating_add(share.permille);
        read.push(Share { partner, permille });
    }
    if sum != WHOLE_POOL_PERMILLE {
        return Err(FieldError::new(field, FieldProblem::OutOfRange));
    }
    Ok(read)
}

fn read_open_shares(
    field: &'static str,
    shares: &[v1::Share],
) -> Result<Option<Vec<Share>>, FieldError> {
    match shares {
        [] => Ok(None),
        shares => read_shares(field, shares).map(Some),
    }
}

fn read_split(metadata: &v1::Metadata, split: &v1::PoolSplit) -> Result<PoolSplit, FieldError> {
    if metadata.name != POOL_SPLIT_NAME {
        return Err(FieldError::new(
            "object.metadata.name",
            FieldProblem::OutOfRange,
        ));
    }
    no_owner(metadata)?;
    // Before the first proposal is in force there are no parts.
    let shares = read_open_shares("object.pool_split.shares", &split.shares)?;
    let proposed = read_open_shares("object.pool_split.proposed", &split.proposed)?;
    let consents = split
        .consents
        .iter()
        .map(|partner| identifier("object.pool_split.consents", partner))
        .collect::<Result<Vec<_>, _>>()?;
    Ok(PoolSplit {
        shares: shares.unwrap_or_default(),
        proposed,
        consents,
    })
}

fn read_backend(metadata: &v1::Metadata, backend: &v1::Backend) -> Result<Backend, FieldError> {
    no_owner(metadata)?;
    let address = backend
        .address
        .parse()
        .map_err(|_| FieldError::new("object.backend.address", FieldProblem::Malformed))?;
    Ok(Backend {
        name: object_name(metadata)?,
        service: identifier("object.backend.service", &backend.service)?,
        address,
        zone: identifier("object.backend.zone", &backend.zone)?,
        slots: above_zero("object.backend.slots", backend.slots)?,
    })
}
