//! Handle through which requests of other nodes and the other tasks of the process reach the
//! replica's actor.

use std::cell::Cell;
use std::rc::Rc;

use ridgeworks_records::{
    ChainGap, Epoch, GroupId, ReplicaGroups, ReplicaReply, ReplicaRequest, TurnId,
};
use ridgeworks_resident::actors::ActorRuntime;
use ridgeworks_resident::node::Node;
use ridgeworks_resident::peer::{
    ExtensionReply, ExtensionRequest, GossipSources, GrantRequest, LoadReport, PeerReply,
    PeerRequest, PeerService, PrepareRequest, ReplicaStatus,
};
use ridgeworks_resident::view::Source;
use ridgeworks_routing::PrefillRecord;
use stakker::{ActorOwn, call};
use tokio::sync::{mpsc, oneshot};

use crate::actor::{CopiedRecord, DiskEvent, LocalReplicaStatus, ReplicaActor};
use crate::chain_repair::RepairJob;
use crate::limiters::{CLEAN_UP_INTERVAL, LocalLimiters};
use crate::metrics::ReplicaMetrics;
use crate::preparation::Preparation;

/// Serves requests of other nodes, and gives the other tasks of this process access to the replica.
pub struct ReplicaHandle {
    /// The node that the replica runs on.
    pub node: Rc<Node>,
    pub metrics: Rc<ReplicaMetrics>,
    /// Copies requested before the replica joins a set.
    pub preparation: Preparation,
    limiters: LocalLimiters,
    actors: ActorRuntime,
    actor: ActorOwn<ReplicaActor>,
    status: Rc<Cell<Option<LocalReplicaStatus>>>,
}

impl ReplicaHandle {
    pub fn new(
        node: Rc<Node>,
        metrics: Rc<ReplicaMetrics>,
        actors: ActorRuntime,
        actor: ActorOwn<ReplicaActor>,
        status: Rc<Cell<Option<LocalReplicaStatus>>>,
    ) -> Self {
        let bounds = &node.settings.bounds;
        let limiters = LocalLimiters::new(bounds.quota(), bounds.warm_up(), bounds.replicas());
        Self {
            node,
            metrics,
            preparation: Preparation::default(),
            limiters,
            actors,
            actor,
            status,
        }
    }

    /// The replica's status; `None` while its disk is not open.
    pub fn status(&self) -> Option<ReplicaStatus> {
        self.status.get().map(|open| open.published)
    }

    /// Whether all records of the disk are restored.
    pub fn is_fully_restored(&self) -> bool {
        self.status.get().is_some_and(|open| open.is_fully_restored)
    }

    /// Updates the gauges that the actor doesn't update.
    pub fn update_gauges(&self) {
        let epoch = i64::try_from(self.node.view.epoch().0).unwrap_or(i64::MAX);
        self.metrics.replica_set_epoch.set(epoch);
        let tenants = i64::try_from(self.limiters.tenants()).unwrap_or(i64::MAX);
        self.metrics.limited_tenants.set(tenants);
    }

    /// Forwards disk events to the actor until the process ends.
    pub async fn forward_disk_events(
        self: Rc<Self>,
        mut disk_events: mpsc::UnboundedReceiver<DiskEvent>,
    ) {
        while let Some(event) = disk_events.recv().await {
            call!([self.actor], on_disk_event(event));
            self.actors.wake();
        }
    }

