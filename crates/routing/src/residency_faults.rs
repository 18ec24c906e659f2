//! What a configuration asks of regions that the deployment cannot give: told to the operator when it comes in force.

use std::collections::BTreeSet;

use crate::residency::ZoneRegions;
use crate::route_table::RouteTable;

/// Routes and tenants that are refused for their regions, by name.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResidencyFaults {
    /// Routes without a region of the deployment.
    pub routes: BTreeSet<String>,
    /// Tenants without a region of the deployment.
    pub tenants: BTreeSet<String>,
    /// Routes that keep turns and may do so in some regions only.
    pub keeping: BTreeSet<String>,
}

impl ResidencyFaults {
    /// What is refused of a configuration where these regions are.
    pub fn of(table: &RouteTable, regions: &ZoneRegions) -> Self {
        let served = |route: &&crate::Route| regions.allows_any(&route.residency);
        let unserved = table.routes().filter(|route| !served(route));
        let keeping = table.routes().filter(|route| route.keeps_turns);
        let keeping = keeping.filter(served);
        let keeping = keeping.filter(|route| !regions.allows_all(&route.residency));
        let tenants = table.tenants();
        let tenants = tenants.filter(|tenant| !regions.allows_any(&tenant.residency));
        Self {
            routes: unserved.map(|route| route.name.clone()).collect(),
            tenants: tenants.map(|tenant| tenant.name.clone()).collect(),
            keeping: keeping.map(|route| route.name.clone()).collect(),
        }
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.routes.len() + self.tenants.len() + self.keeping.len()
    }
}
