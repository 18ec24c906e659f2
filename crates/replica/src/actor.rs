//! The actor that holds the replica's state and its disk.
//!
//! A reply waits until everything that was changed before it is durable. When the disk fails, all that
//! waits is refused, and the state is read back from the disk before anything is answered again: what
//! was in memory only was never acknowledged.

use std::cell::Cell;
use std::collections::VecDeque;
use std::ops::ControlFlow;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use ridgeworks_records::{
    Change, Epoch, GroupId, Handled, ProgramId, ProgramLedger, ReplicaGroups, ReplicaId,
    ReplicaReply, ReplicaRequest, ReplicaState, StoredRecord, TurnId, TurnRecord, Wait,
};
use ridgeworks_resident::clock::{unix_time_ms, whole_ms};
use ridgeworks_resident::peer::{PeerReply, ReplicaStatus};
use ridgeworks_resident::view::{Source, View};
use ridgeworks_storage::{Store, StoreCountersSnapshot, WriteBatch};
use stakker::CX;
use tokio::sync::{mpsc, oneshot};

use crate::disk::{self, DiskError, OpenedDisk};
use crate::lateness::Lateness;
use crate::metrics::ReplicaMetrics;

/// How long a change may wait for later ones before it goes to the disk.
const FLUSH_INTERVAL: Duration = Duration::from_millis(150);
const EXPIRY_INTERVAL: Duration = Duration::from_secs(2);
/// Pause before a disk that failed is opened again.
const REOPEN_PAUSE: Duration = Duration::from_millis(400);

/// News from other threads.
pub enum DiskNews {
    /// A batch is durable, or never will be acknowledged.
    Committed {
        /// The opening of the disk that it belongs to.
        opening: u64,
        /// Number of the batch.
        batch: u64,
        /// Whether it is durable.
        is_durable: bool,
    },
    /// The disk was opened, or could not be.
    Opened(Box<Result<OpenedDisk, DiskError>>),
    /// Records were read back from the disk.
    Records {
        /// The opening of the disk that they belong to.
        opening: u64,
        /// The records.
        records: Vec<StoredRecord>,
    },
    /// All records were read back, or cannot be.
    AllRead {
        /// The opening of the disk that they belong to.
        opening: u64,
        /// Why they cannot.
        outcome: Result<(), DiskError>,
    },
}

/// A record copied from another replica.
pub enum Copied {
    /// A turn, kept for so many more milliseconds.
    Turn(TurnRecord, u64),
    /// A ledger, kept for so many more milliseconds.
    Ledger(ProgramId, ProgramLedger, u64),
}

/// What the actor is made of.
pub struct ReplicaParts {
    /// Folder of the records.
    pub folder: PathBuf,
    /// Name of the node.
    pub node_name: String,
    /// Bytes of turns that are kept at most.
    pub max_turn_bytes: usize,
    /// What the node believes.
    pub view: Rc<View>,
    /// Metrics.
    pub metrics: Rc<ReplicaMetrics>,
    /// Where news from other threads go.
    pub news: mpsc::UnboundedSender<DiskNews>,
    /// Where the replica's status is told to the rest of the process.
    pub status: Rc<Cell<Option<OpenReplica>>>,
}

/// How a replica stands whose disk is open.
#[derive(Debug, Clone, Copy)]
pub struct OpenReplica {
    /// What other nodes are told.
    pub told: ReplicaStatus,
    /// Whether all records of the disk are back, so that others can copy them.
    pub is_whole: bool,
}

struct WaitingReply {
    batch: u64,
    /// When it was asked; `None` for one that may wait for later changes, which says nothing of how late the replica is.
    asked_at: Option<Instant>,
    answer: oneshot::Sender<PeerReply>,
    reply: ReplicaReply,
}

struct OpenDisk {
    store: Arc<Store>,
    state: ReplicaState,
    /// Whether records that are read back are wanted still; told to the thread that reads them.
    is_wanted: Arc<AtomicBool>,
    opened_at: Instant,
    /// What of the store's work is in the metrics already.
    counted: Option<StoreCountersSnapshot>,
}

impl OpenDisk {
    /// Reads from the disk what a request needs and what was not read back yet.
    fn restore_for(&mut self, request: &ReplicaRequest) -> Result<(), DiskError> {
        let mut last = None;
        while let Some(key) = self.state.needs(request) {
            // A record that lies under another's key would be looked for without an end.
            if last.replace(key.clone()).as_ref() == Some(&key) {
                return Err(DiskError::Record);
            }
            match disk::read(&self.store, &key)? {
                Some(record) => self.state.restore(record),
                None => self.state.note_absent(key),
            }
        }
        Ok(())
    }
}

