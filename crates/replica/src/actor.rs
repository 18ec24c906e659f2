//! The actor that holds the replica's state and its disk.
//!
//! A reply waits until all changes made before it are durable. When the disk fails, all waiting
//! replies become rejections, and the state is read from the disk again before any request is
//! served: changes that were only in memory were never acknowledged.

use std::cell::Cell;
use std::collections::VecDeque;
use std::ops::ControlFlow;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use ridgeworks_records::{
    ChainGap, Change, Epoch, GroupId, Handled, IncompleteAppend, ProgramId, ProgramLedger,
    ReplicaGroups, ReplicaId, ReplicaReply, ReplicaRequest, ReplicaState, StoredRecord, TurnId,
    TurnRecord, Wait,
};
use ridgeworks_resident::clock::{Clock, whole_ms};
use ridgeworks_resident::peer::{PeerReply, ReplicaStatus};
use ridgeworks_resident::view::{Source, View};
use ridgeworks_storage::{Store, StoreCountersSnapshot, WriteBatch};
use stakker::CX;
use tokio::sync::{mpsc, oneshot};

use crate::chain_repair::RepairJob;
use crate::disk::{self, DiskError, OpenedDisk};
use crate::latency::LatencyMonitor;
use crate::metrics::ReplicaMetrics;
use crate::open_failures::OpenFailures;

/// How long a change may wait to be written together with later ones.
const FLUSH_INTERVAL: Duration = Duration::from_millis(150);
const EXPIRY_INTERVAL: Duration = Duration::from_secs(2);
/// Delay before a failed disk is opened again.
const REOPEN_DELAY: Duration = Duration::from_millis(400);

/// Event from a thread that does disk I/O. The actor ignores events whose `opening` isn't its
/// current one: they belong to a disk that has failed since.
pub enum DiskEvent {
    /// A batch is durable, or has failed and will not be acknowledged.
    Committed {
        /// Value of `ReplicaActor::opening` when the batch was submitted.
        opening: u64,
        /// Number of the batch since the disk was opened, from 1.
        batch: u64,
        /// Whether the batch is durable.
        is_durable: bool,
    },
    /// The disk was opened, or opening failed.
    Opened(Box<Result<OpenedDisk, DiskError>>),
    /// Records were read from the disk.
    Records {
        /// Value of `ReplicaActor::opening` when reading began.
        opening: u64,
        /// Some of the records, in the order of their keys.
        records: Vec<StoredRecord>,
    },
    /// All records were read, or reading failed.
    AllRead {
        /// Value of `ReplicaActor::opening` when reading began.
        opening: u64,
        /// The error if reading failed.
        outcome: Result<(), DiskError>,
    },
}

/// A record copied from another replica.
pub enum CopiedRecord {
    /// A turn, with its remaining time to live in milliseconds.
    Turn(TurnRecord, u64),
    /// A ledger, with its remaining time to live in milliseconds.
    Ledger(ProgramId, ProgramLedger, u64),
}

/// Settings and connections of the actor.
pub struct ReplicaParts {
    /// Folder of the local database.
    pub folder: PathBuf,
    /// Name of the node.
    pub node_name: String,
    /// Largest total size of turns, in bytes.
    pub max_total_turn_bytes: usize,
    /// Ages the records.
    pub clock: Clock,
    /// The node's view of the cluster.
    pub view: Rc<View>,
    /// Metrics of the replica.
    pub metrics: Rc<ReplicaMetrics>,
    /// Channel for events from other threads.
    pub disk_events: mpsc::UnboundedSender<DiskEvent>,
    /// Channel for the chains that have to be completed.
    pub repairs: mpsc::UnboundedSender<RepairJob>,
    /// Where the replica's status is published within the process; `None` while the disk isn't
    /// open.
    pub status: Rc<Cell<Option<LocalReplicaStatus>>>,
}

/// Status of a replica with an open disk.
#[derive(Debug, Clone, Copy)]
pub struct LocalReplicaStatus {
    /// The status that other nodes are sent.
    pub published: ReplicaStatus,
    /// Whether all records of the disk are restored, so that other replicas can copy them.
    pub is_fully_restored: bool,
}

