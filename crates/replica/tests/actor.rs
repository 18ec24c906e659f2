//! The replica's actor on a real disk, with its timers under virtual time.

use std::cell::Cell;
use std::future::Future;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use prometheus_client::registry::Registry;
use ridgeworks_records::{
    Epoch, LedgerEntry, ProgramId, Replica, ReplicaId, ReplicaReply, ReplicaRequest, ReplicaSet,
    Settlement, TurnId,
};
use ridgeworks_replica::actor::{DiskNews, ReplicaActor, ReplicaParts};
use ridgeworks_replica::disk;
use ridgeworks_replica::metrics::ReplicaMetrics;
use ridgeworks_resident::clock::Clock;
use ridgeworks_resident::peer::{PeerReply, ReplicaStatus};
use ridgeworks_resident::view::View;
use stakker::{ActorOwn, Stakker, actor, call, ret_nop};
use tokio::sync::{mpsc, oneshot};

const MAX_TURN_BYTES: usize = 1024 * 1024;
const NODE: &str = "replica-1";

fn on_runtime<F: Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test)
}

/// An actor whose timers fire when the test says so.
struct Bed {
    stakker: Stakker,
    actor: ActorOwn<ReplicaActor>,
    start: Instant,
    at: Duration,
    news: mpsc::UnboundedReceiver<DiskNews>,
    status: Rc<Cell<Option<ReplicaStatus>>>,
}

impl Bed {
    async fn open(folder: &Path) -> Self {
        let start = Instant::now();
        let mut stakker = Stakker::new(start);
        let (sender, news) = mpsc::unbounded_channel();
        let status = Rc::new(Cell::new(None));
        let parts = ReplicaParts {
            folder: folder.to_owned(),
            node_name: NODE.to_owned(),
            max_turn_bytes: MAX_TURN_BYTES,
            view: Rc::new(View::new(Clock::start(), false)),
            metrics: Rc::new(ReplicaMetrics::register(&mut Registry::default())),
            news: sender,
            status: Rc::clone(&status),
        };
        let actor = actor!(stakker, ReplicaActor::init(parts), ret_nop!());
        stakker.run(start, false);
        let mut bed = Self {
            stakker,
            actor,
            start,
            at: Duration::ZERO,
            news,
            status,
        };
        bed.take_news().await;
        bed
    }

    fn run_until(&mut self, at: Duration) {
        self.at = at;
        self.stakker.run(self.start + at, false);
    }

    /// Hands the next news of the disk to the actor.
    async fn take_news(&mut self) {
        let item = self.news.recv().await.expect("the disk says something");
        call!([self.actor], news(item));
        self.run_until(self.at);
    }

    fn id(&self) -> ReplicaId {
        self.status.get().expect("an open disk").id
    }

    fn ask(&mut self, request: ReplicaRequest) -> oneshot::Receiver<PeerReply> {
        let (answer, answered) = oneshot::channel();
        let id = self.id();
        call!([self.actor], request(id, request, answer));
        self.run_until(self.at);
        answered
    }

    /// Hands on news until there is a reply.
    async fn reply(&mut self, mut answered: oneshot::Receiver<PeerReply>) -> ReplicaReply {
        loop {
            match answered.try_recv() {
                Ok(PeerReply::Replica(reply)) => return reply,
                Ok(other) => panic!("{other:?}"),
                Err(oneshot::error::TryRecvError::Empty) => self.take_news().await,
                Err(error) => panic!("{error}"),
            }
        }
    }
}

fn charge(program: &str, turn: &str, keep_ms: u64) -> ReplicaRequest {
    ReplicaRequest::Charge {
        epoch: Epoch(1),
        program: ProgramId(program.to_owned()),
        turn: TurnId(turn.to_owned()),
        entry: LedgerEntry {
            most: 100,
            spent: None,
        },
        keep_ms,
    }
}

fn settle(program: &str, turn: &str, spent: u64) -> ReplicaRequest {
    ReplicaRequest::Settle {
        epoch: Epoch(1),
        settlements: vec![Settlement {
            program: ProgramId(program.to_owned()),
            turn: TurnId(turn.to_owned()),
            entry: LedgerEntry {
                most: 100,
                spent: Some(spent),
            },
            keep_ms: 60_000,
        }],
    }
}

/// A set with this replica alone.
fn adopt(id: ReplicaId) -> ReplicaRequest {
    let replica = Replica {
        id,
        node: NODE.to_owned(),
        address: "127.0.0.1:1".to_owned(),
        zone: "zone-a".to_owned(),
    };
    ReplicaRequest::Adopt {
        set: ReplicaSet {
            epoch: Epoch(1),
            voters: vec![replica],
            incoming: None,
        },
    }
}

/// What a program has taken of its budget, as a process would find it that starts after a crash now.
fn charged_on_disk(folder: &Path, program: &str) -> u64 {
    let copy = tempfile::tempdir().expect("a folder");
    for entry in std::fs::read_dir(folder).expect("the folder is there") {
        let from = entry.expect("an entry").path();
        let name = from.file_name().expect("a name");
        std::fs::copy(&from, copy.path().join(name)).expect("a copy");
    }
    let mut opened = disk::open(copy.path(), NODE, MAX_TURN_BYTES).expect("the folder opens");
    let id = opened.state.id();
    let handled = opened.state.handle(charge(program, "probe", 1), 0);
    match handled.reply {
        ReplicaReply::Charged { ledger } => ledger.charged_besides(&TurnId("probe".to_owned())),
        other => panic!("{id}: {other:?}"),
    }
}

#[test]
fn a_settlement_that_is_acknowledged_is_durable_also_when_records_expire_meanwhile() {
    let folder = tempfile::tempdir().expect("a folder");
    on_runtime(async {
        let mut bed = Bed::open(folder.path()).await;
        let adopted = bed.ask(adopt(bed.id()));
        assert_eq!(bed.reply(adopted).await, ReplicaReply::Done);
        for request in [charge("old", "t-1", 0), charge("new", "t-2", 60_000)] {
            let charged = bed.ask(request);
            assert!(matches!(
                bed.reply(charged).await,
                ReplicaReply::Charged { .. }
            ));
        }
        // Between the last flush before the expiry, about 1.95 s, and the next one, about 2.1 s.
        for step in 1..=198 {
            bed.run_until(Duration::from_millis(10) * step);
        }
        let settled = bed.ask(settle("new", "t-2", 7));
        bed.run_until(Duration::from_millis(2_020));
        // The expired ledger has gone to the disk; an acknowledgement now covers the settlement too.
        assert_eq!(bed.reply(settled).await, ReplicaReply::Done);
        assert_eq!(charged_on_disk(folder.path(), "new"), 7);
    });
}
