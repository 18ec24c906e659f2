//! Answers of the platform's store that stop anywhere, by closing the connection or by saying nothing more.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use ridgeworks_platform::{Object, ObjectKind, list};
use ridgeworks_resident::store_client::{StoreClient, StoreFailure};
use ridgeworks_resident::store_watch::list_once;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

const PAGE: &str = r#"{"items":[{"metadata":{"name":"i-1"},"spec":{}}],"more":false,"at":9}"#;
/// What is long enough for an answer on loopback.
const WAIT: Duration = Duration::from_millis(60);
/// One in this many cuts is played where each is waited for.
const HANG_STEP: usize = 7;

/// Answers each call with the next of these texts; closes the connection after it, or leaves it open until all are sent.
fn serve(texts: Vec<String>, closes: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let mut open = Vec::new();
        for text in texts {
            let (mut connection, _) = listener.accept().expect("a connection");
            let mut request = [0; 1024];
            let read = connection.read(&mut request).expect("a request");
            assert!(read > 0);
            connection.write_all(text.as_bytes()).expect("an answer");
            if !closes {
                open.push(connection);
            }
        }
        // They are closed by the client, or with the test.
        thread::sleep(Duration::from_secs(20));
    });
    address
}

fn whole_answers() -> [String; 4] {
    let length = PAGE.len();
    let (first, rest) = PAGE.split_at(30);
    let rest_length = rest.len();
    let chunks = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1e\r\n{first}\r\n{rest_length:x}\r\n{rest}\r\n0\r\n"
    );
    [
        format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{PAGE}"),
        format!(
            "HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{PAGE}"
        ),
        format!("{chunks}\r\n"),
        format!("{chunks}X-End: 1\r\n\r\n"),
    ]
}

fn cuts(text: &str) -> Vec<String> {
    (0..text.len()).map(|end| text[..end].to_owned()).collect()
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    LocalSet::new().block_on(&runtime, future)
}

fn lists_of(texts: Vec<String>) -> Vec<Option<Vec<Object>>> {
    let calls = texts.len();
    let address = serve(texts, true);
    block_on(async {
        let mut lists = Vec::new();
        for _ in 0..calls {
            // A client of its own for each, so that no call finds a connection of the one before.
            let store = StoreClient::new(address);
            lists.push(list_once(&store, ObjectKind::Engines).await);
        }
        lists
    })
}

/// A list that was cut off passed for whole, so that the engines it lacked were gone.
#[test]
fn a_list_whose_answer_stops_anywhere_fails() {
    for whole in whole_answers() {
        let mut texts = cuts(&whole);
        texts.push(whole.clone());
        let mut lists = lists_of(texts.clone());
        let of_whole = lists.pop().flatten().expect("the whole list");
        assert_eq!(of_whole.len(), 1, "{whole:?}");
        for (text, list) in texts.iter().zip(lists) {
            assert_eq!(list, None, "{text:?}");
        }
    }
}

/// A body that ends with its connection may have been cut off there; the content tells.
#[test]
fn a_list_that_ends_with_its_connection_is_whole_or_fails() {
    let head = "HTTP/1.1 200 OK\r\n\r\n";
    let texts: Vec<String> = cuts(PAGE)
        .into_iter()
        .map(|body| format!("{head}{body}"))
        .collect();
    for (text, list) in texts.iter().zip(lists_of(texts.clone())) {
        assert_eq!(list, None, "{text:?}");
    }
}

#[test]
fn a_call_whose_answer_stops_without_a_close_has_none_when_its_time_is_over() {
    for whole in whole_answers() {
        let texts: Vec<String> = cuts(&whole).into_iter().step_by(HANG_STEP).collect();
        let address = serve(texts.clone(), false);
        for text in texts {
            let calling = async {
                let store = StoreClient::new(address);
                store.call(list(ObjectKind::Engines, None), WAIT).await
            };
            let failure = block_on(calling).expect_err(&text);
            assert!(
                matches!(failure, StoreFailure::TimedOut),
                "{text:?}: {failure}"
            );
        }
    }
}
