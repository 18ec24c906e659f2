//! Bad requests to a node that runs as a separate process: each gets a typed refusal, and the node
//! serves on.

mod processes;

use std::time::Duration;

use processes::{Answer, Node, NodeOptions, chunked, connect, read_answer, request, send};
use serde_json::json;

const MAX_BODY_BYTES: usize = 4_096;
const AT_ONCE: Duration = Duration::from_secs(1);
const RUN: &str = "00000000000000000000000000000001";
const OPERATOR: &str = "/ridgeworks.v1.Operator/";
const CHAT: &str = "/v1/chat/completions";

/// A node that never gets ready: its voters do not exist.
fn lonely_node(edge: &str) -> Node {
    let edge = format!("max_body_bytes = {MAX_BODY_BYTES}\nidle_timeout_ms = 1000\n{edge}");
    Node::start(&NodeOptions {
        name: "node-1",
        voters: &["node-8", "node-9"],
        peers: Vec::new(),
        platform: None,
        edge: &edge,
    })
}

fn chat_headers<'a>(run: &'a str, sequence: &'a str) -> [(&'a str, &'a str); 4] {
    [
        ("authorization", "Bearer some token"),
        ("x-ridgeworks-run", run),
        ("x-ridgeworks-call", "call-1"),
        ("x-ridgeworks-sequence", sequence),
    ]
}

fn chat(node: &Node, headers: &[(&str, &str)]) -> Answer {
    let body = json!({"model": "chat", "messages": [{"role": "user", "content": "hello"}]});
    let body = body.to_string();
    send(node.edge, &request("POST", CHAT, headers, body.as_bytes()))
}

#[test]
fn bodies_that_are_too_long_cut_off_or_slow_are_refused() {
    let node = lonely_node("");
    let long = vec![b'x'; MAX_BODY_BYTES + 1];
    let answer = send(node.edge, &request("POST", CHAT, &[], &long));
    answer.assert_refused(413, "body_too_large");
    let answer = send(node.edge, &chunked(CHAT, &[], &long));
    answer.assert_refused(413, "body_too_large");
    let head = format!("POST {CHAT} HTTP/1.1\r\ncontent-length: 9000000000000\r\n\r\n");
    let answer = send(node.edge, head.as_bytes());
    answer.assert_refused(413, "body_too_large");

    let half = format!("POST {CHAT} HTTP/1.1\r\ncontent-length: 2000\r\n\r\n{{");
    let slow = connect(node.edge, half.as_bytes());
    read_answer(slow).assert_refused(408, "body_incomplete");
    let cut_off = connect(node.edge, half.as_bytes());
    cut_off
        .shutdown(std::net::Shutdown::Write)
        .expect("half closed");
    read_answer(cut_off).assert_refused(400, "body_incomplete");

    let bad = format!("POST {CHAT} HTTP/1.1\r\ncontent-length: -3\r\n\r\n");
    let error = send(node.edge, bad.as_bytes()).assert_refused(400, "invalid_field");
    assert_eq!(error["param"], "content-length");
    node.assert_serving();
}

#[test]
fn broken_json_and_bad_values_are_refused() {
    let node = lonely_node("");
    for body in ["", "{", "[]", "{\"model\": 3}", "\u{0}"] {
        let answer = send(node.edge, &request("POST", CHAT, &[], body.as_bytes()));
        answer.assert_refused(400, "malformed_body");
    }
    for sequence in ["0", "one", "-1", "1.5", ""] {
        let error = chat(&node, &chat_headers(RUN, sequence)).assert_refused(400, "invalid_field");
        assert_eq!(error["param"], "x-ridgeworks-sequence", "{sequence:?}");
    }
    for run in ["run", "-1", ""] {
        let error = chat(&node, &chat_headers(run, "1")).assert_refused(400, "invalid_field");
        assert_eq!(error["param"], "x-ridgeworks-run", "{run:?}");
    }
    for (name, value) in [
        ("x-ridgeworks-deadline-ms", "-5"),
        ("x-ridgeworks-repeatable", "perhaps"),
    ] {
        let mut headers = chat_headers(RUN, "1").to_vec();
        headers.push((name, value));
        let error = chat(&node, &headers).assert_refused(400, "invalid_field");
        assert_eq!(error["param"], name);
    }
    let error = chat(&node, &chat_headers(RUN, "1")[..3]).assert_refused(400, "missing_field");
    assert_eq!(error["param"], "x-ridgeworks-sequence");
    let call = json!({"run": RUN, "call": "c", "sequence": 0, "arguments": {}});
    let error = node
        .post("/v1/services/seats/calls", &[], &call)
        .assert_refused(400, "invalid_field");
    assert_eq!(error["param"], "sequence");
    node.assert_serving();
}

