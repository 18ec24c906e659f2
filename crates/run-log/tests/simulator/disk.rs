//! Disk of a replica: flushed tables, and unflushed batches that a crash may lose.

use std::collections::BTreeMap;

use ridgeworks_domain::{MonotonicTime, NodeId, RunId};
use ridgeworks_run_log::{
    LogEntry, LogIndex, LogStorage, Replica, Reply, RestoredStore, RunHead, StoreId, Write,
};

#[derive(Default)]
pub struct Tables {
    heads: BTreeMap<RunId, RunHead>,
    entries: BTreeMap<(RunId, LogIndex), LogEntry>,
    generation: u32,
}

impl LogStorage for Tables {
    fn entries(&self, run: RunId, first: LogIndex, max_bytes: usize) -> Vec<LogEntry> {
        let mut bytes = 0;
        self.entries
            .range((run, first)..=(run, LogIndex(u64::MAX)))
            .map(|(_, entry)| entry.clone())
            .take_while(|entry| {
                let fits = bytes < max_bytes;
                bytes += entry.entry.size_bytes();
                fits
            })
            .collect()
    }
}

impl Tables {
    pub fn apply(&mut self, write: Write) {
        match write {
            Write::Head { run, head } => {
                self.heads.insert(run, head);
            }
            Write::Entry { run, entry } => {
                self.entries.insert((run, entry.index), entry);
            }
            Write::TruncateFrom { run, index } => {
                self.entries.retain(|(of, at), _| *of != run || *at < index);
            }
            Write::DeleteRun { run } => {
                self.heads.remove(&run);
                self.entries.retain(|(of, _), _| *of != run);
            }
            Write::Generation { generation } => self.generation = generation,
        }
    }
}

/// Replica of a node, with its disk and its unflushed batches.
pub struct ReplicaNode {
    pub replica: Replica,
    pub tables: Tables,
    pub unflushed_batches: Vec<(u64, Vec<Write>)>,
    pub replies: Vec<(NodeId, Reply)>,
    pub flush_due: bool,
    node: NodeId,
    store: StoreId,
}

impl ReplicaNode {
    pub fn new(node: NodeId, store: StoreId) -> Self {
        let restored = RestoredStore {
            store,
            generation: 0,
            heads: Vec::new(),
        };
        Self {
            replica: Replica::restore(node, restored, MonotonicTime::ZERO),
            tables: Tables::default(),
            unflushed_batches: Vec::new(),
            replies: Vec::new(),
            flush_due: false,
            node,
            store,
        }
    }

    /// Makes all batches durable and returns the replies that waited for them.
    pub fn flush(&mut self) -> Vec<(NodeId, Reply)> {
        self.flush_due = false;
        for (number, writes) in std::mem::take(&mut self.unflushed_batches) {
            writes
                .into_iter()
                .for_each(|write| self.tables.apply(write));
            self.replica.flushed(number);
        }
        std::mem::take(&mut self.replies)
    }

    /// Simulates a crash: keeps the first `kept` unflushed batches, loses the others and all replies.
    pub fn crash(&mut self, kept: usize, forget_promises: bool, now: MonotonicTime) {
        let unflushed_batches = std::mem::take(&mut self.unflushed_batches);
        for (_, writes) in unflushed_batches.into_iter().take(kept) {
            writes
                .into_iter()
                .for_each(|write| self.tables.apply(write));
        }
        self.replies.clear();
        self.flush_due = false;
        if forget_promises {
            for head in self.tables.heads.values_mut() {
                head.promised = head.last.ballot;
            }
        }
        self.restore(now);
    }

    /// Restarts with an empty disk and the identity `store`.
    pub fn lose_disk(&mut self, store: StoreId, now: MonotonicTime) {
        self.tables = Tables::default();
        self.unflushed_batches.clear();
        self.replies.clear();
        self.store = store;
        self.restore(now);
    }

    /// Flushes, lowers the promise for `run` to at most `ballot` and restarts the replica. The replies remain queued.
    pub fn weaken_promise(
        &mut self,
        run: RunId,
        ballot: ridgeworks_domain::Ballot,
        now: MonotonicTime,
    ) {
        let replies = self.flush();
        if let Some(head) = self.tables.heads.get_mut(&run) {
            head.promised = head.promised.min(ballot);
        }
        self.restore(now);
        self.replies = replies;
    }

    pub fn store(&self) -> StoreId {
        self.store
    }

    fn restore(&mut self, now: MonotonicTime) {
        let restored = RestoredStore {
            store: self.store,
            generation: self.tables.generation,
            heads: self.tables.heads.iter().map(|(r, h)| (*r, *h)).collect(),
        };
        self.replica = Replica::restore(self.node, restored, now);
    }
}
