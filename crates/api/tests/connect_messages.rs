//! Connect unary calls: both formats for every method, headers, and the wire format of errors.

use std::io::Write;

use flate2::Compression;
use flate2::write::GzEncoder;
use ridgeworks_api::FieldError;
use ridgeworks_api::connect::{
    self, BodyFormat, MAX_REQUEST_BYTES, RequestHead, decode_request, encode_error,
};
use ridgeworks_api::v1::{self, FieldProblem, ObjectKind};
use ridgeworks_api::{
    ConnectCode, ConnectError, ErrorBody, ErrorDetail, OperatorMethod, OperatorRequest,
    OperatorResponse,
};
use ridgeworks_domain::{Refusal, RefusalReason};

const JSON: &str = "application/json";
const PROTOBUF: &str = "application/proto";

fn head_of(content_type: &str) -> RequestHead<'_> {
    RequestHead {
        content_type: Some(content_type),
        ..RequestHead::default()
    }
}

fn class_object() -> v1::Object {
    v1::Object {
        metadata: Some(v1::Metadata {
            kind: ObjectKind::PriorityClass.into(),
            name: "alerts".to_owned(),
            version: u64::MAX,
            partner: "north".to_owned(),
            revision: 12,
        }),
        specification: Some(v1::object::Specification::PriorityClass(
            v1::PriorityClass {
                urgent: true,
                rank: 9,
            },
        )),
    }
}

fn requests() -> Vec<OperatorRequest> {
    let operation_id = "0f".to_owned();
    let kind = ObjectKind::Program.into();
    let name = "planner".to_owned();
    vec![
        OperatorRequest::Apply(v1::ApplyRequest {
            object: Some(class_object()),
            expected_version: 3,
            operation_id: operation_id.clone(),
        }),
        OperatorRequest::Get(v1::GetRequest {
            kind,
            name: name.clone(),
        }),
        OperatorRequest::List(v1::ListRequest { kind }),
        OperatorRequest::Delete(v1::DeleteRequest {
            kind,
            name,
            expected_version: u64::MAX,
            operation_id: operation_id.clone(),
        }),
        OperatorRequest::ProposeShares(v1::ProposeSharesRequest {
            shares: vec![v1::Share {
                partner: "north".to_owned(),
                permille: 1000,
            }],
            expected_version: 0,
            operation_id: operation_id.clone(),
        }),
        OperatorRequest::ConsentShares(v1::ConsentSharesRequest {
            proposal_version: 4,
            operation_id,
        }),
        OperatorRequest::WatchChanges(v1::WatchChangesRequest {
            after_revision: 7,
            timeout_ms: 30_000,
        }),
        OperatorRequest::Status(v1::StatusRequest {}),
        OperatorRequest::NodeStatus(v1::NodeStatusRequest {}),
        OperatorRequest::Drain(v1::DrainRequest {
            node: "a1".to_owned(),
        }),
        OperatorRequest::GetRun(v1::GetRunRequest {
            run: "00".repeat(16),
            after_sequence: 5,
            page_size: 6,
        }),
        OperatorRequest::ListRuns(v1::ListRunsRequest {
            program: "planner".to_owned(),
            state: v1::RunState::Open.into(),
            page_size: 10,
            page_token: "next".to_owned(),
        }),
    ]
}

fn encode_request(content_type: &str, request: &OperatorRequest) -> Vec<u8> {
    macro_rules! encode {
        ($($method:ident),*) => {
            match request {
                $(OperatorRequest::$method(message) => {
                    connect::encode_response(content_type, message).expect("encodes").body
                })*
            }
        };
    }
    encode!(
        Apply,
        Get,
        List,
        Delete,
        ProposeShares,
        ConsentShares,
        WatchChanges,
        Status,
        NodeStatus,
        Drain,
        GetRun,
        ListRuns
    )
}

#[test]
fn every_request_round_trips_through_both_formats() {
    let requests = requests();
    let methods: Vec<OperatorMethod> = requests.iter().map(OperatorRequest::method).collect();
    assert_eq!(methods, OperatorMethod::ALL);
    for request in requests {
        for content_type in [JSON, PROTOBUF] {
            let body = encode_request(content_type, &request);
            let decoded = OperatorRequest::decode(request.method(), &head_of(content_type), &body);
            assert_eq!(decoded.as_ref(), Ok(&request), "{content_type}");
        }
    }
}