struct WaitingReply {
    batch: u64,
    /// When the request was handled; `None` if the reply may wait for later changes, so that its
    /// latency says nothing about the replica.
    handled_at: Option<Instant>,
    reply_sender: oneshot::Sender<PeerReply>,
    reply: ReplicaReply,
}

struct DiskSession {
    store: Arc<Store>,
    state: ReplicaState,
    /// Whether records read from the disk are still needed; checked by the thread that reads them.
    is_read_wanted: Arc<AtomicBool>,
    opened_at: Instant,
    /// The local database's counters that the metrics already include.
    counted: Option<StoreCountersSnapshot>,
}

impl DiskSession {
    /// Restores the records that a request needs and that aren't restored yet.
    fn restore_for(&mut self, request: &ReplicaRequest) -> Result<(), DiskError> {
        let mut last = None;
        while let Some(key) = self.state.unrestored_record(request) {
            // Restoring a record stored under the wrong key would never satisfy the request, and
            // the loop wouldn't end.
            if last.replace(key.clone()).as_ref() == Some(&key) {
                return Err(DiskError::Record);
            }
            match disk::read(&self.store, &key)? {
                Some(record) => self.state.restore(record),
                None => self.state.mark_absent(key),
            }
        }
        Ok(())
    }
}

/// The actor of one replica.
pub struct ReplicaActor {
    parts: ReplicaParts,
    disk: Option<DiskSession>,
    /// Incremented whenever the disk is opened or fails; events with an earlier value are ignored.
    opening: u64,
    submitted: u64,
    durable: u64,
    waiting: VecDeque<WaitingReply>,
    /// Changes that are not yet submitted to the disk.
    pending: Vec<Change>,
    /// When pending changes are next submitted.
    flush_due: Instant,
    latency: LatencyMonitor,
    open_failures: OpenFailures,
}

impl ReplicaActor {
    /// Starts without a disk, which another thread opens.
    pub fn init(cx: CX![], parts: ReplicaParts) -> Option<Self> {
        let mut actor = Self {
            parts,
            disk: None,
            opening: 0,
            submitted: 0,
            durable: 0,
            waiting: VecDeque::new(),
            pending: Vec::new(),
            flush_due: Instant::now(),
            latency: LatencyMonitor::default(),
            open_failures: OpenFailures::default(),
        };
        actor.open_disk();
        actor.schedule_flush(cx);
        actor.schedule_expiry(cx);
        Some(actor)
    }

    /// Handles a request from another node.
    pub fn request(
        &mut self,
        _cx: CX![],
        to: ReplicaId,
        request: ReplicaRequest,
        reply_sender: oneshot::Sender<PeerReply>,
    ) {
        self.latency.on_request(&request);
        let Some(disk) = self.disk.as_mut() else {
            send(reply_sender, ReplicaReply::Unavailable);
            return;
        };
        if disk.state.id() != to {
            send(reply_sender, ReplicaReply::NotMember);
            return;
        }
        if let Err(error) = disk.restore_for(&request) {
            log::error!(target: "dependency", detail:% = error; "a record cannot be read from the disk");
            send(reply_sender, ReplicaReply::Unavailable);
            return;
        }
        let epoch_before = disk.state.epoch();
        let mut handled = disk.state.handle(request, self.parts.clock.unix_time_ms());
        let has_changed = disk.state.epoch() > epoch_before;
        match handled.incomplete.take() {
            Some(append) => {
                self.commit_and_reply(handled, None);
                self.repair_first(to, append, reply_sender);
            }
            None => self.commit_and_reply(handled, Some(reply_sender)),
        }
        if has_changed {
            self.publish_sets();
            self.publish_status();
        }
    }

    /// Has a chain completed before its newest turn is acknowledged.
    fn repair_first(
        &self,
        to: ReplicaId,
        append: IncompleteAppend,
        reply_sender: oneshot::Sender<PeerReply>,
    ) {
        let job = RepairJob {
            to,
            append,
            reply_sender,
        };
        if let Err(unsent) = self.parts.repairs.send(job) {
            // The process is shutting down.
            send(unsent.0.reply_sender, ReplicaReply::Unavailable);
        }
    }

