//! Receives requests from `tiny_http` and gives each a thread.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use tiny_http::{Request, Response, Server};

use crate::admission::Admission;
use crate::body::{MAX_DISCARDED_BODY_BYTES, read_body};
use crate::counters::{EdgeCounters, decrement, increment};
use crate::error::{EdgeError, RequestFault};
use crate::listener;
use crate::request::EdgeRequest;
use crate::responder::Responder;
use crate::settings::EdgeSettings;

const SERVICE_STACK_BYTES: usize = 128 * 1024;
const RESTART_PAUSE: Duration = Duration::from_millis(20);

/// What a node does with a request. Called on a thread of its own; it may block.
pub trait Handler: Send + Sync {
    /// Answers one request through `responder`.
    fn handle(&self, request: EdgeRequest, responder: Responder);
}

impl<F: Fn(EdgeRequest, Responder) + Send + Sync> Handler for F {
    fn handle(&self, request: EdgeRequest, responder: Responder) {
        self(request, responder);
    }
}

struct Shared {
    settings: EdgeSettings,
    handler: Arc<dyn Handler>,
    admission: Admission,
    counters: Arc<EdgeCounters>,
    stopping: AtomicBool,
    closed: AtomicBool,
    servers: Mutex<Vec<Arc<Server>>>,
}

/// A running HTTP edge. Dropping it closes the listener and cuts nothing off that is in progress.
pub struct EdgeServer {
    shared: Arc<Shared>,
    address: SocketAddr,
    wake_stop: Option<Sender<()>>,
}

impl EdgeServer {
    /// Listens and serves until the value is dropped.
    pub fn start(settings: EdgeSettings, handler: Arc<dyn Handler>) -> Result<Self, EdgeError> {
        let listener = listener::open(&settings).map_err(EdgeError::Listen)?;
        let address = listener.local_addr().map_err(EdgeError::Listen)?;
        let interval = listener::wake_interval(&settings);
        let admission = Admission::new(
            settings.max_concurrent_requests,
            settings.max_concurrent_refusals,
        );
        let shared = Arc::new(Shared {
            settings,
            handler,
            admission,
            counters: Arc::default(),
            stopping: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            servers: Mutex::default(),
        });
        start_acceptor(&shared, listener)?;
        let (wake_stop, stopped) = channel();
        spawn("edge-wake", SERVICE_STACK_BYTES, move || {
            wake_until_stopped(address, interval, &stopped);
        })
        .map_err(EdgeError::Thread)?;
        Ok(Self {
            shared,
            address,
            wake_stop: Some(wake_stop),
        })
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
    pub fn stop_accepting(&self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
    }

    /// Waits until no request is in progress; false when `timeout` is over before.
    pub fn wait_until_idle(&self, timeout: Duration) -> bool {
        self.shared.admission.wait_until_idle(timeout)
    }
}

impl Drop for EdgeServer {
    fn drop(&mut self) {
        self.shared.stopping.store(true, Ordering::SeqCst);
        self.shared.closed.store(true, Ordering::SeqCst);
        drop(self.wake_stop.take());
        let servers = std::mem::take(&mut *lock_servers(&self.shared));
        for server in servers {
            server.unblock();
        }
    }
}

fn lock_servers(shared: &Shared) -> std::sync::MutexGuard<'_, Vec<Arc<Server>>> {
    shared
        .servers
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}

fn spawn(name: &str, stack_bytes: usize, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    thread::Builder::new()
        .name(name.to_owned())
        .stack_size(stack_bytes)
        .spawn(work)
        .map(drop)
}

fn wake_until_stopped(address: SocketAddr, interval: Duration, stopped: &Receiver<()>) {
    while stopped.recv_timeout(interval) == Err(RecvTimeoutError::Timeout) {
        listener::wake(address);
    }
}

/// Starts one `tiny_http` server on the listener, with a thread that receives its requests. A copy of
/// the listener stays with that thread, to start anew when `tiny_http` stops accepting.
fn start_acceptor(shared: &Arc<Shared>, listener: TcpListener) -> Result<(), EdgeError> {
    let spare = listener.try_clone().map_err(EdgeError::Listen)?;
    let server = Server::from_listener(listener, None).map_err(EdgeError::Server)?;
    let server = Arc::new(server);
    lock_servers(shared).push(Arc::clone(&server));
    let shared = Arc::clone(shared);
    spawn("edge-receive", SERVICE_STACK_BYTES, move || {
        receive(&shared, &server, spare);
    })
    .map_err(EdgeError::Thread)
}

/// Goes on after its server stopped accepting: kept connections still bring requests.
fn receive(shared: &Arc<Shared>, server: &Server, spare: TcpListener) {
    let mut spare = Some(spare);
    while !shared.closed.load(Ordering::SeqCst) {
        match server.recv() {
            Ok(request) => admit(shared, request),
            Err(_) if shared.closed.load(Ordering::SeqCst) => return,
            Err(error) => restart(shared, &mut spare, &error),
        }
    }
}

