//! How a node's settings become those of its links.

use std::time::{SystemTime, UNIX_EPOCH};

use ridgeworks_domain::NodeId;
use ridgeworks_link::{DialOverride, LinkSettings};
use ridgeworks_membership::Incarnation;

use crate::settings::Settings;

const MAX_QUEUED_LINK_BYTES: usize = 64 * 1024 * 1024;

/// Settings of the links between nodes.
pub fn link_settings(settings: &Settings) -> LinkSettings {
    let overrides = settings.dial_overrides.iter().map(|entry| DialOverride {
        advertised: entry.advertised,
        dial: entry.dial,
    });
    LinkSettings {
        listen: settings.link_listen,
        node: NodeId::from_name(&settings.name),
        incarnation: incarnation().0,
        dial_overrides: overrides.collect(),
        max_queued_bytes: MAX_QUEUED_LINK_BYTES,
    }
}

/// Tells this start of the node from earlier ones.
pub(super) fn incarnation() -> Incarnation {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation::at_start(now.map_or(0, |elapsed| elapsed.as_millis() as u64))
}