/// The actor.
pub struct ReplicaActor {
    parts: ReplicaParts,
    disk: Option<OpenDisk>,
    /// Counts openings of the disk, so that news of an earlier one are told apart.
    opening: u64,
    submitted: u64,
    durable: u64,
    waiting: VecDeque<WaitingReply>,
    /// Changes that may wait for later ones before they go to the disk.
    gathered: Vec<Change>,
    /// When gathered changes go to the disk next.
    flush_due: Instant,
    lateness: Lateness,
}

impl ReplicaActor {
    /// Starts without a disk; it is opened by another thread.
    pub fn init(cx: CX![], parts: ReplicaParts) -> Option<Self> {
        let mut actor = Self {
            parts,
            disk: None,
            opening: 0,
            submitted: 0,
            durable: 0,
            waiting: VecDeque::new(),
            gathered: Vec::new(),
            flush_due: Instant::now(),
            lateness: Lateness::default(),
        };
        actor.open_disk();
        actor.schedule_flush(cx);
        actor.schedule_expiry(cx);
        Some(actor)
    }

    /// Takes a request of another node.
    pub fn request(
        &mut self,
        _cx: CX![],
        to: ReplicaId,
        request: ReplicaRequest,
        answer: oneshot::Sender<PeerReply>,
    ) {
        self.lateness.on_request(&request);
        let Some(disk) = self.disk.as_mut() else {
            send(answer, ReplicaReply::Unavailable);
            return;
        };
        if disk.state.id() != to {
            send(answer, ReplicaReply::NotMember);
            return;
        }
        if let Err(error) = disk.restore_for(&request) {
            log::error!(target: "dependency", detail:% = error; "a record cannot be read back");
            send(answer, ReplicaReply::Unavailable);
            return;
        }
        let epoch_before = disk.state.epoch();
        let handled = disk.state.handle(request, unix_time_ms());
        let has_changed = disk.state.epoch() > epoch_before;
        self.carry_out(handled, Some(answer));
        if has_changed {
            self.tell_set();
            self.publish_status();
        }
    }

    /// Takes in sets that the node has heard of.
    pub fn adopt(&mut self, _cx: CX![], groups: ReplicaGroups) {
        let Some(disk) = self.disk.as_mut() else {
            return;
        };
        if groups.epoch() > disk.state.epoch() {
            let handled = disk.state.adopt(groups);
            self.carry_out(handled, None);
            self.publish_status();
        }
    }

    /// Takes in copied records of a group; answers once they are durable.
    pub fn copy(
        &mut self,
        _cx: CX![],
        group: GroupId,
        copied: Vec<Copied>,
        answer: oneshot::Sender<PeerReply>,
    ) {
        let Some(disk) = self.disk.as_mut() else {
            send(answer, ReplicaReply::Unavailable);
            return;
        };
        let now = unix_time_ms();
        let mut changes = Vec::new();
        let mut has_room = true;
        for record in copied {
            let state = &mut disk.state;
            match record {
                Copied::Turn(turn, ttl_ms) => {
                    let copied = state.copy_turn(group, turn, ttl_ms, now);
                    // Without it the copy is not made: the replica would vote without a turn that was acknowledged.
                    has_room &= copied.is_some();
                    changes.extend(copied.into_iter().flatten());
                }
                Copied::Ledger(program, ledger, ttl_ms) => {
                    changes.extend(state.copy_ledger(group, program, &ledger, ttl_ms, now));
                }
            }
        }
        let reply = if has_room {
            ReplicaReply::Done
        } else {
            ReplicaReply::Unavailable
        };
        let handled = Handled {
            changes,
            reply,
            wait: Wait::Durable,
        };
        self.carry_out(handled, Some(answer));
    }

    /// Tells which of these turns are not held.
    pub fn missing(
        &mut self,
        _cx: CX![],
        turns: Vec<(TurnId, u64)>,
        answer: oneshot::Sender<Vec<(TurnId, u64)>>,
    ) {
        let state = self.disk.as_ref().map(|disk| &disk.state);
        let is_missing = |turn: &TurnId| state.is_none_or(|state| !state.has_turn(turn));
        let missing = turns.into_iter().filter(|(turn, _)| is_missing(turn));
        // Whoever asked may have given up.
        let _ = answer.send(missing.collect());
    }

