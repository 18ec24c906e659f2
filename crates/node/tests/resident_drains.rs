//! Zones that are drained: from when a gateway knows the order, nothing more reaches the zone's engines.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ridgeworks_platform_stand_ins::client::{self, Call, Reply, call_post};
use ridgeworks_platform_stand_ins::deployment::{DRAINS, Deployment, Process, routes, wait_until};
use ridgeworks_platform_stand_ins::{Answer, EngineStandIn, LinkFault, Script};
use rustix::process::Signal;
use serde_json::json;

const PROGRAM: &str = env!("CARGO_BIN_EXE_ridgeworksd");
const BOUND: Duration = Duration::from_secs(5);
/// No gateway stands in these zones, so that no engine is nearer than another.
const ZONE: &str = "zone-x";
const OTHER_ZONE: &str = "zone-y";
/// Two in each of three zones of gateways.
const WATCHERS: usize = 6;
const DRAINED: &str = "zone drained";
const TAKEN_BACK: &str = "zone taken back";

fn ok() -> Script {
    Script::always(Answer::Whole("ok".to_owned()))
}

fn call(id: &str) -> Call {
    call_post("/tool/x", id, "body")
}

fn deployment(gateways: u8, replicas: u8) -> Deployment {
    Deployment::new(PROGRAM)
        .with_zone_drain_bound(BOUND)
        .with_nodes(gateways, replicas)
}

/// One engine in each of two zones.
struct TwoZones {
    deployment: Deployment,
    a: EngineStandIn,
    b: EngineStandIn,
}

impl TwoZones {
    fn start(gateways: u8) -> Self {
        Self::of(deployment(gateways, 0))
    }

    fn of(deployment: Deployment) -> Self {
        let a = deployment.start_engine_in(ZONE, "tools", "i-a", ok());
        let b = deployment.start_engine_in(OTHER_ZONE, "tools", "i-b", ok());
        let zones = Self { deployment, a, b };
        // A gateway that has heard of no engine yet refuses.
        wait_until("all gateways serve", || {
            zones.deployment.all_serve("/tool/x")
        });
        wait_until("both engines serve all gateways", || {
            let all = zones.deployment.gateways.iter();
            all.for_each(|gateway| zones.send(gateway, 4));
            !zones.a.runs().is_empty() && !zones.b.runs().is_empty()
        });
        zones
    }

    /// Sends so many calls, in sessions of their own.
    fn send(&self, gateway: &Process, calls: usize) {
        for number in 0..calls {
            let id = format!("{}-{number}-{}", gateway.name, self.served());
            let call = call(&id).header("ridgeworks-session", &id);
            let reply = call.send(gateway.callers()).expect("an answer");
            assert_eq!(reply.status, 200, "{}", about(gateway, &id));
        }
    }

    fn served(&self) -> usize {
        self.a.runs().len() + self.b.runs().len()
    }

    /// Nothing of all gateways reaches an engine, and they serve.
    fn assert_passed_over(&self, engine: &EngineStandIn) {
        let before = engine.runs().len();
        for gateway in &self.deployment.gateways {
            self.send(gateway, 10);
        }
        assert_eq!(engine.runs().len(), before, "{}", engine.instance());
    }

    /// Drains the first engine's zone; from when all gateways have heard, within the bound, nothing reaches it.
    fn assert_drained_in_time(&self) {
        self.deployment.drain_zone(ZONE);
        let ordered = Instant::now();
        self.wait_until_all_say(DRAINED);
        let taken = ordered.elapsed();
        assert!(taken < BOUND, "{taken:?}");
        self.assert_passed_over(&self.a);
    }

    fn assert_taken_back(&self) {
        self.deployment.cancel_zone_drain(ZONE);
        self.wait_until_all_say(TAKEN_BACK);
        self.wait_until_used(&self.a);
    }

    fn wait_until_used(&self, engine: &EngineStandIn) {
        let before = engine.runs().len();
        wait_until("the engine is used again", || {
            for gateway in &self.deployment.gateways {
                self.send(gateway, 4);
            }
            engine.runs().len() > before
        });
    }

    fn wait_until_all_say(&self, message: &str) {
        let gateways = &self.deployment.gateways;
        wait_until(message, || {
            gateways.iter().all(|gateway| gateway.has_logged(message))
        });
    }
}

