//! The engine over loopback HTTP: streams, attempts, priorities and fencing.

mod support;

use std::thread;
use std::time::Duration;

use ridgeworks_domain::token_count::{count_prompt_tokens, count_tokens};
use ridgeworks_stand_ins::engine::EngineOptions;
use ridgeworks_stand_ins::history::digest;
use ridgeworks_stand_ins::platform::{Platform, PlatformOptions};
use serde_json::{Value, json};
use support::engine_fixture::EngineFixture as Fixture;
use support::{
    call, call_headers, chat, eventually, get, get_json, history, open_lines, post, run,
    without_instance,
};

const CHAT: &str = "/v1/chat/completions";

impl Fixture {
    fn chat(&self, run: &str, call_key: &str, body: &Value) -> support::Answer {
        let headers = call_headers(run, call_key, "1");
        call("POST", self.address(), CHAT, &headers, &body.to_string())
    }

    fn open_stream(
        &self,
        run: &str,
        call_key: &str,
        tokens: u64,
    ) -> impl Iterator<Item = String> + use<> {
        let headers = call_headers(run, call_key, "1");
        let body = chat("how are you", tokens, true).to_string();
        open_lines("POST", self.address(), CHAT, &headers, &body)
    }

    /// Starts a call that goes on until it is cancelled or the engine is through with it.
    fn begin(
        &self,
        run: &str,
        call_key: &str,
        body: &Value,
    ) -> thread::JoinHandle<support::Answer> {
        let (address, body) = (self.address(), body.to_string());
        let (run, call_key) = (run.to_owned(), call_key.to_owned());
        thread::spawn(move || {
            call(
                "POST",
                address,
                CHAT,
                &call_headers(&run, &call_key, "1"),
                &body,
            )
        })
    }

    fn state(&self, run: &str, call_key: &str) -> Value {
        get(self.address(), &format!("/v1/attempts/{run}/{call_key}/1")).json()
    }

    fn fence(&self, run: &str, call_key: &str) -> Value {
        let path = format!("/v1/attempts/{run}/{call_key}/1/fence");
        without_instance(post(self.address(), &path, &json!({})).json())
    }
}

fn slow(options: &mut EngineOptions) {
    options.costs.base = Duration::from_millis(5);
    options.answer_tokens = 10_000;
}

fn event(line: &str) -> Value {
    let text = line.strip_prefix("data: ").expect("a server-sent event");
    serde_json::from_str(text).unwrap_or(Value::Null)
}

fn content(events: &[Value]) -> String {
    let deltas = events
        .iter()
        .filter_map(|event| event["choices"][0]["delta"]["content"].as_str());
    deltas.collect()
}

#[test]
fn stream_carries_each_token_while_it_is_made_and_adds_up_to_the_whole_answer() {
    let fixture = Fixture::start(slow);
    let mut lines = fixture.open_stream(&run(1), "call-1", 30);
    let first = event(&lines.next().unwrap());
    assert_eq!(fixture.state(&run(1), "call-1")["state"], "running");
    let rest: Vec<String> = lines.collect();
    assert_eq!(rest.last().unwrap(), "data: [DONE]");
    let mut events = vec![first];
    events.extend(rest.iter().map(|line| event(line)));
    let finish = &events[events.len() - 2];
    assert_eq!(finish["choices"][0]["finish_reason"], "length");
    let usage = json!({
        "prompt_tokens": 3,
        "prompt_tokens_details": {"cached_tokens": 0},
        "completion_tokens": 30,
        "total_tokens": 33,
    });
    assert_eq!(finish["usage"], usage);

    let text = content(&events);
    assert!(text.starts_with("answer to call-1 :"), "{text}");
    assert_eq!(count_tokens(&text), 30);
    let fenced = fixture.fence(&run(1), "call-1");
    assert_eq!(
        (&fenced["state"], &fenced["spent"]),
        (&json!("finished"), &json!(33))
    );
    assert_eq!(fenced["answer"], text.as_str());
    let again = fixture.chat(&run(1), "call-1", &chat("how are you", 30, false));
    let whole = again.json();
    assert_eq!(whole["choices"][0]["message"]["content"], text.as_str());
    assert_eq!(whole["usage"], usage);
    let executed = history(&fixture.history, "backend_executed");
    assert_eq!(executed.len(), 1);
    assert_eq!(executed[0]["answer_digest"], digest(text.as_bytes()));
    assert_eq!(executed[0]["cost"], 33);
    let started = executed[0]["started_at_us"].as_u64().unwrap();
    assert!(started < executed[0]["at_us"].as_u64().unwrap());
}

