//! Complete and streamed responses over a loopback connection.

mod support;

use std::sync::Mutex;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender, bounded, unbounded};
use ridgeworks_http_edge::{
    ClientDisconnected, EdgeRequest, EdgeSettings, Header, Method, Responder, ResponseError,
};
use support::{Client, TIMEOUT, echo, small_settings, start, wait_until};

fn settings() -> EdgeSettings {
    EdgeSettings::on_free_loopback_port()
}

#[test]
fn a_persistent_connection_carries_several_requests() {
    let edge = start(settings(), echo);
    let mut client = Client::connect(edge.address());
    for body in [&b"one"[..], &[7; 5_000], b""] {
        client.post("/echo", body);
        let response = client.read_response();
        assert_eq!((response.status, response.body.as_slice()), (200, body));
    }
}

#[test]
fn the_handler_receives_the_request_as_sent() {
    let (seen, requests) = unbounded();
    let edge = start(
        settings(),
        move |request: EdgeRequest, responder: Responder| {
            seen.send(request).expect("test waits");
            let _ = responder.json(201, &[Header::new("X-Run", "7")], b"{}");
        },
    );
    let mut client = Client::connect(edge.address());
    client.send(b"PUT /a/b?c=d&e HTTP/1.1\r\nX-Key: v\r\nTransfer-Encoding: chunked\r\n\r\n");
    client.send(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    let response = client.read_response();
    let request = requests.recv_timeout(TIMEOUT).expect("request");
    assert_eq!(response.status, 201);
    assert!(response.head.contains("X-Run: 7\r\n"), "{}", response.head);
    assert_eq!(
        (request.method, request.path.as_str()),
        (Method::Put, "/a/b")
    );
    assert_eq!(request.query, "c=d&e");
    assert_eq!(request.body, b"abcde");
    assert!(request.headers.contains(&Header::new("X-Key", "v")));
}

#[test]
fn each_chunk_arrives_before_the_next_one_is_produced() {
    let (produce, produced): (Sender<Vec<u8>>, Receiver<Vec<u8>>) = bounded(0);
    let edge = start(settings(), move |_, responder: Responder| {
        let mut stream = responder.start_stream(200, &[]).expect("head");
        for chunk in &produced {
            stream.send(&chunk).expect("client reads");
        }
        stream.finish().expect("client reads");
    });
    let mut client = Client::connect(edge.address());
    client.send(b"GET /stream HTTP/1.1\r\n\r\n");
    let (status, head) = client.read_head();
    assert_eq!(status, 200);
    assert!(head.contains("Transfer-Encoding: chunked"));
    for chunk in [b"first".to_vec(), vec![1; 100_000], b"x".to_vec()] {
        produce.send(chunk.clone()).expect("handler waits");
        assert_eq!(client.read_chunk().expect("chunk"), chunk);
    }
    drop(produce);
    assert_eq!(client.read_chunk(), None);
}

#[test]
fn an_unfinished_stream_ends_with_an_invalid_chunk() {
    let edge = start(settings(), |_, responder: Responder| {
        let mut stream = responder.start_stream(200, &[]).expect("head");
        stream.send(b"half").expect("client reads");
    });
    let mut client = Client::connect(edge.address());
    client.send(b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
    client.read_head();
    assert_eq!(client.read_rest(), b"4\r\nhalf\r\nbroken\r\n");
}

#[test]
fn sending_to_a_disconnected_client_fails() {
    let (ended, end) = bounded(1);
    let edge = start(settings(), move |_, responder: Responder| {
        let mut stream = responder.start_stream(200, &[]).expect("head");
        let error = (0..).find_map(|_| stream.send(b"token").err());
        ended.send(error.expect("endless")).expect("test waits");
    });
    let mut client = Client::connect(edge.address());
    client.send(b"GET / HTTP/1.1\r\n\r\n");
    client.read_head();
    drop(client);
    let ClientDisconnected(_) = end
        .recv_timeout(TIMEOUT)
        .expect("the disconnect is detected");
    assert_eq!(edge.counters().snapshot().client_disconnects, 1);
}

#[test]
fn sending_to_a_client_that_does_not_read_fails_after_the_write_timeout() {
    let (ended, end) = bounded(1);
    let edge = start(small_settings(), move |_, responder: Responder| {
        let mut stream = responder.start_stream(200, &[]).expect("head");
        let chunk = vec![0; 1 << 20];
        let error = (0..1_000).find_map(|_| stream.send(&chunk).err());
        ended.send(error).expect("test waits");
    });
    let mut client = Client::connect(edge.address());
    client.send(b"GET / HTTP/1.1\r\n\r\n");
    let error = end.recv_timeout(TIMEOUT).expect("the send fails");
    assert_eq!(
        error,
        Some(ClientDisconnected(std::io::ErrorKind::WouldBlock))
    );
}

#[test]
fn a_handler_that_panics_or_does_not_respond_yields_status_500() {
    let edge = start(settings(), |request: EdgeRequest, _responder: Responder| {
        assert_ne!(request.path, "/panic", "intentional panic");
    });
    for path in ["/panic", "/silent"] {
        let mut client = Client::connect(edge.address());
        client.post(path, b"");
        assert_eq!(client.read_response().status, 500);
    }
    let counters = edge.counters();
    assert_eq!(counters.snapshot().unanswered, 2);
    wait_until("handlers ended", || counters.snapshot().open_requests == 0);
}

#[test]
fn a_malformed_response_header_is_an_error_and_is_not_sent() {
    let (results, result) = bounded(1);
    let edge = start(settings(), move |_, responder: Responder| {
        let injected = Header::new("X-A", "b\r\nX-Injected: c");
        results
            .send(responder.json(200, &[injected], b"{}"))
            .expect("test waits");
    });
    let mut client = Client::connect(edge.address());
    client.post("/", b"");
    let response = client.read_response();
    assert_eq!(response.status, 500);
    assert!(!response.head.contains("X-Injected"));
    let result = result.recv_timeout(TIMEOUT).expect("result");
    assert!(matches!(result, Err(ResponseError::InvalidHeader)));
}

#[test]
fn a_head_request_gets_no_body() {
    let edge = start(settings(), echo);
    let mut client = Client::connect(edge.address());
    client.send(b"HEAD / HTTP/1.1\r\nConnection: close\r\n\r\n");
    let (status, _) = client.read_head();
    assert_eq!((status, client.read_rest()), (200, Vec::new()));
}

#[test]
fn an_http_1_0_client_gets_a_stream_without_chunked_encoding() {
    let edge = start(settings(), |_, responder: Responder| {
        let mut stream = responder.start_stream(200, &[]).expect("head");
        stream.send(b"one").expect("client reads");
        stream.send(b"two").expect("client reads");
        stream.finish().expect("client reads");
    });
    let mut client = Client::connect(edge.address());
    client.send(b"GET / HTTP/1.0\r\n\r\n");
    client.read_head();
    assert_eq!(client.read_rest(), b"onetwo");
}

#[test]
fn many_concurrent_streams_each_get_their_own_response() {
    const STREAMS: usize = 100;
    // Well below the read timeout, after which connections stuck in the task pool of `tiny_http` are freed.
    const BURST_TIMEOUT: Duration = Duration::from_secs(5);
    let (open, opened) = unbounded::<()>();
    let (go, gate) = bounded::<()>(0);
    let open = Mutex::new(open);
    let edge = start(
        settings(),
        move |request: EdgeRequest, responder: Responder| {
            let mut stream = responder.start_stream(200, &[]).expect("head");
            stream.send(&request.body).expect("client reads");
            open.lock().expect("lock").send(()).expect("test waits");
            let _ = gate.recv();
            stream.send(request.path.as_bytes()).expect("client reads");
            stream.finish().expect("client reads");
        },
    );
    let mut clients: Vec<Client> = (0..STREAMS)
        .map(|_| Client::connect(edge.address()))
        .collect();
    for (index, client) in clients.iter_mut().enumerate() {
        client.post(&format!("/{index}"), format!("body {index}").as_bytes());
    }
    let all_open_by = Instant::now() + BURST_TIMEOUT;
    for _ in 0..STREAMS {
        opened.recv_deadline(all_open_by).expect("all open at once");
    }
    assert_eq!(edge.counters().snapshot().open_requests, STREAMS as u64);
    drop(go);
    for (index, client) in clients.iter_mut().enumerate() {
        client.read_head();
        assert_eq!(
            client.read_chunk().expect("body"),
            format!("body {index}").into_bytes()
        );
        assert_eq!(
            client.read_chunk().expect("path"),
            format!("/{index}").into_bytes()
        );
        assert_eq!(client.read_chunk(), None);
    }
}
