//! One connection to another node, with many requests at once.

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
/// Requests that may wait for a link.
const MAX_WAITING: usize = 1_024;
/// Bytes of a frame's length before it.
const LENGTH_BYTES: usize = 4;
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
    RelayTargetUnreachable,
    /// The reply cannot be read.
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

struct Waiting {
    request: PeerRequest,
    reply: ReplySender,
}

/// What those who wait for answers need to know of a link.
pub(super) struct LinkState {
    pub made_at: Instant,
    /// When something last came from the other node.
    heard_at: Cell<Option<Instant>>,
    is_replaced: watch::Sender<bool>,
}

impl LinkState {
    /// When something last came from the other node, if that was after this.
    pub fn heard_after(&self, since: Instant) -> Option<Instant> {
        self.heard_at.get().filter(|at| *at >= since)
    }

    /// Waits until another link has taken the place of this one.
    pub async fn replaced(&self) {
        let mut receiver = self.is_replaced.subscribe();
        // The sender lives as long as this borrow of it.
        let _ = receiver.wait_for(|is_replaced| *is_replaced).await;
    }
}

/// A connection, made when the link is.
pub(super) struct Link {
    requests: mpsc::Sender<Waiting>,
    pub state: Rc<LinkState>,
    running: JoinHandle<()>,
}

impl Link {
    pub fn start(to: SocketAddr, traffic: Option<Rc<Traffic>>) -> Self {
        let (requests, receiver) = mpsc::channel(MAX_WAITING);
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
        let waiting = Waiting { request, reply };
        self.requests
            .try_send(waiting)
            .map_err(|_| LinkError::Full)?;
        Ok(receiver)
    }

    /// Ends the connection, and tells those who wait that another link has taken its place.
    pub fn replace(self) {
        self.state.is_replaced.send_replace(true);
        self.running.abort();
    }

    /// Ends a connection on which nobody waits.
    pub fn close(self) {
        self.running.abort();
    }
}

async fn run_link(
    to: SocketAddr,
    mut requests: mpsc::Receiver<Waiting>,
    state: Rc<LinkState>,
    traffic: Option<Rc<Traffic>>,
) {
    let count = |purpose, frame: &[u8]| {
        if let Some(traffic) = &traffic {
            traffic.add(purpose, to.ip(), frame.len() + LENGTH_BYTES);
        }
    };
    // Ends, and with it the receiver, when the connection does; the next request makes a new link.
    let Ok(stream) = connect_tcp(to, CONNECT_TIMEOUT).await else {
        requests.close();
        while let Ok(waiting) = requests.try_recv() {
            let _ = waiting.reply.send(Err(LinkError::Unreachable));
        }
        return;
    };
    let (mut writer, mut reader) = Framed::new(stream, codec()).split();
    let mut open: HashMap<u64, (Purpose, ReplySender)> = HashMap::new();
    let mut number = 0;
    loop {
        tokio::select! {
            waiting = requests.recv() => {
                let Some(waiting) = waiting else { break };
                if waiting.reply.is_closed() {
                    // Nobody waits any more: a node that does not keep up is spared what it has not been sent yet.
                    continue;
                }
                number += 1;
                let purpose = purpose::of_request(&waiting.request);
                let envelope = Envelope { number, body: waiting.request };
                let Ok(frame) = encode(&envelope) else { continue };
                open.retain(|_, (_, reply)| !reply.is_closed());
                open.insert(number, (purpose, waiting.reply));
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
                let Some((purpose, waiting)) = number.and_then(|number| open.remove(&number))
                else {
                    // Nobody waits any more.
                    count(Purpose::Unclaimed, &frame);
                    continue;
                };
                count(purpose, &frame);
                let _ = waiting.send(reply);
            }
            () = tokio::time::sleep(IDLE_LIMIT) => break,
        }
    }
}
