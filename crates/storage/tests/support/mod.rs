//! Simulated disk and helpers shared by the tests of the store.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};
use std::ops::ControlFlow;
use std::sync::{Arc, Mutex, MutexGuard};

use crossbeam_channel::{Receiver, bounded};
use rand::{Rng, RngExt};
use ridgeworks_domain::RunId;
use ridgeworks_storage::{
    Store, StoreCreationId, StoreError, StoreOperation, StoreSettings, WriteBatch,
};

pub const SECTOR_BYTES: usize = 512;

#[derive(Debug, Clone)]
enum Change {
    Write { offset: usize, data: Vec<u8> },
    SetLength(usize),
}

/// Fault of a disk from a chosen change on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The machine stops: every write, resize and sync fails.
    Crash,
    /// Writes and growth fail because the disk is full.
    DiskFull,
    /// Syncing fails.
    SyncFails,
}

#[derive(Debug, Default)]
struct State {
    synced: Vec<u8>,
    current: Vec<u8>,
    unsynced: Vec<Change>,
    changes: u64,
    syncs: u64,
    fault: Option<(u64, Fault)>,
}

/// In-memory disk that tracks unsynced writes.
#[derive(Debug, Clone, Default)]
pub struct SimulatedDisk(Arc<Mutex<State>>);

impl SimulatedDisk {
    pub fn with_contents(image: Vec<u8>) -> Self {
        let disk = Self::default();
        disk.state().synced = image.clone();
        disk.state().current = image;
        disk
    }

    pub fn fail_after(&self, changes: u64, fault: Fault) {
        let at = self.state().changes + changes;
        self.state().fault = Some((at, fault));
    }

    pub fn changes(&self) -> u64 {
        self.state().changes
    }

    pub fn syncs(&self) -> u64 {
        self.state().syncs
    }

    /// Possible contents after a crash: all synced changes and a random part of the others. A write may be
    /// torn between sectors.
    pub fn image_after_crash(&self, random: &mut impl Rng) -> Vec<u8> {
        let state = self.state();
        let mut image = state.synced.clone();
        let keep_probability = [0.0, 0.5, 0.9, 1.0][random.random_range(0..4)];
        for change in &state.unsynced {
            if random.random_bool(keep_probability) {
                apply(&mut image, change);
            } else if let Change::Write { offset, data } = change {
                apply_torn_write(&mut image, *offset, data, random);
            }
        }
        image
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0
            .lock()
            .expect("no test panics while it holds the lock")
    }

    fn change(&self, change: Change) -> Result<()> {
        let mut state = self.state();
        state.begin_change()?;
        if state.active_fault() == Some(Fault::DiskFull) {
            return Err(Error::from(ErrorKind::StorageFull));
        }
        apply(&mut state.current, &change);
        state.unsynced.push(change);
        Ok(())
    }
}

impl State {
    fn active_fault(&self) -> Option<Fault> {
        let (at, fault) = self.fault?;
        (self.changes > at).then_some(fault)
    }

    fn begin_change(&mut self) -> Result<()> {
        self.changes += 1;
        if self.active_fault() == Some(Fault::Crash) {
            return Err(Error::from(ErrorKind::Other));
        }
        Ok(())
    }
}

fn apply(image: &mut Vec<u8>, change: &Change) {
    match change {
        Change::SetLength(length) => image.resize(*length, 0),
        Change::Write { offset, data } => {
            let end = offset + data.len();
            if image.len() < end {
                image.resize(end, 0);
            }
            image[*offset..end].copy_from_slice(data);
        }
    }
}

fn apply_torn_write(image: &mut Vec<u8>, offset: usize, data: &[u8], random: &mut impl Rng) {
    for (index, sector) in data.chunks(SECTOR_BYTES).enumerate() {
        if random.random_bool(0.3) {
            let offset = offset + index * SECTOR_BYTES;
            let data = sector.to_vec();
            apply(image, &Change::Write { offset, data });
        }
    }
}