/// The lines of a gateway's log about a request.
fn about(gateway: &Process, request: &str) -> String {
    let log = gateway.log();
    let lines = log
        .iter()
        .filter(|line| line["attributes"]["request"] == request);
    lines.map(ToString::to_string).collect()
}

/// How often a gateway has said something.
fn times_logged(gateway: &Process, message: &str) -> usize {
    let log = gateway.log();
    log.iter().filter(|line| line["message"] == message).count()
}

fn status_of(gateway: SocketAddr) -> Reply {
    call("q").send(gateway).expect("an answer")
}

#[test]
fn nothing_more_reaches_a_drained_zone_until_it_is_taken_back() {
    let zones = TwoZones::start(3);
    zones.assert_drained_in_time();
    zones.assert_taken_back();
}

#[test]
fn a_stream_that_runs_in_a_drained_zone_ends_undisturbed() {
    let deployment = deployment(1, 0);
    let script = Script::always(Answer::Stream {
        events: 30,
        gap_ms: 50,
    });
    let engine = deployment.start_engine_in(ZONE, "models", "m-a", script);
    let gateway = &deployment.gateways[0];
    wait_until("the engine is known", || {
        call_post("/chat/x", "first", "body")
            .send(gateway.callers())
            .is_some_and(|reply| reply.status == 200)
    });
    let callers = gateway.callers();
    let before = engine.runs().len();
    let running = std::thread::spawn(move || call_post("/chat/x", "long", "body").send(callers));
    wait_until("the stream runs", || engine.runs().len() > before);
    deployment.drain_zone(ZONE);
    wait_until("the order is known", || gateway.has_logged(DRAINED));
    assert!(!running.is_finished(), "the order came too late to matter");
    let reply = running.join().expect("a call").expect("an answer");
    assert!(reply.is_whole);
    assert_eq!(reply.event_ids().len(), 30);
    wait_until("the gateway says that it has nothing left there", || {
        gateway.has_logged("no request of this gateway is left in a drained zone")
    });
}

/// Without a rule of its own the service's requests would wait for room for a third of their time.
#[test]
fn a_service_all_of_whose_zones_are_drained_refuses_at_once() {
    let zones = TwoZones::start(1);
    let gateway = &zones.deployment.gateways[0];
    zones.deployment.drain_zone(ZONE);
    zones.deployment.drain_zone(OTHER_ZONE);
    wait_until("both orders are known", || {
        times_logged(gateway, DRAINED) == 2
    });
    let before = zones.served();
    let began = Instant::now();
    let reply = status_of(gateway.callers());
    assert!(
        began.elapsed() < Duration::from_millis(200),
        "{:?}",
        began.elapsed()
    );
    assert_eq!(reply.status, 503);
    let after: f64 = reply
        .header("retry-after")
        .expect("when to come back")
        .parse()
        .expect("seconds");
    assert!((1.0..=30.0).contains(&after), "{after}");
    assert_eq!(zones.served(), before);
    zones.deployment.cancel_zone_drain(OTHER_ZONE);
    wait_until("it is taken back", || gateway.has_logged(TAKEN_BACK));
    zones.assert_passed_over(&zones.a);
}

/// The engine elsewhere is none that the request may go to, so that nothing is left to wait for.
#[test]
fn a_request_whose_regions_are_drained_refuses_at_once() {
    let mut deployment = Deployment::new_with_regions(PROGRAM)
        .with_zone_drain_bound(BOUND)
        .with_nodes(1, 0);
    deployment.set_residency("tool", &["north"]);
    let _home = deployment.start_engine_in("zone-a", "tools", "i-a", ok());
    let _abroad = deployment.start_engine_in("zone-b", "tools", "i-b", ok());
    let gateway = &deployment.gateways[0];
    wait_until("the engine at home serves", || {
        gateway.status("/tool/x") == 200
    });
    deployment.drain_zone("zone-a");
    wait_until("the order is known", || gateway.has_logged(DRAINED));
    let began = Instant::now();
    assert_eq!(status_of(gateway.callers()).status, 503);
    let taken = began.elapsed();
    assert!(taken < Duration::from_millis(200), "{taken:?}");
    // The log's own thread writes the line, maybe after the answer.
    wait_until("the refusal is logged with its reason", || {
        let log = gateway.log();
        let mut ended = log.iter().map(|line| &line["attributes"]["reason"]);
        ended.any(|reason| reason == "zones_drained")
    });
}

