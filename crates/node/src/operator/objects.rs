//! Methods that read configuration objects.

use std::sync::Arc;

use ridgeworks_api::ConnectError;
use ridgeworks_api::conversion::{DomainObject, ObjectVersions};
use ridgeworks_api::v1;
use ridgeworks_configuration::{
    ConfigurationObject, ConfigurationSet, OperatorAnswer, VersionedObject,
};
use ridgeworks_domain::PartnerName;

use super::desk::{OperatorReply, OperatorWork};
use super::error::{message_kind, object_key};
use super::method::{Session, unexpected_reply};

const RETRY_AFTER_MS: u64 = 1_000;

/// Reads one object.
pub fn get(
    session: &Session<'_>,
    request: &v1::GetRequest,
) -> Result<v1::GetResponse, ConnectError> {
    let key = object_key(request.kind, &request.name)?;
    let newest = read_newest(session)?;
    match newest.configuration.get(&key) {
        Some(object) => Ok(v1::GetResponse {
            object: Some(message(object, &newest.partner)),
        }),
        None => Err(ConnectError::ObjectNotFound {
            kind: message_kind(key.kind),
            name: key.name,
        }),
    }
}

/// Reads all objects of one kind.
pub fn list(
    session: &Session<'_>,
    request: &v1::ListRequest,
) -> Result<v1::ListResponse, ConnectError> {
    let kind = object_key(request.kind, "")?.kind;
    let newest = read_newest(session)?;
    let of_kind = |versioned: &&VersionedObject| versioned.object.kind() == kind;
    let objects = newest.configuration.objects().filter(of_kind);
    Ok(v1::ListResponse {
        objects: objects
            .map(|object| message(object, &newest.partner))
            .collect(),
        revision: newest.configuration.revision().0,
    })
}

struct Newest {
    partner: PartnerName,
    configuration: Arc<ConfigurationSet>,
}

fn read_newest(session: &Session<'_>) -> Result<Newest, ConnectError> {
    match session.ask(OperatorWork::ReadNewest)? {
        OperatorReply::Configuration {
            partner,
            answer: OperatorAnswer::Newest(configuration),
        } => Ok(Newest {
            partner,
            configuration,
        }),
        OperatorReply::Configuration {
            answer: OperatorAnswer::Refused(_),
            ..
        } => Err(ConnectError::NotReady {
            retry_after_ms: RETRY_AFTER_MS,
        }),
        _ => Err(unexpected_reply()),
    }
}

/// An object as a partner may see it.
pub fn message(versioned: &VersionedObject, viewer: &PartnerName) -> v1::Object {
    let versions = ObjectVersions {
        version: versioned.version.0,
        revision: versioned.version.0,
    };
    domain_object(&versioned.object).to_message(versions, viewer)
}

fn domain_object(object: &ConfigurationObject) -> DomainObject {
    match object {
        ConfigurationObject::Partner(partner) => DomainObject::Partner(partner.clone()),
        ConfigurationObject::PriorityClass(class) => DomainObject::PriorityClass(class.clone()),
        ConfigurationObject::Service(service) => DomainObject::Service(service.clone()),
        ConfigurationObject::Program(program) => DomainObject::Program(program.clone()),
        ConfigurationObject::PoolSplit(split) => DomainObject::PoolSplit(split.clone()),
        ConfigurationObject::Backend(backend) => DomainObject::Backend(backend.clone()),
    }
}
