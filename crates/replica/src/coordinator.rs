//! Changes the replica set where it has to change, and answers orders to empty a machine.
//!
//! Every storage node runs this. Which one acts first is a matter of patience, by the order of their
//! identities; that two act at once is harmless, since the register takes only one of them.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_platform::{
    ObjectKind, RetirementState, StoreCall, StoreOutcome, create, replace, retirement_status,
    set_status,
};
use ridgeworks_records::{
    CopiesSeen, Epoch, Replica, ReplicaId, ReplicaSet, SetStep, StorageNode, plan_change,
};
use ridgeworks_resident::node::{REPLICA_SET_NAME, RegisteredSet};
use ridgeworks_resident::view::Source;
use ridgeworks_resident::watch_duty::{DutySignal, Patience};

use crate::handle::ReplicaHandle;
use crate::newcomers::Newcomers;
use crate::retirements::Retirements;

const INTERVAL: Duration = Duration::from_millis(200);
/// A storage node that was silent for so long is taken for gone.
const GONE_AFTER: Duration = Duration::from_millis(1_600);
/// How long a voter is awaited that was not heard yet since this node started, or whose process is heard and whose disk is not
/// open. After a power loss of everything voters open their disks 1.1 to 1.8 s after their start (120 MB on 0.17 of a core), and
/// replacing one of them copies everything while the others have most to do: reservations took 200 ms at the median in
/// place of 58.
const START_PATIENCE: Duration = Duration::from_secs(4);
/// How much longer the next node in order waits before it acts.
const RANK_PATIENCE: Duration = Duration::from_millis(400);
/// How long a changed set waits for replicas that are alive and not finished.
const COPY_PATIENCE: Duration = Duration::from_millis(2_500);
/// How long the first set waits for as many nodes as are wanted.
const FIRST_SET_PATIENCE: Duration = Duration::from_secs(2);
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How often a member that hears too few of the others looks whether there is a newer set.
const LOOK_PAUSE: Duration = Duration::from_secs(2);

/// A replica with an open disk, as it was last heard.
#[derive(Debug, Clone, Copy, Default)]
struct Seen {
    /// When, since the start of this process.
    at: Duration,
    /// The life of its process.
    incarnation: u64,
}

/// The coordinator of one storage node.
pub struct Coordinator {
    replica: Rc<ReplicaHandle>,
    retirements: Retirements,
    /// Whether this node watches for orders to empty a machine.
    watching: Rc<DutySignal>,
    /// Replicas that copy before they join.
    newcomers: Newcomers,
    /// The step that seems due, and since when.
    due: Option<(SetStep, Duration)>,
    /// The epoch in force, and since when it is known here.
    epoch_since: (Epoch, Duration),
    /// When the register was last looked at for a newer set.
    looked_at: Duration,
    /// When other members of the set were last alive.
    seen: BTreeMap<ReplicaId, Seen>,
}

