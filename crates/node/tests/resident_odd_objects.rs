//! Objects of all kinds that another writer has made odd, for nodes that follow them and for those that read them at their start.

use std::collections::BTreeSet;
use std::time::Duration;

use ridgeworks_platform_stand_ins::client::{call_get, call_post};
use ridgeworks_platform_stand_ins::deployment::{Deployment, Process, wait_until};
use ridgeworks_platform_stand_ins::{Answer, EngineStandIn, REVISION, Script};
use serde_json::{Value, json};

const PROGRAM: &str = env!("CARGO_BIN_EXE_ridgeworksd");
/// Time in which a gateway hears of a change.
const CHANGE_TIME: Duration = Duration::from_millis(400);
const KINDS: [&str; 6] = [
    "config",
    "retirements",
    "evacuations",
    "ridgeworks-members",
    "ridgeworks-replica-sets",
    "ridgeworks-engine-ends",
];
const DEPTHS: [usize; 3] = [127, 400, 400_000];
const NUMBERS: [&str; 8] = [
    "1e999",
    "1e308",
    "-1",
    "0",
    "0.5",
    "4294967296",
    "18446744073709551615",
    "18446744073709551616",
];

/// Fields of a configuration that may hold any number.
const TIMES: [&str; 8] = [
    "timeout_ms",
    "target_latency_ms",
    "gap_aim_ms",
    "retention_s",
    "header_timeout_ms",
    "idle_timeout_ms",
    "cold_start_s",
    "cold_per_s",
];
/// Fields of a configuration that may hold any whole number of 64 bits.
const SIZE_FIELDS: [&str; 4] = [
    "event_tokens",
    "kv_capacity",
    "max_header_bytes",
    "max_body_bytes",
];
const SIZES: [&str; 2] = ["0", "18446744073709551615"];

fn stream() -> Script {
    Script::always(Answer::Stream {
        events: 2,
        gap_ms: 1,
    })
}

fn object(name: &str, spec: &str, status: &str) -> String {
    format!(
        r#"{{"metadata":{{"name":"{name}","revision":{REVISION}}},"spec":{spec},"status":{status}}}"#
    )
}