    /// Forwards newer replica sets to the actor and the limiters until the process ends.
    pub async fn forward_sets(self: Rc<Self>) {
        let mut changes = self.node.view.changes();
        let mut forwarded = Epoch::default();
        loop {
            if let Some(groups) = self.node.view.replica_sets()
                && groups.epoch() > forwarded
            {
                forwarded = groups.epoch();
                let node = &self.node;
                let now = node.clock.now();
                self.limiters.adopt_sets(&groups, &node.settings.name, now);
                self.adopt(ReplicaGroups::clone(&groups));
            }
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Periodically removes full token buckets, until the process ends.
    pub async fn clean_up_limiters(self: Rc<Self>) {
        let mut ticks = tokio::time::interval(CLEAN_UP_INTERVAL);
        loop {
            ticks.tick().await;
            self.limiters.clean_up(self.node.clock.now());
        }
    }

    fn adopt(&self, groups: ReplicaGroups) {
        call!([self.actor], adopt(groups));
        self.actors.wake();
    }

    /// Adds copied records of a group; returns whether they are durable.
    pub async fn copy(&self, group: GroupId, copied: Vec<CopiedRecord>) -> bool {
        let (reply_sender, reply_receiver) = oneshot::channel();
        call!([self.actor], copy(group, copied, reply_sender));
        self.actors.wake();
        matches!(
            reply_receiver.await,
            Ok(PeerReply::Replica(ReplicaReply::Done))
        )
    }

    /// The gap before a turn; `None` if there is none, or while the disk isn't open.
    pub async fn chain_gap(&self, turn: TurnId) -> Option<ChainGap> {
        let (reply_sender, reply_receiver) = oneshot::channel();
        call!([self.actor], chain_gap(turn, reply_sender));
        self.actors.wake();
        reply_receiver.await.ok().flatten()
    }

    /// Takes a chain for complete, because no voter has what is missing in it.
    pub fn accept_gap(&self, gap: ChainGap) {
        call!([self.actor], accept_gap(gap));
        self.actors.wake();
    }

    /// Replies to an appended turn whose chain was completed.
    pub fn finish_append(&self, job: RepairJob) {
        call!([self.actor], finish_append(job));
        self.actors.wake();
    }

    /// Returns the given turns that the replica doesn't have (all of them while its disk isn't
    /// open), each with its time to live in milliseconds.
    pub async fn missing(&self, turns: Vec<(TurnId, u64)>) -> Vec<(TurnId, u64)> {
        let (reply_sender, reply_receiver) = oneshot::channel();
        call!([self.actor], missing(turns, reply_sender));
        self.actors.wake();
        reply_receiver.await.unwrap_or_default()
    }

    /// Decides whether a request may go to an engine that is warming up.
    fn grant(&self, request: &GrantRequest) -> PeerReply {
        self.metrics.grants_asked.inc();
        let reply = self.limiters.grant(request, self.node.clock.now());
        reply.map_or(PeerReply::Unsupported, |reply| {
            PeerReply::Extension(ExtensionReply::Grant(reply))
        })
    }

    /// Handles a request to copy before this replica joins a set; replies whether it is
    /// prepared.
    fn prepare(&self, preparing: PrepareRequest) -> PeerReply {
        let is_recipient = self
            .status()
            .is_some_and(|status| status.id == preparing.to);
        let PrepareRequest { group, groups, .. } = preparing;
        let epoch = groups.set(group).map(|set| set.epoch);
        self.node.view.adopt_replica_sets(groups, Source::Peer);
        let epoch = epoch.filter(|_| is_recipient);
        let is_ready = epoch.is_some_and(|epoch| self.preparation.on_request(group, epoch));
        PeerReply::Prepared { is_ready }
    }

    /// Notes that the copy for an epoch is finished and durable.
    pub fn finish_copy(&self, group: GroupId, epoch: Epoch) {
        call!([self.actor], finish_copy(group, epoch));
        self.actors.wake();
    }
}

impl PeerService for ReplicaHandle {
    fn on_request(&self, request: PeerRequest, reply_sender: oneshot::Sender<PeerReply>) {
        if let PeerRequest::Replica {
            request: ReplicaRequest::Admit(admission),
            ..
        } = &request
        {
            self.metrics.admissions.inc();
            let reply = self.limiters.admit(admission, self.node.clock.now());
            // The caller may have stopped waiting.
            let _ = reply_sender.send(PeerReply::Replica(reply));
            return;
        }
        if let PeerRequest::Replica { to, request } = request {
            self.metrics.requests.inc();
            call!([self.actor], request(to, request, reply_sender));
            self.actors.wake();
            return;
        }
        let reply = match request {
            PeerRequest::Extension(ExtensionRequest::Grant(request)) => self.grant(&request),
            PeerRequest::Prepare(preparing) => self.prepare(*preparing),
            other => self.node.answer(&other),
        };
        // The caller may have stopped waiting.
        let _ = reply_sender.send(reply);
    }
}

impl GossipSources for ReplicaHandle {
    fn load_report(&self) -> LoadReport {
        LoadReport::default()
    }

    fn replica(&self) -> Option<ReplicaStatus> {
        self.status()
    }

    fn on_load_report(&self, _from: &str, _load: LoadReport) {}

    fn on_prefill(&self, _read: PrefillRecord) {}

    fn find_prefill(&self, _part: u64) -> Option<PrefillRecord> {
        None
    }
}
