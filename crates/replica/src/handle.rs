//! How the rest of the process reaches the replica's actor.

use std::cell::Cell;
use std::rc::Rc;

use ridgeworks_records::{Epoch, GroupId, ReplicaGroups, ReplicaReply, ReplicaRequest, TurnId};
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

use crate::actor::{Copied, DiskNews, OpenReplica, ReplicaActor};
use crate::limiting::{Limiting, TIDY_INTERVAL};
use crate::metrics::ReplicaMetrics;
use crate::preparation::Preparation;

/// The replica of this process.
pub struct ReplicaHandle {
    /// The node that it runs on.
    pub node: Rc<Node>,
    /// Metrics.
    pub metrics: Rc<ReplicaMetrics>,
    /// What it is asked to copy before it joins the set.
    pub preparation: Preparation,
    limiting: Limiting,
    actors: ActorRuntime,
    actor: ActorOwn<ReplicaActor>,
    status: Rc<Cell<Option<OpenReplica>>>,
}

impl ReplicaHandle {
    /// A handle on the actor.
    pub fn new(
        node: Rc<Node>,
        metrics: Rc<ReplicaMetrics>,
        actors: ActorRuntime,
        actor: ActorOwn<ReplicaActor>,
        status: Rc<Cell<Option<OpenReplica>>>,
    ) -> Self {
        let bounds = &node.settings.bounds;
        let limiting = Limiting::new(bounds.quota(), bounds.warm_up(), bounds.replicas());
        Self {
            node,
            metrics,
            preparation: Preparation::default(),
            limiting,
            actors,
            actor,
            status,
        }
    }

    /// The replica's status; `None` while its disk is not open.
    pub fn status(&self) -> Option<ReplicaStatus> {
        self.status.get().map(|open| open.told)
    }

    /// Whether all records of the disk are back.
    pub fn is_whole(&self) -> bool {
        self.status.get().is_some_and(|open| open.is_whole)
    }

    /// Brings the gauges up to date.
    pub fn update_gauges(&self) {
        let epoch = i64::try_from(self.node.view.epoch().0).unwrap_or(i64::MAX);
        self.metrics.replica_set_epoch.set(epoch);
        let tenants = i64::try_from(self.limiting.tenants()).unwrap_or(i64::MAX);
        self.metrics.limited_tenants.set(tenants);
    }

    /// Hands news of other threads to the actor until the process ends.
    pub async fn pass_news(self: Rc<Self>, mut news: mpsc::UnboundedReceiver<DiskNews>) {
        while let Some(item) = news.recv().await {
            call!([self.actor], news(item));
            self.actors.wake();
        }
    }

    /// Hands newer replica sets to the actor until the process ends.
    pub async fn pass_sets(self: Rc<Self>) {
        let mut changes = self.node.view.changes();
        let mut told = Epoch::default();
        loop {
            if let Some(groups) = self.node.view.groups()
                && groups.epoch() > told
            {
                told = groups.epoch();
                let node = &self.node;
                let now = node.clock.now();
                self.limiting.on_sets(&groups, &node.settings.name, now);
                self.adopt(ReplicaGroups::clone(&groups));
            }
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Lets go of what is no longer needed of limits, until the process ends.
    pub async fn tidy_limits(self: Rc<Self>) {
        let mut ticks = tokio::time::interval(TIDY_INTERVAL);
        loop {
            ticks.tick().await;
            self.limiting.clean_up(self.node.clock.now());
        }
    }

    fn adopt(&self, groups: ReplicaGroups) {
        call!([self.actor], adopt(groups));
        self.actors.wake();
    }

    /// Takes in copied records of a group; says whether they are durable.
    pub async fn copy(&self, group: GroupId, copied: Vec<Copied>) -> bool {
        let (answer, answered) = oneshot::channel();
        call!([self.actor], copy(group, copied, answer));
        self.actors.wake();
        matches!(answered.await, Ok(PeerReply::Replica(ReplicaReply::Done)))
    }

    /// Which of these turns the replica does not hold.
    pub async fn missing(&self, turns: Vec<(TurnId, u64)>) -> Vec<(TurnId, u64)> {
        let (answer, answered) = oneshot::channel();
        call!([self.actor], missing(turns, answer));
        self.actors.wake();
        answered.await.unwrap_or_default()
    }

    /// Whether a request may go to an engine that warms up.
    fn grant(&self, request: &GrantRequest) -> PeerReply {
        self.metrics.grants_asked.inc();
        let reply = self.limiting.grant(request, self.node.clock.now());
        reply.map_or(PeerReply::Unsupported, |reply| {
            PeerReply::Extension(ExtensionReply::Grant(reply))
        })
    }

    /// Says how far the copy is that is wanted before this replica joins a set.
    fn prepare(&self, preparing: PrepareRequest) -> PeerReply {
        let is_meant = self
            .status()
            .is_some_and(|status| status.id == preparing.to);
        let PrepareRequest { group, groups, .. } = preparing;
        let epoch = groups.set(group).map(|set| set.epoch);
        self.node.view.adopt_groups(groups, Source::Peer);
        let epoch = epoch.filter(|_| is_meant);
        let is_ready = epoch.is_some_and(|epoch| self.preparation.on_asked(group, epoch));
        PeerReply::Prepared { is_ready }
    }

    /// Notes that the copy for an epoch is finished and durable.
    pub fn finish_copy(&self, group: GroupId, epoch: Epoch) {
        call!([self.actor], finish_copy(group, epoch));
        self.actors.wake();
    }
}

impl PeerService for ReplicaHandle {
    fn on_request(&self, request: PeerRequest, reply: oneshot::Sender<PeerReply>) {
        if let PeerRequest::Replica {
            request: ReplicaRequest::Admit(admission),
            ..
        } = &request
        {
            self.metrics.admissions.inc();
            let answer = self.limiting.admit(admission, self.node.clock.now());
            // Whoever asked may have given up.
            let _ = reply.send(PeerReply::Replica(answer));
            return;
        }
        if let PeerRequest::Replica { to, request } = request {
            self.metrics.requests.inc();
            call!([self.actor], request(to, request, reply));
            self.actors.wake();
            return;
        }
        let answer = match request {
            PeerRequest::Extension(ExtensionRequest::Grant(request)) => self.grant(&request),
            PeerRequest::Prepare(preparing) => self.prepare(*preparing),
            other => self.node.answer(&other),
        };
        // Whoever asked may have given up.
        let _ = reply.send(answer);
    }
}

impl GossipSources for ReplicaHandle {
    fn load(&self) -> LoadReport {
        LoadReport::default()
    }

    fn replica(&self) -> Option<ReplicaStatus> {
        self.status()
    }

    fn on_load(&self, _from: &str, _load: LoadReport) {}

    fn on_prefill(&self, _read: PrefillRecord) {}

    fn find_read(&self, _part: u64) -> Option<PrefillRecord> {
        None
    }
}
