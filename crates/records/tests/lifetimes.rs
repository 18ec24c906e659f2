//! How long a chain of turns is kept: as long as its newest turn must be, whatever its length and the pauses between its turns.

use quickcheck::{TestResult, quickcheck};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ridgeworks_records::{
    Change, Epoch, GroupId, RecordKey, Replica, ReplicaId, ReplicaReply, ReplicaRequest,
    ReplicaSet, ReplicaState, StoredRecord, TurnId, TurnRecord,
};

const GROUP: GroupId = GroupId(0);
const EPOCH: Epoch = Epoch(3);
const TTL_MS: u64 = 90_000;
const MAX_TURNS: usize = 60;

fn id(number: usize) -> TurnId {
    TurnId(format!("turn-{number}"))
}

fn turn(number: usize, previous: Option<usize>) -> TurnRecord {
    TurnRecord {
        turn: id(number),
        previous: previous.map(id),
        input: b"input".to_vec(),
        output: b"output".to_vec(),
    }
}

fn one_voter() -> ReplicaSet {
    let me = Replica {
        id: ReplicaId(1),
        node: "store-1".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        zone: "zone".to_owned(),
    };
    ReplicaSet {
        epoch: EPOCH,
        voters: vec![me],
        incoming: None,
    }
}

fn empty_replica() -> ReplicaState {
    let mut state = ReplicaState::new(ReplicaId(1), 1_000_000);
    state.restore(StoredRecord::Set(one_voter()));
    state
}

/// A replica and what its disk holds.
struct Node {
    state: ReplicaState,
    disk: Vec<StoredRecord>,
}

impl Node {
    fn new() -> Self {
        Self {
            state: empty_replica(),
            disk: Vec::new(),
        }
    }

