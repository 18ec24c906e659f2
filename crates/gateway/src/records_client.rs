//! Reads and writes of replicated records: sends what the state machines of `ridgeworks-records` ask for.

mod reading;
mod settling;
mod writing;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use ridgeworks_records::{
    Epoch, GroupId, LedgerEntry, ProgramId, ProgramLedger, Replica, ReplicaGroups, ReplicaReply,
    ReplicaRequest, ReplicaSet, Settlement, TurnId, TurnRecord,
};
use ridgeworks_resident::clock::whole_ms;
use ridgeworks_resident::node::Node;
use ridgeworks_resident::peer::LinkError;
use ridgeworks_routing::Residency;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::node_network::NodeNetwork;
use crate::quorum_health::GroupHealth;
use crate::replica_paths::ReplicaPaths;

/// How long one replica may take before it is asked again.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause before a replica that could not answer is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(40);
/// How long ledgers and turns are kept beyond what the operators ask, since clocks differ.
const KEEP_MARGIN: Duration = Duration::from_secs(30);

/// Bounds of the time after which a client may come back while no majority answers: the least is there so that
/// those refused together do not return together, and most clients have no more time than the most.
const LEAST_COME_BACK: Duration = Duration::from_millis(50);
const MOST_COME_BACK: Duration = Duration::from_millis(800);
/// When a client may come back while replicas read their disks: that takes them a few seconds.
const RESTORING_COME_BACK: Duration = Duration::from_millis(700);
/// How long it counts that another gateway does not reach a replica either.
const GENERAL_LOSS: Duration = Duration::from_secs(1);
/// How long one search for a majority that was lost goes on before it starts anew with the newest set.
const SEARCH_TIME: Duration = Duration::from_secs(2);
/// How long a group may take at least that is asked because another one does not answer: a gateway that is cut off from all learns so
/// before a request of each group has failed, and each takes 0.7 s.
const DOUBT_TIME: Duration = Duration::from_millis(400);

/// Why records could not be read or written in time; a write may have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordsUnavailable {
    /// Not enough replicas answered.
    NoMajority,
    /// Replicas answered that they cannot tell yet: they are reading their disks.
    Restoring,
    /// The turn must not be kept where the program's records are.
    ReplicasOutsideResidency,
}

impl fmt::Display for RecordsUnavailable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NoMajority => "not enough replicas answered in time",
            Self::Restoring => "replicas are reading their disks",
            Self::ReplicasOutsideResidency => "replicas stand where the turn must not be kept",
        })
    }
}

impl std::error::Error for RecordsUnavailable {}

/// Name in the log of an answer without what was asked for.
const UNAVAILABLE: &str = "unavailable";

/// What each replica answered last in one operation, for the log when it fails.
#[derive(Default)]
struct Answers(RefCell<BTreeMap<String, &'static str>>);

impl Answers {
    fn note(&self, replica: &Replica, reply: &Result<ReplicaReply, LinkError>) {
        let answer = match reply {
            Ok(ReplicaReply::Unavailable) => UNAVAILABLE,
            Ok(ReplicaReply::NotMember) => "not_member",
            Ok(ReplicaReply::Behind) => "behind",
            Ok(ReplicaReply::Stale { .. }) => "stale",
            Ok(_) => "answered",
            Err(error) => error.name(),
        };
        self.0.borrow_mut().insert(replica.node.clone(), answer);
    }

    /// Whether a replica answered that it cannot tell.
    fn has_unavailable(&self) -> bool {
        let answers = self.0.borrow();
        answers.values().any(|answer| *answer == UNAVAILABLE)
    }

    fn report(&self, operation: &'static str, subject: &str, group: GroupId, epoch: Epoch) {
        log::warn!(
            target: "records",
            request = subject,
            operation = operation,
            group = group.0,
            epoch = epoch.0,
            answers:? = self.0.borrow();
            "no quorum in time"
        );
    }
}

/// What an operation is about.
#[derive(Debug, Clone, Copy)]
struct Operation<'a> {
    /// Its name in the log.
    name: &'static str,
    /// The turn that it is about, for the log.
    subject: &'a str,
    /// The group whose replicas carry it out.
    group: GroupId,
    /// The program whose ledger it changes. Ledgers go to as many replicas as a write needs, and to the others
    /// only if one of them is silent or cannot take it; turns go to all (`docs/design/large-fleets.md`, "What
    /// replicas are asked").
    program: Option<&'a ProgramId>,
    /// How long one replica may take before it is asked again.
    timeout: Duration,
    /// Where it may be sent, if not everywhere.
    residency: Option<&'a Residency>,
}

