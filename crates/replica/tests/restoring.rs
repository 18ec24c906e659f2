//! An actor that takes requests while the turns of its disk are still being read back. In a file of its own:
//! a process has one actor runtime.

mod support;

use ridgeworks_records::{Epoch, ReplicaReply, ReplicaRequest, TurnId, TurnRecord};
use support::{Bed, adopt, charge, on_runtime};

fn append(turn: &str) -> ReplicaRequest {
    ReplicaRequest::Append {
        epoch: Epoch(1),
        record: TurnRecord {
            turn: TurnId(turn.to_owned()),
            previous: None,
            input: b"input".to_vec(),
            output: b"output".to_vec(),
        },
        keep_ms: 60_000,
    }
}

fn read(turn: &str) -> ReplicaRequest {
    ReplicaRequest::ReadChain {
        epoch: Epoch(1),
        turn: TurnId(turn.to_owned()),
    }
}

#[test]
fn requests_are_taken_before_the_turns_of_the_disk_are_read_back() {
    let folder = tempfile::tempdir().expect("a folder");
    on_runtime(async {
        let mut bed = Bed::open(folder.path()).await;
        for request in [adopt(bed.id()), append("t-1"), charge("p", "t-1", 60_000)] {
            let answered = bed.ask(request);
            bed.reply(answered).await;
        }
        drop(bed);
        let mut bed = Bed::open(folder.path()).await;
        let early = bed.ask(read("t-1"));
        assert_eq!(bed.reply(early).await, ReplicaReply::Unavailable);
        let charged = bed.ask(charge("p", "t-2", 60_000));
        let ReplicaReply::Charged { ledger } = bed.reply(charged).await else {
            panic!("the ledger is known");
        };
        assert_eq!(ledger.entries.len(), 2);
        loop {
            let answered = bed.ask(read("t-1"));
            match bed.reply(answered).await {
                ReplicaReply::Unavailable => bed.take_news().await,
                ReplicaReply::Chain { records, missing } => {
                    assert_eq!((records.len(), missing), (1, None));
                    break;
                }
                other => panic!("{other:?}"),
            }
        }
    });
}
