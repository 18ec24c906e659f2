//! `apply`, `get` and `delete` against a stub node.

mod support;

use std::io::Write;

use ridgeworks_api::v1::{self, ObjectKind};
use ridgeworks_api::{ConnectError, OperatorRequest, OperatorResponse};
use support::{Reaction, StubNode, closed_address, program, run_with_servers};

const TOML: &str = r#"
[[objects]]
metadata = { name = "planner", partner = "north" }
[objects.program]
class = "routine"
services = ["chat"]
budget = 9000
max_calls = 50

[[objects]]
metadata = { name = "alerts", partner = "north" }
[objects.priority_class]
urgent = true
"#;

fn file(extension: &str, text: &str) -> tempfile::NamedTempFile {
    let suffix = format!(".{extension}");
    let builder = tempfile::Builder::new().suffix(&suffix).tempfile();
    let mut file = builder.expect("is created");
    file.write_all(text.as_bytes()).expect("is written");
    file
}

fn apply(node: &StubNode, file: &tempfile::NamedTempFile, more: &[&str]) -> support::Finished {
    let path = file.path().to_str().expect("is text");
    let mut arguments = vec!["apply", "-f", path];
    arguments.extend(more);
    node.run(&arguments)
}

fn not_found(name: &str) -> Reaction {
    Reaction::Fail(ConnectError::ObjectNotFound {
        kind: ObjectKind::Program,
        name: name.to_owned(),
    })
}

fn accepted() -> Reaction {
    Reaction::Answer(OperatorResponse::Apply(v1::ApplyResponse {
        version: 7,
        revision: 17,
    }))
}

/// A node without objects that accepts every change.
fn empty_node() -> StubNode {
    StubNode::start(|_, request| match request {
        OperatorRequest::Get(get) => not_found(&get.name),
        _ => accepted(),
    })
}

/// A node that holds the program of the file in version 4 and accepts every change.
fn node_with(object: v1::Object) -> StubNode {
    StubNode::start(move |_, request| match request {
        OperatorRequest::Get(_) => Reaction::Answer(OperatorResponse::Get(v1::GetResponse {
            object: Some(object.clone()),
        })),
        OperatorRequest::Delete(_) => {
            Reaction::Answer(OperatorResponse::Delete(v1::DeleteResponse { revision: 9 }))
        }
        _ => accepted(),
    })
}

#[test]
fn objects_of_a_file_are_created_in_order() {
    let node = empty_node();
    let finished = apply(&node, &file("toml", TOML), &[]);
    assert_eq!(finished.status, 0, "{finished:?}");
    assert_eq!(
        finished.standard_output,
        "program planner applied, version 7, revision 17\n\
         priority-class alerts applied, version 7, revision 17\n"
    );
    let applied = node.applied();
    assert_eq!(applied.len(), 2);
    assert_eq!(applied[0].expected_version, 0);
    let metadata = applied[0].object.as_ref().unwrap().metadata.as_ref();
    assert_eq!(metadata.unwrap().kind(), ObjectKind::Program);
    assert_ne!(applied[0].operation_id, applied[1].operation_id);
}

#[test]
fn an_object_replaces_the_version_that_was_read() {
    let mut present = program("planner", 4);
    present.metadata.as_mut().unwrap().partner = "south".to_owned();
    let node = node_with(present);
    let json = serde_json::to_string(&program("planner", 0)).unwrap();
    assert_eq!(apply(&node, &file("json", &json), &[]).status, 0);
    assert_eq!(node.applied()[0].expected_version, 4);
}

#[test]
fn an_object_that_is_as_asked_for_is_left_alone() {
    let node = node_with(program("planner", 4));
    let json = serde_json::to_string(&program("planner", 0)).unwrap();
    let finished = apply(&node, &file("json", &json), &["--output", "json"]);
    assert_eq!(finished.status, 0);
    let change = finished.json();
    assert_eq!(change["action"], "unchanged");
    assert_eq!(change["version"], 4);
    assert!(node.applied().is_empty());
}

#[test]
fn a_version_in_the_file_is_the_expected_one() {
    let conflict = v1::VersionConflict {
        kind: ObjectKind::Program.into(),
        name: "planner".to_owned(),
        expected_version: 3,
        actual_version: 4,
    };
    let node = StubNode::failing(ConnectError::VersionConflict(conflict));
    let json = serde_json::to_string(&program("planner", 3)).unwrap();
    let finished = apply(&node, &file("json", &json), &[]);
    assert_eq!(finished.status, 3);
    assert_eq!(
        finished.standard_error,
        "error: \"planner\" has version 4, expected was 3\n"
    );
    assert_eq!(node.applied()[0].expected_version, 3);
}

#[test]
fn what_get_prints_can_be_applied() {
    let list = v1::ListResponse {
        objects: vec![program("a", 2), program("b", 3)],
        revision: 13,
    };
    let node = StubNode::answering(OperatorResponse::List(list));
    let printed = node.run(&["get", "programs", "--output", "json"]);
    let taking = empty_node();
    let finished = apply(&taking, &file("json", &printed.standard_output), &[]);
    assert_eq!(finished.status, 0, "{finished:?}");
    let versions: Vec<u64> = taking
        .applied()
        .iter()
        .map(|request| request.expected_version)
        .collect();
    assert_eq!(versions, [2, 3]);
}

