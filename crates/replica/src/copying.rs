//! Copies the records that a read quorum of a group's voters holds: those that there are before this replica joins the set, and the
//! rest once the set is joint.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_records::{
    GroupId, ListPosition, Listing, Replica, ReplicaGroups, ReplicaId, ReplicaReply,
    ReplicaRequest, ReplicaSet, TurnId,
};
use ridgeworks_resident::clock::whole_ms;
use ridgeworks_resident::peer::{PeerReply, PeerRequest};
use ridgeworks_resident::view::Source;
use tokio::time::Instant;

use crate::actor::Copied;
use crate::handle::ReplicaHandle;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How often it is looked whether a copy is due, besides at each change of a set.
const IDLE_PAUSE: Duration = Duration::from_millis(500);
/// Turns asked for at once, about 1 MB. With 64 a copy under load never caught up: 500 turns a second came in, and a busy source takes
/// 50 ms and more for an answer.
const FETCH_COUNT: usize = 256;
/// The longest that a copier rests after an answer.
const LONGEST_REST: Duration = Duration::from_millis(50);
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
    /// The source rests for as long as its answer took, up to a bound, so that a busy one is asked less.
    Resting,
    /// At once: writes go to both sides until the copy is made.
    AtOnce,
}

/// A copy that is due.
#[derive(Debug, Clone)]
struct CopyJob {
    /// The replica that copies.
    me: ReplicaId,
    group: GroupId,
    /// The set of the group.
    set: ReplicaSet,
    /// All sets, for a source that does not know them yet.
    groups: Rc<ReplicaGroups>,
    pace: Pace,
}

/// Copies whenever a set asks for it, until the process ends.
pub async fn run(replica: Rc<ReplicaHandle>) {
    let mut changes = replica.node.view.changes();
    let mut copier = Copier::new(Rc::clone(&replica));
    loop {
        copier.forget_unwanted();
        if let Some(job) = joint_job(&replica) {
            copier.copy_for(&job).await;
            continue;
        }
        let jobs = preparing_jobs(&replica);
        for job in &jobs {
            copier.prepare_for(job).await;
        }
        let pause = if jobs.is_empty() {
            IDLE_PAUSE
        } else {
            ROUND_PAUSE
        };
        tokio::select! {
            changed = changes.changed() => if changed.is_err() {
                return;
            },
            () = replica.preparation.asked() => {}
            () = tokio::time::sleep(pause) => {}
        }
    }
}

/// The copy that this replica has yet to make for a set that is changing.
fn joint_job(replica: &ReplicaHandle) -> Option<CopyJob> {
    let groups = replica.node.view.groups()?;
    let status = replica.status()?;
    let mut sets = groups.iter();
    let (group, set) = sets.find(|(group, set)| {
        set.is_copier(status.id) && status.copied != Some((*group, set.epoch))
    })?;
    Some(CopyJob {
        me: status.id,
        group,
        set: set.clone(),
        groups: Rc::clone(&groups),
        pace: Pace::AtOnce,
    })
}

/// The copies of groups that this replica is to join.
fn preparing_jobs(replica: &ReplicaHandle) -> Vec<CopyJob> {
    let (Some(groups), Some(status)) = (replica.node.view.groups(), replica.status()) else {
        return Vec::new();
    };
    let me = status.id;
    let is_due = |group: GroupId, set: &ReplicaSet| {
        let is_wanted = replica.preparation.wanted(group) == Some(set.epoch);
        is_wanted && set.incoming.is_none() && !set.has_member(me)
    };
    let due = groups.iter().filter(|(group, set)| is_due(*group, set));
    let jobs = due.map(|(group, set)| CopyJob {
        me,
        group,
        set: set.clone(),
        groups: Rc::clone(&groups),
        pace: Pace::Resting,
    });
    jobs.collect()
}

/// How far this replica's copies are.
struct Copier {
    replica: Rc<ReplicaHandle>,
    /// The life of the own disk that holds the copies.
    me: Option<ReplicaId>,
    /// Up to where the changes of each source are durable here.
    positions: HashMap<(GroupId, ReplicaId), ListPosition>,
    /// When copies for sets that had not changed yet were begun.
    begun: BTreeMap<GroupId, Instant>,
}

impl Copier {
    fn new(replica: Rc<ReplicaHandle>) -> Self {
        Self {
            replica,
            me: None,
            positions: HashMap::new(),
            begun: BTreeMap::new(),
        }
    }

    /// Forgets copies that nobody wants any more.
    fn forget_unwanted(&mut self) {
        let me = self.replica.status().map(|status| status.id);
        if self.me != me {
            // What another life of the own disk held is gone.
            self.positions.clear();
            self.replica.preparation.forget_all();
            self.me = me;
        }
        let groups = self.replica.node.view.groups();
        let replica = &self.replica;
        let is_wanted = |group: GroupId| {
            let set = groups.as_ref().and_then(|groups| groups.set(group));
            let is_copier = set.zip(me).is_some_and(|(set, me)| set.is_copier(me));
            is_copier || replica.preparation.wanted(group).is_some()
        };
        self.positions.retain(|(group, _), _| is_wanted(*group));
        self.begun.retain(|group, begun| {
            let keep = is_wanted(*group);
            if !keep {
                log::info!(
                    target: "belief",
                    group = group.0,
                    took_ms = whole_ms(begun.elapsed());
                    "copy before a change of the replica set given up"
                );
            }
            keep
        });
    }

