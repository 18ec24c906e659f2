//! Rules of the acceptor that the simulator rarely exercises.

mod support;

use std::time::Duration;

use ridgeworks_domain::{Ballot, MonotonicTime, NodeId};
use ridgeworks_run_log::{
    CallerId, Entry, LogEntry, LogIndex, LogPosition, OwnerEvent, Rejection, Replica, ReplicaId,
    Reply, Request, RestoredStore, RunHead, StoreId, Write,
};
use support::*;

const RETENTION: Duration = Duration::from_secs(60);
const FIRST_BALLOT: Ballot = Ballot {
    round: 1,
    node: OWNER,
};

fn entry(index: u64, ballot: Ballot, entry: Entry) -> LogEntry {
    let index = LogIndex(index);
    LogEntry {
        index,
        ballot,
        entry,
    }
}

fn opened(identity: ReplicaId) -> LogEntry {
    entry(1, FIRST_BALLOT, Entry::Opened(opening(vec![identity], 10)))
}

fn owner_changed(index: u64, ballot: Ballot) -> LogEntry {
    let owner = ballot.node;
    entry(index, ballot, Entry::OwnerChanged { owner })
}

fn append(
    replica: ReplicaId,
    ballot: Ballot,
    previous: LogPosition,
    entries: Vec<LogEntry>,
) -> Request {
    Request::Append {
        run: RUN,
        ballot,
        replica,
        previous,
        entries,
        commit_index: LogIndex::NONE,
        round: 0,
    }
}

fn prepare(ballot: Ballot, instance: u64) -> Request {
    let (run, replica) = (RUN, None);
    Request::Prepare {
        run,
        ballot,
        instance,
        replica,
    }
}

fn handle_durably(
    replica: &mut Replica,
    entries: &mut Entries,
    request: Request,
    now: MonotonicTime,
) -> Reply {
    let mut ready = replica.handle(OWNER, request, now, entries);
    entries.apply(ready.writes);
    replica.flushed(ready.write_number);
    ready.replies_after_flush.remove(0).1
}

fn rejection(reply: &Reply) -> Option<Rejection> {
    match reply {
        Reply::Rejected { reason, .. } => Some(*reason),
        _ => None,
    }
}

#[test]
fn a_ballot_is_granted_to_one_proposer_instance() {
    let (mut replica, mut entries) = (replica(1), Entries::default());
    let identity = replica.identity();
    handle_durably(
        &mut replica,
        &mut entries,
        append(
            identity,
            FIRST_BALLOT,
            LogPosition::NONE,
            vec![opened(identity)],
        ),
        NOW,
    );
    let ballot = FIRST_BALLOT.next_for(OTHER_OWNER);
    let first = handle_durably(&mut replica, &mut entries, prepare(ballot, 1), NOW);
    assert!(matches!(first, Reply::Promise { instance: 1, .. }));
    assert_eq!(
        handle_durably(&mut replica, &mut entries, prepare(ballot, 1), NOW),
        first,
        "a repeated request"
    );
    let other = handle_durably(&mut replica, &mut entries, prepare(ballot, 2), NOW);
    assert_eq!(
        rejection(&other),
        Some(Rejection::HigherBallot { promised: ballot })
    );
}

#[test]
fn only_an_opening_meant_for_this_store_creates_a_run() {
    let (mut replica, mut entries) = (replica(1), Entries::default());
    let identity = replica.identity();
    let unknown = handle_durably(&mut replica, &mut entries, prepare(FIRST_BALLOT, 1), NOW);
    assert_eq!(rejection(&unknown), Some(Rejection::UnknownRun));
    let other = ReplicaId {
        store: StoreId(1),
        ..identity
    };
    let addressed_to_other = append(other, FIRST_BALLOT, LogPosition::NONE, vec![opened(other)]);
    let refused = handle_durably(&mut replica, &mut entries, addressed_to_other, NOW);
    assert_eq!(rejection(&refused), Some(Rejection::Recovering));
    let later = owner_changed(2, FIRST_BALLOT);
    let previous = opened(identity).position();
    let middle = handle_durably(
        &mut replica,
        &mut entries,
        append(identity, FIRST_BALLOT, previous, vec![later]),
        NOW,
    );
    assert_eq!(rejection(&middle), Some(Rejection::UnknownRun));
    assert_eq!(replica.run_count(), 0);
}