/// `accept` fails when the process was paused for longer than the read time-out, or ran out of file
/// descriptors.
fn restart(shared: &Arc<Shared>, spare: &mut Option<TcpListener>, cause: &io::Error) {
    let Some(listener) = spare.take() else {
        return;
    };
    increment(&shared.counters.acceptor_restarts);
    log::warn!("accepting connections stopped ({cause}), starting anew");
    while !shared.closed.load(Ordering::SeqCst) {
        let started = match listener.try_clone() {
            Ok(copy) => start_acceptor(shared, copy),
            Err(error) => Err(EdgeError::Listen(error)),
        };
        match started {
            Ok(()) => return,
            Err(_) => thread::sleep(RESTART_PAUSE),
        }
    }
}

/// Decides between a handler's thread and a refusal. Never reads or writes on this thread: a slow
/// client would hold up all others.
fn admit(shared: &Arc<Shared>, request: Request) {
    if shared.stopping.load(Ordering::SeqCst) {
        increment(&shared.counters.refused_stopping);
        return refuse_on_thread(shared, request, RequestFault::Stopping);
    }
    if !shared.admission.try_enter_request() {
        increment(&shared.counters.refused_overload);
        return refuse_on_thread(shared, request, RequestFault::Overloaded);
    }
    let place = RequestPlace(Arc::clone(shared));
    let stack_bytes = shared.settings.handler_stack_bytes;
    let started = spawn("edge-request", stack_bytes, move || {
        serve(place, request);
    });
    if started.is_err() {
        // The closure was dropped with the request, which answers 500 by itself.
        increment(&shared.counters.unanswered);
    }
}

/// The place of one request in the bound; given back when dropped.
struct RequestPlace(Arc<Shared>);

impl Drop for RequestPlace {
    fn drop(&mut self) {
        self.0.admission.leave_request();
    }
}

/// The place of one refusal in the bound; given back when dropped.
struct RefusalPlace(Arc<Shared>);

impl RefusalPlace {
    fn enter(shared: &Arc<Shared>) -> Self {
        shared.admission.enter_refusal();
        Self(Arc::clone(shared))
    }
}

impl Drop for RefusalPlace {
    fn drop(&mut self) {
        self.0.admission.leave_refusal();
    }
}

fn refuse_on_thread(shared: &Arc<Shared>, request: Request, fault: RequestFault) {
    let place = RefusalPlace::enter(shared);
    let _ = spawn("edge-refuse", SERVICE_STACK_BYTES, move || {
        refuse(&place.0, request, fault);
    });
}

fn serve(place: RequestPlace, mut request: Request) {
    let shared = Arc::clone(&place.0);
    match read_body(&mut request, &shared.settings) {
        Ok(body) => run_handler(&shared, request, body),
        Err(fault) => {
            count_fault(&shared.counters, fault);
            drop(place);
            let _refusal = RefusalPlace::enter(&shared);
            refuse(&shared, request, fault);
        }
    }
}

fn run_handler(shared: &Arc<Shared>, request: Request, body: Vec<u8>) {
    increment(&shared.counters.handled);
    increment(&shared.counters.open_requests);
    let edge_request = EdgeRequest::new(&request, body);
    let counters = Arc::clone(&shared.counters);
    let responder = Responder::new(request, shared.settings.read_timeout, counters);
    let handled = catch_unwind(AssertUnwindSafe(|| {
        shared.handler.handle(edge_request, responder);
    }));
    decrement(&shared.counters.open_requests);
    if handled.is_err() {
        log::error!("a request handler panicked");
    }
}

fn count_fault(counters: &EdgeCounters, fault: RequestFault) {
    match fault {
        RequestFault::BodyTooLong => increment(&counters.refused_body_too_long),
        RequestFault::MalformedLength => increment(&counters.refused_malformed),
        RequestFault::BodyTimedOut => increment(&counters.timed_out),
        RequestFault::BodyCutOff => increment(&counters.broken_requests),
        RequestFault::Overloaded | RequestFault::Stopping => {}
    }
}

/// Writes the refusal first; then `tiny_http` reads the rest of the body away.
fn refuse(shared: &Shared, request: Request, fault: RequestFault) {
    let rest = request.body_length().unwrap_or(0);
    if rest > MAX_DISCARDED_BODY_BYTES {
        return abandon(shared, request, fault);
    }
    if request.respond(refusal_response(shared, fault)).is_err() {
        increment(&shared.counters.clients_gone);
    }
}

/// Answers and then keeps the connection for good: dropping the request would allocate its announced
/// length at once, and end the process where that fails.
fn abandon(shared: &Shared, request: Request, fault: RequestFault) {
    increment(&shared.counters.abandoned_connections);
    let stream = request.upgrade("none", refusal_response(shared, fault));
    std::mem::forget(stream);
}

fn refusal_response(shared: &Shared, fault: RequestFault) -> Response<std::io::Cursor<Vec<u8>>> {
    let response = Response::from_data(fault.json_body()).with_status_code(fault.status());
    let response = with_header(response, "Content-Type", "application/json");
    if !fault.is_temporary() {
        return response;
    }
    let seconds = shared.settings.retry_after.as_secs_f64().ceil().max(1.0);
    with_header(response, "Retry-After", &format!("{seconds:.0}"))
}

fn with_header<R: io::Read>(response: Response<R>, name: &str, value: &str) -> Response<R> {
    match tiny_http::Header::from_bytes(name, value) {
        Ok(header) => response.with_header(header),
        Err(()) => response,
    }
}
