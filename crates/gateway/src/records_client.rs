//! Reads and writes of replicated records: sends what the state machines of `ridgeworks-records` ask for.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use ridgeworks_records::{
    ChainOutcome, ChainRead, Epoch, LedgerEntry, ProgramId, ProgramLedger, QuorumWrite, Replica,
    ReplicaId, ReplicaReply, ReplicaRequest, ReplicaSet, Settlement, TurnId, TurnRecord,
    WriteProgress,
};
use ridgeworks_resident::node::Node;
use ridgeworks_resident::peer::{LinkError, PeerReply, PeerRequest};
use ridgeworks_resident::view::Source;
use tokio::time::{Instant, MissedTickBehavior};

/// How long one replica may take before it is asked again.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(700);
/// How long the nearest replica may take before the next one is asked too.
const READ_TIMEOUT: Duration = Duration::from_millis(200);
/// Pause before a replica that could not answer is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(40);
/// How long a replica that did not answer is asked last.
const SUSPICION: Duration = Duration::from_secs(1);
/// How long ledgers and turns are kept beyond what the operators ask, since clocks differ.
const KEEP_MARGIN: Duration = Duration::from_secs(30);

/// How long quorums fail before the gateway wants no new clients.
const FAILING_AFTER: Duration = Duration::from_millis(200);
/// How long a failure counts when nothing is tried after it.
const FAILURE_LIFETIME: Duration = Duration::from_millis(1_500);
/// How often settlements are sent; the bound on their age is a second.
const SETTLE_INTERVAL: Duration = Duration::from_millis(150);
/// How long settling is tried.
const SETTLE_PATIENCE: Duration = Duration::from_secs(15);

/// Not enough replicas answered in time; a write may have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordsUnavailable;

impl fmt::Display for RecordsUnavailable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("not enough replicas answered in time")
    }
}

impl std::error::Error for RecordsUnavailable {}

type Reply = (ReplicaId, Result<ReplicaReply, LinkError>);
type Asked = FuturesUnordered<Pin<Box<dyn Future<Output = Reply>>>>;

