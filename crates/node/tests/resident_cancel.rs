//! Work that nobody waits for any more: a client that leaves is told to the engine within half a second, wherever its
//! request is, and a request that no engine has yet reaches none.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ridgeworks_platform_stand_ins::client::{Call, call_get, call_post};
use ridgeworks_platform_stand_ins::deployment::{Deployment, wait_until};
use ridgeworks_platform_stand_ins::{Answer, EngineStandIn, Script};
use rustix::process::Signal;

const PROGRAM: &str = env!("CARGO_BIN_EXE_ridgeworksd");
/// When the engine has to know at the latest.
const TOLD_WITHIN: Duration = Duration::from_millis(500);
/// How long the client waits before it leaves.
const WAITS: Duration = Duration::from_millis(300);

/// The client leaves after a while; how long the engine goes on working after that.
fn told_after(
    gateway: SocketAddr,
    engine: &EngineStandIn,
    make: impl Fn(&str) -> Call,
) -> Duration {
    let mut number = 0;
    let before = engine.runs().len();
    wait_until("the engine was asked", || {
        number += 1;
        let id = format!("r-{number}");
        make(&id).send_with_timeout(gateway, WAITS);
        engine.runs().len() > before
    });
    let left = Instant::now();
    wait_until("the engine noticed", || {
        engine.runs().iter().all(|run| run.cancelled)
    });
    left.elapsed()
}

#[test]
fn engines_are_told_in_time_wherever_a_request_is() {
    let deployment = Deployment::started(PROGRAM, 1, 0);
    let tools = deployment.start_engine("tools", "i-tool", Script::always(Answer::Silent));
    let models = deployment.start_engine("models", "i-model", Script::always(Answer::Silent));
    let gateway = deployment.gateways[0].callers();
    let repeatable = told_after(gateway, &tools, |id| call_get("/tool/x", id));
    let once = told_after(gateway, &tools, |id| call_post("/once/x", id, "order"));
    let no_event = told_after(gateway, &models, |id| call_post("/chat/x", id, ""));
    models.set_script(Script::always(Answer::Stream {
        events: 500,
        gap_ms: 20,
    }));
    let midway = told_after(gateway, &models, |id| call_post("/chat/x", id, ""));
    for told in [repeatable, once, no_event, midway] {
        assert!(told < TOLD_WITHIN, "{told:?}");
    }
}

#[test]
fn a_request_whose_client_left_before_its_reservation_reaches_no_engine() {
    let deployment = Deployment::started(PROGRAM, 1, 3);
    let stream = Script::always(Answer::Stream {
        events: 2,
        gap_ms: 1,
    });
    let models = deployment.start_engine("models", "i-model", stream);
    let gateway = deployment.gateways[0].callers();
    let turn = |id: &str| {
        call_post("/talk/x", id, "")
            .header("ridgeworks-program-id", id)
            .header("ridgeworks-token-budget", "1000")
            .header("ridgeworks-token-count", "10,20")
    };
    wait_until("turns are served", || {
        let reply = turn("warm").send(gateway);
        reply.is_some_and(|reply| reply.status == 200)
    });
    let before = models.runs().len();
    deployment
        .replicas
        .iter()
        .for_each(|replica| replica.signal(Signal::STOP));
    turn("left").send_with_timeout(gateway, WAITS);
    deployment
        .replicas
        .iter()
        .for_each(|replica| replica.signal(Signal::CONT));
    std::thread::sleep(TOLD_WITHIN * 2);
    assert_eq!(models.runs().len(), before);
}
