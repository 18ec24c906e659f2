//! Planned stop: accepted connections are still served, and new connections are rejected.

mod support;

use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::channel;

use ridgeworks_http_edge::{EdgeRequest, Responder};
use support::{Client, TIMEOUT, small_settings, start};

#[test]
fn after_the_listener_stops_open_connections_are_answered_and_new_ones_rejected() {
    let (resume, waiting) = channel::<()>();
    let (arrived, arrivals) = channel::<()>();
    let waiting = Arc::new(Mutex::new(waiting));
    let handler = move |request: EdgeRequest, responder: Responder| {
        if request.body == b"wait" {
            arrived.send(()).expect("the test waits");
            let waited = waiting.lock().expect("lock").recv_timeout(TIMEOUT);
            waited.expect("the test resumes the handler");
        }
        support::echo(request, responder);
    };
    let edge = start(small_settings(), handler);
    let mut in_flight = Client::connect(edge.address());
    in_flight.post("/", b"wait");
    arrivals.recv_timeout(TIMEOUT).expect("the request arrives");
    let mut connected = Client::connect(edge.address());
    connected.post("/", b"x");
    assert_eq!(connected.read_response().status, 200);

    edge.refuse_new_requests();
    edge.stop_accepting_connections();
    TcpStream::connect(edge.address()).expect_err("new connections are rejected");

    connected.post("/", b"x");
    assert_eq!(connected.read_response().status, 503);
    resume.send(()).expect("the handler waits");
    assert_eq!(in_flight.read_response().status, 200);
    assert!(edge.wait_until_idle(TIMEOUT));
}
