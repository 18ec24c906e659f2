//! Routes, headers, bodies and refusals of the callers' interface.

use std::collections::BTreeSet;
use std::time::Duration;

use ridgeworks_api::caller::{
    CallHeaders, CallerRoute, OpenRunRequest, ServiceCallRequest, bearer_token,
};
use ridgeworks_api::caller_error::{CallerRefusal, Outcome};
use ridgeworks_api::chat::ChatCompletionRequest;
use ridgeworks_api::connect_error::refusal_code;
use ridgeworks_domain::{
    Cost, InvalidRequest, Refusal, RefusalReason, RunId, Sequence, ServiceName,
};

/// All refusal reasons with their status, error type and error code.
fn expected_mapping() -> Vec<(RefusalReason, u16, &'static str, &'static str)> {
    use RefusalReason::{
        BackendRefused, BudgetExceeded, CallKeyConflict, ConfigurationStale, DeadlineCannotBeMet,
        Forbidden, InvalidRequest as Invalid, NoBackend, NoQuorum, NodeStopping, NotOwner,
        QueueFull, RunClosed, SequenceGap, SequencePassed, TooManyRequests, Unauthenticated,
        Unknown, UnknownProgram, UnknownRun, UnknownService,
    };
    use ridgeworks_domain::InvalidRequest as Cause;
    let field = || "f".to_owned();
    let expected = Sequence(4);
    let invalid = "invalid_request_error";
    let unavailable = "service_unavailable_error";
    let limit_bytes = 9;
    let remaining = Cost(7);
    vec![
        (
            Invalid(Cause::BodyTooLarge { limit_bytes }),
            413,
            invalid,
            "body_too_large",
        ),
        (
            Invalid(Cause::BodyIncomplete),
            400,
            invalid,
            "body_incomplete",
        ),
        (Invalid(Cause::Malformed), 400, invalid, "malformed_body"),
        (
            Invalid(Cause::MissingField { field: field() }),
            400,
            invalid,
            "missing_field",
        ),
        (
            Invalid(Cause::InvalidField { field: field() }),
            400,
            invalid,
            "invalid_field",
        ),
        (
            Invalid(Cause::UnknownRoute),
            404,
            "not_found_error",
            "unknown_route",
        ),
        (
            Unauthenticated,
            401,
            "authentication_error",
            "invalid_token",
        ),
        (Forbidden, 403, "permission_error", "forbidden"),
        (UnknownProgram, 404, "not_found_error", "unknown_program"),
        (UnknownService, 404, "not_found_error", "unknown_service"),
        (UnknownRun, 404, "not_found_error", "unknown_run"),
        (RunClosed, 409, "conflict_error", "run_closed"),
        (CallKeyConflict, 409, "conflict_error", "call_key_conflict"),
        (
            SequenceGap { expected },
            409,
            "conflict_error",
            "sequence_gap",
        ),
        (
            SequencePassed { expected },
            409,
            "conflict_error",
            "sequence_passed",
        ),
        (
            BudgetExceeded { remaining },
            402,
            "insufficient_quota",
            "budget_exceeded",
        ),
        (
            DeadlineCannotBeMet,
            503,
            unavailable,
            "deadline_cannot_be_met",
        ),
        (QueueFull, 429, "rate_limit_error", "queue_full"),
        (NoBackend, 503, unavailable, "no_backend"),
        (BackendRefused, 502, unavailable, "backend_refused"),
        (NodeStopping, 503, unavailable, "node_stopping"),
        (ConfigurationStale, 503, unavailable, "configuration_stale"),
        (NoQuorum, 503, unavailable, "no_quorum"),
        (NotOwner, 503, unavailable, "not_owner"),
        (
            TooManyRequests,
            429,
            "rate_limit_error",
            "too_many_requests",
        ),
        (Unknown, 504, "outcome_unknown_error", "outcome_unknown"),
    ]
}

