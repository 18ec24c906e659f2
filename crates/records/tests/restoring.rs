//! A replica that handles requests while the records of its disk are being restored.

use ridgeworks_records::{
    Change, Epoch, GroupId, LedgerEntry, NotRestored, ProgramId, ProgramLedger, RecordKey, Replica,
    ReplicaId, ReplicaReply, ReplicaRequest, ReplicaSet, ReplicaState, Settlement, StoredRecord,
    TurnId, TurnRecord,
};

const NOW_MS: u64 = 1_000_000;
const EXPIRES_AT_MS: u64 = NOW_MS + 60_000;

fn turn(id: &str, previous: Option<&str>) -> TurnRecord {
    TurnRecord {
        turn: TurnId(id.to_owned()),
        previous: previous.map(|previous| TurnId(previous.to_owned())),
        input: b"input".to_vec(),
        output: b"output".to_vec(),
    }
}

fn ledger(turn: &str, spent: u64) -> StoredRecord {
    let mut ledger = ProgramLedger::default();
    let entry = LedgerEntry {
        reserved_tokens: 50,
        spent: Some(spent),
    };
    ledger.merge_entry(&TurnId(turn.to_owned()), entry);
    StoredRecord::Ledger(ProgramId("p".to_owned()), ledger, EXPIRES_AT_MS)
}

/// A replica of which only the set is restored.
fn replica() -> ReplicaState {
    let me = Replica {
        id: ReplicaId(1),
        node: "store-1".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        zone: "zone".to_owned(),
    };
    let set = ReplicaSet {
        epoch: Epoch(3),
        voters: vec![me],
        incoming: None,
    };
    let mut state = ReplicaState::new(ReplicaId(1), 1_000_000);
    state.restore(StoredRecord::Set(set));
    state.begin_restoring();
    state
}

fn charge(turn: &str) -> ReplicaRequest {
    ReplicaRequest::Charge {
        group: GroupId(0),
        epoch: Epoch(3),
        program: ProgramId("p".to_owned()),
        turn: TurnId(turn.to_owned()),
        entry: LedgerEntry {
            reserved_tokens: 50,
            spent: None,
        },
        ttl_ms: 60_000,
    }
}

fn read(state: &mut ReplicaState, turn: &str) -> ReplicaReply {
    let epoch = Epoch(3);
    let turn = TurnId(turn.to_owned());
    let group = GroupId(0);
    let read = ReplicaRequest::ReadChain { group, epoch, turn };
    let handled = state.handle(read, NOW_MS);
    handled.reply
}

#[test]
fn a_reservation_needs_the_ledger_of_its_program() {
    let mut state = replica();
    let key = RecordKey::Ledger(ProgramId("p".to_owned()));
    assert_eq!(state.unrestored_record(&charge("t-2")), Some(key));
    state.restore(ledger("t-1", 7));
    assert_eq!(state.unrestored_record(&charge("t-2")), None);
    let ReplicaReply::Charged { ledger } = state.handle(charge("t-2"), NOW_MS).reply else {
        panic!("the ledger is known");
    };
    assert_eq!(ledger.entries.len(), 2, "the earlier turn is still charged");
}

#[test]
fn restoring_a_ledger_keeps_later_reservations() {
    let mut state = replica();
    let key = state
        .unrestored_record(&charge("t-2"))
        .expect("a missing ledger");
    state.mark_absent(key);
    assert_eq!(state.unrestored_record(&charge("t-2")), None);
    state.handle(charge("t-2"), NOW_MS);
    // Read from the disk before the reservation, restored after it.
    state.restore(ledger("t-1", 7));
    let ReplicaReply::Charged { ledger } = state.handle(charge("t-3"), NOW_MS).reply else {
        panic!("the ledger is known");
    };
    assert_eq!(ledger.entries.len(), 3);
}

#[test]
fn reading_a_chain_needs_its_turns_one_by_one() {
    let mut state = replica();
    let request = ReplicaRequest::ReadChain {
        group: GroupId(0),
        epoch: Epoch(3),
        turn: TurnId("t-2".to_owned()),
    };
    let key = |turn: &str| Some(RecordKey::Turn(TurnId(turn.to_owned())));
    assert_eq!(state.unrestored_record(&request), key("t-2"));
    state.restore(StoredRecord::Turn(turn("t-2", Some("t-1")), EXPIRES_AT_MS));
    assert_eq!(state.unrestored_record(&request), key("t-1"));
    state.mark_absent(RecordKey::Turn(TurnId("t-1".to_owned())));
    assert_eq!(state.unrestored_record(&request), None);
    let ReplicaReply::Chain { records, missing } = read(&mut state, "t-2") else {
        panic!("the end of the chain is known");
    };
    assert_eq!(
        (records.len(), missing),
        (1, Some(TurnId("t-1".to_owned())))
    );
}

