//! The replica's actor on a real disk, with timers under virtual time.

mod support;

use std::path::Path;
use std::time::Duration;

use ridgeworks_records::{
    Epoch, GroupId, LedgerEntry, ProgramId, ReplicaReply, ReplicaRequest, Settlement, TurnId,
};
use ridgeworks_replica::disk;
use support::{ActorHarness, MAX_TOTAL_TURN_BYTES, NODE, adopt, charge, on_runtime};

fn settle(program: &str, turn: &str, spent: u64) -> ReplicaRequest {
    ReplicaRequest::Settle {
        group: GroupId(0),
        epoch: Epoch(1),
        settlements: vec![Settlement {
            program: ProgramId(program.to_owned()),
            turn: TurnId(turn.to_owned()),
            entry: LedgerEntry {
                reserved_tokens: 100,
                spent: Some(spent),
            },
            ttl_ms: 60_000,
        }],
    }
}

/// Tokens charged to a program according to the disk, as a process would read them that starts
/// after a crash now.
fn charged_on_disk(folder: &Path, program: &str) -> u64 {
    let copy = tempfile::tempdir().expect("a folder");
    for entry in std::fs::read_dir(folder).expect("the folder is there") {
        let from = entry.expect("an entry").path();
        let name = from.file_name().expect("a name");
        std::fs::copy(&from, copy.path().join(name)).expect("a copy");
    }
    let mut opened = disk::open(copy.path(), NODE, MAX_TOTAL_TURN_BYTES).expect("the folder opens");
    let id = opened.state.id();
    let probe = charge(program, "probe", 1);
    while let Some(key) = opened.state.unrestored_record(&probe) {
        match disk::read(&opened.store, &key).expect("the disk is read") {
            Some(record) => opened.state.restore(record),
            None => opened.state.mark_absent(key),
        }
    }
    let handled = opened.state.handle(probe, 0);
    match handled.reply {
        ReplicaReply::Charged { ledger } => ledger.charged_by_others(&TurnId("probe".to_owned())),
        other => panic!("{id}: {other:?}"),
    }
}

#[test]
fn an_acknowledged_settlement_is_durable_when_records_expire_meanwhile() {
    let folder = tempfile::tempdir().expect("a folder");
    on_runtime(async {
        let mut harness = ActorHarness::open(folder.path()).await;
        let adopted = harness.ask(adopt(harness.id()));
        assert_eq!(harness.reply(adopted).await, ReplicaReply::Done);
        for request in [charge("old", "t-1", 0), charge("new", "t-2", 60_000)] {
            let charged = harness.ask(request);
            assert!(matches!(
                harness.reply(charged).await,
                ReplicaReply::Charged { .. }
            ));
        }
        // Between the last flush before the expiry, at about 1.95 s, and the next one, at about 2.1
        // s.
        for step in 1..=198 {
            harness.run_until(Duration::from_millis(10) * step);
        }
        let settled = harness.ask(settle("new", "t-2", 7));
        harness.run_until(Duration::from_millis(2_020));
        // The deletion of the expired ledger is submitted; an acknowledgement now has to cover the
        // settlement too.
        assert_eq!(harness.reply(settled).await, ReplicaReply::Done);
        assert_eq!(charged_on_disk(folder.path(), "new"), 7);
    });
}
