//! Durability and atomicity of the store under seeded crashes and faults of a simulated disk.

mod support;

use std::path::Path;
use std::thread;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ridgeworks_domain::RunId;
use ridgeworks_storage::{Store, StoreCreationId, StoreError, StoreOperation};
use support::{Contents, Fault, SimulatedDisk, settings, submit, write};

const SCHEDULES: u64 = 2_000;
const THREADS: u64 = 3;
const RUNS: u128 = 4;
const BATCHES: usize = 12;
const MAX_OPERATIONS: usize = 6;
const MAX_VALUE_BYTES: usize = 6_000;
const MAX_BATCHES_IN_FLIGHT: usize = 4;
const MAX_CHANGES_BEFORE_CRASH: u64 = 120;

fn random_operation(random: &mut ChaCha8Rng) -> StoreOperation {
    let run = RunId(random.random_range(0..RUNS));
    let index = random.random_range(0..8);
    let key = vec![random.random_range(0..3)];
    let length = random.random_range(0..MAX_VALUE_BYTES);
    let bytes = vec![random.random(); length];
    match random.random_range(0..15) {
        0..=1 => StoreOperation::PutRunHead { run, bytes },
        2..=7 => StoreOperation::PutEntry { run, index, bytes },
        8 => StoreOperation::TruncateEntries { run, from: index },
        9 => StoreOperation::DeleteRun { run },
        10 => StoreOperation::PutConfiguration { key, bytes },
        12..=13 => {
            let bytes = [key.clone(), bytes].concat();
            StoreOperation::PutRecord { key, bytes }
        }
        14 => StoreOperation::DeleteRecord { key },
        _ => StoreOperation::DeleteConfiguration { key },
    }
}

fn random_batch(random: &mut ChaCha8Rng) -> Vec<StoreOperation> {
    let count = random.random_range(1..=MAX_OPERATIONS);
    (0..count).map(|_| random_operation(random)).collect()
}

/// Contents after each prefix of the batches; the first prefix is empty.
fn prefixes(batches: &[Vec<StoreOperation>]) -> Vec<Contents> {
    let mut prefixes = vec![Contents::default()];
    for batch in batches {
        let mut next = prefixes[prefixes.len() - 1].clone();
        batch.iter().for_each(|operation| next.apply(operation));
        prefixes.push(next);
    }
    prefixes
}

/// Submits batches until the disk fails. Returns the numbers of submitted and of acknowledged batches.
fn write_until_failure(
    store: &Store,
    batches: &[Vec<StoreOperation>],
    random: &mut ChaCha8Rng,
) -> (usize, usize) {
    let (mut submitted, mut acknowledged) = (0, 0);
    while submitted < batches.len() {
        let batch_count = random.random_range(1..=MAX_BATCHES_IN_FLIGHT);
        let batch_count = batch_count.min(batches.len() - submitted);
        let in_flight = &batches[submitted..submitted + batch_count];
        let outcomes: Vec<_> = in_flight
            .iter()
            .map_while(|batch| {
                let (sender, outcome) = crossbeam_channel::bounded(1);
                let batch = ridgeworks_storage::WriteBatch::new(batch.clone(), move |result| {
                    let _ = sender.send(result);
                });
                store.submit(batch).ok().map(|()| outcome)
            })
            .collect();
        submitted += outcomes.len();
        // Batches submitted before a refused one may still succeed.
        let refused = outcomes.len() < batch_count;
        let mut failed = false;
        for outcome in outcomes {
            match outcome.recv().expect("every batch is answered") {
                Ok(()) => {
                    assert!(!failed, "acknowledged after a failure");
                    acknowledged += 1;
                }
                Err(_) => failed = true,
            }
        }
        if failed || refused {
            break;
        }
    }
    (submitted, acknowledged)
}

/// Opens the store, after a random number of further crashes during the repair.
fn reopen(mut image: Vec<u8>, random: &mut ChaCha8Rng) -> Store {
    while !image.is_empty() && random.random_bool(0.3) {
        let disk = SimulatedDisk::with_contents(image);
        disk.fail_after(random.random_range(0..20), Fault::Crash);
        let _ = Store::open_with_backend(&settings(Path::new("")), disk.clone());
        image = disk.image_after_crash(random);
    }
    let opened = Store::open_with_backend(
        &settings(Path::new("")),
        SimulatedDisk::with_contents(image),
    );
    opened.expect("the store opens after a crash").store
}

#[derive(Debug, Default)]
struct Totals {
    crashed_while_opening: u64,
    crashed_while_writing: u64,
    unacknowledged_kept: u64,
}

impl Totals {
    fn add(self, other: Self) -> Self {
        Self {
            crashed_while_opening: self.crashed_while_opening + other.crashed_while_opening,
            crashed_while_writing: self.crashed_while_writing + other.crashed_while_writing,
            unacknowledged_kept: self.unacknowledged_kept + other.unacknowledged_kept,
        }
    }
}

fn run_schedules(first: u64) -> Totals {
    let mut totals = Totals::default();
    for seed in (first..SCHEDULES).step_by(THREADS as usize) {
        run_schedule(seed, &mut totals);
    }
    totals
}

