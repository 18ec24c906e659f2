//! Requests that may be served in some regions only, through real gateways with an engine in each region.

use std::time::Duration;

use ridgeworks_platform_stand_ins::client::{Call, Reply, call_get, call_post};
use ridgeworks_platform_stand_ins::deployment::{
    Deployment, Process, routes, send_until_served, wait_until,
};
use ridgeworks_platform_stand_ins::{Answer, EngineStandIn, LinkFault, Script};
use serde_json::{Value, json};

const PROGRAM: &str = env!("CARGO_BIN_EXE_ridgeworksd");
const KEY: &str = "jvz48wuakn2ftimaj3nr";
const CREDENTIAL: &str = "ridgeworks-credential";
const REQUESTS: usize = 40;

fn ok() -> Script {
    Script::always(Answer::Whole("fine".to_owned()))
}

/// The engines, one in each zone; each zone is a region of its own.
struct Engines {
    north: EngineStandIn,
    south: EngineStandIn,
    east: EngineStandIn,
}

impl Engines {
    fn start(deployment: &Deployment, service: &str, script: &Script) -> Self {
        let start = |zone, region: &str| {
            let instance = format!("i-{region}-{service}");
            deployment.start_engine_in(zone, service, &instance, script.clone())
        };
        Self {
            north: start("zone-a", "north"),
            south: start("zone-b", "south"),
            east: start("zone-c", "east"),
        }
    }

    fn all(&self) -> [(&'static str, &EngineStandIn); 3] {
        [
            ("north", &self.north),
            ("south", &self.south),
            ("east", &self.east),
        ]
    }

    fn wait_until_known(&self, gateway: &Process) {
        wait_until("all engines are known", || {
            let log = gateway.log();
            let is_known = |engine: &EngineStandIn| {
                log.iter()
                    .any(|line| line["attributes"]["engine"] == engine.instance())
            };
            self.all().iter().all(|(_, engine)| is_known(engine))
        });
    }

    /// Regions in which an engine got a request whose identifier begins so.
    fn reached(&self, prefix: &str) -> Vec<&'static str> {
        let engines = self.all().into_iter();
        let reached = engines.filter(|(_, engine)| {
            let runs = engine.runs();
            runs.iter()
                .any(|run| run.headers["ridgeworks-request-id"].starts_with(prefix))
        });
        reached.map(|(region, _)| region).collect()
    }
}

/// The routes, those of these names with regions.
fn routes_within(names: &[&str], regions: &[&str]) -> Value {
    let mut routes = routes();
    for route in routes.as_array_mut().expect("routes") {
        if names.iter().any(|name| route["name"] == *name) {
            route["allowed_regions"] = json!(regions);
        }
    }
    routes
}

fn tenant_within(regions: &[&str]) -> Value {
    json!([{"name": "alpha", "api_keys": [KEY], "allowed_regions": regions}])
}

fn in_force(gateway: &Process, version: u64) -> bool {
    let version = version.to_string();
    gateway.log().iter().any(|line| {
        line["message"] == "configuration in force"
            && line["attributes"]["version"] == version.as_str()
    })
}

/// Puts a configuration in force at all gateways.
fn apply(deployment: &mut Deployment, routes: Value, tenants: Option<Value>) {
    deployment.configure(routes);
    if let Some(tenants) = tenants {
        deployment.set_tenants(tenants);
    }
    let version = deployment.version();
    wait_until("the configuration is in force", || {
        let mut gateways = deployment.gateways.iter();
        gateways.all(|gateway| in_force(gateway, version))
    });
}

/// One gateway in the south, and an engine in each region that the gateway knows.
fn deployment() -> (Deployment, Engines) {
    let deployment = Deployment::started_with_regions(PROGRAM, 1, 0);
    let engines = Engines::start(&deployment, "tools", &ok());
    engines.wait_until_known(&deployment.gateways[0]);
    (deployment, engines)
}

fn send_many(gateway: &Process, path: &str, prefix: &str) -> Vec<Reply> {
    let calls = (0..REQUESTS).map(|number| {
        let call = call_get(path, &format!("{prefix}-{number}")).header(CREDENTIAL, KEY);
        call.send(gateway.callers()).expect("an answer")
    });
    calls.collect()
}

fn refusal(gateway: &Process, call: &Call) -> (u16, f64) {
    let reply = call.send(gateway.callers()).expect("an answer");
    let after = reply.header("retry-after").expect("a time");
    (reply.status, after.parse().expect("seconds"))
}

#[test]
fn a_route_s_requests_reach_engines_of_its_regions_alone() {
    let (mut deployment, engines) = deployment();
    apply(
        &mut deployment,
        routes_within(&["tool"], &["north", "east"]),
        None,
    );
    let replies = send_many(&deployment.gateways[0], "/tool/x", "r");
    assert!(replies.iter().all(|reply| reply.status == 200));
    assert_eq!(engines.reached("r"), ["north", "east"]);
    send_many(&deployment.gateways[0], "/once/x", "o");
    assert_eq!(engines.reached("o"), ["south"]);
}

