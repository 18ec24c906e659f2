//! Converts messages to configuration objects of the domain and validates every field.

use std::collections::BTreeSet;

use ridgeworks_domain::objects::{
    Backend, Partner, PoolSplit, PriorityClass, Program, Service, Share,
};
use ridgeworks_domain::{Cost, IdentifierError, PartnerName, ServiceKind};

use crate::conversion::{POOL_SPLIT_NAME, WHOLE_POOL_PERMILLE};
use crate::field_error::FieldError;
use crate::v1;
use crate::v1::FieldProblem;

const SHA256_HEXADECIMAL_DIGITS: usize = 64;
const MAX_LATENCY_WEIGHT: u32 = 100;

pub(super) fn missing(field: &'static str) -> FieldError {
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

fn check_no_owner(metadata: &v1::Metadata) -> Result<(), FieldError> {
    if metadata.partner.is_empty() {
        Ok(())
    } else {
        Err(FieldError::new(
            "object.metadata.partner",
            FieldProblem::Contradictory,
        ))
    }
}

fn non_zero<N: PartialEq + Default>(field: &'static str, number: N) -> Result<N, FieldError> {
    if number == N::default() {
        Err(FieldError::new(field, FieldProblem::OutOfRange))
    } else {
        Ok(number)
    }
}

pub(super) fn partner_from_message(
    metadata: &v1::Metadata,
    partner: &v1::Partner,
) -> Result<Partner, FieldError> {
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

pub(super) fn class_from_message(
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

pub(super) fn service_from_message(
    metadata: &v1::Metadata,
    service: &v1::Service,
) -> Result<Service, FieldError> {
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
        attempt_timeout_ms: non_zero(
            "object.service.attempt_timeout_ms",
            service.attempt_timeout_ms,
        )?,
        max_attempts: non_zero("object.service.max_attempts", service.max_attempts)?,
    })
}

pub(super) fn program_from_message(
    metadata: &v1::Metadata,
    program: &v1::Program,
) -> Result<Program, FieldError> {
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
        max_calls: non_zero("object.program.max_calls", program.max_calls)?,
    })
}

/// Converts the shares of a split, as in [`v1::ProposeSharesRequest`]. Each partner must occur once, and
/// the shares must sum to the whole pool.
///
/// # Errors
/// Returns an error for `field` if a share is invalid.
pub fn shares_from_messages(
    field: &'static str,
    shares: &[v1::Share],
) -> Result<Vec<Share>, FieldError> {
    let mut partners = BTreeSet::new();
    let mut sum = 0_u32;
    let mut converted = Vec::with_capacity(shares.len());
    for share in shares {
        let partner: PartnerName = identifier(field, &share.partner)?;
        let permille = u16::try_from(share.permille)
            .map_err(|_| FieldError::new(field, FieldProblem::OutOfRange))?;
        if !partners.insert(partner.clone()) {
            return Err(FieldError::new(field, FieldProblem::Contradictory));
        }
        sum = sum.saturating_add(share.permille);
        converted.push(Share { partner, permille });
    }
    if sum != WHOLE_POOL_PERMILLE {
        return Err(FieldError::new(field, FieldProblem::OutOfRange));
    }
    Ok(converted)
}

fn optional_shares_from_messages(
    field: &'static str,
    shares: &[v1::Share],
) -> Result<Option<Vec<Share>>, FieldError> {
    match shares {
        [] => Ok(None),
        shares => shares_from_messages(field, shares).map(Some),
    }
}

pub(super) fn split_from_message(
    metadata: &v1::Metadata,
    split: &v1::PoolSplit,
) -> Result<PoolSplit, FieldError> {
    if metadata.name != POOL_SPLIT_NAME {
        return Err(FieldError::new(
            "object.metadata.name",
            FieldProblem::OutOfRange,
        ));
    }
    check_no_owner(metadata)?;
    // No shares are in force until the first proposal takes effect.
    let shares = optional_shares_from_messages("object.pool_split.shares", &split.shares)?;
    let proposed = optional_shares_from_messages("object.pool_split.proposed", &split.proposed)?;
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

pub(super) fn backend_from_message(
    metadata: &v1::Metadata,
    backend: &v1::Backend,
) -> Result<Backend, FieldError> {
    check_no_owner(metadata)?;
    let address = backend
        .address
        .parse()
        .map_err(|_| FieldError::new("object.backend.address", FieldProblem::Malformed))?;
    Ok(Backend {
        name: object_name(metadata)?,
        service: identifier("object.backend.service", &backend.service)?,
        address,
        zone: identifier("object.backend.zone", &backend.zone)?,
        slots: non_zero("object.backend.slots", backend.slots)?,
    })
}
