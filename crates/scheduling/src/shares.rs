//! Partner shares: slots are divided in proportion to the shares, and unused slots are lent to the
//! other partners.
//!
//! The partner with the fewest slots in use relative to its share goes next. A partner that becomes
//! active again thus gets every freed slot until it has reached its share.

use std::cmp::Reverse;
use std::collections::HashMap;

use ridgeworks_domain::PartnerName;

use crate::settings::PartnerSettings;

const NEUTRAL_LATENCY_WEIGHT: u8 = 50;

/// Identifier of a partner within one dispatcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartnerIndex(pub usize);

#[derive(Debug, Clone)]
struct PartnerState {
    permille: u16,
    latency_weight: u8,
    in_use: u64,
}

/// Shares and slots in use of all partners.
#[derive(Debug, Default)]
pub struct Shares {
    partners: Vec<PartnerState>,
    by_name: HashMap<PartnerName, PartnerIndex>,
}

impl Shares {
    /// Replaces all shares; partners that are not listed lose theirs. Slots in use stay counted.
    pub fn replace(&mut self, settings: &[PartnerSettings]) {
        for partner in &mut self.partners {
            partner.permille = 0;
        }
        for setting in settings {
            let index = self.index(&setting.partner);
            let partner = &mut self.partners[index.0];
            partner.permille = setting.permille;
            partner.latency_weight = setting.latency_weight;
        }
    }

    /// Index of a partner; an unknown one is added without a share.
    pub fn index(&mut self, name: &PartnerName) -> PartnerIndex {
        if let Some(index) = self.by_name.get(name) {
            return *index;
        }
        let index = PartnerIndex(self.partners.len());
        self.partners.push(PartnerState {
            permille: 0,
            latency_weight: NEUTRAL_LATENCY_WEIGHT,
            in_use: 0,
        });
        self.by_name.insert(name.clone(), index);
        index
    }

    /// Weight of latency against cache use, 0 to 100; 50 is neutral.
    pub fn latency_weight(&self, partner: PartnerIndex) -> u8 {
        self.partners[partner.0].latency_weight
    }

    /// Counts a slot as used by the partner.
    pub fn acquire_slot(&mut self, partner: PartnerIndex) {
        self.partners[partner.0].in_use += 1;
    }

    /// Counts a slot of the partner as freed.
    pub fn release_slot(&mut self, partner: PartnerIndex) {
        let state = &mut self.partners[partner.0];
        state.in_use = state.in_use.saturating_sub(1);
    }

    /// The partner's share relative to the total of its own and those of partners with waiting calls,
    /// in thousandths; at least 1.
    pub fn share_among(
        &self,
        partner: PartnerIndex,
        waiting: impl Fn(PartnerIndex) -> bool,
    ) -> u64 {
        let own = u64::from(self.partners[partner.0].permille);
        let others: u64 = self
            .indices()
            .filter(|index| *index != partner && waiting(*index))
            .map(|index| u64::from(self.partners[index.0].permille))
            .sum();
        if own + others == 0 {
            return 1000;
        }
        (own * 1000 / (own + others)).max(1)
    }

    /// All partners, the one with the fewest slots in use relative to its share first, and those
    /// without a share last.
    pub fn order(&self) -> Vec<PartnerIndex> {
        let mut order: Vec<PartnerIndex> = self.indices().collect();
        order.sort_by_key(|index| self.sort_key(*index));
        order
    }

    /// Whether the partner uses fewer slots than its share of `slots`.
    pub fn is_below_share(&self, partner: PartnerIndex, slots: u64) -> bool {
        let state = &self.partners[partner.0];
        state.in_use * 1000 < slots * u64::from(state.permille)
    }

    fn sort_key(&self, index: PartnerIndex) -> (bool, u64, Reverse<u16>) {
        let state = &self.partners[index.0];
        let permille = u64::from(state.permille);
        let use_per_share = (state.in_use * 1_000_000) / permille.max(1);
        (permille == 0, use_per_share, Reverse(state.permille))
    }

    fn indices(&self) -> impl Iterator<Item = PartnerIndex> {
        (0..self.partners.len()).map(PartnerIndex)
    }
}
