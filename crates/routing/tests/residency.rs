//! Residency of requests with arbitrary regions, zones and engines.

mod support;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use ridgeworks_routing::{
    Engine, EngineTable, Exclusion, KeyDigest, Placement, PlacementRequest, Residency,
    ResidencyFaults, ResidencyRule, Route, RouteTable, Tenant, ZoneRegions, service_exclusion,
};

use support::{NOW, configuration, engine, request, route, table};

const ZONES: [&str; 4] = ["zone-a", "zone-b", "zone-c", "zone-of-nobody"];
const REGIONS: [&str; 4] = ["north", "south", "east", "unknown"];

/// A deployment with the residencies of a route and a tenant.
#[derive(Debug, Clone)]
struct Case {
    /// Region of each zone in the settings, as an index into `REGIONS`.
    regions: [usize; 3],
    /// Zone of each engine, as an index into `ZONES`.
    engines: Vec<usize>,
    /// Allowed regions of the route, as indices into `REGIONS`; `None` for no restriction.
    route: Option<Vec<usize>>,
    /// Allowed regions of the tenant, as indices into `REGIONS`; `None` for no restriction.
    tenant: Option<Vec<usize>>,
}

impl Arbitrary for Case {
    fn arbitrary(gen_: &mut Gen) -> Self {
        let any = |gen_: &mut Gen, bound: usize| usize::arbitrary(gen_) % bound;
        let some = |gen_: &mut Gen| {
            bool::arbitrary(gen_).then(|| {
                let length = any(gen_, 4);
                (0..length).map(|_| any(gen_, REGIONS.len())).collect()
            })
        };
        let engines = any(gen_, 8);
        Self {
            regions: [(); 3].map(|()| any(gen_, 3)),
            engines: (0..engines).map(|_| any(gen_, ZONES.len())).collect(),
            route: some(gen_),
            tenant: some(gen_),
        }
    }
}

impl Case {
    fn zone_regions(&self) -> ZoneRegions {
        let pairs = ZONES.iter().zip(self.regions);
        let pairs = pairs.map(|(zone, region)| ((*zone).to_owned(), REGIONS[region].to_owned()));
        ZoneRegions::new(pairs.collect())
    }

    fn table(&self) -> EngineTable {
        let mut table = EngineTable::default();
        for (number, zone) in self.engines.iter().enumerate() {
            table.apply(ridgeworks_routing::EngineEntry {
                engine: engine(&format!("i-{number}"), ZONES[*zone]),
                revision: 1,
            });
        }
        table
    }

    /// Whether the engine's region is allowed, computed without the code under test.
    fn is_allowed(&self, allowed: Option<&Vec<usize>>, engine: &Engine) -> bool {
        let Some(allowed) = allowed else {
            return true;
        };
        let zone = ZONES.iter().position(|zone| *zone == engine.zone);
        let region = zone.and_then(|zone| self.regions.get(zone));
        region.is_some_and(|region| allowed.contains(region))
    }

    fn is_eligible(&self, engine: &Engine) -> bool {
        self.is_allowed(self.route.as_ref(), engine)
            && self.is_allowed(self.tenant.as_ref(), engine)
    }
}

fn residency(allowed: Option<&Vec<usize>>) -> Residency {
    allowed.map_or_else(Residency::anywhere, |allowed| {
        Residency::within(allowed.iter().map(|region| REGIONS[*region].to_owned()))
    })
}

/// A request goes to an engine that both route and tenant allow, at any cost, and to none only if no engine
/// is allowed.
fn chooses_an_eligible_engine(case: Case) -> bool {
    let regions = case.zone_regions();
    let residency = residency(case.route.as_ref()).intersection(&residency(case.tenant.as_ref()));
    let rule = ResidencyRule {
        residency: &residency,
        regions: &regions,
    };
    let table = case.table();
    let mut placement = Placement::default();
    let request = PlacementRequest {
        rules: &[&rule],
        ..request("session", &[], &[])
    };
    let chosen = placement.choose(&table, &request, NOW);
    let allows_any = table.engines().any(|engine| case.is_eligible(engine));
    let exclusion = service_exclusion(&table, "models", &[&rule]);
    let is_empty = case.engines.is_empty();
    match chosen {
        Some(choice) => case.is_eligible(choice.engine) && exclusion.is_none(),
        None => !allows_any && (is_empty || exclusion == Some(Exclusion::Residency)),
    }
}

