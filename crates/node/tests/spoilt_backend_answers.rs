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

/// Answers one request with these bytes and closes the connection after `delay`.
fn serve_once(answer: String, delay: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        let (mut connection, _) = listener.accept().expect("a connection");
        let mut request = [0; 4096];
        let _ = connection.read(&mut request).expect("a request");
        connection.write_all(answer.as_bytes()).expect("an answer");
        std::thread::sleep(delay);
    });
    address
}

fn result_of(status: &str, fields: &str, body: &str) -> AttemptResult {
    let answer = format!("HTTP/1.1 {status}\r\n{fields}\r\n\r\n{body}");
    result_from(serve_once(answer, Duration::ZERO), TIMEOUT)
}

fn result_from(socket: SocketAddr, timeout: Duration) -> AttemptResult {
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
        timeout,
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

/// Answers, whole as they stand here, that would be taken or would promise that nothing ran.
fn whole_answers() -> [String; 4] {
    [
        format!("HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{BODY}"),
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{CHUNKS}"),
        format!(
            "HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{BODY}"
        ),
        "HTTP/1.1 503 Full\r\nConnection: close\r\n\r\n".to_owned(),
    ]
}

fn cuts(text: &str) -> impl Iterator<Item = String> {
    (0..text.len()).map(|end| text[..end].to_owned())
}

/// An answer that stopped in its head passed for one without a body.
#[test]
fn answers_that_stop_anywhere_leave_the_attempt_in_doubt() {
    /// A body in chunks is complete with the chunk that has no bytes (RFC 9112, section 8); only fields may follow.
    const LAST_CHUNK: &str = "\r\n0\r\n";
    for whole in whole_answers() {
        for cut in cuts(&whole) {
            let result = result_from(serve_once(cut.clone(), Duration::ZERO), TIMEOUT);
            match result {
                AttemptResult::InDoubt => {}
                AttemptResult::Answered { answer, .. } if cut.contains(LAST_CHUNK) => {
                    assert_eq!(answer, BODY.as_bytes());
                }
                result => panic!("{cut:?}: {result:?}"),
            }
        }
    }
}

#[test]
fn answers_that_stop_without_a_close_leave_the_attempt_in_doubt() {
    /// One in this many cuts is played, since each is waited for.
    const STEP: usize = 7;
    const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(100);
    for whole in whole_answers() {
        for cut in cuts(&whole).step_by(STEP) {
            let result = result_from(serve_once(cut.clone(), TIMEOUT), ATTEMPT_TIMEOUT);
            assert_eq!(result, AttemptResult::InDoubt, "{cut:?}");
        }
    }
}
