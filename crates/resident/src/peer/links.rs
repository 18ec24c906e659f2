//! Links to other nodes: one TCP connection a node, many requests at once.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use tokio_util::codec::Framed;

use super::codec;
use super::message::{Envelope, PeerReply, PeerRequest, decode, encode};
use crate::http_client::connect_tcp;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Requests that may wait for a link.
const MAX_WAITING: usize = 1_024;
/// A link that nobody uses for so long is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(20);

/// Why a request to another node has no reply. It may have been carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkError {
    /// No connection could be made.
    Unreachable,
    /// The connection broke.
    Broken,
    /// Too many requests wait for the link.
    Full,
    /// No reply in time.
    TimedOut,
    /// The node that was to pass the request on does not reach its receiver either.
    BeyondRelay,
}

impl LinkError {
    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Broken => "broken",
            Self::Full => "full",
            Self::TimedOut => "timed_out",
            Self::BeyondRelay => "beyond_relay",
        }
    }
}

impl fmt::Display for LinkError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

impl std::error::Error for LinkError {}

type ReplySender = oneshot::Sender<Result<PeerReply, LinkError>>;

struct Waiting {
    request: PeerRequest,
    reply: ReplySender,
}

/// When something last came from the other node of a link.
type HeardAt = Rc<Cell<Option<Instant>>>;

struct Link {
    requests: mpsc::Sender<Waiting>,
    heard_at: HeardAt,
}

/// All links of a node.
#[derive(Default)]
pub struct PeerLinks {
    links: RefCell<HashMap<SocketAddr, Link>>,
}

impl PeerLinks {
    /// Asks another node and waits for its reply.
    pub async fn call(
        &self,
        to: SocketAddr,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, LinkError> {
        let (reply, receiver) = oneshot::channel();
        let waiting = Waiting { request, reply };
        self.link(to)
            .try_send(waiting)
            .map_err(|_| LinkError::Full)?;
        match tokio::time::timeout(timeout, receiver).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(_)) => Err(LinkError::Broken),
            Err(_) => Err(LinkError::TimedOut),
        }
    }

    /// Whether anything has come from another node since then, also an answer that nobody waits for any more.
    pub fn is_heard_since(&self, node: SocketAddr, since: Instant) -> bool {
        let links = self.links.borrow();
        let heard_at = links.get(&node).and_then(|link| link.heard_at.get());
        heard_at.is_some_and(|at| at >= since)
    }

    fn link(&self, to: SocketAddr) -> mpsc::Sender<Waiting> {
        let mut links = self.links.borrow_mut();
        if let Some(link) = links.get(&to)
            && !link.requests.is_closed()
        {
            return link.requests.clone();
        }
        let (requests, receiver) = mpsc::channel(MAX_WAITING);
        let heard_at = HeardAt::default();
        tokio::task::spawn_local(run_link(to, receiver, Rc::clone(&heard_at)));
        let link = Link {
            requests: requests.clone(),
            heard_at,
        };
        links.insert(to, link);
        requests
    }
}

async fn run_link(to: SocketAddr, mut requests: mpsc::Receiver<Waiting>, heard_at: HeardAt) {
    // Ends, and with it the receiver, when the connection does; the next request makes a new link.
    let Ok(stream) = connect_tcp(to, CONNECT_TIMEOUT).await else {
        requests.close();
        while let Ok(waiting) = requests.try_recv() {
            let _ = waiting.reply.send(Err(LinkError::Unreachable));
        }
        return;
    };
    let (mut writer, mut reader) = Framed::new(stream, codec()).split();
    let mut open: HashMap<u64, ReplySender> = HashMap::new();
    let mut number = 0;
    loop {
        tokio::select! {
            waiting = requests.recv() => {
                let Some(waiting) = waiting else { break };
                number += 1;
                let envelope = Envelope { number, body: waiting.request };
                let Ok(frame) = encode(&envelope) else { continue };
                open.retain(|_, reply| !reply.is_closed());
                open.insert(number, waiting.reply);
                if writer.send(frame).await.is_err() {
                    break;
                }
            }
            frame = reader.next() => {
                let Some(Ok(frame)) = frame else { break };
                heard_at.set(Some(Instant::now()));
                let Ok(envelope) = decode::<Envelope<PeerReply>>(&frame) else { break };
                if let Some(reply) = open.remove(&envelope.number) {
                    let _ = reply.send(Ok(envelope.body));
                }
            }
            () = tokio::time::sleep(IDLE_LIMIT) => break,
        }
    }
}
