//! Settings of a node on the users' platform: one TOML file that the platform renders from the deployment's template.

use std::collections::BTreeMap;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use ridgeworks_quota::{QuotaBounds, WarmUpBounds};
use ridgeworks_routing::ZoneRegions;
use serde::Deserialize;

/// Role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Serves requests of clients.
    Gateway,
    /// Stores records on its disk.
    Replica,
}

impl Role {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Gateway => "gateway",
            Self::Replica => "replica",
        }
    }
}

/// Addresses that a process listens on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Listener for clients; required for a gateway.
    pub callers: Option<SocketAddr>,
    /// Listener for the platform's readiness probes; required for a gateway.
    pub readiness: Option<SocketAddr>,
    /// Port and path of the metrics, as `PORT/PATH`; `None` serves no metrics.
    pub metrics: Option<String>,
}

/// Resource limits of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResourceLimitSettings {
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Open file descriptors.
    pub descriptors: u64,
    /// Disk space, in MB; 0 without a disk.
    #[serde(default)]
    pub disk_mb: u64,
}

/// Services of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the platform's store.
    pub store: SocketAddr,
}

/// Bounds that the deployment guarantees.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoundSettings {
    /// Time from the stop signal until the process is killed, in seconds.
    pub grace_s: f64,
    /// Time without a disturbance after which a node counts as in contact, in milliseconds.
    pub contact_ms: f64,
    /// Time within which a configuration has to be in force everywhere, in milliseconds.
    pub configuration_ms: f64,
    /// Number of machines with a disk that may be lost at the same time.
    pub lost_machines: u32,
    /// How often an engine writes its entry, which lapses after three times as long without a write, in milliseconds.
    #[serde(default = "default_engine_heartbeat_ms")]
    pub engine_heartbeat_ms: f64,
    /// Time after which no request with a revoked key may run, whatever its gateway has learned, in milliseconds; `None`
    /// where that is not guaranteed.
    pub key_removal_ms: Option<f64>,
    /// Time after which the engines of a drained zone get no new requests, in milliseconds; `None` where zones are not drained.
    pub zone_drain_ms: Option<f64>,
    /// Requests that a warming engine may get within a second, as a multiple of its warm-up rate; `None` where engines need
    /// no warm-up.
    pub warm_up_factor: Option<f64>,
    /// Number of requests that a warming engine may get within a second, in addition to `warm_up_factor`.
    pub warm_up_slack: Option<f64>,
    /// Window over which a tenant's requests are counted, in seconds.
    #[serde(default = "default_quota_window_s")]
    pub quota_window_s: f64,
    /// Fraction of a tenant's limit by which it may be exceeded within the window.
    #[serde(default = "default_quota_overshoot")]
    pub quota_overshoot: f64,
    /// Number of requests by which a tenant's limit may be exceeded within the window, in addition to `quota_overshoot`.
    #[serde(default = "default_quota_slack")]
    pub quota_slack: f64,
}

/// Longer than usual: an engine must not seem to live on because its entry has not lapsed yet.
fn default_engine_heartbeat_ms() -> f64 {
    3_000.0
}

/// The quota defaults are what a client may expect of a limit given per second.
fn default_quota_window_s() -> f64 {
    5.0
}

fn default_quota_overshoot() -> f64 {
    0.1
}

fn default_quota_slack() -> f64 {
    20.0
}

impl BoundSettings {
    /// Number of replicas of a set: a majority survives the loss of `lost_machines`.
    pub fn replicas(&self) -> usize {
        2 * self.lost_machines.max(1) as usize + 1
    }

    /// Time within which a configuration has to be in force everywhere.
    pub fn configuration(&self) -> Duration {
        Duration::from_secs_f64(self.configuration_ms / 1_000.0)
    }

    /// Time after which no request with a revoked key may run; `None` where that is not guaranteed.
    pub fn key_removal(&self) -> Option<Duration> {
        let ms = self.key_removal_ms?;
        Some(Duration::from_secs_f64(ms / 1_000.0))
    }

    /// How long the entry of an engine that has ended may stay in the store.
    pub fn engine_entry_lifetime(&self) -> Duration {
        const MISSED_HEARTBEATS: f64 = 3.0;
        Duration::from_secs_f64(MISSED_HEARTBEATS * self.engine_heartbeat_ms / 1_000.0)
    }

    /// Guarantees for the limits of tenants.
    pub fn quota(&self) -> QuotaBounds {
        QuotaBounds {
            window: Duration::from_secs_f64(self.quota_window_s),
            overshoot: self.quota_overshoot,
            slack: self.quota_slack,
        }
    }

