//! `status`, `watch`, `runs`, `shares` and `drain` against a stub node.

mod support;

use ridgeworks_api::{OperatorRequest, OperatorResponse, v1};
use support::{Reaction, StubNode, program};

#[test]
fn status_shows_every_section() {
    let status = v1::StatusResponse {
        nodes: vec![v1::NodeSummary {
            name: "a1".to_owned(),
            zone: "a".to_owned(),
            state: v1::NodeState::Alive.into(),
            incarnation: 2,
            ready: true,
            configuration_revision: None,
            has_disk: true,
            open_runs: 5,
            open_streams: 6,
        }],
        engines: vec![v1::EngineSummary {
            name: "engine-1".to_owned(),
            service: "chat".to_owned(),
            zone: "a".to_owned(),
            state: v1::EngineState::Leaving.into(),
            running: 1,
            queued: 2,
            slots: 8,
        }],
        runs: vec![v1::RunCount {
            state: v1::RunState::Open.into(),
            count: 640_000,
        }],
        queues: vec![v1::QueueSummary {
            service: "chat".to_owned(),
            partner: "north".to_owned(),
            class: "routine".to_owned(),
            length: 3,
            oldest_age_ms: 40,
        }],
        lag: Some(v1::LagSummary {
            load_ms: Some(0),
            ..v1::LagSummary::default()
        }),
    };
    let node = StubNode::answering(OperatorResponse::Status(status.clone()));
    let table = node.run(&["status"]);
    let lines = table.words();
    for expected in [
        &["a1", "a", "alive", "2", "yes", "-", "yes", "5", "6"][..],
        &["engine-1", "chat", "a", "leaving", "1", "2", "8"],
        &["open", "640000"],
        &["chat", "north", "routine", "3", "40"],
        &["cache", "events", "-"],
        &["load", "0"],
    ] {
        assert!(lines.iter().any(|line| line == expected), "{expected:?}");
    }
    let json = node.run(&["status", "--output", "json"]).json();
    assert_eq!(json, serde_json::to_value(status).unwrap());
}

fn change(kind: v1::ChangeKind, object: v1::Object) -> v1::Change {
    v1::Change {
        kind: kind.into(),
        object: Some(object),
    }
}

#[test]
fn watch_goes_on_from_the_last_revision_and_ends_where_asked() {
    let node = StubNode::start(|number, _| {
        let (changes, revision) = match number {
            0 => (vec![change(v1::ChangeKind::Applied, program("a", 1))], 11),
            1 => (vec![], 8),
            _ => (vec![change(v1::ChangeKind::Deleted, program("b", 2))], 12),
        };
        Reaction::Answer(OperatorResponse::WatchChanges(v1::WatchChangesResponse {
            changes,
            revision,
            complete: number == 0,
        }))
    });
    let finished = node.run(&["watch", "--until", "12"]);
    assert_eq!(finished.status, 0, "{finished:?}");
    let lines = finished.words();
    assert_eq!(lines[0][..4], ["11", "applied", "program", "a"]);
    assert_eq!(lines[1][..4], ["12", "deleted", "program", "b"]);
    let asked: Vec<u64> = node
        .requests()
        .iter()
        .filter_map(|request| match request {
            OperatorRequest::WatchChanges(watch) => Some(watch.after_revision),
            _ => None,
        })
        .collect();
    // The second answer came from a node that lags behind; the watch does not go back.
    assert_eq!(asked, [0, 11, 11]);
}

#[test]
fn watch_shows_only_the_asked_kind_as_one_json_line_a_change() {
    let changes = vec![
        change(v1::ChangeKind::Applied, program("a", 1)),
        change(v1::ChangeKind::Applied, v1::Object::default()),
        change(v1::ChangeKind::Applied, program("b", 2)),
    ];
    let answer = v1::WatchChangesResponse {
        changes,
        revision: 12,
        complete: false,
    };
    let node = StubNode::answering(OperatorResponse::WatchChanges(answer));
    let arguments = [
        "watch", "--kind", "program", "--until", "12", "--output", "json",
    ];
    let finished = node.run(&arguments);
    let names: Vec<serde_json::Value> = finished
        .standard_output
        .lines()
        .map(|line| serde_json::from_str::<serde_json::Value>(line).unwrap())
        .map(|change| change["object"]["metadata"]["name"].clone())
        .collect();
    assert_eq!(names, ["a", "b"]);
}

