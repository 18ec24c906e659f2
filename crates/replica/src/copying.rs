//! Copies the records that a read quorum of the voters holds, when this replica belongs to the incoming
//! side of a changed set.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_records::{
    Epoch, Listing, RecordKey, Replica, ReplicaId, ReplicaReply, ReplicaRequest, ReplicaSet, TurnId,
};
use ridgeworks_resident::peer::{PeerReply, PeerRequest};
use ridgeworks_resident::view::Source;

use crate::actor::Copied;
use crate::handle::ReplicaHandle;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Turns asked for at once.
const FETCH_COUNT: usize = 64;

/// Why a source could not be copied now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CopyError {
    /// The source did not answer, or not with what was asked.
    Source,
    /// There is a newer set; the copy is of no more use.
    Superseded,
    /// The own disk took nothing.
    Disk,
}

/// Copies whenever the set asks for it, until the process ends.
pub async fn run(replica: Rc<ReplicaHandle>) {
    let mut changes = replica.node.view.changes();
    loop {
        if let Some((set, me)) = copy_due(&replica) {
            copy_for(&replica, &set, me).await;
        } else {
            tokio::select! {
                changed = changes.changed() => if changed.is_err() {
                    return;
                },
                () = tokio::time::sleep(RETRY_PAUSE * 5) => {}
            }
        }
    }
}

/// The set whose copy this replica has yet to make.
fn copy_due(replica: &ReplicaHandle) -> Option<(ReplicaSet, ReplicaId)> {
    let set = replica.node.view.replica_set()?;
    let status = replica.status()?;
    let is_due = set.is_incoming(status.id) && status.copied < Some(set.epoch);
    is_due.then_some((set, status.id))
}

async fn copy_for(replica: &Rc<ReplicaHandle>, set: &ReplicaSet, me: ReplicaId) {
    let mut copied = BTreeSet::new();
    // An empty batch is answered once the adoption of the set is durable here.
    if set.voters.iter().any(|voter| voter.id == me) && replica.copy(Vec::new()).await {
        copied.insert(me);
    }
    while !set.has_read_quorum(&copied) {
        for voter in newest_first(replica, &set.voters) {
            if copied.contains(&voter.id) {
                continue;
            }
            match copy_from(replica, set, voter).await {
                Ok(()) => {
                    copied.insert(voter.id);
                }
                Err(CopyError::Superseded) => return,
                Err(CopyError::Source | CopyError::Disk) => {}
            }
            if set.has_read_quorum(&copied) {
                break;
            }
        }
        if replica.node.view.epoch() > set.epoch {
            return;
        }
        if !set.has_read_quorum(&copied) {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
    replica.finish_copy(set.epoch);
    // The status changes on the actor's next turn.
    tokio::time::sleep(RETRY_PAUSE).await;
}

/// The voters, those first whose last heartbeat is the newest: one that is gone makes a copy wait.
fn newest_first<'a>(replica: &ReplicaHandle, voters: &'a [Replica]) -> Vec<&'a Replica> {
    let members = replica.node.gossip.replicas();
    let heard_at = |voter: &Replica| {
        let mut of_voter = members.iter().filter(|member| {
            let status = member.replica;
            status.is_some_and(|status| status.id == voter.id)
        });
        of_voter.find_map(|member| member.heard_at)
    };
    let mut sorted: Vec<&Replica> = voters.iter().collect();
    sorted.sort_by_key(|voter| std::cmp::Reverse(heard_at(voter)));
    sorted
}

async fn copy_from(
    replica: &Rc<ReplicaHandle>,
    set: &ReplicaSet,
    source: &Replica,
) -> Result<(), CopyError> {
    let mut after: Option<RecordKey> = None;
    loop {
        let listing = list(replica, set, source, after).await?;
        copy_turns(replica, source, listing.turns).await?;
        let ledgers = listing.ledgers.into_iter();
        let ledgers =
            ledgers.map(|(program, ledger, keep_ms)| Copied::Ledger(program, ledger, keep_ms));
        if !replica.copy(ledgers.collect()).await {
            return Err(CopyError::Disk);
        }
        after = listing.next;
        if after.is_none() {
            return Ok(());
        }
    }
}

async fn list(
    replica: &ReplicaHandle,
    set: &ReplicaSet,
    source: &Replica,
    after: Option<RecordKey>,
) -> Result<Listing, CopyError> {
    let epoch: Epoch = set.epoch;
    let request = ReplicaRequest::List { epoch, after };
    let mut reply = ask(replica, source, request.clone()).await?;
    if reply == ReplicaReply::Behind {
        // The source has not heard of the set yet.
        let set = set.clone();
        ask(replica, source, ReplicaRequest::Adopt { set }).await?;
        reply = ask(replica, source, request).await?;
    }
    match reply {
        ReplicaReply::Listed(listing) => Ok(listing),
        ReplicaReply::Stale { set } => {
            replica.node.view.adopt_replica_set(set, Source::Peer);
            Err(CopyError::Superseded)
        }
        _ => Err(CopyError::Source),
    }
}

async fn copy_turns(
    replica: &ReplicaHandle,
    source: &Replica,
    listed: Vec<(TurnId, u64)>,
) -> Result<(), CopyError> {
    let mut missing = replica.missing(listed).await;
    while !missing.is_empty() {
        let keep: HashMap<TurnId, u64> = missing.iter().cloned().collect();
        let turns = missing.iter().take(FETCH_COUNT);
        let turns: Vec<TurnId> = turns.map(|(turn, _)| turn.clone()).collect();
        let asked: BTreeSet<TurnId> = turns.iter().cloned().collect();
        let fetched = match ask(replica, source, ReplicaRequest::Fetch { turns }).await? {
            ReplicaReply::Fetched { records } => records,
            _ => return Err(CopyError::Source),
        };
        let got: BTreeSet<TurnId> = fetched.iter().map(|record| record.turn.clone()).collect();
        let records = fetched.into_iter().map(|record| {
            let keep_ms = keep.get(&record.turn).copied().unwrap_or_default();
            Copied::Turn(record, keep_ms)
        });
        if !replica.copy(records.collect()).await {
            return Err(CopyError::Disk);
        }
        // What the source no longer has is past its time; what did not fit is asked for again.
        let expired = got.is_empty();
        let is_settled = |turn: &TurnId| got.contains(turn) || (expired && asked.contains(turn));
        missing.retain(|(turn, _)| !is_settled(turn));
    }
    Ok(())
}

async fn ask(
    replica: &ReplicaHandle,
    source: &Replica,
    request: ReplicaRequest,
) -> Result<ReplicaReply, CopyError> {
    let address = source.address.parse().map_err(|_| CopyError::Source)?;
    let to = source.id;
    let request = PeerRequest::Replica { to, request };
    let links = &replica.node.links;
    match links.call(address, request, REQUEST_TIMEOUT).await {
        Ok(PeerReply::Replica(reply)) => Ok(reply),
        _ => Err(CopyError::Source),
    }
}
