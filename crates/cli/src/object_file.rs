//! Files of configuration objects in TOML or JSON.
//!
//! The content is the schema's own JSON form: one object, or a list of them under "objects", as
//! `get --output json` prints them. TOML holds the same keys.

use std::fs;
use std::path::Path;

use ridgeworks_api::conversion::DomainObject;
use ridgeworks_api::v1::{self, ObjectKind};
use serde_json::Value;

use crate::error::{CliError, FileProblem};
use crate::object_kind::kind_of;

const LIST_KEY: &str = "objects";
const TOML_EXTENSION: &str = "toml";
const JSON_EXTENSION: &str = "json";

/// Reads the objects of a file and checks all of them, so that nothing is sent of a file with a
/// fault.
pub fn read(path: &Path) -> Result<Vec<v1::Object>, CliError> {
    let text = fs::read_to_string(path).map_err(|error| CliError::UnreadableFile {
        path: path.to_owned(),
        kind: error.kind(),
    })?;
    let mut objects = parse(path, &text).map_err(|problem| CliError::InvalidFile {
        path: path.to_owned(),
        problem,
    })?;
    for (index, object) in objects.iter_mut().enumerate() {
        fill_kind(object);
        check(index + 1, object)?;
    }
    Ok(objects)
}

fn parse(path: &Path, text: &str) -> Result<Vec<v1::Object>, FileProblem> {
    let extension = path.extension().and_then(|extension| extension.to_str());
    let value: Value = match extension {
        Some(TOML_EXTENSION) => toml::from_str(text).map_err(FileProblem::Toml)?,
        Some(JSON_EXTENSION) => serde_json::from_str(text).map_err(FileProblem::Json)?,
        _ => return Err(FileProblem::UnknownExtension),
    };
    let objects = match value.get(LIST_KEY) {
        Some(_) => {
            let list: v1::ListResponse =
                serde_json::from_value(value).map_err(FileProblem::Json)?;
            list.objects
        }
        None => vec![serde_json::from_value(value).map_err(FileProblem::Json)?],
    };
    if objects.is_empty() {
        return Err(FileProblem::Empty);
    }
    Ok(objects)
}

/// The kind follows from the specification, so that a file need not say it twice.
fn fill_kind(object: &mut v1::Object) {
    let kind = object.specification.as_ref().map(kind_of);
    if let (Some(metadata), Some(kind)) = (object.metadata.as_mut(), kind)
        && metadata.kind() == ObjectKind::Unspecified
    {
        metadata.set_kind(kind);
    }
}

fn check(position: usize, object: &v1::Object) -> Result<(), CliError> {
    match DomainObject::from_message(object) {
        Ok(DomainObject::PoolSplit(_)) => Err(CliError::PoolSplitInFile),
        Ok(_) => Ok(()),
        Err(error) => Err(CliError::InvalidObject { position, error }),
    }
}