#[test]
fn a_conflicting_tail_is_replaced_also_before_it_is_flushed() {
    for flush in [false, true] {
        let (mut replica, mut entries) = (replica(1), Entries::default());
        let identity = replica.identity();
        let old = vec![
            opened(identity),
            owner_changed(2, FIRST_BALLOT),
            owner_changed(3, FIRST_BALLOT),
        ];
        let first = append(identity, FIRST_BALLOT, LogPosition::NONE, old.clone());
        let ready = replica.handle(OWNER, first, NOW, &entries);
        if flush {
            entries.apply(ready.writes);
            replica.flushed(ready.write_number);
        }
        let ballot = FIRST_BALLOT.next_for(OTHER_OWNER);
        let new = owner_changed(2, ballot);
        let second = append(identity, ballot, old[0].position(), vec![new.clone()]);
        let ready = replica.handle(OWNER, second, NOW, &entries);
        let truncate = Write::TruncateFrom {
            run: RUN,
            index: LogIndex(2),
        };
        assert!(ready.writes.contains(&truncate));
        let fetch = Request::Fetch {
            run: RUN,
            ballot,
            first_index: LogIndex::FIRST,
        };
        let ready = replica.handle(OWNER, fetch, NOW, &entries);
        let Reply::Fetched { entries: found, .. } = &ready.replies_after_flush[0].1 else {
            panic!("the log is returned");
        };
        assert_eq!(*found, [old[0].clone(), new]);
    }
}

#[test]
fn a_deleted_run_is_not_recreated_by_a_delayed_message() {
    let (mut cluster, _) = Cluster::open(100);
    cluster.send_event(OwnerEvent::Close {
        caller: CallerId(1),
    });
    let later = NOW + Duration::from_millis(100);
    for effect in cluster.owner.handle(OwnerEvent::Tick, later) {
        if let ridgeworks_run_log::OwnerEffect::SendToReplica { to, request } = effect {
            let (replica, entries) = &mut cluster.replicas[to.0 as usize - 1];
            handle_durably(replica, entries, request, later);
        }
    }
    let (replica, entries) = &mut cluster.replicas[0];
    assert!(replica.head(RUN).is_some_and(|head| head.is_closed()));
    let identity = replica.identity();
    let mut now = later;
    for deleted in [false, true] {
        now = now + RETENTION;
        replica.sweep(now, RETENTION, 10);
        assert_eq!(replica.head(RUN).is_none(), deleted);
    }
    let late = append(
        identity,
        FIRST_BALLOT,
        LogPosition::NONE,
        vec![opened(identity)],
    );
    let refused = handle_durably(replica, entries, late, now);
    assert_eq!(rejection(&refused), Some(Rejection::Recovering));
    assert_eq!(replica.run_count(), 0);
}

#[test]
fn silent_open_runs_are_listed_in_pages_and_closed_ones_are_not() {
    let head = |closed: u64| RunHead {
        promised: FIRST_BALLOT,
        instance: 0,
        last: LogPosition {
            ballot: FIRST_BALLOT,
            index: LogIndex(2),
        },
        commit_index: LogIndex(2),
        closed_index: LogIndex(closed),
        members_index: LogIndex(1),
        call_open: false,
        generation: 0,
    };
    let heads = (1..=5).map(|run| {
        (
            ridgeworks_domain::RunId(run),
            head(if run == 3 { 2 } else { 0 }),
        )
    });
    let (store, generation, heads) = (StoreId(1), 0, heads.collect());
    let replica = Replica::restore(
        NodeId(1),
        RestoredStore {
            store,
            generation,
            heads,
        },
        NOW,
    );
    let silent = Duration::from_secs(5);
    assert!(replica.silent_runs(NOW, silent, None, 10).is_empty());
    let later = NOW + silent;
    let page = replica.silent_runs(later, silent, None, 2);
    let runs: Vec<u128> = page.iter().map(|silent| silent.run.0).collect();
    assert_eq!(runs, [1, 2]);
    let rest = replica.silent_runs(later, silent, Some(page[1].run), 10);
    let runs: Vec<u128> = rest.iter().map(|silent| silent.run.0).collect();
    assert_eq!(runs, [4, 5]);
}

