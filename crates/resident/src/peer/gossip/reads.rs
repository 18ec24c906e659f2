//! Where prompts were read last: told to and asked of their directory nodes, over UDP.
//!
//! The directory node of a prompt is chosen among the gateways that are heard, by rendezvous hashing of the
//! prompt's last part (`docs/design/decisions.md`, "Sessions that change gateways").

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use ridgeworks_routing::PrefillRecord;
use tokio::sync::oneshot;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Gossip;
use crate::peer::message::Datagram;

/// How long a directory node may take to tell where a prompt was read.
const ASK_TIMEOUT: Duration = Duration::from_millis(12);
/// A node silent for so long is no directory node; in a large fleet each is heard every few seconds.
const DIRECTORY_SILENCE: Duration = Duration::from_secs(6);

type Answer = Option<PrefillRecord>;

/// Questions that wait for their answers.
#[derive(Default)]
pub struct PendingQueries {
    last: Cell<u64>,
    open: RefCell<HashMap<u64, oneshot::Sender<Answer>>>,
}

/// Open questions from which on those that nobody waits for any more are looked for.
const MANY_QUESTIONS: usize = 64;

impl PendingQueries {
    /// A new question: its number, and where its answer comes. Whoever asked may go away at any moment
    /// without a word, so that questions that nobody waits for are looked for here.
    pub fn ask(&self) -> (u64, oneshot::Receiver<Answer>) {
        let number = self.last.get() + 1;
        self.last.set(number);
        let (sender, receiver) = oneshot::channel();
        let mut open = self.open.borrow_mut();
        if open.len() >= MANY_QUESTIONS {
            open.retain(|_, waiting| !waiting.is_closed());
        }
        open.insert(number, sender);
        (number, receiver)
    }

    /// An answer has come; one that nobody waits for is left out.
    pub fn answer(&self, number: u64, answer: Answer) {
        if let Some(sender) = self.open.borrow_mut().remove(&number) {
            // Whoever asked may have stopped waiting.
            let _ = sender.send(answer);
        }
    }

    /// Number of open questions.
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Whether none is open.
    pub fn is_empty(&self) -> bool {
        self.open.borrow().is_empty()
    }

    /// Nobody waits for the answer any more.
    pub fn forget(&self, number: u64) {
        self.open.borrow_mut().remove(&number);
    }
}

impl Gossip {
    /// Tells the directory node of a prompt that an engine reads it; gives it back where that is this node.
    pub async fn publish_prefill(&self, read: PrefillRecord) -> Option<PrefillRecord> {
        let key = read.key()?;
        match self.directory_node(key) {
            None => Some(read),
            Some(node) => {
                self.send(node, &Datagram::Read(read)).await;
                None
            }
        }
    }

    /// Asks a directory node for the last read with this last part.
    pub async fn query_prefill(&self, node: SocketAddr, part: u64) -> Option<PrefillRecord> {
        let (number, answer) = self.queries.ask();
        self.send(node, &Datagram::FindRead { number, part }).await;
        let answered = tokio::time::timeout(ASK_TIMEOUT, answer).await;
        self.queries.forget(number);
        answered.ok()?.ok()?
    }

    /// The gateway that is told of prompts with this last part; `None` for this one.
    pub fn directory_node(&self, part: u64) -> Option<SocketAddr> {
        let now = self.clock.now();
        let members = self.members.borrow();
        let alive = members
            .iter()
            .filter(|member| !member.info.is_replica && member.is_alive(now, DIRECTORY_SILENCE));
        let rank = |name: &str| xxh3_64_with_seed(name.as_bytes(), part);
        let best = alive.max_by_key(|member| rank(&member.info.name))?;
        (rank(&best.info.name) > rank(&self.me.name)).then_some(best.info.address)
    }
}