    /// Time after which the engines of a drained zone get no new requests; `None` where zones are not drained.
    pub fn zone_drain(&self) -> Option<Duration> {
        let ms = self.zone_drain_ms?;
        Some(Duration::from_secs_f64(ms / 1_000.0))
    }

    /// Guarantees for engines that warm up; `None` where they need no warm-up.
    pub fn warm_up(&self) -> Option<WarmUpBounds> {
        Some(WarmUpBounds {
            factor: self.warm_up_factor?,
            slack: self.warm_up_slack.unwrap_or_default(),
        })
    }

    /// Time from the stop signal until the process is killed.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }
}

/// Settings of one node.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Role of the process.
    pub role: Role,
    /// Name of the node, unique in the deployment.
    pub name: String,
    /// Zone of the node.
    pub zone: String,
    /// Region of each of the deployment's zones; empty where all are in one region.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Address of the node.
    pub address: IpAddr,
    /// Port for links (TCP) and heartbeats (UDP), the same on all nodes.
    pub peer_port: u16,
    /// Addresses of some nodes, for discovery; they may be stale.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole deployment starts for the first time, so that nothing has happened before this process. False after any
    /// restart.
    #[serde(default)]
    pub bootstrap: bool,
    /// Directory of records; required for a replica.
    pub data_folder: Option<PathBuf>,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// Resource limits of the process.
    pub limits: ResourceLimitSettings,
    /// Services of the platform.
    pub platform: PlatformSettings,
    /// Bounds that the deployment guarantees.
    pub bounds: BoundSettings,
}

/// One invalid value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsFault {
    /// The role requires this key.
    Missing(&'static str),
    /// The value is empty or 0.
    Empty(&'static str),
    /// The value of `listen.metrics` is not `PORT/PATH`.
    MetricsAddress(String),
    /// A time is negative or not finite, or 0 where the setting needs a time greater than 0.
    InvalidTime(&'static str),
    /// A fraction or a count is negative or not finite.
    NegativeNumber(&'static str),
    /// The value is not a finite number above 0.
    NotPositive(&'static str),
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(key) => write!(formatter, "{key}: required for this role"),
            Self::Empty(key) => write!(formatter, "{key}: must not be empty or 0"),
            Self::MetricsAddress(value) => {
                write!(formatter, "listen.metrics: {value:?} is not PORT/PATH")
            }
            Self::NegativeNumber(key) => write!(formatter, "{key}: must be 0 or more"),
            Self::InvalidTime(key) => write!(
                formatter,
                "{key}: must be a finite time that is not negative, nor 0 where the setting needs a time greater than 0"
            ),
            Self::NotPositive(key) => write!(formatter, "{key}: must be greater than 0"),
        }
    }
}

/// Error from [`NodeSettings::load`].
#[derive(Debug)]
pub enum NodeSettingsError {
    /// Neither a flag nor the platform gives a file.
    NoFile,
    /// The file could not be read.
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid TOML, or has an unknown or missing key.
    Parse(toml::de::Error),
    /// All invalid values.
    Faults(Vec<SettingsFault>),
}

impl fmt::Display for NodeSettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoFile => write!(formatter, "no settings file is given"),
            Self::Read { path, source } => {
                write!(formatter, "cannot read {}: {source}", path.display())
            }
            Self::Parse(error) => write!(formatter, "{error}"),
            Self::Faults(faults) => {
                let lines: Vec<String> = faults.iter().map(SettingsFault::to_string).collect();
                write!(formatter, "{}", lines.join("\n"))
            }
        }
    }
}

impl std::error::Error for NodeSettingsError {}

