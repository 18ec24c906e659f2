//! Where prompts were read last, as one gateway keeps it for all.

use std::time::Duration;

use ridgeworks_routing::{PrefillDirectory, PrefillRecord, PromptPart};

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn read(engine: u64, last: u64) -> PrefillRecord {
    let part = |hash| PromptPart { hash, tokens: 100 };
    PrefillRecord {
        engine,
        parts: vec![part(1), part(last)],
    }
}

#[test]
fn the_last_read_is_found() {
    let mut directory = PrefillDirectory::default();
    directory.insert(read(7, 100), at(1));
    directory.insert(read(8, 100), at(2));
    assert_eq!(directory.find(100, at(2)), Some(&read(8, 100)));
    assert_eq!(directory.find(101, at(2)), None);
}

#[test]
fn a_failure_takes_the_place_of_its_engine_s_read_until_the_next_one() {
    let mut directory = PrefillDirectory::default();
    let failed = |engine| PrefillRecord::failed(engine, &read(engine, 100).parts).expect("a part");
    assert!(failed(7).is_failure() && !read(7, 100).is_failure());
    directory.insert(read(7, 100), at(1));
    directory.insert(failed(7), at(2));
    assert_eq!(directory.find(100, at(2)), Some(&failed(7)));
    directory.insert(read(8, 100), at(3));
    // It comes late: another engine has the prompt by now.
    directory.insert(failed(7), at(4));
    assert_eq!(directory.find(100, at(4)), Some(&read(8, 100)));
}

#[test]
fn a_failure_is_not_told_of_prompts_that_are_shared_whole() {
    let shared = [PromptPart {
        hash: 1,
        tokens: 100,
    }];
    assert_eq!(PrefillRecord::failed(7, &shared), None);
}

#[test]
fn an_old_read_is_forgotten_and_a_repeated_one_is_not() {
    let mut directory = PrefillDirectory::default();
    directory.insert(read(7, 100), at(0));
    directory.insert(read(7, 200), at(0));
    directory.insert(read(7, 100), at(15));
    assert_eq!(directory.find(200, at(25)), None);
    directory.insert(read(7, 300), at(25));
    assert!(directory.find(100, at(25)).is_some());
    assert_eq!(directory.len(), 2);
}

#[test]
fn its_size_is_bounded() {
    let mut directory = PrefillDirectory::default();
    for last in 0..20_000 {
        directory.insert(read(7, last), at(1));
    }
    assert!(directory.len() <= 4_096);
    assert!(directory.find(19_999, at(1)).is_some());
}

#[test]
fn prompts_of_very_many_parts_are_not_kept() {
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
