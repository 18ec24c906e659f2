//! Requests of tenants through gateways: whose they are, and what becomes of a key that is taken away.

use std::time::{Duration, Instant};

use ridgeworks_platform_stand_ins::client::{Call, call_get, call_post};
use ridgeworks_platform_stand_ins::deployment::{
    CONFIGURATION_BOUND, Deployment, KEY_REMOVAL_BOUND, Process, routes, send_until_served,
    wait_until,
};
use ridgeworks_platform_stand_ins::{Answer, EngineStandIn, LinkFault, Script};
use rustix::process::Signal;
use serde_json::{Value, json};

const PROGRAM: &str = env!("CARGO_BIN_EXE_ridgeworksd");
const KEY: &str = "jvz48wuakn2ftimaj3nr";
const OTHER_KEY: &str = "26tta828m82thhkmgjqn";
const CREDENTIAL: &str = "ridgeworks-credential";

fn tenants(keys: &[&str]) -> Value {
    json!([
        {"name": "alpha", "api_keys": keys, "priority": 0},
        {"name": "beta", "api_keys": [OTHER_KEY]},
    ])
}

fn keyed(id: &str, key: &str) -> Call {
    call_get("/tool/x", id).header(CREDENTIAL, key)
}

/// A fleet with one tool, whose first route is also there without a key.
fn fleet(gateways: u8) -> (Deployment, EngineStandIn) {
    let mut deployment = Deployment::new(PROGRAM);
    let mut routes = routes();
    let mut public = routes[0].clone();
    public["name"] = json!("public");
    public["path_prefix"] = json!("/public/");
    public["public"] = json!(true);
    routes.as_array_mut().expect("routes").push(public);
    deployment.configure(routes);
    deployment.set_tenants(tenants(&[KEY, "second-key-of-alpha"]));
    for _ in 0..gateways {
        deployment.add_gateway().start();
    }
    deployment.wait_until_ready_gateways();
    let engine = deployment.start_engine(
        "tools",
        "i-1",
        Script::always(Answer::Whole("fine".to_owned())),
    );
    for gateway in &deployment.gateways {
        send_until_served(gateway.callers(), &keyed("warm", KEY));
    }
    (deployment, engine)
}

fn turn(id: &str, key: &str, program: &str, budget: u64) -> Call {
    call_post("/talk/x", id, "input")
        .header(CREDENTIAL, key)
        .header("ridgeworks-program-id", program)
        .header("ridgeworks-session-id", program)
        .header("ridgeworks-token-budget", &budget.to_string())
        .header("ridgeworks-token-count", "10,20")
}

fn status(gateway: &Process, call: &Call) -> u16 {
    call.send(gateway.callers()).map_or(0, |reply| reply.status)
}

#[test]
fn the_engine_is_told_the_tenant_and_never_the_key() {
    let (deployment, engine) = fleet(1);
    let gateway = &deployment.gateways[0];
    let forged = keyed("r-1", KEY)
        .header("ridgeworks-tenant", "beta")
        .header("Ridgeworks-Tenant", "gamma")
        .header("ridgeworks-hold", "forged")
        .header("Kv-From", "forged");
    assert_eq!(status(gateway, &forged), 200);
    let public = call_get("/public/x", "r-2")
        .header("ridgeworks-tenant", "beta")
        .header(CREDENTIAL, "nobody's");
    assert_eq!(status(gateway, &public), 200);
    let other = call_post("/once/x", "r-3", "order").header(CREDENTIAL, OTHER_KEY);
    assert_eq!(status(gateway, &other), 200);
    for run in engine.runs() {
        let id = run.headers["ridgeworks-request-id"].as_str();
        let tenant = run.headers.get("ridgeworks-tenant").map(String::as_str);
        let expected = match id {
            "r-2" => None,
            "r-3" => Some("beta"),
            _ => Some("alpha"),
        };
        assert_eq!(tenant, expected, "{id}");
        let dropped = [CREDENTIAL, "ridgeworks-hold", "kv-from"];
        assert!(
            !dropped.iter().any(|name| run.headers.contains_key(*name)),
            "{run:?}"
        );
    }
    for gateway in &deployment.gateways {
        let log = Value::from(gateway.log()).to_string();
        assert!(
            !log.contains(KEY) && !log.contains(OTHER_KEY),
            "a key in the log"
        );
    }
}

#[test]
fn requests_without_a_key_that_is_held_do_not_run() {
    let (deployment, engine) = fleet(1);
    let gateway = &deployment.gateways[0];
    let before = engine.runs().len();
    let bad = [
        call_get("/tool/x", "r-1"),
        keyed("r-2", "unknown"),
        keyed("r-3", KEY).header(CREDENTIAL, KEY),
        call_post("/once/x", "r-4", "order").header("authorization", KEY),
        call_post("/chat/x", "r-5", "prompt").header(CREDENTIAL, &KEY.to_uppercase()),
    ];
    for call in bad {
        assert_eq!(status(gateway, &call), 401, "{call:?}");
    }
    assert_eq!(engine.runs().len(), before);
}

#[test]
fn a_key_that_is_taken_away_is_refused_within_the_bound_of_a_configuration() {
    let (mut deployment, _engine) = fleet(3);
    deployment.set_tenants(tenants(&["second-key-of-alpha"]));
    let removed = Instant::now();
    wait_until("all refuse the key", || {
        let mut gateways = deployment.gateways.iter();
        gateways.all(|gateway| status(gateway, &keyed("r-1", KEY)) == 401)
    });
    assert!(removed.elapsed() < CONFIGURATION_BOUND);
    for gateway in &deployment.gateways {
        assert_eq!(status(gateway, &keyed("r-2", "second-key-of-alpha")), 200);
    }
}

