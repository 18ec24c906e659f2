//! `timeline` over logs of several nodes.

mod support;

use std::io::Write;

use serde_json::Value;
use support::{Finished, bare_command, finish};
use tempfile::NamedTempFile;

const LOG: &str = r#"
  1.0000 gateway-1 {"time":"2026-09-06T13:32:04.100000000+00:00","level":"INFO","message":"request ended","target":"request","attributes":{"request":"r-1","outcome":"answered","reserve_ms":"12","first_event_ms":"40"}}
  1.1000 gateway-2 {"time":"2026-09-06T13:32:05.900000000+00:00","level":"INFO","message":"request ended","target":"request","attributes":{"request":"r-2","outcome":"answered","reserve_ms":"0","first_event_ms":"0"}}
not a line of the log
  1.2000 storage-1 {"time":"2026-09-06T13:32:06.200000000+00:00","level":"INFO","message":"replica set changed","target":"belief","attributes":{"epoch":"2"}}
  1.3000 storage-1 {"time":"2026-09-06T13:32:06.300000000+00:00","level":"WARN","message":"replica answers late","target":"belief","attributes":{"reads":"81"}}
  1.3500 storage-1 {"time":"2026-09-06T13:32:07.300000000+00:00","level":"WARN","message":"replica answers late","target":"belief","attributes":{"reads":"81"}}
  1.4000 gateway-1 {"time":"2026-09-06T13:32:07.400000000+00:00","level":"INFO","message":"request ended","target":"request","attributes":{"request":"r-3","outcome":"refused","reason":"ledger_unavailable","reserve_ms":"700"}}
  1.5000 gateway-1 {"time":"2026-09-06T13:32:07.500000000+00:00","level":"WARN","message":"no quorum in time","target":"records","attributes":{"request":"r-3"}}
  1.6000 gateway-1 {"time":"2026-09-06T13:32:07.600000000+00:00","level":"INFO","message":"late link to a node kept","target":"dependency","attributes":{"link_ms":"900"}}
"#;

fn timeline(arguments: &[&str]) -> Finished {
    timeline_of(LOG, arguments)
}

fn timeline_of(log: &str, arguments: &[&str]) -> Finished {
    let mut file = NamedTempFile::new().expect("a file");
    file.write_all(log.as_bytes()).expect("a log");
    let mut command = bare_command();
    command.args(arguments).arg("timeline");
    command.arg("--logs").arg(file.path());
    finish(&mut command)
}

#[test]
fn each_interval_counts_what_happened_in_it() {
    let finished = timeline(&["--output", "json"]);
    assert_eq!(finished.status, 0);
    let rows: Value = serde_json::from_str(&finished.standard_output).expect("JSON");
    let [calm, bad] = rows.as_array().expect("a list").as_slice() else {
        panic!("two intervals of two seconds: {rows}");
    };
    assert_eq!(calm["answered"], 2);
    assert_eq!(
        calm["reserve_p90_ms"], 12,
        "a call without a reservation is none"
    );
    assert_eq!(calm["first_event_p50_ms"], 40);
    assert_eq!(calm["set_changes"], 0);
    assert_eq!(bad["refused"], 1);
    assert_eq!(bad["reserve_p50_ms"], 700);
    assert_eq!(bad["no_quorum"], 1);
    assert_eq!(bad["late_links"], 1);
    assert_eq!(bad["late_replicas"], 1, "replicas, not lines");
    assert_eq!(bad["set_changes"], 1);
}

/// One group that is lost or changes concerns its programs only; all of them at once are another cause.
#[test]
fn the_groups_that_lines_name_are_told() {
    let line = |second: u32, message: &str, group: &str| {
        format!(
            r#"{{"time":"2026-09-06T13:32:0{second}.100000000+00:00","level":"WARN","message":"{message}","target":"records","attributes":{{{group}}}}}"#
        )
    };
    let log = [
        line(4, "no quorum in time", r#""group":"5""#),
        line(4, "majority of the replicas lost", r#""group":"3""#),
        line(5, "replica set changed", r#""group":"3""#),
        line(6, "replica set changed", r#""groups":"7""#),
    ];
    let log = log.join("\n");
    let finished = timeline_of(&log, &["--output", "json"]);
    let rows: Value = serde_json::from_str(&finished.standard_output).expect("JSON");
    assert_eq!(rows[0]["groups"], serde_json::json!([3, 5]));
    assert_eq!(rows[1]["groups"], serde_json::json!([]));
    let table = timeline_of(&log, &[]).standard_output;
    let lines: Vec<&str> = table.lines().collect();
    assert!(lines[1].trim_end().ends_with("3,5"), "{table}");
    assert!(lines[2].trim_end().ends_with('-'), "{table}");
}

#[test]
fn the_table_has_a_line_for_each_interval() {
    let finished = timeline(&[]);
    assert_eq!(finished.status, 0);
    assert_eq!(finished.standard_output.lines().count(), 3);
}

#[test]
fn an_interval_of_no_length_is_refused() {
    let mut command = bare_command();
    command.args(["timeline", "--seconds", "0", "--logs", "none"]);
    assert_eq!(finish(&mut command).status, 2);
}

#[test]
fn a_log_that_cannot_be_read_is_named() {
    let mut command = bare_command();
    command.args(["timeline", "--logs", "no-such-file.log"]);
    let finished = finish(&mut command);
    assert_eq!(finished.status, 2);
    assert!(finished.standard_error.contains("no-such-file.log"));
}
