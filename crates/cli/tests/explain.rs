//! `explain` over logs of several nodes.

mod support;

use std::io::Write;

use support::{bare_command, finish};
use tempfile::NamedTempFile;

const LOG: &str = r#"
  1.0000 gateway-1 {"time":"2026-09-06T13:32:04.000449120+00:00","level":"WARN","message":"platform store lost","target":"dependency","attributes":{"reason":"no_answer"}}
  1.1000 gateway-2 {"time":"2026-09-06T13:32:04.100000000+00:00","level":"INFO","message":"engine gone","target":"belief","attributes":{"engine":"i-9"}}
  1.2000 gateway-1 {"time":"2026-09-06T13:32:04.200000000+00:00","level":"INFO","message":"attempt failed","target":"attempt","attributes":{"request":"r-1","engine":"i-1","reason":"lost"}}
not a line of the log
  1.3000 gateway-1 {"time":"2026-09-06T13:32:04.300000000+00:00","level":"INFO","message":"request ended","target":"request","attributes":{"request":"r-1","outcome":"refused","reason":"engine_failed","took_ms":150}}
  1.4000 gateway-1 {"time":"2026-09-06T13:32:04.400000000+00:00","level":"INFO","message":"request ended","target":"request","attributes":{"request":"r-2","outcome":"answered","reason":""}}
"#;

fn log_file() -> NamedTempFile {
    let mut file = NamedTempFile::new().expect("a file");
    file.write_all(LOG.as_bytes()).expect("a log");
    file
}

#[test]
fn the_cause_comes_first_and_then_the_timeline_of_its_node() {
    let file = log_file();
    let mut command = bare_command();
    command.args(["explain", "r-1", "--logs"]).arg(file.path());
    let finished = finish(&mut command);
    assert_eq!(finished.status, 0);
    let mut lines = finished.standard_output.lines();
    assert_eq!(lines.next(), Some("r-1: refused engine_failed"));
    let order = ["platform store lost", "attempt failed", "request ended"];
    let places: Vec<usize> = order
        .iter()
        .map(|what| {
            finished
                .standard_output
                .find(what)
                .expect("in the timeline")
        })
        .collect();
    assert!(places.is_sorted());
    assert!(
        !finished.standard_output.contains("i-9"),
        "another node's line: {}",
        finished.standard_output
    );
    assert!(!finished.standard_output.contains("r-2"));
}

/// It tells why an engine that was free did not get the request.
#[test]
fn engines_that_were_passed_over_for_a_drain_are_in_the_timeline() {
    let mut file = NamedTempFile::new().expect("a file");
    let log = r#"
  1.0 g-1 {"time":"2026-09-06T13:32:04.000000000+00:00","level":"INFO","message":"zone drained","target":"belief","attributes":{"zone":"zone-a","revision":9,"engines":3}}
  1.2 g-1 {"time":"2026-09-06T13:32:04.200000000+00:00","level":"INFO","message":"engines of drained zones passed over","target":"attempt","attributes":{"request":"r-1","service":"tools","shut_out":3}}
  1.3 g-1 {"time":"2026-09-06T13:32:04.300000000+00:00","level":"INFO","message":"request ended","target":"request","attributes":{"request":"r-1","outcome":"refused","reason":"zones_drained","took_ms":1}}
"#;
    file.write_all(log.as_bytes()).expect("a log");
    let mut command = bare_command();
    command.args(["explain", "r-1", "--logs"]).arg(file.path());
    let told = finish(&mut command).standard_output;
    for part in [
        "r-1: refused zones_drained",
        "docs/operations/zones.md",
        "zone=zone-a",
        "shut_out=3",
    ] {
        assert!(told.contains(part), "{part} is not in {told}");
    }
}

