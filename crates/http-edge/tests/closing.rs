//! The end of a planned stop: nobody who connected is cut off, and nobody connects any more.

mod support;

use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::channel;

use ridgeworks_http_edge::{EdgeRequest, Responder};
use support::{Client, PATIENCE, small_settings, start};

#[test]
fn a_closed_listener_answers_what_came_and_takes_nobody_else() {
    let (go_on, waiting) = channel::<()>();
    let (arrived, arrivals) = channel::<()>();
    let waiting = Arc::new(Mutex::new(waiting));
    let handler = move |request: EdgeRequest, responder: Responder| {
        if request.body == b"wait" {
            arrived.send(()).expect("the test waits");
            let waited = waiting.lock().expect("lock").recv_timeout(PATIENCE);
            waited.expect("the test goes on");
        }
        support::echo(request, responder);
    };
    let edge = start(small_settings(), handler);
    let mut under_way = Client::connect(edge.address());
    under_way.post("/", b"wait");
    arrivals.recv_timeout(PATIENCE).expect("it arrives");
    let mut connected = Client::connect(edge.address());
    connected.post("/", b"x");
    assert_eq!(connected.read_answer().status, 200);

    edge.refuse_new_requests();
    edge.stop_accepting_connections();
    TcpStream::connect(edge.address()).expect_err("nobody connects any more");

    connected.post("/", b"x");
    assert_eq!(connected.read_answer().status, 503);
    go_on.send(()).expect("the handler waits");
    assert_eq!(under_way.read_answer().status, 200);
    assert!(edge.wait_until_idle(PATIENCE));
}