    /// Replies to an appended turn once its chain is complete and durable.
    pub fn finish_append(&mut self, _cx: CX![], job: RepairJob) {
        let disk = self.disk.as_mut().filter(|disk| disk.state.id() == job.to);
        let Some(disk) = disk else {
            send(job.reply_sender, ReplicaReply::Unavailable);
            return;
        };
        let handled = disk.state.finish_append(&job.append);
        self.commit_and_reply(handled, Some(job.reply_sender));
    }

    /// Replies with the gap before a turn, if there is one.
    pub fn chain_gap(
        &mut self,
        _cx: CX![],
        turn: TurnId,
        reply_sender: oneshot::Sender<Option<ChainGap>>,
    ) {
        let state = self.disk.as_mut().map(|disk| &mut disk.state);
        let gap = state.and_then(|state| state.chain_gap(&turn));
        // The caller may have stopped waiting.
        let _ = reply_sender.send(gap);
    }

    /// Takes a chain for complete, because no voter has what is missing in it.
    pub fn accept_gap(&mut self, _cx: CX![], gap: ChainGap) {
        if let Some(disk) = self.disk.as_mut() {
            disk.state.accept_gap(&gap);
        }
    }

    /// Adopts newer sets received by the node.
    pub fn adopt(&mut self, _cx: CX![], groups: ReplicaGroups) {
        let Some(disk) = self.disk.as_mut() else {
            return;
        };
        if groups.epoch() > disk.state.epoch() {
            let handled = disk.state.adopt(groups);
            self.commit_and_reply(handled, None);
            self.publish_status();
        }
    }

    /// Adds copied records of a group; replies once they are durable.
    pub fn copy(
        &mut self,
        _cx: CX![],
        group: GroupId,
        copied: Vec<CopiedRecord>,
        reply_sender: oneshot::Sender<PeerReply>,
    ) {
        let Some(disk) = self.disk.as_mut() else {
            send(reply_sender, ReplicaReply::Unavailable);
            return;
        };
        let now = self.parts.clock.unix_time_ms();
        let mut changes = Vec::new();
        let mut is_copied = true;
        for record in copied {
            let state = &mut disk.state;
            match record {
                CopiedRecord::Turn(turn, ttl_ms) => {
                    let copied = state.copy_turn(group, turn, ttl_ms, now);
                    // A copy without this turn is incomplete: the replica would vote without a turn
                    // that was acknowledged.
                    is_copied &= copied.is_some();
                    changes.extend(copied.into_iter().flatten());
                }
                CopiedRecord::Ledger(program, ledger, ttl_ms) => {
                    let copied = state.copy_ledger(group, program, &ledger, ttl_ms, now);
                    // Copied again once the disk's ledgers are restored.
                    is_copied &= copied.is_ok();
                    changes.extend(copied.into_iter().flatten());
                }
            }
        }
        let reply = if is_copied {
            ReplicaReply::Done
        } else {
            ReplicaReply::Unavailable
        };
        let handled = Handled::durable(changes, reply);
        self.commit_and_reply(handled, Some(reply_sender));
    }

    /// Replies with the given turns that the replica doesn't have: all of them while its disk isn't
    /// open.
    pub fn missing(
        &mut self,
        _cx: CX![],
        turns: Vec<(TurnId, u64)>,
        reply_sender: oneshot::Sender<Vec<(TurnId, u64)>>,
    ) {
        let state = self.disk.as_ref().map(|disk| &disk.state);
        let is_missing = |turn: &TurnId| state.is_none_or(|state| !state.has_turn(turn));
        let missing = turns.into_iter().filter(|(turn, _)| is_missing(turn));
        // The caller may have stopped waiting.
        let _ = reply_sender.send(missing.collect());
    }

