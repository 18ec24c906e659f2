//! Start, stop and reload of residents, and how they follow the platform's store through its faults.

use std::time::Duration;

use ridgeworks_platform_stand_ins::client::{Call, call_get, call_post, get};
use ridgeworks_platform_stand_ins::deployment::{Deployment, routes, wait_until};
use ridgeworks_platform_stand_ins::{Answer, Script, StoreFault};
use rustix::process::Signal;
use serde_json::json;

const PROGRAM: &str = env!("CARGO_BIN_EXE_ridgeworksd");

fn ok() -> Script {
    Script::always(Answer::Whole("fine".to_owned()))
}

fn status(gateway: std::net::SocketAddr, path: &str) -> u16 {
    call_get(path, "r")
        .send(gateway)
        .map_or(0, |reply| reply.status)
}

/// The routes with another prefix for tools.
fn moved_routes(prefix: &str) -> serde_json::Value {
    let mut routes = routes();
    routes[0]["path_prefix"] = json!(prefix);
    routes
}

#[test]
fn a_changed_configuration_is_in_force_within_its_bound() {
    let mut deployment = Deployment::started(PROGRAM, 1, 0);
    let _engine = deployment.start_engine("tools", "i-1", ok());
    let gateway = deployment.gateways[0].callers();
    wait_until("the engine serves", || status(gateway, "/tool/x") == 200);
    let began = std::time::Instant::now();
    deployment.configure(moved_routes("/moved/"));
    wait_until("the new route is served", || {
        status(gateway, "/moved/x") == 200
    });
    assert!(began.elapsed() < Duration::from_secs(2));
    assert_eq!(status(gateway, "/tool/x"), 404);
}

#[test]
fn an_older_configuration_never_comes_back() {
    let mut deployment = Deployment::started(PROGRAM, 1, 0);
    let _engine = deployment.start_engine("tools", "i-1", ok());
    let gateway = deployment.gateways[0].callers();
    let old = deployment
        .store
        .object("config", "main")
        .expect("a configuration");
    deployment.configure(moved_routes("/moved/"));
    wait_until("the new route is served", || {
        status(gateway, "/moved/x") == 200
    });
    deployment.store.put("config", "main", old["spec"].clone());
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(status(gateway, "/tool/x"), 404);
    assert_eq!(status(gateway, "/moved/x"), 200);
}

/// A change that is made after the fault has been on for a while, and is in force once it is over.
fn survives(fault: StoreFault) {
    let mut deployment = Deployment::started(PROGRAM, 1, 0);
    let engine = deployment.start_engine("tools", "i-1", ok());
    let gateway = deployment.gateways[0].callers();
    wait_until("the engine serves", || status(gateway, "/tool/x") == 200);
    deployment.store.set_fault(fault);
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(status(gateway, "/tool/x"), 200, "{fault:?}");
    deployment.configure(moved_routes("/moved/"));
    deployment
        .store
        .put("servers", "i-1", engine.entry("tools", "draining"));
    let _next = deployment.start_engine("tools", "i-2", ok());
    deployment.store.set_fault(StoreFault::None);
    wait_until("the new route is served by the new engine", || {
        status(gateway, "/moved/x") == 200
    });
}

#[test]
fn a_store_that_refuses_or_is_slow_is_followed_again() {
    survives(StoreFault::Unavailable);
    survives(StoreFault::Throttled);
    survives(StoreFault::Slow(300));
}

#[test]
fn a_store_that_forgot_its_history_is_listed_anew() {
    let mut deployment = Deployment::started(PROGRAM, 1, 0);
    let engine = deployment.start_engine("tools", "i-1", ok());
    let gateway = deployment.gateways[0].callers();
    wait_until("the engine serves", || status(gateway, "/tool/x") == 200);
    deployment.store.set_fault(StoreFault::Unavailable);
    std::thread::sleep(Duration::from_millis(200));
    deployment.configure(moved_routes("/moved/"));
    let _next = deployment.start_engine("tools", "i-2", ok());
    deployment.store.remove("servers", "i-1");
    deployment.store.compact_history();
    deployment.store.set_fault(StoreFault::None);
    wait_until("the new route is served", || {
        status(gateway, "/moved/x") == 200
    });
    // Configuration and engines are followed apart from each other.
    wait_until("the engines are listed anew", || {
        let log = deployment.gateways[0].log();
        let lists = log
            .iter()
            .filter(|line| line["message"] == "list of engines in force");
        lists.count() >= 2
    });
    let runs = engine.runs().len();
    for _ in 0..10 {
        assert_eq!(status(gateway, "/moved/x"), 200);
    }
    assert_eq!(engine.runs().len(), runs);
}

