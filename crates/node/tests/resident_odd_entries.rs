//! Engines' entries that another writer has made odd, for gateways that follow the list and for those that read it at their start.

use std::time::Duration;

use ridgeworks_platform_stand_ins::client::{Call, call_get, call_post};
use ridgeworks_platform_stand_ins::deployment::{Deployment, Process, routes, wait_until};
use ridgeworks_platform_stand_ins::{Answer, EngineStandIn, REVISION, Script};
use serde_json::json;

const PROGRAM: &str = env!("CARGO_BIN_EXE_ridgeworksd");
/// Time in which a gateway hears of a change.
const CHANGE_TIME: Duration = Duration::from_millis(300);
const ENGINES: &str = "servers";
const SPEC: &str = r#""service":"tools","zone":"zone-a","version":"v1","state":"ready""#;
/// Levels below and above the parser's limit, and more than a stack has room for.
const DEPTHS: [usize; 5] = [100, 127, 128, 400, 400_000];
/// Levels of objects, which take more bytes: all texts together stay below the most that one answer may have.
const MAX_NESTED_OBJECTS: usize = 50_000;
const NUMBERS: [&str; 16] = [
    "1e999",
    "-1e999",
    "1e308",
    "-1",
    "0",
    "-0",
    "-0.0",
    "1.5",
    "4294967295",
    "4294967296",
    "18446744073709551615",
    "18446744073709551616",
    "9223372036854775807",
    "NaN",
    "Infinity",
    "99999999999999999999999999999999999999999999999999",
];
const ADDRESSES: [&str; 14] = [
    "127.0.0.1:0",
    "127.0.0.1:65535",
    "127.0.0.1:65536",
    "127.0.0.1:70000",
    "127.0.0.1:-1",
    "127.0.0.1:99999999999999999999",
    "127.0.0.1",
    "127.0.0.1:",
    ":80",
    "",
    "[::1]:0",
    "0.0.0.0:0",
    "255.255.255.255:9",
    "a.example:80",
];

fn ok() -> Script {
    Script::always(Answer::Whole("ok".to_owned()))
}

fn stream() -> Script {
    Script::always(Answer::Stream {
        events: 2,
        gap_ms: 1,
    })
}

fn object(name: &str, metadata: &str, spec: &str) -> String {
    format!(
        r#"{{"metadata":{{"name":"{name}","revision":{REVISION}{metadata}}},"spec":{spec},"status":null}}"#
    )
}

