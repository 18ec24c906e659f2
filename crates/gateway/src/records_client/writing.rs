//! Writes at a majority: selects the replicas to ask, replaces silent ones, and retries.

use std::future::Future;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use ridgeworks_records::{
    Epoch, ProgramId, QuorumWrite, Replica, ReplicaGroups, ReplicaId, ReplicaReply, ReplicaRequest,
    ReplicaSet, WriteProgress, Written,
};
use ridgeworks_resident::peer::LinkError;
use ridgeworks_resident::view::Source;
use tokio::time::Instant;

use super::{
    LastReplies, Operation, REPLICA_TIMEOUT, RETRY_DELAY, RecordsClient, RecordsUnavailable,
};

/// Shortest silence of a replica before the others are asked too. A busy replica takes 0.1 s and
/// more, and in a large fleet a gateway receives messages from it only a few times a second, so a
/// shorter time would load busy replicas with extra requests. Longer if recent replies were slow.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(250);

type Reply = (ReplicaId, Result<ReplicaReply, LinkError>);
type PendingReplies = FuturesUnordered<Pin<Box<dyn Future<Output = Reply>>>>;

/// How a write to one replica set ended.
enum WriteEnd {
    Durable(Written),
    Restart(ReplicaGroups),
}

impl RecordsClient {
    pub(super) async fn write(
        &self,
        make_request: impl Fn(Epoch) -> ReplicaRequest,
        operation: Operation<'_>,
        deadline: Instant,
    ) -> Result<Written, RecordsUnavailable> {
        let replies = LastReplies::default();
        let began = Instant::now();
        let writing = self.write_with_restarts(make_request, operation, &replies);
        let outcome = tokio::time::timeout_at(deadline, writing).await;
        self.record_majority_outcome(operation.group, outcome.is_ok(), began.elapsed());
        outcome.map_err(|_| {
            let epoch = self.node.view.epoch();
            replies.log_failure(operation.name, operation.subject, operation.group, epoch);
            RecordsUnavailable::NoMajority
        })
    }

    async fn write_with_restarts(
        &self,
        make_request: impl Fn(Epoch) -> ReplicaRequest,
        operation: Operation<'_>,
        replies: &LastReplies,
    ) -> Written {
        loop {
            let set = self.replica_set(operation.group).await;
            let request = make_request(set.epoch);
            match self.write_to_set(set, request, operation, replies).await {
                WriteEnd::Durable(written) => return written,
                WriteEnd::Restart(groups) => {
                    self.node.view.adopt_replica_sets(groups, Source::Peer)
                }
            }
        }
    }

    async fn write_to_set(
        &self,
        set: ReplicaSet,
        request: ReplicaRequest,
        operation: Operation<'_>,
        replies: &LastReplies,
    ) -> WriteEnd {
        let mut changes = self.node.view.changes();
        let members: Vec<Replica> = set.members().into_iter().cloned().collect();
        let (first, spare) = match operation.program {
            Some(program) => set.split_for_write(self.write_order(&set, members.clone(), program)),
            None => (members.clone(), Vec::new()),
        };
        let mut spare = spare.iter();
        let ask = |member: &Replica| {
            self.ask_after(member, request.clone(), operation, None, Duration::ZERO)
        };
        let mut pending_replies: PendingReplies = first.iter().map(ask).collect();
        let mut write = QuorumWrite::new(operation.group, set);
        let began = Instant::now();
        let hedge_delay = self.paths.silence_timeout(&first, MIN_HEDGE_DELAY);
        let mut hedge_timer = pin!(tokio::time::sleep(hedge_delay));
        loop {
            let (from, reply) = tokio::select! {
                Some(reply) = pending_replies.next() => reply,
                () = hedge_timer.as_mut(), if spare.len() > 0 => {
                    if self.paths.suspect_silent(&first, began) {
                        pending_replies.extend(spare.by_ref().map(ask));
                    }
                    hedge_timer.as_mut().reset(Instant::now() + hedge_delay);
                    continue;
                }
                _ = changes.changed() => match self.newer_than(operation.group, write.set().epoch) {
                    Some(newer) => return WriteEnd::Restart(ReplicaGroups::clone(&newer)),
                    None => continue,
                },
            };
            let member = members.iter().find(|member| member.id == from);
            if let Some(member) = member {
                replies.record(member, &reply);
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
            let groups_to_adopt = match progress {
                WriteProgress::Durable(written) => return WriteEnd::Durable(written),
                WriteProgress::Restart(groups) => return WriteEnd::Restart(groups),
                WriteProgress::Waiting => continue,
                WriteProgress::SendReplicaSets => Some(ReplicaGroups::clone(&*self.groups().await)),
                WriteProgress::RetryLater => {
                    // A spare replica is asked meanwhile.
                    pending_replies.extend(spare.next().map(ask));
                    None
                }
            };
            if let Some(member) = member {
                let pause = if groups_to_adopt.is_some() {
                    Duration::ZERO
                } else {
                    RETRY_DELAY
                };
                pending_replies.push(self.ask_after(
                    member,
                    request.clone(),
                    operation,
                    groups_to_adopt,
                    pause,
                ));
            }
        }
    }

    /// Orders members for a write of this program. During a change of the set, members that count
    /// in both the old and the new one come first, unless they failed to answer recently.
    fn write_order(
        &self,
        set: &ReplicaSet,
        members: Vec<Replica>,
        program: &ProgramId,
    ) -> Vec<Replica> {
        let mut members = self.order_by_preference(members, &program.0);
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

    /// Sends a request to one replica after a delay. A replica that does not know the replica sets
    /// gets them first.
    fn ask_after(
        &self,
        member: &Replica,
        request: ReplicaRequest,
        operation: Operation<'_>,
        groups_to_adopt: Option<ReplicaGroups>,
        pause: Duration,
    ) -> Pin<Box<dyn Future<Output = Reply>>> {
        let paths = Rc::clone(&self.paths);
        let member = member.clone();
        let timeout = operation.timeout;
        let residency = operation.residency.cloned().unwrap_or_default();
        if !self.node.regions.allows(&residency, &member.zone) {
            return Box::pin(async move {
                tokio::time::sleep(RETRY_DELAY).await;
                (member.id, Err(LinkError::Unreachable))
            });
        }
        Box::pin(async move {
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
            if let Some(groups) = groups_to_adopt {
                let adopt = ReplicaRequest::Adopt { groups };
                let adopted = paths.ask(&member, adopt, REPLICA_TIMEOUT).await;
                if let Err(error) = adopted {
                    return (member.id, Err(error));
                }
            }
            let reply = paths
                .ask_in_residency(&member, request, timeout, &residency)
                .await;
            (member.id, reply)
        })
    }
}
