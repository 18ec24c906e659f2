//! From a received request to its handler, or to its refusal.

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use ridgeworks_worker_pool::{WorkerPool, spawn_detached};
use tiny_http::{Request, Server};

use crate::acceptor::SERVICE_STACK_BYTES;
use crate::admission::Admission;
use crate::body::{HeldRequest, read_body};
use crate::counters::{EdgeCounters, decrement, increment};
use crate::error::RequestFault;
use crate::request::EdgeRequest;
use crate::responder::Responder;
use crate::server::Handler;
use crate::settings::EdgeSettings;

/// What all threads of one edge share.
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

/// Decides between a handler's thread and a refusal. Never reads or writes on this thread: a slow
/// client would hold up all others.
pub(crate) fn admit(shared: &Arc<Shared>, request: Request) {
    increment(&shared.counters.received);
    let request = HeldRequest::new(request, Arc::clone(&shared.counters));
    if shared.stopping.load(Ordering::SeqCst) {
        increment(&shared.counters.refused_stopping);
        return refuse_on_thread(shared, request, RequestFault::Stopping);
    }
    if !shared.admission.try_enter_request() {
        increment(&shared.counters.refused_overload);
        return refuse_on_thread(shared, request, RequestFault::Overloaded);
    }
    let place = RequestPlace(Arc::clone(shared));
    let started = shared.handlers.run(move || serve(place, request));
    if started.is_err() {
        // The request was dropped with the closure, and a dropped request answers 500.
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

fn refuse_on_thread(shared: &Arc<Shared>, request: HeldRequest, fault: RequestFault) {
    let place = RefusalPlace::enter(shared);
    let started = spawn_detached("edge-refuse", SERVICE_STACK_BYTES, move || {
        refuse(&place.0, request, fault);
    });
    if started.is_err() {
        increment(&shared.counters.unanswered);
    }
}

fn serve(place: RequestPlace, mut request: HeldRequest) {
    let shared = Arc::clone(&place.0);
    let Some(received) = request.get_mut() else {
        return;
    };
    match read_body(received, &shared.settings) {
        Ok(body) => run_handler(&shared, request, body),
        Err(fault) => {
            count_fault(&shared.counters, fault);
            drop(place);
            let _place = RefusalPlace::enter(&shared);
            refuse(&shared, request, fault);
        }
    }
}

fn run_handler(shared: &Arc<Shared>, request: HeldRequest, body: Vec<u8>) {
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
        RequestFault::BodyTooLong => increment(&counters.refused_body_too_long),
        RequestFault::MalformedLength => increment(&counters.refused_malformed),
        RequestFault::BodyTimedOut => increment(&counters.timed_out),
        RequestFault::BodyCutOff => increment(&counters.broken_requests),
        RequestFault::Overloaded | RequestFault::Stopping | RequestFault::Unanswered => {}
    }
}

/// Writes the refusal first; then `tiny_http` reads the rest of the body away.
fn refuse(shared: &Shared, request: HeldRequest, fault: RequestFault) {
    let answer = shared
        .handler
        .fault_response(fault, request.path(), &shared.settings);
    if request.refuse(answer).is_err() {
        increment(&shared.counters.client_disconnects);
    }
}