/// Appends entries after `previous`; returns the position of the last one.
fn append_all(
    replica: &mut Replica,
    entries: &mut Entries,
    ballot: Ballot,
    previous: LogPosition,
    tail: Vec<Entry>,
    commit: u64,
) -> LogPosition {
    let first = previous.index.next().0;
    let tail: Vec<LogEntry> = (first..)
        .zip(tail)
        .map(|(index, tail)| entry(index, ballot, tail))
        .collect();
    let last = tail.last().map_or(previous, LogEntry::position);
    let mut request = append(replica.identity(), ballot, previous, tail);
    if let Request::Append { commit_index, .. } = &mut request {
        *commit_index = LogIndex(commit);
    }
    handle_durably(replica, entries, request, NOW);
    last
}

fn accepted() -> Entry {
    let request = call_request(1, 1);
    Entry::Accepted {
        request_digest: 0,
        request,
        max_attempts: 1,
    }
}

#[test]
fn runs_with_an_open_call_or_an_uncommitted_end_have_pending_work_once_silent() {
    let (mut replica, mut entries) = (replica(1), Entries::default());
    let silent = Duration::from_secs(5);
    let pending_work =
        |replica: &Replica| replica.runs_with_pending_work(NOW + silent, silent).count();
    let opened = opened(replica.identity()).entry;
    let held = (&mut replica, &mut entries);
    let ballot = FIRST_BALLOT;
    let last = append_all(held.0, held.1, ballot, LogPosition::NONE, vec![opened], 0);
    assert_eq!(pending_work(&replica), 0, "an idle run");
    let higher = Ballot {
        round: 2,
        node: OTHER_OWNER,
    };
    let node = OTHER_OWNER;
    let last = append_all(
        &mut replica,
        &mut entries,
        ballot,
        last,
        vec![accepted(), Entry::OwnerChanged { owner: node }],
        0,
    );
    assert_eq!(pending_work(&replica), 1, "a call is open");
    assert_eq!(
        replica.runs_with_pending_work(NOW, silent).count(),
        0,
        "not silent"
    );
    let sequence = ridgeworks_domain::Sequence(1);
    let not_run = vec![Entry::NotRun { call: sequence }];
    let ended = append_all(&mut replica, &mut entries, ballot, last, not_run, 0);
    assert_eq!(pending_work(&replica), 0, "the call ended");
    // The next owner overwrites the end, so the call is open again.
    let changed = vec![Entry::OwnerChanged { owner: node }];
    let last = append_all(&mut replica, &mut entries, higher, last, changed, 0);
    assert_eq!(last.index, ended.index);
    assert_eq!(pending_work(&replica), 1, "the end was overwritten");
    let tail = vec![Entry::NotRun { call: sequence }, Entry::Closed];
    let last = append_all(&mut replica, &mut entries, higher, last, tail, 0);
    assert_eq!(
        pending_work(&replica),
        1,
        "the end of the run is not committed"
    );
    append_all(
        &mut replica,
        &mut entries,
        higher,
        last,
        vec![],
        last.index.0,
    );
    assert_eq!(pending_work(&replica), 0, "the run is closed");
    let members = replica.members(RUN, &entries);
    assert_eq!(members, [replica.identity()]);
}
