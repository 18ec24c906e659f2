//! Encoding and decoding of messages and stored heads; truncated bytes are refused.

mod support;

use ridgeworks_domain::Ballot;
use ridgeworks_run_log::{
    Entry, LogEntry, LogIndex, LogPosition, Message, ReplicaId, Request, RunHead, StoreId,
};
use rkyv::rancor::Error;
use support::{OWNER, RUN, call_request, opening};

const BALLOT: Ballot = Ballot {
    round: 1,
    node: OWNER,
};

fn append() -> Message {
    let store = StoreId(1);
    let replica = ReplicaId {
        node: OWNER,
        store,
        generation: 0,
    };
    let opened = Entry::Opened(opening(vec![replica], 10));
    let accepted = Entry::Accepted {
        request: call_request(1, 5),
        request_digest: 7,
        max_attempts: 2,
    };
    let entries = [opened, accepted].into_iter().zip(1..);
    let entries = entries.map(|(entry, index)| LogEntry {
        index: LogIndex(index),
        ballot: BALLOT,
        entry,
    });
    Message::Request(Request::Append {
        run: RUN,
        ballot: BALLOT,
        replica,
        previous: LogPosition::NONE,
        entries: entries.collect(),
        commit_index: LogIndex::NONE,
        round: 3,
    })
}

#[test]
fn messages_are_unchanged_by_encoding_and_decoding() {
    let message = append();
    let bytes = rkyv::to_bytes::<Error>(&message).unwrap();
    assert_eq!(rkyv::from_bytes::<Message, Error>(&bytes).unwrap(), message);
}

#[test]
fn truncated_messages_are_refused() {
    let bytes = rkyv::to_bytes::<Error>(&append()).unwrap();
    let whole = bytes.len();
    let refused = |cut: &usize| rkyv::from_bytes::<Message, Error>(&bytes[..whole - cut]).is_err();
    assert!([16, whole / 2, whole].iter().all(refused));
}

#[test]
fn heads_are_unchanged_by_encoding_and_decoding() {
    let head = RunHead {
        promised: BALLOT,
        instance: 9,
        last: LogPosition {
            ballot: BALLOT,
            index: LogIndex(4),
        },
        commit_index: LogIndex(3),
        closed_index: LogIndex::NONE,
        members_index: LogIndex(1),
        call_open: false,
        generation: 2,
    };
    let bytes = rkyv::to_bytes::<Error>(&head).unwrap();
    assert_eq!(rkyv::from_bytes::<RunHead, Error>(&bytes).unwrap(), head);
}
