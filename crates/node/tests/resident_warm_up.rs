//! Engines that warm up, behind several gateways.

use std::time::{Duration, Instant};

use ridgeworks_platform_stand_ins::client::{call_get, get};
use ridgeworks_platform_stand_ins::deployment::{
    Deployment, WARM_UP_FACTOR, WARM_UP_SLACK, send_until_served, wait_until,
};
use ridgeworks_platform_stand_ins::{Answer, EngineStandIn, Script};
use rustix::process::Signal;

const PROGRAM: &str = env!("CARGO_BIN_EXE_ridgeworksd");
const GATEWAYS: u8 = 3;
/// Requests a second that an engine bears while it warms up.
const PER_S: u64 = 20;
/// For how long engines are new.
const WARM_UP: Duration = Duration::from_secs(3);
/// Clients of each gateway.
const CLIENTS: usize = 4;

fn most() -> usize {
    (PER_S as f64 * WARM_UP_FACTOR) as usize + WARM_UP_SLACK as usize
}

fn fine() -> Script {
    Script::always(Answer::Whole("fine".to_owned()))
}

/// Gateways that have served an engine that is warm, and limiters that have run for longer than a grant lives.
fn fleet() -> (Deployment, EngineStandIn) {
    let mut deployment = Deployment::new(PROGRAM);
    deployment.set_warm_up_limit("tools", PER_S, WARM_UP.as_secs_f64());
    for _ in 0..3 {
        deployment.add_replica().start();
    }
    for _ in 0..GATEWAYS {
        deployment.add_gateway().start();
    }
    let engine = deployment.start_engine("tools", "i-warm", fine());
    deployment.wait_until_ready();
    for gateway in &deployment.gateways {
        send_until_served(gateway.callers(), &call_get("/tool/x", "first"));
    }
    // What was not listed at first is presumed new.
    std::thread::sleep(WARM_UP + Duration::from_secs(2));
    (deployment, engine)
}

/// Lists an engine that is new.
fn warming_engine(deployment: &Deployment, instance: &str) -> EngineStandIn {
    let engine = deployment.start_engine("away", instance, fine());
    engine.start_warm_up(WARM_UP, most());
    let entry = engine.entry_warming_up("tools");
    deployment.store.put("servers", instance, entry);
    engine
}

/// Statuses of what clients got that sent to all gateways for a time; those that had to wait came back when they were told to.
fn send_for(deployment: &Deployment, time: Duration) -> Vec<u16> {
    let clients = deployment.gateways.iter().flat_map(|gateway| {
        let callers = gateway.callers();
        (0..CLIENTS).map(move |client| {
            std::thread::spawn(move || {
                let end = Instant::now() + time;
                let mut seen = Vec::new();
                let mut number = 0;
                while Instant::now() < end {
                    number += 1;
                    // Each is a request of its own, that may go anywhere.
                    let id = format!("r-{client}-{number}");
                    let reply = call_get("/tool/x", &id).send(callers).unwrap_or_default();
                    seen.push(reply.status);
                    std::thread::sleep(Duration::from_millis(10));
                }
                seen
            })
        })
    });
    let clients: Vec<_> = clients.collect();
    let seen = clients.into_iter();
    seen.flat_map(|client| client.join().expect("clients do not panic"))
        .collect()
}

fn all_know(deployment: &Deployment, instance: &str, source: &str) {
    wait_until("all gateways know that it warms up", || {
        deployment.gateways.iter().all(|gateway| {
            gateway.log().iter().any(|line| {
                line["message"] == "warm-up of an engine changed"
                    && line["attributes"]["engine"] == instance
                    && line["attributes"]["is_warm"] == "false"
                    && line["attributes"]["source"] == source
            })
        })
    });
}

fn counter(deployment: &Deployment, name: &str) -> u64 {
    let nodes = deployment.gateways.iter().chain(&deployment.replicas);
    let texts = nodes.filter_map(|node| get(node.metrics(), "/metrics"));
    let texts: Vec<String> = texts.map(|reply| reply.body).collect();
    let lines = texts.iter().flat_map(|text| text.lines());
    let own = lines.filter(|line| line.starts_with(name));
    own.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
        .sum()
}

#[test]
fn all_gateways_together_send_an_engine_that_warms_up_no_more_than_it_bears_and_most_of_that() {
    let (deployment, warm) = fleet();
    let before = warm.runs().len();
    let new = warming_engine(&deployment, "i-new");
    let seen = send_for(&deployment, Duration::from_millis(2_500));
    assert!(
        new.peak_requests_in_warm_up() <= most(),
        "{}",
        new.peak_requests_in_warm_up()
    );
    let ran = new.runs().len();
    assert!(ran as f64 > PER_S as f64 * 2.0 * 0.6, "{ran} ran there");
    assert!(warm.runs().len() > before + ran, "the rest went on");
    assert!(seen.iter().all(|status| *status == 200), "{seen:?}");
}

