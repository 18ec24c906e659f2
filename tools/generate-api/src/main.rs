//! Writes `crates/api/src/generated` from `proto/ridgeworks/v1`. Run it with `make generate`.

use std::fmt;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use prost::Message;

const PACKAGE: &str = ".ridgeworks.v1";
const SCHEMA_FILES: [&str; 4] = [
    "ridgeworks/v1/objects.proto",
    "ridgeworks/v1/runs.proto",
    "ridgeworks/v1/status.proto",
    "ridgeworks/v1/operator.proto",
];

/// Why nothing was generated.
#[derive(Debug)]
enum GenerateError {
    /// The schema does not compile.
    Schema(protox::Error),
    /// The descriptors could not be read back.
    Descriptors(std::io::Error),
    /// The generated code could not be written.
    Write(std::io::Error),
}

impl fmt::Display for GenerateError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Schema(error) => write!(formatter, "schema does not compile: {error:?}"),
            Self::Descriptors(error) => write!(formatter, "descriptors cannot be read: {error}"),
            Self::Write(error) => write!(formatter, "generated code cannot be written: {error}"),
        }
    }
}

fn main() -> ExitCode {
    match generate(&repository_root()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn generate(root: &Path) -> Result<(), GenerateError> {
    let output = root.join("crates/api/src/generated");
    let descriptors =
        protox::compile(SCHEMA_FILES, [root.join("proto")]).map_err(GenerateError::Schema)?;
    let encoded = descriptors.encode_to_vec();
    prost_build::Config::new()
        .out_dir(&output)
        .compile_fds(descriptors)
        .map_err(GenerateError::Write)?;
    pbjson_build::Builder::new()
        .register_descriptors(&encoded)
        .map_err(GenerateError::Descriptors)?
        .out_dir(&output)
        .build(&[PACKAGE])
        .map_err(GenerateError::Write)
}
