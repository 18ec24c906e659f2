//! The keys of the settings file, with their defaults.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use ridgeworks_domain::PartnerName;
use serde::Deserialize;

const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// All settings of a node.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Name of the node, unique in the deployment; kept when its machine is replaced.
    pub name: String,
    /// Zone that the node stands in.
    pub zone: String,
    /// Region that the zone belongs to.
    pub region: String,
    /// Address of the HTTP edge for callers and operators.
    pub listen: SocketAddr,
    /// Address of the links between nodes.
    pub link_listen: SocketAddr,
    /// Address that other nodes dial; the link address when absent.
    pub advertise: Option<SocketAddr>,
    /// Link addresses of nodes to join through.
    pub peers: Vec<SocketAddr>,
    /// Addresses to dial instead of advertised ones.
    pub dial_overrides: Vec<DialOverrideSettings>,
    /// Names of the configuration voters.
    pub configuration_voters: Vec<String>,
    /// Partners that may configure the system before the configuration holds them.
    pub bootstrap_partners: Vec<BootstrapPartner>,
    /// Address of the platform's HTTP service.
    pub platform: Option<SocketAddr>,
    /// Limits of the HTTP edge.
    pub edge: EdgeSettings,
    /// The durable store; a node without a data folder carries no replica role.
    pub store: StoreSettings,
    /// Timing of the runs that this node owns.
    pub owner: OwnerSettings,
    /// The search for runs that lack an owner or a replica.
    pub sweep: SweepSettings,
    /// Where log lines go.
    pub log: LogSettings,
}

/// One address to dial instead of an advertised one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DialOverrideSettings {
    /// The address that the other node advertises.
    pub advertised: SocketAddr,
    /// The address to dial from here.
    pub dial: SocketAddr,
}

/// A partner that may configure the system before the configuration holds it.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BootstrapPartner {
    /// Its name.
    pub name: PartnerName,
    /// SHA-256 of its token, in lower-case hexadecimal.
    pub token_sha256: String,
}

/// Limits of the HTTP edge.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EdgeSettings {
    /// Most requests in progress at a time.
    pub max_concurrent_requests: usize,
    /// Largest body of a request.
    pub max_body_bytes: usize,
    /// Longest silence of a connection, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Longest wait for a caller to take bytes, in milliseconds.
    pub write_timeout_ms: u64,
}

/// The durable store.
#[derive(Debug, Clone, PartialEq, Eq, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreSettings {
    /// Folder of all durable data.
    pub data_dir: Option<PathBuf>,
}

/// Timing of the runs that this node owns.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OwnerSettings {
    /// Longest time that a call may take when its caller names no deadline, in milliseconds.
    pub default_deadline_ms: u64,
    /// Longest time that a planned stop waits for requests in progress, in milliseconds.
    pub stop_timeout_ms: u64,
}

/// The search for runs that lack an owner or a replica.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SweepSettings {
    /// A run with a call under way is given another owner when nothing was heard of its owner for this long, in
    /// milliseconds. An owner that merely waits for a long call is asked, but keeps the run.
    pub silent_ms: u64,
    /// A replica is replaced by one on another node when its node has been down for this long, in milliseconds.
    pub dead_ms: u64,
}

impl SweepSettings {
    /// Silence after which an owner is looked for.
    pub fn silent_time(&self) -> Duration {
        Duration::from_millis(self.silent_ms)
    }

    /// Absence after which a replica is replaced.
    pub fn dead_time(&self) -> Duration {
        Duration::from_millis(self.dead_ms)
    }
}

impl Default for SweepSettings {
    fn default() -> Self {
        Self {
            silent_ms: 10_000,
            dead_ms: 60_000,
        }
    }
}

/// Where log lines go.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// File for log lines; standard error when absent.
    pub file: Option<PathBuf>,
    /// Lowest level written: error, warn, info, debug or trace.
    pub level: String,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: String::new(),
            zone: String::new(),
            region: "default".to_owned(),
            listen: SocketAddr::new(LOOPBACK, 0),
            link_listen: SocketAddr::new(LOOPBACK, 0),
            advertise: None,
            peers: Vec::new(),
            dial_overrides: Vec::new(),
            configuration_voters: Vec::new(),
            bootstrap_partners: Vec::new(),
            platform: None,
            edge: EdgeSettings::default(),
            store: StoreSettings::default(),
            owner: OwnerSettings::default(),
            sweep: SweepSettings::default(),
            log: LogSettings::default(),
        }
    }
}

impl Default for EdgeSettings {
    fn default() -> Self {
        Self {
            max_concurrent_requests: 2_000,
            max_body_bytes: 4 * 1024 * 1024,
            idle_timeout_ms: 30_000,
            write_timeout_ms: 10_000,
        }
    }
}

impl Default for OwnerSettings {
    fn default() -> Self {
        Self {
            default_deadline_ms: 120_000,
            stop_timeout_ms: 60_000,
        }
    }
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            file: None,
            level: "info".to_owned(),
        }
    }
}
