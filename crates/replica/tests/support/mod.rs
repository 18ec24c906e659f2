//! An actor on a real disk, with timers under virtual time.
#![allow(dead_code, reason = "each test file uses only a part")]

use std::cell::Cell;
use std::future::Future;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use prometheus_client::registry::Registry;
use ridgeworks_records::{
    Epoch, GroupId, LedgerEntry, ProgramId, Replica, ReplicaGroups, ReplicaId, ReplicaReply,
    ReplicaRequest, ReplicaSet, TurnId,
};
use ridgeworks_replica::actor::{DiskEvent, LocalReplicaStatus, ReplicaActor, ReplicaParts};
use ridgeworks_replica::metrics::ReplicaMetrics;
use ridgeworks_resident::clock::Clock;
use ridgeworks_resident::peer::PeerReply;
use ridgeworks_resident::view::View;
use stakker::{ActorOwn, Stakker, actor, call, ret_nop};
use tokio::sync::{mpsc, oneshot};

pub const MAX_TOTAL_TURN_BYTES: usize = 1024 * 1024;
pub const NODE: &str = "replica-1";

pub fn on_runtime<F: Future>(test: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test)
}

/// An actor whose timers fire when the test advances its time.
pub struct ActorHarness {
    stakker: Stakker,
    actor: ActorOwn<ReplicaActor>,
    start: Instant,
    at: Duration,
    disk_events: mpsc::UnboundedReceiver<DiskEvent>,
    status: Rc<Cell<Option<LocalReplicaStatus>>>,
}

impl ActorHarness {
    pub async fn open(folder: &Path) -> Self {
        let start = Instant::now();
        let mut stakker = Stakker::new(start);
        let (sender, disk_events) = mpsc::unbounded_channel();
        let status = Rc::new(Cell::new(None));
        let parts = ReplicaParts {
            folder: folder.to_owned(),
            node_name: NODE.to_owned(),
            max_total_turn_bytes: MAX_TOTAL_TURN_BYTES,
            clock: Clock::start(),
            view: Rc::new(View::new(Clock::start(), false)),
            metrics: Rc::new(ReplicaMetrics::register(&mut Registry::default())),
            disk_events: sender,
            repairs: mpsc::unbounded_channel().0,
            status: Rc::clone(&status),
        };
        let actor = actor!(stakker, ReplicaActor::init(parts), ret_nop!());
        stakker.run(start, false);
        let mut harness = Self {
            stakker,
            actor,
            start,
            at: Duration::ZERO,
            disk_events,
            status,
        };
        harness.take_disk_event().await;
        harness
    }

    pub fn run_until(&mut self, at: Duration) {
        self.at = at;
        self.stakker.run(self.start + at, false);
    }

    /// Passes the next event of the disk to the actor.
    pub async fn take_disk_event(&mut self) {
        let event = self.disk_events.recv().await.expect("an event of the disk");
        call!([self.actor], on_disk_event(event));
        self.run_until(self.at);
    }

    pub fn id(&self) -> ReplicaId {
        self.status.get().expect("an open disk").published.id
    }

    /// Whether all records are restored, so that other replicas may copy them.
    pub fn is_fully_restored(&self) -> bool {
        self.status.get().is_some_and(|open| open.is_fully_restored)
    }

    pub fn ask(&mut self, request: ReplicaRequest) -> oneshot::Receiver<PeerReply> {
        let (reply_sender, reply_receiver) = oneshot::channel();
        let id = self.id();
        call!([self.actor], request(id, request, reply_sender));
        self.run_until(self.at);
        reply_receiver
    }

    /// Passes on events of the disk until there is a reply.
    pub async fn reply(
        &mut self,
        mut reply_receiver: oneshot::Receiver<PeerReply>,
    ) -> ReplicaReply {
        loop {
            match reply_receiver.try_recv() {
                Ok(PeerReply::Replica(reply)) => return reply,
                Ok(other) => panic!("{other:?}"),
                Err(oneshot::error::TryRecvError::Empty) => self.take_disk_event().await,
                Err(error) => panic!("{error}"),
            }
        }
    }
}

pub fn charge(program: &str, turn: &str, ttl_ms: u64) -> ReplicaRequest {
    ReplicaRequest::Charge {
        group: GroupId(0),
        epoch: Epoch(1),
        program: ProgramId(program.to_owned()),
        turn: TurnId(turn.to_owned()),
        entry: LedgerEntry {
            reserved_tokens: 100,
            spent: None,
        },
        ttl_ms,
    }
}

/// A request to adopt a set of this replica alone.
pub fn adopt(id: ReplicaId) -> ReplicaRequest {
    let replica = Replica {
        id,
        node: NODE.to_owned(),
        address: "127.0.0.1:1".to_owned(),
        zone: "zone-a".to_owned(),
    };
    ReplicaRequest::Adopt {
        groups: ReplicaGroups::single(ReplicaSet {
            epoch: Epoch(1),
            voters: vec![replica],
            incoming: None,
        }),
    }
}
