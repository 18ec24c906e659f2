//! Engines whose answers have a head that is spoilt, most of all where it tells the length of the body.

use ridgeworks_platform_stand_ins::client::{Call, Reply, call_get, call_post};
use ridgeworks_platform_stand_ins::deployment::{Deployment, wait_until};
use ridgeworks_platform_stand_ins::{Answer, REQUEST_ID, Script};

const PROGRAM: &str = env!("CARGO_BIN_EXE_ridgeworksd");
const BODY: &str = "the engine's whole body";
/// The same in chunks.
const CHUNKS: &str = "17\r\nthe engine's whole body\r\n0\r\n\r\n";
const EVENTS: &str = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
const EVENT_CHUNKS: &str = "11\r\nid: 1\ndata: one\n\n\r\n11\r\nid: 2\ndata: two\n\n\r\n0\r\n\r\n";

/// An answer with a good status line, after which the engine closes the connection.
fn answer(fields: &str, body: &str) -> Answer {
    answer_with_status("200 OK", fields, body)
}

fn answer_with_status(status: &str, fields: &str, body: &str) -> Answer {
    let text = format!(
        "HTTP/1.1 {status}\r\nRidgeworks-Request-Id: {REQUEST_ID}\r\nRidgeworks-Server-Seal: seal\r\n{fields}\r\n\r\n{body}"
    );
    Answer::Raw { text, closes: true }
}

fn tool_call(id: &str) -> Call {
    call_get("/tool/x", id)
}

fn stream_call(id: &str) -> Call {
    call_post("/chat/x", id, "prompt")
}

/// What clients get of these answers, each the only one of the only engine.
fn replies(service: &str, call: fn(&str) -> Call, answers: Vec<Answer>) -> Vec<(Answer, Reply)> {
    let deployment = Deployment::started(PROGRAM, 1, 0);
    let engine = deployment.start_engine(service, "i-1", Script::always(Answer::Failure(500)));
    let gateway = deployment.gateways[0].callers();
    wait_until("the engine is known", || {
        let reply = call("first").send(gateway);
        reply.is_some_and(|reply| reply.status == 500)
    });
    let mut number = 0;
    let ask = |answer: Answer| {
        number += 1;
        engine.set_script(Script::always(answer.clone()));
        let reply = call(&format!("r-{number}")).send(gateway);
        (answer, reply.unwrap_or_default())
    };
    answers.into_iter().map(ask).collect()
}

