//! Changes the replica sets where they have to change, and answers orders to empty a machine.
//!
//! Every storage node runs this. Which one acts first is a matter of patience, by the order of their
//! identities; that two act at once is harmless, since the register takes only one of them.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_platform::{
    ObjectKind, RetirementState, StoreOutcome, StoreRequest, create, replace, retirement_status,
    set_status,
};
use ridgeworks_records::{
    CopiesSeen, Epoch, GroupId, ProgramId, Replica, ReplicaGroups, ReplicaId, ReplicaSet, SetStep,
    StorageNode, initial_groups, plan_change,
};
use ridgeworks_resident::clock::whole_ms;
use ridgeworks_resident::node::{REPLICA_SET_NAME, RegisteredGroups};
use ridgeworks_resident::view::Source;
use ridgeworks_resident::watch_policy::{WatchControl, WatchTimings};

use crate::handle::ReplicaHandle;
use crate::liveness::{Liveness, alive};
use crate::newcomers::Newcomers;
use crate::retirements::Retirements;

const INTERVAL: Duration = Duration::from_millis(200);
/// How much longer the next node in order waits before it acts.
const RANK_PATIENCE: Duration = Duration::from_millis(400);
/// How long newcomers copy before the set changes without their having caught up: a place that is empty for longer is one more
/// machine that must not be lost.
const PREPARE_PATIENCE: Duration = Duration::from_secs(10);
/// How long a changed set waits for replicas that are alive and not finished.
const COPY_PATIENCE: Duration = Duration::from_millis(2_500);
/// How long the first sets wait for as many nodes as one set wants.
const FIRST_SET_PATIENCE: Duration = Duration::from_secs(2);
/// How long no other storage node may have been heard before the first sets are written: how many groups there are follows from
/// how many nodes there are, for good. 36 of them hear each other within 2 s.
const FIRST_SET_SETTLED: Duration = Duration::from_millis(750);
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How often a member that hears too few of the others looks whether there is a newer set.
const LOOK_PAUSE: Duration = Duration::from_secs(2);
/// Members of a group that watch the store for orders to empty a machine: the one that acts first, and the next one, which answers
/// for the first.
const WATCHERS: u32 = 2;

/// What the coordinator of one node knows of one group.
#[derive(Debug, Default)]
struct GroupState {
    /// The epoch in force, and since when it is known here.
    epoch: Epoch,
    since: Duration,
    /// The step that seems due, and since when.
    due: Option<(SetStep, Duration)>,
}

/// The coordinator of one storage node.
pub struct Coordinator {
    replica: Rc<ReplicaHandle>,
    retirements: Retirements,
    /// Whether this node watches for orders to empty a machine.
    store_watch: Rc<WatchControl>,
    /// Replicas that copy before they join.
    newcomers: Newcomers,
    liveness: Liveness,
    groups: BTreeMap<GroupId, GroupState>,
    /// How many storage nodes live while there is no set, and since when.
    founding: (usize, Duration),
    /// When the register was last looked at for newer sets.
    looked_at: Duration,
}

