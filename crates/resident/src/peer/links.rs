//! Links to other nodes: one TCP connection a node, many requests at once.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{Either, select};
use futures_util::{SinkExt, StreamExt};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::codec::Framed;

use super::codec;
use super::message::{Envelope, PeerReply, PeerRequest, decode, encode};
use crate::clock::whole_ms;
use crate::http_client::connect_tcp;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Requests that may wait for a link.
const MAX_WAITING: usize = 1_024;
/// A link that nobody uses for so long is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(20);
/// How long nothing may come by a link on which an answer is due; without a bound a silent connection answered nobody for as
/// long as the process lived, with it a request is answered in under 0.8 s (loopback). Busy replicas answer something within this time; it is
/// shorter than the patience after which gateways take a detour.
const SILENCE: Duration = Duration::from_millis(350);
/// A link is not replaced sooner after it was made, so that a node which is slow for all is not asked twice for
/// everything, nor one that stands still connected to again and again.
const REPLACE_PAUSE: Duration = Duration::from_secs(2);
/// How long a replaced link may still answer; longer than any answer is waited for.
const REPLACED_LIFETIME: Duration = Duration::from_secs(10);

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
type ReplyReceiver = oneshot::Receiver<Result<PeerReply, LinkError>>;
type Received = Result<Result<PeerReply, LinkError>, oneshot::error::RecvError>;

struct Waiting {
    request: PeerRequest,
    reply: ReplySender,
}

/// When something last came from the other node of a link.
type HeardAt = Rc<Cell<Option<Instant>>>;

struct Link {
    requests: mpsc::Sender<Waiting>,
    heard_at: HeardAt,
    made_at: Instant,
    running: JoinHandle<()>,
}

impl Link {
    fn start(to: SocketAddr) -> Self {
        let (requests, receiver) = mpsc::channel(MAX_WAITING);
        let heard_at = HeardAt::default();
        let running = tokio::task::spawn_local(run_link(to, receiver, Rc::clone(&heard_at)));
        Self {
            requests,
            heard_at,
            made_at: Instant::now(),
            running,
        }
    }

    fn is_heard_since(&self, since: Instant) -> bool {
        self.heard_at.get().is_some_and(|at| at >= since)
    }
}

/// All links of a node.
#[derive(Default)]
pub struct PeerLinks {
    links: RefCell<HashMap<SocketAddr, Link>>,
    replaced: Cell<u64>,
}

impl PeerLinks {
    /// Asks another node and waits for its reply. A request may reach the node twice: it is sent again where the link
    /// has fallen silent.
    pub async fn call(
        &self,
        to: SocketAddr,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, LinkError> {
        let mut first = self.send(to, request.clone())?;
        // After a link was made for the request, so that it does not pass for a replacement.
        let began = Instant::now();
        let limit = began + timeout;
        if let Ok(reply) = tokio::time::timeout_at(limit.min(began + SILENCE), &mut first).await {
            return received(reply);
        }
        if !self.is_replaced_since(to, began) && !self.replace_silent(to, began) {
            return reply_until(limit, first).await;
        }
        let second = self.send(to, request)?;
        let first = reply_until(limit, first);
        let second = reply_until(limit, second);
        match select(pin!(first), pin!(second)).await {
            Either::Left((Ok(reply), _)) | Either::Right((Ok(reply), _)) => Ok(reply),
            Either::Left((Err(_), second)) => second.await,
            Either::Right((Err(_), first)) => first.await,
        }
    }

    /// Links that were replaced because they were silent.
    pub fn replaced(&self) -> u64 {
        self.replaced.get()
    }

    /// Whether anything has come from another node since then, also an answer that nobody waits for any more.
    pub fn is_heard_since(&self, node: SocketAddr, since: Instant) -> bool {
        let links = self.links.borrow();
        let link = links.get(&node);
        link.is_some_and(|link| link.is_heard_since(since))
    }

    fn send(&self, to: SocketAddr, request: PeerRequest) -> Result<ReplyReceiver, LinkError> {
        let (reply, receiver) = oneshot::channel();
        let waiting = Waiting { request, reply };
        self.link(to)
            .try_send(waiting)
            .map_err(|_| LinkError::Full)?;
        Ok(receiver)
    }

    fn link(&self, to: SocketAddr) -> mpsc::Sender<Waiting> {
        let mut links = self.links.borrow_mut();
        if let Some(link) = links.get(&to)
            && !link.requests.is_closed()
        {
            return link.requests.clone();
        }
        let link = Link::start(to);
        let requests = link.requests.clone();
        links.insert(to, link);
        requests
    }

    fn is_replaced_since(&self, to: SocketAddr, since: Instant) -> bool {
        let links = self.links.borrow();
        links.get(&to).is_some_and(|link| link.made_at > since)
    }

    /// Makes a new link in place of one on which nothing has come since then. Its connection may have fallen silent for
    /// good, and then only a new one shows whether the node lives. Answers may still come by the old one for a while.
    fn replace_silent(&self, to: SocketAddr, since: Instant) -> bool {
        let mut links = self.links.borrow_mut();
        let Some(link) = links.get_mut(&to) else {
            return false;
        };
        if link.is_heard_since(since) || link.made_at.elapsed() < REPLACE_PAUSE {
            return false;
        }
        let old = std::mem::replace(link, Link::start(to));
        drop(links);
        self.replaced.set(self.replaced.get() + 1);
        log::info!(
            target: "dependency",
            node:% = to,
            silent_ms = whole_ms(since.elapsed()),
            link_ms = whole_ms(old.made_at.elapsed());
            "silent link to a node replaced"
        );
        tokio::task::spawn_local(async move {
            tokio::time::sleep(REPLACED_LIFETIME).await;
            old.running.abort();
        });
        true
    }
}

fn received(reply: Received) -> Result<PeerReply, LinkError> {
    reply.unwrap_or(Err(LinkError::Broken))
}

async fn reply_until(limit: Instant, receiver: ReplyReceiver) -> Result<PeerReply, LinkError> {
    match tokio::time::timeout_at(limit, receiver).await {
        Ok(reply) => received(reply),
        Err(_) => Err(LinkError::TimedOut),
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
