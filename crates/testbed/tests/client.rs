//! The caller client against nodes that answer as told.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use ridgeworks_api::caller_error::{CallerRefusal, ErrorCode};
use ridgeworks_domain::{ProgramName, Refusal, RefusalReason, ServiceName};
use ridgeworks_testbed::client::{
    CallFailure, CallerClient, ChatCall, ClientSettings, TransportFailure,
};
use socket2::{Domain, Socket, Type};
use support::{Answer, StubNode, ok, stream};

const OPENED: &str = r#"{"run":"0000000000000000000000000000002a","budget":100}"#;

fn client(nodes: Vec<SocketAddr>) -> CallerClient {
    let mut settings = ClientSettings::new(nodes, "token");
    settings.patience = Duration::from_secs(5);
    settings.round_pause = Duration::from_millis(1);
    CallerClient::new(settings)
}

fn program() -> ProgramName {
    ProgramName::new("program").expect("an identifier")
}

fn call() -> ChatCall {
    ChatCall::of_user(ServiceName::new("model").expect("an identifier"), "hello")
}

fn refused(refusal: &Refusal) -> Answer {
    let refusal = CallerRefusal::from(refusal);
    Answer {
        status: refusal.status,
        body: serde_json::to_string(&refusal.body).expect("a plain value"),
    }
}

/// An address where nobody listens, and nobody can as long as the socket is held: a port given back
/// would be taken by the stub of another test.
fn unused_address() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).expect("a free port");
    let address = socket.local_addr().expect("an address");
    (socket, address.as_socket().expect("an internet address"))
}

#[test]
fn a_refusal_that_names_a_time_is_repeated_under_the_same_key() {
    let busy = Refusal::retry_after(RefusalReason::QueueFull, Duration::from_millis(1));
    let node = StubNode::start(vec![ok(OPENED), refused(&busy), stream(&["one"], true)]);
    let client = client(vec![node.address()]);
    let mut run = client.open_run(&program()).expect("the run opens");
    let answer = run.chat_streamed(&call(), &mut |_| {}).expect("an answer");
    assert_eq!(answer.text, "one");
    let seen = node.seen();
    assert_eq!(seen.len(), 3);
    assert_eq!(seen[1].call.as_deref(), Some(answer.call.as_str()));
    assert_eq!(seen[1], seen[2]);
}

#[test]
fn a_refusal_without_a_time_is_final() {
    let over = Refusal::permanent(RefusalReason::Forbidden);
    let node = StubNode::start(vec![refused(&over), ok(OPENED)]);
    match client(vec![node.address()]).open_run(&program()) {
        Err(CallFailure::Refused {
            status,
            error,
            may_have_run,
        }) => assert_eq!(
            (status, error.code, may_have_run),
            (403, ErrorCode::Forbidden, false)
        ),
        other => panic!("expected a refusal, got {other:?}"),
    }
    assert_eq!(node.seen().len(), 1);
}

#[test]
fn a_broken_stream_goes_on_at_the_next_node_and_each_piece_comes_once() {
    let first = StubNode::start(vec![ok(OPENED), stream(&["one ", "two "], false)]);
    let second = StubNode::start(vec![stream(&["one two thr", "ee"], true)]);
    let client = client(vec![first.address(), second.address()]);
    let mut run = client.open_run(&program()).expect("the run opens");
    let mut pieces = Vec::new();
    let mut note = |piece: &str| pieces.push(piece.to_owned());
    let answer = run.chat_streamed(&call(), &mut note).expect("an answer");
    assert_eq!(answer.text, "one two three");
    assert_eq!(pieces, ["one ", "two ", "thr", "ee"]);
    assert_eq!(first.seen()[1].call, second.seen()[0].call);
}

#[test]
fn another_text_under_the_same_key_is_a_failure() {
    let node = StubNode::start(vec![
        ok(OPENED),
        stream(&["one "], false),
        stream(&["other"], true),
    ]);
    let client = client(vec![node.address()]);
    let mut run = client.open_run(&program()).expect("the run opens");
    let failure = run
        .chat_streamed(&call(), &mut |_| {})
        .expect_err("a failure");
    assert!(matches!(failure, CallFailure::AnswerChanged { .. }));
    assert!(failure.may_have_run());
}

#[test]
fn a_shorter_text_under_the_same_key_is_a_failure() {
    let node = StubNode::start(vec![
        ok(OPENED),
        stream(&["one two"], false),
        stream(&["one"], true),
    ]);
    let client = client(vec![node.address()]);
    let mut run = client.open_run(&program()).expect("the run opens");
    let failure = run
        .chat_streamed(&call(), &mut |_| {})
        .expect_err("a failure");
    assert!(matches!(failure, CallFailure::AnswerChanged { .. }));
}

#[test]
fn a_request_that_reached_no_node_did_not_run() {
    let (_held, address) = unused_address();
    let mut settings = ClientSettings::new(vec![address], "token");
    settings.patience = Duration::from_millis(50);
    settings.round_pause = Duration::from_millis(1);
    match CallerClient::new(settings).open_run(&program()) {
        Err(CallFailure::Unreachable { last, may_have_run }) => {
            assert_eq!(
                (last, may_have_run),
                (TransportFailure::NotConnected, false)
            );
        }
        other => panic!("expected no node, got {other:?}"),
    }
}

/// The time of a call may run out at any moment of it, also before its connection is opened.
#[test]
fn a_call_whose_time_is_over_before_it_is_connected_did_not_run() {
    let (_held, address) = unused_address();
    for nanos in [0, 1, 1_000, 10_000, 50_000] {
        let mut settings = ClientSettings::new(vec![address], "token");
        settings.patience = Duration::from_nanos(nanos);
        let client = CallerClient::new(settings);
        let failure = client.open_run(&program()).expect_err("no node");
        assert!(!failure.may_have_run(), "{nanos} ns: {failure:?}");
    }
}

#[test]
fn a_refusal_after_a_broken_sending_says_that_the_call_may_have_run() {
    let closed = Refusal::permanent(RefusalReason::RunClosed);
    let node = StubNode::start(vec![ok(OPENED), stream(&["one"], false), refused(&closed)]);
    let client = client(vec![node.address()]);
    let mut run = client.open_run(&program()).expect("the run opens");
    let failure = run
        .chat_streamed(&call(), &mut |_| {})
        .expect_err("a failure");
    assert!(failure.may_have_run());
}
