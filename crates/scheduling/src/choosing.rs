//! The part of the dispatcher that applies its placement rule to one call.

use rand_chacha::rand_core::Rng;

use crate::backends::{BackendIndex, BackendState};
use crate::dispatcher::Dispatcher;
use crate::event::Ticket;
use crate::placement::{Choice, PlacementView, PrefixPlaces};
use crate::queue::{Lane, WaitingCall};
use crate::settings::PlacementRule;
use crate::shares::PartnerIndex;
use crate::working_set::WorkingSet;

const URGENT_LATENCY_WEIGHT: u8 = 100;

impl Dispatcher {
    /// Where a waiting call should go.
    pub(crate) fn choose(&mut self, ticket: Ticket) -> Choice {
        let rule = self.settings.policy.placement;
        let urgent = self.queue.get(ticket).map(|waiting| waiting.lane) == Some(Lane::Urgent);
        let home = match rule {
            _ if urgent => None,
            PlacementRule::RoundRobin => self.home_or(ticket, Self::next_in_turn),
            PlacementRule::LeastReportedLoad => self.home_or(ticket, Self::least_reported),
            PlacementRule::TwoChoicesReportedLoad => self.home_or(ticket, Self::two_choices),
            PlacementRule::PrefixSticky => self.prefix_home(ticket),
            PlacementRule::LeastLoaded | PlacementRule::ExpectedCost => None,
        };
        let Some(waiting) = self.queue.get(ticket) else {
            return Choice::Full { home: None };
        };
        match home {
            Some(home) => self.bound_choice(waiting, home),
            None if rule == PlacementRule::ExpectedCost => self.least_cost(waiting),
            None => self.least_loaded(waiting),
        }
    }

    /// What placement decisions for a partner rest on.
    pub(crate) fn placement_view(&self, partner: PartnerIndex) -> PlacementView<'_> {
        PlacementView {
            backends: &self.backends,
            prefixes: &self.prefixes,
            estimate: &self.estimate,
            context_move: self.settings.context_move.as_ref(),
            working_set: WorkingSet {
                retention: &self.retention,
                permille: self.settings.working_set_permille,
                bounded: self.settings.policy.working_set,
            },
            latency_weight: self.shares.latency_weight(partner),
        }
    }

    fn least_cost(&self, waiting: &WaitingCall) -> Choice {
        let mut view = self.placement_view(waiting.partner);
        if waiting.lane == Lane::Urgent {
            view.latency_weight = URGENT_LATENCY_WEIGHT;
        }
        let lane = self.queue.lane(waiting.lane);
        let ahead = |home| lane.map_or(0, |lane| lane.len_of_home(home));
        view.least_cost(&waiting.call, ahead)
    }

    fn bound_choice(&self, waiting: &WaitingCall, home: BackendIndex) -> Choice {
        let urgent = waiting.lane == Lane::Urgent;
        let state = self.backends.get(home);
        if state.is_some_and(|state| state.has_slot(urgent)) {
            return Choice::Now {
                backend: home,
                move_from: None,
            };
        }
        Choice::WaitFor(home)
    }

    fn least_loaded(&self, waiting: &WaitingCall) -> Choice {
        let urgent = waiting.lane == Lane::Urgent;
        let free = self
            .backends
            .iter()
            .filter(|(_, state)| state.has_slot(urgent));
        let least = free.min_by_key(|(_, state)| state.in_flight);
        least.map_or(Choice::Full { home: None }, |(backend, _)| Choice::Now {
            backend,
            move_from: None,
        })
    }

    fn prefix_home(&self, ticket: Ticket) -> Option<BackendIndex> {
        let waiting = self.queue.get(ticket)?;
        PrefixPlaces::of(&waiting.call, &self.prefixes).best(&self.backends)
    }

    fn home_or(
        &mut self,
        ticket: Ticket,
        pick: fn(&mut Self) -> Option<BackendIndex>,
    ) -> Option<BackendIndex> {
        let home = self.queue.get(ticket)?.home;
        home.or_else(|| pick(self))
    }

    fn next_in_turn(&mut self) -> Option<BackendIndex> {
        let accepting = self.accepting();
        let turn = self.next_in_turn as usize;
        self.next_in_turn = self.next_in_turn.wrapping_add(1);
        accepting.get(turn % accepting.len().max(1)).copied()
    }

    fn least_reported(&mut self) -> Option<BackendIndex> {
        let accepting = self.accepting().into_iter();
        accepting.min_by_key(|index| self.reported_calls(*index))
    }

    fn two_choices(&mut self) -> Option<BackendIndex> {
        let accepting = self.accepting();
        let drawn = [self.draw(&accepting)?, self.draw(&accepting)?];
        let drawn = drawn.into_iter();
        drawn.min_by_key(|index| self.reported_calls(*index))
    }

    fn draw(&mut self, from: &[BackendIndex]) -> Option<BackendIndex> {
        let number = self.random.next_u64() as usize;
        from.get(number % from.len().max(1)).copied()
    }

    fn reported_calls(&self, index: BackendIndex) -> u32 {
        let state = self.backends.get(index);
        state.map_or(u32::MAX, |state| state.reported_calls)
    }

    fn accepting(&self) -> Vec<BackendIndex> {
        let accepting = self.backends.iter();
        let accepting = accepting.filter(|(_, state)| BackendState::accepts(state));
        accepting.map(|(index, _)| index).collect()
    }
}