fn decode_response(method: OperatorMethod, content_type: &str, body: &[u8]) -> OperatorResponse {
    macro_rules! decode {
        ($($method:ident),*) => {
            match method {
                $(OperatorMethod::$method => OperatorResponse::$method(
                    decode_request(content_type, body).expect("decodes"),
                ),)*
            }
        };
    }
    decode!(
        Apply,
        Get,
        List,
        Delete,
        ProposeShares,
        ConsentShares,
        WatchChanges,
        Status,
        NodeStatus,
        Drain,
        GetRun,
        ListRuns
    )
}

fn responses() -> Vec<OperatorResponse> {
    let (version, revision) = (u64::MAX, 8);
    vec![
        OperatorResponse::Apply(v1::ApplyResponse { version, revision }),
        OperatorResponse::Get(v1::GetResponse {
            object: Some(class_object()),
        }),
        OperatorResponse::List(v1::ListResponse {
            objects: vec![class_object()],
            revision,
        }),
        OperatorResponse::Delete(v1::DeleteResponse { revision }),
        OperatorResponse::ProposeShares(v1::ProposeSharesResponse { version, revision }),
        OperatorResponse::ConsentShares(v1::ConsentSharesResponse {
            version,
            revision,
            in_force: true,
        }),
        OperatorResponse::WatchChanges(v1::WatchChangesResponse {
            changes: vec![v1::Change {
                kind: v1::ChangeKind::Deleted.into(),
                object: Some(class_object()),
            }],
            revision,
            complete: true,
        }),
        OperatorResponse::Status(status()),
        OperatorResponse::NodeStatus(v1::NodeStatusResponse {
            name: "a1".to_owned(),
            ready: true,
            revision: Some(0),
        }),
        OperatorResponse::Drain(v1::DrainResponse {
            node: "a1".to_owned(),
            state: v1::NodeState::Leaving.into(),
        }),
        OperatorResponse::GetRun(v1::GetRunResponse {
            run: Some(v1::RunSummary {
                run: "ab".repeat(16),
                spent: 3,
                ..v1::RunSummary::default()
            }),
            calls: vec![v1::RecordedCall {
                sequence: 1,
                outcome: v1::CallOutcome::NotRun.into(),
                answer: Some(String::new()),
                ..v1::RecordedCall::default()
            }],
            more: true,
        }),
        OperatorResponse::ListRuns(v1::ListRunsResponse {
            runs: vec![v1::RunSummary::default()],
            next_page_token: "next".to_owned(),
        }),
    ]
}

fn status() -> v1::StatusResponse {
    v1::StatusResponse {
        nodes: vec![v1::NodeSummary {
            state: v1::NodeState::Suspect.into(),
            configuration_revision: Some(0),
            ..v1::NodeSummary::default()
        }],
        engines: vec![v1::EngineSummary {
            state: v1::EngineState::Loading.into(),
            slots: 8,
            ..v1::EngineSummary::default()
        }],
        runs: vec![v1::RunCount {
            state: v1::RunState::Open.into(),
            count: 640_000,
        }],
        queues: vec![v1::QueueSummary::default()],
        lag: Some(v1::LagSummary {
            load_ms: Some(0),
            ..v1::LagSummary::default()
        }),
    }
}

#[test]
fn every_response_round_trips_through_both_formats() {
    for (method, answer) in OperatorMethod::ALL.iter().zip(responses()) {
        for content_type in [JSON, PROTOBUF] {
            let encoded = answer.encode(content_type).expect("encodes");
            assert_eq!((encoded.status, encoded.content_type), (200, content_type));
            let decoded = decode_response(*method, content_type, &encoded.body);
            assert_eq!(decoded, answer, "{content_type}");
        }
    }
}

#[test]
fn json_uses_the_names_of_the_protobuf_mapping() {
    let answer = connect::encode_response(JSON, &class_object()).expect("encodes");
    let value: serde_json::Value = serde_json::from_slice(&answer.body).expect("is JSON");
    assert_eq!(value["metadata"]["kind"], "OBJECT_KIND_PRIORITY_CLASS");
    assert_eq!(value["metadata"]["version"], u64::MAX.to_string());
    assert_eq!(value["priorityClass"]["urgent"], true);
}

