//! Budget of a run: cost is reserved before a call and settled after it.

use std::collections::BTreeMap;

use ridgeworks_domain::safeguard::{Safeguard, is_disabled};
use ridgeworks_domain::{Cost, RunId};

/// The requested reserve exceeds the remaining budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetExceeded {
    /// Cost that may still be reserved.
    pub remaining: Cost,
}

/// Limit, reserved cost and spent cost of a run. Reserved plus spent cost never exceeds the limit.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Budget {
    limit: Cost,
    reserved: Cost,
    spent: Cost,
    children: BTreeMap<RunId, Cost>,
}

impl Budget {
    /// A budget of which nothing is reserved or spent.
    pub fn new(limit: Cost) -> Self {
        Self {
            limit,
            ..Self::default()
        }
    }

    /// Total cost spent. Attempts with an unknown end count with their full reserve.
    pub fn spent(&self) -> Cost {
        self.spent
    }

    /// Total cost reserved for the call in progress and for child runs.
    pub fn reserved(&self) -> Cost {
        self.reserved
    }

    /// Cost that may still be reserved.
    pub fn remaining(&self) -> Cost {
        let bound = self.spent.saturating_add(self.reserved);
        self.limit.saturating_sub(bound)
    }

    /// Fails if `amount` exceeds the remaining budget; reserves nothing.
    pub fn check(&self, amount: Cost) -> Result<(), BudgetExceeded> {
        let remaining = self.remaining();
        if amount > remaining && !is_disabled(Safeguard::Reserve) {
            return Err(BudgetExceeded { remaining });
        }
        Ok(())
    }

    /// Reserves `amount`; fails if it exceeds the remaining budget.
    pub fn reserve(&mut self, amount: Cost) -> Result<(), BudgetExceeded> {
        self.check(amount)?;
        self.reserved = self.reserved.saturating_add(amount);
        Ok(())
    }

    /// Releases `reserve` and counts `spent` as spent, at most the released amount.
    pub fn settle(&mut self, reserve: Cost, spent: Cost) {
        let held = reserve.min(self.reserved);
        self.reserved = self.reserved.saturating_sub(held);
        self.spent = self.spent.saturating_add(spent.min(held));
    }

    /// Reserves `amount` for a child run; fails if it exceeds the remaining budget. Does nothing if a reserve is already
    /// held for the child run.
    pub fn open_child(&mut self, child: RunId, amount: Cost) -> Result<(), BudgetExceeded> {
        if self.children.contains_key(&child) {
            return Ok(());
        }
        self.reserve(amount)?;
        self.children.insert(child, amount);
        Ok(())
    }

    /// Settles the reserve of a child run. Does nothing if no reserve is held for it.
    pub fn close_child(&mut self, child: RunId, spent: Cost) {
        if let Some(reserve) = self.children.remove(&child) {
            self.settle(reserve, spent);
        }
    }

    /// Whether a reserve is held for the child run.
    pub fn holds_child(&self, child: RunId) -> bool {
        self.children.contains_key(&child)
    }

    /// Counts the reserves of all child runs as spent, because their actual cost can no longer be reported.
    pub fn settle_all_children(&mut self) {
        for (_, reserve) in std::mem::take(&mut self.children) {
            self.settle(reserve, reserve);
        }
    }
}
