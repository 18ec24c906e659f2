//! Settings of a node: one TOML file, each key overridable by a flag.

mod check;
mod file;
mod flags;
pub mod keys;
mod parse;

pub use check::{Fault, FaultReason, check};
pub use file::{BootstrapPartner, DialOverrideSettings, LogSettings, Settings, SweepSettings};
pub use flags::Flags;
use parse::Parsed;

use std::path::{Path, PathBuf};

/// Why settings could not be loaded.
#[derive(Debug)]
pub enum SettingsError {
    /// The file could not be read.
    Read {
        /// Its path.
        path: PathBuf,
        /// What the system answered.
        source: std::io::Error,
    },
    /// The file is no valid TOML.
    Parse(toml::de::Error),
    /// Values are not allowed; all faults are listed.
    Faults(Vec<Fault>),
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Read { path, source } => {
                write!(formatter, "cannot read {}: {source}", path.display())
            }
            Self::Parse(error) => write!(formatter, "{error}"),
            Self::Faults(faults) => {
                let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
                write!(formatter, "{}", lines.join("\n"))
            }
        }
    }
}

impl std::error::Error for SettingsError {}

/// Reads the file, if one is named, applies the flags and checks the result.
pub fn load(path: Option<&Path>, flags: &Flags) -> Result<Settings, SettingsError> {
    let Parsed {
        mut settings,
        mut faults,
        mut entries,
    } = match path {
        Some(path) => read(path)?,
        None => Parsed::default(),
    };
    flags.apply_to(&mut settings);
    for list in flags.replaced_lists() {
        entries.forget(list);
    }
    // A key that could not be read holds its default, which is no fault of its own.
    let unread: Vec<String> = faults.iter().map(|fault| fault.key.clone()).collect();
    let checked = check(&settings).into_iter().map(|mut fault| {
        fault.key = entries.key_in_file(&fault.key);
        fault
    });
    faults.extend(checked.filter(|fault| !unread.contains(&fault.key)));
    if faults.is_empty() {
        return Ok(settings);
    }
    Err(SettingsError::Faults(faults))
}

fn read(path: &Path) -> Result<Parsed, SettingsError> {
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: path.to_owned(),
        source,
    })?;
    parse::parse(&text).map_err(SettingsError::Parse)
}
