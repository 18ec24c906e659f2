//! Copies the records that a read quorum of the voters holds: those that there are before this replica joins the set, and the rest
//! once the set is joint.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_records::{
    Epoch, ListPosition, Listing, Replica, ReplicaId, ReplicaReply, ReplicaRequest, ReplicaSet,
    TurnId,
};
use ridgeworks_resident::clock::whole_ms;
use ridgeworks_resident::peer::{PeerReply, PeerRequest};
use ridgeworks_resident::view::Source;
use tokio::time::Instant;

use crate::actor::Copied;
use crate::handle::ReplicaHandle;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Turns asked for at once.
const FETCH_COUNT: usize = 64;
/// A round of questions to a read quorum that took no longer finds little that is new.
const CAUGHT_UP: Duration = Duration::from_millis(800);
/// Pause between rounds while the set has not changed yet.
const ROUND_PAUSE: Duration = Duration::from_millis(300);

/// Why a source could not be copied now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CopyError {
    /// The source did not answer, or not with what was asked.
    Source,
    /// There is a newer set, or the copy is no longer wanted.
    Superseded,
    /// The own disk took nothing.
    Disk,
}

/// How fast a copy is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pace {
    /// The source rests for as long as its answer took, so that a busy one is asked less.
    Resting,
    /// At once: writes go to both sides until the copy is made.
    AtOnce,
}

/// Copies whenever the set asks for it, until the process ends.
pub async fn run(replica: Rc<ReplicaHandle>) {
    let mut changes = replica.node.view.changes();
    let mut copier = Copier::new(Rc::clone(&replica));
    loop {
        if let Some((set, me)) = copy_due(&replica) {
            copier.copy_for(&set, me).await;
        } else if let Some((set, me)) = preparation_due(&replica) {
            copier.prepare_for(&set, me).await;
        } else {
            copier.forget();
            tokio::select! {
                changed = changes.changed() => if changed.is_err() {
                    return;
                },
                () = replica.preparation.asked() => {}
                () = tokio::time::sleep(RETRY_PAUSE * 5) => {}
            }
        }
    }
}

/// The joint set whose copy this replica has yet to make.
fn copy_due(replica: &ReplicaHandle) -> Option<(ReplicaSet, ReplicaId)> {
    let set = replica.node.view.replica_set()?;
    let status = replica.status()?;
    let is_due = set.is_copier(status.id) && status.copied < Some(set.epoch);
    is_due.then_some((set, status.id))
}

/// The set that this replica is to join once it has copied.
fn preparation_due(replica: &ReplicaHandle) -> Option<(ReplicaSet, ReplicaId)> {
    let set = replica.node.view.replica_set()?;
    let status = replica.status()?;
    let is_wanted = replica.preparation.wanted() == Some(set.epoch);
    let is_outside = set.incoming.is_none() && !set.has_member(status.id);
    (is_wanted && is_outside).then_some((set, status.id))
}

/// How far this replica's copy is.
struct Copier {
    replica: Rc<ReplicaHandle>,
    /// The life of the own disk that holds the copy.
    me: Option<ReplicaId>,
    /// Up to where the changes of each source are durable here.
    positions: HashMap<ReplicaId, ListPosition>,
    /// When the copy for a set that has not changed yet was begun.
    begun: Option<Instant>,
}

impl Copier {
    fn new(replica: Rc<ReplicaHandle>) -> Self {
        Self {
            replica,
            me: None,
            positions: HashMap::new(),
            begun: None,
        }
    }

    /// Nobody wants the copy any more.
    fn forget(&mut self) {
        self.positions.clear();
        self.replica.preparation.set_ready(None);
        if let Some(begun) = self.begun.take() {
            log::info!(
                target: "belief",
                epoch = self.replica.node.view.epoch().0,
                took_ms = whole_ms(begun.elapsed());
                "copy before a change of the replica set given up"
            );
        }
    }

