//! The plan of one node: its place, its addresses and its settings file.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Serialize;

use super::error::ClusterError;
use super::process::file_error;

/// One node of a deployment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodePlan {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where it serves callers and operators.
    pub listen: SocketAddr,
    /// Where it listens for other nodes.
    pub links: SocketAddr,
    /// Folder of its durable data, if it has a disk.
    pub data_folder: Option<PathBuf>,
    /// Its settings file.
    pub settings_file: PathBuf,
    /// File that gets its log lines.
    pub log_file: PathBuf,
}

/// Settings of a node, as its file holds them.
#[derive(Debug, Serialize)]
pub struct NodeSettingsFile {
    /// Name of the node.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Where it serves callers and operators.
    pub listen: SocketAddr,
    /// Where it listens for other nodes.
    pub link_listen: SocketAddr,
    /// Nodes to join through.
    pub peers: Vec<SocketAddr>,
    /// Names of the configuration voters.
    pub configuration_voters: Vec<String>,
    /// Where the platform is reached.
    pub platform: SocketAddr,
    /// Addresses dialled instead of advertised ones.
    pub dial_overrides: Vec<DialOverride>,
    /// Partners that may configure the system at first.
    pub bootstrap_partners: Vec<BootstrapPartner>,
    /// The durable store.
    pub store: StoreSection,
    /// Where log lines go.
    pub log: LogSection,
}

/// One address dialled instead of an advertised one.
#[derive(Debug, Serialize)]
pub struct DialOverride {
    /// The address that the other node advertises.
    pub advertised: SocketAddr,
    /// The address to dial.
    pub dial: SocketAddr,
}

/// A partner that may configure the system at first.
#[derive(Debug, Clone, Serialize)]
pub struct BootstrapPartner {
    /// Its name.
    pub name: String,
    /// SHA-256 of its token.
    pub token_sha256: String,
}

/// The durable store.
#[derive(Debug, Serialize)]
pub struct StoreSection {
    /// Its folder.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_dir: Option<PathBuf>,
}

/// Where log lines go.
#[derive(Debug, Serialize)]
pub struct LogSection {
    /// The file.
    pub file: PathBuf,
}

impl NodeSettingsFile {
    /// Writes the file.
    pub fn write(&self, path: &Path) -> Result<(), ClusterError> {
        let text = toml::to_string(self).expect("the settings hold text keys and plain values");
        fs::write(path, text).map_err(|source| file_error(path, source))
    }
}