#[test]
fn repeated_posts_execute_once_and_get_the_same_answer() {
    let fixture = Fixture::start(|_| {});
    let body = chat("twice", 20, false);
    let callers: Vec<_> = (0..8)
        .map(|_| fixture.begin(&run(1), "same", &body))
        .collect();
    let mut answers = callers.into_iter().map(|caller| caller.join().unwrap());
    let first = answers.next().unwrap();
    assert_eq!(first.status, 200);
    assert!(answers.all(|answer| answer == first));
    assert_eq!(history(&fixture.history, "backend_executed").len(), 1);
    assert_eq!(history(&fixture.history, "attempt_started").len(), 1);
}

#[test]
fn attempt_that_is_fenced_before_it_comes_never_runs() {
    let fixture = Fixture::start(|_| {});
    assert_eq!(
        fixture.fence(&run(1), "late"),
        json!({"state": "never_started"})
    );
    for stream in [false, true] {
        let answer = fixture.chat(&run(1), "late", &chat("hello", 5, stream));
        assert_eq!(
            (answer.status, answer.error().as_str()),
            (409, "attempt_fenced")
        );
    }
    let (run, body) = (run(1), chat("x", 5, false).to_string());
    let headers = call_headers(&run, "late", "2");
    let other = call("POST", fixture.address(), CHAT, &headers, &body);
    assert_eq!(
        other.status, 200,
        "another attempt of the call is not fenced"
    );
    let executed = history(&fixture.history, "backend_executed");
    assert_eq!(executed.len(), 1);
    assert_eq!(executed[0]["attempt"], 2);
}

#[test]
fn fence_cancels_a_running_attempt_and_frees_its_place() {
    let fixture = Fixture::start(|options| {
        slow(options);
        options.max_batch = 1;
    });
    let mut lines = fixture.open_stream(&run(1), "long", 5_000);
    lines.next().unwrap();
    let waiting = fixture.begin(&run(2), "queued", &chat("x", 3, false));
    eventually("the second call waits", || {
        fixture.state(&run(2), "queued")["state"] == "queued"
    });
    let cancelled = fixture.fence(&run(1), "long");
    assert_eq!(cancelled["state"], "cancelled");
    assert!(cancelled["spent"].as_u64().unwrap() >= 4);
    assert_eq!(
        event(&lines.last().unwrap())["error"]["type"],
        "attempt_cancelled"
    );
    assert_eq!(waiting.join().unwrap().status, 200);
    for stream in [false, true] {
        let repeated = fixture.chat(&run(1), "long", &chat("x", 3, stream));
        let end = (repeated.status, repeated.error());
        assert_eq!(end, (500, "attempt_cancelled".to_owned()), "it had begun");
    }
    assert_eq!(fixture.fence(&run(1), "long"), cancelled, "the end stands");
    let executed = history(&fixture.history, "backend_executed");
    assert_eq!(executed[0]["cancelled"], true);
    assert_eq!(executed[0]["cost"], cancelled["spent"]);
}

