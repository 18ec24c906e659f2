//! Exit statuses, the connection's arguments and what is printed about failures.

mod support;

use std::io::Write;

use ridgeworks_api::FieldError;
use ridgeworks_api::v1::{self, FieldProblem, ObjectKind};
use ridgeworks_api::{ConnectError, OperatorResponse};
use ridgeworks_domain::{Refusal, RefusalReason};
use support::{StubNode, TOKEN, bare_command, closed_address, finish, run_with_servers};

const GET: [&str; 3] = ["get", "program", "planner"];

#[test]
fn each_failure_has_its_status() {
    let kind = ObjectKind::Program;
    let name = "planner".to_owned();
    let field = FieldError::new("kind", FieldProblem::Missing);
    let retry_after_ms = 1;
    let expected = [
        (
            ConnectError::VersionConflict(v1::VersionConflict::default()),
            3,
        ),
        (ConnectError::OperationIdReused, 3),
        (ConnectError::Unauthenticated, 4),
        (ConnectError::Forbidden, 4),
        (ConnectError::StoreUnavailable { retry_after_ms }, 5),
        (ConnectError::NotReady { retry_after_ms }, 5),
        (ConnectError::ObjectNotFound { kind, name }, 6),
        (ConnectError::RunNotFound, 6),
        (ConnectError::NodeNotFound, 6),
        (ConnectError::InvalidField(field), 7),
        (ConnectError::NoProposal, 7),
        (ConnectError::StillReferenced, 7),
        (ConnectError::UnencodableResponse, 1),
        (Refusal::permanent(RefusalReason::Forbidden).into(), 4),
    ];
    for (error, status) in expected {
        let node = StubNode::failing(error.clone());
        let finished = node.run(&GET);
        assert_eq!(finished.status, status, "{error:?}: {finished:?}");
        assert_eq!(finished.standard_output, "");
        assert_eq!(finished.standard_error, format!("error: {error}\n"));
    }
}

#[test]
fn a_change_without_a_clear_end_has_a_status_of_its_own() {
    let retry_after_ms = 1;
    let consent = ["shares", "consent", "4"];
    let unknown = StubNode::failing(ConnectError::ChangeOutcomeUnknown { retry_after_ms });
    assert_eq!(unknown.run(&consent).status, 8);
    let unchanged = StubNode::failing(ConnectError::StoreUnavailable { retry_after_ms });
    assert_eq!(unchanged.run(&consent).status, 5);
    let closed = closed_address();
    assert_eq!(run_with_servers(&closed.address, &consent).status, 5);
}

#[test]
fn wrong_arguments_are_usage_errors() {
    for arguments in [
        &["get"][..],
        &["get", "car"],
        &["apply"],
        &["shares", "propose", "north"],
        &["shares", "propose", "north=-1"],
        &["delete", "program"],
    ] {
        let finished = run_with_servers("127.0.0.1:1", arguments);
        assert_eq!(finished.status, 2, "{arguments:?}");
    }
}

#[test]
fn a_server_and_a_token_are_needed() {
    let no_server = finish(bare_command().args(GET).env("RIDGEWORKS_TOKEN", TOKEN));
    assert_eq!(no_server.status, 2);
    assert!(no_server.standard_error.contains("--server"));
    let no_token = finish(bare_command().args(GET).args(["--server", "127.0.0.1:1"]));
    assert_eq!(no_token.status, 2);
    assert!(no_token.standard_error.contains("--token-file"));
}

#[test]
fn a_token_file_goes_before_a_token() {
    let status = OperatorResponse::Status(v1::StatusResponse::default());
    let node = StubNode::answering(status);
    let mut file = tempfile::NamedTempFile::new().expect("is created");
    writeln!(file, "{TOKEN}").expect("is written");
    let mut command = bare_command();
    command
        .args(["status", "--server", &node.address, "--token", "wrong"])
        .arg("--token-file")
        .arg(file.path());
    assert_eq!(finish(&mut command).status, 0);
    let wrong = ["status", "--token", "wrong"];
    assert_eq!(node.run(&wrong).status, 4);
}

#[test]
fn help_lists_the_statuses_and_hides_the_token() {
    let finished = run_with_servers("127.0.0.1:1", &["--help"]);
    assert_eq!(finished.status, 0);
    assert!(finished.standard_output.contains("Exit statuses:"));
    assert!(!finished.standard_output.contains(TOKEN));
}

#[test]
fn completions_need_no_server() {
    for shell in ["bash", "zsh", "fish"] {
        let finished = finish(bare_command().args(["completions", shell]));
        assert_eq!(finished.status, 0);
        assert!(finished.standard_output.contains("ridgeworks"), "{shell}");
    }
}