#[test]
fn no_turn_is_reported_missing_while_restoring() {
    let mut state = replica();
    assert_eq!(read(&mut state, "t-2"), ReplicaReply::Unavailable);
    state.restore(StoredRecord::Turn(turn("t-2", Some("t-1")), EXPIRES_AT_MS));
    let half = read(&mut state, "t-2");
    assert_eq!(
        half,
        ReplicaReply::Unavailable,
        "t-1 may still be on the disk"
    );
    state.restore(StoredRecord::Turn(turn("t-1", None), EXPIRES_AT_MS));
    let ReplicaReply::Chain { records, missing } = read(&mut state, "t-2") else {
        panic!("the chain is complete");
    };
    assert_eq!((records.len(), missing), (2, None));
    state.finish_restoring();
    let ReplicaReply::Chain { missing, .. } = read(&mut state, "t-3") else {
        panic!("all records are restored");
    };
    assert_eq!(missing, Some(TurnId("t-3".to_owned())));
}

#[test]
fn list_and_fetch_are_unavailable_while_restoring() {
    let mut state = replica();
    let list = ReplicaRequest::List {
        group: GroupId(0),
        epoch: Epoch(3),
        after: None,
    };
    assert_eq!(
        state.handle(list.clone(), NOW_MS).reply,
        ReplicaReply::Unavailable
    );
    let turns = vec![TurnId("t-1".to_owned())];
    let fetch = ReplicaRequest::Fetch { turns };
    assert_eq!(state.handle(fetch, NOW_MS).reply, ReplicaReply::Unavailable);
    state.finish_restoring();
    let listed = state.handle(list, NOW_MS).reply;
    assert!(matches!(listed, ReplicaReply::Listed(_)));
}

#[test]
fn a_turn_written_while_restoring_is_counted_once() {
    let mut state = replica();
    let record = turn("t-1", None);
    let append = ReplicaRequest::Append {
        group: GroupId(0),
        epoch: Epoch(3),
        record: record.clone(),
        ttl_ms: 60_000,
    };
    assert_eq!(state.handle(append, NOW_MS).reply, ReplicaReply::Done);
    state.restore(StoredRecord::Turn(record.clone(), EXPIRES_AT_MS));
    assert_eq!(state.turn_bytes(), record.weight());
}

/// Guards against a disk access for each new program while turns are still being restored, which
/// takes much longer than restoring ledgers.
#[test]
fn a_new_program_is_not_looked_up_once_all_ledgers_are_restored() {
    let mut state = replica();
    state.restore(ledger("t-1", 7));
    state.finish_restoring_ledgers();
    let mut other = charge("t-1");
    if let ReplicaRequest::Charge { program, .. } = &mut other {
        *program = ProgramId("new".to_owned());
    }
    assert_eq!(state.unrestored_record(&other), None);
    let turn = TurnId("t-1".to_owned());
    let epoch = Epoch(3);
    let group = GroupId(0);
    let read = ReplicaRequest::ReadChain { group, epoch, turn };
    assert!(
        state.unrestored_record(&read).is_some(),
        "turns are not restored yet"
    );
}

/// A copy that comes before the disk is read must not replace what the disk has.
#[test]
fn a_copied_ledger_is_not_written_over_one_that_is_still_on_the_disk() {
    let mut state = replica();
    let copied = match ledger("copied", 20) {
        StoredRecord::Ledger(_, ledger, _) => ledger,
        other => panic!("{other:?}"),
    };
    let program = ProgramId("p".to_owned());
    let copy = |state: &mut ReplicaState| {
        state.copy_ledger(GroupId(0), program.clone(), &copied, 60_000, NOW_MS)
    };
    assert_eq!(copy(&mut state), Err(NotRestored));
    state.restore(ledger("on-disk", 30));
    let changes = copy(&mut state).expect("a restored ledger");
    let [Change::Put(StoredRecord::Ledger(_, written, _))] = &changes[..] else {
        panic!("{changes:?}");
    };
    let turns: Vec<&str> = written.entries.keys().map(|turn| turn.0.as_str()).collect();
    assert_eq!(turns, ["copied", "on-disk"]);
}

#[test]
fn requests_for_a_ledger_that_is_not_restored_change_nothing() {
    let mut state = replica();
    let settle = ReplicaRequest::Settle {
        group: GroupId(0),
        epoch: Epoch(3),
        settlements: vec![Settlement {
            program: ProgramId("p".to_owned()),
            turn: TurnId("r-1".to_owned()),
            entry: LedgerEntry {
                reserved_tokens: 50,
                spent: Some(10),
            },
            ttl_ms: 60_000,
        }],
    };
    for request in [charge("r-1"), settle] {
        let handled = state.handle(request.clone(), NOW_MS);
        assert_eq!(handled.reply, ReplicaReply::Unavailable, "{request:?}");
        assert!(handled.changes.is_empty());
    }
}
