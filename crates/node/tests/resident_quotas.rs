//! Limits of tenants over several gateways.

use std::time::{Duration, Instant};

use ridgeworks_platform_stand_ins::client::{Call, call_get, call_post};
use ridgeworks_platform_stand_ins::deployment::{
    Deployment, QUOTA_OVERSHOOT, QUOTA_SLACK, QUOTA_WINDOW, send_until_served, wait_until,
};
use ridgeworks_platform_stand_ins::{Answer, EngineStandIn, Script};
use serde_json::{Value, json};

const PROGRAM: &str = env!("CARGO_BIN_EXE_ridgeworksd");
const GATEWAYS: u8 = 3;
const CREDENTIAL: &str = "ridgeworks-credential";

fn tenants(per_s: u64, burst: u64) -> Value {
    json!([
        {"name": "limited", "api_keys": ["key-1"], "rate_per_s": per_s, "burst": burst},
        {"name": "other", "api_keys": ["key-2"], "rate_per_s": 1_000, "burst": 1_000},
        {"name": "unlimited", "api_keys": ["key-3"]},
    ])
}

fn keyed(id: &str, key: &str) -> Call {
    call_get("/tool/x", id).header(CREDENTIAL, key)
}

/// Gateways that have served all tenants, and have been there for longer than a window.
fn fleet(per_s: u64, burst: u64) -> (Deployment, EngineStandIn) {
    let mut deployment = Deployment::started(PROGRAM, GATEWAYS, 3);
    deployment.set_tenants(tenants(per_s, burst));
    let engine = deployment.start_engine(
        "tools",
        "i-1",
        Script::always(Answer::Whole("fine".to_owned())),
    );
    for gateway in &deployment.gateways {
        for key in ["key-1", "key-2", "key-3"] {
            send_until_served(gateway.callers(), &keyed("warm", key));
        }
    }
    std::thread::sleep(QUOTA_WINDOW + Duration::from_millis(500));
    (deployment, engine)
}

/// What clients of a tenant got that sent to all gateways for a time, by status.
fn send_for(deployment: &Deployment, key: &str, time: Duration) -> Vec<(u16, Option<f64>)> {
    let threads: Vec<_> = deployment
        .gateways
        .iter()
        .map(|gateway| {
            let callers = gateway.callers();
            let key = key.to_owned();
            std::thread::spawn(move || {
                let end = Instant::now() + time;
                let mut seen = Vec::new();
                while Instant::now() < end {
                    let reply = keyed("r", &key).send(callers).unwrap_or_default();
                    let after = reply.header("retry-after");
                    seen.push((reply.status, after.and_then(|after| after.parse().ok())));
                }
                seen
            })
        })
        .collect();
    let seen = threads.into_iter();
    seen.flat_map(|thread| thread.join().expect("clients do not panic"))
        .collect()
}

fn most(per_s: u64, burst: u64) -> f64 {
    let in_window = (per_s * QUOTA_WINDOW.as_secs() + burst) as f64;
    in_window * (1.0 + QUOTA_OVERSHOOT) + QUOTA_SLACK as f64
}

#[test]
fn all_gateways_together_let_no_more_through_than_a_tenant_may_make() {
    let (deployment, engine) = fleet(20, 20);
    let before = engine.runs().len();
    let seen = send_for(&deployment, "key-1", QUOTA_WINDOW);
    let ran = engine.runs().len() - before;
    assert!(ran as f64 <= most(20, 20), "{ran} ran");
    // What is owed is served.
    assert!(ran >= 60, "{ran} ran");
    let refused: Vec<_> = seen.iter().filter(|(status, _)| *status == 429).collect();
    assert!(!refused.is_empty());
    assert!(
        refused
            .iter()
            .all(|(_, after)| after.is_some_and(|after| after > 0.0))
    );
    assert!(seen.iter().all(|(status, _)| matches!(status, 200 | 429)));
}

#[test]
fn other_tenants_do_not_feel_one_that_makes_too_many() {
    let (deployment, _engine) = fleet(20, 20);
    std::thread::scope(|scope| {
        scope.spawn(|| send_for(&deployment, "key-1", Duration::from_secs(1)));
        for key in ["key-2", "key-3"] {
            let seen = send_for(&deployment, key, Duration::from_millis(400));
            assert!(seen.iter().all(|(status, _)| *status == 200), "{key}");
        }
    });
}

#[test]
fn a_lower_limit_binds_one_window_after_it_is_known() {
    let (mut deployment, engine) = fleet(200, 200);
    deployment.set_tenants(tenants(5, 5));
    std::thread::sleep(QUOTA_WINDOW);
    let before = engine.runs().len();
    send_for(&deployment, "key-1", QUOTA_WINDOW);
    let ran = engine.runs().len() - before;
    assert!(ran as f64 <= most(5, 5), "{ran} ran");
}

/// The limiters forget what they gave out; what a window may hold does not grow by it.
#[test]
fn limiters_that_start_again_give_out_no_second_limit() {
    let (mut deployment, engine) = fleet(20, 20);
    let before = engine.runs().len();
    let began = Instant::now();
    send_for(&deployment, "key-1", Duration::from_millis(700));
    for replica in &mut deployment.replicas {
        replica.kill();
        replica.start();
    }
    while began.elapsed() < QUOTA_WINDOW {
        send_for(&deployment, "key-1", Duration::from_millis(100));
    }
    let ran = engine.runs().len() - before;
    assert!(ran as f64 <= most(20, 20), "{ran} ran");
    wait_until("requests are served again", || {
        let gateway = deployment.gateways[0].callers();
        keyed("again", "key-1")
            .send(gateway)
            .is_some_and(|reply| reply.status == 200)
    });
}

#[test]
fn without_a_limiter_nothing_of_a_limited_tenant_runs_and_the_others_are_served() {
    let (mut deployment, engine) = fleet(20, 20);
    for replica in &mut deployment.replicas {
        replica.kill();
    }
    let before = engine.runs().len();
    let gateway = deployment.gateways[0].callers();
    let reply = keyed("r-1", "key-1").send(gateway).expect("an answer");
    assert_eq!(reply.status, 503);
    assert!(reply.header("retry-after").is_some());
    assert_eq!(engine.runs().len(), before);
    let unlimited = keyed("r-2", "key-3").send(gateway).expect("an answer");
    assert_eq!(unlimited.status, 200);
    // Known to be lost, they hold nobody up.
    let began = Instant::now();
    let again = keyed("r-3", "key-1").send(gateway).expect("an answer");
    assert_eq!(again.status, 503);
    assert!(
        began.elapsed() < Duration::from_millis(350),
        "{:?}",
        began.elapsed()
    );
}

/// Requests that no engine takes use nothing of the limit up.
#[test]
fn a_request_that_did_not_run_gives_back_what_it_took() {
    let (deployment, engine) = fleet(1, 1);
    let gateway = deployment.gateways[0].callers();
    engine.set_script(Script::always(Answer::NotExecuted(503)));
    let post = |id: &str| call_post("/once/x", id, "order").header(CREDENTIAL, "key-1");
    for number in 0..3 {
        let reply = post(&format!("r-{number}"))
            .send(gateway)
            .expect("an answer");
        assert_eq!(reply.status, 503);
    }
    engine.set_script(Script::always(Answer::Whole("fine".to_owned())));
    let reply = post("r-last").send(gateway).expect("an answer");
    assert_eq!(reply.status, 200);
}
