//! A run's budget: reserve before, settle after.

use std::collections::BTreeMap;

use ridgeworks_domain::safeguard::{Safeguard, is_disabled};
use ridgeworks_domain::{Cost, RunId};

/// A reserve that does not fit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetExceeded {
    /// What is left.
    pub remaining: Cost,
}

/// What a run may spend, holds in reserve and has spent. The last two together never pass the first.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Budget {
    limit: Cost,
    reserved: Cost,
    spent: Cost,
    children: BTreeMap<RunId, Cost>,
}

impl Budget {
    /// Nothing spent of `limit`.
    pub fn new(limit: Cost) -> Self {
        Self {
            limit,
            ..Self::default()
        }
    }

    /// What was spent, attempts of unknown end at their full reserve.
    pub fn spent(&self) -> Cost {
        self.spent
    }

    /// What is held for calls and children under way.
    pub fn reserved(&self) -> Cost {
        self.reserved
    }

    /// What may still be reserved.
    pub fn remaining(&self) -> Cost {
        let bound = self.spent.saturating_add(self.reserved);
        self.limit.saturating_sub(bound)
    }

    /// Whether `amount` could be reserved.
    pub fn check(&self, amount: Cost) -> Result<(), BudgetExceeded> {
        let remaining = self.remaining();
        if amount > remaining && !is_disabled(Safeguard::Reserve) {
            return Err(BudgetExceeded { remaining });
        }
        Ok(())
    }

    /// Holds `amount`.
    pub fn reserve(&mut self, amount: Cost) -> Result<(), BudgetExceeded> {
        self.check(amount)?;
        self.reserved = self.reserved.saturating_add(amount);
        Ok(())
    }

    /// Lets go of `reserve`, of which `spent` was used. More than the reserve can't have been used.
    pub fn settle(&mut self, reserve: Cost, spent: Cost) {
        let held = reserve.min(self.reserved);
        self.reserved = self.reserved.saturating_sub(held);
        self.spent = self.spent.saturating_add(spent.min(held));
    }

    /// Holds `amount` for a child run. Repeating it for one child changes nothing.
    pub fn open_child(&mut self, child: RunId, amount: Cost) -> Result<(), BudgetExceeded> {
        if self.children.contains_key(&child) {
            return Ok(());
        }
        self.reserve(amount)?;
        self.children.insert(child, amount);
        Ok(())
    }

    /// Settles a child run. Repeating it for one child changes nothing.
    pub fn close_child(&mut self, child: RunId, spent: Cost) {
        if let Some(reserve) = self.children.remove(&child) {
            self.settle(reserve, spent);
        }
    }

    /// Whether the child's budget is held.
    pub fn holds_child(&self, child: RunId) -> bool {
        self.children.contains_key(&child)
    }

    /// Counts what is held for children as spent: nobody will tell any more.
    pub fn settle_all_children(&mut self) {
        for (_, reserve) in std::mem::take(&mut self.children) {
            self.settle(reserve, reserve);
        }
    }
}