    /// What another life of the own disk held is gone.
    fn belong_to(&mut self, me: ReplicaId) {
        if self.me.replace(me) != Some(me) {
            self.positions.clear();
            self.replica.preparation.set_ready(None);
        }
    }

    /// One round of copies before the set changes.
    async fn prepare_for(&mut self, set: &ReplicaSet, me: ReplicaId) {
        self.belong_to(me);
        if self.begun.is_none() {
            log::info!(target: "belief", epoch = set.epoch.0; "copy before a change of the replica set began");
        }
        let begun = *self.begun.get_or_insert_with(Instant::now);
        let round = Instant::now();
        let copied = self.copy_from_quorum(set, BTreeSet::new(), Pace::Resting);
        if copied.await && round.elapsed() < CAUGHT_UP {
            if !self.replica.preparation.is_ready(set.epoch) {
                log::info!(
                    target: "belief",
                    epoch = set.epoch.0,
                    took_ms = whole_ms(begun.elapsed());
                    "copy before a change of the replica set caught up"
                );
            }
            self.replica.preparation.set_ready(Some(set.epoch));
        }
        tokio::time::sleep(ROUND_PAUSE).await;
    }

    /// Copies under a joint set what changed since the last round, or everything.
    async fn copy_for(&mut self, set: &ReplicaSet, me: ReplicaId) {
        self.belong_to(me);
        let began = Instant::now();
        let mut copied = BTreeSet::new();
        // An empty batch is answered once the adoption of the set is durable here.
        let is_voter = set.voters.iter().any(|voter| voter.id == me);
        if is_voter && self.replica.copy(Vec::new()).await {
            copied.insert(me);
        }
        if !self.copy_from_quorum(set, copied, Pace::AtOnce).await {
            return;
        }
        self.begun = None;
        log::info!(
            target: "belief",
            epoch = set.epoch.0,
            took_ms = whole_ms(began.elapsed());
            "rest of the copy made"
        );
        self.replica.finish_copy(set.epoch);
        // The status changes on the actor's next turn.
        tokio::time::sleep(RETRY_PAUSE).await;
    }

    /// Copies from voters until a read quorum of them is copied; says whether that was reached.
    async fn copy_from_quorum(
        &mut self,
        set: &ReplicaSet,
        mut copied: BTreeSet<ReplicaId>,
        pace: Pace,
    ) -> bool {
        while !set.has_read_quorum(&copied) {
            for voter in self.sources(&set.voters) {
                if copied.contains(&voter.id) {
                    continue;
                }
                match self.copy_from(set, voter, pace).await {
                    Ok(()) => {
                        copied.insert(voter.id);
                    }
                    Err(CopyError::Superseded) => return false,
                    Err(CopyError::Source | CopyError::Disk) => {}
                }
                if set.has_read_quorum(&copied) {
                    return true;
                }
            }
            if !self.is_wanted(set, pace) {
                return false;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        true
    }

    /// Whether the copy for this set is still of use.
    fn is_wanted(&self, set: &ReplicaSet, pace: Pace) -> bool {
        let is_newest = self.replica.node.view.epoch() <= set.epoch;
        let is_asked = self.replica.preparation.wanted() == Some(set.epoch);
        is_newest && (pace == Pace::AtOnce || is_asked)
    }

    /// The voters: first those of which most is known, then those whose last heartbeat is the newest: one that is gone makes a
    /// copy wait.
    fn sources<'a>(&self, voters: &'a [Replica]) -> Vec<&'a Replica> {
        let mut sorted = newest_first(&self.replica, voters);
        sorted.sort_by_key(|voter| !self.positions.contains_key(&voter.id));
        sorted
    }

