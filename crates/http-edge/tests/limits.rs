//! Requests beyond the limits, incomplete requests, overload and planned stop.

mod support;

use std::time::Instant;

use crossbeam_channel::{bounded, unbounded};
use ridgeworks_http_edge::{EdgeSettings, Responder};
use support::{Client, TIMEOUT, echo, small_settings, start, wait_until};

#[test]
fn a_body_over_the_limit_is_refused_and_later_requests_are_served() {
    let edge = start(small_settings(), echo);
    let mut client = Client::connect(edge.address());
    client.post("/", &[0; 10_001]);
    assert_eq!(client.read_response().status, 413);
    let mut chunked = Client::connect(edge.address());
    chunked.send(b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4e20\r\n");
    chunked.send(&[0; 20_000]);
    assert_eq!(chunked.read_response().status, 413);
    let mut next = Client::connect(edge.address());
    next.post("/", &[1; 10_000]);
    assert_eq!(next.read_response().status, 200);
    let counters = edge.counters().snapshot();
    assert_eq!((counters.refused_body_too_long, counters.handled), (2, 1));
}

/// Dropping such a request would make `tiny_http` allocate the declared length and abort the process.
#[test]
fn an_excessive_declared_length_does_not_abort_the_process() {
    let edge = start(small_settings(), echo);
    for length in [
        "1000000000000000",
        "9223372036854775807",
        "18446744073709551615",
    ] {
        let mut client = Client::connect(edge.address());
        client.send(format!("POST / HTTP/1.1\r\nContent-Length: {length}\r\n\r\n").as_bytes());
        assert_eq!(client.read_response().status, 413, "{length}");
    }
    let mut next = Client::connect(edge.address());
    next.post("/", b"x");
    assert_eq!(next.read_response().status, 200);
    assert_eq!(edge.counters().snapshot().abandoned_connections, 3);
}

#[test]
fn a_malformed_or_ambiguous_length_is_refused() {
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
        assert_eq!(client.read_response().status, 400, "{headers}");
    }
    assert_eq!(edge.counters().snapshot().handled, 0);
}

#[test]
fn incomplete_requests_and_idle_connections_are_dropped_after_the_read_timeout() {
    let edge = start(small_settings(), echo);
    let mut idle = Client::connect(edge.address());
    let mut partial_head = Client::connect(edge.address());
    partial_head.send(b"POST / HTTP/1.1\r\nX-");
    let mut partial_body = Client::connect(edge.address());
    partial_body.send(b"POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nab");
    let mut served = Client::connect(edge.address());
    served.post("/", b"x");
    assert_eq!(served.read_response().status, 200);
    for client in [&mut idle, &mut partial_head, &mut partial_body, &mut served] {
        assert_eq!(client.read_rest(), b"");
    }
    assert_eq!(edge.counters().snapshot().handled, 1);
}

#[test]
fn a_body_that_stalls_is_refused_with_408() {
    let edge = start(small_settings(), echo);
    let mut client = Client::connect(edge.address());
    client.send(b"POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\nhalf");
    assert_eq!(client.read_response().status, 408);
    assert_eq!(client.read_rest(), b"");
    let counters = edge.counters().snapshot();
    assert_eq!((counters.timed_out, counters.handled), (1, 0));
}

#[test]
fn a_body_that_arrives_byte_by_byte_is_refused_at_the_deadline() {
    let settings = small_settings();
    let pause = settings.read_timeout / 20;
    let edge = start(settings, echo);
    let mut client = Client::connect(edge.address());
    client.send(b"POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n");
    let (_keep, never) = bounded::<()>(0);
    let counters = edge.counters();
    let started = Instant::now();
    while counters.snapshot().timed_out == 0 {
        assert!(started.elapsed() < TIMEOUT, "the slow body was not refused");
        client.send(b"x");
        let _ = never.recv_timeout(pause);
    }
    assert_eq!(client.read_response().status, 408);
}

#[test]
fn a_truncated_body_does_not_reach_the_handler() {
    let edge = start(small_settings(), echo);
    let mut client = Client::connect(edge.address());
    client.send(b"POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\nhalf");
    drop(client);
    let counters = edge.counters();
    wait_until("the truncated body is counted", || {
        counters.snapshot().broken_requests == 1
    });
    assert_eq!(counters.snapshot().handled, 0);
}

#[test]
fn a_request_over_the_concurrency_limit_is_refused_immediately() {
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
        entries.recv_timeout(TIMEOUT).expect("in progress");
    }
    let mut refused = Client::connect(edge.address());
    for _ in 0..3 {
        refused.post("/", &[0; 3_000]);
        let response = refused.read_response();
        assert_eq!(response.status, 503);
        assert!(
            response.head.contains("Retry-After: 1\r\n"),
            "{}",
            response.head
        );
        assert!(response.body.starts_with(br#"{"code":"unavailable""#));
    }
    drop(go);
    for client in &mut clients {
        assert_eq!(client.read_response().status, 200);
    }
    assert!(edge.wait_until_idle(TIMEOUT));
    refused.post("/", b"");
    assert_eq!(refused.read_response().status, 200);
    assert_eq!(edge.counters().snapshot().refused_overload, 3);
}

#[test]
fn a_planned_stop_completes_in_flight_requests_and_refuses_new_ones() {
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
    entries.recv_timeout(TIMEOUT).expect("in progress");
    edge.refuse_new_requests();
    assert!(!edge.wait_until_idle(std::time::Duration::ZERO));
    let mut late = Client::connect(address);
    late.post("/", b"");
    assert_eq!(late.read_response().status, 503);
    drop(go);
    assert!(edge.wait_until_idle(TIMEOUT));
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
fn an_idle_listener_accepts_after_several_read_timeouts_without_a_restart() {
    let settings = small_settings();
    let quiet = settings.read_timeout * 3;
    let edge = start(settings, echo);
    let (_keep, never) = bounded::<()>(0);
    let _ = never.recv_timeout(quiet);
    let mut client = Client::connect(edge.address());
    client.post("/", b"x");
    assert_eq!(client.read_response().status, 200);
    assert_eq!(edge.counters().snapshot().acceptor_restarts, 0);
}
