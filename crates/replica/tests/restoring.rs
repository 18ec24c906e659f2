//! An actor that takes requests while the turns of its disk are still being read back. In a file of its own:
//! a process has one actor runtime.

mod support;

use ridgeworks_records::{Epoch, GroupId, ReplicaReply, ReplicaRequest, TurnId, TurnRecord};
use ridgeworks_resident::peer::PeerReply;
use support::{Bed, adopt, charge, on_runtime};

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

/// A folder with a turn and a ledger on it.
async fn write(folder: &std::path::Path) {
    let mut bed = Bed::open(folder).await;
    for request in [adopt(bed.id()), append("t-1"), charge("p", "t-1", 60_000)] {
        let answered = bed.ask(request);
        bed.reply(answered).await;
    }
}

#[test]
fn requests_are_taken_before_the_disk_is_read_back() {
    let folder = tempfile::tempdir().expect("a folder");
    on_runtime(async {
        write(folder.path()).await;
        let mut bed = Bed::open(folder.path()).await;
        // No news of what the other thread reads has been taken yet, and a change of the set would copy in vain.
        assert!(!bed.is_whole());
        let mut found = bed.ask(read("t-1"));
        let Ok(PeerReply::Replica(ReplicaReply::Chain { records, missing })) = found.try_recv()
        else {
            panic!("read from the disk at once");
        };
        assert_eq!((records.len(), missing), (1, None));
        let mut unknown = bed.ask(read("t-9"));
        let Ok(PeerReply::Replica(ReplicaReply::Chain { missing, .. })) = unknown.try_recv() else {
            panic!("looked for on the disk at once");
        };
        assert_eq!(missing, Some(TurnId("t-9".to_owned())));
        let charged = bed.ask(charge("p", "t-2", 60_000));
        let ReplicaReply::Charged { ledger } = bed.reply(charged).await else {
            panic!("the ledger is read from the disk");
        };
        assert_eq!(ledger.entries.len(), 2, "what was reserved before counts");
        // A copy for a changed set waits until everything is there.
        let listed = bed.ask(list());
        let mut reply = bed.reply(listed).await;
        while reply == ReplicaReply::Unavailable {
            bed.take_news().await;
            let listed = bed.ask(list());
            reply = bed.reply(listed).await;
        }
        let ReplicaReply::Listed(listing) = reply else {
            panic!("{reply:?}");
        };
        assert_eq!((listing.turns.len(), listing.ledgers.len()), (1, 1));
        assert!(bed.is_whole());
    });
}
