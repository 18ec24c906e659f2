//! Copies the records that a read quorum of a group's voters holds: most of them before this
//! replica joins the set, and those that changed since once the set is joint.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use ridgeworks_records::{
    GroupId, ListPosition, Listing, Replica, ReplicaGroups, ReplicaId, ReplicaReply,
    ReplicaRequest, ReplicaSet, TurnId, TurnRecord,
};
use ridgeworks_resident::clock::whole_ms;
use ridgeworks_resident::peer::{PeerReply, PeerRequest};
use ridgeworks_resident::view::Source;
use tokio::time::Instant;

use crate::actor::CopiedRecord;
use crate::handle::ReplicaHandle;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// How often to check whether a copy is due, besides at each change of a set.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// Turns per request, about 1 MB. Copying has to be faster than new turns arrive, although a busy
/// source takes 50 ms and more to reply: with 64, a copy never caught up with 500 new turns a second.
const FETCH_COUNT: usize = 256;
/// Bytes of turns that a copy holds before it writes them. Turns may be large, and a page lists many.
const MAX_UNWRITTEN_BYTES: usize = 8 * 1024 * 1024;
/// Voters besides the listing one that are asked for turns at the same time.
const MAX_HELPERS: usize = 2;
/// Longest pause after a reply.
const MAX_THROTTLE_PAUSE: Duration = Duration::from_millis(50);
/// Longest round of copying after which the replica counts as prepared, whatever it copied: little has
/// changed meanwhile.
const CAUGHT_UP_ROUND: Duration = Duration::from_millis(800);
/// Most pages of one voter in a round after which the replica counts as prepared, however long the round took: under the
/// joint set, copying takes no more requests than that. Busy voters take over 0.1 s for each reply, and a round asks several of them.
const CAUGHT_UP_PAGES: usize = 1;
/// Interval of rounds while the set isn't joint yet.
const ROUND_INTERVAL: Duration = Duration::from_millis(300);

/// Why copying from a source failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CopyError {
    /// The source didn't reply, or with an unexpected reply.
    Source,
    /// There is a newer set, or the copy is no longer requested.
    Superseded,
    /// The records couldn't be written to this replica's disk.
    Disk,
}

/// Speed of a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pace {
    /// Pauses after each reply for as long as the reply took, up to a bound, so that a busy source
    /// is asked less often.
    Throttled,
    /// No pauses: until a joint set is completed, each write goes to the voters and the incoming
    /// replicas.
    Unthrottled,
}

#[derive(Debug, Clone)]
struct CopyJob {
    /// The replica that copies.
    me: ReplicaId,
    group: GroupId,
    /// The set of the group.
    set: ReplicaSet,
    /// All sets, for a source that doesn't know them yet.
    groups: Rc<ReplicaGroups>,
    pace: Pace,
}

/// Makes the copies that are due, until the process ends.
pub async fn run(replica: Rc<ReplicaHandle>) {
    let mut changes = replica.node.view.changes();
    let mut copier = RecordCopier::new(Rc::clone(&replica));
    loop {
        copier.drop_unwanted();
        if let Some(job) = joint_job(&replica) {
            copier.copy_for_joint_set(&job).await;
            continue;
        }
        let jobs = preparation_jobs(&replica);
        for job in &jobs {
            copier.run_preparation_round(job).await;
        }
        let pause = if jobs.is_empty() {
            IDLE_INTERVAL
        } else {
            ROUND_INTERVAL
        };
        tokio::select! {
            changed = changes.changed() => if changed.is_err() {
                return;
            },
            () = replica.preparation.new_request() => {}
            () = tokio::time::sleep(pause) => {}
        }
    }
}