    /// Notes that the copy for an epoch is finished and durable.
    pub fn finish_copy(&mut self, _cx: CX![], group: GroupId, epoch: Epoch) {
        if let Some(disk) = self.disk.as_mut() {
            disk.state.finish_copy(group, epoch);
            log::info!(target: "belief", group = group.0, epoch = epoch.0; "copy finished");
        }
        self.publish_status();
    }

    /// Handles an event from another thread.
    pub fn on_disk_event(&mut self, cx: CX![], event: DiskEvent) {
        match event {
            DiskEvent::Committed {
                opening,
                batch,
                is_durable,
            } if opening == self.opening => {
                if is_durable {
                    self.on_durable(batch);
                } else {
                    self.on_disk_failure();
                    stakker::after!(REOPEN_DELAY, [cx], reopen());
                }
            }
            DiskEvent::Committed { .. } => {}
            DiskEvent::Records { opening, records } => self.restore(opening, records),
            DiskEvent::AllRead { opening, outcome } => {
                if opening == self.opening {
                    self.on_all_read(cx, outcome);
                }
            }
            DiskEvent::Opened(outcome) => match *outcome {
                Ok(opened) => self.on_opened(opened),
                Err(error) => {
                    self.open_failures.on_failure(&error, &self.parts.folder);
                    stakker::after!(REOPEN_DELAY, [cx], reopen());
                }
            },
        }
    }

    fn reopen(&mut self, _cx: CX![]) {
        self.open_disk();
    }

    fn expire(&mut self, cx: CX![]) {
        self.schedule_expiry(cx);
        let Some(disk) = self.disk.as_mut() else {
            return;
        };
        // After the changes already pending: a batch that overtook them would release their replies
        // before they are durable.
        self.pending
            .extend(disk.state.expire(self.parts.clock.unix_time_ms()));
        self.submit_pending();
        self.update_gauges();
    }

    fn schedule_expiry(&mut self, cx: CX![]) {
        stakker::after!(EXPIRY_INTERVAL, [cx], expire());
    }

    /// Opens the disk on a thread that may block.
    fn open_disk(&mut self) {
        let folder = self.parts.folder.clone();
        let node_name = self.parts.node_name.clone();
        let max_total_turn_bytes = self.parts.max_total_turn_bytes;
        let disk_events = self.parts.disk_events.clone();
        let events = disk_events.clone();
        let started = disk::start_thread(move || {
            let opened = disk::open(&folder, &node_name, max_total_turn_bytes);
            // The process may be shutting down.
            let _ = events.send(DiskEvent::Opened(Box::new(opened)));
        });
        if let Err(error) = started {
            let _ = disk_events.send(DiskEvent::Opened(Box::new(Err(error))));
        }
    }

    /// Reads the records of the open disk on another thread.
    fn read_all(&self) {
        let Some(disk) = &self.disk else {
            return;
        };
        let (opening, disk_events) = (self.opening, self.parts.disk_events.clone());
        let (store, is_wanted) = (Arc::clone(&disk.store), Arc::clone(&disk.is_read_wanted));
        let events = disk_events.clone();
        let started = disk::start_thread(move || {
            let outcome = disk::read_all(&store, |records| {
                let sent = events.send(DiskEvent::Records { opening, records });
                if sent.is_ok() && is_wanted.load(Ordering::SeqCst) {
                    ControlFlow::Continue(())
                } else {
                    ControlFlow::Break(())
                }
            });
            // The local database has to be closed before the folder can be opened again.
            drop(store);
            // The process may be shutting down.
            let _ = events.send(DiskEvent::AllRead { opening, outcome });
        });
        if let Err(error) = started {
            let outcome = Err(error);
            let _ = disk_events.send(DiskEvent::AllRead { opening, outcome });
        }
    }

    fn restore(&mut self, opening: u64, records: Vec<StoredRecord>) {
        let disk = self.disk.as_mut().filter(|_| opening == self.opening);
        let Some(disk) = disk else {
            return;
        };
        let is_turn = |record: &StoredRecord| {
            matches!(record, StoredRecord::Turn(..) | StoredRecord::GroupTurn(..))
        };
        let has_turns = records.iter().any(is_turn);
        for record in records {
            disk.state.restore(record);
        }
        // Turns are read after all ledgers.
        if has_turns {
            disk.state.finish_restoring_ledgers();
        }
    }

