//! A replica that takes requests while the turns of its disk are still being read back.

use ridgeworks_records::{
    Epoch, LedgerEntry, ProgramId, ProgramLedger, Replica, ReplicaId, ReplicaReply, ReplicaRequest,
    ReplicaSet, ReplicaState, StoredRecord, TurnId, TurnRecord,
};

const NOW: u64 = 1_000_000;
const KEPT: u64 = NOW + 60_000;

fn turn(id: &str, previous: Option<&str>) -> TurnRecord {
    TurnRecord {
        turn: TurnId(id.to_owned()),
        previous: previous.map(|previous| TurnId(previous.to_owned())),
        input: b"input".to_vec(),
        output: b"output".to_vec(),
    }
}

/// A replica whose set and ledger are restored, and its turns not yet.
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
    let mut ledger = ProgramLedger::default();
    let spent = LedgerEntry {
        most: 50,
        spent: Some(7),
    };
    ledger.join(&TurnId("t-1".to_owned()), spent);
    let mut state = ReplicaState::new(ReplicaId(1), 1_000_000);
    state.restore(StoredRecord::Set(set));
    state.restore(StoredRecord::Ledger(
        ProgramId("p".to_owned()),
        ledger,
        KEPT,
    ));
    state.begin_restoring();
    state
}

fn read(state: &mut ReplicaState, turn: &str) -> ReplicaReply {
    let epoch = Epoch(3);
    let turn = TurnId(turn.to_owned());
    let handled = state.handle(ReplicaRequest::ReadChain { epoch, turn }, NOW);
    handled.reply
}

#[test]
fn tokens_are_reserved_meanwhile() {
    let mut state = replica();
    let charge = ReplicaRequest::Charge {
        epoch: Epoch(3),
        program: ProgramId("p".to_owned()),
        turn: TurnId("t-2".to_owned()),
        entry: LedgerEntry {
            most: 50,
            spent: None,
        },
        keep_ms: 60_000,
    };
    let ReplicaReply::Charged { ledger } = state.handle(charge, NOW).reply else {
        panic!("the ledger is known");
    };
    assert_eq!(ledger.entries.len(), 2, "what was spent before counts");
}

#[test]
fn of_no_turn_it_is_said_that_it_is_missing() {
    let mut state = replica();
    assert_eq!(read(&mut state, "t-2"), ReplicaReply::Unavailable);
    state.restore(StoredRecord::Turn(turn("t-2", Some("t-1")), KEPT));
    let half = read(&mut state, "t-2");
    assert_eq!(half, ReplicaReply::Unavailable, "t-1 may come yet");
    state.restore(StoredRecord::Turn(turn("t-1", None), KEPT));
    let ReplicaReply::Chain { records, missing } = read(&mut state, "t-2") else {
        panic!("the chain is whole");
    };
    assert_eq!((records.len(), missing), (2, None));
    state.finish_restoring();
    let ReplicaReply::Chain { missing, .. } = read(&mut state, "t-3") else {
        panic!("it is known what is there");
    };
    assert_eq!(missing, Some(TurnId("t-3".to_owned())));
}

#[test]
fn nothing_is_listed_or_fetched_for_a_copy() {
    let mut state = replica();
    let list = ReplicaRequest::List {
        epoch: Epoch(3),
        after: None,
    };
    assert_eq!(
        state.handle(list.clone(), NOW).reply,
        ReplicaReply::Unavailable
    );
    let turns = vec![TurnId("t-1".to_owned())];
    let fetch = ReplicaRequest::Fetch { turns };
    assert_eq!(state.handle(fetch, NOW).reply, ReplicaReply::Unavailable);
    state.finish_restoring();
    let listed = state.handle(list, NOW).reply;
    assert!(matches!(listed, ReplicaReply::Listed(_)));
}

#[test]
fn a_turn_that_is_written_meanwhile_is_counted_once() {
    let mut state = replica();
    let record = turn("t-1", None);
    let append = ReplicaRequest::Append {
        epoch: Epoch(3),
        record: record.clone(),
        keep_ms: 60_000,
    };
    assert_eq!(state.handle(append, NOW).reply, ReplicaReply::Done);
    state.restore(StoredRecord::Turn(record.clone(), KEPT));
    assert_eq!(state.turn_bytes(), record.weight());
}
