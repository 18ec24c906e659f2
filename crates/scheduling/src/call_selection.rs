//! Dispatcher: selects the waiting call for a free slot.

use crate::backends::BackendIndex;
use crate::dispatcher::Dispatcher;
use crate::event::Ticket;
use crate::queue::{Lane, LaneQueue, OrderKey};
use crate::settings::PlacementRule;

/// Maximum number of calls considered in each search for a call for a free slot. The calls with affinity
/// to the slot's backend, those without affinity, and all calls of the lane are searched separately.
const MAX_CANDIDATES: usize = 8;
/// A call with affinity to the slot's backend, or without affinity, gets the slot before the lane's
/// first call if its queue position is at most this much later. If it is later than that, it gets the
/// slot only if the first call should not run at the backend.
const LOCALITY_SLACK_MICROS: i64 = 2_000_000;

impl Dispatcher {
    /// The waiting call that should get a free slot of the backend; `None` to leave the slot free.
    pub(crate) fn next_for(&self, index: BackendIndex) -> Option<Ticket> {
        let state = self.backends.get(index)?;
        if let Some(urgent) = self.queue.urgent_head() {
            return state.has_slot(true).then_some(urgent);
        }
        if !state.has_slot(false) {
            return None;
        }
        let mut partners = self.shares.order().into_iter();
        partners.find_map(|partner| {
            let lane = self.queue.lane(Lane::Routine(partner))?;
            self.next_of_lane(lane, index)
        })
    }

    fn next_of_lane(&self, lane: &LaneQueue, index: BackendIndex) -> Option<Ticket> {
        let here = lane.head_of_affinity(Some(index));
        let anywhere = lane.head_of_affinity(None);
        let preferred = [here, anywhere].into_iter().flatten().min();
        match self.settings.policy.placement {
            PlacementRule::RoundRobin
            | PlacementRule::LeastReportedLoad
            | PlacementRule::TwoChoicesReportedLoad
            | PlacementRule::PrefixSticky => preferred.map(|(_, ticket)| ticket),
            PlacementRule::LeastLoaded => lane.head().map(|(_, ticket)| ticket),
            PlacementRule::ExpectedCost => self.next_by_cost(lane, index),
        }
    }

    fn next_by_cost(&self, lane: &LaneQueue, index: BackendIndex) -> Option<Ticket> {
        let (first_key, first) = lane.head()?;
        let preferred =
            [Some(index), None].map(|affinity| self.first_with_room(lane, affinity, index));
        let preferred = preferred.into_iter().flatten().min();
        if let Some((key, ticket)) = preferred
            && key.position - first_key.position <= LOCALITY_SLACK_MICROS
        {
            return Some(ticket);
        }
        if self.should_run_at(first, index, 0) {
            return Some(first);
        }
        let preferred = preferred.map(|(_, ticket)| ticket);
        preferred.or_else(|| self.first_cheaper_here(lane, index))
    }

    fn first_with_room(
        &self,
        lane: &LaneQueue,
        affinity: Option<BackendIndex>,
        index: BackendIndex,
    ) -> Option<(OrderKey, Ticket)> {
        let mut heads = lane.iter_affinity(affinity).take(MAX_CANDIDATES);
        heads.find(|(_, ticket)| self.has_room(*ticket, index))
    }

    fn has_room(&self, ticket: Ticket, index: BackendIndex) -> bool {
        let waiting = self.queue.get(ticket);
        waiting.is_some_and(|waiting| {
            let view = self.placement_view(waiting.partner);
            view.has_memory_for(&waiting.call, index)
        })
    }

    fn first_cheaper_here(&self, lane: &LaneQueue, index: BackendIndex) -> Option<Ticket> {
        let mut heads = lane.iter().take(MAX_CANDIDATES).enumerate();
        let found = heads.find(|(ahead, (_, ticket))| self.should_run_at(*ticket, index, *ahead));
        found.map(|(_, (_, ticket))| ticket)
    }

    fn should_run_at(&self, ticket: Ticket, index: BackendIndex, ahead: usize) -> bool {
        let Some(waiting) = self.queue.get(ticket) else {
            return false;
        };
        let view = self.placement_view(waiting.partner);
        if !view.has_memory_for(&waiting.call, index) {
            return false;
        }
        let Some(affinity) = waiting.affinity else {
            return true;
        };
        view.is_cheaper_than_waiting(&waiting.call, index, affinity, ahead)
    }

    /// Engine from which the call's context should be moved; `None` if no move is faster than
    /// prefilling, moves are disabled, or the call is not waiting.
    pub(crate) fn move_source(&self, ticket: Ticket, index: BackendIndex) -> Option<BackendIndex> {
        self.settings.context_move.as_ref()?;
        let waiting = self.queue.get(ticket)?;
        let view = self.placement_view(waiting.partner);
        view.move_source(&waiting.call, index)
    }
}
