//! What a started deployment consists of, for people and for programs.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Serialize;

use super::configure::PartnerToken;

/// A node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct NodeSummary {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where it serves callers and operators.
    pub address: SocketAddr,
    /// Whether it has a disk.
    pub has_disk: bool,
    /// Its process; absent while it is not running.
    pub process: Option<u32>,
}

/// A back end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct BackendSummary {
    /// Its name.
    pub name: String,
    /// The service that it serves.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Where it serves.
    pub address: SocketAddr,
    /// Its process; absent while it is not running.
    pub process: Option<u32>,
}

/// A deployment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ClusterSummary {
    /// Its nodes.
    pub nodes: Vec<NodeSummary>,
    /// Its back ends.
    pub backends: Vec<BackendSummary>,
    /// Its platform.
    pub platform: SocketAddr,
    /// Control paths of its relay.
    pub relay: Option<SocketAddr>,
    /// Tokens of its partners.
    pub tokens: Vec<PartnerToken>,
    /// Folder of logs, settings, data and histories.
    pub folder: PathBuf,
}

impl fmt::Display for ClusterSummary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for node in &self.nodes {
            let disk = if node.has_disk { "disk" } else { "" };
            let NodeSummary {
                name,
                zone,
                address,
                ..
            } = node;
            writeln!(formatter, "node     {name:28} {zone:16} {address} {disk}")?;
        }
        for backend in &self.backends {
            let BackendSummary {
                name,
                zone,
                address,
                ..
            } = backend;
            writeln!(formatter, "back end {name:28} {zone:16} {address}")?;
        }
        writeln!(formatter, "platform {}", self.platform)?;
        if let Some(relay) = self.relay {
            writeln!(formatter, "relay    {relay}")?;
        }
        for token in &self.tokens {
            writeln!(formatter, "token    {:28} {}", token.partner, token.token)?;
        }
        write!(formatter, "folder   {}", self.folder.display())
    }
}
