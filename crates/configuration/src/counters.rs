//! Counters of the configuration role.

use crate::effect::{Effect, OperatorAnswer};

/// Counts of one node's configuration role since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ConfigurationCounters {
    /// Messages sent to other nodes.
    pub messages_sent: u64,
    /// Renewals sent, to voters or to relays.
    pub renewals_sent: u64,
    /// Number of times that the lease was granted or renewed.
    pub leases_granted: u64,
    /// Number of times that the lease expired.
    pub leases_expired: u64,
    /// Number of times that a newer revision was put in force, which may include several changes.
    pub revisions_in_force: u64,
    /// Pushes sent to clients.
    pub pushes_sent: u64,
    /// Received updates whose base is newer than the node's configuration.
    pub updates_mismatched: u64,
    /// Renewals refused because the relay is at its limit of clients.
    pub clients_refused: u64,
    /// Operations sent to the platform.
    pub platform_operations: u64,
    /// Changes answered as accepted.
    pub changes_accepted: u64,
    /// Changes answered as rejected.
    pub changes_rejected: u64,
    /// Changes and reads refused without effect.
    pub requests_refused: u64,
    /// Changes answered with an unknown outcome.
    pub changes_unknown: u64,
}

impl ConfigurationCounters {
    /// Counts the effects of one event.
    pub(crate) fn count(&mut self, effects: &[Effect]) {
        for effect in effects {
            match effect {
                Effect::Send { .. } => self.messages_sent += 1,
                Effect::Platform { .. } => self.platform_operations += 1,
                Effect::Answer { answer, .. } => self.count_answer(answer),
                _ => {}
            }
        }
    }

    fn count_answer(&mut self, answer: &OperatorAnswer) {
        match answer {
            OperatorAnswer::Accepted { .. } => self.changes_accepted += 1,
            OperatorAnswer::Rejected(_) => self.changes_rejected += 1,
            OperatorAnswer::Refused(_) => self.requests_refused += 1,
            OperatorAnswer::Unknown => self.changes_unknown += 1,
            OperatorAnswer::Newest(_) => {}
        }
    }
}
