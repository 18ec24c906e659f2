//! Tests of a store in a data folder.

mod support;

use std::ops::ControlFlow;

use ridgeworks_domain::RunId;
use ridgeworks_storage::{Store, StoreError, StoreOperation, StoreSettings, WriteBatch};
use support::{Contents, settings, submit, write};

fn open(settings: &StoreSettings) -> Store {
    Store::open(settings).expect("open").store
}

fn head(run: u128) -> StoreOperation {
    StoreOperation::PutRunHead {
        run: RunId(run),
        bytes: run.to_be_bytes().to_vec(),
    }
}

fn entry(run: u128, index: u64) -> StoreOperation {
    StoreOperation::PutEntry {
        run: RunId(run),
        index,
        bytes: format!("run {run} entry {index}").into_bytes(),
    }
}

#[test]
fn written_contents_survive_reopening() {
    let folder = tempfile::tempdir().expect("folder");
    let settings = settings(folder.path());
    let operations: Vec<_> = (0..100)
        .flat_map(|index| [head(index.into()), entry(index.into(), 3), entry(1, index)])
        .chain([
            StoreOperation::PutConfiguration {
                key: b"partner/a".to_vec(),
                bytes: vec![1],
            },
            StoreOperation::PutNodeRecord {
                key: b"generation".to_vec(),
                bytes: vec![2],
            },
        ])
        .collect();
    let store = open(&settings);
    assert_eq!(write(&store, operations.clone()), Ok(()));
    drop(store);
    let store = open(&settings);
    let mut expected = Contents::default();
    operations
        .iter()
        .for_each(|operation| expected.apply(operation));
    assert_eq!(Contents::of(&store, 0..100), expected);
    assert_eq!(store.node_record(b"generation"), Ok(Some(vec![2])));
    assert_eq!(store.node_record(b"other"), Ok(None));
    assert_eq!(
        store.run_head(RunId(5)),
        Ok(Some(5_u128.to_be_bytes().to_vec()))
    );
}

#[test]
fn dropping_a_store_commits_queued_batches() {
    let folder = tempfile::tempdir().expect("folder");
    let store = open(&settings(folder.path()));
    let outcomes: Vec<_> = (0..50)
        .map(|index| submit(&store, vec![entry(1, index)]))
        .collect();
    drop(store);
    assert!(outcomes.iter().all(|outcome| outcome.recv() == Ok(Ok(()))));
    let store = open(&settings(folder.path()));
    assert_eq!(
        store
            .entries(RunId(1), 0, usize::MAX)
            .expect("entries")
            .len(),
        50
    );
}

#[test]
fn deleting_a_run_keeps_other_runs() {
    let folder = tempfile::tempdir().expect("folder");
    let store = open(&settings(folder.path()));
    let operations = (1..=3).flat_map(|run| [head(run), entry(run, 0), entry(run, u64::MAX)]);
    assert_eq!(write(&store, operations.collect()), Ok(()));
    assert_eq!(
        write(&store, vec![StoreOperation::DeleteRun { run: RunId(2) }]),
        Ok(())
    );
    let found = Contents::of(&store, 0..5);
    assert_eq!(found.heads.keys().copied().collect::<Vec<_>>(), [1, 3]);
    assert_eq!(found.entries.len(), 4);
    assert_eq!(store.run_head(RunId(2)), Ok(None));
}

#[test]
fn entries_are_read_in_pages_of_bounded_size() {
    let folder = tempfile::tempdir().expect("folder");
    let store = open(&settings(folder.path()));
    let operations = (0..10).map(|index| StoreOperation::PutEntry {
        run: RunId(1),
        index,
        bytes: vec![0; 100],
    });
    assert_eq!(write(&store, operations.collect()), Ok(()));
    let indexes = |first, max_bytes| -> Vec<u64> {
        let entries = store.entries(RunId(1), first, max_bytes).expect("entries");
        entries.iter().map(|entry| entry.index).collect()
    };
    assert_eq!(indexes(0, 350), [0, 1, 2]);
    assert_eq!(indexes(3, 1), [3]);
    assert_eq!(indexes(10, 350), [] as [u64; 0]);
}

#[test]
fn visiting_runs_stops_when_the_visitor_breaks() {
    let folder = tempfile::tempdir().expect("folder");
    let store = open(&settings(folder.path()));
    assert_eq!(write(&store, (0..10).map(head).collect()), Ok(()));
    let mut visited = 0;
    let outcome = store.visit_run_heads(|_, _| {
        visited += 1;
        if visited == 4 {
            ControlFlow::Break(())
        } else {
            ControlFlow::Continue(())
        }
    });
    assert_eq!((outcome, visited), (Ok(()), 4));
}

