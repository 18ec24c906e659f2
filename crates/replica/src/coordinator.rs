//! Changes replica sets where needed, and reports the progress of retirements.
//!
//! Every storage node runs a coordinator. Nodes act after a delay that grows with their rank among
//! the set's members; if two act at once, the platform store's compare-and-swap accepts only one
//! change.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_platform::{
    ObjectKind, RetirementState, StoreOutcome, StoreRequest, create, replace, retirement_status,
    set_status,
};
use ridgeworks_records::{
    CopyProgress, Epoch, GroupId, ProgramId, Replica, ReplicaGroups, ReplicaId, ReplicaSet,
    SetStep, StorageNode, initial_groups, plan_change,
};
use ridgeworks_resident::clock::whole_ms;
use ridgeworks_resident::node::{REPLICA_SET_NAME, RegisteredReplicaSets};
use ridgeworks_resident::resources;
use ridgeworks_resident::view::Source;
use ridgeworks_resident::watch_policy::{WatchControl, WatchTimings};

use crate::handle::ReplicaHandle;
use crate::liveness::{Liveness, alive};
use crate::new_members::NewMembers;
use crate::retirements::Retirements;

const TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Additional delay per rank before a node acts.
const RANK_DELAY: Duration = Duration::from_millis(400);
/// How long a set change waits until the new members are prepared: until the change, the group
/// tolerates one failure less.
const PREPARE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a voter that no node can replace has to be lost until the set does without it. Longer than most restarts, since a voter
/// that was left out copies before it counts again; shorter than the time after which a further loss has to be borne.
const LEAVE_OUT_DELAY: Duration = Duration::from_secs(4);
/// How long a joint set waits for live replicas that haven't finished copying.
const COPY_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time of the node's clock before which the initial sets are only written with at least as many
/// live nodes as one set needs.
const INITIAL_SET_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the initial sets wait for disks that are being opened, once a majority of one set is
/// there. A disk that never opens delays a new deployment by as much.
const MAX_OPENING_WAIT: Duration = Duration::from_secs(8);
/// How long the number of live storage nodes has to be constant before the initial sets are
/// written: it determines the number of groups permanently. 36 nodes hear each other within 2 s.
const INITIAL_SET_QUIET_PERIOD: Duration = Duration::from_millis(750);
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Minimum time between reads of the platform store by a member that has lost its read quorum.
const STORE_READ_INTERVAL: Duration = Duration::from_secs(2);
/// Members of a group that watch the platform store for retirements: the first in rank, which
/// acts, and one standby.
const WATCHERS: u32 = 2;

/// A coordinator's state of one group.
#[derive(Debug, Default)]
struct GroupState {
    /// The current epoch.
    epoch: Epoch,
    /// When the current epoch became known to this node.
    epoch_known_since: Duration,
    /// The step that is due, and since when.
    due: Option<(SetStep, Duration)>,
}

pub struct Coordinator {
    replica: Rc<ReplicaHandle>,
    retirements: Retirements,
    /// Whether this node watches the platform store for retirements.
    store_watch: Rc<WatchControl>,
    /// Replicas that copy before they join.
    new_members: NewMembers,
    liveness: Liveness,
    groups: BTreeMap<GroupId, GroupState>,
    /// Number of live storage nodes while there is no set, and since when it is constant.
    discovered: (usize, Duration),
    /// When the platform store was last read for newer sets.
    store_read_at: Duration,
}

impl Coordinator {
    pub fn new(
        replica: Rc<ReplicaHandle>,
        retirements: Retirements,
        store_watch: Rc<WatchControl>,
    ) -> Self {
        Self {
            new_members: NewMembers::new(Rc::clone(&replica.node)),
            liveness: Liveness::new(Rc::clone(&replica), retirements.clone()),
            replica,
            retirements,
            store_watch,
            groups: BTreeMap::new(),
            discovered: (0, Duration::ZERO),
            store_read_at: Duration::ZERO,
        }
    }

