//! Orders to send no more requests to the engines of a zone.

use std::collections::BTreeMap;

use rkyv::{Archive, Deserialize, Serialize};

use crate::eligibility::{EligibilityRule, Exclusion};
use crate::engine_table::Engine;

/// All drain orders as of a revision of the store.
///
/// There are at most as many as zones, so a table is always passed on as a whole. The one with the later
/// revision replaces the other, and neither removals nor intermediate changes are stored.
#[derive(Debug, Clone, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ZoneDrains {
    /// Revisions of the orders, by zone.
    orders: BTreeMap<String, u64>,
    /// Revision up to which the table is complete.
    at: u64,
    /// Revision since which the orders are known not to have changed; at most `at`.
    newest: u64,
}

/// Change of one zone's order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DrainChange {
    /// A drain was ordered.
    Started { zone: String, revision: u64 },
    /// An existing order was written again.
    Rewritten {
        zone: String,
        /// The new revision.
        revision: u64,
    },
    /// The order was removed.
    Ended { zone: String },
}

impl ZoneDrains {
    /// The table as listed at this revision. Changes before it are unknown.
    pub fn listed(orders: BTreeMap<String, u64>, at: u64) -> Self {
        Self {
            orders,
            at,
            newest: at,
        }
    }

    /// Revision up to which the table is complete.
    pub fn at(&self) -> u64 {
        self.at
    }

    /// Revision since which the orders are known not to have changed. A node that knows the orders as of this
    /// revision or later knows this table.
    pub fn unchanged_since(&self) -> u64 {
        self.newest
    }

    pub fn is_drained(&self, zone: &str) -> bool {
        self.orders.contains_key(zone)
    }

    /// Drained zones with the revisions of their orders.
    pub fn orders(&self) -> impl Iterator<Item = (&str, u64)> {
        let orders = self.orders.iter();
        orders.map(|(zone, revision)| (zone.as_str(), *revision))
    }

    /// Whether no zone is drained.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// The table after these changes, complete up to a revision. Each change is a zone with the revision of
    /// its order, or `None` if the order was removed. Applying changes again has no effect.
    pub fn after(&self, changes: &[(String, Option<u64>)], at: u64) -> Self {
        let mut orders = self.orders.clone();
        for (zone, revision) in changes {
            match revision {
                Some(revision) => orders.insert(zone.clone(), *revision),
                None => orders.remove(zone),
            };
        }
        let newest = if orders == self.orders && changes.is_empty() {
            self.newest
        } else {
            at
        };
        Self { orders, at, newest }
    }

    /// Replaces this table with the received one if that is at least as recent, and returns the differences.
    /// An older table is ignored and gives none.
    pub fn take(&mut self, mut received: Self) -> Vec<DrainChange> {
        if received.at < self.at {
            return Vec::new();
        }
        let changes = self.changes_to(&received);
        // The tables are equal and overlap in time, so there was no change in between.
        if changes.is_empty() && received.newest <= self.at {
            received.newest = received.newest.min(self.newest);
        }
        *self = received;
        changes
    }

    fn changes_to(&self, received: &Self) -> Vec<DrainChange> {
        let ordered = received.orders.iter().filter_map(|(zone, revision)| {
            let (zone, revision) = (zone.clone(), *revision);
            match self.orders.get(&zone) {
                None => Some(DrainChange::Started { zone, revision }),
                Some(known) if *known != revision => {
                    Some(DrainChange::Rewritten { zone, revision })
                }
                Some(_) => None,
            }
        });
        let ended = self.orders.keys();
        let ended = ended.filter(|zone| !received.orders.contains_key(*zone));
        let ended = ended.map(|zone| DrainChange::Ended { zone: zone.clone() });
        ordered.chain(ended).collect()
    }
}

impl EligibilityRule for ZoneDrains {
    fn exclusion(&self, engine: &Engine) -> Option<Exclusion> {
        self.is_drained(&engine.zone)
            .then_some(Exclusion::ZoneDrain)
    }
}