/// Texts in the place of a value, whole objects among them.
fn odd_values() -> Vec<String> {
    let nested = DEPTHS.map(|levels| "[".repeat(levels) + &"]".repeat(levels));
    let mut values = nested.to_vec();
    values.extend(NUMBERS.map(str::to_owned));
    let fields = [
        "form", "mark", "ledger", "address", "state", "epoch", "version",
    ];
    for field in fields {
        values.extend(NUMBERS.map(|number| format!(r#"{{"{field}":{number}}}"#)));
    }
    values
        .push(r#"{"name":"x","role":"gateway","zone":"z","address":"127.0.0.1:70000"}"#.to_owned());
    values.push(
        r#"{"ledger":"x","mark":"§ended:ffffffffffffffff:ffffffffffffffff:ffffffffffffffff:x"}"#
            .to_owned(),
    );
    values
}

fn spoil(deployment: &Deployment) {
    for kind in KINDS {
        for (number, value) in odd_values().iter().enumerate() {
            let name = format!("odd-{number}");
            let spec = object(&name, value, "null");
            deployment.store.put_raw(kind, &name, &spec);
            let name = format!("strange-{number}");
            let status = object(&name, "{}", value);
            deployment.store.put_raw(kind, &name, &status);
        }
    }
}

fn nodes(deployment: &Deployment) -> impl Iterator<Item = &Process> {
    deployment.gateways.iter().chain(&deployment.replicas)
}

fn assert_unharmed(deployment: &mut Deployment) {
    for node in nodes(deployment) {
        let log = node.log();
        let panics = log.iter().filter(|line| line["message"] == "panicked");
        let panics: Vec<_> = panics.collect();
        assert!(panics.is_empty(), "{panics:#?}");
    }
    let nodes = deployment.gateways.iter_mut();
    for node in nodes.chain(&mut deployment.replicas) {
        assert_eq!(node.ended(), None);
    }
}

fn is_served(gateway: &Process, path: &str, id: &str) -> bool {
    let reply = call_post(path, id, "prompt").send(gateway.callers());
    reply.is_some_and(|reply| reply.status == 200 && reply.is_whole)
}

fn wait_until_turns_are_kept(deployment: &Deployment, gateway: usize, name: &str) {
    let mut number = 0;
    wait_until("a turn is kept", || {
        number += 1;
        is_served(
            &deployment.gateways[gateway],
            "/talk/x",
            &format!("{name}-{number}"),
        )
    });
}

#[test]
fn nodes_go_on_whatever_the_store_s_objects_hold() {
    let mut deployment = Deployment::started(PROGRAM, 1, 3);
    let _engine: EngineStandIn = deployment.start_engine("models", "m-1", stream());
    wait_until_turns_are_kept(&deployment, 0, "before");
    spoil(&deployment);
    deployment.configure_with_prefix("/moved/");
    wait_until("a later configuration is in force", || {
        let reply = call_get("/tool/x", "q").send(deployment.gateways[0].callers());
        reply.is_some_and(|reply| reply.status == 404)
    });
    wait_until_turns_are_kept(&deployment, 0, "beside");
    deployment.add_gateway().start();
    deployment.replicas[0].kill();
    deployment.replicas[0].start();
    wait_until_turns_are_kept(&deployment, 1, "after");
    assert_unharmed(&mut deployment);
}

/// Replaces the values of these fields, at any depth, with a text that stands for the odd number.
fn mark_fields(value: &mut Value, names: &[&str]) {
    match value {
        Value::Array(items) => items.iter_mut().for_each(|item| mark_fields(item, names)),
        Value::Object(fields) => {
            for (name, field) in fields {
                if names.contains(&name.as_str()) {
                    *field = json!("ODD");
                } else {
                    mark_fields(field, names);
                }
            }
        }
        _ => {}
    }
}

/// Revisions of the configurations that were refused.
fn unreadable_configurations(gateway: &Process) -> BTreeSet<String> {
    let log = gateway.log();
    let refused = log
        .iter()
        .filter(|line| line["message"] == "configuration in the platform store cannot be decoded");
    let revisions = refused.map(|line| line["attributes"]["revision"].to_string());
    revisions.collect()
}

/// All but the one number that no parser reads are in force while requests are sent.
#[test]
fn nodes_go_on_whatever_numbers_a_configuration_holds() {
    let mut deployment = Deployment::started(PROGRAM, 1, 0);
    deployment.set_warm_up_limit("models", 100, 0.1);
    let _engine = deployment.start_engine("models", "m-1", stream());
    wait_until("requests are served", || {
        is_served(&deployment.gateways[0], "/chat/x", "first")
    });
    let good = deployment
        .store
        .object("config", "main")
        .expect("a configuration")["spec"]
        .clone();
    let mut version = good["version"].as_u64().expect("a version");
    let times = NUMBERS.map(|number| (number, TIMES.to_vec()));
    let sizes = SIZES.map(|number| (number, [&TIMES[..], &SIZE_FIELDS[..]].concat()));
    for (number, fields) in times.into_iter().chain(sizes) {
        let mut odd = good.clone();
        version += 1;
        odd["version"] = json!(version);
        mark_fields(&mut odd, &fields);
        let text = odd.to_string().replace(r#""ODD""#, number);
        deployment
            .store
            .put_raw("config", "main", &object("main", &text, "null"));
        std::thread::sleep(CHANGE_TIME);
        for path in ["/chat/x", "/talk/x"] {
            call_post(path, &format!("{version}-{path}"), "prompt")
                .send(deployment.gateways[0].callers());
        }
        version += 1;
        let mut repaired = good.clone();
        repaired["version"] = json!(version);
        deployment.store.put("config", "main", repaired);
        let mut tries = 0;
        wait_until("requests are served again", || {
            tries += 1;
            is_served(
                &deployment.gateways[0],
                "/chat/x",
                &format!("again-{version}-{tries}"),
            )
        });
        assert_unharmed(&mut deployment);
    }
    assert_eq!(unreadable_configurations(&deployment.gateways[0]).len(), 1);
}