    /// One round of copies before the set changes.
    async fn prepare_for(&mut self, job: &CopyJob) {
        let (group, epoch) = (job.group, job.set.epoch);
        if !self.begun.contains_key(&group) {
            log::info!(
                target: "belief",
                group = group.0,
                epoch = epoch.0;
                "copy before a change of the replica set began"
            );
        }
        let begun = *self.begun.entry(group).or_insert_with(Instant::now);
        let round = Instant::now();
        let is_copied = self.copy_from_quorum(job, BTreeSet::new()).await;
        if !is_copied || round.elapsed() > CAUGHT_UP {
            return;
        }
        let preparation = &self.replica.preparation;
        if !preparation.is_ready(group, epoch) {
            log::info!(
                target: "belief",
                group = group.0,
                epoch = epoch.0,
                took_ms = whole_ms(begun.elapsed());
                "copy before a change of the replica set caught up"
            );
        }
        preparation.set_ready(group, epoch);
    }

    /// Copies under a joint set what changed since the last round, or everything.
    async fn copy_for(&mut self, job: &CopyJob) {
        let began = Instant::now();
        let mut copied = BTreeSet::new();
        // An empty batch is answered once the adoption of the set is durable here.
        let is_voter = job.set.voters.iter().any(|voter| voter.id == job.me);
        if is_voter && self.replica.copy(job.group, Vec::new()).await {
            copied.insert(job.me);
        }
        if !self.copy_from_quorum(job, copied).await {
            return;
        }
        self.begun.remove(&job.group);
        self.replica.preparation.forget(job.group);
        log::info!(
            target: "belief",
            group = job.group.0,
            epoch = job.set.epoch.0,
            took_ms = whole_ms(began.elapsed());
            "rest of the copy made"
        );
        self.replica.finish_copy(job.group, job.set.epoch);
        // The status changes on the actor's next turn.
        tokio::time::sleep(RETRY_PAUSE).await;
    }

    /// Copies from voters until a read quorum of them is copied; says whether that was reached.
    async fn copy_from_quorum(&mut self, job: &CopyJob, mut copied: BTreeSet<ReplicaId>) -> bool {
        while !job.set.has_read_quorum(&copied) {
            for voter in self.sources(job) {
                if copied.contains(&voter.id) {
                    continue;
                }
                match self.copy_from(job, voter).await {
                    Ok(()) => {
                        copied.insert(voter.id);
                    }
                    Err(CopyError::Superseded) => return false,
                    Err(CopyError::Source | CopyError::Disk) => {}
                }
                if job.set.has_read_quorum(&copied) {
                    return true;
                }
            }
            if !self.is_wanted(job) {
                return false;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        true
    }

    /// Whether a copy is still of use, and nothing is more urgent.
    fn is_wanted(&self, job: &CopyJob) -> bool {
        let replica = &self.replica;
        let set = replica.node.view.replica_set(job.group);
        let is_newest = set.is_some_and(|set| set.epoch == job.set.epoch);
        if job.pace == Pace::AtOnce {
            return is_newest;
        }
        let is_asked = replica.preparation.wanted(job.group) == Some(job.set.epoch);
        is_newest && is_asked && joint_job(replica).is_none()
    }

    /// The voters: first those of which most is known, then those whose last heartbeat is the newest: one that is gone makes a
    /// copy wait.
    fn sources<'a>(&self, job: &'a CopyJob) -> Vec<&'a Replica> {
        let mut sorted = newest_first(&self.replica, &job.set.voters);
        sorted.sort_by_key(|voter| !self.positions.contains_key(&(job.group, voter.id)));
        sorted
    }

    async fn copy_from(&mut self, job: &CopyJob, voter: &Replica) -> Result<(), CopyError> {
        let replica = Rc::clone(&self.replica);
        let source = CopySource {
            replica: &replica,
            job,
            voter,
        };
        let key = (job.group, voter.id);
        loop {
            let after = self.positions.get(&key).copied();
            let listing = source.list(after).await?;
            source.copy_turns(listing.turns).await?;
            let ledgers = listing.ledgers.into_iter();
            let ledgers =
                ledgers.map(|(program, ledger, ttl_ms)| Copied::Ledger(program, ledger, ttl_ms));
            if !replica.copy(job.group, ledgers.collect()).await {
                return Err(CopyError::Disk);
            }
            // Everything up to here is durable.
            self.positions.insert(key, listing.next);
            if listing.is_end {
                return Ok(());
            }
            if !self.is_wanted(job) {
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
    job: &'a CopyJob,
    voter: &'a Replica,
}

impl CopySource<'_> {
    async fn list(&self, after: Option<ListPosition>) -> Result<Listing, CopyError> {
        let request = ReplicaRequest::List {
            group: self.job.group,
            epoch: self.job.set.epoch,
            after,
        };
        let mut reply = self.ask(request.clone()).await?;
        if reply == ReplicaReply::Behind {
            // The source has not heard of the set yet.
            let groups = ReplicaGroups::clone(&self.job.groups);
            self.ask(ReplicaRequest::Adopt { groups }).await?;
            reply = self.ask(request).await?;
        }
        match reply {
            ReplicaReply::Listed(listing) => Ok(listing),
            ReplicaReply::Stale { groups } => {
                let view = &self.replica.node.view;
                view.adopt_groups(groups, Source::Peer);
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
                let ttl_ms = keep.get(&record.turn).copied().unwrap_or_default();
                Copied::Turn(record, ttl_ms)
            });
            if !self.replica.copy(self.job.group, records.collect()).await {
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
        if self.job.pace == Pace::Resting {
            tokio::time::sleep(began.elapsed().min(LONGEST_REST)).await;
        }
        match reply {
            Ok(PeerReply::Replica(reply)) => Ok(reply),
            _ => Err(CopyError::Source),
        }
    }
}