fn run_schedule(seed: u64, totals: &mut Totals) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let batches: Vec<_> = (0..BATCHES).map(|_| random_batch(&mut random)).collect();
    let disk = SimulatedDisk::default();
    disk.fail_after(
        random.random_range(0..MAX_CHANGES_BEFORE_CRASH),
        Fault::Crash,
    );
    let opened = Store::open_with_backend(&settings(Path::new("")), disk.clone());
    let was_created = opened.is_ok();
    let (submitted, acknowledged) = match opened {
        Ok(opened) => write_until_failure(&opened.store, &batches, &mut random),
        Err(_) => {
            totals.crashed_while_opening += 1;
            (0, 0)
        }
    };
    // A file whose creation was interrupted still has its temporary name and is created again.
    let image = match was_created {
        true => disk.image_after_crash(&mut random),
        false => Vec::new(),
    };
    let store = reopen(image, &mut random);
    let found = Contents::of(&store, 0..RUNS);
    let prefixes = prefixes(&batches);
    let matches: Vec<usize> = (acknowledged..=submitted)
        .filter(|count| prefixes[*count] == found)
        .collect();
    assert!(
        !matches.is_empty(),
        "seed {seed}: {acknowledged} of {submitted} batches acknowledged, no such prefix found"
    );
    totals.crashed_while_writing += u64::from(acknowledged < submitted);
    totals.unacknowledged_kept += u64::from(matches[0] > acknowledged);
}

#[test]
fn acknowledged_batches_survive_and_others_are_all_or_nothing() {
    let totals = thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|first| scope.spawn(move || run_schedules(first)))
            .collect();
        let thread_totals = threads
            .into_iter()
            .map(|thread| thread.join().expect("schedules hold"));
        thread_totals.fold(Totals::default(), Totals::add)
    });
    println!("{SCHEDULES} schedules: {totals:?}");
    assert!(totals.crashed_while_opening > 20, "{totals:?}");
    assert!(totals.crashed_while_writing > SCHEDULES / 3, "{totals:?}");
    assert!(totals.unacknowledged_kept > 5, "{totals:?}");
}

#[test]
fn a_new_store_is_reported_as_new_and_keeps_its_identity() {
    let disk = SimulatedDisk::default();
    let opened = Store::open_with_backend(&settings(Path::new("")), disk.clone()).expect("open");
    assert!(opened.is_new);
    assert_eq!(opened.store.identity().creation_id, StoreCreationId(7));
    let mut random = ChaCha8Rng::seed_from_u64(0);
    let image = disk.image_after_crash(&mut random);
    let mut later = settings(Path::new(""));
    later.new_creation_id = StoreCreationId(8);
    let opened =
        Store::open_with_backend(&later, SimulatedDisk::with_contents(image)).expect("open");
    assert!(!opened.is_new);
    assert_eq!(opened.store.identity().creation_id, StoreCreationId(7));
}

fn entry(index: u64) -> Vec<StoreOperation> {
    entry_of(index, 2_000)
}

fn entry_of(index: u64, length: usize) -> Vec<StoreOperation> {
    vec![StoreOperation::PutEntry {
        run: RunId(1),
        index,
        bytes: vec![5; length],
    }]
}

fn assert_failure_is_final(fault: Fault, expected: &StoreError) {
    let disk = SimulatedDisk::default();
    let store = Store::open_with_backend(&settings(Path::new("")), disk.clone())
        .expect("open")
        .store;
    assert_eq!(write(&store, entry(0)), Ok(()));
    disk.fail_after(0, fault);
    let outcome = (1..).find_map(|index| write(&store, entry(index)).err());
    assert_eq!(outcome.as_ref(), Some(expected));
    let late = ridgeworks_storage::WriteBatch::new(entry(9), |_| panic!("must not be called"));
    assert_eq!(store.submit(late), Err(StoreError::FailedBefore));
}

#[test]
fn a_failed_sync_is_never_acknowledged_and_is_final() {
    let expected = StoreError::Io(std::io::ErrorKind::Other);
    assert_failure_is_final(Fault::SyncFails, &expected);
}

#[test]
fn a_full_disk_has_its_own_error_and_is_final() {
    assert_failure_is_final(Fault::DiskFull, &StoreError::DiskFull);
}

#[test]
fn queued_batches_share_one_commit() {
    const WAITING: u64 = 500;
    const SMALL: usize = 20;
    let disk = SimulatedDisk::default();
    let store = Store::open_with_backend(&settings(Path::new("")), disk.clone())
        .expect("open")
        .store;
    // Growing the file adds syncs, so neither of the two commits whose syncs are counted may grow it. Pages are copied on
    // write, so writing all entries twice allocates the space that these commits need.
    for _ in 0..2 {
        let all = (0..WAITING).flat_map(|index| entry_of(index, SMALL));
        assert_eq!(write(&store, all.collect()), Ok(()));
    }
    let syncs_before = disk.syncs();
    assert_eq!(write(&store, entry_of(0, SMALL)), Ok(()));
    let syncs_per_commit = disk.syncs() - syncs_before;
    let (entered, blocked) = crossbeam_channel::bounded::<()>(0);
    let (release, released) = crossbeam_channel::bounded::<()>(0);
    let blocking = ridgeworks_storage::WriteBatch::new(entry_of(0, SMALL), move |_| {
        let _ = entered.send(());
        let _ = released.recv();
    });
    store.submit(blocking).expect("taken");
    blocked.recv().expect("the writer is blocked");
    let syncs_before = disk.syncs();
    let outcomes: Vec<_> = (0..WAITING)
        .map(|index| submit(&store, entry_of(index, SMALL)))
        .collect();
    drop(release);
    for outcome in outcomes {
        assert_eq!(outcome.recv().expect("answered"), Ok(()));
    }
    assert_eq!(disk.syncs() - syncs_before, syncs_per_commit);
    let counters = store.counters().snapshot();
    assert_eq!((counters.commits, counters.batches), (5, WAITING + 4));
}