    async fn copy_from(
        &mut self,
        set: &ReplicaSet,
        voter: &Replica,
        pace: Pace,
    ) -> Result<(), CopyError> {
        let replica = Rc::clone(&self.replica);
        let source = CopySource {
            replica: &replica,
            set,
            voter,
            pace,
        };
        loop {
            let after = self.positions.get(&voter.id).copied();
            let listing = source.list(after).await?;
            source.copy_turns(listing.turns).await?;
            let ledgers = listing.ledgers.into_iter();
            let ledgers =
                ledgers.map(|(program, ledger, keep_ms)| Copied::Ledger(program, ledger, keep_ms));
            if !replica.copy(ledgers.collect()).await {
                return Err(CopyError::Disk);
            }
            // Everything up to here is durable.
            self.positions.insert(voter.id, listing.next);
            if listing.is_end {
                return Ok(());
            }
            if !self.is_wanted(set, pace) {
                return Err(CopyError::Superseded);
            }
        }
    }
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

/// A voter that is being copied.
struct CopySource<'a> {
    replica: &'a ReplicaHandle,
    set: &'a ReplicaSet,
    voter: &'a Replica,
    pace: Pace,
}

impl CopySource<'_> {
    async fn list(&self, after: Option<ListPosition>) -> Result<Listing, CopyError> {
        let epoch: Epoch = self.set.epoch;
        let request = ReplicaRequest::List { epoch, after };
        let mut reply = self.ask(request.clone()).await?;
        if reply == ReplicaReply::Behind {
            // The source has not heard of the set yet.
            let set = self.set.clone();
            self.ask(ReplicaRequest::Adopt { set }).await?;
            reply = self.ask(request).await?;
        }
        match reply {
            ReplicaReply::Listed(listing) => Ok(listing),
            ReplicaReply::Stale { set } => {
                let view = &self.replica.node.view;
                view.adopt_replica_set(set, Source::Peer);
                Err(CopyError::Superseded)
            }
            _ => Err(CopyError::Source),
        }
    }

    async fn copy_turns(&self, listed: Vec<(TurnId, u64)>) -> Result<(), CopyError> {
        let mut missing = self.replica.missing(listed).await;
        while !missing.is_empty() {
            let keep: HashMap<TurnId, u64> = missing.iter().cloned().collect();
            let turns = missing.iter().take(FETCH_COUNT);
            let turns: Vec<TurnId> = turns.map(|(turn, _)| turn.clone()).collect();
            let asked: BTreeSet<TurnId> = turns.iter().cloned().collect();
            let fetched = match self.ask(ReplicaRequest::Fetch { turns }).await? {
                ReplicaReply::Fetched { records } => records,
                _ => return Err(CopyError::Source),
            };
            let got: BTreeSet<TurnId> = fetched.iter().map(|record| record.turn.clone()).collect();
            let records = fetched.into_iter().map(|record| {
                let keep_ms = keep.get(&record.turn).copied().unwrap_or_default();
                Copied::Turn(record, keep_ms)
            });
            if !self.replica.copy(records.collect()).await {
                return Err(CopyError::Disk);
            }
            // What the source no longer has is past its time; what did not fit is asked for again.
            let expired = got.is_empty();
            let is_settled =
                |turn: &TurnId| got.contains(turn) || (expired && asked.contains(turn));
            missing.retain(|(turn, _)| !is_settled(turn));
        }
        Ok(())
    }

    async fn ask(&self, request: ReplicaRequest) -> Result<ReplicaReply, CopyError> {
        let address = self.voter.address.parse();
        let address = address.map_err(|_| CopyError::Source)?;
        let to = self.voter.id;
        let request = PeerRequest::Replica { to, request };
        let began = Instant::now();
        let links = &self.replica.node.links;
        let reply = links.call(address, request, REQUEST_TIMEOUT).await;
        if self.pace == Pace::Resting {
            tokio::time::sleep(began.elapsed()).await;
        }
        match reply {
            Ok(PeerReply::Replica(reply)) => Ok(reply),
            _ => Err(CopyError::Source),
        }
    }
}