#[test]
fn json_output_holds_the_same() {
    let file = log_file();
    let mut command = bare_command();
    command
        .args(["--output", "json", "explain", "r-1", "--logs"])
        .arg(file.path());
    let finished = finish(&mut command);
    let json: serde_json::Value = serde_json::from_str(&finished.standard_output).expect("JSON");
    assert_eq!(json["reason"], "engine_failed");
    assert_eq!(json["timeline"].as_array().map(Vec::len), Some(3));
}

#[test]
fn an_unknown_request_and_a_missing_file_have_their_statuses() {
    let file = log_file();
    let mut command = bare_command();
    command.args(["explain", "r-9", "--logs"]).arg(file.path());
    assert_eq!(finish(&mut command).status, 6);
    let mut command = bare_command();
    command.args(["explain", "r-1", "--logs", "/nowhere/at/all"]);
    assert_eq!(finish(&mut command).status, 2);
}

#[test]
fn lines_name_their_node_themselves() {
    let mut file = NamedTempFile::new().expect("a file");
    let line = r#"{"time":"2026-09-06T13:32:04.300000000+00:00","level":"INFO","message":"request ended","target":"request","mdc":{"node":"gateway-7"},"attributes":{"request":"r-1","outcome":"answered","reason":""}}"#;
    writeln!(file, "{line}").expect("a log");
    let mut command = bare_command();
    command.args(["explain", "r-1", "--logs"]).arg(file.path());
    let finished = finish(&mut command);
    assert_eq!(finished.status, 0);
    assert!(finished.standard_output.contains("gateway-7"));
}

#[test]
fn each_refusal_for_a_tenant_s_sake_has_a_meaning() {
    for reason in [
        "no_such_turn",
        "unknown_key",
        "keys_unproven",
        "rate_exceeded",
        "rate_unknown",
    ] {
        let mut file = NamedTempFile::new().expect("a file");
        writeln!(
            file,
            r#"1.0 gateway-1 {{"time":"2026-09-06T13:32:04.400000000+00:00","level":"INFO","message":"request ended","target":"request","attributes":{{"request":"r-1","outcome":"refused","reason":"{reason}"}}}}"#
        )
        .expect("a log");
        let mut command = bare_command();
        command.args(["explain", "r-1", "--logs"]).arg(file.path());
        let finished = finish(&mut command);
        assert_eq!(finished.status, 0);
        let meaning = finished
            .standard_output
            .lines()
            .nth(1)
            .unwrap_or_default()
            .to_owned();
        assert!(
            !meaning.is_empty() && !meaning.starts_with("No meaning"),
            "{reason}: {meaning}"
        );
    }
}

#[test]
fn the_engines_that_ended_under_earlier_tries_are_in_the_timeline_of_the_refused_one() {
    let mut file = NamedTempFile::new().expect("a file");
    let log = r#"
  1.0 g-1 {"time":"2026-09-06T13:32:04.000000000+00:00","level":"WARN","message":"engine ended under a request","target":"attempt","attributes":{"request":"try-1","digest":"00af","engine":"i-7"}}
  1.1 g-1 {"time":"2026-09-06T13:32:04.100000000+00:00","level":"INFO","message":"request ended","target":"request","attributes":{"request":"other","digest":"00b0","outcome":"answered","reason":""}}
  1.3 g-2 {"time":"2026-09-06T13:32:04.300000000+00:00","level":"INFO","message":"request ended","target":"request","attributes":{"request":"try-2","digest":"00af","outcome":"refused","reason":"ends_engines","took_ms":1}}
"#;
    file.write_all(log.as_bytes()).expect("a log");
    let mut command = bare_command();
    command
        .args(["explain", "try-2", "--logs"])
        .arg(file.path());
    let told = finish(&mut command).standard_output;
    for part in [
        "try-2: refused ends_engines",
        "docs/operations/engine-ends.md",
        "request=try-1",
        "engine=i-7",
    ] {
        assert!(told.contains(part), "{part} is not in {told}");
    }
    assert!(!told.contains("other"), "{told}");
}
