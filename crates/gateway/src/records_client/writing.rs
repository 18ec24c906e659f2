//! Writes at a majority: who is asked first, who in place of one that is silent, and what is asked again.

use std::future::Future;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use ridgeworks_records::{
    Epoch, ProgramId, ProgramLedger, QuorumWrite, Replica, ReplicaGroups, ReplicaId, ReplicaReply,
    ReplicaRequest, ReplicaSet, WriteProgress,
};
use ridgeworks_resident::peer::LinkError;
use ridgeworks_resident::view::Source;
use tokio::time::Instant;

use super::{Answers, Operation, REPLICA_TIMEOUT, RETRY_PAUSE, RecordsClient, RecordsUnavailable};

/// How long a replica may be silent before the others are asked too. Busy replicas take 0.1 s and more, and a gateway of
/// a large fleet hears each of them a few times a second only: a shorter time would ask all of them for everything
/// just when they are busy. Where their answers took long lately, it is longer.
const SPARE_PATIENCE: Duration = Duration::from_millis(250);

type Reply = (ReplicaId, Result<ReplicaReply, LinkError>);
type Asked = FuturesUnordered<Pin<Box<dyn Future<Output = Reply>>>>;

/// How a write under one set ended.
enum WriteEnd {
    Durable(ProgramLedger),
    Restart(ReplicaGroups),
}

impl RecordsClient {
    pub(super) async fn write(
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
            self.ask_later(member, request.clone(), operation, None, Duration::ZERO)
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
                Err(_) => WriteProgress::RetryLater,
            };
            let teach = match progress {
                WriteProgress::Durable(ledger) => return WriteEnd::Durable(ledger),
                WriteProgress::Restart(groups) => return WriteEnd::Restart(groups),
                WriteProgress::Waiting => continue,
                WriteProgress::SendReplicaSets => Some(ReplicaGroups::clone(&*self.groups().await)),
                WriteProgress::RetryLater => {
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
                asked.push(self.ask_later(member, request.clone(), operation, teach, pause));
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
            (
                is_suspected,
                is_closed,
                !set.counts_in_every_majority(member.id),
            )
        });
        members
    }

    /// Asks one replica after a pause, and tells it the sets first where it does not know it.
    fn ask_later(
        &self,
        member: &Replica,
        request: ReplicaRequest,
        operation: Operation<'_>,
        teach: Option<ReplicaGroups>,
        pause: Duration,
    ) -> Pin<Box<dyn Future<Output = Reply>>> {
        let paths = Rc::clone(&self.paths);
        let member = member.clone();
        let timeout = operation.timeout;
        let residency = operation.residency.cloned().unwrap_or_default();
        if !self.node.regions.allows(&residency, &member.zone) {
            return Box::pin(async move {
                tokio::time::sleep(RETRY_PAUSE).await;
                (member.id, Err(LinkError::Unreachable))
            });
        }
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
            let reply = paths
                .ask_within(&member, request, timeout, &residency)
                .await;
            (member.id, reply)
        })
    }
}