#[test]
fn fence_of_a_queued_attempt_keeps_it_from_starting() {
    let fixture = Fixture::start(|options| {
        slow(options);
        options.max_batch = 1;
    });
    let mut lines = fixture.open_stream(&run(1), "long", 5_000);
    lines.next().unwrap();
    let waiting = fixture.begin(&run(2), "queued", &chat("x", 3, true));
    eventually("the second call waits", || {
        fixture.state(&run(2), "queued")["state"] == "queued"
    });
    assert_eq!(
        fixture.fence(&run(2), "queued"),
        json!({"state": "never_started"})
    );
    assert_eq!(waiting.join().unwrap().error(), "attempt_fenced");
    fixture.fence(&run(1), "long");
    assert_eq!(history(&fixture.history, "attempt_started").len(), 1);
}

#[test]
fn stream_resumes_from_any_token() {
    let fixture = Fixture::start(|options| options.answer_tokens = 20);
    let all: Vec<String> = fixture.open_stream(&run(1), "call", 20).collect();
    for from in [0, 7, all.len() - 2] {
        let path = format!("/v1/streams/{}/call/1?from={from}", run(1));
        let rest: Vec<String> = open_lines("GET", fixture.address(), &path, &[], "").collect();
        assert_eq!(rest, all[from..]);
    }
}

#[test]
fn lower_priority_numbers_go_first_and_a_full_queue_refuses() {
    let fixture = Fixture::start(|options| {
        slow(options);
        options.max_batch = 1;
        options.queue_limit = 2;
    });
    let mut lines = fixture.open_stream(&run(1), "first", 5_000);
    lines.next().unwrap();
    let mut callers = Vec::new();
    for (count, (name, priority)) in [("routine", 5), ("urgent", -5)].into_iter().enumerate() {
        let mut body = chat("x", 3, false);
        body["priority"] = json!(priority);
        callers.push(fixture.begin(&run(2), name, &body));
        eventually("the call waits", || {
            get_json(fixture.address(), "/load")["queued"] == count + 1
        });
    }
    let refused = fixture.chat(&run(3), "refused", &chat("x", 3, false));
    assert_eq!(
        (refused.status, refused.error().as_str()),
        (503, "queue_full")
    );
    assert_eq!(refused.retry_after.as_deref(), Some("1"));
    fixture.fence(&run(1), "first");
    for caller in callers {
        assert_eq!(caller.join().unwrap().status, 200);
    }
    let started = history(&fixture.history, "attempt_started");
    let order: Vec<&str> = started
        .iter()
        .map(|event| event["call"].as_str().unwrap())
        .collect();
    assert_eq!(order, ["first", "urgent", "routine"]);
    let path = format!("/v1/attempts/{}/refused/1", run(3));
    assert_eq!(
        get(fixture.address(), &path).status,
        404,
        "a refused attempt leaves no trace"
    );
}

#[test]
fn history_names_the_calls_whose_answers_were_in_the_prompt() {
    let fixture = Fixture::start(|_| {});
    let mut messages = vec![json!({"role": "user", "content": "answer to fake : no"})];
    for call_key in ["a-1", "a-2", "a-3"] {
        let body = json!({"model": "any", "messages": messages, "max_tokens": 20});
        let answer = fixture.chat(&run(1), call_key, &body).json();
        messages.push(answer["choices"][0]["message"].clone());
        messages.push(json!({"role": "user", "content": "go on"}));
    }
    let executed = history(&fixture.history, "backend_executed");
    assert_eq!(executed[2]["prior_calls"], json!(["a-1", "a-2"]));
    let contents = messages[..5]
        .iter()
        .map(|message| message["content"].as_str().unwrap());
    let prompt = count_prompt_tokens(contents);
    let completion = count_tokens(messages[5]["content"].as_str().unwrap());
    assert_eq!(executed[2]["cost"], prompt + completion);
}