#[test]
fn a_data_folder_is_opened_by_one_store_at_a_time() {
    let folder = tempfile::tempdir().expect("folder");
    let store = open(&settings(folder.path()));
    let second = Store::open(&settings(folder.path())).map(|_| ());
    assert_eq!(second, Err(StoreError::Locked));
    drop(store);
    open(&settings(folder.path()));
}

#[test]
fn a_data_folder_of_another_node_is_refused() {
    let folder = tempfile::tempdir().expect("folder");
    drop(open(&settings(folder.path())));
    let mut other = settings(folder.path());
    other.node_name = "node-b".to_owned();
    let outcome = Store::open(&other).map(|_| ());
    assert_eq!(outcome, Err(StoreError::ForeignNode("node-a".to_owned())));
}

#[test]
fn opening_a_file_of_another_format_fails() {
    let folder = tempfile::tempdir().expect("folder");
    std::fs::write(folder.path().join("replica.redb"), vec![7; 100_000]).expect("write");
    let outcome = Store::open(&settings(folder.path())).map(|_| ());
    assert!(
        matches!(
            outcome,
            Err(StoreError::Io(_) | StoreError::Corrupted { .. })
        ),
        "{outcome:?}"
    );
}

#[test]
fn a_full_queue_refuses_batches_without_blocking() {
    let folder = tempfile::tempdir().expect("folder");
    let settings = StoreSettings {
        max_queued_batches: 2,
        ..settings(folder.path())
    };
    let store = open(&settings);
    let (entered, blocked) = crossbeam_channel::bounded::<()>(0);
    let (release, released) = crossbeam_channel::bounded::<()>(0);
    let blocking = WriteBatch::new(vec![head(0)], move |_| {
        let _ = entered.send(());
        let _ = released.recv();
    });
    store.submit(blocking).expect("taken");
    blocked.recv().expect("the writer is blocked");
    let waiting = [submit(&store, vec![head(1)]), submit(&store, vec![head(2)])];
    let refused = WriteBatch::new(vec![head(3)], |_| panic!("must not be called"));
    assert_eq!(store.submit(refused), Err(StoreError::QueueFull));
    drop(release);
    assert!(waiting.iter().all(|outcome| outcome.recv() == Ok(Ok(()))));
    assert_eq!(store.run_head(RunId(3)), Ok(None));
}

#[test]
fn an_interrupted_creation_is_repeated() {
    let folder = tempfile::tempdir().expect("folder");
    std::fs::write(folder.path().join("replica.redb.new"), vec![7; 100_000]).expect("write");
    let opened = Store::open(&settings(folder.path())).expect("open");
    assert!(opened.is_new);
    drop(opened);
    assert!(!Store::open(&settings(folder.path())).expect("open").is_new);
}

/// Flips a bit in every copy of `value` in the file.
fn corrupt_value(path: &std::path::Path, value: &[u8]) {
    let mut file = std::fs::read(path).expect("file");
    let positions: Vec<_> = (0..file.len() - value.len())
        .filter(|position| file[*position..].starts_with(value))
        .collect();
    assert!(!positions.is_empty());
    positions
        .iter()
        .for_each(|position| file[position + 3] ^= 1);
    std::fs::write(path, file).expect("write");
}

#[test]
fn reading_a_corrupted_value_fails() {
    let folder = tempfile::tempdir().expect("folder");
    let settings = settings(folder.path());
    let value = b"a value found nowhere else".to_vec();
    let run = RunId(1);
    let key = b"key".to_vec();
    let operations = vec![
        StoreOperation::PutRunHead {
            run,
            bytes: value.clone(),
        },
        StoreOperation::PutEntry {
            run,
            index: 0,
            bytes: value.clone(),
        },
        StoreOperation::PutConfiguration {
            key: key.clone(),
            bytes: value.clone(),
        },
        StoreOperation::PutNodeRecord {
            key: key.clone(),
            bytes: value.clone(),
        },
    ];
    let store = open(&settings);
    assert_eq!(write(&store, operations), Ok(()));
    drop(store);
    corrupt_value(&folder.path().join("replica.redb"), &value);
    let store = open(&settings);
    let corrupted = |error: Option<StoreError>| matches!(error, Some(StoreError::Corrupted { .. }));
    assert!(corrupted(store.run_head(run).err()));
    assert!(corrupted(
        store
            .visit_run_heads(|_, _| ControlFlow::Continue(()))
            .err()
    ));
    assert!(corrupted(store.entries(run, 0, usize::MAX).err()));
    assert!(corrupted(store.configuration().err()));
    assert!(corrupted(store.node_record(&key).err()));
}
