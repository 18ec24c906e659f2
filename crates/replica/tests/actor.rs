//! The replica's actor on a real disk, with its timers under virtual time.

mod support;

use std::path::Path;
use std::time::Duration;

use ridgeworks_records::{
    Epoch, GroupId, LedgerEntry, ProgramId, ReplicaReply, ReplicaRequest, Settlement, TurnId,
};
use ridgeworks_replica::disk;
use support::{Bed, MAX_TURN_BYTES, NODE, adopt, charge, on_runtime};

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

/// What a program has taken of its budget, as a process would find it that starts after a crash now.
fn charged_on_disk(folder: &Path, program: &str) -> u64 {
    let copy = tempfile::tempdir().expect("a folder");
    for entry in std::fs::read_dir(folder).expect("the folder is there") {
        let from = entry.expect("an entry").path();
        let name = from.file_name().expect("a name");
        std::fs::copy(&from, copy.path().join(name)).expect("a copy");
    }
    let mut opened = disk::open(copy.path(), NODE, MAX_TURN_BYTES).expect("the folder opens");
    let id = opened.state.id();
    let probe = charge(program, "probe", 1);
    while let Some(key) = opened.state.needs(&probe) {
        match disk::read(&opened.store, &key).expect("the disk is read") {
            Some(record) => opened.state.restore(record),
            None => opened.state.note_absent(key),
        }
    }
    let handled = opened.state.handle(probe, 0);
    match handled.reply {
        ReplicaReply::Charged { ledger } => ledger.charged_by_others(&TurnId("probe".to_owned())),
        other => panic!("{id}: {other:?}"),
    }
}

#[test]
fn a_settlement_that_is_acknowledged_is_durable_also_when_records_expire_meanwhile() {
    let folder = tempfile::tempdir().expect("a folder");
    on_runtime(async {
        let mut bed = Bed::open(folder.path()).await;
        let adopted = bed.ask(adopt(bed.id()));
        assert_eq!(bed.reply(adopted).await, ReplicaReply::Done);
        for request in [charge("old", "t-1", 0), charge("new", "t-2", 60_000)] {
            let charged = bed.ask(request);
            assert!(matches!(
                bed.reply(charged).await,
                ReplicaReply::Charged { .. }
            ));
        }
        // Between the last flush before the expiry, about 1.95 s, and the next one, about 2.1 s.
        for step in 1..=198 {
            bed.run_until(Duration::from_millis(10) * step);
        }
        let settled = bed.ask(settle("new", "t-2", 7));
        bed.run_until(Duration::from_millis(2_020));
        // The expired ledger has gone to the disk; an acknowledgement now covers the settlement too.
        assert_eq!(bed.reply(settled).await, ReplicaReply::Done);
        assert_eq!(charged_on_disk(folder.path(), "new"), 7);
    });
}