/// The copy that this replica has to make for a joint set, if any.
fn joint_job(replica: &ReplicaHandle) -> Option<CopyJob> {
    let groups = replica.node.view.replica_sets()?;
    let status = replica.status()?;
    let mut sets = groups.iter();
    let (group, set) = sets.find(|(group, set)| {
        set.is_copier(status.id) && status.copied != Some((*group, set.epoch))
    })?;
    // A voter counts its own records as copied, so it must have them.
    let is_voter = set.voters.iter().any(|voter| voter.id == status.id);
    if is_voter && !replica.is_fully_restored() {
        return None;
    }
    Some(CopyJob {
        me: status.id,
        group,
        set: set.clone(),
        groups: Rc::clone(&groups),
        pace: Pace::Unthrottled,
    })
}

/// The requested copies of groups that this replica is to join.
fn preparation_jobs(replica: &ReplicaHandle) -> Vec<CopyJob> {
    let (Some(groups), Some(status)) = (replica.node.view.replica_sets(), replica.status()) else {
        return Vec::new();
    };
    let me = status.id;
    let is_due = |group: GroupId, set: &ReplicaSet| {
        let is_wanted = replica.preparation.requested_epoch(group) == Some(set.epoch);
        is_wanted && set.incoming.is_none() && !set.has_member(me)
    };
    let due = groups.iter().filter(|(group, set)| is_due(*group, set));
    let jobs = due.map(|(group, set)| CopyJob {
        me,
        group,
        set: set.clone(),
        groups: Rc::clone(&groups),
        pace: Pace::Throttled,
    });
    jobs.collect()
}

/// Progress of this replica's copies.
struct RecordCopier {
    replica: Rc<ReplicaHandle>,
    /// Identity of the disk that holds the copies.
    me: Option<ReplicaId>,
    /// Position in each source's change log up to which its records are durable here.
    positions: RefCell<HashMap<(GroupId, ReplicaId), ListPosition>>,
    /// When copies for sets that aren't joint yet began.
    started_at: BTreeMap<GroupId, Instant>,
}

impl RecordCopier {
    fn new(replica: Rc<ReplicaHandle>) -> Self {
        Self {
            replica,
            me: None,
            positions: RefCell::default(),
            started_at: BTreeMap::new(),
        }
    }

    /// Drops the state of copies that are no longer needed, and the positions and requests of all
    /// copies when the disk was closed or replaced.
    fn drop_unwanted(&mut self) {
        let me = self.replica.status().map(|status| status.id);
        if self.me != me {
            // The records copied to the earlier disk are lost.
            self.positions.borrow_mut().clear();
            self.replica.preparation.clear();
            self.me = me;
        }
        let groups = self.replica.node.view.replica_sets();
        let replica = &self.replica;
        let is_wanted = |group: GroupId| {
            let set = groups.as_ref().and_then(|groups| groups.set(group));
            let is_copier = set.zip(me).is_some_and(|(set, me)| set.is_copier(me));
            is_copier || replica.preparation.requested_epoch(group).is_some()
        };
        let mut positions = self.positions.borrow_mut();
        positions.retain(|(group, _), _| is_wanted(*group));
        self.started_at.retain(|group, started_at| {
            let keep = is_wanted(*group);
            if !keep {
                log::info!(
                    target: "belief",
                    group = group.0,
                    took_ms = whole_ms(started_at.elapsed());
                    "cancelled the copy before a change of the replica set"
                );
            }
            keep
        });
    }

    /// Makes one round of copying before the set changes.
    async fn run_preparation_round(&mut self, job: &CopyJob) {
        let (group, epoch) = (job.group, job.set.epoch);
        if !self.started_at.contains_key(&group) {
            log::info!(
                target: "belief",
                group = group.0,
                epoch = epoch.0;
                "started the copy before a change of the replica set"
            );
        }
        let started_at = *self.started_at.entry(group).or_insert_with(Instant::now);
        let round_start = Instant::now();
        let Some(pages) = self.copy_from_quorum(job, BTreeSet::new()).await else {
            return;
        };
        if pages > CAUGHT_UP_PAGES && round_start.elapsed() > CAUGHT_UP_ROUND {
            return;
        }
        let preparation = &self.replica.preparation;
        if !preparation.is_prepared(group, epoch) {
            log::info!(
                target: "belief",
                group = group.0,
                epoch = epoch.0,
                took_ms = whole_ms(started_at.elapsed());
                "copy before a change of the replica set caught up"
            );
        }
        preparation.set_prepared(group, epoch);
    }

