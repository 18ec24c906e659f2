//! Records of one directory node.

use std::time::Duration;

use ridgeworks_routing::{PrefillDirectory, PrefillRecord, PromptPart};

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn record(engine: u64, last: u64) -> PrefillRecord {
    let part = |hash| PromptPart { hash, tokens: 100 };
    PrefillRecord {
        engine,
        parts: vec![part(1), part(last)],
    }
}

#[test]
fn the_newest_record_is_found() {
    let mut directory = PrefillDirectory::default();
    directory.insert(record(7, 100), at(1));
    directory.insert(record(8, 100), at(2));
    assert_eq!(directory.find(100, at(2)), Some(&record(8, 100)));
    assert_eq!(directory.find(101, at(2)), None);
}

#[test]
fn a_failure_replaces_its_engine_s_record_until_the_next_prefill() {
    let mut directory = PrefillDirectory::default();
    let failed =
        |engine| PrefillRecord::failed(engine, &record(engine, 100).parts).expect("a part");
    assert!(failed(7).is_failure() && !record(7, 100).is_failure());
    directory.insert(record(7, 100), at(1));
    directory.insert(failed(7), at(2));
    assert_eq!(directory.find(100, at(2)), Some(&failed(7)));
    directory.insert(record(8, 100), at(3));
    // The failure arrives late: another engine has the prompt by now.
    directory.insert(failed(7), at(4));
    assert_eq!(directory.find(100, at(4)), Some(&record(8, 100)));
}

#[test]
fn a_prompt_without_a_part_of_its_own_has_no_failure_record() {
    let shared = [PromptPart {
        hash: 1,
        tokens: 100,
    }];
    assert_eq!(PrefillRecord::failed(7, &shared), None);
}

#[test]
fn an_old_record_expires_unless_it_is_written_again() {
    let mut directory = PrefillDirectory::default();
    directory.insert(record(7, 100), at(0));
    directory.insert(record(7, 200), at(0));
    directory.insert(record(7, 100), at(15));
    assert_eq!(directory.find(200, at(25)), None);
    directory.insert(record(7, 300), at(25));
    assert!(directory.find(100, at(25)).is_some());
    assert_eq!(directory.len(), 2);
}

#[test]
fn the_size_of_the_directory_is_bounded() {
    let mut directory = PrefillDirectory::default();
    for last in 0..20_000 {
        directory.insert(record(7, last), at(1));
    }
    assert!(directory.len() <= 4_096);
    assert!(directory.find(19_999, at(1)).is_some());
}

#[test]
fn prompts_with_too_many_parts_are_not_recorded() {
    let mut directory = PrefillDirectory::default();
    let parts = (0..100).map(|hash| PromptPart { hash, tokens: 1 });
    directory.insert(
        PrefillRecord {
            engine: 7,
            parts: parts.collect(),
        },
        at(1),
    );
    assert!(directory.is_empty());
}
