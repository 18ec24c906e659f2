//! Reads and writes of replicated records: sends what the state machines of `ridgeworks-records` ask for.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::future::Future;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;
use rand::RngExt;
use ridgeworks_records::{
    ChainOutcome, ChainRead, Epoch, GroupId, LedgerEntry, ProgramId, ProgramLedger, QuorumWrite,
    Replica, ReplicaGroups, ReplicaId, ReplicaReply, ReplicaRequest, ReplicaSet, Settlement,
    TurnId, TurnRecord, WriteProgress,
};
use ridgeworks_resident::clock::whole_ms;
use ridgeworks_resident::node::Node;
use ridgeworks_resident::peer::LinkError;
use ridgeworks_resident::view::Source;
use tokio::sync::Notify;
use tokio::time::{Instant, MissedTickBehavior};

use crate::node_network::NodeNetwork;
use crate::quorum_health::GroupHealth;
use crate::replica_paths::ReplicaPaths;

/// How long one replica may take before it is asked again.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(700);
/// How long the nearest replica may take before the next one is asked too. Where its answers took long lately, it is longer.
const READ_TIMEOUT: Duration = Duration::from_millis(200);
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
/// How long a replica may be silent before the others are asked too. Busy replicas take 0.1 s and more, and a gateway of
/// a large fleet hears each of them a few times a second only: a shorter time would ask all of them for everything
/// just when they are busy. Where their answers took long lately, it is longer.
const SPARE_PATIENCE: Duration = Duration::from_millis(250);
/// How long one search for a majority that was lost goes on before it starts anew with the newest set.
const SEARCH_TIME: Duration = Duration::from_secs(2);
/// How long a group may take to answer that is asked because another one does not: a gateway that is cut off from all learns so before
/// a request of each group has failed, and each takes 0.7 s.
const DOUBT_TIME: Duration = Duration::from_millis(400);
/// How often settlements are sent; the bound on their age is a second, and a busy replica takes a part of it.
/// Each sending is a request to a majority of the replicas, however many settlements it has.
const SETTLE_INTERVAL: Duration = Duration::from_millis(450);
/// How long one replica may take for settlements before it is asked again. Nobody waits for them, and what is asked again
/// while it still waits at a busy replica is work for nothing.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(3);
/// How long settling is tried.
const SETTLE_PATIENCE: Duration = Duration::from_secs(15);

/// Why records could not be read or written in time; a write may have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordsUnavailable {
    /// Not enough replicas answered.
    NoMajority,
    /// Replicas answered that they cannot tell yet: they are reading their disks.
    Restoring,
}

impl fmt::Display for RecordsUnavailable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NoMajority => "not enough replicas answered in time",
            Self::Restoring => "replicas are reading their disks",
        })
    }
}

impl std::error::Error for RecordsUnavailable {}

/// Name in the log of an answer without what was asked for.
const UNAVAILABLE: &str = "unavailable";

type Reply = (ReplicaId, Result<ReplicaReply, LinkError>);
type Asked = FuturesUnordered<Pin<Box<dyn Future<Output = Reply>>>>;

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
}

