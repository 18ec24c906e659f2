//! Dispatcher: moves contexts between engines.

use ridgeworks_domain::{BackendName, MonotonicTime, RunId};

use crate::backends::BackendIndex;
use crate::dispatcher::Dispatcher;
use crate::effect::Effect;
use crate::queue::Lane;

impl Dispatcher {
    /// Releases the run's contexts at all engines except `index`, where the run continues.
    pub(crate) fn release_elsewhere(&mut self, run: RunId, index: BackendIndex) {
        if !self.settings.policy.retention {
            return;
        }
        for location in self.prefixes.locations(run).to_vec() {
            if location.backend != index {
                self.release(run, location.backend);
            }
        }
    }

    pub(crate) fn move_context(&mut self, run: RunId, from: BackendIndex, to: BackendIndex) {
        let (Some(from), Some(to)) = (self.backend_name(from), self.backend_name(to)) else {
            return;
        };
        self.effects.push(Effect::MoveContext { run, from, to });
    }

    /// Sends the grants that waited for a context to be moved, whether the move succeeded or not.
    pub(crate) fn context_moved(
        &mut self,
        now: MonotonicTime,
        run: RunId,
        to: &BackendName,
        tokens: u64,
    ) {
        let Some(index) = self.backends.index(to) else {
            return;
        };
        if tokens > 0 {
            self.prefixes.store(run, index, tokens);
        }
        for ticket in self.grants.moving_to(index, Some(run)) {
            self.offer(now, ticket);
        }
    }

    /// Returns calls to the queue whose context was being moved to a backend.
    pub(crate) fn requeue_moving(&mut self, now: MonotonicTime, index: BackendIndex) {
        for ticket in self.grants.moving_to(index, None) {
            let Some(grant) = self.grants.remove(ticket) else {
                continue;
            };
            self.free_slot(&grant);
            let mut waiting = grant.waiting;
            waiting.affinity = None;
            let urgent = waiting.lane == Lane::Urgent;
            self.queue.insert(waiting);
            if urgent {
                self.grant_urgent(now);
            } else {
                self.place(now, ticket);
            }
        }
    }
}
