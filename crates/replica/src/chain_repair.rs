//! Gets the turns that this voter missed before it acknowledges a later turn of their chain.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_records::{
    ChainGap, ChainRead, GroupId, IncompleteAppend, Replica, ReplicaId, ReplicaReply,
    ReplicaRequest, ReplicaSet, TurnId, TurnRecord,
};
use ridgeworks_resident::clock::whole_ms;
use ridgeworks_resident::peer::{PeerReply, PeerRequest};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::actor::CopiedRecord;
use crate::copying::newest_first;
use crate::handle::ReplicaHandle;

/// Shorter than gateways wait for a reply. What was copied by then stays, so that the next append goes on from there.
const REPAIR_TIMEOUT: Duration = Duration::from_millis(500);
const SOURCE_TIMEOUT: Duration = Duration::from_millis(200);
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// Chains that are completed at a time; a gateway repeats an append beyond that.
const MAX_REPAIRS: usize = 128;
/// Turns that are asked for one by one. A longer gap is asked for whole.
const MAX_SINGLE_TURNS: usize = 4;

/// An appended turn that waits for its chain.
pub struct RepairJob {
    /// The replica that the turn was appended to.
    pub to: ReplicaId,
    /// The turn and what is missing before it.
    pub append: IncompleteAppend,
    /// Where the reply to the append goes.
    pub reply_sender: oneshot::Sender<PeerReply>,
}

/// Completes chains until the process ends.
pub async fn run(replica: Rc<ReplicaHandle>, mut jobs: mpsc::UnboundedReceiver<RepairJob>) {
    let running = Rc::new(Cell::new(0));
    while let Some(job) = jobs.recv().await {
        if running.get() >= MAX_REPAIRS {
            reject_excess(&replica, job);
            continue;
        }
        running.set(running.get() + 1);
        let (replica, running) = (Rc::clone(&replica), Rc::clone(&running));
        tokio::task::spawn_local(async move {
            complete(&replica, job).await;
            running.set(running.get() - 1);
        });
    }
}

fn reject_excess(replica: &ReplicaHandle, job: RepairJob) {
    replica.metrics.chain_repairs_failed.inc();
    log::warn!(
        target: "records",
        request = job.append.turn.request(),
        group = job.append.group.0,
        missing = job.append.gap.missing.request(),
        running = MAX_REPAIRS;
        "turn behind a gap refused: too many chains are being completed"
    );
    reject(job);
}

fn reject(job: RepairJob) {
    let reply = PeerReply::Replica(ReplicaReply::Unavailable);
    // The caller may have stopped waiting.
    let _ = job.reply_sender.send(reply);
}

async fn complete(replica: &ReplicaHandle, job: RepairJob) {
    let start = Instant::now();
    let turns = Cell::new(0);
    let repair = ChainRepair {
        replica,
        group: job.append.group,
        me: job.to,
        turns: &turns,
    };
    let repairing = repair.run(&job.append);
    let is_complete = tokio::time::timeout(REPAIR_TIMEOUT, repairing)
        .await
        .is_ok();
    let metrics = &replica.metrics;
    metrics.turns_repaired.inc_by(turns.get());
    log::info!(
        target: "records",
        request = job.append.turn.request(),
        group = job.append.group.0,
        missing = job.append.gap.missing.request(),
        turns = turns.get(),
        is_complete = is_complete,
        took_ms = whole_ms(start.elapsed());
        "copied turns of a chain that this replica had missed"
    );
    if is_complete {
        metrics.chains_repaired.inc();
        replica.finish_append(job);
    } else {
        metrics.chain_repairs_failed.inc();
        reject(job);
    }
}

/// What is asked for at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Extent {
    /// One turn.
    Turn,
    /// A turn and all before it.
    Chain,
}

/// What voters have of a turn.
enum Lookup {
    /// The turn, or it and turns before it.
    Found(Vec<TurnRecord>),
    /// A majority of the voters lacks it.
    Absent,
    /// Too few voters could tell.
    Unknown,
}

/// The repair of one chain.
struct ChainRepair<'a> {
    replica: &'a ReplicaHandle,
    group: GroupId,
    me: ReplicaId,
    /// Turns copied so far.
    turns: &'a Cell<u64>,
}