impl redb::StorageBackend for SimulatedDisk {
    fn len(&self) -> Result<u64> {
        Ok(self.state().current.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<()> {
        let state = self.state();
        let offset = usize::try_from(offset).expect("64 bits");
        let data = state.current.get(offset..offset + out.len());
        out.copy_from_slice(data.ok_or(ErrorKind::UnexpectedEof)?);
        Ok(())
    }

    fn set_len(&self, length: u64) -> Result<()> {
        self.change(Change::SetLength(usize::try_from(length).expect("64 bits")))
    }

    fn sync_data(&self) -> Result<()> {
        let mut state = self.state();
        state.begin_change()?;
        if state.active_fault() == Some(Fault::SyncFails) {
            return Err(Error::from(ErrorKind::Other));
        }
        state.syncs += 1;
        let State {
            synced, unsynced, ..
        } = &mut *state;
        unsynced.drain(..).for_each(|change| apply(synced, &change));
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<()> {
        let offset = usize::try_from(offset).expect("64 bits");
        let data = data.to_vec();
        self.change(Change::Write { offset, data })
    }
}

pub fn settings(directory: &std::path::Path) -> StoreSettings {
    StoreSettings {
        cache_bytes: 1 << 20,
        ..StoreSettings::new(directory, "node-a", StoreCreationId(7))
    }
}

/// Submits a batch; the returned channel receives its outcome.
pub fn submit(store: &Store, operations: Vec<StoreOperation>) -> Receiver<Outcome> {
    let (sender, outcome) = bounded(1);
    let batch = WriteBatch::new(operations, move |outcome| {
        let _ = sender.send(outcome);
    });
    store.submit(batch).expect("the store takes batches");
    outcome
}

pub type Outcome = std::result::Result<(), StoreError>;

/// Submits a batch and waits for its outcome.
pub fn write(store: &Store, operations: Vec<StoreOperation>) -> Outcome {
    submit(store, operations)
        .recv()
        .expect("every batch is answered")
}

/// Length of keys of replicated records in the tests.
pub const RECORD_KEY_BYTES: usize = 1;

/// Contents of a store, except for node records.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Contents {
    pub heads: BTreeMap<u128, Vec<u8>>,
    pub entries: BTreeMap<(u128, u64), Vec<u8>>,
    pub configuration: BTreeMap<Vec<u8>, Vec<u8>>,
    /// Values of the replicated records. The tests write values that begin with their key.
    pub records: BTreeMap<Vec<u8>, Vec<u8>>,
}

impl Contents {
    /// Applies an operation to this model of the store.
    pub fn apply(&mut self, operation: &StoreOperation) {
        match operation.clone() {
            StoreOperation::PutRunHead { run, bytes } => {
                self.heads.insert(run.0, bytes);
            }
            StoreOperation::PutEntry { run, index, bytes } => {
                self.entries.insert((run.0, index), bytes);
            }
            StoreOperation::TruncateEntries { run, from } => {
                self.entries
                    .retain(|(owner, index), _| *owner != run.0 || *index < from);
            }
            StoreOperation::DeleteRun { run } => {
                self.heads.remove(&run.0);
                self.entries.retain(|(owner, _), _| *owner != run.0);
            }
            StoreOperation::PutConfiguration { key, bytes } => {
                self.configuration.insert(key, bytes);
            }
            StoreOperation::DeleteConfiguration { key } => {
                self.configuration.remove(&key);
            }
            StoreOperation::PutRecord { key, bytes } => {
                self.records.insert(key, bytes);
            }
            StoreOperation::DeleteRecord { key } => {
                self.records.remove(&key);
            }
            StoreOperation::PutNodeRecord { .. } => {}
        }
    }

    /// Reads the contents of a store. Reads entries of `runs` only.
    pub fn of(store: &Store, runs: impl Iterator<Item = u128>) -> Self {
        let mut contents = Self::default();
        let visited = store.visit_run_heads(|run, head| {
            contents.heads.insert(run.0, head.to_vec());
            ControlFlow::Continue(())
        });
        visited.expect("heads");
        for run in runs {
            for entry in store.entries(RunId(run), 0, usize::MAX).expect("entries") {
                contents.entries.insert((run, entry.index), entry.bytes);
            }
        }
        for record in store.configuration().expect("configuration") {
            contents.configuration.insert(record.key, record.bytes);
        }
        // Read in pages, as replicas do.
        let mut after = Vec::new();
        loop {
            let page = store.records_after(&after, 3).expect("records");
            let Some(last) = page.last() else {
                break;
            };
            after.clone_from(&last.key);
            for record in page {
                let key = record.bytes[..RECORD_KEY_BYTES].to_vec();
                contents.records.insert(key, record.bytes);
            }
        }
        contents
    }
}
