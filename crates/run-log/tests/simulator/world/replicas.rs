//! Replicas: requests, flushes, replies.

use rand::RngExt;
use ridgeworks_domain::NodeId;
use ridgeworks_run_log::{LogIndex, LogPosition, LogStorage, Reply, Request};

use super::super::Weakening;
use super::World;
use super::event::Event;

impl World {
    pub(super) fn replica_request(&mut self, from: usize, to: usize, request: Request) {
        let now = self.time();
        let sender = self.nodes[from].id;
        let lower = self.weakening == Some(Weakening::LowerBallotAccepted);
        let Some(replica_node) = self.nodes[to].replica.as_mut() else {
            return;
        };
        if let Request::Append { run, ballot, .. } = &request
            && lower
        {
            replica_node.weaken_promise(*run, *ballot, now);
        }
        let ready = replica_node
            .replica
            .handle(sender, request, now, &replica_node.tables);
        replica_node
            .unflushed_batches
            .push((ready.write_number, ready.writes));
        replica_node.replies.extend(ready.replies_after_flush);
        if self.weakening == Some(Weakening::ReplyBeforeFlush) {
            let replies = std::mem::take(&mut replica_node.replies);
            self.send_replies(to, replies);
        }
        let delay = self.rng.random_range(500..4_000);
        let node = &mut self.nodes[to];
        let incarnation = node.incarnation;
        if let Some(replica_node) = node
            .replica
            .as_mut()
            .filter(|replica_node| !replica_node.flush_due)
        {
            replica_node.flush_due = true;
            self.after(
                delay,
                Event::Flush {
                    node: to,
                    incarnation,
                },
            );
        }
    }

    pub(super) fn flush(&mut self, node: usize) {
        let Some(replica_node) = self.nodes[node].replica.as_mut() else {
            return;
        };
        let replies = replica_node.flush();
        self.send_replies(node, replies);
    }

    pub(super) fn send_replies(&mut self, from: usize, replies: Vec<(NodeId, Reply)>) {
        for (to, reply) in replies {
            let reply = self.hide_uncommitted_entries(from, reply);
            let to = to.0 as usize - 1;
            for _ in 0..self.copies() {
                let delay = self.delay();
                self.after(
                    delay,
                    Event::Reply {
                        from,
                        to,
                        reply: reply.clone(),
                    },
                );
            }
        }
    }

    /// Hides accepted entries that are not known to be committed from new owners, if the weakening requires it.
    pub(super) fn hide_uncommitted_entries(&self, from: usize, mut reply: Reply) -> Reply {
        if self.weakening != Some(Weakening::AcceptedNotAdopted) {
            return reply;
        }
        let Some(replica_node) = &self.nodes[from].replica else {
            return reply;
        };

        match &mut reply {
            Reply::Promise {
                run,
                last,
                commit_index,
                ..
            } => {
                let committed = replica_node.tables.entries(*run, *commit_index, 1);
                *last = committed
                    .first()
                    .filter(|_| *commit_index != LogIndex::NONE)
                    .map_or(LogPosition::NONE, |entry| entry.position());
            }
            Reply::Fetched { run, entries, .. } => {
                let commit = replica_node
                    .replica
                    .head(*run)
                    .map(|head| head.commit_index);
                entries.retain(|entry| Some(entry.index) <= commit);
            }
            _ => {}
        }
        reply
    }
}
