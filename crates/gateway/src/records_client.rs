//! Reads and writes replicated records, by sending what the state machines of `ridgeworks-records`
//! request.

mod reading;
mod settling;
mod writing;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use rand::RngExt;
use ridgeworks_records::{
    Epoch, GroupId, LedgerEntry, ProgramId, ProgramLedger, RETENTION_MARGIN_MS, Replica,
    ReplicaGroups, ReplicaReply, ReplicaRequest, ReplicaSet, Settlement, TurnId, TurnRecord,
};
use ridgeworks_resident::clock::whole_ms;
use ridgeworks_resident::node::Node;
use ridgeworks_resident::peer::LinkError;
use ridgeworks_routing::Residency;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::majority_health::GroupHealth;
use crate::node_network::NodeNetwork;
use crate::replica_paths::ReplicaPaths;

/// Timeout of a request to one replica.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(700);
/// Delay before a replica that could not reply is asked again.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Added to the configured retention of ledgers and turns.
const RETENTION_MARGIN: Duration = Duration::from_millis(RETENTION_MARGIN_MS);

/// Bounds of the retry delay while no majority is reachable. The minimum spreads retries of
/// requests that were refused together; few clients can wait longer than the maximum.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_millis(800);
/// Retry delay while replicas are reading their disks, which takes a few seconds.
const RESTORING_RETRY_AFTER: Duration = Duration::from_millis(700);
/// How long a relay's report that it cannot reach a replica counts.
const UNREACHABLE_REPORT_LIFETIME: Duration = Duration::from_secs(1);
/// Timeout of one probe of a group that lost its majority. The next probe uses the newest replica
/// set.
const GROUP_PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Shortest timeout for a group that is probed because another one lost its majority. A gateway
/// that is cut off from all groups finds out before a request to each of them has failed, which
/// would take [`REPLICA_TIMEOUT`] each.
const MIN_PRECAUTIONARY_PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Why records could not be read or written in time. A write may still have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordsUnavailable {
    /// Fewer replicas than a majority replied.
    NoMajority,
    /// Replicas replied that they are still reading their disks.
    Restoring,
    /// The program's replica group has members in regions where the turn must not be stored.
    ReplicasOutsideResidency,
    /// The deployment is known to have no replicas.
    NoReplicas,
}

impl fmt::Display for RecordsUnavailable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NoMajority => "not enough replicas answered in time",
            Self::Restoring => "replicas are reading their disks",
            Self::ReplicasOutsideResidency => {
                "the turn must not be stored in the regions of its replicas"
            }
            Self::NoReplicas => "the deployment has no replicas",
        })
    }
}

impl std::error::Error for RecordsUnavailable {}

/// Name in the log of a reply without the requested data.
const UNAVAILABLE: &str = "unavailable";

