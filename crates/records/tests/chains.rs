//! A voter acknowledges a turn only once it has all turns before it.

use ridgeworks_records::{
    ChainGap, Epoch, GroupId, Handled, RecordKey, Replica, ReplicaGroups, ReplicaId, ReplicaReply,
    ReplicaRequest, ReplicaSet, ReplicaState, StoredRecord, TurnId, TurnRecord,
};

const GROUP: GroupId = GroupId(0);
const EPOCH: Epoch = Epoch(3);
const TTL_MS: u64 = 90_000;
const ME: u64 = 1;

fn id(number: usize) -> TurnId {
    TurnId(format!("turn-{number}"))
}

fn turn(number: usize) -> TurnRecord {
    TurnRecord {
        turn: id(number),
        previous: number.checked_sub(1).map(id),
        input: b"input".to_vec(),
        output: b"output".to_vec(),
    }
}

fn member(number: u64) -> Replica {
    Replica {
        id: ReplicaId(number),
        node: format!("store-{number}"),
        address: format!("127.0.0.1:{number}"),
        zone: "zone".to_owned(),
    }
}

fn set(epoch: Epoch, voters: &[u64], incoming: Option<&[u64]>) -> ReplicaSet {
    let members = |numbers: &[u64]| numbers.iter().map(|number| member(*number)).collect();
    ReplicaSet {
        epoch,
        voters: members(voters),
        incoming: incoming.map(members),
    }
}

fn replica(set: ReplicaSet) -> ReplicaState {
    let mut state = ReplicaState::new(ReplicaId(ME), 1_000);
    state.restore(StoredRecord::Set(set));
    state
}

fn voter() -> ReplicaState {
    replica(set(EPOCH, &[1, 2, 3], None))
}

fn append(state: &mut ReplicaState, number: usize) -> Handled {
    let request = ReplicaRequest::Append {
        group: GROUP,
        epoch: EPOCH,
        record: turn(number),
        ttl_ms: TTL_MS,
    };
    state.handle(request, 1_000)
}

fn gap(after: usize, missing: usize) -> ChainGap {
    ChainGap {
        after: id(after),
        missing: id(missing),
    }
}

#[test]
fn a_turn_behind_a_gap_is_acknowledged_once_the_gap_is_closed() {
    let mut state = voter();
    assert_eq!(append(&mut state, 0).incomplete, None);
    let handled = append(&mut state, 3);
    assert_eq!(handled.changes.len(), 1);
    let incomplete = handled.incomplete.expect("a gap");
    assert_eq!(incomplete.gap, gap(3, 2));
    let early = state.finish_append(&incomplete);
    assert_eq!(early.reply, ReplicaReply::Unavailable);
    for (copied, left) in [(2, Some(gap(2, 1))), (1, None)] {
        let changes = state.copy_turn(GROUP, turn(copied), 0, 1_000);
        assert_eq!(changes.expect("room").len(), 1);
        assert_eq!(state.chain_gap(&id(3)), left);
    }
    assert_eq!(state.finish_append(&incomplete).reply, ReplicaReply::Done);
    assert_eq!(append(&mut state, 4).incomplete, None);
}

/// The copies' own time to live is over at once; the turn behind them keeps them.
#[test]
fn turns_that_close_a_gap_are_kept_as_long_as_the_turn_behind_them() {
    let mut state = voter();
    append(&mut state, 2);
    for copied in [1, 0] {
        state
            .copy_turn(GROUP, turn(copied), 0, 1_000)
            .expect("room");
    }
    state.expire(1_000 + TTL_MS - 1);
    assert_eq!(state.chain_gap(&id(2)), None);
    assert_eq!(state.turn_and_ledger_counts().0, 3);
}

#[test]
fn a_repeated_append_behind_a_gap_is_not_acknowledged_either() {
    let mut state = voter();
    append(&mut state, 1);
    let repeated = append(&mut state, 1);
    assert!(repeated.changes.is_empty());
    assert_eq!(repeated.incomplete.expect("a gap").gap, gap(1, 0));
}

#[test]
fn a_gap_that_no_voter_can_close_is_accepted() {
    let mut state = voter();
    let incomplete = append(&mut state, 1).incomplete.expect("a gap");
    state.accept_gap(&incomplete.gap);
    assert_eq!(state.finish_append(&incomplete).reply, ReplicaReply::Done);
    assert_eq!(append(&mut state, 2).incomplete, None);
}

/// The sender counts a majority of the set that it knows.
#[test]
fn a_turn_is_not_acknowledged_under_a_later_set() {
    let mut state = voter();
    let incomplete = append(&mut state, 1).incomplete.expect("a gap");
    state.copy_turn(GROUP, turn(0), 0, 1_000).expect("room");
    state.adopt(ReplicaGroups::single(set(Epoch(4), &[1, 2, 3], None)));
    let reply = state.finish_append(&incomplete).reply;
    assert!(matches!(reply, ReplicaReply::Stale { .. }), "{reply:?}");
}

/// A new member copies what a read quorum has before it counts by itself.
#[test]
fn a_new_member_acknowledges_turns_before_it_has_copied() {
    let mut state = replica(set(EPOCH, &[2, 3, 4], Some(&[1, 2, 3])));
    assert_eq!(append(&mut state, 1).incomplete, None);
}

/// What it missed since its copy is in no later one.
#[test]
fn a_new_member_that_has_copied_closes_gaps_first() {
    let mut state = replica(set(EPOCH, &[2, 3, 4], Some(&[1, 2, 3])));
    state.finish_copy(GROUP, EPOCH);
    let incomplete = append(&mut state, 1).incomplete.expect("a gap");
    assert_eq!(incomplete.gap, gap(1, 0));
    state.copy_turn(GROUP, turn(0), 0, 1_000).expect("room");
    assert_eq!(state.finish_append(&incomplete).reply, ReplicaReply::Done);
}

#[test]
fn without_room_for_the_missing_turn_the_gap_stays() {
    let mut state = voter();
    let mut large = turn(0);
    large.input = vec![0; 1_000];
    let incomplete = append(&mut state, 1).incomplete.expect("a gap");
    assert_eq!(state.copy_turn(GROUP, large, 0, 1_000), None);
    let reply = state.finish_append(&incomplete).reply;
    assert_eq!(reply, ReplicaReply::Unavailable);
}

/// What the disk has is no gap.
#[test]
fn a_turn_appended_while_restoring_needs_the_turns_before_it_from_the_disk() {
    let mut state = voter();
    state.begin_restoring();
    let request = ReplicaRequest::Append {
        group: GROUP,
        epoch: EPOCH,
        record: turn(2),
        ttl_ms: TTL_MS,
    };
    for number in [1, 0] {
        let needed = state.unrestored_record(&request);
        assert_eq!(needed, Some(RecordKey::Turn(id(number))));
        state.restore(StoredRecord::GroupTurn(GROUP, turn(number), 0));
    }
    assert_eq!(state.unrestored_record(&request), None);
    assert_eq!(state.handle(request, 1_000).incomplete, None);
}