impl NodeSettings {
    /// Reads and validates a file.
    pub fn load(path: &Path) -> Result<Self, NodeSettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| NodeSettingsError::Read {
            path: path.to_owned(),
            source,
        })?;
        Self::parse(&text)
    }

    /// Parses and validates the text of a file.
    pub fn parse(text: &str) -> Result<Self, NodeSettingsError> {
        let settings: Self = toml::from_str(text).map_err(NodeSettingsError::Parse)?;
        let faults = settings.faults();
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(NodeSettingsError::Faults(faults))
        }
    }

    /// The regions of the deployment's zones.
    pub fn zone_regions(&self) -> ZoneRegions {
        ZoneRegions::new(self.zones.clone())
    }

    /// Whether the guarantees depend on parts of the configuration and the engines that nodes of protocol version 0 don't
    /// send: regions and warm-up limits.
    pub fn needs_protocol_1(&self) -> bool {
        self.zone_regions().has_multiple_regions() || self.bounds.warm_up_factor.is_some()
    }

    /// Address of this node's links and heartbeats.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.peer_port)
    }

    /// Addresses of the links and heartbeats of the other seeds: their configured IP addresses with this node's `peer_port`. The
    /// ports in `seeds` are ignored.
    pub fn seed_peers(&self) -> Vec<SocketAddr> {
        let others = self.seeds.iter().filter(|seed| seed.ip() != self.address);
        others
            .map(|seed| SocketAddr::new(seed.ip(), self.peer_port))
            .collect()
    }

    /// Whether this node is one of the seeds.
    pub fn is_seed(&self) -> bool {
        self.seeds.iter().any(|seed| seed.ip() == self.address)
    }

    /// Port and path of the metrics; `None` where none are served.
    pub fn metrics(&self) -> Option<(u16, String)> {
        let text = self.listen.metrics.as_deref()?;
        parse_metrics(text)
    }

    fn faults(&self) -> Vec<SettingsFault> {
        let mut faults = Vec::new();
        let mut check = |wrong: bool, fault: SettingsFault| {
            if wrong {
                faults.push(fault);
            }
        };
        let is_gateway = self.role == Role::Gateway;
        check(self.name.is_empty(), SettingsFault::Empty("name"));
        check(self.peer_port == 0, SettingsFault::Empty("peer_port"));
        let is_memory_limit_zero = self.limits.memory_mb == 0;
        check(
            is_memory_limit_zero,
            SettingsFault::Empty("limits.memory_mb"),
        );
        let lacks_callers = is_gateway && self.listen.callers.is_none();
        check(lacks_callers, SettingsFault::Missing("listen.callers"));
        let lacks_readiness = is_gateway && self.listen.readiness.is_none();
        check(lacks_readiness, SettingsFault::Missing("listen.readiness"));
        let lacks_data_folder = !is_gateway && self.data_folder.is_none();
        check(lacks_data_folder, SettingsFault::Missing("data_folder"));
        let is_non_negative = |value: f64| value.is_finite() && value >= 0.0;
        let is_grace_invalid = !is_non_negative(self.bounds.grace_s);
        check(
            is_grace_invalid,
            SettingsFault::InvalidTime("bounds.grace_s"),
        );
        let is_contact_invalid = !is_non_negative(self.bounds.contact_ms);
        check(
            is_contact_invalid,
            SettingsFault::InvalidTime("bounds.contact_ms"),
        );
        let configuration_ms = self.bounds.configuration_ms;
        let is_configuration_bound_invalid =
            !is_non_negative(configuration_ms) || configuration_ms == 0.0;
        check(
            is_configuration_bound_invalid,
            SettingsFault::InvalidTime("bounds.configuration_ms"),
        );
        let is_positive = |value: f64| is_non_negative(value) && value > 0.0;
        check(
            !is_positive(self.bounds.engine_heartbeat_ms),
            SettingsFault::InvalidTime("bounds.engine_heartbeat_ms"),
        );
        let is_key_removal_invalid = !self.bounds.key_removal_ms.is_none_or(is_positive);
        check(
            is_key_removal_invalid,
            SettingsFault::InvalidTime("bounds.key_removal_ms"),
        );
        let is_zone_drain_invalid = !self.bounds.zone_drain_ms.is_none_or(is_positive);
        check(
            is_zone_drain_invalid,
            SettingsFault::NotPositive("bounds.zone_drain_ms"),
        );
        let is_warm_up_factor_invalid = !self.bounds.warm_up_factor.is_none_or(is_positive);
        check(
            is_warm_up_factor_invalid,
            SettingsFault::NotPositive("bounds.warm_up_factor"),
        );
        let is_warm_up_slack_invalid = !self.bounds.warm_up_slack.is_none_or(is_non_negative);
        check(
            is_warm_up_slack_invalid,
            SettingsFault::NegativeNumber("bounds.warm_up_slack"),
        );
        let is_quota_window_invalid = !is_positive(self.bounds.quota_window_s);
        check(
            is_quota_window_invalid,
            SettingsFault::InvalidTime("bounds.quota_window_s"),
        );
        let is_quota_overshoot_invalid = !is_non_negative(self.bounds.quota_overshoot);
        check(
            is_quota_overshoot_invalid,
            SettingsFault::NegativeNumber("bounds.quota_overshoot"),
        );
        let is_quota_slack_invalid = !is_non_negative(self.bounds.quota_slack);
        check(
            is_quota_slack_invalid,
            SettingsFault::NegativeNumber("bounds.quota_slack"),
        );
        if let Some(text) = &self.listen.metrics {
            let unreadable = parse_metrics(text).is_none();
            check(unreadable, SettingsFault::MetricsAddress(text.clone()));
        }
        faults
    }
}

fn parse_metrics(text: &str) -> Option<(u16, String)> {
    let (port, path) = text.split_once('/')?;
    let port = port.parse().ok().filter(|port| *port != 0)?;
    Some((port, format!("/{path}")))
}
