//! Back ends whose answers tell the length of their body wrongly or in two ways.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use ridgeworks_domain::{BackendAddress, BackendName, CallKey, Cost, RunId, Sequence};
use ridgeworks_node::mailbox::Mailbox;
use ridgeworks_node::outbound::{
    AttemptEvent, AttemptId, AttemptOrder, AttemptResult, BackendCall, BackendClient, Dispatched,
};
use ridgeworks_node::thread_message::ThreadMessage;
use stakker_mio::mio::{Poll, Token, Waker};

const TIMEOUT: Duration = Duration::from_secs(10);
const BODY: &str = "the whole body";
const CHUNKS: &str = "e\r\nthe whole body\r\n0\r\n\r\n";

/// Answers one request with these bytes and closes the connection.
fn serve_once(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut connection, _) = listener.accept().expect("a connection");
        let mut request = [0; 4096];
        let _ = connection.read(&mut request).expect("a request");
        connection.write_all(answer.as_bytes()).expect("an answer");
    });
    address
}

fn result_of(status: &str, fields: &str, body: &str) -> AttemptResult {
    let socket = serve_once(format!("HTTP/1.1 {status}\r\n{fields}\r\n\r\n{body}"));
    let poll = Poll::new().expect("a poll");
    let waker = Arc::new(Waker::new(poll.registry(), Token(0)).expect("a waker"));
    let (mailbox, events) = Mailbox::new(waker);
    let client = BackendClient::new(mailbox, Arc::default());
    client.start(AttemptOrder {
        id: AttemptId {
            run: RunId(7),
            sequence: Sequence(1),
            key: CallKey::new("call-1").expect("a key"),
            attempt: 1,
        },
        to: Dispatched {
            backend: BackendName::new("tool-1").expect("a name"),
            address: BackendAddress {
                socket,
                instance: None,
            },
        },
        call: BackendCall::Tool {
            service: "tool".to_owned(),
            arguments: b"{}".to_vec(),
            price: Cost(1),
        },
        timeout: TIMEOUT,
    });
    match events.recv_timeout(TIMEOUT) {
        Ok(ThreadMessage::Attempt(AttemptEvent::Ended { result, .. })) => result,
        _ => panic!("the end of the attempt is reported"),
    }
}

#[test]
fn answers_whose_length_is_spoilt_leave_the_attempt_in_doubt() {
    let answers = [
        ("200 OK", "Transfer-Encoding: chunkedd", CHUNKS),
        (
            "200 OK",
            "Transfer-Encoding: gzip\r\nContent-Length: 14",
            BODY,
        ),
        (
            "200 OK",
            "Transfer-Encoding: chunked\r\nContent-Length: 3",
            CHUNKS,
        ),
        ("200 OK", "Transfer-Encodinh: chunked", CHUNKS),
        ("200 OK", "Content-Length: 14\r\nContent-Length: 3", BODY),
        ("200 OK", "Content-Length: 1x4", BODY),
        // A promise that nothing ran is not believed either.
        ("503 Full", "Transfer-Encoding: chunkedd", CHUNKS),
        ("429 Full", "Content-Length: 14\r\nContent-Length: 3", BODY),
    ];
    for (status, fields, body) in answers {
        let result = result_of(status, fields, body);
        assert_eq!(result, AttemptResult::InDoubt, "{status} {fields}");
    }
}

#[test]
fn answers_whose_length_is_clear_are_taken() {
    let heads = [
        ("Content-Length: 14", BODY),
        ("Transfer-Encoding: chunked", CHUNKS),
        ("Connection: close", BODY),
    ];
    for (fields, body) in heads {
        let AttemptResult::Answered { answer, .. } = result_of("200 OK", fields, body) else {
            panic!("answered: {fields}");
        };
        assert_eq!(answer, BODY.as_bytes(), "{fields}");
    }
    let refused = result_of("503 Full", "Content-Length: 14", BODY);
    assert_eq!(refused, AttemptResult::NeverStarted);
}