    fn on_all_read(&mut self, cx: CX![], outcome: Result<(), DiskError>) {
        let Some(disk) = self.disk.as_mut() else {
            return;
        };
        if let Err(error) = outcome {
            log::error!(target: "dependency", detail:% = error; "records cannot be read from the disk");
            self.on_disk_failure();
            stakker::after!(REOPEN_DELAY, [cx], reopen());
            return;
        }
        disk.state.finish_restoring();
        let (turns, ledgers) = disk.state.turn_and_ledger_counts();
        log::info!(
            target: "dependency",
            turns = turns,
            ledgers = ledgers,
            took_ms = whole_ms(disk.opened_at.elapsed());
            "records read back"
        );
        self.publish_status();
        self.update_gauges();
    }

    fn on_opened(&mut self, opened: OpenedDisk) {
        self.open_failures.on_opened();
        self.opening += 1;
        self.submitted = 0;
        self.durable = 0;
        self.pending.clear();
        log::info!(
            target: "dependency",
            replica:% = opened.state.id(),
            is_new = opened.is_new,
            epoch = opened.state.epoch().0;
            "disk opened"
        );
        self.disk = Some(DiskSession {
            store: opened.store,
            state: opened.state,
            is_read_wanted: Arc::new(AtomicBool::new(true)),
            opened_at: Instant::now(),
            counted: None,
        });
        self.read_all();
        self.publish_sets();
        let newer = self.parts.view.replica_sets();
        if let (Some(groups), Some(disk)) = (newer, self.disk.as_mut())
            && groups.epoch() > disk.state.epoch()
        {
            let handled = disk.state.adopt(ReplicaGroups::clone(&groups));
            self.commit_and_reply(handled, None);
        }
        self.publish_status();
        self.update_gauges();
    }

    /// Rejects all waiting requests and drops the state, which may hold changes that aren't on the
    /// disk.
    fn on_disk_failure(&mut self) {
        log::error!(target: "dependency", waiting = self.waiting.len(); "disk failed");
        self.parts.metrics.disk_failures.inc();
        for waiting in self.waiting.drain(..) {
            send(waiting.reply_sender, ReplicaReply::Unavailable);
        }
        self.opening += 1;
        self.pending.clear();
        if let Some(disk) = self.disk.take() {
            disk.is_read_wanted.store(false, Ordering::SeqCst);
            // Closing blocks on the disk.
            if let Err(error) = disk::start_thread(move || drop(disk.store)) {
                log::warn!(target: "dependency", detail:% = error; "disk closed on the network thread");
            }
        }
        self.publish_status();
    }

    fn commit_and_reply(
        &mut self,
        handled: Handled,
        reply_sender: Option<oneshot::Sender<PeerReply>>,
    ) {
        let Handled {
            changes,
            reply,
            wait,
            incomplete: _,
        } = handled;
        self.pending.extend(changes);
        if wait == Wait::Durable && !self.submit_pending() {
            if let Some(reply_sender) = reply_sender {
                send(reply_sender, ReplicaReply::Unavailable);
            }
            return;
        }
        let Some(reply_sender) = reply_sender else {
            return;
        };
        let is_durable = self.pending.is_empty() && self.durable == self.submitted;
        if wait == Wait::Nothing || is_durable {
            send(reply_sender, reply);
            return;
        }
        let batch = self.submitted + u64::from(!self.pending.is_empty());
        self.waiting.push_back(WaitingReply {
            batch,
            handled_at: (wait == Wait::Durable).then(Instant::now),
            reply_sender,
            reply,
        });
    }

    /// Submits pending changes to the disk; returns whether it accepts them.
    fn submit_pending(&mut self) -> bool {
        if self.pending.is_empty() {
            return true;
        }
        let changes = std::mem::take(&mut self.pending);
        self.submit(&changes)
    }

