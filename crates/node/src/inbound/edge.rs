//! Routes HTTP requests. Each runs on a thread of its own, hands a typed request to the actor thread
//! and writes the answers that come back.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError, unbounded};
use ridgeworks_api::caller::{AUTHORIZATION_HEADER, CallerRoute, bearer_token};
use ridgeworks_api::operator::SERVICE_PATH;
use ridgeworks_domain::{InvalidRequest, Refusal, RefusalReason};
use ridgeworks_http_edge::{
    EdgeRequest, EdgeSettings, FaultResponse, Handler, Method, RequestFault, Responder,
};
use sha2::{Digest, Sha256};

use super::answer::{refuse, respond_json};
use super::caller_request::{CallerCommand, CallerRequest};
use super::{chat, fault, runs, service_call};
use crate::mailbox::Mailbox;
use crate::message::OwnerAnswer;
use crate::metrics::labels::Route;
use crate::metrics::{self, Metrics};
use crate::operator;
use crate::thread_message::ThreadMessage;

const HEALTH_PATH: &str = "/health";
const METRICS_PATH: &str = "/metrics";
const HEALTH_BODY: &[u8] = br#"{"status":"serving"}"#;
const OK: u16 = 200;
/// The actor thread answers every request by its deadline; this much later its thread gives up.
const GRACE: Duration = Duration::from_secs(2);
const LOST_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Answers to one request, as its thread receives them.
pub type Answer = Result<OwnerAnswer, Refusal>;

/// The HTTP side of the node.
pub struct Edge {
    mailbox: Mailbox<ThreadMessage>,
    default_deadline: Duration,
    metrics: Arc<Metrics>,
}

impl Edge {
    /// An edge whose requests go to `mailbox`; calls without a deadline of their own get the default.
    pub fn new(
        mailbox: Mailbox<ThreadMessage>,
        default_deadline: Duration,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            mailbox,
            default_deadline,
            metrics,
        }
    }

    /// The node's counters.
    pub(crate) fn metrics(&self) -> Arc<Metrics> {
        Arc::clone(&self.metrics)
    }

    /// Sends a refusal and counts it.
    pub(crate) fn refuse(&self, responder: Responder, refusal: &Refusal) {
        self.metrics.count_refusal(refusal);
        refuse(responder, refusal);
    }

    /// Hands a request to the actor thread.
    pub(crate) fn submit(
        &self,
        request: &EdgeRequest,
        command: CallerCommand,
        deadline_ms: Option<u64>,
    ) -> Result<Answers, Refusal> {
        let token = request
            .header(AUTHORIZATION_HEADER)
            .and_then(bearer_token)
            .ok_or(Refusal::permanent(RefusalReason::Unauthenticated))?;
        let wait = deadline_ms.map_or(self.default_deadline, Duration::from_millis);
        let deadline = Instant::now() + wait.min(self.default_deadline);
        // The gateway bounds what waits in it; a bounded channel would take its whole memory at once.
        let (sender, receiver) = unbounded();
        self.mailbox.post(ThreadMessage::Caller {
            request: CallerRequest {
                token_sha256: token_digest(token),
                command,
                deadline,
            },
            answers: sender,
        });
        Ok(Answers { receiver, deadline })
    }

    /// Hands a message to the actor thread.
    pub(crate) fn post(&self, message: ThreadMessage) {
        self.mailbox.post(message);
    }

    /// Answers a request and tells its route.
    fn answer(&self, request: &EdgeRequest, responder: Responder) -> Route {
        match (&request.method, request.path.as_str()) {
            (Method::Get | Method::Head, HEALTH_PATH) => {
                respond_json(responder, OK, HEALTH_BODY);
                Route::Health
            }
            (Method::Get | Method::Head, METRICS_PATH) => {
                let text = self.metrics.text();
                // A client that left is told nothing.
                let _ = responder.respond_with(OK, metrics::CONTENT_TYPE, &[], text.as_bytes());
                Route::Metrics
            }
            (_, path) if path.starts_with(SERVICE_PATH) => {
                operator::serve(self, request, responder);
                Route::Operator
            }
            _ => self.answer_caller(request, responder),
        }
    }

    fn answer_caller(&self, request: &EdgeRequest, responder: Responder) -> Route {
        let method = method_name(&request.method);
        let route = CallerRoute::from_request(method, &request.path);
        let label = route.as_ref().map_or(Route::Unknown, Route::from);
        self.serve_caller(route, request, responder);
        label
    }

    fn serve_caller(
        &self,
        route: Result<CallerRoute, InvalidRequest>,
        request: &EdgeRequest,
        responder: Responder,
    ) {
        match route {
            Ok(CallerRoute::OpenRun) => runs::open(self, request, responder),
            Ok(CallerRoute::CloseRun(run)) => runs::close(self, request, run, responder),
            Ok(CallerRoute::RunHistory(run)) => runs::history(self, request, run, responder),
            Ok(CallerRoute::ChatCompletions) => chat::complete(self, request, responder),
            Ok(CallerRoute::ServiceCall(service)) => {
                service_call::call(self, request, service, responder);
            }
            Err(invalid) => {
                let reason = RefusalReason::InvalidRequest(invalid);
                self.refuse(responder, &Refusal::permanent(reason));
            }
        }
    }
}

impl Handler for Edge {
    fn handle(&self, request: EdgeRequest, responder: Responder) {
        let status = responder.status();
        let route = self.answer(&request, responder);
        // A client that left before the answer got no status.
        self.metrics
            .count_request(route, status.get().unwrap_or_default());
    }

    fn fault_response(
        &self,
        fault: RequestFault,
        path: &str,
        settings: &EdgeSettings,
    ) -> FaultResponse {
        self.metrics.count_refusal(&fault::refusal(fault, settings));
        fault::fault_response(fault, path, settings)
    }
}

/// The answers to one request.
pub struct Answers {
    receiver: Receiver<Answer>,
    deadline: Instant,
}

impl Answers {
    /// Waits for the next answer.
    pub fn next(&self) -> Answer {
        match self.receiver.recv_deadline(self.deadline + GRACE) {
            Ok(answer) => answer,
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => Err(
                Refusal::retry_after(RefusalReason::Unknown, LOST_RETRY_DELAY),
            ),
        }
    }
}

fn method_name(method: &Method) -> &str {
    match method {
        Method::Get => "GET",
        Method::Head => "HEAD",
        Method::Post => "POST",
        Method::Put => "PUT",
        Method::Delete => "DELETE",
        Method::Other(name) => name,
    }
}

/// SHA-256 of a token in lower-case hexadecimal, as the configuration keeps it.
pub fn token_digest(token: &str) -> String {
    Sha256::digest(token.as_bytes())
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}