#[test]
fn a_lost_answer_is_resolved_under_the_same_operation() {
    let node = StubNode::start(|number, request| match request {
        OperatorRequest::Get(get) => not_found(&get.name),
        _ if number == 1 => Reaction::LoseAnswer,
        _ => accepted(),
    });
    let json = serde_json::to_string(&program("planner", 0)).unwrap();
    let finished = apply(&node, &file("json", &json), &[]);
    assert_eq!(finished.status, 0, "{finished:?}");
    let applied = node.applied();
    assert_eq!(applied.len(), 2);
    assert_eq!(applied[0], applied[1]);
    assert!(!applied[0].operation_id.is_empty());
}

#[test]
fn an_unknown_outcome_names_the_operation_to_repeat() {
    let node = StubNode::start(|_, request| match request {
        OperatorRequest::Get(get) => not_found(&get.name),
        _ => Reaction::LoseAnswer,
    });
    let json = serde_json::to_string(&program("planner", 0)).unwrap();
    let finished = apply(&node, &file("json", &json), &["--output", "json"]);
    assert_eq!(finished.status, 8, "{finished:?}");
    let report: serde_json::Value = serde_json::from_str(&finished.standard_error).unwrap();
    assert_eq!(report["error"]["reason"], "outcome_unknown");
    let operation = report["error"]["operation_id"].as_str().unwrap();

    let repeating = empty_node();
    let more = ["--operation-id", operation];
    assert_eq!(apply(&repeating, &file("json", &json), &more).status, 0);
    assert_eq!(node.applied()[0], repeating.applied()[0]);
}

#[test]
fn a_file_with_a_fault_changes_nothing() {
    let node = empty_node();
    let faulty = TOML.replace("max_calls = 50", "max_calls = 0");
    let finished = apply(&node, &file("toml", &faulty), &[]);
    assert_eq!(finished.status, 7);
    assert!(finished.standard_error.contains("object.program.max_calls"));
    let split = r#"{"metadata":{"name":"pool"},"poolSplit":{}}"#;
    assert_eq!(apply(&node, &file("json", split), &[]).status, 7);

    let unreadable = [
        ("toml", "objects = ["),
        ("json", "{"),
        ("json", r#"{"objects":[]}"#),
        (
            "json",
            r#"{"metadata":{"name":"p"},"program":{"budget":-1}}"#,
        ),
        ("json", r#"{"metadata":{"name":"p"},"programme":{}}"#),
        ("yaml", "objects: []"),
    ];
    for (extension, text) in unreadable {
        let finished = apply(&node, &file(extension, text), &[]);
        assert_eq!(finished.status, 2, "{text}: {finished:?}");
    }
    assert_eq!(node.run(&["apply", "-f", "/no/such/file.toml"]).status, 2);
    assert!(node.requests().is_empty());
}

#[test]
fn the_next_server_is_asked() {
    let down = closed_address();
    let stopping = StubNode::failing(ConnectError::NotReady { retry_after_ms: 1 });
    let serving = node_with(program("planner", 4));
    let servers = [
        down.address.clone(),
        stopping.address.clone(),
        serving.address.clone(),
    ]
    .join(",");
    let finished = run_with_servers(&servers, &["get", "program", "planner"]);
    assert_eq!(finished.status, 0, "{finished:?}");
    assert_eq!(stopping.requests().len(), 1);
}

#[test]
fn objects_are_shown_in_columns_and_json() {
    let node = node_with(program("planner", 4));
    let table = node.run(&["get", "program", "planner"]);
    let lines = table.words();
    let headings = ["KIND", "NAME", "PARTNER", "VERSION", "REVISION", "DETAILS"];
    assert_eq!(lines[0], headings);
    assert_eq!(lines[1][..5], ["program", "planner", "north", "4", "14"]);
    assert!(table.standard_output.contains("budget=9000"));
    let json = node.run(&["get", "program", "planner", "--output", "json"]);
    assert_eq!(
        json.json(),
        serde_json::to_value(program("planner", 4)).unwrap()
    );
}

#[test]
fn a_deletion_expects_the_version_that_was_read_or_given() {
    let node = node_with(program("planner", 4));
    let finished = node.run(&["delete", "program", "planner"]);
    assert_eq!(
        finished.standard_output,
        "program planner deleted, revision 9\n"
    );
    let given = ["delete", "program", "planner", "--expected-version", "2"];
    assert_eq!(node.run(&given).status, 0);
    let expected: Vec<u64> = node
        .requests()
        .iter()
        .filter_map(|request| match request {
            OperatorRequest::Delete(delete) => Some(delete.expected_version),
            _ => None,
        })
        .collect();
    assert_eq!(expected, [4, 2]);
    let absent = empty_node().run(&["delete", "program", "planner"]);
    assert_eq!(absent.status, 6);
}

#[test]
fn the_example_of_the_document_can_be_applied() {
    let document = include_str!("../../../docs/operations/command-line.md");
    let (_, rest) = document.split_once("```toml").expect("has an example");
    let (example, _) = rest.split_once("```").expect("the example ends");
    let node = empty_node();
    let finished = apply(&node, &file("toml", example), &[]);
    assert_eq!(finished.status, 0, "{finished:?}");
    assert_eq!(node.applied().len(), 2);
}
