//! The tool service over loopback HTTP: at most one effect, hangs and fencing.

mod support;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use ridgeworks_domain::Cost;
use ridgeworks_stand_ins::history::digest;
use ridgeworks_stand_ins::tool::{Tool, ToolOptions};
use serde_json::{Value, json};
use support::{
    Answer, call, call_headers, eventually, get, get_json, history, post, run, try_call,
    without_instance,
};
use tempfile::TempDir;

struct Fixture {
    tool: Tool,
    history: PathBuf,
    _directory: TempDir,
}

impl Fixture {
    fn start(change: impl FnOnce(&mut ToolOptions)) -> Self {
        let directory = tempfile::tempdir().unwrap();
        let history = directory.path().join("history.jsonl");
        let mut options = ToolOptions::local("tool-1");
        options.history = Some(history.clone());
        options.price = Cost(7);
        change(&mut options);
        Self {
            tool: Tool::start(options).unwrap(),
            history,
            _directory: directory,
        }
    }

    fn address(&self) -> SocketAddr {
        self.tool.address()
    }

    fn invoke(&self, call_key: &str) -> Answer {
        let run = run(1);
        let headers = call_headers(&run, call_key, "1");
        call(
            "POST",
            self.address(),
            "/invoke/offers",
            &headers,
            r#"{"seat":4}"#,
        )
    }

    /// Sends a call from a thread of its own; `None` is a connection without an answer.
    fn begin(&self, call_key: &str) -> JoinHandle<Option<Answer>> {
        let (address, call_key) = (self.address(), call_key.to_owned());
        thread::spawn(move || {
            let run = run(1);
            let headers = call_headers(&run, &call_key, "1");
            try_call("POST", address, "/invoke/offers", &headers, "{}").ok()
        })
    }

    fn state(&self, call_key: &str) -> Value {
        get(
            self.address(),
            &format!("/v1/attempts/{}/{call_key}/1", run(1)),
        )
        .json()
    }

    fn fence(&self, call_key: &str) -> Value {
        let path = format!("/v1/attempts/{}/{call_key}/1/fence", run(1));
        without_instance(post(self.address(), &path, &json!({})).json())
    }

    fn executions(&self) -> Value {
        get_json(self.address(), "/executions")
    }
}

#[test]
fn repeated_calls_take_effect_once_and_get_the_same_answer() {
    let fixture = Fixture::start(|options| options.latency = Duration::from_millis(20));
    let callers: Vec<_> = (0..8).map(|_| fixture.begin("offer")).collect();
    let answers: Vec<Answer> = callers
        .into_iter()
        .filter_map(|caller| caller.join().unwrap())
        .collect();
    assert_eq!(answers.len(), 8);
    assert!(answers.iter().all(|answer| *answer == answers[0]));
    assert_eq!(answers[0].json()["executed"], true);
    assert_eq!(answers[0].json()["cost"], 7);
    assert_eq!(
        fixture.executions(),
        json!([{"run": run(1), "call": "offer", "count": 1}])
    );
    let executed = history(&fixture.history, "backend_executed");
    assert_eq!(executed.len(), 1);
    assert_eq!(
        executed[0]["answer_digest"],
        digest(answers[0].body.as_bytes())
    );
    assert!(
        executed[0].get("prior_calls").is_none(),
        "a tool is given no history"
    );
    let fenced = fixture.fence("offer");
    assert_eq!(
        fenced,
        json!({"state": "finished", "answer": answers[0].body, "spent": 7})
    );
}

#[test]
fn fenced_call_never_takes_effect() {
    let fixture = Fixture::start(|options| options.latency = Duration::from_secs(60));
    assert_eq!(fixture.fence("early"), json!({"state": "never_started"}));
    assert_eq!(fixture.invoke("early").error(), "attempt_fenced");
    let caller = fixture.begin("waiting");
    eventually("the call is accepted", || {
        fixture.state("waiting")["state"] == "queued"
    });
    assert_eq!(fixture.fence("waiting"), json!({"state": "never_started"}));
    assert_eq!(caller.join().unwrap().unwrap().error(), "attempt_fenced");
    assert_eq!(fixture.executions(), json!([]));
}

#[test]
fn calls_hang_before_and_after_their_effect_in_turn() {
    let mut fixture = Fixture::start(|options| options.hang_every = Some(2));
    assert_eq!(fixture.invoke("first").status, 200);
    let before = fixture.begin("before");
    eventually("the call hangs", || {
        fixture.state("before")["state"] == "queued"
    });
    assert_eq!(fixture.invoke("third").status, 200);
    let after = fixture.begin("after");
    eventually("the call takes effect", || {
        fixture.state("after")["state"] == "finished"
    });
    let path = format!("/v1/attempts/{}/unknown/1", run(1));
    assert_eq!(get(fixture.address(), &path).error(), "not_found");
    assert_eq!(fixture.fence("before"), json!({"state": "never_started"}));
    assert_eq!(before.join().unwrap().unwrap().error(), "attempt_fenced");
    assert_eq!(fixture.fence("after")["state"], "finished");
    assert_eq!(
        fixture.invoke("after").status,
        200,
        "a repeated call gets the answer"
    );
    assert!(!after.is_finished(), "the first one still hangs");
    let executed = history(&fixture.history, "backend_executed");
    let calls: Vec<&str> = executed
        .iter()
        .map(|event| event["call"].as_str().unwrap())
        .collect();
    assert_eq!(calls, ["first", "third", "after"]);
    fixture.tool.stop();
}

#[test]
fn planned_stop_lets_repeated_calls_have_the_effect_of_the_first() {
    let mut fixture = Fixture::start(|options| options.latency = Duration::from_millis(300));
    let callers = [fixture.begin("offer"), fixture.begin("offer")];
    eventually("both calls are in", || {
        let metrics = get(fixture.address(), "/metrics").body;
        metrics.contains("backend_joined_total 1")
    });
    fixture.tool.stop();
    let answers = callers.map(|caller| caller.join().unwrap().unwrap());
    assert_eq!(answers[0].status, 200);
    assert_eq!(answers[0], answers[1]);
}

#[test]
fn planned_stop_fences_what_hangs_before_its_effect() {
    let mut fixture = Fixture::start(|options| options.hang_every = Some(1));
    let caller = fixture.begin("offer");
    eventually("the call hangs", || {
        fixture.state("offer")["state"] == "queued"
    });
    fixture.tool.stop();
    assert_eq!(caller.join().unwrap().unwrap().error(), "attempt_fenced");
    assert!(history(&fixture.history, "backend_executed").is_empty());
}

#[test]
fn restarted_service_knows_no_attempt_but_shows_that_it_is_another_instance() {
    let mut before = Fixture::start(|_| {});
    assert_eq!(before.invoke("offer").status, 200);
    let instance = before.state("offer")["instance"].clone();
    assert_eq!(get_json(before.address(), "/health")["instance"], instance);
    before.tool.stop();
    let after = Fixture::start(|_| {});
    assert_eq!(after.fence("offer"), json!({"state": "never_started"}));
    assert_ne!(after.state("offer")["instance"], instance);
}

#[test]
fn calls_without_their_headers_are_refused() {
    let fixture = Fixture::start(|_| {});
    let run = run(1);
    let headers = call_headers(&run, "call", "1");
    for count in 0..headers.len() {
        let some = &headers[..count];
        let answer = call("POST", fixture.address(), "/invoke/offers", some, "{}");
        assert_eq!(
            (answer.status, answer.error().as_str()),
            (400, "invalid_request")
        );
    }
    assert_eq!(fixture.executions(), json!([]));
}