    /// Copies what changed since the last round, or everything, for a joint set.
    async fn copy_for_joint_set(&mut self, job: &CopyJob) {
        let start = Instant::now();
        let mut copied = BTreeSet::new();
        // A voter needs no copy of its own records. The reply to an empty batch comes once the
        // adopted set is durable here.
        let is_voter = job.set.voters.iter().any(|voter| voter.id == job.me);
        if is_voter && self.replica.copy(job.group, Vec::new()).await {
            copied.insert(job.me);
        }
        if self.copy_from_quorum(job, copied).await.is_none() {
            return;
        }
        self.started_at.remove(&job.group);
        self.replica.preparation.remove(job.group);
        log::info!(
            target: "belief",
            group = job.group.0,
            epoch = job.set.epoch.0,
            took_ms = whole_ms(start.elapsed());
            "copy for the joint replica set finished"
        );
        self.replica.finish_copy(job.group, job.set.epoch);
        // The actor updates the status in its next iteration.
        tokio::time::sleep(RETRY_DELAY).await;
    }

    /// Copies from voters until a read quorum is copied; returns the largest number of pages that one of them took, `None` if
    /// the copy is no longer needed. Most records come from the first voter; the others, which are then copied at the same time,
    /// add what it lacks.
    async fn copy_from_quorum(
        &self,
        job: &CopyJob,
        mut copied: BTreeSet<ReplicaId>,
    ) -> Option<usize> {
        let mut most_pages = 0;
        while !job.set.has_read_quorum(&copied) {
            let mut voters = self.sources(job);
            voters.retain(|voter| !copied.contains(&voter.id));
            while !voters.is_empty() && !job.set.has_read_quorum(&copied) {
                let missing = job.set.read_quorum().saturating_sub(copied.len());
                let count = if copied.is_empty() { 1 } else { missing };
                let batch: Vec<&Replica> = voters.drain(..count.min(voters.len())).collect();
                let copies = batch.iter().map(|voter| self.copy_from(job, voter));
                for (voter, outcome) in batch.iter().zip(join_all(copies).await) {
                    match outcome {
                        Ok(pages) => {
                            copied.insert(voter.id);
                            most_pages = most_pages.max(pages);
                        }
                        Err(CopyError::Superseded) => return None,
                        Err(CopyError::Source | CopyError::Disk) => {}
                    }
                }
            }
            if job.set.has_read_quorum(&copied) {
                break;
            }
            if !self.is_wanted(job) {
                return None;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        Some(most_pages)
    }

    /// Whether the copy is still needed. A copy before a set change also yields to one for a joint
    /// set.
    fn is_wanted(&self, job: &CopyJob) -> bool {
        let replica = &self.replica;
        let set = replica.node.view.replica_set(job.group);
        let is_newest = set.is_some_and(|set| set.epoch == job.set.epoch);
        if job.pace == Pace::Unthrottled {
            return is_newest;
        }
        let is_requested = replica.preparation.requested_epoch(job.group) == Some(job.set.epoch);
        is_newest && is_requested && joint_job(replica).is_none()
    }

    /// The voters: first those already copied in part, then those with the newest heartbeat, since
    /// a lost one would delay the copy.
    fn sources<'a>(&self, job: &'a CopyJob) -> Vec<&'a Replica> {
        let mut sorted = newest_first(&self.replica, &job.set.voters);
        let positions = self.positions.borrow();
        sorted.sort_by_key(|voter| !positions.contains_key(&(job.group, voter.id)));
        sorted
    }

