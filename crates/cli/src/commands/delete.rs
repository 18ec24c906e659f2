//! `delete`: deletes an object.

use ridgeworks_api::v1;

use crate::arguments::DeleteArguments;
use crate::error::CliError;
use crate::object_kind::kind_name;
use crate::operation_id;
use crate::output::{AcceptedChange, ChangeAction};
use crate::session::{Session, change_error, version_of};

/// Deletes the object in the given version, or in the one that it has now.
pub fn run(session: &Session, arguments: DeleteArguments) -> Result<(), CliError> {
    let kind: v1::ObjectKind = arguments.kind.into();
    let expected_version = match arguments.expected_version {
        Some(version) => version,
        None => present_version(session, kind, &arguments.name)?,
    };
    let operation_id = operation_id::given_or_random(arguments.operation_id);
    let request = v1::DeleteRequest {
        kind: kind.into(),
        name: arguments.name.clone(),
        expected_version,
        operation_id: operation_id.clone(),
    };
    let answer = session
        .client
        .delete(&request)
        .map_err(change_error(&operation_id))?;
    let change = AcceptedChange {
        kind: kind_name(kind),
        name: arguments.name,
        action: ChangeAction::Deleted,
        version: None,
        revision: Some(answer.revision),
    };
    session.output.tell(&change, AcceptedChange::text)
}

fn present_version(session: &Session, kind: v1::ObjectKind, name: &str) -> Result<u64, CliError> {
    let request = v1::GetRequest {
        kind: kind.into(),
        name: name.to_owned(),
    };
    let answer = session.client.get(&request).map_err(CliError::Read)?;
    let object = answer.object.ok_or(CliError::IncompleteAnswer)?;
    Ok(version_of(&object))
}