/// A failure without a promise, since the engine may have run the request.
fn assert_all_failed(replies: &[(Answer, Reply)]) {
    let is_wrong = |(_, reply): &&(Answer, Reply)| ![502, 504].contains(&reply.status);
    let wrong: Vec<_> = replies.iter().filter(is_wrong).collect();
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Whatever the head tells of the body, in a way that leaves more than one reading of it.
#[test]
fn calls_whose_head_is_spoilt_in_the_body_s_length_are_not_answered_with_success() {
    let answers = vec![
        answer("Transfer-Encoding: chunkedd", CHUNKS),
        answer("Transfer-Encoding: chunkedd\r\nContent-Length: 23", BODY),
        answer("Transfer-Encoding: gzip\r\nContent-Length: 23", BODY),
        answer("Transfer-Encoding: gzip, chunked", CHUNKS),
        answer("Transfer-Encoding: chunked, chunked", CHUNKS),
        answer("Transfer-Encoding:", CHUNKS),
        answer("Transfer-Encoding: chunked\r\nContent-Length: 23", CHUNKS),
        answer("Transfer-Encoding: chunked\r\nContent-Length: 2x", CHUNKS),
        answer(
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
            CHUNKS,
        ),
        answer("Transfer-Encodinh: chunked", CHUNKS),
        answer("Content-Length: 5", BODY),
        answer("Content-Length: 0", BODY),
        answer("Content-Length: 23\r\nContent-Length: 23", BODY),
        answer("Content-Length: 23, 23", BODY),
        answer("Content-Length: 23\r\nContent-Length: 5", BODY),
        answer("Content-Length: 2 3", BODY),
        answer("Content-Length: +23", BODY),
        answer("Content-Length: -1", BODY),
        answer("Content-Length: 0x17", BODY),
        answer("Content-Length:", BODY),
        answer("Content-Length: 99999999999999999999999", BODY),
    ];
    assert_all_failed(&replies("tools", tool_call, answers));
}

#[test]
fn calls_whose_head_holds_a_line_that_is_no_field_are_not_answered_with_success() {
    let lines = [
        "no field at all",
        ": no name",
        "A name: x",
        "Name : x",
        " Folded: x",
        "\tFolded: x",
        "Na\u{1}me: x",
        "Na\u{7f}me: x",
        "Na\u{e9}me: x",
        "Name: a\u{1}value",
        "\u{0}",
    ];
    let answers = lines.map(|line| answer(&format!("{line}\r\nContent-Length: 23"), BODY));
    assert_all_failed(&replies("tools", tool_call, answers.to_vec()));
}

/// Clients ask for bodies without encoding.
#[test]
fn an_encoded_body_is_not_the_engine_s() {
    let answers = vec![
        answer("Content-Encoding: gzip\r\nContent-Length: 23", BODY),
        answer("Content-Encoding:\r\nContent-Length: 23", BODY),
    ];
    assert_all_failed(&replies("tools", tool_call, answers));
}

#[test]
fn an_answer_that_names_two_requests_belongs_to_none() {
    let fields = "Ridgeworks-Request-Id: another\r\nContent-Length: 23";
    assert_all_failed(&replies("tools", tool_call, vec![answer(fields, BODY)]));
}

#[test]
fn answers_whose_status_is_none_are_not_passed_on() {
    let statuses = [
        "000 OK", "099 OK", "20 OK", "2000 OK", "2x0 OK", "101 OK", "600 OK", "999 OK",
    ];
    let with_length = |status| answer_with_status(status, "Content-Length: 23", BODY);
    let answers = statuses.map(with_length);
    assert_all_failed(&replies("tools", tool_call, answers.to_vec()));
}

/// The body of such an answer is none by its status, so that the engine's would be lost.
#[test]
fn an_answer_without_a_body_by_its_status_that_brings_one_is_not_passed_on() {
    let answers = vec![answer_with_status("204 OK", "Content-Length: 23", BODY)];
    assert_all_failed(&replies("tools", tool_call, answers));
}

#[test]
fn streams_whose_head_is_spoilt_in_the_body_s_length_do_not_look_whole() {
    let event_stream = |fields: &str, body: &str| {
        answer(
            &format!("Content-Type: text/event-stream\r\n{fields}"),
            body,
        )
    };
    let answers = vec![
        event_stream("Transfer-Encoding: chunkedd", EVENT_CHUNKS),
        event_stream("Transfer-Encoding: identity", EVENT_CHUNKS),
        event_stream("Transfer-Encoding:", EVENT_CHUNKS),
        event_stream("Transfer-Encodinh: chunked", EVENT_CHUNKS),
        event_stream(
            "Transfer-Encoding: chunked\r\nContent-Length: 0",
            EVENT_CHUNKS,
        ),
        event_stream(
            "Transfer-Encoding: chunked\r\nContent-Length: 17",
            EVENT_CHUNKS,
        ),
        event_stream(
            "Transfer-Encoding: chunked\r\nContent-Length: 900",
            EVENT_CHUNKS,
        ),
    ];
    assert_all_failed(&replies("models", stream_call, answers));
}

/// Its first event has been passed on when it shows, so that it can only be broken off.
#[test]
fn a_stream_whose_length_is_too_small_does_not_look_whole() {
    let fields = "Content-Type: text/event-stream\r\nContent-Length: 17";
    for (answer, reply) in replies("models", stream_call, vec![answer(fields, EVENTS)]) {
        assert!(!reply.is_whole, "{answer:?}: {reply:?}");
    }
}

#[test]
fn chunks_that_are_spoilt_do_not_look_whole() {
    let bodies = [
        "17\r\nthe engine's whole body\r\n",
        "12\r\nthe engine's whole body\r\n0\r\n\r\n",
        "1g\r\nthe engine's whole body\r\n0\r\n\r\n",
        "17\r\nthe engine's whole body0\r\n\r\n",
        "-17\r\nthe engine's whole body\r\n0\r\n\r\n",
        "\r\nthe engine's whole body\r\n0\r\n\r\n",
        "17\r\nthe engine's whole body\r\n0\r\nno trailer",
    ];
    let answers = bodies.map(|body| answer("Transfer-Encoding: chunked", body));
    assert_all_failed(&replies("tools", tool_call, answers.to_vec()));
}

/// What is unusual and yet tells one length is passed on.
#[test]
fn unusual_heads_that_tell_one_length_are_served() {
    let answers = vec![
        answer("Content-Length:23", BODY),
        answer("content-length:   23  ", BODY),
        answer("TRANSFER-ENCODING: Chunked", CHUNKS),
        answer(
            "Transfer-Encoding: chunked\r\nTrailer: X-End",
            "17;a=b\r\nthe engine's whole body\r\n0\r\nX-End: 1\r\n\r\n",
        ),
        answer("Connection: close", BODY),
        answer("X-Empty:\r\nContent-Length: 23", BODY),
    ];
    for (answer, reply) in replies("tools", tool_call, answers) {
        assert_eq!(
            (reply.status, reply.body.as_str()),
            (200, BODY),
            "{answer:?}"
        );
        assert!(reply.is_whole, "{answer:?}");
    }
}

/// The sum of the current time and such a time overflowed, and the task that served the request ended.
#[test]
fn an_engine_that_states_an_endless_idle_time_is_served_by() {
    let deployment = Deployment::started(PROGRAM, 1, 0);
    let engine = deployment.start_engine("tools", "i-1", Script::always(Answer::Failure(500)));
    let gateway = &deployment.gateways[0];
    wait_until("the engine is known", || gateway.status("/tool/x") == 500);
    let times = [
        "18446744073709551615",
        "9223372036854775807",
        "18446744073709551616",
        "-1",
        "1e999",
    ];
    for (number, seconds) in times.into_iter().enumerate() {
        let fields = format!("Keep-Alive: timeout={seconds}\r\nContent-Length: 23");
        let Answer::Raw { text, .. } = answer(&fields, BODY) else {
            panic!("an answer of bytes");
        };
        let closes = false;
        engine.set_script(Script::always(Answer::Raw { text, closes }));
        for request in 0..2 {
            let reply = tool_call(&format!("r-{number}-{request}")).send(gateway.callers());
            let reply = reply.unwrap_or_default();
            assert_eq!(
                (reply.status, reply.body.as_str()),
                (200, BODY),
                "{seconds}"
            );
        }
        assert!(!gateway.has_logged("panicked"), "{seconds}");
    }
}
