//! `get`: shows the objects of a kind, or one of them.

use ridgeworks_api::v1;
use ridgeworks_api::v1::object::Specification;

use crate::arguments::GetArguments;
use crate::error::CliError;
use crate::object_kind::kind_name;
use crate::output::{Columns, shares_text, state_name, text_or_dash};
use crate::session::Session;

const HEADINGS: [&str; 6] = ["KIND", "NAME", "PARTNER", "VERSION", "REVISION", "DETAILS"];

/// Shows the objects.
pub fn run(session: &Session, arguments: GetArguments) -> Result<(), CliError> {
    match arguments.name {
        Some(name) => one(session, arguments.kind.into(), name),
        None => all(session, arguments.kind.into()),
    }
}

fn one(session: &Session, kind: v1::ObjectKind, name: String) -> Result<(), CliError> {
    let kind = kind.into();
    let request = v1::GetRequest { kind, name };
    let answer = session.client.get(&request).map_err(CliError::Read)?;
    let object = answer.object.ok_or(CliError::IncompleteAnswer)?;
    session.output.show(&object, |object| {
        Columns::of(HEADINGS, std::slice::from_ref(object), row)
    })
}

fn all(session: &Session, kind: v1::ObjectKind) -> Result<(), CliError> {
    let kind = kind.into();
    let request = v1::ListRequest { kind };
    let answer = session.client.list(&request).map_err(CliError::Read)?;
    session.output.show(&answer, |answer| {
        Columns::of(HEADINGS, &answer.objects, row)
    })
}

fn row(object: &v1::Object) -> [String; 6] {
    let metadata = object.metadata.clone().unwrap_or_default();
    [
        kind_name(metadata.kind()).to_owned(),
        metadata.name.clone(),
        text_or_dash(&metadata.partner),
        metadata.version.to_string(),
        metadata.revision.to_string(),
        object
            .specification
            .as_ref()
            .map(details)
            .unwrap_or_default(),
    ]
}

/// The object's own fields in one line.
pub fn details(specification: &Specification) -> String {
    match specification {
        Specification::Partner(partner) => {
            format!("latency_weight={}", partner.latency_weight)
        }
        Specification::PriorityClass(class) => {
            format!("urgent={} rank={}", class.urgent, class.rank)
        }
        Specification::Service(service) => format!(
            "kind={} price={} attempt_timeout_ms={} max_attempts={}",
            state_name(service.kind().as_str_name(), "SERVICE_KIND_"),
            service.price,
            service.attempt_timeout_ms,
            service.max_attempts
        ),
        Specification::Program(program) => format!(
            "class={} services={} budget={} max_calls={}",
            program.class,
            program.services.join(","),
            program.budget,
            program.max_calls
        ),
        Specification::PoolSplit(split) => format!(
            "shares={} proposed={} consents={}",
            text_or_dash(&shares_text(&split.shares)),
            text_or_dash(&shares_text(&split.proposed)),
            text_or_dash(&split.consents.join(","))
        ),
        Specification::Backend(backend) => format!(
            "service={} address={} zone={} slots={}",
            backend.service, backend.address, backend.zone, backend.slots
        ),
    }
}
