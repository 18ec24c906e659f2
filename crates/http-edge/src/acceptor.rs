//! Supervisor that keeps `tiny_http` accepting connections.
//!
//! It works around three limitations of `tiny_http`. The accept thread ends on any error of `accept` (the
//! process was paused for longer than the read timeout, or no file descriptor is free). It panics if a
//! thread cannot be started. And the task pool may assign a new connection to a thread that it still
//! counts as idle although another connection of the same burst was just assigned to it; the connection
//! then waits until another connection arrives or ends. The supervisor therefore opens short connections
//! to the listener, which release the queued ones, and starts another server on the same listener when
//! the previous one has stopped.

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
/// Wake-up connections per interval while requests arrive.
const WAKES_WHEN_BUSY: usize = 4;
/// Number of intervals after a request during which the edge counts as busy. A queued connection that a
/// wake-up releases sends its request within this time, which keeps the edge busy until no connection of a
/// burst is queued.
const BUSY_INTERVALS: u32 = 8;
/// Number of intervals from one wake-up connection to the next while idle. These connections prevent
/// `accept` from timing out and keep an idle thread of `tiny_http` alive.
const INTERVALS_PER_IDLE_WAKE: u32 = 8;
const PROBES_PER_READ_TIMEOUT: u32 = 4;
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);

/// Events that the supervisor handles.
pub(crate) enum SupervisorEvent {
    /// A server stopped accepting connections because of this error.
    AcceptFailed(io::Error),
    /// The edge is being closed.
    Closed,
}

/// Restarts the server of a listener until the edge is closed.
pub(crate) struct Supervisor {
    pub shared: Arc<Shared>,
    pub listener: TcpListener,
    pub address: SocketAddr,
    pub events: Receiver<SupervisorEvent>,
    pub events_sender: Sender<SupervisorEvent>,
}

impl Supervisor {
    /// Starts a `tiny_http` server on the listener and a thread that receives its requests.
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
        let mut schedule = WakeSchedule::default();
        let mut last_probe = Instant::now();
        loop {
            match self.events.recv_timeout(WAKE_INTERVAL) {
                Ok(SupervisorEvent::Closed) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(SupervisorEvent::AcceptFailed(cause)) => self.restart(&cause.to_string()),
                Err(RecvTimeoutError::Timeout) => self.wake(&mut schedule),
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

    fn wake(&self, schedule: &mut WakeSchedule) {
        let received = self.shared.counters.received.load(Ordering::Relaxed);
        for _ in 0..schedule.next_wakes(received) {
            listener::wake(self.address);
        }
    }

    fn check_accepting(&self) {
        if !listener::is_accepting(self.address, PROBE_TIMEOUT) {
            self.restart("a probe connection was not accepted");
        }
    }

    fn restart(&self, cause: &str) {
        if self.shared.listener_closed.load(Ordering::SeqCst) {
            return;
        }
        increment(&self.shared.counters.acceptor_restarts);
        log::warn!("HTTP server stopped accepting connections ({cause}); restarting it");
        while !self.shared.closed.load(Ordering::SeqCst) {
            match self.start_server() {
                Ok(()) => return,
                Err(_) => thread::sleep(WAKE_INTERVAL),
            }
        }
    }
}

/// Decides how many wake-up connections to open in each interval.
#[derive(Debug, Default)]
struct WakeSchedule {
    last_received: u64,
    idle_intervals: u32,
}

impl WakeSchedule {
    fn next_wakes(&mut self, received: u64) -> usize {
        if received != self.last_received {
            self.last_received = received;
            self.idle_intervals = 0;
        }
        self.idle_intervals = self.idle_intervals.wrapping_add(1);
        if self.idle_intervals <= BUSY_INTERVALS {
            WAKES_WHEN_BUSY
        } else {
            usize::from(self.idle_intervals.is_multiple_of(INTERVALS_PER_IDLE_WAKE))
        }
    }
}

/// Receives requests until the edge is closed, even after the server stopped accepting: requests may
/// still arrive on connections that it accepted before.
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
