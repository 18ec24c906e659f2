//! All links of a node: accepts connections, and connects to a node on the first message to it and
//! again after a failure.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ridgeworks_domain::NodeId;
use stakker::{ActorOwn, ActorOwnSlab, CX, Fwd, actor, actor_in_slab, call, fwd_to, ret_some_to};
use stakker::{StopCause, ret_nop};
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::{TcpListener, TcpStream};
use stakker_mio::{MioPoll, MioSource, Ready};

use crate::counters::LinkCounters;
use crate::frame::Hello;
use crate::inbound::Inbound;
use crate::outbound::Outbound;
use crate::settings::{LinkError, LinkSettings, Peer};

const POLL_PRIORITY: u32 = 10;
const REDIAL_DELAY: Duration = Duration::from_millis(50);

/// A received message.
#[derive(Debug)]
pub struct Delivery {
    /// Sender, as stated in its hello frame; not authenticated.
    pub from: NodeId,
    /// Body of the frame.
    pub body: Vec<u8>,
}

/// An outbound connection failed or could not be established. Its queued messages are lost.
#[derive(Debug, Clone, Copy)]
pub struct LinkClosed {
    /// Node that the connection led to.
    pub peer: Peer,
}

/// Actor that owns all connections of the node.
pub struct Links {
    settings: LinkSettings,
    listener: MioSource<TcpListener>,
    inbound: ActorOwnSlab<Inbound>,
    outbound: HashMap<NodeId, Dialled>,
    deliver: Fwd<Delivery>,
    closed: Fwd<LinkClosed>,
    counters: Arc<LinkCounters>,
    next_generation: u64,
}

struct Dialled {
    peer: Peer,
    generation: u64,
    // `None` between a failure and the next connection attempt.
    connection: Option<ActorOwn<Outbound>>,
    redial_not_before: std::time::Instant,
}

impl Links {
    /// Binds the listener. Called before the actor starts, so that an error can end the process.
    pub fn bind(settings: &LinkSettings) -> Result<TcpListener, LinkError> {
        TcpListener::bind(settings.listen).map_err(|source| LinkError::Bind {
            address: settings.listen,
            source,
        })
    }

    /// Starts the actor on a bound listener. It passes received messages to `deliver` and failed
    /// outbound connections to `closed`.
    pub fn init(
        cx: CX![],
        settings: LinkSettings,
        listener: TcpListener,
        deliver: Fwd<Delivery>,
        closed: Fwd<LinkClosed>,
        counters: Arc<LinkCounters>,
    ) -> Option<Self> {
        let poll = cx.anymap_get::<MioPoll>();
        let on_ready = fwd_to!([cx], accept() as (Ready));
        let listener = match poll.add(listener, Interest::READABLE, POLL_PRIORITY, on_ready) {
            Ok(listener) => listener,
            Err(source) => {
                stakker::fail!(cx, LinkError::Register(source));
                return None;
            }
        };
        Some(Self {
            settings,
            listener,
            inbound: ActorOwnSlab::new(),
            outbound: HashMap::new(),
            deliver,
            closed,
            counters,
            next_generation: 0,
        })
    }

    /// Sends a message, connecting first if necessary. The message is dropped if a connection to the
    /// node failed just before and the reconnection delay has not passed.
    pub fn send(&mut self, cx: CX![], to: Peer, body: Vec<u8>) {
        let now = cx.now();
        let dialled = self.outbound.entry(to.node).or_insert(Dialled {
            peer: to,
            generation: 0,
            connection: None,
            redial_not_before: now,
        });
        if dialled.peer.address != to.address {
            dialled.peer = to;
            dialled.connection = None;
            dialled.redial_not_before = now;
        }
        if dialled.connection.is_none() && now < dialled.redial_not_before {
            LinkCounters::add(&self.counters.dropped_messages, 1);
            return;
        }
        if dialled.connection.is_none() {
            self.dial(cx, to);
        }
        let connection = self
            .outbound
            .get(&to.node)
            .and_then(|dialled| dialled.connection.as_ref());
        if let Some(connection) = connection {
            call!([connection], send(body));
        }
    }

    /// Closes the outbound connection to a node that was removed permanently; connections from it stay open.
    pub fn forget(&mut self, _cx: CX![], node: NodeId) {
        self.outbound.remove(&node);
    }

    fn dial(&mut self, cx: CX![], peer: Peer) {
        self.next_generation += 1;
        let generation = self.next_generation;
        let hello = Hello {
            node: self.settings.node,
            incarnation: self.settings.incarnation,
        };
        let on_end = ret_some_to!([cx], on_outbound_end(peer, generation) as (StopCause));
        let connection = actor!(
            cx,
            Outbound::init(
                self.dial_address(peer.address),
                hello,
                self.settings.max_queued_bytes,
                self.counters.clone()
            ),
            on_end
        );
        if let Some(dialled) = self.outbound.get_mut(&peer.node) {
            dialled.generation = generation;
            dialled.connection = Some(connection);
        }
    }

    fn dial_address(&self, advertised: SocketAddr) -> SocketAddr {
        self.settings
            .dial_overrides
            .iter()
            .find(|entry| entry.advertised == advertised)
            .map_or(advertised, |entry| entry.dial)
    }

    fn on_outbound_end(&mut self, cx: CX![], peer: Peer, generation: u64, cause: StopCause) {
        let Some(dialled) = self.outbound.get_mut(&peer.node) else {
            return;
        };
        if dialled.generation != generation || matches!(cause, StopCause::Dropped) {
            return;
        }
        dialled.connection = None;
        dialled.redial_not_before = cx.now() + REDIAL_DELAY;
        LinkCounters::add(&self.counters.broken, 1);
        self.closed.fwd(LinkClosed { peer });
    }

    fn accept(&mut self, cx: CX![], _ready: Ready) {
        loop {
            match self.listener.accept() {
                Ok((stream, _)) => self.add_inbound(cx, stream),
                Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
                // No pending connection, or no free file descriptor: retried at the next readiness event.
                Err(_) => return,
            }
        }
    }

    fn add_inbound(&mut self, cx: CX![], stream: TcpStream) {
        actor_in_slab!(
            self.inbound,
            cx,
            Inbound::init(stream, self.deliver.clone(), self.counters.clone()),
            ret_nop!()
        );
    }
}