impl Coordinator {
    /// A coordinator that has seen nothing yet.
    pub fn new(
        replica: Rc<ReplicaHandle>,
        retirements: Retirements,
        watching: Rc<DutySignal>,
    ) -> Self {
        Self {
            newcomers: Newcomers::new(Rc::clone(&replica.node)),
            replica,
            retirements,
            watching,
            due: None,
            epoch_since: (Epoch::default(), Duration::ZERO),
            looked_at: Duration::ZERO,
            seen: BTreeMap::new(),
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        let mut ticks = tokio::time::interval(INTERVAL);
        loop {
            ticks.tick().await;
            self.decide_watching();
            self.look_for_newer_set().await;
            self.change_set().await;
            self.answer_retirements().await;
        }
    }

    /// The members of the set watch for orders to empty a machine: they change the set and answer. So the calls
    /// to the store do not grow with the storage machines.
    fn decide_watching(&self) {
        let set = self.replica.node.view.replica_set();
        let is_due = set.is_some_and(|set| self.is_member(&set));
        if self.watching.set(is_due, Patience::RETIREMENTS) {
            log::info!(
                target: "belief",
                watches = is_due;
                "watching for retirements changed"
            );
        }
    }

    /// A member that hears no read quorum of its set can change nothing. Its set may be an old one, and those who
    /// knew of a newer one may be gone.
    async fn look_for_newer_set(&mut self) {
        let now = self.now();
        let Some(set) = self.replica.node.view.replica_set() else {
            return;
        };
        let is_due = now.saturating_sub(self.looked_at) > LOOK_PAUSE;
        // Others hear the members too rarely to say that they are gone.
        if !is_due || !self.is_member(&set) {
            return;
        }
        let nodes = self.storage_nodes(now);
        let alive = nodes.iter().filter(|node| node.alive);
        let alive: BTreeSet<ReplicaId> = alive.map(|node| node.replica.id).collect();
        if set.has_read_quorum(&alive) {
            return;
        }
        self.looked_at = now;
        let found = self.replica.node.read_replica_set().await;
        log::info!(
            target: "dependency",
            epoch = set.epoch.0,
            alive = alive.len(),
            is_answered = found.is_some();
            "too few replicas heard, looked for a newer set"
        );
    }

    fn now(&self) -> Duration {
        self.replica.node.clock.now()
    }

    async fn change_set(&mut self) {
        let now = self.now();
        let set = self.replica.node.view.replica_set();
        let epoch = set.as_ref().map_or(Epoch::default(), |set| set.epoch);
        if self.epoch_since.0 != epoch {
            self.epoch_since = (epoch, now);
        }
        let rank = self.rank(set.as_ref());
        let planned = rank.zip(self.plan(set.as_ref(), now));
        let Some((rank, step)) = planned else {
            self.due = None;
            return;
        };
        let since = match &self.due {
            Some((due, since)) if *due == step => *since,
            _ => now,
        };
        self.due = Some((step.clone(), since));
        if now.saturating_sub(since) < RANK_PATIENCE * rank {
            return;
        }
        match (step, set) {
            (SetStep::Write(change), set) => {
                self.due = None;
                self.write(set, change).await;
            }
            (SetStep::Prepare(newcomers), Some(set)) => self.newcomers.ask(&set, &newcomers),
            // Only a set that is there is prepared for its change.
            (SetStep::Prepare(_), None) => {}
        }
    }

    fn plan(&mut self, set: Option<&ReplicaSet>, now: Duration) -> Option<SetStep> {
        let mut nodes = self.storage_nodes(now);
        if let Some(set) = set {
            self.note_seen(set, now);
            self.add_awaited(set, &mut nodes, now);
        }
        let size = self.replica.node.settings.bounds.replicas();
        let alive = nodes.iter().filter(|node| node.alive).count();
        if set.is_none() && alive < size && now < FIRST_SET_PATIENCE {
            return None;
        }
        // While replicas read their disks back nobody can copy them, and a joint set only means more writes for each of them: with
        // one, reservations took 650 ms at the median 16 s after a power loss, without 12 ms (one play each of the same day).
        if set.is_some() && !self.replica.is_whole() {
            return None;
        }
        let waited = now.saturating_sub(self.epoch_since.1);
        let copies = CopiesSeen {
            prepared: self.newcomers.prepared(self.epoch_since.0),
            copied: self.copied(now),
        };
        plan_change(set, &nodes, size, &copies, waited < COPY_PATIENCE)
    }

    fn note_seen(&mut self, set: &ReplicaSet, now: Duration) {
        self.seen.retain(|id, _| set.has_member(*id));
        for member in self.replica.node.gossip.replicas() {
            let status = member.replica.filter(|status| set.has_member(status.id));
            if let Some(status) = status
                && member.is_alive(now, GONE_AFTER)
            {
                let incarnation = member.incarnation;
                let seen = Seen {
                    at: now,
                    incarnation,
                };
                self.seen.insert(status.id, seen);
            }
        }
    }

    /// Adds the voters that are not alive and may be in a moment.
    fn add_awaited(&self, set: &ReplicaSet, nodes: &mut Vec<StorageNode>, now: Duration) {
        for voter in &set.voters {
            // A node that runs another replica has lost its disk.
            let is_back = nodes
                .iter()
                .any(|node| node.alive && node.replica.node == voter.node);
            if is_back || !self.is_awaited(voter, now) {
                continue;
            }
            nodes.retain(|node| node.replica.id != voter.id);
            nodes.push(StorageNode {
                replica: voter.clone(),
                alive: false,
                awaited: true,
                retiring: self.retirements.is_retiring(&voter.node),
            });
        }
    }

    /// Whether a voter was not heard yet, or its process has started anew and not opened its disk yet. One whose disk failed
    /// under the same process is not awaited.
    fn is_awaited(&self, voter: &Replica, now: Duration) -> bool {
        let members = self.replica.node.gossip.members();
        let member = members
            .iter()
            .find(|member| member.info.name == voter.node && member.heard_at.is_some());
        let Some(member) = member else {
            return now < START_PATIENCE;
        };
        let seen = self.seen.get(&voter.id).copied().unwrap_or_default();
        let is_opening = member.replica.is_none()
            && member.is_alive(now, GONE_AFTER)
            && member.incarnation != seen.incarnation;
        is_opening && now.saturating_sub(seen.at) < START_PATIENCE
    }

    fn storage_nodes(&self, now: Duration) -> Vec<StorageNode> {
        let node = &self.replica.node;
        let mut nodes = Vec::new();
        if let Some(status) = self.replica.status() {
            nodes.push(StorageNode {
                replica: Replica {
                    id: status.id,
                    node: node.settings.name.clone(),
                    address: node.settings.peer_address().to_string(),
                    zone: node.settings.zone.clone(),
                },
                alive: true,
                awaited: false,
                retiring: self.retirements.is_retiring(&node.settings.name),
            });
        }
        for member in node.gossip.replicas() {
            let Some(status) = member.replica else {
                continue;
            };
            nodes.push(StorageNode {
                alive: member.is_alive(now, GONE_AFTER),
                awaited: false,
                retiring: self.retirements.is_retiring(&member.info.name),
                replica: Replica {
                    id: status.id,
                    node: member.info.name,
                    address: member.info.address.to_string(),
                    zone: member.info.zone,
                },
            });
        }
        nodes
    }

    /// Replicas that finished the copy for the epoch in force.
    fn copied(&self, now: Duration) -> BTreeSet<ReplicaId> {
        let members = self.replica.node.gossip.replicas();
        let alive = members
            .iter()
            .filter(|member| member.is_alive(now, GONE_AFTER));
        let others = alive.filter_map(|member| member.replica);
        let all = others.chain(self.replica.status());
        let finished = all.filter(|status| status.copied == Some(self.epoch_since.0));
        finished.map(|status| status.id).collect()
    }

    /// Whether this node's replica belongs to a set.
    fn is_member(&self, set: &ReplicaSet) -> bool {
        let status = self.replica.status();
        status.is_some_and(|me| set.has_member(me.id))
    }

    /// Position of this node among those that may change the set: the members of the set that are alive, and
    /// all storage nodes as long as there is none. `None` for others: they hear too few heartbeats to say who
    /// is gone.
    fn rank(&self, set: Option<&ReplicaSet>) -> Option<u32> {
        let me = self.replica.status()?;
        let decides = |id: ReplicaId| set.is_none_or(|set| set.has_member(id));
        if !decides(me.id) {
            return None;
        }
        let nodes = self.storage_nodes(self.now());
        let before = nodes
            .iter()
            .filter(|node| node.alive && decides(node.replica.id) && node.replica.id < me.id);
        u32::try_from(before.count()).ok()
    }

    /// Writes a change, if the register still holds what it was planned on.
    async fn write(&self, planned_on: Option<ReplicaSet>, change: ReplicaSet) {
        let Some(registered) = self.replica.node.read_replica_set().await else {
            return;
        };
        let call = match (registered, planned_on) {
            (RegisteredSet::Missing, None) => {
                create(ObjectKind::ReplicaSets, REPLICA_SET_NAME, &change)
            }
            (RegisteredSet::Found { set, revision }, Some(planned_on))
                if set.epoch == planned_on.epoch =>
            {
                let revision = Some(revision);
                replace(ObjectKind::ReplicaSets, REPLICA_SET_NAME, revision, &change)
            }
            _ => return,
        };
        if self.call(call).await != Some(StoreOutcome::Done) {
            return;
        }
        self.replica.metrics.set_changes.inc();
        log::info!(
            target: "belief",
            epoch = change.epoch.0,
            voters:? = names(&change.voters),
            incoming:? = change.incoming.as_deref().map(names);
            "replica set changed"
        );
        let newcomers: Vec<Replica> = change.newcomers().into_iter().cloned().collect();
        let view = &self.replica.node.view;
        view.adopt_replica_set(change.clone(), Source::Store);
        // The set is joint until they have the rest, so they hear of it at once.
        self.newcomers.ask(&change, &newcomers);
    }

    async fn answer_retirements(&self) {
        let Some(set) = self.replica.node.view.replica_set() else {
            return;
        };
        for (node, written) in self.retirements.open() {
            let holds = set.members().iter().any(|member| member.node == node);
            let state = if holds || set.incoming.is_some() {
                RetirementState::Running
            } else {
                RetirementState::Done
            };
            if written == Some(state) || !self.is_first_to_answer(&set, &node) {
                continue;
            }
            self.write_status(&node, state).await;
        }
    }

    /// The first member of the set that is alive and stays answers.
    fn is_first_to_answer(&self, set: &ReplicaSet, retiring: &str) -> bool {
        let me = &self.replica.node.settings.name;
        let nodes = self.storage_nodes(self.now());
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

    async fn call(&self, call: StoreCall) -> Option<StoreOutcome> {
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

fn names(replicas: &[Replica]) -> Vec<&str> {
    let names = replicas.iter().map(|replica| replica.node.as_str());
    names.collect()
}