#[test]
fn each_refusal_reason_has_its_own_status_type_code_and_outcome() {
    let mut codes = BTreeSet::new();
    for (reason, status, error_type, code) in expected_mapping() {
        let answer = CallerRefusal::from(&Refusal::permanent(reason.clone()));
        let json = serde_json::to_value(&answer.body).unwrap();
        assert_eq!(answer.status, status, "{reason:?}");
        assert_eq!(json["error"]["type"], error_type, "{reason:?}");
        assert_eq!(json["error"]["code"], code, "{reason:?}");
        let outcome = if reason == RefusalReason::Unknown {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        assert_eq!(answer.body.error.outcome, outcome, "{reason:?}");
        assert!(!answer.should_retry);
        assert!(refusal_code(&reason).http_status() >= 400);
        assert!(codes.insert(code), "{code} is used twice");
    }
}

#[test]
fn a_refusal_contains_the_retry_delay_the_parameter_and_the_expected_sequence() {
    let delay = Duration::from_millis(2001);
    let busy = Refusal::retry_after(RefusalReason::QueueFull, delay);
    let answer = CallerRefusal::from(&busy);
    assert_eq!(answer.retry_after_seconds, Some(3));
    assert_eq!(answer.body.error.retry_after_ms, Some(2001));
    assert!(answer.should_retry);

    let field = "x-ridgeworks-run".to_owned();
    let missing = InvalidRequest::MissingField { field };
    let answer = CallerRefusal::from(&Refusal::permanent(RefusalReason::InvalidRequest(missing)));
    assert_eq!(answer.body.error.param.as_deref(), Some("x-ridgeworks-run"));

    let expected = Sequence(4);
    let gap = Refusal::permanent(RefusalReason::SequenceGap { expected });
    assert_eq!(
        CallerRefusal::from(&gap).body.error.expected_sequence,
        Some(expected)
    );
}

#[test]
fn routes_round_trip_through_method_and_path() {
    let routes = [
        CallerRoute::OpenRun,
        CallerRoute::CloseRun(RunId(7)),
        CallerRoute::RunHistory(RunId(u128::MAX)),
        CallerRoute::ChatCompletions,
        CallerRoute::ServiceCall(ServiceName::new("seats").unwrap()),
    ];
    for route in routes {
        let read = CallerRoute::from_request(route.method(), &route.path());
        assert_eq!(read, Ok(route));
    }
    let unknown = Err(InvalidRequest::UnknownRoute);
    assert_eq!(CallerRoute::from_request("GET", "/v1/runs"), unknown);
    assert_eq!(CallerRoute::from_request("POST", "/v1/runs/"), unknown);
    assert_eq!(CallerRoute::from_request("POST", "v1/runs"), unknown);
    assert_eq!(
        CallerRoute::from_request("POST", "/v1/runs/xyz/close"),
        Err(InvalidRequest::InvalidField {
            field: "run".to_owned()
        })
    );
}

#[test]
fn missing_and_invalid_headers_are_reported_by_name() {
    let run = RunId(5).to_string();
    let read = |headers: &[(&str, &str)]| {
        CallHeaders::read(|name| {
            let found = headers.iter().find(|(header, _)| *header == name);
            found.map(|(_, value)| *value)
        })
    };
    let least = [
        ("x-ridgeworks-run", run.as_str()),
        ("x-ridgeworks-call", "k1"),
        ("x-ridgeworks-sequence", "1"),
    ];
    let headers = read(&least).unwrap();
    assert_eq!((headers.run, headers.sequence), (RunId(5), Sequence(1)));
    assert!(!headers.repeatable, "at most one execution by default");
    assert_eq!(headers.deadline_ms, None);
    for missing in 0..least.len() {
        let mut fewer = least.to_vec();
        let field = fewer.remove(missing).0.to_owned();
        assert_eq!(read(&fewer), Err(InvalidRequest::MissingField { field }));
    }
    for (header, value) in [
        ("x-ridgeworks-deadline-ms", "-1"),
        ("x-ridgeworks-repeatable", "yes"),
    ] {
        let mut more = least.to_vec();
        more.push((header, value));
        let field = header.to_owned();
        assert_eq!(read(&more), Err(InvalidRequest::InvalidField { field }));
    }
}

#[test]
fn only_the_bearer_scheme_yields_a_token() {
    assert_eq!(bearer_token("Bearer abc"), Some("abc"));
    assert_eq!(bearer_token("bearer  abc "), Some("abc"));
    for wrong in ["", "abc", "Basic abc", "Bearer", "Bearer "] {
        assert_eq!(bearer_token(wrong), None);
    }
}

#[test]
fn bodies_preserve_pass_through_fields_and_reject_misspelt_ones() {
    let run = RunId(1).to_string();
    let text =
        format!(r#"{{"run":"{run}","call":"k","sequence":2,"arguments":{{"b": 1,  "a":1.50}}}}"#);
    let call: ServiceCallRequest = serde_json::from_str(&text).unwrap();
    assert_eq!(call.arguments.get(), r#"{"b": 1,  "a":1.50}"#);
    assert!(!call.repeatable);

    let misspelt = r#"{"program":"p","parnet":"00"}"#;
    assert!(serde_json::from_str::<OpenRunRequest>(misspelt).is_err());

    let chat = r#"{"model":"m","messages":[{"role":"user","content":"hi","name":"n"}],
        "max_tokens":5,"temperature":0.5,"stream":true}"#;
    let request: ChatCompletionRequest = serde_json::from_str(chat).unwrap();
    assert_eq!(request.max_output_tokens(), Some(5));
    let sent = serde_json::to_value(&request).unwrap();
    assert_eq!(
        sent,
        serde_json::from_str::<serde_json::Value>(chat).unwrap()
    );
}
