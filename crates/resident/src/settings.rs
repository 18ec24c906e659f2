//! Settings of a node on the users' platform: one TOML file, filled in by the platform from the
//! deployment's template.

use std::collections::BTreeMap;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use ridgeworks_quota::{QuotaBounds, WarmUpBounds};
use ridgeworks_routing::ZoneRegions;
use serde::Deserialize;

/// What a process does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Takes requests of clients.
    Gateway,
    /// Keeps records on its disk.
    Replica,
}

impl Role {
    /// Name for logs and for other nodes.
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
    /// Where clients connect; a gateway needs it.
    pub callers: Option<SocketAddr>,
    /// Where the platform asks for readiness; a gateway needs it.
    pub readiness: Option<SocketAddr>,
    /// Port and path of the metrics, as `PORT/PATH`.
    pub metrics: Option<String>,
}

/// What the machine allows the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LimitSettings {
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Open descriptors.
    pub descriptors: u64,
    /// Disk, in MB; 0 without one.
    #[serde(default)]
    pub disk_mb: u64,
}

/// The platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Its address.
    pub store: SocketAddr,
}

/// Times and counts that the deployment promises to keep.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BoundSettings {
    /// Time from the order to stop until the process is killed, in seconds.
    pub grace_s: f64,
    /// Undisturbed time after which a node counts as in touch, in milliseconds.
    pub contact_ms: f64,
    /// Time within which a configuration has to be in force everywhere, in milliseconds.
    pub configuration_ms: f64,
    /// Machines with a disk that may be lost at once.
    pub lost_machines: u32,
    /// Time after which no request may run any more with a key that was taken away, whatever its gateway has
    /// heard, in milliseconds; none where that is not promised.
    pub key_removal_ms: Option<f64>,
    /// Time within which the engines of a zone that is drained get nothing more, in milliseconds; none where zones are not
    /// drained.
    pub zone_drain_ms: Option<f64>,
    /// How many times what an engine bears while it warms up it may get within a second; none where engines need not warm up.
    pub warm_up_factor: Option<f64>,
    /// Requests that it may get in that time besides.
    pub warm_up_slack: Option<f64>,
    /// Over how long the requests of a tenant are counted, in seconds.
    #[serde(default = "default_quota_window_s")]
    pub quota_window_s: f64,
    /// Part of what a tenant may make in that time by which it may be exceeded.
    #[serde(default = "default_quota_overshoot")]
    pub quota_overshoot: f64,
    /// Requests of a tenant in that time by which it may be exceeded besides.
    #[serde(default = "default_quota_slack")]
    pub quota_slack: f64,
}

/// Where nothing is promised of limits they hold about as well as anybody expects of a rate a second.
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
    /// Replicas wanted, so that a majority survives the losses.
    pub fn replicas(&self) -> usize {
        2 * self.lost_machines.max(1) as usize + 1
    }

    /// Time within which a configuration has to be in force everywhere.
    pub fn configuration(&self) -> Duration {
        Duration::from_secs_f64(self.configuration_ms / 1_000.0)
    }

    /// Time after which no request may run any more with a key that was taken away.
    pub fn key_removal(&self) -> Option<Duration> {
        let ms = self.key_removal_ms?;
        Some(Duration::from_secs_f64(ms / 1_000.0))
    }

    /// What is promised of the limits of tenants.
    pub fn quota(&self) -> QuotaBounds {
        QuotaBounds {
            window: Duration::from_secs_f64(self.quota_window_s),
            overshoot: self.quota_overshoot,
            slack: self.quota_slack,
        }
    }

    /// Time within which the engines of a zone that is drained get nothing more.
    pub fn zone_drain(&self) -> Option<Duration> {
        let ms = self.zone_drain_ms?;
        Some(Duration::from_secs_f64(ms / 1_000.0))
    }

    /// What is promised of engines that warm up; nothing where they need no care.
    pub fn warm_up(&self) -> Option<WarmUpBounds> {
        Some(WarmUpBounds {
            factor: self.warm_up_factor?,
            slack: self.warm_up_slack.unwrap_or_default(),
        })
    }

    /// Time from the order to stop until the process is killed.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }
}

/// Settings of one process.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// What the process does.
    pub role: Role,
    /// Name of the node; no two nodes share it.
    pub name: String,
    /// Zone of the node.
    pub zone: String,
    /// The deployment's zones, each with its region; none where all stand in one region.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Address of the node.
    pub address: IpAddr,
    /// Port on which nodes talk to each other, the same on all nodes; TCP and UDP.
    pub peer_port: u16,
    /// Addresses of some nodes; they may be stale.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Folder for records; a replica needs it.
    pub data_folder: Option<PathBuf>,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// What the machine allows.
    pub limits: LimitSettings,
    /// The platform's store.
    pub platform: PlatformSettings,
    /// What the deployment promises.
    pub bounds: BoundSettings,
}