/// A gateway that hears of nothing cannot know that a key was taken away, and so serves none for long.
#[test]
fn a_gateway_that_hears_of_nothing_stops_in_time_and_serves_what_needs_no_key() {
    let (mut deployment, engine) = fleet(2);
    deployment.store_link.set_fault(LinkFault::Stalled);
    let cut = Instant::now();
    deployment.set_tenants(tenants(&["second-key-of-alpha"]));
    let gateways = &deployment.gateways;
    assert_eq!(
        status(&gateways[0], &keyed("r-0", KEY)),
        200,
        "not known yet"
    );
    let mut last_served = Duration::ZERO;
    wait_until("keys are not taken any more", || {
        let sent = cut.elapsed();
        let statuses: Vec<u16> = gateways
            .iter()
            .map(|gateway| status(gateway, &keyed("r-1", KEY)))
            .collect();
        if statuses.contains(&200) {
            last_served = sent;
        }
        statuses == [503, 503]
    });
    // Up to the bound, and not given up long before it.
    assert!(last_served < KEY_REMOVAL_BOUND, "{last_served:?}");
    assert!(last_served > KEY_REMOVAL_BOUND / 2, "{last_served:?}");
    let before = engine.runs().len();
    std::thread::sleep(Duration::from_secs(1));
    for gateway in gateways {
        // Long in doubt, it holds nobody up.
        let asked = Instant::now();
        assert_eq!(status(gateway, &keyed("r-2", KEY)), 503);
        assert!(
            asked.elapsed() < Duration::from_millis(150),
            "{:?}",
            asked.elapsed()
        );
        assert_eq!(status(gateway, &call_get("/public/x", "r-3")), 200);
        assert!(!gateway.is_ready());
    }
    let with_key = engine.runs().into_iter().skip(before);
    let with_key = with_key.filter(|run| run.headers.contains_key("ridgeworks-tenant"));
    assert_eq!(with_key.count(), 0);
    deployment.store_link.set_fault(LinkFault::None);
    wait_until("the other key is served again", || {
        gateways
            .iter()
            .all(|gateway| status(gateway, &keyed("r-4", "second-key-of-alpha")) == 200)
    });
    for gateway in gateways {
        assert_eq!(status(gateway, &keyed("r-5", KEY)), 401);
    }
}

/// What waits in the sockets of a frozen process when it wakes proves nothing of the time meanwhile.
#[test]
fn a_gateway_that_was_frozen_serves_no_key_that_was_taken_away_meanwhile() {
    let (mut deployment, engine) = fleet(2);
    let frozen = deployment.gateways[1].callers();
    // No answer of the store waits in its sockets, only heartbeats with ages that were true when they were sent.
    deployment.store_link.set_fault(LinkFault::Stalled);
    deployment.gateways[1].signal(Signal::STOP);
    std::thread::sleep(Duration::from_millis(600));
    deployment.set_tenants(tenants(&["second-key-of-alpha"]));
    std::thread::sleep(KEY_REMOVAL_BOUND);
    // Nobody can be asked how old they are.
    deployment.gateways[0].kill();
    let before = engine.runs().len();
    deployment.gateways[1].signal(Signal::CONT);
    let end = Instant::now() + Duration::from_secs(3);
    while Instant::now() < end {
        let reply = keyed("r-1", KEY).send(frozen);
        assert_ne!(reply.map_or(0, |reply| reply.status), 200);
    }
    assert_eq!(engine.runs().len(), before);
}

/// Both tenants name the same program and the same turns.
#[test]
fn turns_and_budgets_of_tenants_are_apart() {
    let mut deployment = Deployment::started(PROGRAM, 2, 3);
    deployment.set_tenants(tenants(&[KEY]));
    wait_until("all ask for keys", || {
        let mut gateways = deployment.gateways.iter();
        gateways.all(|gateway| status(gateway, &keyed("r-1", "unknown")) == 401)
    });
    let engine = deployment.start_engine(
        "models",
        "m-1",
        Script::always(Answer::Stream {
            events: 2,
            gap_ms: 1,
        }),
    );
    let (one, two) = (
        deployment.gateways[0].callers(),
        deployment.gateways[1].callers(),
    );
    // Two events of ten tokens each: the budget is spent.
    send_until_served(one, &turn("t-1", KEY, "p", 20));
    send_until_served(two, &turn("t-1", OTHER_KEY, "p", 20));
    for (key, gateway) in [(KEY, two), (OTHER_KEY, one)] {
        let more = turn("t-2", key, "p", 20).send(gateway).expect("an answer");
        assert_eq!(more.status, 402, "each has its own ledger");
    }
    send_until_served(one, &turn("only-alpha", KEY, "q", 100));
    let runs = engine.runs().len();
    for (number, previous) in ["only-alpha", "nobody-s", "alpha·only-alpha"]
        .iter()
        .enumerate()
    {
        let id = format!("t-3-{number}");
        let foreign = turn(&id, OTHER_KEY, "r", 100).header("ridgeworks-previous-turn", previous);
        for gateway in [one, two] {
            let reply = foreign.send(gateway);
            assert!(
                matches!(reply.map_or(0, |reply| reply.status), 404 | 400),
                "{previous}"
            );
        }
    }
    assert_eq!(engine.runs().len(), runs);
    let own = turn("t-4", KEY, "q", 100).header("ridgeworks-previous-turn", "only-alpha");
    send_until_served(two, &own);
    let prompt = engine.runs().last().expect("a run").body.clone();
    assert_eq!(prompt, b"inputpiece 1\npiece 2\ninput");
    // What a gateway keeps in memory says no more than the replicas.
    let cached = turn("t-5", OTHER_KEY, "q", 100).header("ridgeworks-previous-turn", "t-4");
    assert_eq!(status(&deployment.gateways[1], &cached), 404);
}
