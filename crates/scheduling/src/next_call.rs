//! The part of the dispatcher that decides which waiting call a free slot goes to.

use crate::backends::BackendIndex;
use crate::dispatcher::Dispatcher;
use crate::event::Ticket;
use crate::queue::{Lane, LaneQueue, OrderKey};
use crate::settings::PlacementRule;

/// Calls of a lane that are looked at for one free slot, beyond the first of each kind.
const LOOK_AHEAD: usize = 8;
/// A call may overtake one that is due this much earlier when its context is where the slot is.
const LOCALITY_SLACK_MICROS: i64 = 2_000_000;

impl Dispatcher {
    /// The waiting call that a free slot of a back end goes to, if any should take it.
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
        let here = lane.head_of_home(Some(index));
        let anywhere = lane.head_of_home(None);
        let bound = [here, anywhere].into_iter().flatten().min();
        match self.settings.policy.placement {
            PlacementRule::RoundRobin
            | PlacementRule::LeastReportedLoad
            | PlacementRule::TwoChoicesReportedLoad
            | PlacementRule::PrefixSticky => bound.map(|(_, ticket)| ticket),
            PlacementRule::LeastLoaded => lane.head().map(|(_, ticket)| ticket),
            PlacementRule::ExpectedCost => self.next_by_cost(lane, index),
        }
    }

    fn next_by_cost(&self, lane: &LaneQueue, index: BackendIndex) -> Option<Ticket> {
        let (first_key, first) = lane.head()?;
        let bound = [Some(index), None].map(|home| self.first_with_room(lane, home, index));
        let bound = bound.into_iter().flatten().min();
        if let Some((key, ticket)) = bound
            && key.position - first_key.position <= LOCALITY_SLACK_MICROS
        {
            return Some(ticket);
        }
        if self.would_leave_home(first, index, 0) {
            return Some(first);
        }
        let bound = bound.map(|(_, ticket)| ticket);
        bound.or_else(|| self.next_that_would_move(lane, index))
    }

    fn first_with_room(
        &self,
        lane: &LaneQueue,
        home: Option<BackendIndex>,
        index: BackendIndex,
    ) -> Option<(OrderKey, Ticket)> {
        let mut heads = lane.iter_home(home).take(LOOK_AHEAD);
        heads.find(|(_, ticket)| self.has_room(*ticket, index))
    }

    fn has_room(&self, ticket: Ticket, index: BackendIndex) -> bool {
        let waiting = self.queue.get(ticket);
        waiting.is_some_and(|waiting| {
            let view = self.placement_view(waiting.partner);
            view.may_go(&waiting.call, index)
        })
    }

    fn next_that_would_move(&self, lane: &LaneQueue, index: BackendIndex) -> Option<Ticket> {
        let mut heads = lane.iter().take(LOOK_AHEAD).enumerate();
        let found =
            heads.find(|(ahead, (_, ticket))| self.would_leave_home(*ticket, index, *ahead));
        found.map(|(_, (_, ticket))| ticket)
    }

    fn would_leave_home(&self, ticket: Ticket, index: BackendIndex, ahead: usize) -> bool {
        let Some(waiting) = self.queue.get(ticket) else {
            return false;
        };
        let view = self.placement_view(waiting.partner);
        if !view.may_go(&waiting.call, index) {
            return false;
        }
        let Some(home) = waiting.home else {
            return true;
        };
        view.beats_waiting(&waiting.call, index, home, ahead)
    }

    /// Where the call's context is to be moved from, if that is better than computing it again.
    pub(crate) fn move_source(&self, ticket: Ticket, index: BackendIndex) -> Option<BackendIndex> {
        self.settings.context_move.as_ref()?;
        let waiting = self.queue.get(ticket)?;
        let view = self.placement_view(waiting.partner);
        view.move_source(&waiting.call, index)
    }
}
