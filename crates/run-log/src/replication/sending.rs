//! Queues the appends to each replica, within the limits on appends in flight and on the catch-up rate.

use ridgeworks_domain::{MonotonicTime, NodeId};

use super::Replication;
use crate::entry::{LogEntry, LogIndex};
use crate::message::Request;

impl Replication {
    pub(super) fn resend(&mut self, node: NodeId, now: MonotonicTime) {
        if let Some(progress) = self.progress.get_mut(&node) {
            progress.inflight = 0;
            if progress.matched != LogIndex::NONE {
                progress.next = progress.matched.next();
            }
        }
        self.send_page(node, now, true);
    }

    pub(super) fn send_all(&mut self, now: MonotonicTime) {
        let nodes: Vec<NodeId> = self.progress.keys().copied().collect();
        for node in nodes {
            while self.may_send(node, now) {
                self.send_page(node, now, false);
            }
        }
    }

    fn may_send(&self, node: NodeId, now: MonotonicTime) -> bool {
        let Some(progress) = self.progress.get(&node) else {
            return false;
        };
        if progress.next > self.last_index() {
            return false;
        }
        if progress.next <= self.commit_index {
            return progress.inflight == 0 && now >= progress.next_catch_up_at;
        }
        progress.inflight < self.settings.max_inflight
    }

    /// Sends the next entries. With `heartbeat`, sends an append without entries if none may be sent now.
    pub(super) fn send_page(&mut self, node: NodeId, now: MonotonicTime, heartbeat: bool) {
        let with_entries = !heartbeat || self.may_send(node, now);
        let Some(progress) = self.progress.get(&node) else {
            return;
        };
        let first = progress.next;
        let entries = if with_entries {
            self.page(first)
        } else {
            Vec::new()
        };
        let append = Request::Append {
            run: self.run,
            ballot: self.ballot,
            replica: progress.replica,
            previous: self.position_at(first.previous()),
            entries,
            commit_index: self.commit_index,
            round: self.round,
        };
        self.record_sent(node, &append, now);
        self.outgoing.push((node, append));
    }

    fn record_sent(&mut self, node: NodeId, append: &Request, now: MonotonicTime) {
        let (Some(progress), Request::Append { entries, .. }) =
            (self.progress.get_mut(&node), append)
        else {
            return;
        };
        progress.last_sent = now;
        progress.sent_commit = self.commit_index;
        let Some(last) = entries.last() else {
            return;
        };
        progress.inflight += 1;
        if progress.next <= self.commit_index {
            progress.next_catch_up_at = now + self.settings.catch_up_interval;
        }
        progress.next = last.index.next();
    }

    fn page(&self, first: LogIndex) -> Vec<LogEntry> {
        let mut bytes = 0;
        let mut page = Vec::new();
        for entry in self.log.iter().skip(first.previous().0 as usize) {
            bytes += entry.entry.size_bytes();
            if !page.is_empty() && bytes > self.settings.max_append_bytes {
                break;
            }
            page.push(entry.clone());
        }
        page
    }
}
