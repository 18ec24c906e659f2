//! A running edge: start, planned stop, end.

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

/// What a node does with a request. Called on a thread of its own; it may block.
pub trait Handler: Send + Sync {
    /// Answers one request through `responder`.
    fn handle(&self, request: EdgeRequest, responder: Responder);

    /// Words the answer to a request for `path` that this handler did not answer, so that all
    /// answers of one interface have one form.
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

/// A running HTTP edge. Dropping it closes the listener and cuts nothing off that is in progress.
pub struct EdgeServer {
    shared: Arc<Shared>,
    address: SocketAddr,
    listener: TcpListener,
    supervisor: Sender<SupervisorEvent>,
}

impl EdgeServer {
    /// Listens and serves until the value is dropped.
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

    /// The address that the edge listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Counters of the edge.
    pub fn counters(&self) -> Arc<EdgeCounters> {
        Arc::clone(&self.shared.counters)
    }

    /// Refuses every further request with a typed 503, also on open connections. The listener stays
    /// open until the edge is dropped, so that callers learn at once that their request did not run.
    pub fn refuse_new_requests(&self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
    }

    /// Takes no further connection: who comes now learns that nothing was sent. Requests of
    /// connections that were taken before are still answered.
    ///
    /// A process that ends with an open listener cuts off whoever connected at the last moment.
    pub fn stop_accepting_connections(&self) {
        self.shared.listener_closed.store(true, Ordering::SeqCst);
        // Fails only where it is closed already.
        let _ = SockRef::from(&self.listener).shutdown(Shutdown::Read);
    }

    /// Waits until neither a request nor a refusal is in progress; false when `timeout` is over
    /// before. Without [`EdgeServer::refuse_new_requests`] a new request may follow at once.
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
