//! What a hollow node tells the driver of itself.

use std::sync::atomic::{AtomicU64, Ordering};

use ridgeworks_link::LinkCounters;
use stakker::CX;

use super::hollow_node::HollowNode;
use super::protocol::NodeReport;

impl HollowNode {
    /// Its state and counters.
    pub fn report(&mut self, _cx: CX![]) -> NodeReport {
        let now = self.clock.now();
        let membership = self.membership.counters();
        let machines = self.configuration.machines();
        let present = self.membership.members();
        NodeReport {
            generation: match self.is_silent {
                true => 0,
                false => self.membership.own().incarnation.generation(),
            },
            present: present.filter(|member| member.state.is_present()).count(),
            table_hash: self.membership.table_hash(),
            revision: self.configuration.last_known().revision().0,
            is_ready: self.configuration.in_force(now).is_ok(),
            machines_version: machines.version(),
            machines: machines.machines().count(),
            run_heads: self
                .replica
                .as_ref()
                .map_or(0, |replica| replica.run_count()),
            suspicions: membership.suspicions,
            own_pauses: membership.own_pauses,
            leases_lapsed: self.configuration.counters().leases_lapsed,
            ..link_report(self.index, &self.counters)
        }
    }
}

/// What the counters of its links say of a node, up or down.
pub fn link_report(index: usize, counters: &LinkCounters) -> NodeReport {
    let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    NodeReport {
        index,
        sent_bytes: read(&counters.sent_bytes),
        received_bytes: read(&counters.received_bytes),
        sent_messages: read(&counters.sent_messages),
        received_messages: read(&counters.received_messages),
        dropped_messages: read(&counters.dropped_messages),
        dialled: read(&counters.dialled),
        ..NodeReport::default()
    }
}
