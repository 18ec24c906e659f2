//! Passes received requests to the handler, or refuses them.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use ridgeworks_worker_pool::{WorkerPool, spawn_detached};
use tiny_http::{Request, Server};

use crate::acceptor::SERVICE_STACK_BYTES;
use crate::admission::Admission;
use crate::body::{GuardedRequest, read_body};
use crate::counters::{EdgeCounters, decrement, increment};
use crate::error::RequestFault;
use crate::request::EdgeRequest;
use crate::responder::Responder;
use crate::server::Handler;
use crate::settings::EdgeSettings;

/// State shared by all threads of one edge.
pub(crate) struct Shared {
    pub settings: EdgeSettings,
    pub handler: Arc<dyn Handler>,
    pub admission: Admission,
    pub handlers: WorkerPool,
    pub counters: Arc<EdgeCounters>,
    pub stopping: AtomicBool,
    pub listener_closed: AtomicBool,
    pub closed: AtomicBool,
    pub servers: Mutex<Vec<Arc<Server>>>,
}

/// Runs the handler on a thread of the pool, or refuses the request on another thread. Unless a thread
/// cannot be started, the calling thread does no socket I/O, because a slow client would block all others.
/// If the request must be refused, it waits while the limit of concurrent refusals is reached.
pub(crate) fn admit(shared: &Arc<Shared>, request: Request) {
    increment(&shared.counters.received);
    let request = GuardedRequest::new(request, Arc::clone(&shared.counters));
    if shared.stopping.load(Ordering::SeqCst) {
        increment(&shared.counters.refused_stopping);
        return refuse_on_thread(shared, request, RequestFault::Stopping);
    }
    if !shared.admission.try_acquire_request() {
        increment(&shared.counters.refused_overload);
        return refuse_on_thread(shared, request, RequestFault::Overloaded);
    }
    let permit = RequestPermit(Arc::clone(shared));
    let started = shared.handlers.run(move || serve(permit, request));
    if started.is_err() {
        // The closure dropped the request, which makes `tiny_http` respond with status 500, unless
        // `GuardedRequest` leaked the request because of its declared length.
        increment(&shared.counters.unanswered);
    }
}

/// Permit of one in-flight request; released when dropped.
struct RequestPermit(Arc<Shared>);

impl Drop for RequestPermit {
    fn drop(&mut self) {
        self.0.admission.release_request();
    }
}

/// Permit of one in-flight refusal; released when dropped.
struct RefusalPermit(Arc<Shared>);

impl RefusalPermit {
    fn acquire(shared: &Arc<Shared>) -> Self {
        shared.admission.acquire_refusal();
        Self(Arc::clone(shared))
    }
}

impl Drop for RefusalPermit {
    fn drop(&mut self) {
        self.0.admission.release_refusal();
    }
}

fn refuse_on_thread(shared: &Arc<Shared>, request: GuardedRequest, fault: RequestFault) {
    let permit = RefusalPermit::acquire(shared);
    let started = spawn_detached("edge-refuse", SERVICE_STACK_BYTES, move || {
        refuse(&permit.0, request, fault);
    });
    if started.is_err() {
        increment(&shared.counters.unanswered);
    }
}

fn serve(permit: RequestPermit, mut request: GuardedRequest) {
    let shared = Arc::clone(&permit.0);
    let Some(received) = request.get_mut() else {
        return;
    };
    match read_body(received, &shared.settings) {
        Ok(body) => run_handler(&shared, request, body),
        Err(fault) => {
            count_fault(&shared.counters, fault);
            drop(permit);
            let _permit = RefusalPermit::acquire(&shared);
            refuse(&shared, request, fault);
        }
    }
}

fn run_handler(shared: &Arc<Shared>, request: GuardedRequest, body: Vec<u8>) {
    let Some(request) = request.into_request() else {
        return;
    };
    increment(&shared.counters.handled);
    increment(&shared.counters.open_requests);
    let edge_request = EdgeRequest::new(&request, body);
    let responder = Responder::new(request, Arc::clone(shared));
    let handled = catch_unwind(AssertUnwindSafe(|| {
        shared.handler.handle(edge_request, responder);
    }));
    decrement(&shared.counters.open_requests);
    if handled.is_err() {
        increment(&shared.counters.handler_panics);
    }
}

fn count_fault(counters: &EdgeCounters, fault: RequestFault) {
    match fault {
        RequestFault::BodyTooLarge => increment(&counters.refused_body_too_long),
        RequestFault::MalformedLength => increment(&counters.refused_malformed),
        RequestFault::BodyTimedOut => increment(&counters.timed_out),
        RequestFault::BodyCutOff => increment(&counters.broken_requests),
        RequestFault::Overloaded | RequestFault::Stopping | RequestFault::Unanswered => {}
    }
}

/// Sends the handler's response for `fault` without reading the rest of the body first.
fn refuse(shared: &Shared, request: GuardedRequest, fault: RequestFault) {
    let response = shared
        .handler
        .fault_response(fault, request.path(), &shared.settings);
    if request.refuse(response).is_err() {
        increment(&shared.counters.client_disconnects);
    }
}
