//! Serves one request of an operator on its own thread.

use std::time::Duration;

use crossbeam_channel::bounded;
use ridgeworks_api::caller::{AUTHORIZATION_HEADER, RETRY_AFTER_HEADER, bearer_token};
use ridgeworks_api::connect::{HttpResponse, PROTOCOL_VERSION_HEADER, RequestHead, encode_error};
use ridgeworks_api::{ConnectError, OperatorMethod, OperatorRequest, OperatorResponse};
use ridgeworks_domain::{Refusal, RefusalReason};
use ridgeworks_http_edge::{EdgeRequest, Header, Method, Responder};

use super::desk::{OperatorReply, OperatorRequestMessage, OperatorWork};
use super::{changes, objects, runs, status, watch};
use crate::inbound::{Edge, token_digest};
use crate::thread_message::ThreadMessage;

const CONTENT_TYPE_HEADER: &str = "content-type";
const CONTENT_ENCODING_HEADER: &str = "content-encoding";
/// Longer than the configuration role takes to give a request up.
const REPLY_TIMEOUT: Duration = Duration::from_secs(15);
const RETRY_AFTER_MS: u64 = 1_000;

/// An operator's request with what answers it.
pub struct Session<'a> {
    edge: &'a Edge,
    request: &'a EdgeRequest,
    token_sha256: String,
}

impl<'a> Session<'a> {
    fn new(edge: &'a Edge, request: &'a EdgeRequest) -> Result<Self, ConnectError> {
        let token = request
            .header(AUTHORIZATION_HEADER)
            .and_then(bearer_token)
            .ok_or(ConnectError::Unauthenticated)?;
        Ok(Self {
            edge,
            request,
            token_sha256: token_digest(token),
        })
    }

    /// The edge that took the request.
    pub fn edge(&self) -> &Edge {
        self.edge
    }

    /// The request as it came.
    pub fn request(&self) -> &EdgeRequest {
        self.request
    }

    /// Asks the actor thread and waits for its reply.
    pub fn ask(&self, work: OperatorWork) -> Result<OperatorReply, ConnectError> {
        let (replies, receiver) = bounded(1);
        let message = OperatorRequestMessage {
            token_sha256: self.token_sha256.clone(),
            work,
            replies,
        };
        self.edge.post(ThreadMessage::Operator(message));
        match receiver.recv_timeout(REPLY_TIMEOUT) {
            Ok(OperatorReply::Refused(refusal)) => Err(refused(refusal)),
            Ok(reply) => Ok(reply),
            Err(_) => Err(ConnectError::NotReady {
                retry_after_ms: RETRY_AFTER_MS,
            }),
        }
    }
}

/// Answers one request.
pub fn serve(edge: &Edge, request: &EdgeRequest, responder: Responder) {
    let content_type = request.header(CONTENT_TYPE_HEADER).unwrap_or_default();
    let answer = answer(edge, request)
        .and_then(|response| response.encode(content_type))
        .unwrap_or_else(|error| encode_error(&error));
    respond(responder, &answer);
}

fn answer(edge: &Edge, request: &EdgeRequest) -> Result<OperatorResponse, ConnectError> {
    if request.method != Method::Post {
        return Err(ConnectError::UnknownMethod);
    }
    let method = OperatorMethod::from_path(&request.path)?;
    let head = RequestHead {
        content_type: request.header(CONTENT_TYPE_HEADER),
        content_encoding: request.header(CONTENT_ENCODING_HEADER),
        protocol_version: request.header(PROTOCOL_VERSION_HEADER),
    };
    let decoded = OperatorRequest::decode(method, &head, &request.body)?;
    let session = Session::new(edge, request)?;
    dispatch(&session, decoded)
}

fn dispatch(
    session: &Session<'_>,
    request: OperatorRequest,
) -> Result<OperatorResponse, ConnectError> {
    match request {
        OperatorRequest::Apply(request) => {
            changes::apply(session, &request).map(OperatorResponse::Apply)
        }
        OperatorRequest::Get(request) => objects::get(session, &request).map(OperatorResponse::Get),
        OperatorRequest::List(request) => {
            objects::list(session, &request).map(OperatorResponse::List)
        }
        OperatorRequest::Delete(request) => {
            changes::delete(session, &request).map(OperatorResponse::Delete)
        }
        OperatorRequest::ProposeShares(request) => {
            changes::propose(session, &request).map(OperatorResponse::ProposeShares)
        }
        OperatorRequest::ConsentShares(request) => {
            changes::consent(session, &request).map(OperatorResponse::ConsentShares)
        }
        OperatorRequest::WatchChanges(request) => {
            watch::watch(session, &request).map(OperatorResponse::WatchChanges)
        }
        OperatorRequest::Status(_) => status::status(session).map(OperatorResponse::Status),
        OperatorRequest::NodeStatus(_) => {
            status::node_status(session).map(OperatorResponse::NodeStatus)
        }
        OperatorRequest::Drain(request) => {
            status::drain(session, &request).map(OperatorResponse::Drain)
        }
        OperatorRequest::GetRun(request) => {
            runs::get(session, &request).map(OperatorResponse::GetRun)
        }
        // Listing runs needs an index by partner that replicas do not keep yet.
        OperatorRequest::ListRuns(_) => Err(ConnectError::UnknownMethod),
    }
}

fn respond(responder: Responder, answer: &HttpResponse) {
    let mut headers = Vec::new();
    if let Some(seconds) = answer.retry_after_seconds {
        headers.push(Header::new(RETRY_AFTER_HEADER, seconds.to_string()));
    }
    // An operator that left is told nothing.
    let _ = responder.respond_with(answer.status, answer.content_type, &headers, &answer.body);
}

/// A refusal in the operators' words.
pub fn refused(refusal: Refusal) -> ConnectError {
    match refusal.reason {
        RefusalReason::Unauthenticated => ConnectError::Unauthenticated,
        RefusalReason::Forbidden => ConnectError::Forbidden,
        RefusalReason::UnknownRun => ConnectError::RunNotFound,
        RefusalReason::ConfigurationStale => ConnectError::NotReady {
            retry_after_ms: refusal.retry_after_ms.unwrap_or(RETRY_AFTER_MS),
        },
        _ => ConnectError::Refused(refusal),
    }
}

/// A reply that belongs to another question.
pub fn unexpected_reply() -> ConnectError {
    ConnectError::NotReady {
        retry_after_ms: RETRY_AFTER_MS,
    }
}
