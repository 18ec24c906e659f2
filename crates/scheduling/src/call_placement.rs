//! Dispatcher: applies the placement rule to one call.

use rand_chacha::rand_core::Rng;

use crate::backends::{BackendIndex, BackendState};
use crate::dispatcher::Dispatcher;
use crate::event::Ticket;
use crate::placement::{Choice, PlacementView, PrefixLocations};
use crate::queue::{Lane, WaitingCall};
use crate::settings::PlacementRule;
use crate::shares::PartnerIndex;
use crate::working_set::WorkingSet;

const URGENT_LATENCY_WEIGHT: u8 = 100;

impl Dispatcher {
    /// Chooses the backend for a waiting call by the placement rule.
    pub(crate) fn choose(&mut self, ticket: Ticket) -> Choice {
        let rule = self.settings.policy.placement;
        let urgent = self.queue.get(ticket).map(|waiting| waiting.lane) == Some(Lane::Urgent);
        let affinity = match rule {
            _ if urgent => None,
            PlacementRule::RoundRobin => self.affinity_or(ticket, Self::round_robin_backend),
            PlacementRule::LeastReportedLoad => self.affinity_or(ticket, Self::least_reported),
            PlacementRule::TwoChoicesReportedLoad => self.affinity_or(ticket, Self::two_choices),
            PlacementRule::PrefixSticky => self.longest_prefix_backend(ticket),
            PlacementRule::LeastLoaded | PlacementRule::ExpectedCost => None,
        };
        let Some(waiting) = self.queue.get(ticket) else {
            return Choice::NoSuitableSlot { affinity: None };
        };
        match affinity {
            Some(affinity) => self.choose_preferred(waiting, affinity),
            None if rule == PlacementRule::ExpectedCost => self.least_cost(waiting),
            None => self.least_loaded(waiting),
        }
    }

    /// Inputs of placement decisions for a partner's calls.
    pub(crate) fn placement_view(&self, partner: PartnerIndex) -> PlacementView<'_> {
        PlacementView {
            backends: &self.backends,
            prefixes: &self.prefixes,
            service_times: &self.service_times,
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
        let ahead = |affinity| lane.map_or(0, |lane| lane.len_of_affinity(affinity));
        view.least_cost(&waiting.call, ahead)
    }

    fn choose_preferred(&self, waiting: &WaitingCall, affinity: BackendIndex) -> Choice {
        let urgent = waiting.lane == Lane::Urgent;
        let state = self.backends.get(affinity);
        if state.is_some_and(|state| state.has_slot(urgent)) {
            return Choice::Now {
                backend: affinity,
                move_from: None,
            };
        }
        Choice::WaitFor(affinity)
    }

    fn least_loaded(&self, waiting: &WaitingCall) -> Choice {
        let urgent = waiting.lane == Lane::Urgent;
        let free = self
            .backends
            .iter()
            .filter(|(_, state)| state.has_slot(urgent));
        let least = free.min_by_key(|(_, state)| state.in_flight);
        least.map_or(Choice::NoSuitableSlot { affinity: None }, |(backend, _)| {
            Choice::Now {
                backend,
                move_from: None,
            }
        })
    }

    fn longest_prefix_backend(&self, ticket: Ticket) -> Option<BackendIndex> {
        let waiting = self.queue.get(ticket)?;
        PrefixLocations::of(&waiting.call, &self.prefixes).best(&self.backends)
    }

    fn affinity_or(
        &mut self,
        ticket: Ticket,
        pick: fn(&mut Self) -> Option<BackendIndex>,
    ) -> Option<BackendIndex> {
        let affinity = self.queue.get(ticket)?.affinity;
        affinity.or_else(|| pick(self))
    }

    fn round_robin_backend(&mut self) -> Option<BackendIndex> {
        let accepting = self.accepting();
        let turn = self.round_robin_counter as usize;
        self.round_robin_counter = self.round_robin_counter.wrapping_add(1);
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
