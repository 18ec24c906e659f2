//! The configuration role of a node: one state machine for the daemon's actor to wrap.

use std::sync::Arc;

use ridgeworks_domain::{MonotonicTime, NodeId, Refusal};

use crate::effect::{Effect, Event};
use crate::set::ConfigurationSet;
use crate::settings::ConfigurationSettings;
use crate::voter_state::StoredVoter;

/// The configuration role of one node.
#[derive(Debug)]
pub struct ConfigurationRole {
    settings: ConfigurationSettings,
}

impl ConfigurationRole {
    /// Starts the role. `stored` is what a voter's disk holds, `None` on an empty disk or no voter.
    pub fn new(
        settings: ConfigurationSettings,
        stored: Option<StoredVoter>,
        now: MonotonicTime,
    ) -> Self {
        let _ = (stored, now);
        Self { settings }
    }

    /// Takes one event and returns what is to be done, in order.
    pub fn handle(&mut self, now: MonotonicTime, event: Event) -> Vec<Effect> {
        let _ = (now, event);
        Vec::new()
    }

    /// The configuration in force, or a refusal ([`ridgeworks_domain::RefusalReason::ConfigurationStale`]) where the lease ran out.
    /// Ask before every acceptance of work, with the time of that moment.
    pub fn in_force(&self, now: MonotonicTime) -> Result<&Arc<ConfigurationSet>, Refusal> {
        let _ = now;
        todo!()
    }

    /// This node.
    pub fn node(&self) -> NodeId {
        self.settings.node
    }
}
