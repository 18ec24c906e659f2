//! Start, planned stop and shutdown of an edge.

use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ridgeworks_worker_pool::{WorkerPool, spawn_detached};
use socket2::SockRef;

use crate::acceptor::{SERVICE_STACK_BYTES, Supervisor, SupervisorEvent, lock_servers};
use crate::admission::Admission;
use crate::counters::EdgeCounters;
use crate::error::{EdgeError, FaultResponse, RequestFault};
use crate::listener;
use crate::request::EdgeRequest;
use crate::responder::Responder;
use crate::serving::Shared;
use crate::settings::EdgeSettings;

/// Handles the requests of an edge. Each call has its own thread and may block.
pub trait Handler: Send + Sync {
    /// Handles one request and responds through `responder`.
    fn handle(&self, request: EdgeRequest, responder: Responder);

    /// Returns the response to a request for `path` that the edge answers itself. Handlers override it
    /// so that all responses of an interface have the same format.
    fn fault_response(
        &self,
        fault: RequestFault,
        path: &str,
        settings: &EdgeSettings,
    ) -> FaultResponse {
        let _ = path;
        FaultResponse::plain(fault, settings.retry_after)
    }
}

impl<F: Fn(EdgeRequest, Responder) + Send + Sync> Handler for F {
    fn handle(&self, request: EdgeRequest, responder: Responder) {
        self(request, responder);
    }
}

/// A running HTTP edge. Dropping it closes the listener; in-flight requests continue.
pub struct EdgeServer {
    shared: Arc<Shared>,
    address: SocketAddr,
    listener: TcpListener,
    supervisor: Sender<SupervisorEvent>,
}

impl EdgeServer {
    /// Opens the listener and serves requests until the value is dropped.
    pub fn start(settings: EdgeSettings, handler: Arc<dyn Handler>) -> Result<Self, EdgeError> {
        let listener = listener::open(&settings).map_err(EdgeError::Listen)?;
        let address = listener.local_addr().map_err(EdgeError::Listen)?;
        let own_listener = listener.try_clone().map_err(EdgeError::Listen)?;
        let shared = Arc::new(shared_state(settings, handler));
        let (events_sender, events) = channel();
        let supervisor = Supervisor {
            shared: Arc::clone(&shared),
            listener,
            address,
            events,
            events_sender: events_sender.clone(),
        };
        supervisor.start_server()?;
        let edge = Self {
            shared,
            address,
            listener: own_listener,
            supervisor: events_sender,
        };
        spawn_detached("edge-supervisor", SERVICE_STACK_BYTES, || supervisor.run())
            .map_err(EdgeError::Thread)?;
        Ok(edge)
    }

    /// Returns the address that the edge listens on, with the port that was chosen for port 0.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the counters of the edge, which remain readable after it is dropped.
    pub fn counters(&self) -> Arc<EdgeCounters> {
        Arc::clone(&self.shared.counters)
    }

    /// Refuses every further request with status 503, also on open connections. The listener stays open,
    /// so that callers learn immediately that their request did not run.
    pub fn refuse_new_requests(&self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
    }

    /// Rejects further connections, so that clients know that no request was sent. Requests on
    /// connections accepted before are still answered.
    ///
    /// If the process ended with a listening socket, clients that had just connected would be reset.
    pub fn stop_accepting_connections(&self) {
        self.shared.listener_closed.store(true, Ordering::SeqCst);
        // Fails only if the listener was shut down before.
        let _ = SockRef::from(&self.listener).shutdown(Shutdown::Read);
    }

    /// Waits until no request and no refusal is in flight; returns false after `timeout`. Unless
    /// [`EdgeServer::refuse_new_requests`] was called, a new request may arrive immediately afterwards.
    pub fn wait_until_idle(&self, timeout: Duration) -> bool {
        self.shared.admission.wait_until_idle(timeout)
    }
}

impl Drop for EdgeServer {
    fn drop(&mut self) {
        self.refuse_new_requests();
        self.shared.closed.store(true, Ordering::SeqCst);
        let _ = self.supervisor.send(SupervisorEvent::Closed);
        let servers = std::mem::take(&mut *lock_servers(&self.shared));
        for server in servers {
            server.unblock();
        }
    }
}

fn shared_state(settings: EdgeSettings, handler: Arc<dyn Handler>) -> Shared {
    let admission = Admission::new(
        settings.max_concurrent_requests,
        settings.max_concurrent_refusals,
    );
    let handlers = WorkerPool::new("edge-request", settings.handler_stack_bytes);
    Shared {
        settings,
        handler,
        admission,
        handlers,
        counters: Arc::default(),
        stopping: AtomicBool::new(false),
        listener_closed: AtomicBool::new(false),
        closed: AtomicBool::new(false),
        servers: Mutex::default(),
    }
}