/// Client of the replicas.
pub struct RecordsClient {
    node: Rc<Node>,
    /// The ways to the replicas.
    pub paths: Rc<ReplicaPaths>,
    /// Whether a majority of each group answers.
    pub health: GroupHealth,
    lost: Notify,
    /// Groups whose majority is being looked for.
    searching: RefCell<BTreeSet<GroupId>>,
    settlements: RefCell<Vec<Settlement>>,
}

/// So that clients do not return together.
fn spread(wait: Duration) -> Duration {
    wait.mul_f64(rand::rng().random_range(0.5..1.5))
}

/// How long a record is kept that the operators want for this time, in milliseconds.
pub fn ttl_ms(retention: Duration) -> u64 {
    u64::try_from((retention + KEEP_MARGIN).as_millis()).unwrap_or(u64::MAX)
}

impl RecordsClient {
    /// A client on this node.
    pub fn new(node: Rc<Node>) -> Self {
        let network = Rc::new(NodeNetwork(Rc::clone(&node)));
        Self {
            node,
            paths: Rc::new(ReplicaPaths::new(network)),
            health: GroupHealth::default(),
            lost: Notify::new(),
            searching: RefCell::default(),
            settlements: RefCell::default(),
        }
    }

    /// The group that keeps a program's records; the first one while no sets are known.
    pub fn group_of(&self, program: Option<&ProgramId>) -> GroupId {
        let groups = self.node.view.groups();
        groups.map_or(GroupId::default(), |groups| groups.group_of(program))
    }

    /// Whether so few groups have a majority that this gateway serves few turns.
    pub fn is_mostly_lost(&self) -> bool {
        let groups = self.node.view.groups();
        let groups = groups.map_or(1, |groups| groups.iter().count());
        2 * self.health.lost_count() > groups
    }

    /// When a client may come back whose request needs a majority of a group while none answers. Another gateway may
    /// well reach one. Where others say that they do not either, it is lost for all, and a loss is taken to
    /// last for as long again as it has lasted.
    pub fn retry_later(&self, group: GroupId) -> Duration {
        let is_general = self.paths.is_unreached_by_others(GENERAL_LOSS);
        let wait = if is_general {
            let lost_for = self.health.lost_for(group);
            lost_for.clamp(LEAST_COME_BACK, MOST_COME_BACK)
        } else {
            LEAST_COME_BACK
        };
        spread(wait)
    }

    /// When a client may come back whose request could not be carried out for this reason.
    pub fn come_back_after(&self, group: GroupId, failure: RecordsUnavailable) -> Duration {
        match failure {
            RecordsUnavailable::NoMajority | RecordsUnavailable::ReplicasOutsideResidency => {
                self.retry_later(group)
            }
            RecordsUnavailable::Restoring => spread(RESTORING_COME_BACK),
        }
    }

    /// Notes whether an operation reached the quorum of its group, and for how long it was tried.
    fn note_quorum(&self, group: GroupId, is_reached: bool, waited: Duration) {
        if !is_reached {
            if self.health.on_failed(group, waited) {
                log::warn!(
                    target: "dependency",
                    group = group.0,
                    waited_ms = whole_ms(waited),
                    epoch = self.node.view.epoch().0;
                    "majority of the replicas lost"
                );
                self.lost.notify_one();
            }
            return;
        }
        if let Some(lost_for) = self.health.on_reached(group) {
            log::info!(
                target: "dependency",
                group = group.0,
                lost_ms = whole_ms(lost_for),
                epoch = self.node.view.epoch().0;
                "majority of the replicas regained"
            );
        }
    }

    /// Looks for a majority whenever one is lost, until the process ends. Requests are refused meanwhile, so
    /// that nothing else would find it. The other groups are asked once: they may be lost as well.
    pub async fn run_searches(self: Rc<Self>) {
        loop {
            self.lost.notified().await;
            let groups = self.groups().await;
            for (group, _) in groups.iter() {
                if self.searching.borrow_mut().insert(group) {
                    tokio::task::spawn_local(Rc::clone(&self).search(group));
                }
            }
        }
    }

    async fn search(self: Rc<Self>, group: GroupId) {
        loop {
            let make = |epoch: Epoch| ReplicaRequest::Settle {
                group,
                epoch,
                settlements: Vec::new(),
            };
            let time = if self.health.is_lost(group) {
                SEARCH_TIME
            } else {
                self.doubt_time(group)
            };
            let operation = Operation {
                name: "search",
                subject: "",
                group,
                program: None,
                timeout: REPLICA_TIMEOUT,
                residency: None,
            };
            // The outcome is noted; a search in vain is followed by another one.
            let _ = self.write(make, operation, Instant::now() + time).await;
            if !self.health.is_lost(group) {
                break;
            }
        }
        self.searching.borrow_mut().remove(&group);
    }

