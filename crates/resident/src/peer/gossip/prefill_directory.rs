//! Directory of prefills, over UDP: which engine processed a prompt last.
//!
//! The directory node of a prompt is chosen among the live gateways by rendezvous hashing of the prompt's last part
//! (`docs/design/decisions.md`, "Sessions that change gateways").

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use ridgeworks_routing::PrefillRecord;
use tokio::sync::oneshot;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Gossip;
use crate::peer::message::Datagram;

/// How long to wait for the reply of a directory node.
const QUERY_TIMEOUT: Duration = Duration::from_millis(12);
/// A node without a heartbeat for this long is no directory node. In a large fleet the heartbeats of a node come every few seconds.
const DIRECTORY_NODE_TIMEOUT: Duration = Duration::from_secs(6);

type PrefillReply = Option<PrefillRecord>;

/// Queries that wait for their replies.
#[derive(Default)]
pub struct PendingQueries {
    last: Cell<u64>,
    pending: RefCell<HashMap<u64, oneshot::Sender<PrefillReply>>>,
}

/// With this many pending queries or more, abandoned ones are removed.
const CLEAN_UP_THRESHOLD: usize = 64;

impl PendingQueries {
    /// Starts a query and returns its number and the receiver of its reply. A caller may drop the receiver at any time, so
    /// abandoned queries are removed here when there are many.
    pub fn start(&self) -> (u64, oneshot::Receiver<PrefillReply>) {
        let number = self.last.get() + 1;
        self.last.set(number);
        let (sender, receiver) = oneshot::channel();
        let mut pending = self.pending.borrow_mut();
        if pending.len() >= CLEAN_UP_THRESHOLD {
            pending.retain(|_, waiting| !waiting.is_closed());
        }
        pending.insert(number, sender);
        (number, receiver)
    }

    /// Delivers a reply; one that nobody waits for is dropped.
    pub fn on_reply(&self, number: u64, reply: PrefillReply) {
        if let Some(sender) = self.pending.borrow_mut().remove(&number) {
            // The caller may have given up.
            let _ = sender.send(reply);
        }
    }

    /// Number of pending queries, abandoned ones included.
    pub fn len(&self) -> usize {
        self.pending.borrow().len()
    }

    /// Whether no query is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.borrow().is_empty()
    }

    /// Removes a query whose caller has given up.
    pub fn forget(&self, number: u64) {
        self.pending.borrow_mut().remove(&number);
    }
}

impl Gossip {
    /// Sends a prefill to the directory node of its prompt. Returns the record where that is this node, which then has to keep it.
    pub async fn publish_prefill(&self, prefill: PrefillRecord) -> Option<PrefillRecord> {
        let key = prefill.key()?;
        match self.directory_node(key) {
            None => Some(prefill),
            Some(node) => {
                self.send(node, &Datagram::Read(prefill)).await;
                None
            }
        }
    }

    /// Asks a directory node for the most recent prefill of a prompt whose last part has this hash; `None` where it has none or
    /// doesn't reply in time.
    pub async fn query_prefill(
        &self,
        node: SocketAddr,
        last_part_hash: u64,
    ) -> Option<PrefillRecord> {
        let (number, reply) = self.queries.start();
        self.send(
            node,
            &Datagram::FindRead {
                number,
                part: last_part_hash,
            },
        )
        .await;
        let received = tokio::time::timeout(QUERY_TIMEOUT, reply).await;
        self.queries.forget(number);
        received.ok()?.ok()?
    }

    /// Address of the directory node for prompts whose last part has this hash; `None` where it is this node.
    pub fn directory_node(&self, last_part_hash: u64) -> Option<SocketAddr> {
        let now = self.clock.now();
        let members = self.members.borrow();
        let alive = members.iter().filter(|member| {
            !member.info.is_replica && member.is_alive(now, DIRECTORY_NODE_TIMEOUT)
        });
        let rank = |name: &str| xxh3_64_with_seed(name.as_bytes(), last_part_hash);
        let best = alive.max_by_key(|member| rank(&member.info.name))?;
        (rank(&best.info.name) > rank(&self.me.name)).then_some(best.info.address)
    }
}