/// One value that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsFault {
    /// The role needs this key.
    Missing(&'static str),
    /// The value must not be empty or 0.
    Empty(&'static str),
    /// The metrics are not given as `PORT/PATH`.
    MetricsAddress(String),
    /// A time is negative or no number.
    Time(&'static str),
    /// A part or a count is negative or no number.
    Share(&'static str),
    /// The value has to be a number above 0.
    NotPositive(&'static str),
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing(key) => write!(formatter, "{key}: the role needs it"),
            Self::Empty(key) => write!(formatter, "{key}: must not be empty or 0"),
            Self::MetricsAddress(value) => {
                write!(formatter, "listen.metrics: {value:?} is not PORT/PATH")
            }
            Self::Share(key) => write!(formatter, "{key}: must be 0 or more"),
            Self::Time(key) => write!(formatter, "{key}: must be a time of 0 or more"),
            Self::NotPositive(key) => write!(formatter, "{key}: must be more than 0"),
        }
    }
}

/// Why settings could not be loaded.
#[derive(Debug)]
pub enum NodeSettingsError {
    /// Neither a flag nor the platform names a file.
    NoFile,
    /// The file could not be read.
    Read {
        /// Its path.
        path: PathBuf,
        /// What the system answered.
        source: std::io::Error,
    },
    /// The file is no valid TOML, or has a key that is not known.
    Parse(toml::de::Error),
    /// Values are not allowed; all faults are listed.
    Faults(Vec<SettingsFault>),
}

impl fmt::Display for NodeSettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoFile => write!(formatter, "no settings file is named"),
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
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<Self, NodeSettingsError> {
        let text = std::fs::read_to_string(path).map_err(|source| NodeSettingsError::Read {
            path: path.to_owned(),
            source,
        })?;
        Self::parse(&text)
    }

    /// Reads and checks the text of a file.
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

    /// Whether what is promised hangs on something that nodes of the first protocol version do not tell of the
    /// configuration and the engines: regions, and what engines bear while they warm up.
    pub fn need_extras(&self) -> bool {
        self.zone_regions().has_multiple_regions() || self.bounds.warm_up_factor.is_some()
    }

    /// Where other nodes reach this one.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.peer_port)
    }

    /// Where the seeds are reached by nodes.
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

    /// Port and path of the metrics.
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
        let no_memory = self.limits.memory_mb == 0;
        check(no_memory, SettingsFault::Empty("limits.memory_mb"));
        let no_callers = is_gateway && self.listen.callers.is_none();
        check(no_callers, SettingsFault::Missing("listen.callers"));
        let no_readiness = is_gateway && self.listen.readiness.is_none();
        check(no_readiness, SettingsFault::Missing("listen.readiness"));
        let no_folder = !is_gateway && self.data_folder.is_none();
        check(no_folder, SettingsFault::Missing("data_folder"));
        let is_time = |value: f64| value.is_finite() && value >= 0.0;
        let bad_grace = !is_time(self.bounds.grace_s);
        check(bad_grace, SettingsFault::Time("bounds.grace_s"));
        let bad_contact = !is_time(self.bounds.contact_ms);
        check(bad_contact, SettingsFault::Time("bounds.contact_ms"));
        let configuration_ms = self.bounds.configuration_ms;
        let bad_bound = !is_time(configuration_ms) || configuration_ms == 0.0;
        check(bad_bound, SettingsFault::Time("bounds.configuration_ms"));
        let is_positive = |value: f64| is_time(value) && value > 0.0;
        let bad_removal = !self.bounds.key_removal_ms.is_none_or(is_positive);
        check(bad_removal, SettingsFault::Time("bounds.key_removal_ms"));
        let bad_drain = !self.bounds.zone_drain_ms.is_none_or(is_positive);
        check(
            bad_drain,
            SettingsFault::NotPositive("bounds.zone_drain_ms"),
        );
        let bad_factor = !self.bounds.warm_up_factor.is_none_or(is_positive);
        check(
            bad_factor,
            SettingsFault::NotPositive("bounds.warm_up_factor"),
        );
        let bad_warm_slack = !self.bounds.warm_up_slack.is_none_or(is_time);
        check(bad_warm_slack, SettingsFault::Share("bounds.warm_up_slack"));
        let bad_window = !is_positive(self.bounds.quota_window_s);
        check(bad_window, SettingsFault::Time("bounds.quota_window_s"));
        let bad_overshoot = !is_time(self.bounds.quota_overshoot);
        check(
            bad_overshoot,
            SettingsFault::Share("bounds.quota_overshoot"),
        );
        let bad_slack = !is_time(self.bounds.quota_slack);
        check(bad_slack, SettingsFault::Share("bounds.quota_slack"));
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