    /// How long a group may take that is asked because another one does not answer. Replicas that are late for all are not lost.
    fn doubt_time(&self, group: GroupId) -> Duration {
        let set = self.node.view.replica_set(group);
        let voters = set.map(|set| set.voters).unwrap_or_default();
        let patience = self.paths.patience(&voters, DOUBT_TIME);
        patience.min(SEARCH_TIME)
    }

    /// Joins an entry into a program's ledger at a majority; the union of what that majority knows.
    pub async fn charge(
        &self,
        program: &ProgramId,
        turn: &TurnId,
        entry: LedgerEntry,
        retention: Duration,
        limit: Instant,
    ) -> Result<ProgramLedger, RecordsUnavailable> {
        let group = self.known_group(Some(program), limit).await?;
        let make = |epoch: Epoch| ReplicaRequest::Charge {
            group,
            epoch,
            program: program.clone(),
            turn: turn.clone(),
            entry,
            ttl_ms: ttl_ms(retention),
        };
        let operation = Operation {
            name: "reserve",
            subject: turn.request(),
            group,
            program: Some(program),
            timeout: REPLICA_TIMEOUT,
            residency: None,
        };
        self.write(make, operation, limit).await
    }

    /// Whether a program's turns may be kept wherever their records may come to be: at the replicas of its group, at any that may take
    /// a place there, and in any region in which one may be added. Copies go to all of them (`docs/design/regions.md`).
    pub fn may_keep(&self, program: Option<&ProgramId>, residency: &Residency) -> bool {
        if residency.is_anywhere() {
            return true;
        }
        let regions = &self.node.regions;
        let set = self.node.view.replica_set(self.group_of(program));
        let members = set.as_ref().map(ReplicaSet::members).unwrap_or_default();
        let mut zones = members.iter().map(|member| &member.zone);
        let known = self.node.gossip.members().into_iter();
        let mut replicas = known.filter(|node| node.info.is_replica);
        regions.allows_all(residency)
            && zones.all(|zone| regions.allows(residency, zone))
            && replicas.all(|node| regions.allows(residency, &node.info.zone))
    }

    /// Writes the record of a program's turn at a majority.
    pub async fn append(
        &self,
        program: Option<&ProgramId>,
        record: &TurnRecord,
        retention: Duration,
        residency: &Residency,
        limit: Instant,
    ) -> Result<(), RecordsUnavailable> {
        let group = self.known_group(program, limit).await?;
        if !self.may_keep(program, residency) {
            return Err(RecordsUnavailable::ReplicasOutsideResidency);
        }
        let make = |epoch: Epoch| ReplicaRequest::Append {
            group,
            epoch,
            record: record.clone(),
            ttl_ms: ttl_ms(retention),
        };
        let operation = Operation {
            name: "append",
            subject: record.turn.request(),
            group,
            program: None,
            timeout: REPLICA_TIMEOUT,
            residency: Some(residency),
        };
        self.write(make, operation, limit).await.map(drop)
    }

    /// The sets that are known, if that of this group is newer than this.
    fn newer_than(&self, group: GroupId, epoch: Epoch) -> Option<Rc<ReplicaGroups>> {
        let groups = self.node.view.groups()?;
        let is_newer = groups.set(group).is_some_and(|set| set.epoch > epoch);
        is_newer.then_some(groups)
    }

    fn in_order(&self, replicas: Vec<Replica>, subject: &str) -> Vec<Replica> {
        let zone = &self.node.settings.zone;
        let regions = &self.node.regions;
        self.paths.in_order(replicas, zone, regions, subject)
    }

    /// The group that keeps a program's records, once the sets are known.
    async fn known_group(
        &self,
        program: Option<&ProgramId>,
        limit: Instant,
    ) -> Result<GroupId, RecordsUnavailable> {
        let groups = tokio::time::timeout_at(limit, self.groups()).await;
        let groups = groups.map_err(|_| RecordsUnavailable::NoMajority)?;
        Ok(groups.group_of(program))
    }

    /// The replica set of a group; waits until one is known.
    async fn replica_set(&self, group: GroupId) -> ReplicaSet {
        let mut changes = self.node.view.changes();
        loop {
            if let Some(set) = self.node.view.replica_set(group) {
                return set;
            }
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// The replica sets; waits until they are known.
    async fn groups(&self) -> Rc<ReplicaGroups> {
        let mut changes = self.node.view.changes();
        loop {
            if let Some(groups) = self.node.view.groups() {
                return groups;
            }
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }
}
