//! Files: what the records look like, writing by several threads, merging, errors and `verify`.

mod support;

use std::fs;
use std::io::Write;
use std::path::{Path, PathBuf};

use ridgeworks_history::merge::{merge_files, write_file};
use ridgeworks_history::reader::{HistoryReader, ReadError};
use ridgeworks_history::record::{Event, Record};
use ridgeworks_history::verify::{EXIT_CLEAN, EXIT_FAILED, EXIT_VIOLATIONS, VerifyArguments, run};
use ridgeworks_history::{Bounds, HistoryWriter, verify};
use support::*;

fn arguments(files: &[&Path]) -> VerifyArguments {
    VerifyArguments {
        files: files.iter().map(|file| file.to_path_buf()).collect(),
        seed: Some(4),
        quiet: true,
        context_release_ms: 10_000,
        leaving_ms: 4_000,
        configuration_staleness_ms: 4_000,
    }
}

fn parse(line: &str) -> Record {
    serde_json::from_str(line).unwrap()
}

#[test]
fn records_have_the_documented_form() {
    let line = r#"{"at_us":7,"by":"client-1","event":"call_answered","run":"0000000000000000000000000000002a","call":"c1","outcome":"not_run","retry_after_ms":50}"#;
    let record = parse(line);
    assert_eq!(record.at_us, 7);
    assert_eq!(serde_json::to_string(&record).unwrap(), line);
    let line = r#"{"at_us":8,"by":"engine","event":"backend_executed","backend":"engine-1","run":"0000000000000000000000000000002a","call":"c1","attempt":1,"sequence":3,"cost":12,"answer_digest":"00ff","prior_calls":["a","b"]}"#;
    assert_eq!(serde_json::to_string(&parse(line)).unwrap(), line);
}

#[test]
fn every_generated_record_survives_a_file() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("history");
    let records = valid(1, 5);
    write_file(&path, &records).unwrap();
    let read: Result<Vec<Record>, ReadError> = HistoryReader::open(&path).unwrap().collect();
    assert_eq!(read.unwrap(), records);
}

#[test]
fn unknown_fields_and_events_are_ignored() {
    let record = parse(r#"{"at_us":1,"by":"x","event":"moon_rose","phase":3}"#);
    assert_eq!(record.event, Event::Other);
    let record = parse(r#"{"at_us":1,"by":"x","event":"backend_leaving","backend":"e","why":[]}"#);
    assert_eq!(
        record.event,
        Event::BackendLeaving {
            backend: backend("e")
        }
    );
}

#[test]
fn configuration_values_may_be_any_json() {
    let line = r#"{"at_us":1,"by":"x","event":"config_invoked","operation":"put-1","key":"k","value":{"a":1}}"#;
    let Event::ConfigInvoked { value, .. } = parse(line).event else {
        panic!("another event");
    };
    assert_eq!(value.as_deref(), Some(r#"{"a":1}"#));
}

#[test]
fn errors_name_the_line() {
    let text = "\n{\"at_us\":1,\"by\":\"x\",\"event\":\"other\"}\n{\"at_us\":}\n{\"at_us\":2";
    let results: Vec<_> = HistoryReader::new(text.as_bytes()).collect();
    assert!(results[0].is_ok());
    assert!(matches!(
        results[1],
        Err(ReadError::Malformed { line: 3, .. })
    ));
    assert!(matches!(results[2], Err(ReadError::Torn { line: 4 })));
}

#[test]
fn threads_share_a_writer_and_files_merge_in_order_of_time() {
    let directory = tempfile::tempdir().unwrap();
    let paths: Vec<PathBuf> = ["a", "b"].map(|name| directory.path().join(name)).into();
    for path in &paths {
        let writer = HistoryWriter::append(path, "process").unwrap();
        std::thread::scope(|scope| {
            for _ in 0..4 {
                scope.spawn(|| {
                    for _ in 0..100 {
                        writer
                            .write(Event::BackendLeaving {
                                backend: backend("e"),
                            })
                            .unwrap();
                    }
                });
            }
        });
        let start = writer.now_micros();
        writer
            .write_at(start, in_force(start, start, "node", 1).event)
            .unwrap();
        let read: Result<Vec<Record>, ReadError> = HistoryReader::open(path).unwrap().collect();
        assert!(read.unwrap().is_sorted_by_key(|record| record.at_us));
    }
    let merged = merge_files(&paths, None).unwrap();
    assert_eq!(merged.records.len(), 802);
    assert_eq!(merged.records[0].at_us, 0);
    assert!(merged.records.is_sorted_by_key(|record| record.at_us));
    for record in &merged.records {
        if let Event::ConfigInForce { invoked_at_us, .. } = record.event {
            assert_eq!(invoked_at_us, record.at_us);
        }
    }
}

#[test]
fn a_torn_last_line_is_left_out_and_told() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("history");
    write_file(&path, &valid(1, 2)).unwrap();
    let mut file = fs::OpenOptions::new().append(true).open(&path).unwrap();
    file.write_all(b"{\"at_us\":5,\"by").unwrap();
    let merged = merge_files(std::slice::from_ref(&path), None).unwrap();
    assert_eq!(merged.torn, [path]);
}

#[test]
fn verify_tells_clean_broken_and_unreadable_histories_apart() {
    let directory = tempfile::tempdir().unwrap();
    let path = |name: &str| directory.path().join(name);
    let (good, bad, empty) = (path("good"), path("bad"), path("empty"));
    let records = valid(1, 5);
    write_file(&good, &records).unwrap();
    let stays = |record: &&Record| !matches!(record.event, Event::ContextReleased { .. });
    let broken: Vec<Record> = records.iter().filter(stays).cloned().collect();
    write_file(&bad, &broken).unwrap();
    write_file(&empty, &[]).unwrap();
    assert_eq!(run(&arguments(&[&good])), EXIT_CLEAN);
    assert_eq!(run(&arguments(&[&bad])), EXIT_VIOLATIONS);
    assert_eq!(run(&arguments(&[&empty])), EXIT_FAILED);
    assert_eq!(run(&arguments(&[&path("missing")])), EXIT_FAILED);
    let verdict = verify(&[bad], &Bounds::default(), Some(4)).unwrap();
    let summary: serde_json::Value =
        serde_json::from_str(&verdict.report.summary_line().unwrap()).unwrap();
    assert_eq!(summary["seed"], 4);
    assert_eq!(summary["checks"]["release"], 5);
    assert_eq!(summary["checks"]["order"], 0);
    assert_eq!(summary["violations"], 5);
    assert!(summary["calls"].as_u64().unwrap() >= 20);
    assert!(summary["faults"].is_u64());
}