#[test]
fn requests_go_only_where_route_and_tenant_allow() {
    QuickCheck::new()
        .tests(3_000)
        .quickcheck(chooses_an_eligible_engine as fn(Case) -> bool);
}

/// Compares the checks of the regions with the eligibility of an engine in each zone.
fn regions_agree_with_eligibility(case: Case) -> bool {
    let regions = case.zone_regions();
    let residency = residency(case.route.as_ref()).intersection(&residency(case.tenant.as_ref()));
    let serves = |zone: &usize| case.is_eligible(&engine("i", ZONES[*zone]));
    let named: Vec<usize> = (0..case.regions.len()).collect();
    regions.allows_any(&residency) == named.iter().any(serves)
        && regions.allows_all(&residency) == named.iter().all(serves)
}

#[test]
fn requests_that_no_region_may_serve_are_detected_without_engines() {
    QuickCheck::new()
        .tests(3_000)
        .quickcheck(regions_agree_with_eligibility as fn(Case) -> bool);
}

#[test]
fn an_empty_list_allows_no_region() {
    let nowhere = Residency::within([]);
    assert!(!nowhere.is_anywhere());
    assert!(!nowhere.allows(Some("north")));
    assert!(!nowhere.allows(None));
    assert!(
        !nowhere
            .intersection(&Residency::anywhere())
            .allows(Some("north"))
    );
}

#[test]
fn an_unknown_zone_is_allowed_only_without_a_restriction() {
    let regions = ZoneRegions::from([("zone-a", "north")]);
    let north = Residency::within(["north".to_owned()]);
    assert!(regions.allows(&north, "zone-a"));
    assert!(!regions.allows(&north, "zone-x"));
    assert!(regions.allows(&Residency::anywhere(), "zone-x"));
    let table = table([engine("i-1", "zone-x")]);
    let rule = ResidencyRule {
        residency: &north,
        regions: &regions,
    };
    assert_eq!(
        service_exclusion(&table, "models", &[&rule]),
        Some(Exclusion::Residency)
    );
    let no_zones = ZoneRegions::default();
    assert!(!no_zones.allows_any(&north));
    assert!(!no_zones.allows_all(&north));
    assert!(no_zones.allows_all(&Residency::anywhere()));
}

#[test]
fn unsatisfiable_residencies_are_listed_by_name() {
    let regions = ZoneRegions::from([("zone-a", "north"), ("zone-b", "south")]);
    let within = |names: &[&str]| Residency::within(names.iter().map(|name| (*name).to_owned()));
    let named = |name: &str, residency: Residency, keeps_turns: bool| Route {
        residency,
        keeps_turns,
        ..route(name, "app.example", &format!("/{name}/"))
    };
    let tenant = |name: &str, residency: Residency| Tenant {
        name: name.to_owned(),
        keys: KeyDigest::of(name.as_bytes()).into_iter().collect(),
        priority: None,
        limit: None,
        residency,
    };
    let mut configuration = configuration(vec![
        named("free", Residency::anywhere(), true),
        named("north", within(&["north"]), false),
        named("kept-north", within(&["north"]), true),
        named("kept-all", within(&["north", "south", "east"]), true),
        named("kept-nowhere", within(&["atlantis"]), true),
    ]);
    configuration.tenants = Some(vec![
        tenant("alpha", within(&["south"])),
        tenant("beta", within(&[])),
    ]);
    let faults = ResidencyFaults::of(&RouteTable::new(&configuration), &regions);
    let names = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
    let expected = ResidencyFaults {
        routes: names(&["kept-nowhere"]),
        tenants: names(&["beta"]),
        partly_allowed_turn_routes: names(&["kept-north"]),
    };
    assert_eq!(faults, expected);
    assert_eq!(faults.count(), 3);
}