impl Coordinator {
    /// A coordinator that has seen nothing yet.
    pub fn new(
        replica: Rc<ReplicaHandle>,
        retirements: Retirements,
        store_watch: Rc<WatchControl>,
    ) -> Self {
        Self {
            newcomers: Newcomers::new(Rc::clone(&replica.node)),
            liveness: Liveness::new(Rc::clone(&replica), retirements.clone()),
            replica,
            retirements,
            store_watch,
            groups: BTreeMap::new(),
            founding: (0, Duration::ZERO),
            looked_at: Duration::ZERO,
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        let mut ticks = tokio::time::interval(INTERVAL);
        loop {
            ticks.tick().await;
            let Some(groups) = self.replica.node.view.groups() else {
                self.found_groups().await;
                continue;
            };
            let now = self.now();
            self.liveness.note_seen(&groups, now);
            let nodes = self.liveness.nodes(Some(&groups), now);
            self.decide_watching(&groups, &nodes);
            self.look_for_newer_sets(&groups, &nodes).await;
            for group in self.own_groups(&groups) {
                self.change_set(group, &groups, &nodes).await;
            }
            self.answer_retirements(&groups, &nodes).await;
        }
    }

    fn now(&self) -> Duration {
        self.replica.node.clock.now()
    }

    /// The groups that this node's replica belongs to: others hear too little of a group to say who of it is gone.
    fn own_groups(&self, groups: &ReplicaGroups) -> Vec<GroupId> {
        let status = self.replica.status();
        status.map_or(Vec::new(), |me| groups.groups_of(me.id))
    }

    /// The first members of each group watch for orders to empty a machine: they change the set and answer. So the calls
    /// to the store do not grow with the storage machines.
    fn decide_watching(&self, groups: &ReplicaGroups, nodes: &[StorageNode]) {
        let own = self.own_groups(groups).into_iter();
        let mut ranks = own.filter_map(|group| self.rank(groups.set(group)?, nodes));
        let is_due = ranks.any(|rank| rank < WATCHERS);
        if self.store_watch.set(is_due, WatchTimings::RETIREMENTS) {
            log::info!(
                target: "belief",
                watches = is_due;
                "watching for retirements changed"
            );
        }
    }

    /// A member that hears no read quorum of its set can change nothing. Its set may be an old one, and those who
    /// knew of a newer one may be gone.
    async fn look_for_newer_sets(&mut self, groups: &ReplicaGroups, nodes: &[StorageNode]) {
        let now = self.now();
        if now.saturating_sub(self.looked_at) <= LOOK_PAUSE {
            return;
        }
        let alive = alive(nodes);
        let own = self.own_groups(groups).into_iter();
        let mut sets = own.filter_map(|group| Some((group, groups.set(group)?)));
        let Some((group, set)) = sets.find(|(_, set)| !set.has_read_quorum(&alive)) else {
            return;
        };
        self.looked_at = now;
        let found = self.replica.node.read_groups().await;
        log::info!(
            target: "dependency",
            group = group.0,
            epoch = set.epoch.0,
            alive = alive.len(),
            is_answered = found.is_some();
            "too few replicas heard, looked for a newer set"
        );
    }

    /// Writes the first sets once no further storage node is heard.
    async fn found_groups(&mut self) {
        let now = self.now();
        let nodes = self.liveness.nodes(None, now);
        let size = self.replica.node.settings.bounds.replicas();
        let alive = alive(&nodes);
        if self.founding.0 != alive.len() {
            self.founding = (alive.len(), now);
        }
        let has_few = alive.len() < size && now < FIRST_SET_PATIENCE;
        let Some(me) = self.replica.status().filter(|_| !has_few) else {
            return;
        };
        let rank = alive.iter().take_while(|id| **id < me.id).count();
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let patience = FIRST_SET_SETTLED.saturating_add(RANK_PATIENCE.saturating_mul(rank));
        if now.saturating_sub(self.founding.1) < patience {
            return;
        }
        let Some(groups) = initial_groups(&nodes, size) else {
            return;
        };
        let Some(RegisteredGroups::Missing) = self.replica.node.read_groups().await else {
            return;
        };
        let call = create(ObjectKind::ReplicaSets, REPLICA_SET_NAME, &groups);
        if self.call(call).await != Some(StoreOutcome::Done) {
            return;
        }
        self.replica.metrics.set_changes.inc();
        log::info!(
            target: "belief",
            epoch = groups.epoch().0,
            groups = groups.iter().count(),
            voters:? = names(groups.members()),
            storage_nodes = alive.len();
            "replica set changed"
        );
        let view = &self.replica.node.view;
        view.adopt_groups(groups, Source::Store);
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
        if now.saturating_sub(since) < RANK_PATIENCE * rank {
            return;
        }
        match step {
            SetStep::Write(change) => {
                state.due = None;
                self.write(group, set.epoch, change).await;
            }
            SetStep::Prepare { change, .. } if now.saturating_sub(since) > PREPARE_PATIENCE => {
                log::warn!(
                    target: "belief",
                    group = group.0,
                    epoch = set.epoch.0,
                    waited_ms = whole_ms(now.saturating_sub(since));
                    "newcomers did not catch up, the replica set changes all the same"
                );
                self.write(group, set.epoch, change).await;
            }
            SetStep::Prepare { newcomers, .. } => self.newcomers.ask(group, groups, &newcomers),
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
            (state.epoch, state.since) = (set.epoch, now);
        }
        let is_patient = now.saturating_sub(state.since) < COPY_PATIENCE;
        // While replicas read their disks back nobody can copy them, and a joint set only means more writes for each of them: with
        // one, reservations took 650 ms at the median 16 s after a power loss, without 12 ms (one play each of the same day).
        if !self.replica.is_whole() {
            return None;
        }
        let mut nodes = nodes.to_vec();
        self.liveness.add_awaited(set, &mut nodes, now);
        for node in &mut nodes {
            node.joining = self.newcomers.is_joining(group, node.replica.id);
        }
        let copies = CopiesSeen {
            prepared: self.newcomers.prepared(group, set.epoch),
            copied: self.copied(group, set.epoch, &nodes),
        };
        let size = self.replica.node.settings.bounds.replicas();
        plan_change(set, &nodes, size, &copies, is_patient)
    }

    /// Replicas that live and finished the copy for this epoch of a group.
    fn copied(&self, group: GroupId, epoch: Epoch, nodes: &[StorageNode]) -> BTreeSet<ReplicaId> {
        let alive = alive(nodes);
        let members = self.replica.node.gossip.replicas();
        let others = members.into_iter().filter_map(|member| member.replica);
        let all = others.chain(self.replica.status());
        let finished = all
            .filter(|status| status.copied == Some((group, epoch)) && alive.contains(&status.id));
        finished.map(|status| status.id).collect()
    }

    /// Position of this node among the members of a set that are alive; `None` for one that is none of them.
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

    /// Writes the changed set of a group, if the register still holds the one that it was planned on.
    async fn write(&self, group: GroupId, planned_on: Epoch, change: ReplicaSet) {
        let Some(RegisteredGroups::Found { groups, revision }) =
            self.replica.node.read_groups().await
        else {
            return;
        };
        if groups.set(group).map(|set| set.epoch) != Some(planned_on) {
            return;
        }
        let changed = groups.with_set(group, change.clone());
        let revision = Some(revision);
        let call = replace(
            ObjectKind::ReplicaSets,
            REPLICA_SET_NAME,
            revision,
            &changed,
        );
        if self.call(call).await != Some(StoreOutcome::Done) {
            return;
        }
        self.replica.metrics.set_changes.inc();
        log::info!(
            target: "belief",
            group = group.0,
            epoch = change.epoch.0,
            voters:? = names(&change.voters),
            incoming:? = change.incoming.as_ref().map(names);
            "replica set changed"
        );
        let newcomers: Vec<Replica> = change.newcomers().into_iter().cloned().collect();
        let view = &self.replica.node.view;
        view.adopt_groups(changed.clone(), Source::Store);
        // The set is joint until they have the rest, so they hear of it at once.
        self.newcomers.ask(group, &changed, &newcomers);
    }

    async fn answer_retirements(&self, groups: &ReplicaGroups, nodes: &[StorageNode]) {
        let is_changing = groups.iter().any(|(_, set)| set.incoming.is_some());
        for (node, written) in self.retirements.open() {
            let members = groups.members();
            let holds = members.iter().any(|member| member.node == node);
            let state = if holds || is_changing {
                RetirementState::Running
            } else {
                RetirementState::Done
            };
            if written == Some(state) || !self.is_first_to_answer(groups, nodes, &node) {
                continue;
            }
            self.write_status(&node, state).await;
        }
    }

    /// Of the group that a hash of the node's name picks, the first member that is alive and stays answers.
    fn is_first_to_answer(
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
        let call = set_status(ObjectKind::Retirements, node, &status);
        if self.call(call).await == Some(StoreOutcome::Done) {
            log::info!(target: "belief", node = node, state:? = state; "retirement answered");
            self.retirements.on_written(node, state);
        }
    }

    async fn call(&self, call: StoreRequest) -> Option<StoreOutcome> {
        let answer = self.replica.node.store.call(call, CALL_TIMEOUT).await;
        match answer {
            Ok(answer) => Some(answer.outcome),
            Err(failure) => {
                log::warn!(
                    target: "dependency",
                    reason = failure.name(),
                    detail:% = failure;
                    "write to the platform store without an answer"
                );
                None
            }
        }
    }
}

fn names<'a>(replicas: impl IntoIterator<Item = &'a Replica>) -> Vec<&'a str> {
    let replicas = replicas.into_iter();
    replicas.map(|replica| replica.node.as_str()).collect()
}