#[test]
fn a_tenant_s_requests_reach_engines_of_its_regions_alone() {
    let (mut deployment, engines) = deployment();
    apply(&mut deployment, routes(), Some(tenant_within(&["east"])));
    let replies = send_many(&deployment.gateways[0], "/tool/x", "r");
    assert!(replies.iter().all(|reply| reply.status == 200));
    assert_eq!(engines.reached("r"), ["east"]);
}

#[test]
fn regions_of_route_and_tenant_both_bind() {
    let (mut deployment, engines) = deployment();
    let routes = routes_within(&["tool"], &["north", "east"]);
    apply(
        &mut deployment,
        routes,
        Some(tenant_within(&["south", "east"])),
    );
    let replies = send_many(&deployment.gateways[0], "/tool/x", "r");
    assert!(replies.iter().all(|reply| reply.status == 200));
    assert_eq!(engines.reached("r"), ["east"]);
}

/// Refused with a promise that nothing has run: neither the client nor its key is at fault.
#[test]
fn what_may_be_served_nowhere_is_refused() {
    let (mut deployment, engines) = deployment();
    let cases: [(&[&str], &[&str]); 2] = [(&["atlantis"], &["atlantis"]), (&["north"], &["south"])];
    for (of_route, of_tenant) in cases {
        let routes = routes_within(&["tool"], of_route);
        apply(&mut deployment, routes, Some(tenant_within(of_tenant)));
        let call = call_get("/tool/x", "nowhere").header(CREDENTIAL, KEY);
        let (status, after) = refusal(&deployment.gateways[0], &call);
        assert_eq!((status, after), (503, 1.0), "{of_route:?} {of_tenant:?}");
    }
    assert!(engines.reached("nowhere").is_empty());
    wait_until("each refusal is told in the log", || {
        let refused = deployment.gateways[0].log().into_iter().filter(|line| {
            line["message"] == "request refused at entry"
                && line["attributes"]["reason"] == "no_allowed_region"
        });
        refused.count() == cases.len()
    });
}

/// Operators write an empty list where any region will do.
#[test]
fn an_empty_list_binds_nothing() {
    let (mut deployment, engines) = deployment();
    let free = || routes_within(&["tool"], &[]);
    apply(&mut deployment, free(), Some(tenant_within(&[])));
    let replies = send_many(&deployment.gateways[0], "/tool/x", "free");
    assert!(replies.iter().all(|reply| reply.status == 200));
    assert!(!engines.reached("free").is_empty());
    apply(&mut deployment, free(), Some(tenant_within(&["east"])));
    let replies = send_many(&deployment.gateways[0], "/tool/x", "bound");
    assert!(replies.iter().all(|reply| reply.status == 200));
    assert_eq!(engines.reached("bound"), ["east"]);
}

/// Waiting would not help, and another region is none of the request's.
#[test]
fn without_an_engine_in_its_regions_a_request_is_refused_at_once() {
    let (mut deployment, engines) = deployment();
    apply(&mut deployment, routes_within(&["tool"], &["north"]), None);
    deployment
        .store
        .remove("servers", &engines.north.instance());
    wait_until("the engine is gone", || {
        refused_for_region(&deployment.gateways[0])
    });
    let before = engines.reached("r");
    let began = std::time::Instant::now();
    let (status, _) = refusal(&deployment.gateways[0], &call_get("/tool/x", "r-1"));
    assert_eq!(status, 503);
    assert!(began.elapsed() < Duration::from_millis(400));
    assert_eq!(before, engines.reached("r"));
}

fn refused_for_region(gateway: &Process) -> bool {
    call_get("/tool/x", "gone").send(gateway.callers());
    gateway.log().iter().any(|line| {
        line["message"] == "request ended" && line["attributes"]["reason"] == "no_allowed_region"
    })
}

#[test]
fn an_engine_in_a_zone_that_nobody_names_gets_nothing_of_a_region() {
    let deployment = Deployment::started_with_regions(PROGRAM, 1, 0);
    let far = deployment.start_engine_in("zone-x", "tools", "i-far", ok());
    let gateway = deployment.gateways[0].callers();
    send_until_served(gateway, &call_get("/tool/x", "warm"));
    let mut deployment = deployment;
    let before = far.runs().len();
    apply(&mut deployment, routes_within(&["tool"], &["north"]), None);
    let (status, _) = refusal(&deployment.gateways[0], &call_get("/tool/x", "r-1"));
    assert_eq!(status, 503);
    assert_eq!(far.runs().len(), before);
}