#[test]
fn unknown_routes_methods_and_missing_tokens_are_refused() {
    let node = lonely_node("");
    for (method, path) in [
        ("GET", "/"),
        ("GET", CHAT),
        ("DELETE", "/v1/runs"),
        ("POST", "/v1/runs/1/2/3"),
        ("POST", "/metrics"),
        ("BREW", "/v1/runs"),
    ] {
        let answer = send(node.edge, &request(method, path, &[], b""));
        answer.assert_refused(404, "unknown_route");
    }
    let answer = send(node.edge, &request("GET", "/v1/runs/zz/history", &[], b""));
    answer.assert_refused(400, "invalid_field");
    let open = json!({"program": "program-1"}).to_string();
    for headers in [
        &[][..],
        &[("authorization", "token")],
        &[("authorization", "Basic dTpw")],
        &[("authorization", "Bearer ")],
    ] {
        let answer = send(
            node.edge,
            &request("POST", "/v1/runs", headers, open.as_bytes()),
        );
        answer.assert_refused(401, "invalid_token");
    }
    node.assert_serving();
}

#[test]
fn a_node_that_is_not_ready_refuses_at_once_as_not_run() {
    let node = lonely_node("");
    let call = json!({"run": RUN, "call": "c", "sequence": 1, "arguments": {}});
    let answers = [
        node.post("/v1/runs", &[], &json!({"program": "program-1"})),
        node.post("/v1/services/seats/calls", &[], &call),
        node.post(&format!("/v1/runs/{RUN}/close"), &[], &json!({})),
        chat(&node, &chat_headers(RUN, "1")),
    ];
    for answer in answers {
        answer.assert_refused(503, "configuration_stale");
        answer.assert_come_back();
        assert!(answer.elapsed < AT_ONCE, "{:?}", answer.elapsed);
    }
    node.assert_serving();
}

#[test]
fn a_request_above_the_bound_is_refused_with_a_time_to_come_back() {
    let node = lonely_node("max_concurrent_requests = 1");
    let half = format!("POST {CHAT} HTTP/1.1\r\ncontent-length: 2000\r\n\r\n{{");
    let mut held = Vec::new();
    processes::wait_until("the bound is reached", || {
        // A half request that comes while another request is served is itself refused.
        held.push(connect(node.edge, half.as_bytes()));
        let answer = send(node.edge, &request("GET", "/health", &[], b""));
        if answer.status != 503 {
            return false;
        }
        answer.assert_refused(503, "too_many_requests");
        answer.assert_come_back();
        true
    });
    let path = format!("{OPERATOR}Status");
    let answer = send(node.edge, &request("POST", &path, &[], b"{}"));
    assert_eq!(answer.json()["code"], "resource_exhausted");
    assert!(answer.header("retry-after").is_some());
    drop(held);
    processes::wait_until("the node serves again", || {
        send(node.edge, &request("GET", "/health", &[], b"")).status == 200
    });
}