impl ChainRepair<'_> {
    async fn run(&self, append: &IncompleteAppend) {
        let mut gap = Some(append.gap.clone());
        let mut steps = 0;
        while let Some(open) = gap {
            let extent = if steps < MAX_SINGLE_TURNS {
                Extent::Turn
            } else {
                Extent::Chain
            };
            self.close(&open, extent).await;
            steps += 1;
            gap = self.replica.chain_gap(append.turn.clone()).await;
        }
    }

    /// Copies the missing turn from whichever voter has it.
    async fn close(&self, gap: &ChainGap, extent: Extent) {
        let mut found = self.find(&gap.missing, extent).await;
        loop {
            match found {
                Lookup::Found(records) => return self.copy(records).await,
                Lookup::Absent => return self.accept(gap),
                Lookup::Unknown => tokio::time::sleep(RETRY_DELAY).await,
            }
            found = self.find(&gap.missing, Extent::Chain).await;
        }
    }

    /// Looks in this group, and then in the others: a program that changes its name continues a chain of another group.
    async fn find(&self, missing: &TurnId, extent: Extent) -> Lookup {
        let Some(groups) = self.replica.node.view.replica_sets() else {
            return Lookup::Unknown;
        };
        let others = groups.iter().filter(|(group, _)| *group != self.group);
        let own = groups.set(self.group).map(|set| (self.group, set));
        for (group, set) in own.into_iter().chain(others) {
            match self.look_up(group, set, missing, extent).await {
                Lookup::Absent => {}
                known => return known,
            }
        }
        Lookup::Absent
    }

    /// Asks each voter of a group once.
    async fn look_up(
        &self,
        group: GroupId,
        set: &ReplicaSet,
        missing: &TurnId,
        extent: Extent,
    ) -> Lookup {
        let mut read = ChainRead::new(set.clone(), missing.clone());
        let mut outcome = read.on_chain(self.me, Vec::new(), Some(missing.clone()));
        let candidates = read.candidates();
        for voter in newest_first(self.replica, &candidates) {
            if outcome.is_some() {
                return Lookup::Absent;
            }
            let request = match extent {
                Extent::Turn => ReplicaRequest::Fetch {
                    turns: vec![missing.clone()],
                },
                Extent::Chain => ReplicaRequest::ReadChain {
                    group,
                    epoch: set.epoch,
                    turn: missing.clone(),
                },
            };
            match self.ask(voter, request).await {
                Some(ReplicaReply::Fetched { records } | ReplicaReply::Chain { records, .. })
                    if !records.is_empty() =>
                {
                    return Lookup::Found(records);
                }
                // Only this reply tells that the voter knows of no newer set.
                Some(ReplicaReply::Chain { missing, .. }) => {
                    outcome = read.on_chain(voter.id, Vec::new(), missing);
                }
                _ => {}
            }
        }
        if outcome.is_some() {
            Lookup::Absent
        } else {
            Lookup::Unknown
        }
    }

    async fn ask(&self, voter: &Replica, request: ReplicaRequest) -> Option<ReplicaReply> {
        let address = voter.address.parse().ok()?;
        let request = PeerRequest::Replica {
            to: voter.id,
            request,
        };
        let links = &self.replica.node.links;
        match links.call(address, request, SOURCE_TIMEOUT).await {
            Ok(PeerReply::Replica(reply)) => Some(reply),
            _ => None,
        }
    }

    /// Copies those of the turns that aren't here. Later turns of the chain say how long they are kept.
    async fn copy(&self, records: Vec<TurnRecord>) {
        let listed = records.iter().map(|record| (record.turn.clone(), 0));
        let missing = self.replica.missing(listed.collect()).await;
        let is_missing = |record: &TurnRecord| missing.iter().any(|(turn, _)| *turn == record.turn);
        let copies = records.into_iter().filter(is_missing);
        let copies = copies.map(|record| CopiedRecord::Turn(record, 0));
        if self.replica.copy(self.group, copies.collect()).await {
            self.turns.set(self.turns.get() + missing.len() as u64);
        } else {
            // There is no room, or the disk has failed.
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    fn accept(&self, gap: &ChainGap) {
        log::error!(
            target: "records",
            request = gap.after.request(),
            missing = gap.missing.request(),
            group = self.group.0;
            "no voter has the turn before a stored one"
        );
        self.replica.accept_gap(gap.clone());
    }
}
