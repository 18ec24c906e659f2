//! Finds routes and tenants whose residency the deployment cannot satisfy, to warn the operator when a
//! configuration takes effect.

use std::collections::BTreeSet;

use crate::residency::ZoneRegions;
use crate::route_table::RouteTable;

/// Names of the routes and tenants whose requests are refused because of their residency.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResidencyFaults {
    /// Routes that allow no region of the deployment.
    pub routes: BTreeSet<String>,
    /// Tenants that allow no region of the deployment.
    pub tenants: BTreeSet<String>,
    /// Routes that keep turns and allow only some regions of the deployment.
    pub partly_allowed_turn_routes: BTreeSet<String>,
}

impl ResidencyFaults {
    /// Checks a configuration against the deployment's regions.
    pub fn of(table: &RouteTable, regions: &ZoneRegions) -> Self {
        let served = |route: &&crate::Route| regions.allows_any(&route.residency);
        let unserved = table.routes().filter(|route| !served(route));
        let partly_allowed = table.routes().filter(|route| route.keeps_turns);
        let partly_allowed = partly_allowed.filter(served);
        let partly_allowed = partly_allowed.filter(|route| !regions.allows_all(&route.residency));
        let tenants = table.tenants();
        let tenants = tenants.filter(|tenant| !regions.allows_any(&tenant.residency));
        Self {
            routes: unserved.map(|route| route.name.clone()).collect(),
            tenants: tenants.map(|tenant| tenant.name.clone()).collect(),
            partly_allowed_turn_routes: partly_allowed.map(|route| route.name.clone()).collect(),
        }
    }

    pub fn count(&self) -> usize {
        self.routes.len() + self.tenants.len() + self.partly_allowed_turn_routes.len()
    }
}
