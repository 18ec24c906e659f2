//! Build information of this process, for `--version`, the log, metrics and other nodes.

use std::fmt;
use std::sync::OnceLock;

use prometheus_client::metrics::info::Info;
use prometheus_client::registry::Registry;
use ridgeworks_records::DISK_VERSION;

use crate::peer::{Build, PROTOCOL};

const UNKNOWN: &str = "unknown";

static COMMIT: OnceLock<&'static str> = OnceLock::new();

/// Sets the commit that the program was built from; `None` where it is unknown. Only the first call counts.
pub fn set_commit(commit: Option<&'static str>) {
    let _ = COMMIT.set(commit.unwrap_or(UNKNOWN));
}

/// Build information of this process.
pub fn here() -> Build {
    Build {
        commit: (*COMMIT.get().unwrap_or(&UNKNOWN)).to_owned(),
        protocol: PROTOCOL,
        disk: DISK_VERSION,
    }
}

impl fmt::Display for Build {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            commit,
            protocol,
            disk,
        } = self;
        write!(
            formatter,
            "commit {commit}, protocol {protocol}, disk {disk}"
        )
    }
}

/// Registers the build information as a metric.
pub fn register(registry: &mut Registry) {
    let Build {
        commit,
        protocol,
        disk,
    } = here();
    let labels = vec![
        ("commit", commit),
        ("protocol", protocol.to_string()),
        ("disk", disk.to_string()),
    ];
    registry.register("build", "What the process runs", Info::new(labels));
}