    /// Notes that the copy for an epoch is finished and durable.
    pub fn finish_copy(&mut self, _cx: CX![], group: GroupId, epoch: Epoch) {
        if let Some(disk) = self.disk.as_mut() {
            disk.state.finish_copy(group, epoch);
            log::info!(target: "belief", group = group.0, epoch = epoch.0; "copy finished");
        }
        self.publish_status();
    }

    /// Takes news from another thread.
    pub fn news(&mut self, cx: CX![], news: DiskNews) {
        match news {
            DiskNews::Committed {
                opening,
                batch,
                is_durable,
            } if opening == self.opening => {
                if is_durable {
                    self.on_durable(batch);
                } else {
                    self.lose_disk();
                    stakker::after!(REOPEN_PAUSE, [cx], reopen());
                }
            }
            DiskNews::Committed { .. } => {}
            DiskNews::Records { opening, records } => self.restore(opening, records),
            DiskNews::AllRead { opening, outcome } => {
                if opening == self.opening {
                    self.on_all_read(cx, outcome);
                }
            }
            DiskNews::Opened(outcome) => match *outcome {
                Ok(opened) => self.on_opened(opened),
                Err(error) => {
                    log::error!(target: "dependency", detail:% = error; "disk cannot be opened");
                    stakker::after!(REOPEN_PAUSE, [cx], reopen());
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
        // Behind the changes that were gathered before: a batch that overtook them would release their
        // replies before they are durable.
        self.gathered.extend(disk.state.expire(unix_time_ms()));
        self.submit_gathered();
        self.update_gauges();
    }

    fn schedule_expiry(&mut self, cx: CX![]) {
        stakker::after!(EXPIRY_INTERVAL, [cx], expire());
    }

    /// Opens the disk on a thread that may wait for it.
    fn open_disk(&mut self) {
        let folder = self.parts.folder.clone();
        let node_name = self.parts.node_name.clone();
        let max_turn_bytes = self.parts.max_turn_bytes;
        let news = self.parts.news.clone();
        tokio::task::spawn_blocking(move || {
            let opened = disk::open(&folder, &node_name, max_turn_bytes);
            // The process may be about to end.
            let _ = news.send(DiskNews::Opened(Box::new(opened)));
        });
    }

    /// Reads the records of the open disk back on another thread.
    fn read_all(&self) {
        let Some(disk) = &self.disk else {
            return;
        };
        let (opening, news) = (self.opening, self.parts.news.clone());
        let (store, is_wanted) = (Arc::clone(&disk.store), Arc::clone(&disk.is_wanted));
        tokio::task::spawn_blocking(move || {
            let outcome = disk::read_all(&store, |records| {
                let told = news.send(DiskNews::Records { opening, records });
                if told.is_ok() && is_wanted.load(Ordering::SeqCst) {
                    ControlFlow::Continue(())
                } else {
                    ControlFlow::Break(())
                }
            });
            // A store that is opened anew needs the folder free.
            drop(store);
            // The process may be about to end.
            let _ = news.send(DiskNews::AllRead { opening, outcome });
        });
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
        // Turns come after all ledgers.
        if has_turns {
            disk.state.finish_restoring_ledgers();
        }
    }

    fn on_all_read(&mut self, cx: CX![], outcome: Result<(), DiskError>) {
        let Some(disk) = self.disk.as_mut() else {
            return;
        };
        if let Err(error) = outcome {
            log::error!(target: "dependency", detail:% = error; "records cannot be read back");
            self.lose_disk();
            stakker::after!(REOPEN_PAUSE, [cx], reopen());
            return;
        }
        disk.state.finish_restoring();
        let (turns, ledgers) = disk.state.counts();
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
        self.opening += 1;
        self.submitted = 0;
        self.durable = 0;
        self.gathered.clear();
        log::info!(
            target: "dependency",
            replica:% = opened.state.id(),
            is_new = opened.is_new,
            epoch = opened.state.epoch().0;
            "disk opened"
        );
        self.disk = Some(OpenDisk {
            store: opened.store,
            state: opened.state,
            is_wanted: Arc::new(AtomicBool::new(true)),
            opened_at: Instant::now(),
            counted: None,
        });
        self.read_all();
        self.tell_set();
        let newer = self.parts.view.groups();
        if let (Some(groups), Some(disk)) = (newer, self.disk.as_mut())
            && groups.epoch() > disk.state.epoch()
        {
            let handled = disk.state.adopt(ReplicaGroups::clone(&groups));
            self.carry_out(handled, None);
        }
        self.publish_status();
        self.update_gauges();
    }

    /// Refuses all that waits, and forgets what may not be on the disk.
    fn lose_disk(&mut self) {
        log::error!(target: "dependency", waiting = self.waiting.len(); "disk failed");
        self.parts.metrics.disk_failures.inc();
        for waiting in self.waiting.drain(..) {
            send(waiting.answer, ReplicaReply::Unavailable);
        }
        self.opening += 1;
        self.gathered.clear();
        if let Some(disk) = self.disk.take() {
            disk.is_wanted.store(false, Ordering::SeqCst);
            // Closing waits for the disk.
            tokio::task::spawn_blocking(move || drop(disk.store));
        }
        self.publish_status();
    }

    fn carry_out(&mut self, handled: Handled, answer: Option<oneshot::Sender<PeerReply>>) {
        let Handled {
            changes,
            reply,
            wait,
        } = handled;
        self.gathered.extend(changes);
        if wait == Wait::Durable && !self.submit_gathered() {
            if let Some(answer) = answer {
                send(answer, ReplicaReply::Unavailable);
            }
            return;
        }
        let Some(answer) = answer else {
            return;
        };
        let is_durable = self.gathered.is_empty() && self.durable == self.submitted;
        if wait == Wait::No || is_durable {
            send(answer, reply);
            return;
        }
        let batch = self.submitted + u64::from(!self.gathered.is_empty());
        self.waiting.push_back(WaitingReply {
            batch,
            asked_at: (wait == Wait::Durable).then(Instant::now),
            answer,
            reply,
        });
    }

    /// Hands gathered changes to the disk's thread; says whether it takes them.
    fn submit_gathered(&mut self) -> bool {
        if self.gathered.is_empty() {
            return true;
        }
        let changes = std::mem::take(&mut self.gathered);
        self.submit(&changes)
    }

    fn flush(&mut self, cx: CX![]) {
        let now = Instant::now();
        let lag = now.saturating_duration_since(self.flush_due);
        self.lateness.on_timer(lag);
        self.schedule_flush(cx);
        self.submit_gathered();
        self.count_commits();
        let commits = self.parts.metrics.commits.get();
        self.lateness.tell(now, self.waiting.len(), commits);
    }

    /// Takes what the disk has done since the last time into the metrics.
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

    /// Hands changes to the disk's thread; says whether it takes them.
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
        let news = self.parts.news.clone();
        let on_durable = move |outcome: Result<(), _>| {
            // The process may be about to end.
            let _ = news.send(DiskNews::Committed {
                opening,
                batch,
                is_durable: outcome.is_ok(),
            });
        };
        self.parts.metrics.batches.inc();
        let submitted = disk.store.submit(WriteBatch::new(operations, on_durable));
        if submitted.is_err() {
            // The state holds a change that will never be durable: read the disk again.
            let news = self.parts.news.clone();
            let is_durable = false;
            let _ = news.send(DiskNews::Committed {
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
                if let Some(asked_at) = waiting.asked_at {
                    self.lateness.on_answer(asked_at.elapsed());
                }
                send(waiting.answer, waiting.reply);
            }
        }
    }

    /// Lets the node hear of the set that the disk or another node told.
    fn tell_set(&mut self) {
        let groups = self.disk.as_ref().and_then(|disk| disk.state.groups());
        if let Some(groups) = groups {
            let groups = groups.clone();
            self.parts.view.adopt_groups(groups, Source::Peer);
        }
    }

    fn publish_status(&self) {
        let status = self.disk.as_ref().map(|disk| OpenReplica {
            told: ReplicaStatus {
                id: disk.state.id(),
                copied: disk.state.copied_for_change(),
            },
            is_whole: !disk.state.is_restoring(),
        });
        self.parts.status.set(status);
    }

    fn update_gauges(&self) {
        let Some(disk) = &self.disk else {
            return;
        };
        let (turns, ledgers) = disk.state.counts();
        let whole = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        let metrics = &self.parts.metrics;
        metrics.turns.set(whole(turns));
        metrics.ledgers.set(whole(ledgers));
        metrics.turn_bytes.set(whole(disk.state.turn_bytes()));
    }
}

fn send(answer: oneshot::Sender<PeerReply>, reply: ReplicaReply) {
    // Whoever asked may have given up.
    let _ = answer.send(PeerReply::Replica(reply));
}