    fn flush(&mut self, cx: CX![]) {
        let now = Instant::now();
        let lag = now.saturating_duration_since(self.flush_due);
        self.latency.on_timer(lag);
        self.schedule_flush(cx);
        self.submit_pending();
        self.count_commits();
        let commits = self.parts.metrics.commits.get();
        self.latency.log_if_late(now, self.waiting.len(), commits);
    }

    /// Adds the transactions since the last call to the metrics.
    fn count_commits(&mut self) {
        let Some(disk) = self.disk.as_mut() else {
            return;
        };
        let now = disk.store.counters().snapshot();
        let before = disk.counted.replace(now);
        let (commits, micros) =
            before.map_or((0, 0), |before| (before.commits, before.commit_micros));
        let metrics = &self.parts.metrics;
        metrics.commits.inc_by(now.commits - commits);
        metrics.commit_micros.inc_by(now.commit_micros - micros);
    }

    fn schedule_flush(&mut self, cx: CX![]) {
        self.flush_due = Instant::now() + FLUSH_INTERVAL;
        stakker::after!(FLUSH_INTERVAL, [cx], flush());
    }

    /// Submits changes to the disk; returns whether it accepts them.
    fn submit(&mut self, changes: &[Change]) -> bool {
        let Some(disk) = &self.disk else {
            return false;
        };
        let operations: Result<Vec<_>, DiskError> = changes.iter().map(disk::operation).collect();
        let Ok(operations) = operations else {
            return false;
        };
        self.submitted += 1;
        let (opening, batch) = (self.opening, self.submitted);
        let disk_events = self.parts.disk_events.clone();
        let on_durable = move |outcome: Result<(), _>| {
            // The process may be shutting down.
            let _ = disk_events.send(DiskEvent::Committed {
                opening,
                batch,
                is_durable: outcome.is_ok(),
            });
        };
        self.parts.metrics.batches.inc();
        let submitted = disk.store.submit(WriteBatch::new(operations, on_durable));
        if submitted.is_err() {
            // The state holds a change that will never be durable, so the disk is read again.
            let disk_events = self.parts.disk_events.clone();
            let is_durable = false;
            let _ = disk_events.send(DiskEvent::Committed {
                opening,
                batch,
                is_durable,
            });
        }
        submitted.is_ok()
    }

    fn on_durable(&mut self, batch: u64) {
        self.durable = self.durable.max(batch);
        while let Some(waiting) = self.waiting.front()
            && waiting.batch <= self.durable
        {
            if let Some(waiting) = self.waiting.pop_front() {
                if let Some(handled_at) = waiting.handled_at {
                    self.latency.on_reply(handled_at.elapsed());
                }
                send(waiting.reply_sender, waiting.reply);
            }
        }
    }

    /// Publishes the sets known to this replica in the node's view.
    fn publish_sets(&mut self) {
        let groups = self.disk.as_ref().and_then(|disk| disk.state.groups());
        if let Some(groups) = groups {
            let groups = groups.clone();
            self.parts.view.adopt_replica_sets(groups, Source::Peer);
        }
    }

    fn publish_status(&self) {
        let status = self.disk.as_ref().map(|disk| LocalReplicaStatus {
            published: ReplicaStatus {
                id: disk.state.id(),
                copied: disk.state.copied_for_change(),
            },
            is_fully_restored: !disk.state.is_restoring(),
        });
        self.parts.status.set(status);
    }

    fn update_gauges(&self) {
        let Some(disk) = &self.disk else {
            return;
        };
        let (turns, ledgers) = disk.state.turn_and_ledger_counts();
        let to_gauge = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        let metrics = &self.parts.metrics;
        metrics.turns.set(to_gauge(turns));
        metrics.ledgers.set(to_gauge(ledgers));
        metrics.turn_bytes.set(to_gauge(disk.state.turn_bytes()));
    }
}

fn send(reply_sender: oneshot::Sender<PeerReply>, reply: ReplicaReply) {
    // The caller may have stopped waiting.
    let _ = reply_sender.send(PeerReply::Replica(reply));
}
