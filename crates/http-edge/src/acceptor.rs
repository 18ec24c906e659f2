//! Keeps `tiny_http` accepting.
//!
//! Three of its habits need a hand. Its accept thread ends on any error of `accept` (a pause of the
//! process longer than the read time-out, no file descriptor left), and on a panic where a thread
//! cannot be started. And its task pool queues a new connection behind an idle thread that another
//! connection of the same burst has already taken; the connection then waits until some other
//! connection comes or ends. So a supervisor makes short connections to the listener, which free
//! what is queued, and starts a second server on the same listener when the first stopped.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::Ordering;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use ridgeworks_worker_pool::spawn_detached;
use tiny_http::Server;

use crate::counters::increment;
use crate::error::EdgeError;
use crate::listener;
use crate::serving::{Shared, admit};

pub(crate) const SERVICE_STACK_BYTES: usize = 128 * 1024;

const WAKE_INTERVAL: Duration = Duration::from_millis(25);
/// Connections an interval while requests come.
const WAKES_WHEN_BUSY: usize = 4;
/// Intervals for which the edge counts as busy after a request. A connection that was freed brings its
/// request within this time, so that the edge stays busy until all of a burst are freed.
const BUSY_INTERVALS: u32 = 8;
/// When quiet, one connection in so many intervals: each keeps an idle thread of `tiny_http` alive.
const INTERVALS_PER_QUIET_WAKE: u32 = 8;
const PROBES_PER_READ_TIMEOUT: u32 = 4;
const PROBE_PATIENCE: Duration = Duration::from_secs(5);

/// What the supervisor is told.
pub(crate) enum SupervisorEvent {
    /// A server stopped accepting, with this error.
    AcceptFailed(io::Error),
    /// The edge is being closed.
    Closed,
}

/// Keeps a listener served until the edge is closed.
pub(crate) struct Supervisor {
    pub shared: Arc<Shared>,
    pub listener: TcpListener,
    pub address: SocketAddr,
    pub events: Receiver<SupervisorEvent>,
    pub events_sender: Sender<SupervisorEvent>,
}

impl Supervisor {
    /// Starts one `tiny_http` server on the listener, with a thread that receives its requests.
    pub(crate) fn start_server(&self) -> Result<(), EdgeError> {
        let listener = self.listener.try_clone().map_err(EdgeError::Listen)?;
        let server = Server::from_listener(listener, None).map_err(EdgeError::Server)?;
        let server = Arc::new(server);
        lock_servers(&self.shared).push(Arc::clone(&server));
        let shared = Arc::clone(&self.shared);
        let events = self.events_sender.clone();
        spawn_detached("edge-receive", SERVICE_STACK_BYTES, move || {
            receive(&shared, &server, &events);
        })
        .map_err(EdgeError::Thread)
    }

    /// Runs until the edge is closed.
    pub(crate) fn run(self) {
        let probe_interval = self.shared.settings.read_timeout / PROBES_PER_READ_TIMEOUT;
        let mut pace = WakePace::default();
        let mut last_probe = Instant::now();
        loop {
            match self.events.recv_timeout(WAKE_INTERVAL) {
                Ok(SupervisorEvent::Closed) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(SupervisorEvent::AcceptFailed(cause)) => self.restart(&cause.to_string()),
                Err(RecvTimeoutError::Timeout) => self.wake(&mut pace),
            }
            if self.shared.listener_closed.load(Ordering::SeqCst) {
                continue;
            }
            if last_probe.elapsed() >= probe_interval {
                self.check_accepting();
                last_probe = Instant::now();
            }
        }
    }

    fn wake(&self, pace: &mut WakePace) {
        let received = self.shared.counters.received.load(Ordering::Relaxed);
        for _ in 0..pace.next_wakes(received) {
            listener::wake(self.address);
        }
    }

    fn check_accepting(&self) {
        if !listener::is_accepting(self.address, PROBE_PATIENCE) {
            self.restart("a probe was not accepted");
        }
    }

    fn restart(&self, cause: &str) {
        if self.shared.listener_closed.load(Ordering::SeqCst) {
            return;
        }
        increment(&self.shared.counters.acceptor_restarts);
        log::warn!("accepting connections stopped ({cause}), starting anew");
        while !self.shared.closed.load(Ordering::SeqCst) {
            match self.start_server() {
                Ok(()) => return,
                Err(_) => thread::sleep(WAKE_INTERVAL),
            }
        }
    }
}

/// How many connections of our own an interval takes.
#[derive(Debug, Default)]
struct WakePace {
    received_before: u64,
    quiet_intervals: u32,
}

impl WakePace {
    fn next_wakes(&mut self, received: u64) -> usize {
        if received != self.received_before {
            self.received_before = received;
            self.quiet_intervals = 0;
        }
        self.quiet_intervals = self.quiet_intervals.wrapping_add(1);
        if self.quiet_intervals <= BUSY_INTERVALS {
            WAKES_WHEN_BUSY
        } else {
            usize::from(
                self.quiet_intervals
                    .is_multiple_of(INTERVALS_PER_QUIET_WAKE),
            )
        }
    }
}

/// Receives until the edge is closed, also after its server stopped accepting: connections that the
/// server has accepted still bring requests.
fn receive(shared: &Arc<Shared>, server: &Server, events: &Sender<SupervisorEvent>) {
    loop {
        let received = server.recv();
        if shared.closed.load(Ordering::SeqCst) {
            return;
        }
        match received {
            Ok(request) => admit(shared, request),
            Err(error) => {
                let _ = events.send(SupervisorEvent::AcceptFailed(error));
            }
        }
    }
}

pub(crate) fn lock_servers(shared: &Shared) -> MutexGuard<'_, Vec<Arc<Server>>> {
    let servers = shared.servers.lock();
    servers.unwrap_or_else(PoisonError::into_inner)
}