#[test]
fn history_names_the_tools_whose_answers_were_in_the_prompt() {
    let fixture = Fixture::start(|_| {});
    let result = json!({"result": {"call": "tool-1", "value": "x"}, "cost": 2}).to_string();
    let messages = json!([
        {"role": "user", "content": "look it up"},
        {"role": "tool", "tool_call_id": "tool-1", "content": result},
        {"role": "user", "content": result},
    ]);
    let body = json!({"model": "any", "messages": messages, "max_tokens": 4});
    fixture.chat(&run(1), "a-1", &body);
    let executed = history(&fixture.history, "backend_executed");
    assert_eq!(executed[0]["prior_calls"], json!(["tool-1"]));
}

#[test]
fn lower_fencing_tokens_are_refused() {
    let fixture = Fixture::start(|_| {});
    let body = chat("x", 3, false).to_string();
    let send = |token| {
        let headers = [("x-ridgeworks-dispatcher-token", token)];
        call("POST", fixture.address(), CHAT, &headers, &body)
    };
    assert_eq!(send("7").status, 200);
    assert_eq!(send("7").status, 200);
    let stale = send("6");
    assert_eq!((stale.status, stale.error().as_str()), (409, "stale_token"));
    let order = |token| json!({"fencing_token": token, "order": {"set_role": "prefill"}});
    assert_eq!(
        post(fixture.address(), "/orders", &order(6)).error(),
        "stale_token"
    );
    assert_eq!(post(fixture.address(), "/orders", &order(8)).status, 202);
    assert_eq!(send("8").error(), "wrong_role");
    assert_eq!(send("7").error(), "stale_token");
}

#[test]
fn ordered_model_serves_once_its_weights_are_fetched() {
    let mut platform_options = PlatformOptions::local("platform");
    platform_options.weights_bytes = 1_000_000;
    platform_options.weights_bytes_per_second = 10_000_000;
    let platform = Platform::start(platform_options).unwrap();
    let fixture = Fixture::start(|options| {
        options.models = vec!["base".to_owned()];
        options.platform = Some(platform.address());
    });
    let body = chat("x", 3, false);
    assert_eq!(
        fixture.chat(&run(1), "early", &body).error(),
        "model_not_loaded"
    );
    let order = json!({"load_model": {"model": "any", "version": "2"}});
    let request = json!({"fencing_token": 1, "order": order});
    let accepted = post(fixture.address(), "/orders", &request).json();
    assert_eq!(
        accepted["models"]["any"],
        json!({"version": "2", "state": "loading"})
    );
    eventually("the model is loaded", || {
        get_json(fixture.address(), "/state")["models"]["any"]["state"] == "loaded"
    });
    assert_eq!(fixture.chat(&run(1), "early", &body).status, 200);
}

#[test]
fn planned_stop_finishes_what_is_in_progress() {
    let mut fixture = Fixture::start(slow);
    let mut lines = fixture.open_stream(&run(1), "call", 40);
    lines.next().unwrap();
    let reader = thread::spawn(move || lines.collect::<Vec<String>>());
    fixture.engine.stop();
    let rest = reader.join().unwrap();
    assert_eq!(rest.last().unwrap(), "data: [DONE]");
    assert_eq!(rest.len(), 41);
}

#[test]
fn bad_requests_get_typed_errors() {
    let fixture = Fixture::start(|options| options.blocks = 4);
    let plain = |body: &str| call("POST", fixture.address(), CHAT, &[], body);
    assert_eq!(plain("{").error(), "invalid_request");
    assert_eq!(
        plain(r#"{"model":"any","messages":[]}"#).error(),
        "invalid_request"
    );
    assert_eq!(
        plain(&chat("x", 0, false).to_string()).error(),
        "invalid_request"
    );
    let long = chat(&"word ".repeat(100), 3, false).to_string();
    assert_eq!(plain(&long).error(), "context_too_large");
    assert_eq!(get(fixture.address(), "/nowhere").error(), "unknown_route");
    let headers = [("x-ridgeworks-run", "not hexadecimal")];
    let answer = call(
        "POST",
        fixture.address(),
        CHAT,
        &headers,
        &chat("x", 3, false).to_string(),
    );
    assert_eq!(answer.status, 400);
}