#[test]
fn runs_are_listed_page_after_page_up_to_the_limit() {
    let node = StubNode::start(|number, _| {
        let run = |offset: usize| v1::RunSummary {
            run: format!("{:032x}", number * 2 + offset),
            state: v1::RunState::Open.into(),
            ..v1::RunSummary::default()
        };
        Reaction::Answer(OperatorResponse::ListRuns(v1::ListRunsResponse {
            runs: vec![run(0), run(1)],
            next_page_token: format!("page-{number}"),
        }))
    });
    let arguments = ["runs", "list", "--state", "open", "--limit", "3"];
    let finished = node.run(&arguments);
    assert_eq!(finished.words().len(), 1 + 3, "{finished:?}");
    let tokens: Vec<String> = node
        .requests()
        .into_iter()
        .filter_map(|request| match request {
            OperatorRequest::ListRuns(list) => Some(list.page_token),
            _ => None,
        })
        .collect();
    assert_eq!(tokens, ["", "page-0"]);
}

fn history_page(after_sequence: u64, more: bool) -> Reaction {
    let call = v1::RecordedCall {
        sequence: after_sequence + 1,
        call: "k".to_owned(),
        service: "chat".to_owned(),
        outcome: v1::CallOutcome::NotRun.into(),
        request_digest: "ab12".to_owned(),
        answer_digest: "cd34".to_owned(),
        answer: (after_sequence == 0).then(|| format!("\u{1b}[31m\n{}", "long".repeat(30))),
        ..v1::RecordedCall::default()
    };
    Reaction::Answer(OperatorResponse::GetRun(v1::GetRunResponse {
        run: Some(v1::RunSummary {
            run: "0a".repeat(16),
            program: "planner".to_owned(),
            state: v1::RunState::Closed.into(),
            budget: 10,
            spent: 3,
            ..v1::RunSummary::default()
        }),
        calls: vec![call],
        more,
    }))
}

#[test]
fn a_history_is_read_to_its_end() {
    let node = StubNode::start(|number, request| match request {
        OperatorRequest::GetRun(get) => history_page(get.after_sequence, number % 3 < 2),
        other => panic!("{other:?}"),
    });
    let run = "0a".repeat(16);
    let finished = node.run(&["runs", "history", &run]);
    let lines = finished.words();
    assert_eq!(lines.len(), 2 + 3, "{finished:?}");
    assert!(finished.standard_output.contains("closed, spent 3 of 10"));
    assert_eq!(lines[4], ["3", "k", "chat", "not_run", "0", "ab12", "cd34"]);
    assert!(!finished.standard_output.contains('\u{1b}'));
    assert!(finished.standard_output.contains("longlo…"));
    let json = node
        .run(&["runs", "history", &run, "--output", "json"])
        .json();
    assert_eq!(json["calls"].as_array().map(Vec::len), Some(3));
}

#[test]
fn a_history_that_promises_more_and_gives_nothing_ends() {
    let node = StubNode::answering(OperatorResponse::GetRun(v1::GetRunResponse {
        more: true,
        ..v1::GetRunResponse::default()
    }));
    assert_eq!(node.run(&["runs", "history", "00"]).status, 1);
}

#[test]
fn a_split_is_proposed_and_consented_to() {
    let node = StubNode::start(|_, request| match request {
        OperatorRequest::Get(_) => Reaction::Answer(OperatorResponse::Get(v1::GetResponse {
            object: Some(program("pool", 5)),
        })),
        OperatorRequest::ProposeShares(_) => {
            Reaction::Answer(OperatorResponse::ProposeShares(v1::ProposeSharesResponse {
                version: 6,
                revision: 20,
            }))
        }
        _ => Reaction::Answer(OperatorResponse::ConsentShares(v1::ConsentSharesResponse {
            version: 7,
            revision: 21,
            in_force: true,
        })),
    });
    let proposed = node.run(&["shares", "propose", "north=400", "south=600"]);
    assert_eq!(
        proposed.standard_output,
        "pool-split pool proposed, version 6, revision 20\n"
    );
    let consented = node.run(&["shares", "consent", "6", "--output", "json"]);
    assert_eq!(consented.json()["action"], "in_force");
    match &node.requests()[1..] {
        [
            OperatorRequest::ProposeShares(propose),
            OperatorRequest::ConsentShares(consent),
        ] => {
            assert_eq!(propose.expected_version, 5);
            assert_eq!(propose.shares[0].permille, 400);
            assert_eq!(consent.proposal_version, 6);
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_drained_node_is_named_with_its_state() {
    let answer = v1::DrainResponse {
        node: "a1".to_owned(),
        state: v1::NodeState::Leaving.into(),
    };
    let node = StubNode::answering(OperatorResponse::Drain(answer));
    let finished = node.run(&["drain", "a1"]);
    assert_eq!(finished.standard_output, "node a1 leaving\n");
}