    fn write(&mut self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Put(record) => self.disk.push(record),
                Change::Delete(RecordKey::Turn(deleted)) => self.disk.retain(|record| {
                    !matches!(record, StoredRecord::GroupTurn(_, turn, _) if turn.turn == deleted)
                }),
                Change::Delete(RecordKey::Ledger(_)) => {}
            }
        }
    }

    fn append(&mut self, record: TurnRecord, now_ms: u64) {
        let request = ReplicaRequest::Append {
            group: GROUP,
            epoch: EPOCH,
            record,
            ttl_ms: TTL_MS,
        };
        let handled = self.state.handle(request, now_ms);
        assert_eq!(handled.reply, ReplicaReply::Done);
        self.write(handled.changes);
    }

    fn expire(&mut self, now_ms: u64) {
        let changes = self.state.expire(now_ms);
        self.write(changes);
    }

    /// The replica's process starts again, and reads its disk in any order while time passes.
    fn restart(&mut self, now_ms: u64, random: &mut ChaCha8Rng) {
        self.state = empty_replica();
        self.state.begin_restoring();
        let mut records = self.disk.clone();
        records.shuffle(random);
        for record in records {
            self.state.restore(record);
            self.expire(now_ms);
        }
        self.state.finish_restoring();
    }

    /// Copies all turns to a replica on an empty disk, in any order.
    fn replace(&mut self, now_ms: u64, random: &mut ChaCha8Rng) {
        let request = ReplicaRequest::List {
            group: GROUP,
            epoch: EPOCH,
            after: None,
        };
        let ReplicaReply::Listed(listing) = self.state.handle(request, now_ms).reply else {
            panic!("a listing");
        };
        let ids = listing.turns.iter().map(|(turn, _)| turn.clone()).collect();
        let fetch = ReplicaRequest::Fetch { turns: ids };
        let ReplicaReply::Fetched { mut records } = self.state.handle(fetch, now_ms).reply else {
            panic!("records");
        };
        records.shuffle(random);
        let mut copy = Self::new();
        for record in records {
            let ttl = listing.turns.iter().find(|(turn, _)| *turn == record.turn);
            let (_, ttl_ms) = ttl.expect("a listed turn");
            let changes = copy.state.copy_turn(GROUP, record, *ttl_ms, now_ms);
            copy.write(changes.expect("room"));
        }
        *self = copy;
    }

    fn chain_len(&mut self, newest: usize, now_ms: u64) -> Result<usize, TurnId> {
        let request = ReplicaRequest::ReadChain {
            group: GROUP,
            epoch: EPOCH,
            turn: id(newest),
        };
        match self.state.handle(request, now_ms).reply {
            ReplicaReply::Chain {
                records,
                missing: None,
            } => Ok(records.len()),
            ReplicaReply::Chain {
                missing: Some(missing),
                ..
            } => Err(missing),
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn the_oldest_turns_of_a_long_chain_are_kept_while_its_newest_must_be() {
    const TURNS: usize = 220;
    const PAUSE_MS: u64 = 2_800;
    let mut node = Node::new();
    let mut now_ms = 1_000_000;
    for number in 0..TURNS {
        node.append(turn(number, number.checked_sub(1)), now_ms);
        now_ms += PAUSE_MS;
        node.expire(now_ms);
    }
    let last_ms = now_ms - PAUSE_MS;
    node.expire(last_ms + TTL_MS - 1);
    assert_eq!(node.chain_len(TURNS - 1, now_ms), Ok(TURNS));
    node.expire(last_ms + 2 * TTL_MS);
    assert_eq!(node.state.turn_and_ledger_counts().0, 0);
    assert_eq!(node.disk, Vec::new());
}

quickcheck! {
    /// Turns that continue any earlier one, with pauses, restarts and replaced disks between them.
    fn a_chain_is_whole_until_its_newest_turn_expires(seed: u64) -> TestResult {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut node = Node::new();
        let mut now_ms = 1_000_000;
        let mut written: Vec<(u64, usize)> = Vec::new();
        for number in 0..random.random_range(2..MAX_TURNS) {
            let live: Vec<usize> = (0..number)
                .filter(|earlier| written[*earlier].0 > now_ms)
                .collect();
            let previous = live.choose_weighted_last(&mut random);
            let depth = previous.map_or(1, |previous| written[previous].1 + 1);
            node.append(turn(number, previous), now_ms);
            written.push((now_ms + TTL_MS, depth));
            now_ms += random.random_range(0..TTL_MS / 2);
            match random.random_range(0..6) {
                0 => node.restart(now_ms, &mut random),
                1 => node.replace(now_ms, &mut random),
                _ => node.expire(now_ms),
            }
            for (number, (expires_at_ms, depth)) in written.iter().enumerate() {
                if *expires_at_ms > now_ms {
                    assert_eq!(node.chain_len(number, now_ms), Ok(*depth), "seed {seed}");
                }
            }
        }
        TestResult::passed()
    }
}

/// Mostly the newest turn, now and then any other.
trait ChooseTurn {
    fn choose_weighted_last(&self, random: &mut ChaCha8Rng) -> Option<usize>;
}

impl ChooseTurn for Vec<usize> {
    fn choose_weighted_last(&self, random: &mut ChaCha8Rng) -> Option<usize> {
        if self.is_empty() {
            return None;
        }
        let last = self.len() - 1;
        let index = if random.random_bool(0.8) {
            last
        } else {
            random.random_range(0..self.len())
        };
        Some(self[index])
    }
}

/// A replica that is full with this many turns.
fn replica_with_room_for(count: usize) -> ReplicaState {
    let mut measured = empty_replica();
    append_at(&mut measured, turn(0, None), 0);
    let mut state = ReplicaState::new(ReplicaId(1), measured.turn_bytes() * count);
    state.restore(StoredRecord::Set(one_voter()));
    state
}

fn append_at(state: &mut ReplicaState, record: TurnRecord, now_ms: u64) -> (bool, usize) {
    let request = ReplicaRequest::Append {
        group: GROUP,
        epoch: EPOCH,
        record,
        ttl_ms: TTL_MS,
    };
    let handled = state.handle(request, now_ms);
    let deleted = handled.changes.iter();
    let deleted = deleted.filter(|change| matches!(change, Change::Delete(_)));
    (handled.reply == ReplicaReply::Done, deleted.count())
}

/// Replicas that were full of turns that nobody might name any more refused all turns until those expired, half a minute later.
#[test]
fn a_full_replica_lets_go_of_what_no_later_turn_may_name() {
    let mut state = replica_with_room_for(4);
    // Of 90 s, 60 s are what the route asks.
    for number in 0..4 {
        assert_eq!(append_at(&mut state, turn(number, None), 0), (true, 0));
    }
    assert_eq!(append_at(&mut state, turn(4, None), 69_000), (false, 0));
    assert_eq!(append_at(&mut state, turn(5, None), 71_000), (true, 4));
    assert_eq!(state.turn_and_ledger_counts().0, 1);
}

#[test]
fn a_full_replica_keeps_chains_whose_newest_turn_may_be_named() {
    let mut state = replica_with_room_for(4);
    assert!(append_at(&mut state, turn(0, None), 0).0);
    assert!(append_at(&mut state, turn(1, Some(0)), 50_000).0);
    assert!(append_at(&mut state, turn(2, None), 0).0);
    assert!(append_at(&mut state, turn(3, None), 0).0);
    assert_eq!(append_at(&mut state, turn(4, Some(1)), 75_000), (true, 2));
    let mut chain = Node {
        state,
        disk: Vec::new(),
    };
    assert_eq!(chain.chain_len(4, 75_000), Ok(3));
}

/// The time of expiry overflowed: the turn was gone with the next search for expired ones, or the replica's task ended.
#[test]
fn turns_that_are_kept_without_an_end_are_kept() {
    const NOW_MS: u64 = 1_800_000_000_000;
    const LATER_MS: u64 = NOW_MS + 365 * 24 * 60 * 60 * 1_000;
    for ttl_ms in [u64::MAX, u64::MAX - NOW_MS, 1 << 63] {
        let mut state = empty_replica();
        // The last one is sent again, for want of a reply.
        for (number, previous) in [(0, None), (1, Some(0)), (1, Some(0))] {
            let request = ReplicaRequest::Append {
                group: GROUP,
                epoch: EPOCH,
                record: turn(number, previous),
                ttl_ms,
            };
            let handled = state.handle(request, NOW_MS + number as u64);
            assert_eq!(handled.reply, ReplicaReply::Done);
        }
        state.copy_turn(GROUP, turn(2, Some(1)), ttl_ms, NOW_MS);
        state.expire(LATER_MS);
        assert_eq!(state.turn_and_ledger_counts().0, 3, "{ttl_ms}");
    }
}
