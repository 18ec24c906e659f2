//! Answers of the platform's store that are none.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::Duration;

use ridgeworks_platform::{ObjectKind, list};
use ridgeworks_resident::response_head::HeadFault;
use ridgeworks_resident::store_client::{StoreAnswer, StoreClient, StoreFailure};
use tokio::runtime::Builder;
use tokio::task::LocalSet;

const HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
const TIMEOUT: Duration = Duration::from_secs(20);

/// Answers one call with bytes until the caller closes, and returns how many were sent.
fn pour(listener: &TcpListener, start: &str, piece: &str) -> usize {
    let (mut connection, _) = listener.accept().expect("a connection");
    let mut request = [0; 1024];
    let read = connection.read(&mut request).expect("a request");
    assert!(read > 0);
    let mut sent = start.len();
    connection.write_all(start.as_bytes()).expect("a head");
    while connection.write_all(piece.as_bytes()).is_ok() {
        sent += piece.len();
    }
    sent
}

fn call_of(start: &'static str, piece: &str) -> (StoreFailure, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let piece = piece.to_owned();
    let pouring = std::thread::spawn(move || pour(&listener, start, &piece));
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    let calling = async {
        let store = StoreClient::new(address);
        store.call(list(ObjectKind::Engines, None), TIMEOUT).await
    };
    let failure = LocalSet::new().block_on(&runtime, calling);
    drop(runtime);
    let sent = pouring.join().expect("a server");
    (failure.expect_err("no answer"), sent)
}

#[test]
fn a_body_without_end_is_cut_off() {
    let piece = format!("10000\r\n{}\r\n", "x".repeat(0x10000));
    let (failure, sent) = call_of(HEAD, &piece);
    assert!(matches!(failure, StoreFailure::TooLarge), "{failure}");
    assert!(sent < 32 * 1024 * 1024, "{sent}");
}

#[test]
fn a_head_without_end_is_cut_off() {
    let (failure, sent) = call_of("HTTP/1.1 200 OK\r\nx-fill: ", &"x".repeat(0x10000));
    let is_unreadable = matches!(failure, StoreFailure::Head(HeadFault::Unreadable(_)));
    assert!(is_unreadable, "{failure}");
    assert!(sent < 32 * 1024 * 1024, "{sent}");
}

/// Sends these bytes as the answer to one call and closes the connection.
fn answered(head: &str, body: &str) -> Result<StoreAnswer, StoreFailure> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let answer = format!("HTTP/1.1 {head}\r\n\r\n{body}");
    let serving = std::thread::spawn(move || {
        let (mut connection, _) = listener.accept().expect("a connection");
        let mut request = [0; 1024];
        let read = connection.read(&mut request).expect("a request");
        assert!(read > 0);
        connection.write_all(answer.as_bytes()).expect("an answer");
    });
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    let calling = async {
        let store = StoreClient::new(address);
        store.call(list(ObjectKind::Engines, None), TIMEOUT).await
    };
    let answer = LocalSet::new().block_on(&runtime, calling);
    serving.join().expect("a server");
    answer
}

#[test]
fn an_answer_whose_head_tells_its_length_wrongly_is_none() {
    const CHUNKS: &str = "2\r\n{}\r\n0\r\n\r\n";
    let heads = [
        ("200 OK\r\ntransfer-encoding: chunkedd", CHUNKS),
        (
            "200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 2",
            CHUNKS,
        ),
        ("200 OK\r\ncontent-length: 2\r\ncontent-length: 2", "{}"),
        ("600 OK\r\ncontent-length: 2", "{}"),
        ("000 OK\r\ncontent-length: 2", "{}"),
        ("200 OK\r\nno field\r\ncontent-length: 2", "{}"),
        ("200 OK\r\na name: x\r\ncontent-length: 2", "{}"),
    ];
    for (head, body) in heads {
        let failure = answered(head, body).expect_err(head);
        assert!(
            matches!(failure, StoreFailure::Head(_)),
            "{head}: {failure}"
        );
    }
    let cut = answered("200 OK\r\ncontent-length: 2", "{}{}").expect_err("a cut body");
    assert!(matches!(cut, StoreFailure::CutBody), "{cut}");
    let whole = answered("200 OK\r\ncontent-length: 2", "{}").expect("an answer");
    assert_eq!(whole.body, "{}");
}

/// Such a call was sent with another path, and its answer passed for the one to the call.
#[test]
fn a_call_whose_path_cannot_be_sent_fails_and_sends_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    listener.set_nonblocking(true).expect("a listener");
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    let calling = async {
        let store = StoreClient::new(address);
        let mut call = list(ObjectKind::Engines, None);
        call.path.push_str("?after=a b");
        store.call(call, Duration::from_secs(1)).await
    };
    let failure = LocalSet::new().block_on(&runtime, calling);
    let failure = failure.expect_err("a path with a blank");
    assert!(matches!(failure, StoreFailure::Path(_)), "{failure}");
    assert!(listener.accept().is_err(), "a connection was opened");
}
