//! One connection to another node, with many in-flight requests.

use std::cell::Cell;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::codec::Framed;

use super::codec;
use super::encoding::{MessageKind, decode, encode, frame_number};
use super::message::{Envelope, PeerReply, PeerRequest};
use super::purpose;
use super::rejected::REJECTED;
use crate::http_client::connect_tcp;
use crate::traffic::{Purpose, Traffic};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Capacity of a link's queue of requests.
const QUEUE_CAPACITY: usize = 1_024;
/// Bytes of the length before each frame.
const LENGTH_BYTES: usize = 4;
/// A link without a request or a reply for this long is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(20);

/// Why a request to another node has no reply. The node may have executed it, even after `Unreachable` and `Full`: when a silent
/// link is replaced, a request that was sent on it is sent again, and the error may be that of the second attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkError {
    /// No connection could be established.
    Unreachable,
    /// The connection broke.
    Broken,
    /// The link's queue is full or closed.
    Full,
    /// The reply did not come in time.
    TimedOut,
    /// The relaying node could not reach the target of the request.
    RelayTargetUnreachable,
    /// The reply can't be decoded.
    Unreadable,
}

impl LinkError {
    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Broken => "broken",
            Self::Full => "full",
            Self::TimedOut => "timed_out",
            Self::RelayTargetUnreachable => "beyond_relay",
            Self::Unreadable => "unreadable",
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
pub(super) type ReplyReceiver = oneshot::Receiver<Result<PeerReply, LinkError>>;

struct QueuedRequest {
    request: PeerRequest,
    reply: ReplySender,
}

/// State of a link, shared with the callers that wait for replies.
pub(super) struct LinkState {
    pub made_at: Instant,
    /// When a frame was last received.
    heard_at: Cell<Option<Instant>>,
    is_replaced: watch::Sender<bool>,
}

impl LinkState {
    /// When a frame was last received, if that was at `since` or later.
    pub fn received_since(&self, since: Instant) -> Option<Instant> {
        self.heard_at.get().filter(|at| *at >= since)
    }

    /// Waits until another link has replaced this one.
    pub async fn replaced(&self) {
        let mut receiver = self.is_replaced.subscribe();
        // Can't fail: `self` holds the sender.
        let _ = receiver.wait_for(|is_replaced| *is_replaced).await;
    }
}

/// A connection to another node. It is established in the background; requests are queued until then.
pub(super) struct Link {
    requests: mpsc::Sender<QueuedRequest>,
    pub state: Rc<LinkState>,
    running: JoinHandle<()>,
}

impl Link {
    pub fn start(to: SocketAddr, traffic: Option<Rc<Traffic>>) -> Self {
        let (requests, receiver) = mpsc::channel(QUEUE_CAPACITY);
        let state = Rc::new(LinkState {
            made_at: Instant::now(),
            heard_at: Cell::new(None),
            is_replaced: watch::Sender::new(false),
        });
        let running = tokio::task::spawn_local(run_link(to, receiver, Rc::clone(&state), traffic));
        Self {
            requests,
            state,
            running,
        }
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.requests.is_closed()
    }

    pub fn send(&self, request: PeerRequest) -> Result<ReplyReceiver, LinkError> {
        let (reply, receiver) = oneshot::channel();
        let queued = QueuedRequest { request, reply };
        self.requests
            .try_send(queued)
            .map_err(|_| LinkError::Full)?;
        Ok(receiver)
    }

    /// Closes the connection and notifies the waiting callers that another link has replaced it.
    pub fn replace(self) {
        self.state.is_replaced.send_replace(true);
        self.running.abort();
    }

    /// Closes a connection on which no caller waits.
    pub fn close(self) {
        self.running.abort();
    }
}

async fn run_link(
    to: SocketAddr,
    mut requests: mpsc::Receiver<QueuedRequest>,
    state: Rc<LinkState>,
    traffic: Option<Rc<Traffic>>,
) {
    let count = |purpose, frame: &[u8]| {
        if let Some(traffic) = &traffic {
            traffic.add(purpose, to.ip(), frame.len() + LENGTH_BYTES);
        }
    };
    // Returning drops `requests`, which closes the link; the next request starts a new one.
    let Ok(stream) = connect_tcp(to, CONNECT_TIMEOUT).await else {
        requests.close();
        while let Ok(queued) = requests.try_recv() {
            let _ = queued.reply.send(Err(LinkError::Unreachable));
        }
        return;
    };
    let (mut writer, mut reader) = Framed::new(stream, codec()).split();
    let mut in_flight: HashMap<u64, (Purpose, ReplySender)> = HashMap::new();
    let mut number = 0;
    loop {
        tokio::select! {
            queued = requests.recv() => {
                let Some(queued) = queued else { break };
                if queued.reply.is_closed() {
                    // The caller has given up: don't load a slow node with a request that nobody waits for.
                    continue;
                }
                number += 1;
                let purpose = purpose::of_request(&queued.request);
                let envelope = Envelope { number, body: queued.request };
                let Ok(frame) = encode(&envelope) else { continue };
                in_flight.retain(|_, (_, reply)| !reply.is_closed());
                in_flight.insert(number, (purpose, queued.reply));
                count(purpose, &frame);
                if writer.send(frame).await.is_err() {
                    break;
                }
            }
            frame = reader.next() => {
                let Some(Ok(frame)) = frame else { break };
                state.heard_at.set(Some(Instant::now()));
                let (number, reply) = match decode::<Envelope<PeerReply>>(&frame) {
                    Ok(envelope) => (Some(envelope.number), Ok(envelope.body)),
                    Err(error) => {
                        REJECTED.on_unreadable(to.ip(), MessageKind::Reply, error);
                        if error.is_corruption() {
                            break;
                        }
                        (frame_number(&frame), Err(LinkError::Unreadable))
                    }
                };
                let Some((purpose, caller)) = number.and_then(|number| in_flight.remove(&number))
                else {
                    // The caller has given up.
                    count(Purpose::Unclaimed, &frame);
                    continue;
                };
                count(purpose, &frame);
                let _ = caller.send(reply);
            }
            () = tokio::time::sleep(IDLE_LIMIT) => break,
        }
    }
}
