//! Transactions of a replica's disk leave time for changes to gather.
//!
//! A replica that was short of processor time wrote one or two changes in each transaction, one transaction after the other, and two thirds
//! of its time went there: 800 turns a second on loopback took 966 transactions a second and 0.32 cores. So it had the least
//! left for answers when it had the most to do.

use std::time::{Duration, Instant};

use ridgeworks_records::{Change, LedgerEntry, ProgramId, ProgramLedger, StoredRecord, TurnId};
use ridgeworks_replica::disk;
use ridgeworks_storage::WriteBatch;

const TRANSACTIONS: u64 = 20;
/// What 20 transactions in a row may take a second, at most.
const MOST_PER_SECOND: f64 = 100.0;

fn change(number: u64) -> Change {
    let mut ledger = ProgramLedger::default();
    let entry = LedgerEntry {
        most: number,
        spent: None,
    };
    ledger.join(&TurnId(number.to_string()), entry);
    Change::Put(StoredRecord::Ledger(ProgramId("p".to_owned()), ledger, 1))
}

#[test]
fn a_change_a_transaction_does_not_keep_the_disk_busy() {
    let folder = tempfile::tempdir().expect("a folder");
    let opened = disk::open(folder.path(), "replica-1", 1024).expect("the folder opens");
    let began = Instant::now();
    // Each is submitted once the one before is durable, so that none shares a transaction.
    for number in 0..TRANSACTIONS {
        let (sender, durable) = std::sync::mpsc::channel();
        let operation = disk::operation(&change(number)).expect("a change is encoded");
        let batch = WriteBatch::new(vec![operation], move |outcome| {
            sender.send(outcome).expect("the test waits");
        });
        opened.store.submit(batch).expect("the disk takes it");
        let outcome = durable.recv().expect("the disk says something");
        assert!(outcome.is_ok());
    }
    let rests = (TRANSACTIONS - 1) as f64;
    let least = Duration::from_secs_f64(rests / MOST_PER_SECOND);
    assert!(began.elapsed() >= least, "{:?}", began.elapsed());
}