#[test]
fn bad_requests_of_operators_get_errors_of_their_own_protocol() {
    let node = lonely_node("");
    let apply = format!("{OPERATOR}Apply");
    let program = json!({"object": {
        "metadata": {"kind": "OBJECT_KIND_PROGRAM", "name": "program-1"},
        "program": {"class": "class-1", "budget": -1, "maxCalls": "1"},
    }});
    let answer = node.post(&apply, &[], &program);
    assert_eq!(
        (answer.status, &answer.json()["code"]),
        (400, &json!("invalid_argument"))
    );
    let answer = node.post(&format!("{OPERATOR}Grow"), &[], &json!({}));
    assert_eq!(answer.json()["code"], "unimplemented");
    let answer = send(node.edge, &request("GET", &apply, &[], b""));
    assert_eq!(answer.json()["code"], "unimplemented");
    let answer = node.post(&apply, &[("content-encoding", "br")], &json!({}));
    assert_eq!(answer.json()["code"], "unimplemented");
    let long = json!({"x": "x".repeat(MAX_BODY_BYTES)});
    let answer = node.post(&apply, &[], &long);
    assert_eq!(answer.json()["code"], "resource_exhausted");
    node.assert_serving();
}

#[test]
fn operators_may_send_bodies_in_chunks_and_packed() {
    let node = lonely_node("");
    let path = format!("{OPERATOR}NodeStatus");
    let token = format!("Bearer {}", processes::TOKEN);
    let headers = [
        ("authorization", token.as_str()),
        ("content-type", "application/json"),
    ];
    let answer = send(node.edge, &chunked(&path, &headers, b"{}"));
    assert_eq!(
        (answer.status, &answer.json()["name"]),
        (200, &json!("node-1"))
    );
    // `{}` as gzip packs it.
    let packed = [
        0x1f, 0x8b, 8, 0, 0, 0, 0, 0, 0, 3, 0xab, 0xae, 5, 0, 0x43, 0xbf, 0xa6, 0xa3, 2, 0, 0, 0,
    ];
    let [token, kind] = headers;
    let headers = [token, kind, ("content-encoding", "gzip")];
    let answer = send(node.edge, &request("POST", &path, &headers, &packed));
    assert_eq!(
        (answer.status, &answer.json()["name"]),
        (200, &json!("node-1"))
    );
}

fn metrics_text(node: &processes::Node) -> String {
    let answer = send(node.edge, &request("GET", "/metrics", &[], b""));
    assert_eq!(answer.status, 200);
    String::from_utf8(answer.body).expect("text")
}

#[test]
fn the_counters_tell_of_requests_and_refusals() {
    let node = lonely_node("");
    send(node.edge, &request("GET", "/nowhere", &[], b"")).assert_refused(404, "unknown_route");
    node.post("/v1/runs", &[], &json!({"program": "program-1"}))
        .assert_refused(503, "configuration_stale");
    let mut text = String::new();
    for line in [
        "ridgeworks_requests_total{route=\"unknown\",status=\"4xx\"} 1",
        "ridgeworks_requests_total{route=\"open_run\",status=\"5xx\"} 1",
        "ridgeworks_refusals_total{code=\"unknown_route\"} 1",
        "ridgeworks_refusals_total{code=\"configuration_stale\"} 1",
        "ridgeworks_members{state=\"alive\"} 1",
        "ridgeworks_ready 0",
        "ridgeworks_runs_owned 0",
        "# EOF",
    ] {
        // A request is counted after its answer has left.
        processes::wait_until(line, || {
            text = metrics_text(&node);
            text.lines().any(|found| found == line)
        });
    }
    for name in [
        "edge_received_total",
        "link_sent_messages_total",
        "store_commits_total",
        "membership_messages_sent_total",
        "configuration_renewals_sent_total",
        "process_resident_memory_bytes",
        "process_cpu_seconds_total",
    ] {
        let start = format!("ridgeworks_{name} ");
        assert!(text.lines().any(|line| line.starts_with(&start)), "{name}");
    }
}

#[test]
fn the_reference_names_every_counter() {
    let reference = include_str!("../../../docs/operations/counters.md");
    let node = lonely_node("");
    node.post("/v1/runs", &[], &json!({"program": "program-1"}));
    let answer = send(node.edge, &request("GET", "/metrics", &[], b""));
    let text = String::from_utf8(answer.body).expect("text");
    let types = text
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE ridgeworks_"));
    for line in types {
        let (name, kind) = line.split_once(' ').expect("a name and a type");
        let suffix = if kind == "counter" { "_total" } else { "" };
        let shown = format!("`{name}{suffix}");
        assert!(reference.contains(&shown), "{shown}");
    }
}