/// What was refused before it asked the replicas for tokens leaves nothing to settle with them, which would use its identifier up.
#[test]
fn a_request_that_was_refused_for_a_drain_may_come_again_as_it_is() {
    let deployment = deployment(1, 3);
    let script = Script::always(Answer::Stream {
        events: 2,
        gap_ms: 1,
    });
    let _engine = deployment.start_engine_in(ZONE, "models", "m-a", script);
    let gateway = &deployment.gateways[0];
    let turn = |id: &str| {
        let call = call_post("/chat/x", id, "prompt")
            .header("ridgeworks-program-id", "p-1")
            .header("ridgeworks-token-budget", "100000")
            .header("ridgeworks-token-count", "100,100");
        call.send(gateway.callers()).map_or(0, |reply| reply.status)
    };
    let mut tries = 0;
    wait_until("turns are served", || {
        tries += 1;
        turn(&format!("first-{tries}")) == 200
    });
    deployment.drain_zone(ZONE);
    wait_until("the order is known", || gateway.has_logged(DRAINED));
    for _ in 0..20 {
        assert_eq!(turn("again"), 503);
    }
    deployment.cancel_zone_drain(ZONE);
    wait_until("it is over", || gateway.has_logged(TAKEN_BACK));
    assert_eq!(turn("again"), 200);
}

/// The order comes while a request is at an engine that loses its answer: its next try is judged anew.
#[test]
fn a_next_try_passes_over_a_zone_that_was_drained_meanwhile() {
    let mut deployment = deployment(1, 0);
    // The first engine is waited for until it fails, however long the order takes.
    let mut patient = routes();
    patient[0]["target_latency_ms"] = json!(10_000);
    patient[0]["timeout_ms"] = json!(10_000);
    deployment.configure(patient);
    wait_until("the route is patient", || {
        times_logged(&deployment.gateways[0], "configuration in force") == 2
    });
    let silent = Script::always(Answer::Silent);
    let first = deployment.start_engine_in(ZONE, "tools", "i-1", silent.clone());
    let gateway = &deployment.gateways[0];
    let callers = gateway.callers();
    let running = std::thread::spawn(move || call("r").send(callers));
    wait_until("the request is at the first engine", || {
        !first.runs().is_empty()
    });
    let second = deployment.start_engine_in(ZONE, "tools", "i-2", ok());
    let third = deployment.start_engine_in(OTHER_ZONE, "tools", "i-3", ok());
    deployment.drain_zone(ZONE);
    wait_until("the order is known", || gateway.has_logged(DRAINED));
    wait_until("both engines are known", || {
        let named = |engine: &str| {
            let mut lines = gateway.log().into_iter();
            lines.any(|line| {
                line["message"] == "engine changed" && line["attributes"]["engine"] == engine
            })
        };
        named("i-2") && named("i-3")
    });
    first.restart();
    let reply = running.join().expect("a call").expect("an answer");
    assert_eq!(reply.status, 200);
    assert_eq!((second.runs().len(), third.runs().len()), (0, 1));
}

/// All watches were answered by one change and sent again at the same moment, and fall silent for good.
fn assert_in_time_after_silence(gateways: u8) {
    let zones = TwoZones::start(gateways);
    zones.assert_drained_in_time();
    zones.assert_taken_back();
    let link = &zones.deployment.store_link;
    link.set_fault(LinkFault::Stalled);
    // Long enough for the link to take notice.
    std::thread::sleep(Duration::from_millis(50));
    link.set_fault(LinkFault::None);
    zones.deployment.drain_zone(OTHER_ZONE);
    let ordered = Instant::now();
    wait_until("all know the second order", || {
        let mut gateways = zones.deployment.gateways.iter();
        gateways.all(|gateway| times_logged(gateway, DRAINED) == 2)
    });
    assert!(ordered.elapsed() < BOUND, "{:?}", ordered.elapsed());
    zones.assert_passed_over(&zones.b);
}

#[test]
fn an_order_is_in_force_in_time_although_all_watches_are_silent() {
    assert_in_time_after_silence(3);
}

#[test]
fn in_a_large_fleet_too_an_order_is_in_force_in_time_although_all_watches_are_silent() {
    assert_in_time_after_silence(18);
}