    /// Copies what changed at a voter since its last position; returns the number of pages. The next page is read while one is
    /// written, so that neither the voter nor the disk is waited for alone.
    async fn copy_from(&self, job: &CopyJob, voter: &Replica) -> Result<usize, CopyError> {
        let replica = Rc::clone(&self.replica);
        let source = CopySource {
            replica: &replica,
            job,
            voter,
            helpers: RefCell::new(helpers(&replica, job, voter)),
        };
        let key = (job.group, voter.id);
        let mut pages = 1;
        let after = self.positions.borrow().get(&key).copied();
        let mut page = source.read_page(after).await?;
        loop {
            let (next, is_end) = (page.next, page.is_end);
            let writing = replica.copy(job.group, page.records);
            let reading = async {
                if is_end {
                    return Ok(None);
                }
                source.read_page(Some(next)).await.map(Some)
            };
            let (is_durable, following) = tokio::join!(writing, reading);
            if !is_durable {
                return Err(CopyError::Disk);
            }
            // Everything up to this position is durable.
            self.positions.borrow_mut().insert(key, next);
            let Some(following) = following? else {
                return Ok(pages);
            };
            if !self.is_wanted(job) {
                return Err(CopyError::Superseded);
            }
            page = following;
            pages += 1;
        }
    }
}

/// The voters that are asked for turns besides the listing one: those with the newest heartbeat.
fn helpers<'a>(replica: &ReplicaHandle, job: &'a CopyJob, voter: &Replica) -> Vec<&'a Replica> {
    let mut helpers = newest_first(replica, &job.set.voters);
    helpers.retain(|helper| helper.id != voter.id && helper.id != job.me);
    helpers.truncate(MAX_HELPERS);
    helpers
}

/// The voters, ordered by their last heartbeat, newest first.
pub fn newest_first<'a>(replica: &ReplicaHandle, voters: &'a [Replica]) -> Vec<&'a Replica> {
    let members = replica.node.gossip.replicas();
    let heard_at = |voter: &Replica| {
        let mut matching_members = members.iter().filter(|member| {
            let status = member.replica;
            status.is_some_and(|status| status.id == voter.id)
        });
        matching_members.find_map(|member| member.heard_at)
    };
    let mut sorted: Vec<&Replica> = voters.iter().collect();
    sorted.sort_by_key(|voter| std::cmp::Reverse(heard_at(voter)));
    sorted
}

/// The records of a page that aren't here yet.
struct Page {
    records: Vec<CopiedRecord>,
    /// Position after the page.
    next: ListPosition,
    is_end: bool,
}

/// The copies of turns, each with the time for which it is kept.
fn with_ttls(turns: Vec<TurnRecord>, ttls_ms: &HashMap<TurnId, u64>) -> Vec<CopiedRecord> {
    let copies = turns.into_iter().map(|record| {
        let ttl_ms = ttls_ms.get(&record.turn).copied().unwrap_or_default();
        CopiedRecord::Turn(record, ttl_ms)
    });
    copies.collect()
}

/// A voter that records are copied from.
struct CopySource<'a> {
    replica: &'a ReplicaHandle,
    job: &'a CopyJob,
    /// The voter that lists its records.
    voter: &'a Replica,
    /// Voters that are asked for a share of the turns listed.
    helpers: RefCell<Vec<&'a Replica>>,
}

impl<'a> CopySource<'a> {
    async fn read_page(&self, after: Option<ListPosition>) -> Result<Page, CopyError> {
        let listing = self.list(after).await?;
        let mut records = self.read_turns(listing.turns).await?;
        let ledgers = listing.ledgers.into_iter();
        records.extend(
            ledgers.map(|(program, ledger, ttl_ms)| CopiedRecord::Ledger(program, ledger, ttl_ms)),
        );
        Ok(Page {
            records,
            next: listing.next,
            is_end: listing.is_end,
        })
    }

    async fn list(&self, after: Option<ListPosition>) -> Result<Listing, CopyError> {
        let request = ReplicaRequest::List {
            group: self.job.group,
            epoch: self.job.set.epoch,
            after,
        };
        let mut reply = self.request(self.voter, request.clone()).await?;
        if reply == ReplicaReply::Behind {
            // The source doesn't know the set yet.
            let groups = ReplicaGroups::clone(&self.job.groups);
            let adopting = ReplicaRequest::Adopt { groups };
            self.request(self.voter, adopting).await?;
            reply = self.request(self.voter, request).await?;
        }
        match reply {
            ReplicaReply::Listed(listing) => Ok(listing),
            ReplicaReply::Stale { groups } => {
                let view = &self.replica.node.view;
                view.adopt_replica_sets(groups, Source::Peer);
                Err(CopyError::Superseded)
            }
            _ => Err(CopyError::Source),
        }
    }