/// Entries lapse while the store is away, also those of engines that live. Back comes who lives.
#[test]
fn entries_that_lapsed_with_the_store_count_again_when_they_are_back() {
    let deployment = Deployment::started(PROGRAM, 1, 0);
    let living = deployment.start_engine("tools", "i-1", ok());
    let dead = deployment.start_engine("tools", "i-2", ok());
    let gateway = deployment.gateways[0].callers();
    let mut number = 0;
    let mut next_status = || {
        number += 1;
        let reply = call_get("/tool/x", &format!("r-{number}")).send(gateway);
        reply.map_or(0, |reply| reply.status)
    };
    wait_until("both engines serve", || {
        next_status();
        !living.runs().is_empty() && !dead.runs().is_empty()
    });
    deployment.store.set_fault(StoreFault::Unavailable);
    deployment.store.remove("servers", "i-1");
    deployment.store.remove("servers", "i-2");
    assert_eq!(next_status(), 200);
    deployment.store.set_fault(StoreFault::None);
    let entry = living.entry("tools", "ready");
    deployment.store.put("servers", "i-1", entry);
    wait_until("the gateway has seen both go and one come back", || {
        let before = dead.runs().len();
        let answered = (0..8).all(|_| next_status() == 200);
        answered && dead.runs().len() == before
    });
    let before = dead.runs().len();
    for _ in 0..20 {
        assert_eq!(next_status(), 200);
    }
    assert_eq!(dead.runs().len(), before);
}

#[test]
fn a_gateway_that_starts_while_the_store_is_down_learns_from_another() {
    let mut deployment = Deployment::started(PROGRAM, 1, 0);
    let _engine = deployment.start_engine("tools", "i-1", ok());
    let first = deployment.gateways[0].callers();
    wait_until("the engine serves", || status(first, "/tool/x") == 200);
    deployment.store.set_fault(StoreFault::Silent);
    let second = {
        let gateway = deployment.add_gateway();
        gateway.start();
        gateway.callers()
    };
    wait_until("the new gateway serves", || {
        status(second, "/tool/x") == 200
    });
}

#[test]
fn a_request_waits_for_a_configuration_that_comes_soon() {
    let mut deployment = Deployment::new(PROGRAM);
    deployment.store.set_fault(StoreFault::Unavailable);
    let gateway = {
        let gateway = deployment.add_gateway();
        gateway.start();
        gateway.callers()
    };
    wait_until("the gateway answers", || status(gateway, "/tool/x") == 503);
    deployment.configure(routes());
    let _engine = deployment.start_engine("tools", "i-1", ok());
    let waiting = std::thread::spawn(move || status(gateway, "/tool/x"));
    std::thread::sleep(Duration::from_millis(50));
    deployment.store.set_fault(StoreFault::None);
    assert_eq!(waiting.join().expect("a status"), 200);
}

#[test]
fn without_any_configuration_nothing_is_promised() {
    let mut deployment = Deployment::new(PROGRAM);
    deployment.store.set_fault(StoreFault::Unavailable);
    let gateway = {
        let gateway = deployment.add_gateway();
        gateway.start();
        gateway.callers()
    };
    wait_until("the gateway answers", || status(gateway, "/tool/x") == 503);
    assert!(!deployment.gateways[0].is_ready());
}

#[test]
fn a_long_list_of_engines_is_read_to_its_end() {
    let mut deployment = Deployment::new(PROGRAM);
    deployment.configure(routes());
    for number in 0..120 {
        let entry = json!({"service": "tools", "address": "127.0.0.1:9", "zone": "z",
            "slots": 1, "state": "draining", "seq": 1});
        deployment
            .store
            .put("servers", &format!("a-{number:03}"), entry);
    }
    let _engine = deployment.start_engine("tools", "z-last", ok());
    // The only gateway, which nobody but the store can tell of engines.
    let gateway = {
        let gateway = deployment.add_gateway();
        gateway.start();
        gateway.callers()
    };
    wait_until("the last engine serves", || {
        status(gateway, "/tool/x") == 200
    });
}

