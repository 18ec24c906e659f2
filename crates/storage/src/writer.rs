//! The writer thread: commits all queued batches, up to a size limit, in one transaction.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use crossbeam_channel::Receiver;
use redb::{Database, Durability};

use crate::counters::{StoreCounters, add};
use crate::error::StoreError;
use crate::operation::WriteBatch;
use crate::tables::WriteTables;

/// State of the writer thread.
pub(crate) struct Writer {
    pub database: Arc<Database>,
    pub batches: Receiver<WriteBatch>,
    pub max_commit_bytes: usize,
    pub counters: Arc<StoreCounters>,
    pub failed: Arc<AtomicBool>,
}

impl Writer {
    /// Runs until all senders are dropped and all queued batches are completed.
    pub(crate) fn run(self) {
        while let Ok(first) = self.batches.recv() {
            let group = self.collect_group(first);
            let outcome = self.commit(&group);
            call_completions(group, &outcome);
        }
    }

    fn collect_group(&self, first: WriteBatch) -> Vec<WriteBatch> {
        let mut size_bytes = first.size_bytes();
        let mut group = vec![first];
        while size_bytes < self.max_commit_bytes {
            let Ok(batch) = self.batches.try_recv() else {
                break;
            };
            size_bytes += batch.size_bytes();
            group.push(batch);
        }
        group
    }

    fn commit(&self, group: &[WriteBatch]) -> Result<(), StoreError> {
        if self.failed.load(Ordering::SeqCst) {
            add(&self.counters.refused, group.len() as u64);
            return Err(StoreError::FailedBefore);
        }
        let started = Instant::now();
        let outcome = self.commit_transaction(group);
        match &outcome {
            Ok(()) => self.count(group, started),
            Err(error) => {
                self.failed.store(true, Ordering::SeqCst);
                log::error!("the store failed and accepts no more writes: {error}");
            }
        }
        outcome
    }

    fn commit_transaction(&self, group: &[WriteBatch]) -> Result<(), StoreError> {
        let mut transaction = self.database.begin_write()?;
        transaction.set_durability(Durability::Immediate)?;
        let mut tables = WriteTables::new(&transaction);
        for operation in group.iter().flat_map(|batch| &batch.operations) {
            tables.apply(operation)?;
        }
        drop(tables);
        transaction.commit()?;
        Ok(())
    }

    fn count(&self, group: &[WriteBatch], started: Instant) {
        let operations = group.iter().map(|batch| batch.operations.len() as u64);
        let micros = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
        add(&self.counters.commits, 1);
        add(&self.counters.batches, group.len() as u64);
        add(&self.counters.operations, operations.sum());
        add(&self.counters.commit_micros, micros);
    }
}

fn call_completions(group: Vec<WriteBatch>, outcome: &Result<(), StoreError>) {
    for batch in group {
        let outcome = outcome.clone();
        let on_durable = batch.on_durable;
        if catch_unwind(AssertUnwindSafe(|| on_durable(outcome))).is_err() {
            log::error!("the completion of a write batch panicked");
        }
    }
}
