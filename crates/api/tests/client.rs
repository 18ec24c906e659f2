//! The operators' client against stub servers: failover, lost responses and errors.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use ridgeworks_api::client::{ClientError, ClientSettings, OperatorClient};
use ridgeworks_api::connect::{HttpResponse, RequestHead, encode_error, encode_response};
use ridgeworks_api::{ConnectCode, ConnectError, OperatorMethod, OperatorRequest, v1};

const PROTOBUF: &str = "application/proto";

/// How a stub handles one request.
enum Reaction {
    Respond(HttpResponse),
    /// Reads the request and sends an invalid HTTP response.
    LoseResponse,
}

/// Starts a server that handles one request per reaction and reports the decoded requests.
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
                Reaction::Respond(answer) => {
                    let response =
                        tiny_http::Response::from_data(answer.body).with_status_code(answer.status);
                    request.respond(response).expect("responds");
                }
                Reaction::LoseResponse => {
                    let mut writer = request.into_writer();
                    writer.write_all(b"broken\r\n\r\n").unwrap();
                    writer.flush().unwrap();
                }
            }
        }
    });
    (address, reported)
}

/// Returns an address that refuses connections.
fn closed_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = listener.local_addr().expect("is bound");
    drop(listener);
    assert!(TcpStream::connect(address).is_err());
    format!("http://{address}")
}

fn client(servers: Vec<String>) -> OperatorClient {
    let mut settings = ClientSettings::new(servers, "secret".to_owned());
    settings.round_delay = Duration::ZERO;
    settings.response_timeout = Duration::from_secs(2);
    OperatorClient::new(settings)
}

fn applied() -> Reaction {
    let response = v1::ApplyResponse {
        version: 2,
        revision: 3,
    };
    Reaction::Respond(encode_response(PROTOBUF, &response).expect("encodes"))
}

fn change() -> v1::ApplyRequest {
    v1::ApplyRequest {
        operation_id: "op-1".to_owned(),
        ..v1::ApplyRequest::default()
    }
}

#[test]
fn the_next_server_is_tried_when_one_is_down() {
    let (address, _reported) = stub(vec![applied()]);
    let answer = client(vec![closed_address(), address]).apply(&change());
    assert_eq!(answer.map(|answer| answer.version), Ok(2));
}

#[test]
fn the_next_server_is_tried_when_one_is_unavailable() {
    let not_ready = ConnectError::NotReady { retry_after_ms: 1 };
    let (first, _reported_first) = stub(vec![Reaction::Respond(encode_error(&not_ready))]);
    let (second, _reported) = stub(vec![applied()]);
    let answer = client(vec![first, second]).apply(&change());
    assert_eq!(answer.map(|answer| answer.revision), Ok(3));
}

#[test]
fn a_request_whose_response_is_lost_is_retried_with_the_same_operation_identifier() {
    let (address, reported) = stub(vec![Reaction::LoseResponse, applied()]);
    let answer = client(vec![address]).apply(&change());
    assert_eq!(answer.map(|answer| answer.version), Ok(2));
    let requests: Vec<OperatorRequest> = reported.iter().collect();
    let expected = OperatorRequest::Apply(change());
    assert_eq!(requests, [expected.clone(), expected]);
}

#[test]
fn the_outcome_is_unknown_when_any_server_may_have_received_the_change() {
    let (lost, _reported) = stub(vec![Reaction::LoseResponse]);
    let down = ConnectError::StoreUnavailable { retry_after_ms: 1 };
    let (refusing, _reported_too) = stub(vec![Reaction::Respond(encode_error(&down))]);
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
fn the_outcome_is_known_when_no_server_received_the_change() {
    let error = client(vec![closed_address()]).apply(&change()).unwrap_err();
    assert!(
        matches!(error, ClientError::Unreachable { .. }),
        "{error:?}"
    );
    assert!(!error.is_outcome_unknown());
    assert_eq!(client(vec![]).apply(&change()), Err(ClientError::NoServer));
}

#[test]
fn an_error_other_than_unavailable_is_returned_without_trying_the_next_server() {
    let (address, _reported) = stub(vec![Reaction::Respond(encode_error(
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
fn a_response_without_a_connect_error_gets_the_code_of_its_status() {
    let page = HttpResponse {
        status: 404,
        content_type: "text/html",
        retry_after_seconds: None,
        body: b"<html>".to_vec(),
    };
    let (address, _reported) = stub(vec![Reaction::Respond(page)]);
    match client(vec![address]).status(&v1::StatusRequest {}) {
        Err(ClientError::Refused(body)) => assert_eq!(body.code, ConnectCode::Unimplemented),
        other => panic!("{other:?}"),
    }
}
