//! Runs as a resident of the users' platform: a gateway or a replica, as the settings say.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use ridgeworks_platform::settings_path;
use ridgeworks_resident::logging::{self, LogError};
use ridgeworks_resident::process::RoleError;
use ridgeworks_resident::resources;
use ridgeworks_resident::settings::{NodeSettings, NodeSettingsError, Role};
use ridgeworks_resident::shutdown::EarlyReloads;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Key that only settings of a resident have.
const ROLE_KEY: &str = "role";

/// Longer than a settings file takes to be written.
const SETTINGS_WAIT: Duration = Duration::from_secs(3);
const SETTINGS_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// How long the end of the process waits for its last lines to be written.
const LAST_LINES: Duration = Duration::from_millis(200);

/// Why a resident could not run.
#[derive(Debug)]
pub enum ResidentError {
    /// No signal handler could be installed.
    Signals(io::Error),
    /// The settings cannot be used.
    Settings(NodeSettingsError),
    /// The log could not be started.
    Log(LogError),
    /// The runtime could not be started.
    Runtime(io::Error),
    /// The role failed.
    Role(RoleError),
}

impl fmt::Display for ResidentError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Signals(error) => write!(formatter, "cannot handle signals: {error}"),
            Self::Settings(error) => error.fmt(formatter),
            Self::Log(error) => error.fmt(formatter),
            Self::Runtime(error) => write!(formatter, "cannot start the runtime: {error}"),
            Self::Role(error) => error.fmt(formatter),
        }
    }
}

impl std::error::Error for ResidentError {}

/// Runs until the platform stops the process.
pub fn run(settings: Option<PathBuf>) -> Result<(), ResidentError> {
    let early_reloads = EarlyReloads::catch().map_err(ResidentError::Signals)?;
    let path = settings.or_else(settings_path);
    let path = path.ok_or(ResidentError::Settings(NodeSettingsError::NoFile))?;
    let (settings, waited) = read_settings(&path).map_err(ResidentError::Settings)?;
    let log_counters = logging::start(&settings.name).map_err(ResidentError::Log)?;
    if let Some(SettingsWait { first_error, ms }) = waited {
        log::warn!(target: "process", waited_ms = ms, detail:% = first_error; "settings could not be read at first");
    }
    let log = Arc::clone(&log_counters);
    let shortage = resources::wait_for_descriptors().map_err(ResidentError::Runtime)?;
    logging::log_shortage("descriptors", shortage);
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ResidentError::Runtime)?;
    let outcome = LocalSet::new().block_on(&runtime, async {
        match settings.role {
            Role::Gateway => {
                ridgeworks_gateway::run(settings, path, log_counters, &early_reloads).await
            }
            Role::Replica => {
                ridgeworks_replica::run(settings, path, log_counters, &early_reloads).await
            }
        }
    });
    let outcome = outcome.map_err(ResidentError::Role);
    // A disk that hangs must not keep the process.
    runtime.shutdown_background();
    if let Err(error) = &outcome {
        log::error!(target: "process", detail:% = error; "failed");
    }
    log.wait_until_flushed(LAST_LINES);
    outcome
}

/// How settings became readable after the start.
struct SettingsWait {
    first_error: NodeSettingsError,
    ms: u64,
}

/// Reads settings, and again while they are missing or incomplete: the platform may be writing them.
fn read_settings(path: &Path) -> Result<(NodeSettings, Option<SettingsWait>), NodeSettingsError> {
    let since = Instant::now();
    let mut first_error = None;
    loop {
        let error = match check(path) {
            Ok(settings) => {
                let ms = since.elapsed().as_millis() as u64;
                let waited = first_error.map(|first_error| SettingsWait { first_error, ms });
                return Ok((settings, waited));
            }
            Err(error) => error,
        };
        if since.elapsed() >= SETTINGS_WAIT {
            return Err(error);
        }
        first_error.get_or_insert(error);
        thread::sleep(SETTINGS_RETRY_INTERVAL);
    }
}

/// Reads and checks settings of a resident.
pub fn check(path: &Path) -> Result<NodeSettings, NodeSettingsError> {
    NodeSettings::load(path)
}

/// Whether a file holds settings of a resident.
pub fn is_resident_file(path: &Path) -> bool {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let table = text.parse::<toml::Table>().unwrap_or_default();
    table.contains_key(ROLE_KEY)
}
