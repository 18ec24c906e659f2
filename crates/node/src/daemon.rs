//! Starts all roles of a node and runs its actor thread until the node stops.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::Receiver;
use ridgeworks_domain::IdentifierError;
use ridgeworks_http_edge::{EdgeError, EdgeServer, EdgeSettings as HttpEdgeSettings};
use ridgeworks_link::{LinkError, Links};
use stakker::{Stakker, StopCause, call};
use stakker_mio::MioPoll;
use stakker_mio::mio::{Events, Poll};

use crate::assembly::{Actors, Parts, link_settings};
use crate::inbound::Edge;
use crate::mailbox::Mailbox;
use crate::metrics::Metrics;
use crate::replica::{OpenStoreError, WriteOwner};
use crate::settings::Settings;
use crate::shutdown::{Shutdown, watch_signals};
use crate::thread_message::ThreadMessage;

const POLL_EVENTS: usize = 1_024;
const WAKE_PRIORITY: u32 = 10;
const LONGEST_POLL: Duration = Duration::from_secs(1);

/// Why a node could not start, or ended other than as planned.
#[derive(Debug)]
pub enum DaemonError {
    /// A name in the settings is no identifier.
    Name(IdentifierError),
    /// The links could not listen.
    Link(LinkError),
    /// The HTTP edge could not listen.
    Edge(EdgeError),
    /// The data folder could not be taken up.
    Store(OpenStoreError),
    /// The system's poll failed.
    Poll(std::io::Error),
    /// Handlers of signals could not be set.
    Signals(std::io::Error),
    /// A role failed, so that the node must not go on.
    Role(Box<dyn std::error::Error>),
}

impl fmt::Display for DaemonError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Name(error) => write!(formatter, "{error}"),
            Self::Link(error) => write!(formatter, "{error}"),
            Self::Edge(error) => write!(formatter, "{error}"),
            Self::Store(error) => write!(formatter, "{error}"),
            Self::Poll(error) => write!(formatter, "poll failed: {error}"),
            Self::Signals(error) => write!(formatter, "cannot handle signals: {error}"),
            Self::Role(error) => write!(formatter, "a role failed: {error}"),
        }
    }
}

impl std::error::Error for DaemonError {}

impl From<IdentifierError> for DaemonError {
    fn from(error: IdentifierError) -> Self {
        Self::Name(error)
    }
}

impl From<OpenStoreError> for DaemonError {
    fn from(error: OpenStoreError) -> Self {
        Self::Store(error)
    }
}

/// Runs a node until it is stopped. `on_ready` learns the addresses of the HTTP edge and the links.
pub fn run(
    settings: &Settings,
    on_ready: impl FnOnce(SocketAddr, SocketAddr),
) -> Result<(), DaemonError> {
    let mut stakker = Stakker::new(Instant::now());
    let poll = Poll::new().map_err(DaemonError::Poll)?;
    let events = Events::with_capacity(POLL_EVENTS);
    let mut poll =
        MioPoll::new(&mut stakker, poll, events, WAKE_PRIORITY).map_err(DaemonError::Poll)?;
    let (mailbox, messages) = Mailbox::new(poll.waker());
    let listener = Links::bind(&link_settings(settings)).map_err(DaemonError::Link)?;
    let link_address = listener.local_addr().map_err(DaemonError::Poll)?;
    let metrics = Arc::<Metrics>::default();
    let parts = Parts::new(settings, link_address, mailbox.clone(), metrics.clone())?;
    let actors = parts.start(&mut stakker, settings, listener);
    watch_signals(mailbox.clone()).map_err(DaemonError::Signals)?;
    let default_deadline = Duration::from_millis(settings.owner.default_deadline_ms);
    let edge = Edge::new(mailbox, default_deadline, metrics.clone());
    let edge =
        EdgeServer::start(edge_settings(settings), Arc::new(edge)).map_err(DaemonError::Edge)?;
    metrics.show_edge(edge.counters());
    on_ready(edge.address(), link_address);
    let stop_timeout = Duration::from_millis(settings.owner.stop_timeout_ms);
    let mut shutdown = Shutdown::new(stop_timeout);
    run_actors(
        &mut stakker,
        &poll,
        &messages,
        &actors,
        &edge,
        &mut shutdown,
    )
}

fn run_actors(
    stakker: &mut Stakker,
    poll: &MioPoll,
    messages: &Receiver<ThreadMessage>,
    actors: &Actors,
    edge: &EdgeServer,
    shutdown: &mut Shutdown,
) -> Result<(), DaemonError> {
    let mut idle_pending = stakker.run(Instant::now(), false);
    let mut io_pending = false;
    while stakker.not_shutdown() && !shutdown.is_complete() {
        let pending = idle_pending || io_pending;
        let longest = shutdown.longest_poll().unwrap_or(LONGEST_POLL);
        let wait = stakker.next_wait_max(Instant::now(), longest, pending);
        let polled = poll.poll(wait).map_err(DaemonError::Poll)?;
        io_pending = polled.1;
        let mut activity = polled.0;
        for message in messages.try_iter() {
            activity = true;
            hand_over(actors, edge, shutdown, message);
        }
        shutdown.advance(actors, edge);
        idle_pending = stakker.run(Instant::now(), !activity);
    }
    match stakker.shutdown_reason() {
        Some(StopCause::Failed(error)) => Err(DaemonError::Role(error)),
        _ => Ok(()),
    }
}

fn hand_over(actors: &Actors, edge: &EdgeServer, shutdown: &mut Shutdown, message: ThreadMessage) {
    match message {
        ThreadMessage::Caller { request, answers } => {
            call!([actors.gateway], submit(request, answers));
        }
        ThreadMessage::Operator(request) => call!([actors.operator_desk], take(request)),
        ThreadMessage::Attempt(event) => call!([actors.owner], attempt(event)),
        ThreadMessage::Durable {
            owner: WriteOwner::Voter,
            write,
            result,
        } => call!([actors.configuration], handle_write_result(write, result)),
        ThreadMessage::Durable {
            owner: WriteOwner::Replica,
            write,
            result,
        } => {
            if let Some(replica) = &actors.replica {
                call!([replica], handle_write_result(write, result));
            }
        }
        ThreadMessage::Platform(event) => {
            call!([actors.configuration], handle_platform_event(event))
        }
        ThreadMessage::Engine(report) => call!([actors.dispatcher], handle_engine_report(report)),
        ThreadMessage::Stop => shutdown.begin(actors, edge),
    }
}

fn edge_settings(settings: &Settings) -> HttpEdgeSettings {
    let edge = &settings.edge;
    HttpEdgeSettings {
        max_concurrent_requests: edge.max_concurrent_requests,
        max_body_bytes: edge.max_body_bytes,
        read_timeout: Duration::from_millis(edge.idle_timeout_ms),
        write_timeout: Duration::from_millis(edge.write_timeout_ms),
        ..HttpEdgeSettings::with_defaults(settings.listen)
    }
}