/// How a write under one set ended.
enum WriteEnd {
    Durable(ProgramLedger),
    Restart(ReplicaGroups),
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
pub fn keep_ms(retention: Duration) -> u64 {
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
    pub fn come_back(&self, group: GroupId) -> Duration {
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
            RecordsUnavailable::NoMajority => self.come_back(group),
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
                DOUBT_TIME
            };
            let operation = Operation {
                name: "search",
                subject: "",
                group,
                program: None,
                timeout: REPLICA_TIMEOUT,
            };
            // The outcome is noted; a search in vain is followed by another one.
            let _ = self.write(make, operation, Instant::now() + time).await;
            if !self.health.is_lost(group) {
                break;
            }
        }
        self.searching.borrow_mut().remove(&group);
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
            keep_ms: keep_ms(retention),
        };
        let operation = Operation {
            name: "reserve",
            subject: &turn.0,
            group,
            program: Some(program),
            timeout: REPLICA_TIMEOUT,
        };
        self.write(make, operation, limit).await
    }

    /// Joins what a turn generated into its program's ledger, soon and without anybody waiting.
    pub fn settle(&self, settlement: Settlement) {
        self.settlements.borrow_mut().push(settlement);
    }

    /// Sends settlements, those of a moment and a group together, until the process ends.
    pub async fn run_settlements(self: Rc<Self>) {
        let mut ticks = tokio::time::interval(SETTLE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            for (group, settlements) in self.take_settlements() {
                tokio::task::spawn_local(Rc::clone(&self).write_settlements(group, settlements));
            }
        }
    }

    fn take_settlements(&self) -> BTreeMap<GroupId, Vec<Settlement>> {
        let mut by_group: BTreeMap<GroupId, Vec<Settlement>> = BTreeMap::new();
        for settlement in self.settlements.take() {
            let group = self.group_of(Some(&settlement.program));
            by_group.entry(group).or_default().push(settlement);
        }
        by_group
    }

    async fn write_settlements(self: Rc<Self>, group: GroupId, settlements: Vec<Settlement>) {
        let limit = Instant::now() + SETTLE_PATIENCE;
        let make = |epoch: Epoch| ReplicaRequest::Settle {
            group,
            epoch,
            settlements: settlements.clone(),
        };
        let operation = Operation {
            name: "settle",
            subject: "",
            group,
            program: settlements.first().map(|first| &first.program),
            timeout: SETTLE_TIMEOUT,
        };
        if self.write(make, operation, limit).await.is_err() {
            for settlement in &settlements {
                log::warn!(
                    target: "request",
                    request = settlement.turn.0.as_str(),
                    program = settlement.program.0.as_str(),
                    group = group.0;
                    "tokens not settled"
                );
            }
        }
    }

    /// Waits until everything that was to be settled has been sent, or until the limit.
    pub async fn finish_settlements(self: &Rc<Self>, limit: Instant) {
        let by_group = self.take_settlements().into_iter();
        let writing = by_group.map(|(group, settlements)| {
            let client = Rc::clone(self);
            client.write_settlements(group, settlements)
        });
        // What is not settled in time counts at its most.
        let _ = tokio::time::timeout_at(limit, join_all(writing)).await;
    }

    /// Writes the record of a program's turn at a majority.
    pub async fn append(
        &self,
        program: Option<&ProgramId>,
        record: &TurnRecord,
        retention: Duration,
        limit: Instant,
    ) -> Result<(), RecordsUnavailable> {
        let group = self.known_group(program, limit).await?;
        let make = |epoch: Epoch| ReplicaRequest::Append {
            group,
            epoch,
            record: record.clone(),
            keep_ms: keep_ms(retention),
        };
        let operation = Operation {
            name: "append",
            subject: &record.turn.0,
            group,
            program: None,
            timeout: REPLICA_TIMEOUT,
        };
        self.write(make, operation, limit).await.map(drop)
    }

    /// Reads a program's turn and all before it, for this request. That there is no such turn is said only once no group has it: it may have
    /// been written by a request that named its program differently.
    pub async fn read_chain(
        &self,
        program: Option<&ProgramId>,
        turn: &TurnId,
        request: &str,
        limit: Instant,
    ) -> Result<ChainOutcome, RecordsUnavailable> {
        let own = self.known_group(program, limit).await?;
        let outcome = self.read_chain_in(own, turn, request, limit).await?;
        if !is_absent(&outcome, turn) {
            return Ok(outcome);
        }
        let groups = self.groups().await;
        for (group, _) in groups.iter().filter(|(group, _)| *group != own) {
            let found = self.read_chain_in(group, turn, request, limit).await?;
            if !is_absent(&found, turn) {
                return Ok(found);
            }
        }
        Ok(outcome)
    }

    async fn read_chain_in(
        &self,
        group: GroupId,
        turn: &TurnId,
        request: &str,
        limit: Instant,
    ) -> Result<ChainOutcome, RecordsUnavailable> {
        let answers = Answers::default();
        let began = Instant::now();
        let reading = self.read_chain_patiently(group, turn, &answers);
        let outcome = tokio::time::timeout_at(limit, reading).await;
        // Replicas that read their disks can write all the same.
        let is_restoring = outcome.is_err() && answers.has_unavailable();
        if !is_restoring {
            self.note_quorum(group, outcome.is_ok(), began.elapsed());
        }
        outcome.map_err(|_| {
            answers.report("read", request, group, self.node.view.epoch());
            if is_restoring {
                RecordsUnavailable::Restoring
            } else {
                RecordsUnavailable::NoMajority
            }
        })
    }

    async fn read_chain_patiently(
        &self,
        group: GroupId,
        turn: &TurnId,
        answers: &Answers,
    ) -> ChainOutcome {
        loop {
            let set = self.replica_set(group).await;
            let read = ChainRead::new(set, turn.clone());
            if let Some(outcome) = self.read_chain_under(group, read, answers).await {
                return outcome;
            }
        }
    }

    /// `None` when there is a newer set and the read has to start anew.
    async fn read_chain_under(
        &self,
        group: GroupId,
        mut read: ChainRead,
        answers: &Answers,
    ) -> Option<ChainOutcome> {
        loop {
            let epoch = read.set().epoch;
            for replica in self.in_order(read.candidates(), &read.wanted().0) {
                let turn = read.wanted().clone();
                let request = ReplicaRequest::ReadChain { group, epoch, turn };
                let asking = self.paths.ask_patiently(&replica, request, READ_TIMEOUT);
                let reply = asking.await;
                answers.note(&replica, &reply);
                match reply {
                    Ok(ReplicaReply::Chain { records, missing }) => {
                        let outcome = read.on_chain(replica.id, records, missing);
                        if outcome.is_some() {
                            return outcome;
                        }
                    }
                    Ok(ReplicaReply::Stale { groups }) => {
                        self.node.view.adopt_groups(groups, Source::Peer);
                        return None;
                    }
                    Ok(ReplicaReply::Behind) => {
                        let groups = ReplicaGroups::clone(&*self.groups().await);
                        let adopt = ReplicaRequest::Adopt { groups };
                        // The read goes on at the next replica, and comes back to this one.
                        let _ = self.paths.ask(&replica, adopt, READ_TIMEOUT).await;
                    }
                    _ => {}
                }
            }
            if self.newer_than(group, epoch).is_some() {
                return None;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn write(
        &self,
        make: impl Fn(Epoch) -> ReplicaRequest,
        operation: Operation<'_>,
        limit: Instant,
    ) -> Result<ProgramLedger, RecordsUnavailable> {
        let answers = Answers::default();
        let began = Instant::now();
        let writing = self.write_patiently(make, operation, &answers);
        let outcome = tokio::time::timeout_at(limit, writing).await;
        self.note_quorum(operation.group, outcome.is_ok(), began.elapsed());
        outcome.map_err(|_| {
            let epoch = self.node.view.epoch();
            answers.report(operation.name, operation.subject, operation.group, epoch);
            RecordsUnavailable::NoMajority
        })
    }

    async fn write_patiently(
        &self,
        make: impl Fn(Epoch) -> ReplicaRequest,
        operation: Operation<'_>,
        answers: &Answers,
    ) -> ProgramLedger {
        loop {
            let set = self.replica_set(operation.group).await;
            let request = make(set.epoch);
            match self.write_under(set, request, operation, answers).await {
                WriteEnd::Durable(ledger) => return ledger,
                WriteEnd::Restart(groups) => self.node.view.adopt_groups(groups, Source::Peer),
            }
        }
    }

    async fn write_under(
        &self,
        set: ReplicaSet,
        request: ReplicaRequest,
        operation: Operation<'_>,
        answers: &Answers,
    ) -> WriteEnd {
        let mut changes = self.node.view.changes();
        let members: Vec<Replica> = set.members().into_iter().cloned().collect();
        let (first, spare) = match operation.program {
            Some(program) => set.split_for_write(self.write_order(&set, members.clone(), program)),
            None => (members.clone(), Vec::new()),
        };
        let mut spare = spare.iter();
        let ask = |member: &Replica| {
            self.ask_later(
                member,
                request.clone(),
                operation.timeout,
                None,
                Duration::ZERO,
            )
        };
        let mut asked: Asked = first.iter().map(ask).collect();
        let mut write = QuorumWrite::new(operation.group, set);
        let began = Instant::now();
        let spare_patience = self.paths.patience(&first, SPARE_PATIENCE);
        let mut patience = pin!(tokio::time::sleep(spare_patience));
        loop {
            let (from, reply) = tokio::select! {
                Some(reply) = asked.next() => reply,
                () = patience.as_mut(), if spare.len() > 0 => {
                    if self.paths.suspect_silent(&first, began) {
                        asked.extend(spare.by_ref().map(ask));
                    }
                    patience.as_mut().reset(Instant::now() + spare_patience);
                    continue;
                }
                _ = changes.changed() => match self.newer_than(operation.group, write.set().epoch) {
                    Some(newer) => return WriteEnd::Restart(ReplicaGroups::clone(&newer)),
                    None => continue,
                },
            };
            let member = members.iter().find(|member| member.id == from);
            if let Some(member) = member {
                answers.note(member, &reply);
                if matches!(
                    reply,
                    Ok(ReplicaReply::NotMember | ReplicaReply::Unavailable)
                ) {
                    self.paths.suspect(member.id);
                }
            }
            let progress = match reply {
                Ok(reply) => write.on_reply(from, reply),
                Err(_) => WriteProgress::TryLater,
            };
            let teach = match progress {
                WriteProgress::Durable(ledger) => return WriteEnd::Durable(ledger),
                WriteProgress::Restart(groups) => return WriteEnd::Restart(groups),
                WriteProgress::Waiting => continue,
                WriteProgress::Teach => Some(ReplicaGroups::clone(&*self.groups().await)),
                WriteProgress::TryLater => {
                    // Another one is asked in its place meanwhile.
                    asked.extend(spare.next().map(ask));
                    None
                }
            };
            if let Some(member) = member {
                let pause = if teach.is_some() {
                    Duration::ZERO
                } else {
                    RETRY_PAUSE
                };
                let timeout = operation.timeout;
                asked.push(self.ask_later(member, request.clone(), timeout, teach, pause));
            }
        }
    }

    /// The members in the order in which a write of this program prefers them: while the set changes, those first that count on both
    /// sides, unless they did not answer lately.
    fn write_order(
        &self,
        set: &ReplicaSet,
        members: Vec<Replica>,
        program: &ProgramId,
    ) -> Vec<Replica> {
        let mut members = self.in_order(members, &program.0);
        members.sort_by_key(|member| {
            let is_suspected = self.paths.is_suspected(member.id);
            let is_closed = !self.paths.is_open(member.id);
            (is_suspected, is_closed, !set.is_shared(member.id))
        });
        members
    }

    /// The sets that are known, if that of this group is newer than this.
    fn newer_than(&self, group: GroupId, epoch: Epoch) -> Option<Rc<ReplicaGroups>> {
        let groups = self.node.view.groups()?;
        let is_newer = groups.set(group).is_some_and(|set| set.epoch > epoch);
        is_newer.then_some(groups)
    }

    /// Asks one replica after a pause, and tells it the sets first where it does not know it.
    fn ask_later(
        &self,
        member: &Replica,
        request: ReplicaRequest,
        timeout: Duration,
        teach: Option<ReplicaGroups>,
        pause: Duration,
    ) -> Pin<Box<dyn Future<Output = Reply>>> {
        let paths = Rc::clone(&self.paths);
        let member = member.clone();
        Box::pin(async move {
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
            if let Some(groups) = teach {
                let adopt = ReplicaRequest::Adopt { groups };
                let taught = paths.ask(&member, adopt, REPLICA_TIMEOUT).await;
                if let Err(error) = taught {
                    return (member.id, Err(error));
                }
            }
            let reply = paths.ask(&member, request, timeout).await;
            (member.id, reply)
        })
    }

    fn in_order(&self, replicas: Vec<Replica>, subject: &str) -> Vec<Replica> {
        let zone = &self.node.settings.zone;
        self.paths.in_order(replicas, zone, subject)
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

/// Whether a read found that there is no such turn.
fn is_absent(outcome: &ChainOutcome, turn: &TurnId) -> bool {
    matches!(outcome, ChainOutcome::NoSuchTurn(missing) if missing == turn)
}