/// An entry whose fields are good but for this text of one of them.
fn entry_with(field: &str, value: &str) -> String {
    let mut fields = [
        ("address", r#""127.0.0.1:9""#),
        ("slots", "4"),
        ("cold_left_ms", "0"),
        ("seq", "1"),
        ("born", "1000"),
    ];
    for (name, text) in &mut fields {
        if *name == field {
            *text = value;
        }
    }
    let fields = fields.map(|(name, text)| format!(r#""{name}":{text}"#));
    format!("{{{SPEC},{}}}", fields.join(","))
}

fn nested(levels: usize) -> [String; 2] {
    let arrays = "[".repeat(levels) + &"]".repeat(levels);
    let levels = levels.min(MAX_NESTED_OBJECTS);
    let objects = r#"{"a":"#.repeat(levels) + "1" + &"}".repeat(levels);
    [arrays, objects]
}

/// Texts of whole objects, by the names under which they are stored. None of them is the entry of an engine that answers.
fn odd_objects() -> Vec<(String, String)> {
    let mut texts = Vec::new();
    let nested = DEPTHS.into_iter().flat_map(nested);
    for value in nested {
        texts.push(value.clone());
        texts.push(object("{name}", "", &value));
        texts.push(object("{name}", &format!(r#","more":{value}"#), "{}"));
        texts.push(object("{name}", "", &entry_with("slots", &value)));
        texts.push(format!(r#"{{"metadata":{value},"spec":{{}}}}"#));
        texts.push(format!(
            r#"{{"metadata":{{"name":"{{name}}"}},"spec":{{}},"status":{value}}}"#
        ));
    }
    for field in ["slots", "cold_left_ms", "seq", "born"] {
        // What is no JSON spoils the whole answer, and none of the store's writers can have it stored.
        let numbers = NUMBERS
            .iter()
            .filter(|number| !["NaN", "Infinity"].contains(number));
        texts.extend(numbers.map(|number| object("{name}", "", &entry_with(field, number))));
        for text in NUMBERS {
            texts.push(object(
                "{name}",
                "",
                &entry_with(field, &format!(r#""{text}""#)),
            ));
        }
    }
    for address in ADDRESSES {
        texts.push(object(
            "{name}",
            "",
            &entry_with("address", &format!(r#""{address}""#)),
        ));
    }
    for revision in [
        "-1",
        "1e999",
        "18446744073709551615",
        "18446744073709551616",
        "null",
    ] {
        texts.push(format!(
            r#"{{"metadata":{{"name":"{{name}}","revision":{revision}}},"spec":{{}}}}"#
        ));
    }
    let named = texts.into_iter().enumerate().map(|(number, text)| {
        let name = format!("odd-{number:03}");
        let text = text.replace("{name}", &name);
        (name, text)
    });
    named.collect()
}

fn call(id: &str) -> Call {
    call_get("/tool/x", id)
}

fn assert_follows(deployment: &Deployment, gateway: &Process, name: &str) -> EngineStandIn {
    let later = deployment.start_engine("tools", name, ok());
    let mut number = 0;
    wait_until("an engine that comes later serves", || {
        number += 1;
        call(&format!("{name}-{number}")).send(gateway.callers());
        !later.runs().is_empty()
    });
    later
}

fn panics(gateway: &Process) -> Vec<String> {
    let log = gateway.log();
    let panics = log.iter().filter(|line| line["message"] == "panicked");
    panics.map(ToString::to_string).collect()
}

#[test]
fn gateways_follow_and_serve_whatever_an_entry_holds() {
    let mut deployment = Deployment::started(PROGRAM, 1, 0);
    let _engine = deployment.start_engine("tools", "i-1", ok());
    wait_until("requests are served", || {
        deployment.gateways[0].status("/tool/x") == 200
    });
    for (name, text) in odd_objects() {
        deployment.store.put_raw(ENGINES, &name, &text);
    }
    let _second = assert_follows(&deployment, &deployment.gateways[0], "i-2");
    let started = deployment.add_gateway();
    started.start();
    wait_until("a gateway that starts with them serves", || {
        deployment.gateways[1].status("/tool/x") == 200
    });
    let _third = assert_follows(&deployment, &deployment.gateways[1], "i-3");
    for gateway in &deployment.gateways {
        assert_eq!(panics(gateway), Vec::<String>::new());
    }
    for gateway in &mut deployment.gateways {
        assert_eq!(gateway.ended(), None);
    }
}

/// Numbers that entries may hold and that overflow what is calculated from them.
#[test]
fn gateways_serve_by_an_engine_whose_numbers_are_out_of_every_use() {
    let deployment = Deployment::started(PROGRAM, 1, 0);
    let gateway = &deployment.gateways[0];
    let engine = deployment.start_engine("tools", "i-1", ok());
    let model = deployment.start_engine("models", "m-1", stream());
    wait_until("requests are served", || gateway.status("/tool/x") == 200);
    let numbers = [
        "18446744073709551615",
        "9223372036854775807",
        "4294967295",
        "1e308",
    ];
    for (number, value) in numbers.into_iter().enumerate() {
        for field in ["slots", "cold_left_ms", "seq", "born"] {
            for (engine, service) in [(&engine, "tools"), (&model, "models")] {
                let mut entry = engine.entry(service, "ready");
                entry.as_object_mut().expect("fields").remove(field);
                let fields = entry.to_string();
                let spec = format!(r#"{},"{field}":{value}}}"#, fields.trim_end_matches('}'));
                let instance = engine.instance();
                deployment
                    .store
                    .put_raw(ENGINES, &instance, &object(&instance, "", &spec));
            }
            std::thread::sleep(CHANGE_TIME);
            for request in 0..3 {
                let id = format!("{field}-{number}-{request}");
                call(&id).send(gateway.callers());
                call_post("/chat/x", &format!("s-{id}"), "prompt").send(gateway.callers());
            }
            assert_eq!(panics(gateway), Vec::<String>::new(), "{field}: {value}");
        }
    }
    deployment
        .store
        .put(ENGINES, &engine.instance(), engine.entry("tools", "ready"));
    wait_until("requests are served", || gateway.status("/tool/x") == 200);
}

/// Such a page came again without end, or its successor could not be asked for, so that a gateway never had a list.
#[test]
fn a_gateway_starts_whatever_names_the_entries_have() {
    let mut deployment = Deployment::new(PROGRAM);
    deployment.configure(routes());
    for name in ["a#b", "a&b", "a b", "a%41", "a+b", "a\nb", "caf\u{e9}"] {
        for number in 0..50 {
            let entry = json!({"service": "tools", "address": "127.0.0.1:9", "zone": "z",
                "slots": 1, "state": "draining", "seq": 1});
            deployment
                .store
                .put(ENGINES, &format!("{name}{number:02}{name}"), entry);
        }
    }
    let _engine = deployment.start_engine("tools", "z-last", ok());
    deployment.add_gateway().start();
    wait_until("the last engine serves", || {
        deployment.gateways[0].status("/tool/x") == 200
    });
}
