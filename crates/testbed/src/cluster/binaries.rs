//! Where the programs of a deployment are.

use std::env;
use std::path::{Path, PathBuf};

use super::error::ClusterError;

const NODE: &str = "ridgeworksd";
const TESTBED: &str = "ridgeworks-testbed";
/// Folder of test programs below the folder that cargo puts programs into.
const TEST_PROGRAMS: &str = "deps";

/// The programs of a deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Binaries {
    /// The node.
    pub node: PathBuf,
    /// The stand-ins.
    pub testbed: PathBuf,
}

impl Binaries {
    /// The programs next to the one that runs.
    pub fn beside_this_one() -> Result<Self, ClusterError> {
        let own = env::current_exe().map_err(|source| ClusterError::File {
            path: PathBuf::from(TESTBED),
            source,
        })?;
        let folder = own.parent().unwrap_or(Path::new("."));
        let folder = match folder.file_name() {
            Some(name) if name == TEST_PROGRAMS => folder.parent().unwrap_or(folder),
            _ => folder,
        };
        Self::in_folder(folder)
    }

    /// The programs in a folder.
    pub fn in_folder(folder: &Path) -> Result<Self, ClusterError> {
        Ok(Self {
            node: existing(folder.join(NODE))?,
            testbed: existing(folder.join(TESTBED))?,
        })
    }
}

fn existing(path: PathBuf) -> Result<PathBuf, ClusterError> {
    if path.is_file() {
        return Ok(path);
    }
    Err(ClusterError::MissingBinary(path))
}