    /// Reads the listed turns that aren't here, from several voters at the same time: a busy one takes long to reply. Writes them
    /// where they are many bytes, and returns those that are still to be written.
    async fn read_turns(&self, listed: Vec<(TurnId, u64)>) -> Result<Vec<CopiedRecord>, CopyError> {
        let mut missing = self.replica.missing(listed).await;
        let ttls_ms: HashMap<TurnId, u64> = missing.iter().cloned().collect();
        let mut copied = Vec::new();
        while !missing.is_empty() {
            let batches = missing.chunks(FETCH_COUNT).zip(self.fetch_sources());
            let fetches = batches.map(|(batch, voter)| self.fetch(voter, batch));
            let replies = join_all(fetches).await;
            let mut done = BTreeSet::new();
            for (number, reply) in replies.into_iter().enumerate() {
                let is_listing_voter = number == 0;
                match reply {
                    // It has all turns that it listed, so those have expired.
                    Ok(records) if is_listing_voter && records.is_empty() => {
                        let requested = missing.iter().take(FETCH_COUNT);
                        done.extend(requested.map(|(turn, _)| turn.clone()));
                    }
                    Ok(records) => {
                        done.extend(records.iter().map(|record| record.turn.clone()));
                        copied.extend(records);
                    }
                    Err(error) if is_listing_voter => return Err(error),
                    // What a helper lacks is requested again, in the end from the listing voter.
                    Err(_) => {}
                }
            }
            missing.retain(|(turn, _)| !done.contains(turn));
            if copied.iter().map(TurnRecord::weight).sum::<usize>() > MAX_UNWRITTEN_BYTES {
                self.write(with_ttls(std::mem::take(&mut copied), &ttls_ms))
                    .await?;
            }
        }
        Ok(with_ttls(copied, &ttls_ms))
    }

    /// Makes records durable here.
    async fn write(&self, records: Vec<CopiedRecord>) -> Result<(), CopyError> {
        let is_durable = self.replica.copy(self.job.group, records).await;
        is_durable.then_some(()).ok_or(CopyError::Disk)
    }

    /// The listing voter and its helpers.
    fn fetch_sources(&self) -> Vec<&'a Replica> {
        let mut sources = vec![self.voter];
        sources.extend(self.helpers.borrow().iter());
        sources
    }

    /// Reads turns from a voter, as many as one reply holds. A helper that fails isn't asked again.
    async fn fetch(
        &self,
        voter: &Replica,
        batch: &[(TurnId, u64)],
    ) -> Result<Vec<TurnRecord>, CopyError> {
        let turns = batch.iter().map(|(turn, _)| turn.clone()).collect();
        match self.request(voter, ReplicaRequest::Fetch { turns }).await {
            Ok(ReplicaReply::Fetched { records }) => Ok(records),
            _ => {
                let mut helpers = self.helpers.borrow_mut();
                helpers.retain(|helper| helper.id != voter.id);
                Err(CopyError::Source)
            }
        }
    }

    async fn request(
        &self,
        voter: &Replica,
        request: ReplicaRequest,
    ) -> Result<ReplicaReply, CopyError> {
        let address = voter.address.parse();
        let address = address.map_err(|_| CopyError::Source)?;
        let to = voter.id;
        let request = PeerRequest::Replica { to, request };
        let start = Instant::now();
        let links = &self.replica.node.links;
        let reply = links.call(address, request, REQUEST_TIMEOUT).await;
        if self.job.pace == Pace::Throttled {
            tokio::time::sleep(start.elapsed().min(MAX_THROTTLE_PAUSE)).await;
        }
        match reply {
            Ok(PeerReply::Replica(reply)) => Ok(reply),
            _ => Err(CopyError::Source),
        }
    }
}
