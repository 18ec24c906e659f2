//! What a replica of the newest majority lacks of a ledger is written again.

use ridgeworks_records::{
    Epoch, GroupId, LedgerEntry, ProgramLedger, QuorumWrite, Replica, ReplicaId, ReplicaReply,
    ReplicaSet, TurnId, WriteProgress, Written,
};

fn member(number: u64) -> Replica {
    Replica {
        id: ReplicaId(number),
        node: format!("store-{number}"),
        address: format!("127.0.0.1:{number}"),
        zone: "zone".to_owned(),
    }
}

fn set(incoming: Option<Vec<Replica>>) -> ReplicaSet {
    ReplicaSet {
        epoch: Epoch(3),
        voters: [1, 2, 3].map(member).to_vec(),
        incoming,
    }
}

fn ledger(entries: &[(&str, Option<u64>)]) -> ProgramLedger {
    let entries = entries.iter().map(|(turn, spent)| {
        let entry = LedgerEntry {
            reserved_tokens: 10,
            spent: *spent,
        };
        (TurnId((*turn).to_owned()), entry)
    });
    ProgramLedger {
        entries: entries.collect(),
    }
}

fn written(set: ReplicaSet, replies: [ProgramLedger; 2]) -> Written {
    let mut write = QuorumWrite::new(GroupId(0), set);
    let [one, two] = replies.map(|ledger| ReplicaReply::Charged { ledger });
    assert_eq!(write.on_reply(ReplicaId(1), one), WriteProgress::Waiting);
    match write.on_reply(ReplicaId(2), two) {
        WriteProgress::Durable(written) => written,
        other => panic!("{other:?}"),
    }
}

#[test]
fn entries_that_one_replica_lacks_or_has_unsettled_are_written_again() {
    let full = ledger(&[("t-1", Some(4)), ("t-2", Some(7)), ("t-3", None)]);
    let partial = ledger(&[("t-2", None), ("t-3", None)]);
    let expected = ledger(&[("t-1", Some(4)), ("t-2", Some(7))]);
    for replies in [[full.clone(), partial.clone()], [partial, full.clone()]] {
        let written = written(set(None), replies);
        assert_eq!(written.ledger, full);
        assert_eq!(written.lagging, expected.entries);
    }
}

#[test]
fn replicas_that_agree_get_nothing_again() {
    let same = ledger(&[("t-1", Some(4)), ("t-2", None)]);
    let written = written(set(None), [same.clone(), same]);
    assert!(written.lagging.is_empty());
}

/// Each new member would get the ledgers twice.
#[test]
fn nothing_is_written_again_while_the_set_changes() {
    let mut write = QuorumWrite::new(GroupId(0), set(Some([1, 2, 4].map(member).to_vec())));
    let replies = [ledger(&[("t-1", None)]), ledger(&[("t-2", None)])];
    let [one, two] = replies.map(|ledger| ReplicaReply::Charged { ledger });
    assert_eq!(write.on_reply(ReplicaId(1), one), WriteProgress::Waiting);
    let WriteProgress::Durable(written) = write.on_reply(ReplicaId(2), two) else {
        panic!("a quorum of both sets");
    };
    assert!(written.lagging.is_empty());
}