#[test]
fn an_engine_that_begins_to_warm_up_is_counted_once_an_answer_says_so() {
    let (deployment, _warm) = fleet();
    let new = deployment.start_engine("tools", "i-turns", fine());
    // Presumed to warm up at first.
    send_for(&deployment, WARM_UP + Duration::from_secs(2));
    new.start_warm_up(WARM_UP * 2, usize::MAX);
    send_for(&deployment, Duration::from_millis(200));
    all_know(&deployment, "i-turns", "answer");
    new.start_warm_up(WARM_UP, usize::MAX);
    send_for(&deployment, Duration::from_secs(2));
    let came = new.peak_requests_in_warm_up();
    assert!(came <= most(), "{came}");
    assert!(came >= PER_S as usize / 2, "{came}");
}

#[test]
fn a_gateway_that_was_frozen_sends_nothing_late() {
    let (deployment, _warm) = fleet();
    let new = warming_engine(&deployment, "i-new");
    std::thread::scope(|scope| {
        scope.spawn(|| send_for(&deployment, Duration::from_millis(2_500)));
        for _ in 0..4 {
            let frozen = &deployment.gateways[..2];
            std::thread::sleep(Duration::from_millis(250));
            frozen.iter().for_each(|node| node.signal(Signal::STOP));
            std::thread::sleep(Duration::from_millis(300));
            frozen.iter().for_each(|node| node.signal(Signal::CONT));
        }
    });
    assert!(
        new.peak_requests_in_warm_up() <= most(),
        "{}",
        new.peak_requests_in_warm_up()
    );
    assert!(!new.runs().is_empty());
}

#[test]
fn without_a_limiter_an_engine_that_warms_up_is_passed_over_and_nobody_waits_long() {
    let (deployment, _warm) = fleet();
    for replica in &deployment.replicas {
        replica.signal(Signal::STOP);
    }
    let new = warming_engine(&deployment, "i-new");
    all_know_or_ask(&deployment);
    let seen = send_for(&deployment, Duration::from_secs(1));
    assert_eq!(new.runs().len(), 0);
    assert!(seen.iter().all(|status| *status == 200), "{seen:?}");
    let began = Instant::now();
    let gateway = deployment.gateways[0].callers();
    for number in 0..20 {
        let id = format!("again-{number}");
        let reply = call_get("/tool/x", &id).send(gateway).expect("an answer");
        assert_eq!(reply.status, 200);
    }
    let each = began.elapsed() / 20;
    assert!(each < Duration::from_millis(25), "{each:?}");
}

/// Requests bring the news of an engine's entry into force.
fn all_know_or_ask(deployment: &Deployment) {
    send_for(deployment, Duration::from_millis(300));
    all_know(deployment, "i-new", "entry");
}

#[test]
fn where_all_engines_warm_up_what_they_cannot_bear_is_refused_at_once() {
    let (deployment, _warm) = fleet();
    deployment.store.remove("servers", "i-warm");
    let new = warming_engine(&deployment, "i-new");
    wait_until("the warm engine is gone", || {
        let gateways = deployment.gateways.iter();
        gateways
            .clone()
            .all(|gateway| gateway.has_logged("engine gone"))
    });
    let gateway = deployment.gateways[0].callers();
    let mut refused = 0;
    for number in 0..60 {
        let began = Instant::now();
        let reply = call_get("/tool/x", &format!("r-{number}")).send(gateway);
        let reply = reply.expect("an answer");
        if reply.status == 503 {
            refused += 1;
            assert!(began.elapsed() < Duration::from_millis(300));
            let after = reply
                .header("retry-after")
                .and_then(|after| after.parse().ok());
            assert!(after.is_some_and(|after: f64| after > 0.0));
        }
    }
    assert!(refused > 0);
    assert!(new.peak_requests_in_warm_up() <= most());
    let node = &deployment.gateways[0];
    let log = node.log();
    assert!(
        log.iter()
            .any(|line| line["attributes"]["reason"] == "engines_warm_up")
    );
    assert!(
        log.iter()
            .any(|line| line["message"] == "engine passed over")
    );
}

#[test]
fn a_service_without_such_a_limit_asks_nobody() {
    let deployment = Deployment::started(PROGRAM, GATEWAYS, 3);
    let engine = deployment.start_engine("tools", "i-1", fine());
    engine.start_warm_up(WARM_UP, usize::MAX);
    let entry = engine.entry_warming_up("tools");
    deployment.store.put("servers", "i-1", entry);
    for gateway in &deployment.gateways {
        send_until_served(gateway.callers(), &call_get("/tool/x", "first"));
    }
    send_for(&deployment, Duration::from_millis(500));
    assert!(!engine.runs().is_empty());
    assert_eq!(counter(&deployment, "ridgeworks_warm_up"), 0);
    assert!(
        deployment
            .gateways
            .iter()
            .all(|node| !node.has_logged("warm-up of an engine changed"))
    );
}
