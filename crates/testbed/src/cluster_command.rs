//! `ridgeworks-testbed cluster`: a whole deployment until it is interrupted.

use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use clap::Args;
use tempfile::TempDir;

use crate::cluster::{
    Binaries, Cluster, ClusterError, ClusterOptions, PresetName, RelayUse, flag_on_signal,
};

const POLL_INTERVAL: Duration = Duration::from_millis(100);
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Flags of a deployment.
#[derive(Debug, Clone, Args)]
pub struct ClusterArguments {
    /// What to start.
    #[arg(long, value_enum, default_value = "kalahari-small")]
    pub preset: PresetName,
    /// Links that go through the relay, so that they can be delayed and cut.
    #[arg(long, value_enum, default_value = "between-zones")]
    pub relay: RelayUse,
    /// Folder for logs, settings, data and histories; a temporary one without this.
    #[arg(long)]
    pub folder: Option<PathBuf>,
    /// Let back ends and the platform write histories.
    #[arg(long)]
    pub history: bool,
    /// Print the deployment as one JSON object.
    #[arg(long)]
    pub json: bool,
}

/// The folder of a deployment, removed at the end if it is temporary.
#[derive(Debug)]
pub enum WorkingFolder {
    /// One that stays.
    Kept(PathBuf),
    /// One that is removed.
    Temporary(TempDir),
}

impl WorkingFolder {
    /// Makes the folder.
    pub fn make(folder: Option<&Path>) -> Result<Self, ClusterError> {
        let failed = |path: &Path| {
            let path = path.to_owned();
            move |source| ClusterError::File { path, source }
        };
        match folder {
            Some(path) => {
                fs::create_dir_all(path).map_err(failed(path))?;
                let path = path.canonicalize().map_err(failed(path))?;
                Ok(Self::Kept(path))
            }
            None => {
                let parent = std::env::temp_dir();
                let folder = TempDir::with_prefix("ridgeworks-").map_err(failed(&parent))?;
                Ok(Self::Temporary(folder))
            }
        }
    }

    /// Its path.
    pub fn path(&self) -> &Path {
        match self {
            Self::Kept(path) => path,
            Self::Temporary(folder) => folder.path(),
        }
    }
}

/// Runs a deployment until SIGTERM or SIGINT, then stops it as planned.
pub fn run(arguments: &ClusterArguments) -> Result<(), ClusterError> {
    let interrupted = flag_on_signal()?;
    let folder = WorkingFolder::make(arguments.folder.as_deref())?;
    let cluster = Cluster::start(ClusterOptions {
        preset: arguments.preset.load()?,
        binaries: Binaries::beside_this_one()?,
        folder: folder.path().to_owned(),
        relay: arguments.relay,
        history: arguments.history,
    })?;
    print(&cluster, arguments.json);
    while !interrupted.load(Ordering::SeqCst) {
        thread::sleep(POLL_INTERVAL);
    }
    cluster.shut_down(STOP_TIMEOUT)
}

fn print(cluster: &Cluster, json: bool) {
    let summary = cluster.summary();
    let text = match json {
        true => serde_json::to_string(&summary).expect("the summary holds plain values"),
        false => summary.to_string(),
    };
    let mut output = io::stdout();
    // Nobody may be reading; the deployment runs all the same.
    let _ = writeln!(output, "{text}").and_then(|()| output.flush());
}
