//! Process functions that are common to all roles: metrics, reload of settings, shutdown.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use prometheus_client::registry::Registry;

use crate::build;
use crate::http_server::{self, TextResponse};
use crate::metrics;
use crate::node::{Node, ReloadReason};
use crate::shutdown::{ProcessSignal, Signals};
use crate::traffic::TrafficCollector;

/// How often the settings file is read, since it may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(5);

/// Why a role could not run.
#[derive(Debug)]
pub enum RoleError {
    /// A socket could not be bound or a signal handler not installed.
    Io(io::Error),
    /// The settings lack a key that the role needs.
    MissingSetting(&'static str),
}

impl fmt::Display for RoleError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(formatter, "{error}"),
            Self::MissingSetting(key) => write!(formatter, "missing setting {key}"),
        }
    }
}

impl std::error::Error for RoleError {}

impl From<io::Error> for RoleError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// Serves a registry at the address of `listen.metrics`, if it is set. `update` is called before each response to refresh gauges.
pub async fn serve_metrics(
    node: &Node,
    mut registry: Registry,
    update: impl Fn() + 'static,
) -> io::Result<()> {
    if let Some(traffic) = &node.traffic {
        let counts = Arc::clone(&traffic.counts);
        registry.register_collector(Box::new(TrafficCollector(counts)));
    }
    let Some((port, metrics_path)) = node.settings.metrics() else {
        return Ok(());
    };
    let address = SocketAddr::new(node.settings.address, port);
    let answer = move |path: &str| {
        if path != metrics_path {
            return TextResponse::empty(StatusCode::NOT_FOUND);
        }
        update();
        metrics::answer(&registry)
    };
    http_server::serve(address, answer).await
}

/// Logs that the role has started, then reloads the settings after signals and periodically, until a signal stops the
/// process.
pub async fn run_until_stopped(node: &Node, settings_path: &Path, signals: &mut Signals) {
    let settings = &node.settings;
    let build = build::here();
    log::info!(
        target: "process",
        node = settings.name.as_str(),
        role = settings.role.name(),
        commit = build.commit.as_str(),
        protocol = build.protocol,
        disk = build.disk;
        "started"
    );
    loop {
        tokio::select! {
            signal = signals.next() => match signal {
                ProcessSignal::Reload => node.reload(settings_path, ReloadReason::Signal),
                ProcessSignal::Stop => return,
            },
            () = tokio::time::sleep(SETTINGS_INTERVAL) => {
                node.reload(settings_path, ReloadReason::Interval);
            }
        }
    }
}
