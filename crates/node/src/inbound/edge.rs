//! Routes HTTP requests. Each runs on a thread of its own, hands a typed request to the actor thread
//! and writes the answers that come back.

use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, RecvTimeoutError, bounded};
use ridgeworks_api::caller::{AUTHORIZATION_HEADER, CallerRoute, bearer_token};
use ridgeworks_api::operator::SERVICE_PATH;
use ridgeworks_domain::{Refusal, RefusalReason};
use ridgeworks_http_edge::{EdgeRequest, Handler, Method, Responder};
use sha2::{Digest, Sha256};

use super::answer::{refuse, respond_json};
use super::caller_request::{CallerCommand, CallerRequest};
use super::{chat, runs, service_call};
use crate::mailbox::Mailbox;
use crate::message::OwnerAnswer;
use crate::operator;
use crate::thread_message::ThreadMessage;

const HEALTH_PATH: &str = "/health";
const HEALTH_BODY: &[u8] = br#"{"status":"serving"}"#;
const OK: u16 = 200;
/// Answers that may wait for a slow caller before the actor thread has to wait for it; above it the
/// caller's request ends.
const MAX_WAITING_ANSWERS: usize = 4_096;
/// The actor thread answers every request by its deadline; this much later its thread gives up.
const GRACE: Duration = Duration::from_secs(2);
const LOST_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Answers to one request, as its thread receives them.
pub type Answer = Result<OwnerAnswer, Refusal>;

/// The HTTP side of the node.
pub struct Edge {
    mailbox: Mailbox<ThreadMessage>,
    default_deadline: Duration,
}

impl Edge {
    /// An edge whose requests go to `mailbox`; calls without a deadline of their own get the default.
    pub fn new(mailbox: Mailbox<ThreadMessage>, default_deadline: Duration) -> Self {
        Self {
            mailbox,
            default_deadline,
        }
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
        let (sender, receiver) = bounded(MAX_WAITING_ANSWERS);
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

    fn route(&self, request: &EdgeRequest, responder: Responder) {
        let method = method_name(&request.method);
        match CallerRoute::from_request(method, &request.path) {
            Ok(CallerRoute::OpenRun) => runs::open(self, request, responder),
            Ok(CallerRoute::CloseRun(run)) => runs::close(self, request, run, responder),
            Ok(CallerRoute::RunHistory(run)) => runs::history(self, request, run, responder),
            Ok(CallerRoute::ChatCompletions) => chat::complete(self, request, responder),
            Ok(CallerRoute::ServiceCall(service)) => {
                service_call::call(self, request, service, responder);
            }
            Err(invalid) => {
                let reason = RefusalReason::InvalidRequest(invalid);
                refuse(responder, &Refusal::permanent(reason));
            }
        }
    }
}

impl Handler for Edge {
    fn handle(&self, request: EdgeRequest, responder: Responder) {
        if request.path == HEALTH_PATH {
            respond_json(responder, OK, HEALTH_BODY);
        } else if request.path.starts_with(SERVICE_PATH) {
            operator::serve(self, &request, responder);
        } else {
            self.route(&request, responder);
        }
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
