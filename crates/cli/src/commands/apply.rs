//! `apply`: creates or replaces the objects of a file, in the order of the file.

use ridgeworks_api::v1;

use crate::arguments::ApplyArguments;
use crate::error::CliError;
use crate::object_file;
use crate::object_kind::kind_name;
use crate::operation_id;
use crate::output::{AcceptedChange, ChangeAction};
use crate::session::{Session, change_error, version_of};

/// What is to be done with one object.
enum Plan {
    /// Nothing: the object is as asked for.
    Keep {
        /// Its version.
        version: u64,
    },
    /// Write it over this version; zero for an object that does not exist.
    Write {
        /// The version that is expected.
        expected_version: u64,
    },
}

/// Applies the objects of a file and stops at the first failure.
pub fn run(session: &Session, arguments: ApplyArguments) -> Result<(), CliError> {
    let objects = object_file::read(&arguments.file)?;
    let base = operation_id::given_or_random(arguments.operation_id);
    let mut told = Ok(());
    for (index, object) in objects.into_iter().enumerate() {
        let operation_id = operation_id::of_position(&base, index + 1);
        let plan = plan(session, &object, arguments.create)?;
        let change = carry_out(session, object, plan, &base, operation_id)?;
        // A reader of the output that went away must not stop the changes half way.
        told = told.and(session.output.tell(&change, AcceptedChange::text));
    }
    told
}

/// A version in the file is the expected one. Without it, the version that the object has now is
/// replaced, so that a change that comes between is a conflict as well.
fn plan(session: &Session, object: &v1::Object, create: bool) -> Result<Plan, CliError> {
    let version_in_file = version_of(object);
    if create {
        return Ok(Plan::Write {
            expected_version: 0,
        });
    }
    if version_in_file != 0 {
        return Ok(Plan::Write {
            expected_version: version_in_file,
        });
    }
    let metadata = object.metadata.clone().unwrap_or_default();
    let present = session.find(metadata.kind(), &metadata.name)?;
    Ok(match present {
        Some(present) if is_same(&present, object) => Plan::Keep {
            version: version_of(&present),
        },
        Some(present) => Plan::Write {
            expected_version: version_of(&present),
        },
        None => Plan::Write {
            expected_version: 0,
        },
    })
}

fn is_same(present: &v1::Object, wanted: &v1::Object) -> bool {
    let owner = |object: &v1::Object| {
        let metadata = object.metadata.as_ref();
        metadata.map(|metadata| metadata.partner.clone())
    };
    present.specification == wanted.specification && owner(present) == owner(wanted)
}

fn carry_out(
    session: &Session,
    object: v1::Object,
    plan: Plan,
    base: &str,
    operation_id: String,
) -> Result<AcceptedChange, CliError> {
    let metadata = object.metadata.clone().unwrap_or_default();
    let change = |action, version, revision| AcceptedChange {
        kind: kind_name(metadata.kind()),
        name: metadata.name.clone(),
        action,
        version: Some(version),
        revision,
    };
    let expected_version = match plan {
        Plan::Keep { version } => return Ok(change(ChangeAction::Unchanged, version, None)),
        Plan::Write { expected_version } => expected_version,
    };
    let request = v1::ApplyRequest {
        object: Some(object),
        expected_version,
        operation_id,
    };
    let answer = session.client.apply(&request).map_err(change_error(base))?;
    let revision = Some(answer.revision);
    Ok(change(ChangeAction::Applied, answer.version, revision))
}