#[test]
fn an_absent_revision_differs_from_revision_zero() {
    for revision in [None, Some(0)] {
        let sent = v1::NodeStatusResponse {
            revision,
            ..v1::NodeStatusResponse::default()
        };
        for content_type in [JSON, PROTOBUF] {
            let body = connect::encode_response(content_type, &sent).unwrap().body;
            let read: v1::NodeStatusResponse = decode_request(content_type, &body).unwrap();
            assert_eq!(read.revision, revision);
        }
    }
}

#[test]
fn a_path_must_match_a_method_exactly() {
    for method in OperatorMethod::ALL {
        assert_eq!(OperatorMethod::from_path(&method.path()), Ok(*method));
    }
    let wrong = [
        "/ridgeworks.v1.Operator/apply",
        "/ridgeworks.v1.Operator/Apply/",
        "/ridgeworks.v1.Operator/",
        "/Apply",
        "",
    ];
    for path in wrong {
        assert_eq!(
            OperatorMethod::from_path(path),
            Err(ConnectError::UnknownMethod)
        );
    }
}

#[test]
fn invalid_bodies_are_refused_with_typed_errors() {
    let get = |content_type: &str, body: &[u8]| {
        OperatorRequest::decode(OperatorMethod::Get, &head_of(content_type), body)
    };
    let malformed_json = Err(ConnectError::MalformedBody(BodyFormat::Json));
    assert_eq!(get(JSON, b""), malformed_json);
    assert_eq!(get(JSON, b"{"), malformed_json);
    assert_eq!(get(JSON, br#"{"nmae":"x"}"#), malformed_json);
    assert_eq!(get(JSON, br#"{"kind":"OBJECT_KIND_CAR"}"#), malformed_json);
    assert_eq!(
        get(PROTOBUF, &[0xff]),
        Err(ConnectError::MalformedBody(BodyFormat::Protobuf))
    );
    assert_eq!(
        get("text/plain", b"{}"),
        Err(ConnectError::UnsupportedMediaType)
    );
    let long = vec![b' '; MAX_REQUEST_BYTES as usize + 1];
    let limit_bytes = MAX_REQUEST_BYTES;
    assert_eq!(
        get(JSON, &long),
        Err(ConnectError::BodyTooLarge { limit_bytes })
    );
    assert!(get("Application/JSON; charset=utf-8", b"{}").is_ok());
}

#[test]
fn a_negative_budget_is_refused() {
    let body = br#"{"object":{"metadata":{"name":"p"},"program":{"budget":-1}}}"#;
    assert_eq!(
        OperatorRequest::decode(OperatorMethod::Apply, &head_of(JSON), body),
        Err(ConnectError::MalformedBody(BodyFormat::Json))
    );
}

/// Decodes a `Get` request whose body has this content encoding.
fn decode_encoded(encoding: &str, body: &[u8]) -> Result<OperatorRequest, ConnectError> {
    let head = RequestHead {
        content_encoding: Some(encoding),
        ..head_of(JSON)
    };
    OperatorRequest::decode(OperatorMethod::Get, &head, body)
}

fn gzip(body: &[u8]) -> Vec<u8> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::best());
    encoder.write_all(body).expect("compresses");
    encoder.finish().expect("compresses")
}

#[test]
fn compressed_bodies_are_decoded_within_the_size_limit() {
    let body = br#"{"name":"p"}"#;
    let plain = decode_encoded("identity", body);
    assert!(plain.is_ok());
    let compressed = gzip(body);
    assert_eq!(decode_encoded("gzip", &compressed), plain);
    assert_eq!(decode_encoded("GZIP", &compressed), plain);
    let malformed = Err(ConnectError::MalformedBody(BodyFormat::Json));
    assert_eq!(decode_encoded("gzip", body), malformed);
    assert_eq!(
        decode_encoded("gzip", &compressed[..compressed.len() - 9]),
        malformed
    );
    assert_eq!(
        decode_encoded("br", &compressed),
        Err(ConnectError::UnsupportedEncoding)
    );
    let limit_bytes = MAX_REQUEST_BYTES;
    // The truncated end would be malformed, so this error shows that decompression stops at the limit.
    let oversized = gzip(&vec![b' '; 8 << 20]);
    assert!(oversized.len() < MAX_REQUEST_BYTES as usize);
    assert_eq!(
        decode_encoded("gzip", &oversized[..oversized.len() - 9]),
        Err(ConnectError::BodyTooLarge { limit_bytes })
    );
}

#[test]
fn an_unsupported_protocol_version_is_refused() {
    let read = |protocol_version| {
        let head = RequestHead {
            protocol_version,
            ..head_of(JSON)
        };
        OperatorRequest::decode(OperatorMethod::Get, &head, b"{}")
    };
    assert!(read(None).is_ok());
    assert!(read(Some("1")).is_ok());
    assert_eq!(
        read(Some("2")),
        Err(ConnectError::UnsupportedProtocolVersion)
    );
}

#[test]
fn codes_have_the_names_and_http_statuses_of_the_protocol() {
    let expected = [
        ("canceled", 499),
        ("unknown", 500),
        ("invalid_argument", 400),
        ("deadline_exceeded", 504),
        ("not_found", 404),
        ("already_exists", 409),
        ("permission_denied", 403),
        ("resource_exhausted", 429),
        ("failed_precondition", 400),
        ("aborted", 409),
        ("out_of_range", 400),
        ("unimplemented", 501),
        ("internal", 500),
        ("unavailable", 503),
        ("data_loss", 500),
        ("unauthenticated", 401),
    ];
    for (code, (name, status)) in ConnectCode::ALL.into_iter().zip(expected) {
        assert_eq!(serde_json::to_value(code).unwrap(), name);
        assert_eq!(code.http_status(), status);
    }
}

#[test]
fn a_version_conflict_contains_both_versions() {
    let conflict = v1::VersionConflict {
        kind: ObjectKind::Program.into(),
        name: "planner".to_owned(),
        expected_version: 3,
        actual_version: 5,
    };
    let answer = encode_error(&ConnectError::VersionConflict(conflict.clone()));
    assert_eq!((answer.status, answer.content_type), (409, JSON));
    let body: ErrorBody = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(body.code, ConnectCode::Aborted);
    let details: Vec<ErrorDetail> = body.typed_details().collect();
    assert_eq!(details, [ErrorDetail::VersionConflict(conflict)]);
    assert!(!body.is_outcome_unknown());
}

#[test]
fn a_field_error_is_sent_as_a_field_violation() {
    let error = FieldError::new("object.program.budget", FieldProblem::OutOfRange);
    let body = ConnectError::from(error).to_body();
    assert_eq!(body.code, ConnectCode::InvalidArgument);
    let details: Vec<ErrorDetail> = body.typed_details().collect();
    assert_eq!(details, [ErrorDetail::FieldViolation(error.to_violation())]);
}

#[test]
fn only_errors_with_unknown_outcome_are_marked_as_such() {
    let unknown = ConnectError::ChangeOutcomeUnknown {
        retry_after_ms: 1500,
    };
    let answer = encode_error(&unknown);
    assert_eq!(answer.retry_after_seconds, Some(2));
    let body: ErrorBody = serde_json::from_slice(&answer.body).unwrap();
    assert!(body.is_outcome_unknown());
    assert_eq!(body.retry_after_ms(), Some(1500));
    let refused = ConnectError::from(Refusal::permanent(RefusalReason::Unknown)).to_body();
    assert!(refused.is_outcome_unknown());
    let store_down = ConnectError::StoreUnavailable { retry_after_ms: 1 }.to_body();
    assert!(!store_down.is_outcome_unknown());
}

#[test]
fn padded_details_are_decoded_and_unknown_types_are_skipped() {
    let json = br#"{"code":"unavailable","details":[
        {"type":"some.Other","value":"AA"},
        {"type":"ridgeworks.v1.RetryAfter","value":"CAE="}]}"#;
    let body: ErrorBody = serde_json::from_slice(json).unwrap();
    assert_eq!(body.retry_after_ms(), Some(1));
    assert_eq!(body.typed_details().count(), 1);
}
