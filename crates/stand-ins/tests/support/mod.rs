//! What the tests of the stand-ins share: a small HTTP client and waiting on conditions.
#![allow(dead_code, reason = "every test file uses a part of this")]

pub mod engine_fixture;

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use ureq::http::Request;

const PATIENCE: Duration = Duration::from_secs(5);

/// An answer with its body read.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub body: String,
    pub retry_after: Option<String>,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).expect("the body is JSON")
    }

    pub fn error(&self) -> String {
        self.json()["error"]["type"]
            .as_str()
            .expect("the body names an error")
            .to_owned()
    }
}

fn agent() -> ureq::Agent {
    let configuration = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(PATIENCE))
        .build();
    configuration.into()
}

pub type Headers<'a> = &'a [(&'a str, &'a str)];

fn send(
    method: &str,
    address: SocketAddr,
    path: &str,
    headers: Headers,
    body: &str,
) -> Result<ureq::http::Response<ureq::Body>, ureq::Error> {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let agent = agent();
    if body.is_empty() {
        return agent.run(request.body(()).expect("the request is valid"));
    }
    agent.run(request.body(body.to_owned()).expect("the request is valid"))
}

/// Sends a request; an error means that the connection gave no answer.
pub fn try_call(
    method: &str,
    address: SocketAddr,
    path: &str,
    headers: Headers,
    body: &str,
) -> Result<Answer, ureq::Error> {
    let mut response = send(method, address, path, headers, body)?;
    let retry_after = response.headers().get("retry-after");
    Ok(Answer {
        status: response.status().as_u16(),
        retry_after: retry_after.map(|value| value.to_str().unwrap().to_owned()),
        body: response.body_mut().read_to_string()?,
    })
}

pub fn call(method: &str, address: SocketAddr, path: &str, headers: Headers, body: &str) -> Answer {
    try_call(method, address, path, headers, body).expect("the server answers")
}

pub fn get(address: SocketAddr, path: &str) -> Answer {
    call("GET", address, path, &[], "")
}

pub fn get_json(address: SocketAddr, path: &str) -> Value {
    let answer = get(address, path);
    assert_eq!(answer.status, 200, "{}", answer.body);
    answer.json()
}

pub fn post(address: SocketAddr, path: &str, body: &Value) -> Answer {
    call("POST", address, path, &[], &body.to_string())
}

/// Opens a streamed answer, to be read line by line.
pub fn open_lines(
    method: &str,
    address: SocketAddr,
    path: &str,
    headers: Headers,
    body: &str,
) -> impl Iterator<Item = String> + use<> {
    let response = send(method, address, path, headers, body).expect("the server answers");
    assert_eq!(response.status().as_u16(), 200);
    let reader = BufReader::new(response.into_body().into_reader());
    reader
        .lines()
        .map_while(Result::ok)
        .filter(|line| !line.is_empty())
}

/// Waits until a condition holds.
#[track_caller]
pub fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < deadline, "waited in vain: {what}");
        thread::sleep(Duration::from_millis(1));
    }
}

/// Text of a run's identifier.
pub fn run(number: u32) -> String {
    format!("{number:032x}")
}

/// Headers of a call.
pub fn call_headers<'a>(run: &'a str, call: &'a str, attempt: &'a str) -> [(&'a str, &'a str); 4] {
    [
        ("x-ridgeworks-run", run),
        ("x-ridgeworks-call", call),
        ("x-ridgeworks-attempt", attempt),
        ("x-ridgeworks-sequence", "1"),
    ]
}

/// A chat body with one question.
pub fn chat(question: &str, max_tokens: u64, stream: bool) -> Value {
    json!({
        "model": "any",
        "messages": [{"role": "user", "content": question}],
        "max_tokens": max_tokens,
        "stream": stream,
    })
}

/// Events of one kind in a history file.
pub fn history(path: &Path, event: &str) -> Vec<Value> {
    let text = fs::read_to_string(path).expect("the history was written");
    let lines = text
        .lines()
        .map(|line| serde_json::from_str::<Value>(line).expect("JSON"));
    lines.filter(|line| line["event"] == event).collect()
}

/// An answer about an attempt, less the instance that gave it.
pub fn without_instance(mut answer: Value) -> Value {
    let instance = answer.as_object_mut().unwrap().remove("instance");
    assert!(instance.unwrap().is_u64());
    answer
}