/// A stream that was broken off in its region is taken up there, or not at all.
#[test]
fn a_broken_stream_is_taken_up_in_its_region_alone() {
    let mut deployment = Deployment::started_with_regions(PROGRAM, 1, 0);
    let breaks = Script::always(Answer::TruncatedStream { events: 3 });
    let streams = Script::always(Answer::Stream {
        events: 8,
        gap_ms: 2,
    });
    let engines = Engines::start(&deployment, "models", &streams);
    let gateway = deployment.gateways[0].callers();
    engines.wait_until_known(&deployment.gateways[0]);
    apply(&mut deployment, routes_within(&["chat"], &["north"]), None);
    engines.north.set_script(breaks);
    for number in 0..10 {
        let id = format!("r-{number}");
        let reply = call_post("/chat/x", &id, "prompt").send(gateway);
        assert!(!reply.expect("an answer").is_whole);
    }
    assert_eq!(engines.reached("r"), ["north"]);
}

/// Whoever hears of new regions while requests wait sends them by the new ones. While it is cut off it goes by what it knows.
#[test]
fn regions_that_change_bind_from_when_they_are_heard_of() {
    let (mut deployment, engines) = deployment();
    apply(&mut deployment, routes_within(&["tool"], &["north"]), None);
    deployment.store_link.set_fault(LinkFault::Silent);
    deployment.configure(routes_within(&["tool"], &["east"]));
    send_many(&deployment.gateways[0], "/tool/x", "cut");
    assert_eq!(engines.reached("cut"), ["north"]);
    deployment.store_link.set_fault(LinkFault::None);
    let version = deployment.version();
    wait_until("the change is in force", || {
        in_force(&deployment.gateways[0], version)
    });
    send_many(&deployment.gateways[0], "/tool/x", "new");
    assert_eq!(engines.reached("new"), ["east"]);
}

/// The engine may have run it, but since then it is in no region of the request any more.
#[test]
fn a_stream_is_not_taken_up_where_its_region_is_no_longer_allowed() {
    let mut deployment = Deployment::started_with_regions(PROGRAM, 1, 0);
    let streams = Script::always(Answer::Stream {
        events: 2_000,
        gap_ms: 2,
    });
    let engines = Engines::start(&deployment, "models", &streams);
    engines.wait_until_known(&deployment.gateways[0]);
    let with_one_attempt = |regions: &[&str]| {
        let mut routes = routes_within(&["chat"], regions);
        routes[2]["max_attempts"] = json!(1);
        routes
    };
    apply(&mut deployment, with_one_attempt(&["north"]), None);
    let gateway = deployment.gateways[0].callers();
    let streaming = std::thread::spawn(move || call_post("/chat/x", "r-1", "prompt").send(gateway));
    wait_until("the stream began", || !engines.reached("r").is_empty());
    apply(&mut deployment, with_one_attempt(&["east"]), None);
    engines.north.restart();
    let reply = streaming.join().expect("the client ends");
    assert!(!reply.expect("an answer").is_whole);
    assert_eq!(engines.north.runs().len(), 1);
    assert_eq!(engines.reached("r"), ["north"]);
}

const MARK: &str = "mark-of-a-body-that-must-stay";

fn marked_turn(id: &str) -> Call {
    call_post("/talk/x", id, MARK)
        .header("ridgeworks-program-id", "p-1")
        .header("ridgeworks-session-id", "p-1")
        .header("ridgeworks-token-budget", "1000")
        .header("ridgeworks-token-count", "10,20")
}

/// Replicas stand in all three regions, and copies go to whichever of them has a place in the group.
#[test]
fn turns_that_must_stay_in_a_region_are_not_kept_outside() {
    let mut deployment = Deployment::started_with_regions(PROGRAM, 1, 3);
    let streams = Script::always(Answer::Stream {
        events: 2,
        gap_ms: 2,
    });
    let engines = Engines::start(&deployment, "models", &streams);
    engines.wait_until_known(&deployment.gateways[0]);
    let marked = |deployment: &Deployment| {
        let names = deployment.replicas.iter().map(|replica| &replica.name);
        names
            .filter(|name| deployment.disk_contains(name, MARK))
            .count()
    };
    apply(
        &mut deployment,
        routes_within(&["talk"], &["north", "south"]),
        None,
    );
    let gateway = deployment.gateways[0].callers();
    let (status, _) = refusal(&deployment.gateways[0], &marked_turn("r-1"));
    assert_eq!(status, 503);
    assert!(engines.reached("r").is_empty());
    // Lines are written beside the answers.
    wait_until("the refusal is told in the log", || {
        deployment.gateways[0].log().iter().any(|line| {
            line["message"] == "request ended" && line["attributes"]["reason"] == "kept_outside"
        })
    });
    assert_eq!(marked(&deployment), 0);
    wait_until("the operator is told", || {
        deployment.gateways[0].log().iter().any(|line| {
            line["message"] == "routes or tenants cannot be served in their regions"
                && line["attributes"]["keeping_turns"] == "talk"
        })
    });
    let everywhere = ["north", "south", "east"];
    apply(&mut deployment, routes_within(&["talk"], &everywhere), None);
    let reply = marked_turn("s-1").send(gateway).expect("an answer");
    assert_eq!((reply.status, reply.is_whole), (200, true));
    wait_until("the turn is on disk", || marked(&deployment) >= 2);
}