#[test]
fn a_stop_cuts_no_request_and_ends_in_time() {
    let mut deployment = Deployment::started(PROGRAM, 1, 0);
    let slow = Script::always(Answer::Stream {
        events: 20,
        gap_ms: 50,
    });
    let engine = deployment.start_engine("models", "i-1", slow);
    let gateway = deployment.gateways[0].callers();
    let serving = std::thread::spawn(move || {
        let mut reply = None;
        wait_until("the stream is served", || {
            reply = call_post("/chat/x", "r-1", "").send(gateway);
            reply.as_ref().is_some_and(|reply| reply.status == 200)
        });
        reply.expect("just served")
    });
    wait_until("the stream runs", || !engine.runs().is_empty());
    deployment.gateways[0].signal(Signal::TERM);
    wait_until("the gateway is not ready", || {
        !deployment.gateways[0].is_ready()
    });
    let reply = serving.join().expect("a reply");
    assert!(reply.is_whole);
    assert_eq!(reply.event_ids().len(), 20);
    let mut ended = None;
    wait_until("the process has ended", || {
        ended = deployment.gateways[0].ended();
        ended.is_some()
    });
    assert_eq!(ended, Some(true));
    let log = deployment.gateways[0].log();
    for message in ["started", "stopping", "stopped"] {
        let is_told = log.iter().any(|line| line["message"] == message);
        assert!(is_told, "no line says {message}");
    }
}

#[test]
fn settings_are_read_again_and_bad_ones_change_nothing() {
    let deployment = Deployment::started(PROGRAM, 1, 0);
    let _engine = deployment.start_engine("tools", "i-1", ok());
    let gateway = deployment.gateways[0].callers();
    wait_until("the engine serves", || status(gateway, "/tool/x") == 200);
    deployment.gateways[0].signal(Signal::HUP);
    wait_until("the reload is told", || {
        let log = deployment.gateways[0].log();
        log.iter()
            .any(|line| line["message"] == "settings reloaded")
    });
    deployment.gateways[0].corrupt_settings();
    deployment.gateways[0].signal(Signal::HUP);
    wait_until("the fault is told", || {
        let log = deployment.gateways[0].log();
        log.iter()
            .any(|line| line["message"] == "settings not reloaded, the earlier ones hold")
    });
    assert_eq!(status(gateway, "/tool/x"), 200);
}

#[test]
fn metrics_are_told_at_the_settings_address() {
    let mut deployment = Deployment::started(PROGRAM, 1, 1);
    let _engine = deployment.start_engine("tools", "i-1", ok());
    let gateway = deployment.gateways[0].callers();
    wait_until("the engine serves", || status(gateway, "/tool/x") == 200);
    let text = get(deployment.gateways[0].metrics(), "/metrics")
        .expect("metrics")
        .body;
    assert!(
        text.contains("ridgeworks_requests_ended_total{reason=\"answered\"}"),
        "{text}"
    );
    assert!(text.contains("ridgeworks_request_seconds_bucket"), "{text}");
    assert!(
        text.contains("ridgeworks_log_lines_written_total"),
        "{text}"
    );
    let text = get(deployment.replicas[0].metrics(), "/metrics")
        .expect("metrics")
        .body;
    assert!(text.contains("ridgeworks_replica_set_epoch"), "{text}");
    deployment.replicas[0].kill();
}

/// Sends requests on new connections until the gateway takes none any more; those without an answer.
fn send_until_refused(
    gateway: std::net::SocketAddr,
    name: &str,
    make: impl Fn(&str) -> Call,
) -> Vec<String> {
    let mut unanswered = Vec::new();
    for number in 0.. {
        let id = format!("{name}-{number}");
        let Some(reply) = make(&id).send(gateway) else {
            unanswered.push(id);
            if std::net::TcpStream::connect(gateway).is_err() {
                break;
            }
            continue;
        };
        if !reply.is_whole {
            unanswered.push(id);
        }
        std::thread::sleep(Duration::from_millis(3));
    }
    unanswered
}

