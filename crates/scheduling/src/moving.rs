//! The part of the dispatcher that moves contexts between engines.

use ridgeworks_domain::{BackendName, MonotonicTime, RunId};

use crate::backends::BackendIndex;
use crate::dispatcher::Dispatcher;
use crate::effect::Effect;
use crate::queue::Lane;

impl Dispatcher {
    /// Drops the copies of a run's context that its move to `index` leaves behind.
    pub(crate) fn release_elsewhere(&mut self, run: RunId, index: BackendIndex) {
        if !self.settings.policy.retention {
            return;
        }
        for place in self.prefixes.places(run).to_vec() {
            if place.backend != index {
                self.release(run, place.backend);
            }
        }
    }

    /// Asks for a context to be moved.
    pub(crate) fn move_context(&mut self, run: RunId, from: BackendIndex, to: BackendIndex) {
        let (Some(from), Some(to)) = (self.name_of(from), self.name_of(to)) else {
            return;
        };
        self.effects.push(Effect::MoveContext { run, from, to });
    }

    /// A context has arrived, or its move failed; the grants that waited for it go out.
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

    /// Puts calls back into the queue whose context was on its way to a back end.
    pub(crate) fn requeue_moving(&mut self, now: MonotonicTime, index: BackendIndex) {
        for ticket in self.grants.moving_to(index, None) {
            let Some(grant) = self.grants.remove(ticket) else {
                continue;
            };
            self.give_back_slot(&grant);
            let mut waiting = grant.waiting;
            waiting.home = None;
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