    pub async fn run(mut self) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        loop {
            ticks.tick().await;
            let Some(groups) = self.replica.node.view.replica_sets() else {
                self.create_initial_sets().await;
                continue;
            };
            let now = self.now();
            self.liveness.note_seen(&groups, now);
            let nodes = self.liveness.nodes(Some(&groups), now);
            self.update_watching(&groups, &nodes);
            self.read_newer_sets(&groups, &nodes).await;
            for group in self.own_groups(&groups) {
                self.change_set(group, &groups, &nodes).await;
            }
            self.update_retirements(&groups, &nodes).await;
        }
    }

    fn now(&self) -> Duration {
        self.replica.node.clock.now()
    }

    /// The groups that this node's replica belongs to. Nodes outside a group hear too little from
    /// its members to decide which are lost.
    fn own_groups(&self, groups: &ReplicaGroups) -> Vec<GroupId> {
        let status = self.replica.status();
        status.map_or(Vec::new(), |me| groups.groups_of(me.id))
    }

    /// Has the first members of each group watch for retirements, since they change the set and
    /// write the status. So the number of calls to the platform store doesn't grow with the
    /// number of storage nodes.
    fn update_watching(&self, groups: &ReplicaGroups, nodes: &[StorageNode]) {
        let own = self.own_groups(groups).into_iter();
        let mut ranks = own.filter_map(|group| self.rank(groups.set(group)?, nodes));
        let is_due = ranks.any(|rank| rank < WATCHERS);
        if self.store_watch.set(is_due, WatchTimings::RETIREMENTS) {
            log::info!(
                target: "belief",
                watches = is_due;
                "updated whether this node watches for retirements"
            );
        }
    }

    /// Reads the platform store when a set has no live read quorum. The known set may be outdated,
    /// and the nodes that knew of a newer one may be lost.
    async fn read_newer_sets(&mut self, groups: &ReplicaGroups, nodes: &[StorageNode]) {
        let now = self.now();
        if now.saturating_sub(self.store_read_at) <= STORE_READ_INTERVAL {
            return;
        }
        let alive = alive(nodes);
        let own = self.own_groups(groups).into_iter();
        let mut sets = own.filter_map(|group| Some((group, groups.set(group)?)));
        let Some((group, set)) = sets.find(|(_, set)| !set.has_read_quorum(&alive)) else {
            return;
        };
        self.store_read_at = now;
        let found = self.replica.node.read_replica_sets().await;
        log::info!(
            target: "dependency",
            group = group.0,
            epoch = set.epoch.0,
            alive = alive.len(),
            is_answered = found.is_some();
            "no read quorum is alive; read the platform store for a newer replica set"
        );
    }

    /// Writes the initial sets once the number of live storage nodes is constant, and those that
    /// are starting have opened their disks.
    async fn create_initial_sets(&mut self) {
        let now = self.now();
        let nodes = self.liveness.nodes(None, now);
        let size = self.replica.node.settings.bounds.replicas();
        let alive = alive(&nodes);
        if self.discovered.0 != alive.len() {
            self.discovered = (alive.len(), now);
        }
        let has_too_few = alive.len() < size && now < INITIAL_SET_TIMEOUT;
        let Some(me) = self.replica.status().filter(|_| !has_too_few) else {
            return;
        };
        let rank = alive.iter().take_while(|id| **id < me.id).count();
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let required_delay =
            INITIAL_SET_QUIET_PERIOD.saturating_add(RANK_DELAY.saturating_mul(rank));
        let has_majority = alive.len() > size / 2;
        let opening_wait = if has_majority {
            MAX_OPENING_WAIT
        } else {
            resources::MAX_WAIT
        };
        if now.saturating_sub(self.discovered.1) < required_delay
            || self.liveness.is_any_opening(now, opening_wait)
        {
            return;
        }
        let Some(groups) = initial_groups(&nodes, size) else {
            return;
        };
        let Some(RegisteredReplicaSets::Missing) = self.replica.node.read_replica_sets().await
        else {
            return;
        };
        let request = create(ObjectKind::ReplicaSets, REPLICA_SET_NAME, &groups);
        if self.send_to_store(request).await != Some(StoreOutcome::Done) {
            return;
        }
        self.replica.metrics.set_changes.inc();
        log::info!(
            target: "belief",
            epoch = groups.epoch().0,
            groups = groups.iter().count(),
            voters:? = node_names(groups.members()),
            storage_nodes = alive.len();
            "replica set changed"
        );
        let view = &self.replica.node.view;
        view.adopt_replica_sets(groups, Source::Store);
    }

    async fn change_set(&mut self, group: GroupId, groups: &ReplicaGroups, nodes: &[StorageNode]) {
        let now = self.now();
        let Some(set) = groups.set(group) else {
            return;
        };
        let rank = self.rank(set, nodes);
        let planned = rank.zip(self.plan(group, set, nodes, now));
        let state = self.groups.entry(group).or_default();
        let Some((rank, step)) = planned else {
            state.due = None;
            return;
        };
        let since = match &state.due {
            Some((due, since)) if *due == step => *since,
            _ => now,
        };
        state.due = Some((step.clone(), since));
        if now.saturating_sub(since) < RANK_DELAY * rank {
            return;
        }
        match step {
            SetStep::Write(change) => {
                state.due = None;
                self.write(group, set.epoch, change).await;
            }
            SetStep::LeaveOut(_) if now.saturating_sub(since) < LEAVE_OUT_DELAY => {}
            SetStep::LeaveOut(change) => {
                log::warn!(
                    target: "belief",
                    group = group.0,
                    epoch = set.epoch.0,
                    lost_ms = whole_ms(now.saturating_sub(since));
                    "no node can replace a lost voter; leaving it out of the replica set"
                );
                state.due = None;
                self.write(group, set.epoch, change).await;
            }
            SetStep::Prepare { change, .. } if now.saturating_sub(since) > PREPARE_TIMEOUT => {
                log::warn!(
                    target: "belief",
                    group = group.0,
                    epoch = set.epoch.0,
                    waited_ms = whole_ms(now.saturating_sub(since));
                    "new members were not prepared in time; changing the replica set"
                );
                self.write(group, set.epoch, change).await;
            }
            SetStep::Prepare { new_members, .. } => {
                self.new_members.ask(group, groups, &new_members)
            }
        }
    }

    fn plan(
        &mut self,
        group: GroupId,
        set: &ReplicaSet,
        nodes: &[StorageNode],
        now: Duration,
    ) -> Option<SetStep> {
        let state = self.groups.entry(group).or_default();
        if state.epoch != set.epoch {
            (state.epoch, state.epoch_known_since) = (set.epoch, now);
        }
        let may_wait = now.saturating_sub(state.epoch_known_since) < COPY_TIMEOUT;
        // Nothing can be copied while replicas restore their records from disk, and a joint set
        // would only add writes to each of them: 16 s after a power loss, reservations took 650 ms at
        // the median with one and 12 ms without.
        if !self.replica.is_fully_restored() {
            return None;
        }
        let mut nodes = nodes.to_vec();
        self.liveness.add_starting(set, &mut nodes, now);
        for node in &mut nodes {
            node.joining = self.new_members.is_joining(group, node.replica.id);
        }
        let copies = CopyProgress {
            prepared: self.new_members.prepared(group, set.epoch),
            copied: self.copied(group, set.epoch, &nodes),
        };
        let size = self.replica.node.settings.bounds.replicas();
        plan_change(set, &nodes, size, &copies, may_wait)
    }

    /// Live replicas that have finished copying at this epoch of a group.
    fn copied(&self, group: GroupId, epoch: Epoch, nodes: &[StorageNode]) -> BTreeSet<ReplicaId> {
        let alive = alive(nodes);
        let members = self.replica.node.gossip.replicas();
        let others = members.into_iter().filter_map(|member| member.replica);
        let all = others.chain(self.replica.status());
        let finished = all
            .filter(|status| status.copied == Some((group, epoch)) && alive.contains(&status.id));
        finished.map(|status| status.id).collect()
    }

    /// Position of this node among the live members of a set; `None` if it isn't a member.
    fn rank(&self, set: &ReplicaSet, nodes: &[StorageNode]) -> Option<u32> {
        let me = self.replica.status()?;
        if !set.has_member(me.id) {
            return None;
        }
        let before = nodes.iter().filter(|node| {
            node.alive && set.has_member(node.replica.id) && node.replica.id < me.id
        });
        u32::try_from(before.count()).ok()
    }

    /// Writes the changed set of a group if the platform store still holds the set that it was
    /// planned on.
    async fn write(&self, group: GroupId, planned_on: Epoch, change: ReplicaSet) {
        let Some(RegisteredReplicaSets::Found { groups, revision }) =
            self.replica.node.read_replica_sets().await
        else {
            return;
        };
        if groups.set(group).map(|set| set.epoch) != Some(planned_on) {
            return;
        }
        let changed = groups.with_set(group, change.clone());
        let revision = Some(revision);
        let request = replace(
            ObjectKind::ReplicaSets,
            REPLICA_SET_NAME,
            revision,
            &changed,
        );
        if self.send_to_store(request).await != Some(StoreOutcome::Done) {
            return;
        }
        self.replica.metrics.set_changes.inc();
        log::info!(
            target: "belief",
            group = group.0,
            epoch = change.epoch.0,
            voters:? = node_names(&change.voters),
            incoming:? = change.incoming.as_ref().map(node_names);
            "replica set changed"
        );
        let new_members: Vec<Replica> = change.new_members().into_iter().cloned().collect();
        let view = &self.replica.node.view;
        view.adopt_replica_sets(changed.clone(), Source::Store);
        // The set stays joint until they have copied the rest, so they are told at once.
        self.new_members.ask(group, &changed, &new_members);
    }

    async fn update_retirements(&self, groups: &ReplicaGroups, nodes: &[StorageNode]) {
        let is_changing = groups.iter().any(|(_, set)| set.incoming.is_some());
        for (node, written) in self.retirements.open() {
            let members = groups.members();
            let is_member = members.iter().any(|member| member.node == node);
            let state = if is_member || is_changing {
                RetirementState::Running
            } else {
                RetirementState::Done
            };
            if written == Some(state) || !self.is_status_writer(groups, nodes, &node) {
                continue;
            }
            self.write_status(&node, state).await;
        }
    }

    /// Whether this node writes the status: it is the first live member, other than the retiring
    /// node, of the group chosen by a hash of the retiring node's name.
    fn is_status_writer(
        &self,
        groups: &ReplicaGroups,
        nodes: &[StorageNode],
        retiring: &str,
    ) -> bool {
        let group = groups.group_of(Some(&ProgramId(retiring.to_owned())));
        let Some(set) = groups.set(group) else {
            return false;
        };
        let me = &self.replica.node.settings.name;
        let staying = nodes.iter().filter(|node| {
            let is_member = set.has_member(node.replica.id);
            node.alive && is_member && node.replica.node != retiring
        });
        let first = staying.min_by_key(|node| node.replica.id);
        first.is_some_and(|first| first.replica.node == *me)
    }

    async fn write_status(&self, node: &str, state: RetirementState) {
        let status = retirement_status(state);
        let request = set_status(ObjectKind::Retirements, node, &status);
        if self.send_to_store(request).await == Some(StoreOutcome::Done) {
            log::info!(target: "belief", node = node, state:? = state; "retirement status written");
            self.retirements.on_written(node, state);
        }
    }

    async fn send_to_store(&self, request: StoreRequest) -> Option<StoreOutcome> {
        let reply = self.replica.node.store.call(request, STORE_TIMEOUT).await;
        match reply {
            Ok(reply) => Some(reply.outcome),
            Err(failure) => {
                log::warn!(
                    target: "dependency",
                    reason = failure.name(),
                    detail:% = failure;
                    "write to the platform store failed"
                );
                None
            }
        }
    }
}

fn node_names<'a>(replicas: impl IntoIterator<Item = &'a Replica>) -> Vec<&'a str> {
    let replicas = replicas.into_iter();
    replicas.map(|replica| replica.node.as_str()).collect()
}