/// As in a fleet whose other gateways are of a version that knows nothing of drains.
#[test]
fn a_gateway_that_nobody_tells_of_drains_follows_them_itself() {
    let others = Deployment::started(PROGRAM, 17, 0);
    let mut deployment = others.with_zone_drain_bound(BOUND);
    deployment.add_gateway().start();
    deployment.wait_until_ready_gateways();
    deployment.drain_zone(ZONE);
    let ordered = Instant::now();
    let alone = deployment.gateways.last().expect("just added");
    wait_until("it knows the order", || alone.has_logged(DRAINED));
    assert!(ordered.elapsed() < BOUND, "{:?}", ordered.elapsed());
    // For longer than a start's first questions last.
    std::thread::sleep(BOUND);
    deployment.cancel_zone_drain(ZONE);
    let ended = Instant::now();
    wait_until("it knows the end", || alone.has_logged(TAKEN_BACK));
    assert!(ended.elapsed() < BOUND, "{:?}", ended.elapsed());
}

#[test]
fn metrics_tell_what_is_drained() {
    let zones = TwoZones::start(1);
    let gateway = &zones.deployment.gateways[0];
    let told = || {
        let reply = client::get(gateway.metrics(), "/metrics");
        reply.map(|reply| reply.body).unwrap_or_default()
    };
    assert!(told().contains("ridgeworks_drained_zones 0"));
    zones.assert_drained_in_time();
    let body = told();
    for line in [
        "ridgeworks_drained_zones 1",
        "ridgeworks_drained_engines{zone=\"zone-x\",service=\"tools\"} 1",
        "ridgeworks_drained_requests{zone=\"zone-x\",service=\"tools\"} 0",
    ] {
        assert!(body.contains(line), "{line} is not in {body}");
    }
}

/// It would be taken up where it broke off, by the allowance that is no further try.
#[test]
fn a_stream_is_not_taken_up_in_a_drained_zone() {
    let mut deployment = deployment(1, 0);
    let mut routes = routes();
    routes[2]["max_attempts"] = json!(1);
    deployment.configure(routes);
    let script = Script::first(
        [Answer::Stream {
            events: 1,
            gap_ms: 1,
        }],
        Answer::Stream {
            events: 40,
            gap_ms: 50,
        },
    );
    let engine = deployment.start_engine_in(ZONE, "models", "m-a", script);
    let gateway = &deployment.gateways[0];
    wait_until("the engine is known", || {
        call_post("/chat/x", "first", "body")
            .send(gateway.callers())
            .is_some_and(|reply| reply.status == 200)
    });
    let callers = gateway.callers();
    let running = std::thread::spawn(move || call_post("/chat/x", "long", "body").send(callers));
    wait_until("the stream runs", || engine.runs().len() == 2);
    deployment.drain_zone(ZONE);
    wait_until("the order is known", || gateway.has_logged(DRAINED));
    engine.restart();
    let reply = running.join().expect("a call").expect("an answer");
    assert!(reply.event_ids().len() < 40);
    assert_eq!(engine.runs().len(), 2);
}

#[test]
fn two_zones_a_spoiled_order_one_that_is_repeated_and_one_of_no_zone() {
    let zones = TwoZones::start(1);
    let gateway = &zones.deployment.gateways[0];
    let store = &zones.deployment.store;
    zones.deployment.drain_zone("zone-of-nothing");
    store.put(DRAINS, ZONE, json!("spoiled"));
    wait_until("both orders are known", || {
        times_logged(gateway, DRAINED) == 2
    });
    zones.assert_passed_over(&zones.a);
    store.put(DRAINS, ZONE, json!({}));
    wait_until("the order is known again", || {
        gateway.has_logged("zone drained, ordered again")
    });
    zones.assert_passed_over(&zones.a);
    zones.deployment.drain_zone(OTHER_ZONE);
    wait_until("the third order is known", || {
        times_logged(gateway, DRAINED) == 3
    });
    assert_eq!(status_of(gateway.callers()).status, 503);
    zones.deployment.cancel_zone_drain(ZONE);
    wait_until("one is taken back", || gateway.has_logged(TAKEN_BACK));
    zones.assert_passed_over(&zones.b);
}

