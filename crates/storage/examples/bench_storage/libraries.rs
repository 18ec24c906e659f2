//! Common interface to the benchmarked storage libraries.

use std::path::Path;
use std::thread::{self, JoinHandle};

use crossbeam_channel::{Receiver, Sender, unbounded};
use fjall::{Database, Keyspace, KeyspaceCreateOptions, PersistMode};
use ridgeworks_domain::RunId;
use ridgeworks_storage::{Store, StoreCreationId, StoreOperation, StoreSettings, WriteBatch};

const CACHE_BYTES: u64 = 32 * 1024 * 1024;

/// An entry to append and the new head of its run.
pub struct Append {
    pub run: u128,
    pub index: u64,
    pub entry: Vec<u8>,
    pub head: Vec<u8>,
    pub durable: Sender<()>,
}

/// A log with group commit.
pub trait Log: Send + Sync {
    /// Queues appends that become durable together.
    fn append(&self, appends: Vec<Append>);
    /// Number of commits so far.
    fn commits(&self) -> u64;
    /// Reads and counts all heads.
    fn count_heads(&self) -> usize;
}

/// The store of this crate, based on redb.
pub struct RedbLog(Store);

impl RedbLog {
    pub fn open(folder: &Path) -> Self {
        let settings = StoreSettings::new(folder, "bench", StoreCreationId(1));
        Self(Store::open(&settings).expect("open").store)
    }
}

impl Log for RedbLog {
    fn append(&self, appends: Vec<Append>) {
        let mut operations = Vec::with_capacity(2 * appends.len());
        let mut durable = Vec::with_capacity(appends.len());
        for append in appends {
            let run = RunId(append.run);
            operations.push(StoreOperation::PutRunHead {
                run,
                bytes: append.head,
            });
            operations.push(StoreOperation::PutEntry {
                run,
                index: append.index,
                bytes: append.entry,
            });
            durable.push(append.durable);
        }
        let batch = WriteBatch::new(operations, move |outcome| {
            outcome.expect("durable");
            durable
                .iter()
                .for_each(|sender| sender.send(()).expect("waits"));
        });
        self.0.submit(batch).expect("taken");
    }

    fn commits(&self) -> u64 {
        self.0.counters().snapshot().commits
    }

    fn count_heads(&self) -> usize {
        let mut heads = 0;
        let visited = self.0.visit_run_heads(|_, _| {
            heads += 1;
            std::ops::ControlFlow::Continue(())
        });
        visited.expect("heads");
        heads
    }
}

/// The same group commit, based on fjall.
pub struct FjallLog {
    appends: Option<Sender<Vec<Append>>>,
    writer: Option<JoinHandle<()>>,
    heads: Keyspace,
    commits: std::sync::Arc<std::sync::atomic::AtomicU64>,
}

struct FjallWriter {
    database: Database,
    heads: Keyspace,
    entries: Keyspace,
    appends: Receiver<Vec<Append>>,
    commits: std::sync::Arc<std::sync::atomic::AtomicU64>,
}

impl FjallLog {
    pub fn open(folder: &Path) -> Self {
        let builder = Database::builder(folder.join("fjall")).cache_size(CACHE_BYTES);
        let database = builder.open().expect("open");
        let keyspace = |name| database.keyspace(name, KeyspaceCreateOptions::default);
        let heads = keyspace("heads").expect("heads");
        let entries = keyspace("entries").expect("entries");
        let (sender, appends) = unbounded();
        let commits = std::sync::Arc::default();
        let writer = FjallWriter {
            database,
            heads: heads.clone(),
            entries,
            appends,
            commits: std::sync::Arc::clone(&commits),
        };
        Self {
            appends: Some(sender),
            writer: Some(thread::spawn(|| writer.run())),
            heads,
            commits,
        }
    }
}

impl FjallWriter {
    fn run(self) {
        while let Ok(mut group) = self.appends.recv() {
            while let Ok(mut more) = self.appends.try_recv() {
                group.append(&mut more);
            }
            self.commit(&group);
            group
                .iter()
                .for_each(|append| append.durable.send(()).expect("waits"));
        }
    }

    fn commit(&self, group: &[Append]) {
        let mut batch = self
            .database
            .batch()
            .durability(Some(PersistMode::SyncData));
        for append in group {
            let run = append.run.to_be_bytes();
            let mut key = run.to_vec();
            key.extend_from_slice(&append.index.to_be_bytes());
            batch.insert(&self.heads, run.as_slice(), append.head.as_slice());
            batch.insert(&self.entries, key, append.entry.as_slice());
        }
        batch.commit().expect("durable");
        self.commits
            .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    }
}

impl Log for FjallLog {
    fn append(&self, appends: Vec<Append>) {
        let sender = self.appends.as_ref().expect("open");
        sender.send(appends).expect("taken");
    }

    fn commits(&self) -> u64 {
        self.commits.load(std::sync::atomic::Ordering::Relaxed)
    }

    fn count_heads(&self) -> usize {
        let mut heads = 0;
        for guard in self.heads.iter() {
            guard.key().expect("head");
            heads += 1;
        }
        heads
    }
}

impl Drop for FjallLog {
    fn drop(&mut self) {
        drop(self.appends.take());
        if let Some(writer) = self.writer.take() {
            let _ = writer.join();
        }
    }
}
