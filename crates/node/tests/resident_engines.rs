//! Engines that start again under the identifier that they had, and entries that another writer has spoiled.

use ridgeworks_platform_stand_ins::client::{Call, call_post};
use ridgeworks_platform_stand_ins::deployment::{Deployment, Process, wait_until};
use ridgeworks_platform_stand_ins::{Answer, EngineStandIn, Script};
use serde_json::json;

const PROGRAM: &str = env!("CARGO_BIN_EXE_ridgeworksd");

fn ok() -> Script {
    Script::always(Answer::Whole("ok".to_owned()))
}

fn call(id: &str) -> Call {
    call_post("/tool/x", id, "body")
}

fn list(deployment: &Deployment, engine: &EngineStandIn, born_ms: u64) {
    let entry = engine.entry_started_at("tools", "ready", born_ms);
    deployment.store.put("servers", &engine.instance(), entry);
}

/// An entry that became unreadable in a watch left the engine as it was, and requests went on to an address that may be another's.
#[test]
fn an_entry_that_is_spoiled_names_no_engine_until_it_is_written_again() {
    let deployment = Deployment::started(PROGRAM, 1, 0);
    let spoiled = deployment.start_engine("tools", "i-1", ok());
    let kept = deployment.start_engine("tools", "i-2", ok());
    let gateway = &deployment.gateways[0];
    wait_until("requests are served", || gateway.status("/tool/x") == 200);
    let mut entry = spoiled.entry("tools", "ready");
    entry["slots"] = json!("four");
    deployment.store.put("servers", "i-1", entry);
    wait_until("the gateway has seen it", || {
        gateway.has_logged("entry of an engine cannot be read, it names none")
    });
    let before = spoiled.runs().len();
    for number in 0..20 {
        let reply = call(&format!("r-{number}")).send(gateway.callers());
        assert_eq!(reply.expect("an answer").status, 200);
    }
    assert_eq!(spoiled.runs().len(), before);
    assert!(kept.runs().len() >= 20);
    let entry = spoiled.entry("tools", "ready");
    deployment.store.put("servers", "i-1", entry);
    wait_until("it is used again", || {
        gateway.status("/tool/x");
        spoiled.runs().len() > before
    });
    assert!(gateway.has_logged("entry of an engine can be read again"));
}

/// What rests or is believed of the earlier run leads nowhere: each request is served by the later one.
#[test]
fn an_engine_that_starts_again_under_its_identifier_is_served_by_at_once() {
    let deployment = Deployment::started(PROGRAM, 2, 0);
    let earlier = deployment.start_engine("tools", "i-1", ok());
    list(&deployment, &earlier, 1_000);
    let callers = deployment.gateways.iter().map(Process::callers);
    let callers: Vec<_> = callers.collect();
    for (number, gateway) in callers.iter().enumerate() {
        wait_until("requests are served", || {
            let reply = call(&format!("a-{number}")).send(*gateway);
            reply.is_some_and(|reply| reply.status == 200)
        });
    }
    // Its clock has gone back meanwhile.
    let later = deployment.start_engine("tools", "i-1", ok());
    list(&deployment, &later, 500);
    drop(earlier);
    wait_until("both gateways have heard of it", || {
        deployment.gateways.iter().all(|gateway| {
            let log = gateway.log();
            let mut changed = log
                .iter()
                .filter(|line| line["message"] == "engine changed");
            changed.any(|line| line["attributes"]["born_ms"] == "500")
        })
    });
    for number in 0..10 {
        for gateway in &callers {
            let reply = call(&format!("b-{number}")).send(*gateway);
            assert_eq!(reply.expect("an answer").status, 200);
        }
    }
    assert_eq!(later.runs().len(), 20);
}