#[test]
fn clients_that_still_come_while_a_gateway_ends_are_answered_or_not_served() {
    let deployment = Deployment::started(PROGRAM, 1, 3);
    let tools = deployment.start_engine("tools", "i-tool", ok());
    let stream = Script::always(Answer::Stream {
        events: 2,
        gap_ms: 1,
    });
    let models = deployment.start_engine("models", "i-model", stream);
    let gateway = deployment.gateways[0].callers();
    wait_until("the engines serve", || {
        let turn = call_post("/chat/x", "warm", "").send(gateway);
        status(gateway, "/tool/x") == 200 && turn.is_some_and(|reply| reply.status == 200)
    });
    let mut clients = Vec::new();
    for client in 0..4 {
        clients.push(std::thread::spawn(move || {
            let name = format!("tool-{client}");
            send_until_refused(gateway, &name, |id| call_get("/tool/x", id))
        }));
    }
    // Turns leave accounts that are to be settled before the end.
    clients.push(std::thread::spawn(move || {
        send_until_refused(gateway, "turn", |id| {
            call_post("/chat/x", id, "")
                .header("ridgeworks-program-id", id)
                .header("ridgeworks-token-budget", "1000")
                .header("ridgeworks-token-count", "10,20")
        })
    }));
    std::thread::sleep(Duration::from_millis(200));
    deployment.gateways[0].signal(Signal::TERM);
    let unanswered = clients
        .into_iter()
        .flat_map(|client| client.join().expect("a client"));
    let runs: Vec<String> = [tools.runs(), models.runs()]
        .concat()
        .iter()
        .map(|run| run.headers["ridgeworks-request-id"].clone())
        .collect();
    let cut: Vec<String> = unanswered.filter(|id| runs.contains(id)).collect();
    assert!(cut.is_empty(), "run and not answered: {cut:?}");
}

/// What every node runs can be asked of any of them, told in its log and its metrics.
#[test]
fn what_each_node_runs_is_told() {
    let deployment = Deployment::started(PROGRAM, 1, 1);
    let [gateway, replica] = [&deployment.gateways[0], &deployment.replicas[0]];
    wait_until("they hear each other", || {
        gateway.has_discovered(replica) && replica.has_discovered(gateway)
    });
    let told = std::process::Command::new(PROGRAM)
        .args(["versions", &gateway.peers().to_string()])
        .output()
        .expect("the program starts");
    let told = String::from_utf8(told.stdout).expect("text");
    let lines: Vec<&str> = told.lines().collect();
    assert_eq!(lines.len(), 2, "{told}");
    let names = ["gateway-1 ", "replica-1 "];
    for (line, name) in lines.iter().zip(names) {
        assert!(line.starts_with(name), "{line}");
        assert!(line.ends_with("protocol 2, disk 0"), "{line}");
    }
    let metrics = get(gateway.metrics(), "/metrics").expect("metrics");
    let build = "ridgeworks_build_info{commit=";
    assert!(metrics.body.contains(build), "{}", metrics.body);
    let log = gateway.log();
    let started = log.iter().find(|line| line["message"] == "started");
    let started = started.expect("the start is told");
    assert_eq!(started["attributes"]["protocol"], "2");
}

/// Sets that are misread could be changed by a replica that knows half of what they say.
#[test]
fn replica_sets_of_a_newer_form_are_neither_believed_nor_written_over() {
    let mut deployment = Deployment::started(PROGRAM, 1, 3);
    let (kind, name) = ("ridgeworks-replica-sets", "main");
    let object = deployment.store.object(kind, name).expect("replica sets");
    let mut newer = object["spec"].clone();
    newer["form"] = json!(1);
    newer["epoch"] = json!(1_000);
    deployment.store.put(kind, name, newer.clone());
    let replica = &mut deployment.replicas[0];
    replica.kill();
    replica.start();
    let refused = "replica sets in the platform store cannot be read";
    wait_until("the form is refused", || replica.has_logged(refused));
    let log = replica.log();
    let believed = log.iter().filter(|line| {
        let epoch = &line["attributes"]["epoch"];
        line["message"] == "replica set in force" && epoch == "1000"
    });
    assert_eq!(believed.count(), 0);
    let object = deployment.store.object(kind, name).expect("replica sets");
    assert_eq!(object["spec"], newer);
}
