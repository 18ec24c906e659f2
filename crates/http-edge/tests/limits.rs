//! Requests beyond the limits, broken requests, overload and planned stop.

mod support;

use std::time::Instant;

use crossbeam_channel::{bounded, unbounded};
use ridgeworks_http_edge::{EdgeSettings, Responder};
use support::{Client, PATIENCE, echo, small_settings, start, wait_until};

#[test]
fn a_body_over_the_limit_is_refused_and_the_edge_serves_on() {
    let edge = start(small_settings(), echo);
    let mut client = Client::connect(edge.address());
    client.post("/", &[0; 10_001]);
    assert_eq!(client.read_answer().status, 413);
    let mut chunked = Client::connect(edge.address());
    chunked.send(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4e20\r\n");
    chunked.send(&[0; 20_000]);
    assert_eq!(chunked.read_answer().status, 413);
    let mut next = Client::connect(edge.address());
    next.post("/", &[1; 10_000]);
    assert_eq!(next.read_answer().status, 200);
    let counters = edge.counters().snapshot();
    assert_eq!((counters.refused_body_too_long, counters.handled), (2, 1));
}

/// Dropping such a request makes `tiny_http` allocate the length; the process ends with it.
#[test]
fn an_absurd_announced_length_does_not_end_the_process() {
    let edge = start(small_settings(), echo);
    for length in [
        "1000000000000000",
        "9223372036854775807",
        "18446744073709551615",
    ] {
        let mut client = Client::connect(edge.address());
        client.send(format!("POST / HTTP/1.1\r\nContent-Length: {length}\r\n\r\n").as_bytes());
        assert_eq!(client.read_answer().status, 413, "{length}");
    }
    let mut next = Client::connect(edge.address());
    next.post("/", b"x");
    assert_eq!(next.read_answer().status, 200);
    assert_eq!(edge.counters().snapshot().abandoned_connections, 3);
}

#[test]
fn a_malformed_length_is_refused() {
    let edge = start(small_settings(), echo);
    for headers in [
        "Content-Length: abc",
        "Content-Length: -1",
        "Content-Length: +1",
        "Content-Length: 99999999999999999999999",
        "Content-Length: 1\r\nContent-Length: 2",
        "Content-Length: 1\r\nTransfer-Encoding: chunked",
    ] {
        let mut client = Client::connect(edge.address());
        client.send(format!("POST / HTTP/1.1\r\n{headers}\r\n\r\n0\r\n\r\n").as_bytes());
        assert_eq!(client.read_answer().status, 400, "{headers}");
    }
    assert_eq!(edge.counters().snapshot().handled, 0);
}

#[test]
fn half_requests_and_idle_connections_are_dropped_after_the_read_timeout() {
    let edge = start(small_settings(), echo);
    let mut idle = Client::connect(edge.address());
    let mut half_head = Client::connect(edge.address());
    half_head.send(b"POST / HTTP/1.1\r\nX-");
    let mut half_small_body = Client::connect(edge.address());
    half_small_body.send(b"POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nab");
    let mut kept = Client::connect(edge.address());
    kept.post("/", b"x");
    assert_eq!(kept.read_answer().status, 200);
    for client in [&mut idle, &mut half_head, &mut half_small_body, &mut kept] {
        assert_eq!(client.read_rest(), b"");
    }
    assert_eq!(edge.counters().snapshot().handled, 1);
}

#[test]
fn a_large_body_that_stops_halfway_is_answered_408() {
    let edge = start(small_settings(), echo);
    let mut client = Client::connect(edge.address());
    client.send(b"POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\nhalf");
    assert_eq!(client.read_answer().status, 408);
    assert_eq!(client.read_rest(), b"");
    let counters = edge.counters().snapshot();
    assert_eq!((counters.timed_out, counters.handled), (1, 0));
}

#[test]
fn a_body_that_arrives_byte_by_byte_is_given_up_at_the_deadline() {
    let settings = small_settings();
    let pause = settings.read_timeout / 20;
    let edge = start(settings, echo);
    let mut client = Client::connect(edge.address());
    client.send(b"POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n");
    let (_keep, never) = bounded::<()>(0);
    let counters = edge.counters();
    let started = Instant::now();
    while counters.snapshot().timed_out == 0 {
        assert!(
            started.elapsed() < PATIENCE,
            "the slow body was not given up"
        );
        client.send(b"x");
        let _ = never.recv_timeout(pause);
    }
    assert_eq!(client.read_answer().status, 408);
}

#[test]
fn a_body_that_is_cut_off_reaches_no_handler() {
    let edge = start(small_settings(), echo);
    let mut client = Client::connect(edge.address());
    client.send(b"POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\nhalf");
    drop(client);
    let counters = edge.counters();
    wait_until("cut off", || counters.snapshot().broken_requests == 1);
    assert_eq!(counters.snapshot().handled, 0);
}

#[test]
fn above_the_bound_a_request_is_refused_at_once() {
    let settings = EdgeSettings {
        max_concurrent_requests: 2,
        ..EdgeSettings::on_free_loopback_port()
    };
    let (entered, entries) = unbounded();
    let (go, gate) = bounded::<()>(0);
    let edge = start(settings, move |_, responder: Responder| {
        entered.send(()).expect("test waits");
        let _ = gate.recv();
        let _ = responder.json(200, &[], b"{}");
    });
    let mut clients = [
        Client::connect(edge.address()),
        Client::connect(edge.address()),
    ];
    for client in &mut clients {
        client.post("/", b"");
        entries.recv_timeout(PATIENCE).expect("in progress");
    }
    let mut refused = Client::connect(edge.address());
    for _ in 0..3 {
        refused.post("/", &[0; 3_000]);
        let answer = refused.read_answer();
        assert_eq!(answer.status, 503);
        assert!(
            answer.head.contains("Retry-After: 1\r\n"),
            "{}",
            answer.head
        );
        assert!(answer.body.starts_with(br#"{"code":"unavailable""#));
    }
    drop(go);
    for client in &mut clients {
        assert_eq!(client.read_answer().status, 200);
    }
    assert!(edge.wait_until_idle(PATIENCE));
    refused.post("/", b"");
    assert_eq!(refused.read_answer().status, 200);
    assert_eq!(edge.counters().snapshot().refused_overload, 3);
}

#[test]
fn a_planned_stop_ends_what_is_in_progress_and_refuses_the_rest() {
    let (entered, entries) = unbounded();
    let (go, gate) = bounded::<()>(0);
    let edge = start(
        EdgeSettings::on_free_loopback_port(),
        move |_, responder: Responder| {
            let mut stream = responder.start_stream(200, &[]).expect("head");
            stream.send(b"one").expect("client reads");
            entered.send(()).expect("test waits");
            let _ = gate.recv();
            stream.send(b"two").expect("client reads");
            stream.finish().expect("client reads");
        },
    );
    let address = edge.address();
    let mut client = Client::connect(address);
    client.post("/", b"");
    entries.recv_timeout(PATIENCE).expect("in progress");
    edge.refuse_new_requests();
    assert!(!edge.wait_until_idle(std::time::Duration::ZERO));
    let mut late = Client::connect(address);
    late.post("/", b"");
    assert_eq!(late.read_answer().status, 503);
    drop(go);
    assert!(edge.wait_until_idle(PATIENCE));
    drop(edge);
    client.read_head();
    assert_eq!(client.read_chunk().expect("chunk"), b"one");
    assert_eq!(client.read_chunk().expect("chunk"), b"two");
    assert_eq!(client.read_chunk(), None);
    wait_until("listener closed", || {
        std::net::TcpStream::connect(address).is_err()
    });
}

#[test]
fn a_quiet_listener_still_accepts_after_several_read_timeouts() {
    let settings = small_settings();
    let quiet = settings.read_timeout * 3;
    let edge = start(settings, echo);
    let (_keep, never) = bounded::<()>(0);
    let _ = never.recv_timeout(quiet);
    let mut client = Client::connect(edge.address());
    client.post("/", b"x");
    assert_eq!(client.read_answer().status, 200);
    assert_eq!(edge.counters().snapshot().acceptor_restarts, 0);
}
