//! The operators' client against stub servers: failover, lost answers and errors.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use ridgeworks_api::client::{ClientError, ClientSettings, OperatorClient};
use ridgeworks_api::connect::{HttpResponse, RequestHead, encode_error, encode_response};
use ridgeworks_api::{ConnectCode, ConnectError, OperatorMethod, OperatorRequest, v1};

const PROTOBUF: &str = "application/proto";

/// What a stub does with one request.
enum Reaction {
    Answer(HttpResponse),
    /// Takes the request and sends what is no HTTP answer.
    LoseAnswer,
}

/// A server that reacts to one request after the other and reports what it read.
fn stub(reactions: Vec<Reaction>) -> (String, mpsc::Receiver<OperatorRequest>) {
    let server = tiny_http::Server::http("127.0.0.1:0").expect("binds");
    let address = format!("http://{}", server.server_addr());
    let (report, reported) = mpsc::channel();
    thread::spawn(move || {
        for reaction in reactions {
            let mut request = server.recv().expect("receives");
            let mut body = Vec::new();
            std::io::copy(request.as_reader(), &mut body).expect("reads");
            let method = OperatorMethod::from_path(request.url()).expect("is a method");
            let head = RequestHead {
                content_type: Some(PROTOBUF),
                ..RequestHead::default()
            };
            let read = OperatorRequest::decode(method, &head, &body).expect("decodes");
            report.send(read).expect("is awaited");
            match reaction {
                Reaction::Answer(answer) => {
                    let response =
                        tiny_http::Response::from_data(answer.body).with_status_code(answer.status);
                    request.respond(response).expect("responds");
                }
                Reaction::LoseAnswer => {
                    let mut writer = request.into_writer();
                    writer.write_all(b"broken\r\n\r\n").unwrap();
                    writer.flush().unwrap();
                }
            }
        }
    });
    (address, reported)
}

/// An address that refuses connections.
fn closed_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = listener.local_addr().expect("is bound");
    drop(listener);
    assert!(TcpStream::connect(address).is_err());
    format!("http://{address}")
}

fn client(servers: Vec<String>) -> OperatorClient {
    let mut settings = ClientSettings::new(servers, "secret".to_owned());
    settings.pause = Duration::ZERO;
    settings.answer_timeout = Duration::from_secs(2);
    OperatorClient::new(settings)
}

fn applied() -> Reaction {
    let response = v1::ApplyResponse {
        version: 2,
        revision: 3,
    };
    Reaction::Answer(encode_response(PROTOBUF, &response).expect("encodes"))
}

fn change() -> v1::ApplyRequest {
    v1::ApplyRequest {
        operation_id: "op-1".to_owned(),
        ..v1::ApplyRequest::default()
    }
}

#[test]
fn the_next_server_is_asked_when_one_is_down() {
    let (address, _reported) = stub(vec![applied()]);
    let answer = client(vec![closed_address(), address]).apply(&change());
    assert_eq!(answer.map(|answer| answer.version), Ok(2));
}

#[test]
fn the_next_server_is_asked_when_one_cannot_serve() {
    let not_ready = ConnectError::NotReady { retry_after_ms: 1 };
    let (first, _reported_first) = stub(vec![Reaction::Answer(encode_error(&not_ready))]);
    let (second, _reported) = stub(vec![applied()]);
    let answer = client(vec![first, second]).apply(&change());
    assert_eq!(answer.map(|answer| answer.revision), Ok(3));
}

#[test]
fn a_lost_answer_is_resolved_under_the_same_operation() {
    let (address, reported) = stub(vec![Reaction::LoseAnswer, applied()]);
    let answer = client(vec![address]).apply(&change());
    assert_eq!(answer.map(|answer| answer.version), Ok(2));
    let requests: Vec<OperatorRequest> = reported.iter().collect();
    let expected = OperatorRequest::Apply(change());
    assert_eq!(requests, [expected.clone(), expected]);
}

#[test]
fn a_change_that_may_have_arrived_is_never_called_unsent() {
    let (lost, _reported) = stub(vec![Reaction::LoseAnswer]);
    let down = ConnectError::StoreUnavailable { retry_after_ms: 1 };
    let (refusing, _reported_too) = stub(vec![Reaction::Answer(encode_error(&down))]);
    let mut settings = ClientSettings::new(vec![lost, refusing], "secret".to_owned());
    settings.rounds = 1;
    let error = OperatorClient::new(settings).apply(&change()).unwrap_err();
    assert!(
        matches!(error, ClientError::Unavailable { .. }),
        "{error:?}"
    );
    assert!(error.is_outcome_unknown());
}

#[test]
fn a_change_that_no_server_took_is_known_to_be_without_effect() {
    let error = client(vec![closed_address()]).apply(&change()).unwrap_err();
    assert!(
        matches!(error, ClientError::Unreachable { .. }),
        "{error:?}"
    );
    assert!(!error.is_outcome_unknown());
    assert_eq!(client(vec![]).apply(&change()), Err(ClientError::NoServer));
}

#[test]
fn errors_of_the_service_end_the_search() {
    let (address, _reported) = stub(vec![Reaction::Answer(encode_error(
        &ConnectError::Forbidden,
    ))]);
    let error = client(vec![address, closed_address()])
        .apply(&change())
        .unwrap_err();
    match error {
        ClientError::Refused(body) => assert_eq!(body.code, ConnectCode::PermissionDenied),
        other => panic!("{other:?}"),
    }
}

#[test]
fn an_answer_that_is_no_connect_error_gets_the_code_of_its_status() {
    let page = HttpResponse {
        status: 404,
        content_type: "text/html",
        retry_after_seconds: None,
        body: b"<html>".to_vec(),
    };
    let (address, _reported) = stub(vec![Reaction::Answer(page)]);
    match client(vec![address]).status(&v1::StatusRequest {}) {
        Err(ClientError::Refused(body)) => assert_eq!(body.code, ConnectCode::Unimplemented),
        other => panic!("{other:?}"),
    }
}