/// Ends an order while no gateway hears the store; it stands until they hear it again.
fn assert_stands_until_heard(fault: LinkFault, meanwhile: impl FnOnce(&Deployment)) {
    let zones = TwoZones::start(2);
    zones.assert_drained_in_time();
    let link = &zones.deployment.store_link;
    link.set_fault(fault);
    zones.deployment.cancel_zone_drain(ZONE);
    meanwhile(&zones.deployment);
    zones.assert_passed_over(&zones.a);
    link.set_fault(LinkFault::None);
    zones.wait_until_all_say(TAKEN_BACK);
    zones.wait_until_used(&zones.a);
}

/// The end of the order is in no history any more: only the list tells.
#[test]
fn an_order_is_over_that_a_store_without_its_history_does_not_list() {
    assert_stands_until_heard(LinkFault::Reset, |deployment| {
        deployment.store.compact_history();
    });
}

#[test]
fn an_order_stands_while_the_store_is_away() {
    // Until what is known is older than the bound.
    let longer = BOUND + Duration::from_secs(1);
    assert_stands_until_heard(LinkFault::Silent, |_| std::thread::sleep(longer));
}

#[test]
fn a_gateway_that_starts_in_the_midst_knows_the_order_before_it_is_ready() {
    let mut zones = TwoZones::start(1);
    zones.deployment.drain_zone(ZONE);
    zones.wait_until_all_say(DRAINED);
    zones.deployment.add_gateway().start();
    zones.deployment.wait_until_ready_gateways();
    zones.assert_passed_over(&zones.a);
}

/// Orders and their ends come to a gateway that does not reach the store from the others.
#[test]
fn a_gateway_that_never_reaches_the_store_hears_of_orders_from_others() {
    let mut zones = TwoZones::start(2);
    let away = zones.deployment.new_store_link();
    away.set_fault(LinkFault::Reset);
    zones.deployment.add_gateway_via(&away).start();
    zones.deployment.wait_until_ready_gateways();
    zones.assert_drained_in_time();
    zones.assert_taken_back();
}

/// Whatever it had in its hands from before, a gateway that wakes up knows by its next answer of the store how things stand.
#[test]
fn a_gateway_that_was_frozen_across_an_order_and_its_end_serves_both_zones() {
    let zones = TwoZones::start(2);
    let frozen = &zones.deployment.gateways[1];
    frozen.signal(Signal::STOP);
    zones.deployment.drain_zone(ZONE);
    let awake = &zones.deployment.gateways[0];
    wait_until("the order is known", || awake.has_logged(DRAINED));
    zones.deployment.cancel_zone_drain(ZONE);
    wait_until("it is over", || awake.has_logged(TAKEN_BACK));
    zones.deployment.drain_zone(OTHER_ZONE);
    wait_until("the next order is known", || {
        times_logged(awake, DRAINED) == 2
    });
    frozen.signal(Signal::CONT);
    wait_until("the gateway that woke up knows it", || {
        frozen.has_logged(DRAINED)
    });
    zones.assert_passed_over(&zones.b);
    zones.wait_until_used(&zones.a);
}

#[test]
fn a_large_fleet_hears_in_time_and_watches_with_few() {
    const GATEWAYS: u8 = 18;
    let zones = TwoZones::start(GATEWAYS);
    let settled = zones.deployment.store.calls_of(DRAINS);
    assert!(settled > 0);
    zones.assert_drained_in_time();
    let gateways = &zones.deployment.gateways;
    wait_until("a few watch", || {
        let watching = gateways.iter().filter(|gateway| gateway.watches_store());
        watching.count() == WATCHERS
    });
    // Ends the watches that nodes made at their start.
    zones.deployment.cancel_zone_drain(ZONE);
    zones.wait_until_all_say(TAKEN_BACK);
    let store = &zones.deployment.store;
    let (drains, configuration) = (store.calls_of(DRAINS), store.calls_of("config"));
    std::thread::sleep(Duration::from_secs(5));
    let drains = store.calls_of(DRAINS) - drains;
    let configuration = store.calls_of("config") - configuration;
    // One call of each watcher in 2.25 s to 3 s in which nothing changed.
    assert!(
        (6..=20).contains(&drains),
        "{drains} for drains, {configuration} for the configuration"
    );
}

#[test]
fn nobody_asks_for_orders_where_zones_are_not_drained() {
    let zones = TwoZones::of(Deployment::started(PROGRAM, 2, 0));
    zones.deployment.drain_zone(ZONE);
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(zones.deployment.store.calls_of(DRAINS), 0);
    zones.wait_until_used(&zones.a);
}
