//! Faults of the links between nodes, and between nodes and the platform.

use std::time::Duration;

use crate::cluster::{ClusterError, LinkState, NodePlan, PLATFORM_END, RelayControl};

/// What happens to the links between some nodes and all others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// As the preset has them.
    None,
    /// No bytes pass.
    Cut,
    /// Bytes pass to these nodes only, not from them.
    CutOutgoing,
    /// Bytes take this much longer each way.
    Delay(Duration),
}

/// The links of a deployment.
#[derive(Debug, Clone)]
pub struct Links {
    relay: RelayControl,
    nodes: Vec<NodePlan>,
    between_zones: Duration,
}

impl Links {
    /// The links that a relay forwards; those between zones have a delay of their own.
    pub fn new(relay: RelayControl, nodes: Vec<NodePlan>, between_zones: Duration) -> Self {
        Self {
            relay,
            nodes,
            between_zones,
        }
    }

    /// Puts a fault on all links between `targets` and the others, and those to the platform.
    pub fn set(&self, targets: &[String], fault: LinkFault) -> Result<(), ClusterError> {
        let is_hit = |node: &NodePlan| targets.contains(&node.name);
        for hit in self.nodes.iter().filter(|node| is_hit(node)) {
            for other in self.nodes.iter().filter(|node| !is_hit(node)) {
                self.set_link(hit, other, fault, true)?;
                self.set_link(other, hit, fault, false)?;
            }
            self.apply(&hit.name, PLATFORM_END, fault, true, Duration::ZERO)?;
        }
        Ok(())
    }

    fn set_link(
        &self,
        from: &NodePlan,
        to: &NodePlan,
        fault: LinkFault,
        dialled_by_hit: bool,
    ) -> Result<(), ClusterError> {
        let usual = if from.zone == to.zone {
            Duration::ZERO
        } else {
            self.between_zones
        };
        self.apply(&from.name, &to.name, fault, dialled_by_hit, usual)
    }

    fn apply(
        &self,
        from: &str,
        to: &str,
        fault: LinkFault,
        dialled_by_hit: bool,
        usual: Duration,
    ) -> Result<(), ClusterError> {
        if !self.relay.has_link(from, to) {
            return Ok(());
        }
        match fault {
            LinkFault::None => {
                self.relay.set_delay(from, to, usual)?;
                self.relay.set_state(from, to, LinkState::Up)
            }
            LinkFault::Cut => self.relay.set_state(from, to, LinkState::Cut),
            LinkFault::CutOutgoing if dialled_by_hit => {
                self.relay.set_state(from, to, LinkState::CutToTarget)
            }
            LinkFault::CutOutgoing => self.relay.set_state(from, to, LinkState::CutFromTarget),
            LinkFault::Delay(delay) => self.relay.set_delay(from, to, usual + delay),
        }
    }
}
