//! An actor that handles requests while the records of its disk are being restored. In a file of
//! its own, since a process has one actor runtime.

mod support;

use ridgeworks_records::{Epoch, GroupId, ReplicaReply, ReplicaRequest, TurnId, TurnRecord};
use ridgeworks_resident::peer::PeerReply;
use support::{ActorHarness, adopt, charge, on_runtime};

fn append(turn: &str) -> ReplicaRequest {
    ReplicaRequest::Append {
        group: GroupId(0),
        epoch: Epoch(1),
        record: TurnRecord {
            turn: TurnId(turn.to_owned()),
            previous: None,
            input: b"input".to_vec(),
            output: b"output".to_vec(),
        },
        ttl_ms: 60_000,
    }
}

fn list() -> ReplicaRequest {
    ReplicaRequest::List {
        group: GroupId(0),
        epoch: Epoch(1),
        after: None,
    }
}

fn read(turn: &str) -> ReplicaRequest {
    ReplicaRequest::ReadChain {
        group: GroupId(0),
        epoch: Epoch(1),
        turn: TurnId(turn.to_owned()),
    }
}

/// Writes a turn and a ledger to a folder.
async fn write(folder: &std::path::Path) {
    let mut harness = ActorHarness::open(folder).await;
    for request in [
        adopt(harness.id()),
        append("t-1"),
        charge("p", "t-1", 60_000),
    ] {
        let reply_receiver = harness.ask(request);
        harness.reply(reply_receiver).await;
    }
}

#[test]
fn requests_are_handled_while_records_are_restored() {
    let folder = tempfile::tempdir().expect("a folder");
    on_runtime(async {
        write(folder.path()).await;
        let mut harness = ActorHarness::open(folder.path()).await;
        // No event of the reading thread has been handled yet, so other replicas couldn't copy
        // everything.
        assert!(!harness.is_fully_restored());
        let mut found = harness.ask(read("t-1"));
        let Ok(PeerReply::Replica(ReplicaReply::Chain { records, missing })) = found.try_recv()
        else {
            panic!("the turn has to be read from the disk at once");
        };
        assert_eq!((records.len(), missing), (1, None));
        let mut unknown = harness.ask(read("t-9"));
        let Ok(PeerReply::Replica(ReplicaReply::Chain { missing, .. })) = unknown.try_recv() else {
            panic!("the turn has to be looked up on the disk at once");
        };
        assert_eq!(missing, Some(TurnId("t-9".to_owned())));
        let charged = harness.ask(charge("p", "t-2", 60_000));
        let ReplicaReply::Charged { ledger } = harness.reply(charged).await else {
            panic!("the ledger has to be read from the disk");
        };
        assert_eq!(
            ledger.entries.len(),
            2,
            "the earlier reservation is still charged"
        );
        // A listing is available once all records are restored.
        let listed = harness.ask(list());
        let mut reply = harness.reply(listed).await;
        while reply == ReplicaReply::Unavailable {
            harness.take_disk_event().await;
            let listed = harness.ask(list());
            reply = harness.reply(listed).await;
        }
        let ReplicaReply::Listed(listing) = reply else {
            panic!("{reply:?}");
        };
        assert_eq!((listing.turns.len(), listing.ledgers.len()), (1, 1));
        assert!(harness.is_fully_restored());
    });
}