/// What each replica answered last in one operation, for the log when it fails.
#[derive(Default)]
struct Answers(RefCell<BTreeMap<String, &'static str>>);

impl Answers {
    fn note(&self, replica: &Replica, reply: &Result<ReplicaReply, LinkError>) {
        let answer = match reply {
            Ok(ReplicaReply::Unavailable) => "unavailable",
            Ok(ReplicaReply::NotMember) => "not_member",
            Ok(ReplicaReply::Behind) => "behind",
            Ok(ReplicaReply::Stale { .. }) => "stale",
            Ok(_) => "answered",
            Err(error) => error.name(),
        };
        self.0.borrow_mut().insert(replica.node.clone(), answer);
    }

    fn report(&self, operation: &'static str, subject: &str, epoch: Epoch) {
        log::warn!(
            target: "records",
            request = subject,
            operation = operation,
            epoch = epoch.0,
            answers:? = self.0.borrow();
            "no quorum in time"
        );
    }
}

/// How a write under one set ended.
enum WriteEnd {
    Durable(ProgramLedger),
    Restart(ReplicaSet),
}

/// Client of the replicas.
pub struct RecordsClient {
    node: Rc<Node>,
    suspects: RefCell<HashMap<ReplicaId, Instant>>,
    settlements: RefCell<Vec<Settlement>>,
    /// When quorums began to fail, and when the last one did; `None` while they are reached.
    failing: Cell<Option<Failing>>,
}

/// A time without a quorum.
#[derive(Debug, Clone, Copy)]
struct Failing {
    since: Instant,
    last: Instant,
}

/// How long a record is kept that the operators want for this time, in milliseconds.
pub fn keep_ms(retention: Duration) -> u64 {
    u64::try_from((retention + KEEP_MARGIN).as_millis()).unwrap_or(u64::MAX)
}

impl RecordsClient {
    /// A client on this node.
    pub fn new(node: Rc<Node>) -> Self {
        Self {
            node,
            suspects: RefCell::default(),
            settlements: RefCell::default(),
            failing: Cell::new(None),
        }
    }

    /// Whether quorums have lately not been reached for a while: clients are better served elsewhere.
    pub fn is_failing(&self) -> bool {
        let failing = self.failing.get();
        failing.is_some_and(|failing| {
            let lasts = failing.last.duration_since(failing.since) >= FAILING_AFTER;
            lasts && failing.last.elapsed() < FAILURE_LIFETIME
        })
    }

    /// Notes whether an operation reached its quorum.
    fn note_quorum(&self, is_reached: bool) {
        if is_reached {
            self.failing.set(None);
            return;
        }
        let now = Instant::now();
        let earlier = self.failing.get();
        let earlier = earlier.filter(|failing| failing.last.elapsed() < FAILURE_LIFETIME);
        let since = earlier.map_or(now, |failing| failing.since);
        self.failing.set(Some(Failing { since, last: now }));
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
        let make = |epoch: Epoch| ReplicaRequest::Charge {
            epoch,
            program: program.clone(),
            turn: turn.clone(),
            entry,
            keep_ms: keep_ms(retention),
        };
        self.write(make, "reserve", &turn.0, limit).await
    }

    /// Joins what a turn generated into its program's ledger, soon and without anybody waiting.
    pub fn settle(&self, settlement: Settlement) {
        self.settlements.borrow_mut().push(settlement);
    }

    /// Sends settlements, those of a moment together, until the process ends.
    pub async fn run_settlements(self: Rc<Self>) {
        let mut ticks = tokio::time::interval(SETTLE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let settlements = self.settlements.take();
            if !settlements.is_empty() {
                tokio::task::spawn_local(Rc::clone(&self).write_settlements(settlements));
            }
        }
    }

    async fn write_settlements(self: Rc<Self>, settlements: Vec<Settlement>) {
        let limit = Instant::now() + SETTLE_PATIENCE;
        let make = |epoch: Epoch| ReplicaRequest::Settle {
            epoch,
            settlements: settlements.clone(),
        };
        if self.write(make, "settle", "", limit).await.is_err() {
            for settlement in &settlements {
                log::warn!(
                    target: "request",
                    request = settlement.turn.0.as_str(),
                    program = settlement.program.0.as_str();
                    "tokens not settled"
                );
            }
        }
    }

    /// Waits until everything that was to be settled has been sent, or until the limit.
    pub async fn finish_settlements(self: &Rc<Self>, limit: Instant) {
        let settlements = self.settlements.take();
        if !settlements.is_empty() {
            let writing = Rc::clone(self).write_settlements(settlements);
            // What is not settled in time counts at its most.
            let _ = tokio::time::timeout_at(limit, writing).await;
        }
    }

    /// Writes the record of a turn at a majority.
    pub async fn append(
        &self,
        record: &TurnRecord,
        retention: Duration,
        limit: Instant,
    ) -> Result<(), RecordsUnavailable> {
        let make = |epoch: Epoch| ReplicaRequest::Append {
            epoch,
            record: record.clone(),
            keep_ms: keep_ms(retention),
        };
        let turn = &record.turn.0;
        self.write(make, "append", turn, limit).await.map(drop)
    }

    /// Reads a turn and all before it, for this request.
    pub async fn read_chain(
        &self,
        turn: &TurnId,
        request: &str,
        limit: Instant,
    ) -> Result<ChainOutcome, RecordsUnavailable> {
        let answers = Answers::default();
        let reading = self.read_chain_patiently(turn, &answers);
        let outcome = tokio::time::timeout_at(limit, reading).await;
        self.note_quorum(outcome.is_ok());
        outcome.map_err(|_| {
            answers.report("read", request, self.node.view.epoch());
            RecordsUnavailable
        })
    }

    async fn read_chain_patiently(&self, turn: &TurnId, answers: &Answers) -> ChainOutcome {
        loop {
            let set = self.replica_set().await;
            let read = ChainRead::new(set, turn.clone());
            if let Some(outcome) = self.read_chain_under(read, answers).await {
                return outcome;
            }
        }
    }

    /// `None` when there is a newer set and the read has to start anew.
    async fn read_chain_under(
        &self,
        mut read: ChainRead,
        answers: &Answers,
    ) -> Option<ChainOutcome> {
        loop {
            let epoch = read.set().epoch;
            for replica in self.by_nearness(read.candidates()) {
                let turn = read.wanted().clone();
                let request = ReplicaRequest::ReadChain { epoch, turn };
                let reply = self.ask(&replica, request, READ_TIMEOUT).await;
                answers.note(&replica, &reply);
                match reply {
                    Ok(ReplicaReply::Chain { records, missing }) => {
                        let outcome = read.on_chain(replica.id, records, missing);
                        if outcome.is_some() {
                            return outcome;
                        }
                    }
                    Ok(ReplicaReply::Stale { set }) => {
                        self.node.view.adopt_replica_set(set, Source::Peer);
                        return None;
                    }
                    Ok(ReplicaReply::Behind) => {
                        let set = read.set().clone();
                        let adopt = ReplicaRequest::Adopt { set };
                        let _ = self.ask(&replica, adopt, READ_TIMEOUT).await;
                    }
                    _ => {}
                }
            }
            if self.node.view.epoch() > epoch {
                return None;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn write(
        &self,
        make: impl Fn(Epoch) -> ReplicaRequest,
        operation: &'static str,
        subject: &str,
        limit: Instant,
    ) -> Result<ProgramLedger, RecordsUnavailable> {
        let answers = Answers::default();
        let writing = self.write_patiently(make, &answers);
        let outcome = tokio::time::timeout_at(limit, writing).await;
        self.note_quorum(outcome.is_ok());
        outcome.map_err(|_| {
            answers.report(operation, subject, self.node.view.epoch());
            RecordsUnavailable
        })
    }

    async fn write_patiently(
        &self,
        make: impl Fn(Epoch) -> ReplicaRequest,
        answers: &Answers,
    ) -> ProgramLedger {
        loop {
            let set = self.replica_set().await;
            let request = make(set.epoch);
            match self.write_under(set, request, answers).await {
                WriteEnd::Durable(ledger) => return ledger,
                WriteEnd::Restart(set) => self.node.view.adopt_replica_set(set, Source::Peer),
            }
        }
    }

    async fn write_under(
        &self,
        set: ReplicaSet,
        request: ReplicaRequest,
        answers: &Answers,
    ) -> WriteEnd {
        let mut changes = self.node.view.changes();
        let members: HashMap<ReplicaId, Replica> = set
            .members()
            .into_iter()
            .map(|member| (member.id, member.clone()))
            .collect();
        let mut write = QuorumWrite::new(set);
        let mut asked: Asked = FuturesUnordered::new();
        for member in members.values() {
            asked.push(self.ask_later(member, request.clone(), None, Duration::ZERO));
        }
        loop {
            let (from, reply) = tokio::select! {
                Some(reply) = asked.next() => reply,
                _ = changes.changed() => match self.newer_than(write.set().epoch) {
                    Some(newer) => return WriteEnd::Restart(newer),
                    None => continue,
                },
            };
            if let Some(member) = members.get(&from) {
                answers.note(member, &reply);
            }
            let progress = match reply {
                Ok(reply) => write.on_reply(from, reply),
                Err(_) => WriteProgress::TryLater,
            };
            let teach = match progress {
                WriteProgress::Durable(ledger) => return WriteEnd::Durable(ledger),
                WriteProgress::Restart(set) => return WriteEnd::Restart(set),
                WriteProgress::Waiting => continue,
                WriteProgress::Teach => Some(write.set().clone()),
                WriteProgress::TryLater => None,
            };
            if let Some(member) = members.get(&from) {
                let pause = if teach.is_some() {
                    Duration::ZERO
                } else {
                    RETRY_PAUSE
                };
                asked.push(self.ask_later(member, request.clone(), teach, pause));
            }
        }
    }

    fn newer_than(&self, epoch: Epoch) -> Option<ReplicaSet> {
        let set = self.node.view.replica_set();
        set.filter(|set| set.epoch > epoch)
    }

    /// Asks one replica after a pause, and tells it the set first where it does not know it.
    fn ask_later(
        &self,
        member: &Replica,
        request: ReplicaRequest,
        teach: Option<ReplicaSet>,
        pause: Duration,
    ) -> Pin<Box<dyn Future<Output = Reply>>> {
        let node = Rc::clone(&self.node);
        let member = member.clone();
        Box::pin(async move {
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
            if let Some(set) = teach {
                let adopt = ReplicaRequest::Adopt { set };
                let taught = ask(&node, &member, adopt, REPLICA_TIMEOUT).await;
                if let Err(error) = taught {
                    return (member.id, Err(error));
                }
            }
            let reply = ask(&node, &member, request, REPLICA_TIMEOUT).await;
            (member.id, reply)
        })
    }

    async fn ask(
        &self,
        replica: &Replica,
        request: ReplicaRequest,
        timeout: Duration,
    ) -> Result<ReplicaReply, LinkError> {
        let reply = ask(&self.node, replica, request, timeout).await;
        let mut suspects = self.suspects.borrow_mut();
        if reply.is_err() {
            suspects.insert(replica.id, Instant::now() + SUSPICION);
        } else {
            suspects.remove(&replica.id);
        }
        reply
    }

    /// Replicas that answered lately first, among them those of the own zone.
    fn by_nearness(&self, mut replicas: Vec<Replica>) -> Vec<Replica> {
        let now = Instant::now();
        let suspects = self.suspects.borrow();
        replicas.sort_by_key(|replica| {
            let suspected = suspects.get(&replica.id).is_some_and(|until| now < *until);
            (suspected, replica.zone != self.node.settings.zone)
        });
        replicas
    }

    /// The replica set; waits until one is known.
    async fn replica_set(&self) -> ReplicaSet {
        let mut changes = self.node.view.changes();
        loop {
            if let Some(set) = self.node.view.replica_set() {
                return set;
            }
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }
}

async fn ask(
    node: &Node,
    replica: &Replica,
    request: ReplicaRequest,
    timeout: Duration,
) -> Result<ReplicaReply, LinkError> {
    let Ok(address) = replica.address.parse() else {
        return Err(LinkError::Unreachable);
    };
    let to = replica.id;
    let request = PeerRequest::Replica { to, request };
    match node.links.call(address, request, timeout).await? {
        PeerReply::Replica(reply) => Ok(reply),
        _ => Err(LinkError::Broken),
    }
}
