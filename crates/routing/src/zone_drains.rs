//! Orders to send nothing more to a zone's engines.

use std::collections::BTreeMap;

use rkyv::{Archive, Deserialize, Serialize};

use crate::eligibility::{EligibilityRule, Exclusion};
use crate::engine_table::Engine;

/// All orders as of a revision of the store.
///
/// There are as many as a deployment has zones, so a table is always passed on whole: the one as of the later revision is in
/// force, and neither removals nor what came between have to be remembered.
#[derive(Debug, Clone, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ZoneDrains {
    /// Revision of the order, by zone.
    orders: BTreeMap<String, u64>,
    /// Revision as of which the table is complete.
    at: u64,
    /// Revision since which there has been no change, as far as is known; never above `at`.
    newest: u64,
}

/// What has become of one zone's order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DrainChange {
    /// The zone is drained.
    Started {
        /// The zone.
        zone: String,
        /// Revision of the order.
        revision: u64,
    },
    /// The order stood already and was written again.
    Rewritten {
        /// The zone.
        zone: String,
        /// Its new revision.
        revision: u64,
    },
    /// The order is over.
    Ended {
        /// The zone.
        zone: String,
    },
}

impl ZoneDrains {
    /// The table as of this revision. Whether it was the same before is not known.
    pub fn listed(orders: BTreeMap<String, u64>, at: u64) -> Self {
        Self {
            orders,
            at,
            newest: at,
        }
    }

    /// Revision as of which the table is complete.
    pub fn at(&self) -> u64 {
        self.at
    }

    /// Revision since which there has been no change: whoever knows the orders as of it or later knows these.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Whether nothing is to be sent to the zone's engines.
    pub fn is_drained(&self, zone: &str) -> bool {
        self.orders.contains_key(zone)
    }

    /// The drained zones with the revisions of their orders.
    pub fn orders(&self) -> impl Iterator<Item = (&str, u64)> {
        let orders = self.orders.iter();
        orders.map(|(zone, revision)| (zone.as_str(), *revision))
    }

    /// Whether no zone is drained.
    pub fn is_empty(&self) -> bool {
        self.orders.is_empty()
    }

    /// The table after these changes, in the order in which they came, complete as of a revision: the zone, and the revision of
    /// its order or `None` where it is over. Changes that are in the table already do no harm.
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

    /// Takes in a table; says what has changed, and nothing where this one is as new.
    pub fn take(&mut self, mut received: Self) -> Vec<DrainChange> {
        if received.at < self.at {
            return Vec::new();
        }
        let changes = self.changes_to(&received);
        // Both tell the same of a time without a gap.
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
        let over = self.orders.keys();
        let over = over.filter(|zone| !received.orders.contains_key(*zone));
        let over = over.map(|zone| DrainChange::Ended { zone: zone.clone() });
        ordered.chain(over).collect()
    }
}

impl EligibilityRule for ZoneDrains {
    fn exclusion(&self, engine: &Engine) -> Option<Exclusion> {
        self.is_drained(&engine.zone)
            .then_some(Exclusion::ZoneDrain)
    }
}