/// Last reply of each replica in one operation, logged when the operation fails.
#[derive(Default)]
struct LastReplies(RefCell<BTreeMap<String, &'static str>>);

impl LastReplies {
    fn record(&self, replica: &Replica, reply: &Result<ReplicaReply, LinkError>) {
        let name = match reply {
            Ok(ReplicaReply::Unavailable) => UNAVAILABLE,
            Ok(ReplicaReply::NotMember) => "not_member",
            Ok(ReplicaReply::Behind) => "behind",
            Ok(ReplicaReply::Stale { .. }) => "stale",
            Ok(_) => "answered",
            Err(error) => error.name(),
        };
        self.0.borrow_mut().insert(replica.node.clone(), name);
    }

    /// Whether a replica replied that it is still reading its disk.
    fn has_unavailable(&self) -> bool {
        let replies = self.0.borrow();
        replies.values().any(|name| *name == UNAVAILABLE)
    }

    fn log_failure(&self, operation: &'static str, subject: &str, group: GroupId, epoch: Epoch) {
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

/// Parameters of an operation on a replica group.
#[derive(Debug, Clone, Copy)]
struct Operation<'a> {
    /// Name in the log.
    name: &'static str,
    /// Identifier of the turn, for the log.
    subject: &'a str,
    /// Group whose replicas execute the operation.
    group: GroupId,
    /// The program whose ledger is changed. Ledger writes go to just enough replicas for a
    /// majority, and to the others only if one of them is silent or unable; turns go to all
    /// replicas (`docs/design/large-fleets.md`, "What replicas are asked").
    program: Option<&'a ProgramId>,
    /// Timeout of a request to one replica.
    timeout: Duration,
    /// Where the data may be sent; `None` means anywhere.
    residency: Option<&'a Residency>,
}

/// Client of the replica groups.
pub struct RecordsClient {
    node: Rc<Node>,
    /// Paths to the replicas.
    pub paths: Rc<ReplicaPaths>,
    /// Reachability of each group's majority.
    pub health: GroupHealth,
    majority_lost: Notify,
    /// Groups that are being probed for a majority.
    probed_groups: RefCell<BTreeSet<GroupId>>,
    settlements: RefCell<Vec<Settlement>>,
    /// Entries of ledgers that replicas lacked and were written again.
    entries_written_back: Counter,
}

/// Jitters a delay, so that clients do not retry at the same moment.
fn with_jitter(wait: Duration) -> Duration {
    wait.mul_f64(rand::rng().random_range(0.5..1.5))
}

/// Storage time in milliseconds of a record with this configured retention.
pub fn ttl_ms(retention: Duration) -> u64 {
    u64::try_from((retention + RETENTION_MARGIN).as_millis()).unwrap_or(u64::MAX)
}

impl RecordsClient {
    /// Creates a client that uses the links of this node.
    pub fn new(node: Rc<Node>, entries_written_back: Counter) -> Self {
        let network = Rc::new(NodeNetwork(Rc::clone(&node)));
        Self {
            node,
            paths: Rc::new(ReplicaPaths::new(network)),
            health: GroupHealth::default(),
            majority_lost: Notify::new(),
            probed_groups: RefCell::default(),
            settlements: RefCell::default(),
            entries_written_back,
        }
    }

    /// The group that stores a program's records; the first one while no replica sets are known.
    pub fn group_of(&self, program: Option<&ProgramId>) -> GroupId {
        let groups = self.node.view.replica_sets();
        groups.map_or(GroupId::default(), |groups| groups.group_of(program))
    }

    /// Whether more than half of the groups have lost their majority, so that this gateway can
    /// serve few turns.
    pub fn has_lost_most_majorities(&self) -> bool {
        let groups = self.node.view.replica_sets();
        let groups = groups.map_or(1, |groups| groups.iter().count());
        2 * self.health.lost_count() > groups
    }

    /// Retry delay for a request that needs the unreachable majority of a group. Another gateway
    /// may reach it, so the delay is short unless relays report that they cannot reach replicas
    /// either. Then the delay is the time for which the majority has been unreachable so far, as an
    /// estimate of the time that remains, clamped to [`MIN_RETRY_AFTER`] and [`MAX_RETRY_AFTER`].
    /// Either delay is then jittered.
    pub fn retry_after(&self, group: GroupId) -> Duration {
        let is_unreachable_from_relays = self
            .paths
            .is_reported_unreachable(UNREACHABLE_REPORT_LIFETIME);
        let wait = if is_unreachable_from_relays {
            let lost_for = self.health.lost_for(group);
            lost_for.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
        } else {
            MIN_RETRY_AFTER
        };
        with_jitter(wait)
    }

    /// Retry delay for a request that failed for this reason.
    pub fn retry_after_failure(&self, group: GroupId, failure: RecordsUnavailable) -> Duration {
        match failure {
            RecordsUnavailable::NoMajority
            | RecordsUnavailable::ReplicasOutsideResidency
            | RecordsUnavailable::NoReplicas => self.retry_after(group),
            RecordsUnavailable::Restoring => with_jitter(RESTORING_RETRY_AFTER),
        }
    }

    /// Records whether an operation reached a majority of its group's replicas, and how long it was
    /// tried. One that found no replica set to ask says nothing of a majority.
    fn record_majority_outcome(&self, group: GroupId, is_reached: bool, waited: Duration) {
        if self.node.view.replica_set(group).is_none() {
            return;
        }
        if !is_reached {
            if self.health.on_failed(group, waited) {
                log::warn!(
                    target: "dependency",
                    group = group.0,
                    waited_ms = whole_ms(waited),
                    epoch = self.node.view.epoch().0;
                    "majority of the replicas lost"
                );
                self.majority_lost.notify_one();
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

    /// Probes a group repeatedly from the loss of its majority until one is reachable again.
    /// Requests to the group are refused meanwhile, so nothing else would detect the recovery. The
    /// other groups are probed once, because they may have lost theirs as well. Runs until the
    /// process ends.
    pub async fn run_probes(self: Rc<Self>) {
        loop {
            self.majority_lost.notified().await;
            let groups = self.groups().await;
            for (group, _) in groups.iter() {
                if self.probed_groups.borrow_mut().insert(group) {
                    tokio::task::spawn_local(Rc::clone(&self).probe_group(group));
                }
            }
        }
    }

    async fn probe_group(self: Rc<Self>, group: GroupId) {
        loop {
            let make_request = |epoch: Epoch| ReplicaRequest::Settle {
                group,
                epoch,
                settlements: Vec::new(),
            };
            let probe_timeout = if self.health.is_lost(group) {
                GROUP_PROBE_TIMEOUT
            } else {
                self.precautionary_probe_timeout(group)
            };
            let operation = Operation {
                name: "search",
                subject: "",
                group,
                program: None,
                timeout: REPLICA_TIMEOUT,
                residency: None,
            };
            // The write records its outcome; a failed probe is repeated.
            let _ = self
                .write(make_request, operation, Instant::now() + probe_timeout)
                .await;
            if !self.health.is_lost(group) {
                break;
            }
        }
        self.probed_groups.borrow_mut().remove(&group);
    }

    /// Timeout for probing a group because another one lost its majority. Longer while replies are
    /// slow, because slow replicas are not lost.
    fn precautionary_probe_timeout(&self, group: GroupId) -> Duration {
        let set = self.node.view.replica_set(group);
        let voters = set.map(|set| set.voters).unwrap_or_default();
        let silence_timeout = self
            .paths
            .silence_timeout(&voters, MIN_PRECAUTIONARY_PROBE_TIMEOUT);
        silence_timeout.min(GROUP_PROBE_TIMEOUT)
    }

    /// Merges an entry into a program's ledger at a majority. Returns the union of the ledgers of
    /// that majority.
    pub async fn reserve(
        &self,
        program: &ProgramId,
        turn: &TurnId,
        entry: LedgerEntry,
        retention: Duration,
        deadline: Instant,
    ) -> Result<ProgramLedger, RecordsUnavailable> {
        let group = self.wait_for_group(Some(program), deadline).await?;
        let make_request = |epoch: Epoch| ReplicaRequest::Charge {
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
        let written = self.write(make_request, operation, deadline).await?;
        self.write_back(program, written.lagging, retention);
        Ok(written.ledger)
    }

    /// Like [`RecordsClient::reserve`], for what can do without replicas: ends with [`RecordsUnavailable::NoReplicas`] as soon as it is
    /// known that there are none.
    pub async fn reserve_if_replicated(
        &self,
        program: &ProgramId,
        turn: &TurnId,
        entry: LedgerEntry,
        retention: Duration,
        deadline: Instant,
    ) -> Result<ProgramLedger, RecordsUnavailable> {
        let reserving = self.reserve(program, turn, entry, retention, deadline);
        tokio::select! {
            reserved = reserving => reserved,
            () = self.wait_until_no_replicas() => Err(RecordsUnavailable::NoReplicas),
        }
    }

    /// Whether the residency allows every place to which a program's turns may be copied: the
    /// replicas of its group, all replicas that may join it, and all regions to which one may be
    /// added (`docs/design/regions.md`).
    pub fn may_store(&self, program: Option<&ProgramId>, residency: &Residency) -> bool {
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
        deadline: Instant,
    ) -> Result<(), RecordsUnavailable> {
        let group = self.wait_for_group(program, deadline).await?;
        if !self.may_store(program, residency) {
            return Err(RecordsUnavailable::ReplicasOutsideResidency);
        }
        let make_request = |epoch: Epoch| ReplicaRequest::Append {
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
        self.write(make_request, operation, deadline)
            .await
            .map(drop)
    }

    /// The known replica sets, if that of this group is newer than `epoch`.
    fn newer_than(&self, group: GroupId, epoch: Epoch) -> Option<Rc<ReplicaGroups>> {
        let groups = self.node.view.replica_sets()?;
        let is_newer = groups.set(group).is_some_and(|set| set.epoch > epoch);
        is_newer.then_some(groups)
    }

    fn order_by_preference(&self, replicas: Vec<Replica>, hash_key: &str) -> Vec<Replica> {
        let zone = &self.node.settings.zone;
        let regions = &self.node.regions;
        self.paths
            .order_by_preference(replicas, zone, regions, hash_key)
    }

    /// The group that stores a program's records; waits until the replica sets are known.
    async fn wait_for_group(
        &self,
        program: Option<&ProgramId>,
        deadline: Instant,
    ) -> Result<GroupId, RecordsUnavailable> {
        let groups = tokio::time::timeout_at(deadline, self.groups()).await;
        let groups = groups.map_err(|_| RecordsUnavailable::NoMajority)?;
        Ok(groups.group_of(program))
    }

    /// The replica set of a group; waits until it is known.
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

    /// Waits until it is known that the deployment has no replicas; forever where it has some.
    async fn wait_until_no_replicas(&self) {
        let mut changes = self.node.view.changes();
        while !self.node.gossip.has_no_replicas() {
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// The replica sets; waits until they are known.
    async fn groups(&self) -> Rc<ReplicaGroups> {
        let mut changes = self.node.view.changes();
        loop {
            if let Some(groups) = self.node.view.replica_sets() {
                return groups;
            }
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }
}
