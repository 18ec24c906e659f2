//! A store in a data folder.

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
fn what_was_written_is_there_after_reopening() {
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
fn a_store_that_is_dropped_commits_what_waits_first() {
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
fn a_forgotten_run_is_gone_and_its_neighbours_stay() {
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
fn entries_are_read_in_pieces_of_bounded_size() {
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
fn visiting_runs_stops_where_the_visitor_breaks() {
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
fn a_data_folder_is_open_once_at_a_time() {
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
fn a_file_that_is_no_store_is_an_error() {
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
fn a_full_queue_refuses_without_waiting() {
    let folder = tempfile::tempdir().expect("folder");
    let settings = StoreSettings {
        max_waiting_batches: 2,
        ..settings(folder.path())
    };
    let store = open(&settings);
    let (entered, held) = crossbeam_channel::bounded::<()>(0);
    let (release, released) = crossbeam_channel::bounded::<()>(0);
    let holding = WriteBatch::new(vec![head(0)], move |_| {
        let _ = entered.send(());
        let _ = released.recv();
    });
    store.submit(holding).expect("taken");
    held.recv().expect("the writer is held");
    let waiting = [submit(&store, vec![head(1)]), submit(&store, vec![head(2)])];
    let refused = WriteBatch::new(vec![head(3)], |_| panic!("must not be called"));
    assert_eq!(store.submit(refused), Err(StoreError::QueueFull));
    drop(release);
    assert!(waiting.iter().all(|outcome| outcome.recv() == Ok(Ok(()))));
    assert_eq!(store.run_head(RunId(3)), Ok(None));
}

#[test]
fn a_creation_that_was_cut_off_is_made_anew() {
    let folder = tempfile::tempdir().expect("folder");
    std::fs::write(folder.path().join("replica.redb.new"), vec![7; 100_000]).expect("write");
    let opened = Store::open(&settings(folder.path())).expect("open");
    assert!(opened.is_new);
    drop(opened);
    assert!(!Store::open(&settings(folder.path())).expect("open").is_new);
}

/// Flips a bit in every copy of `value` that the file holds.
fn damage(path: &std::path::Path, value: &[u8]) {
    let mut file = std::fs::read(path).expect("file");
    let places: Vec<_> = (0..file.len() - value.len())
        .filter(|place| file[*place..].starts_with(value))
        .collect();
    assert!(!places.is_empty());
    places.iter().for_each(|place| file[place + 3] ^= 1);
    std::fs::write(path, file).expect("write");
}

#[test]
fn a_value_that_went_bad_on_the_disk_is_an_error() {
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
    damage(&folder.path().join("replica.redb"), &value);
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
