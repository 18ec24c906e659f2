//! The callers' HTTP interface: routes, headers and bodies.

use ridgeworks_domain::{CallKey, Cost, InvalidRequest, ProgramName, RunId, Sequence, ServiceName};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// Header with the run that a chat completion belongs to.
pub const RUN_HEADER: &str = "x-ridgeworks-run";
/// Header with the call's idempotency key; a retry carries the same key.
pub const CALL_HEADER: &str = "x-ridgeworks-call";
/// Header with the call's sequence number in its run, counted from 1.
pub const SEQUENCE_HEADER: &str = "x-ridgeworks-sequence";
/// Header with the time until the caller stops waiting, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-ridgeworks-deadline-ms";
/// Header that states whether the call may be executed more than once: `true` or `false`.
pub const REPEATABLE_HEADER: &str = "x-ridgeworks-repeatable";
/// Header with the partner's token, as `Bearer TOKEN`.
pub const AUTHORIZATION_HEADER: &str = "authorization";
/// Header of a refusal with the retry delay, in seconds.
pub const RETRY_AFTER_HEADER: &str = "retry-after";
/// Header of a refusal that tells OpenAI client libraries whether to retry automatically.
pub const SHOULD_RETRY_HEADER: &str = "x-should-retry";

const BEARER_SCHEME: &str = "bearer";
const POST: &str = "POST";
const GET: &str = "GET";

/// A route of the interface.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerRoute {
    /// `POST /v1/runs`
    OpenRun,
    /// `POST /v1/runs/{run}/close`
    CloseRun(RunId),
    /// `GET /v1/runs/{run}/history`
    RunHistory(RunId),
    /// `POST /v1/chat/completions`
    ChatCompletions,
    /// `POST /v1/services/{service}/calls`
    ServiceCall(ServiceName),
}

impl CallerRoute {
    /// Returns the route of a request; `path` excludes the query.
    ///
    /// # Errors
    /// Returns [`InvalidRequest::UnknownRoute`] for an unknown path or method, and
    /// [`InvalidRequest::InvalidField`] for a malformed run or service.
    pub fn from_request(method: &str, path: &str) -> Result<Self, InvalidRequest> {
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        match (method, segments.as_slice()) {
            (POST, ["v1", "runs"]) => Ok(Self::OpenRun),
            (POST, ["v1", "runs", run, "close"]) => parse("run", run).map(Self::CloseRun),
            (GET, ["v1", "runs", run, "history"]) => parse("run", run).map(Self::RunHistory),
            (POST, ["v1", "chat", "completions"]) => Ok(Self::ChatCompletions),
            (POST, ["v1", "services", service, "calls"]) => {
                parse("service", service).map(Self::ServiceCall)
            }
            _ => Err(InvalidRequest::UnknownRoute),
        }
    }

    /// Returns the HTTP method of the route.
    pub fn method(&self) -> &'static str {
        match self {
            Self::RunHistory(_) => GET,
            _ => POST,
        }
    }

    /// Returns the path of the route.
    pub fn path(&self) -> String {
        match self {
            Self::OpenRun => "/v1/runs".to_owned(),
            Self::CloseRun(run) => format!("/v1/runs/{run}/close"),
            Self::RunHistory(run) => format!("/v1/runs/{run}/history"),
            Self::ChatCompletions => "/v1/chat/completions".to_owned(),
            Self::ServiceCall(service) => format!("/v1/services/{service}/calls"),
        }
    }
}

fn parse<T: std::str::FromStr>(field: &str, text: &str) -> Result<T, InvalidRequest> {
    text.parse().map_err(|_| InvalidRequest::InvalidField {
        field: field.to_owned(),
    })
}

/// Returns the token of an `Authorization` header, or `None` if it contains no bearer token.
pub fn bearer_token(authorization: &str) -> Option<&str> {
    let (scheme, token) = authorization.split_once(' ')?;
    let token = token.trim();
    let is_bearer = scheme.eq_ignore_ascii_case(BEARER_SCHEME);
    (is_bearer && !token.is_empty()).then_some(token)
}

/// Properties of a call, from the headers of a chat completion request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallHeaders {
    /// Run that the call belongs to.
    pub run: RunId,
    /// Idempotency key of the call.
    pub call: CallKey,
    /// Sequence number of the call in its run.
    pub sequence: Sequence,
    /// Time until the caller stops waiting, in milliseconds; `None` without a deadline.
    pub deadline_ms: Option<u64>,
    /// Whether the call may be executed more than once; false by default.
    pub repeatable: bool,
}

impl CallHeaders {
    /// Parses the headers. `lookup` returns the value of a header for its lower-case name.
    ///
    /// # Errors
    /// Returns the first header that is missing or malformed.
    pub fn read<'a>(
        lookup: impl Fn(&'static str) -> Option<&'a str>,
    ) -> Result<Self, InvalidRequest> {
        Ok(Self {
            run: required(&lookup, RUN_HEADER)?,
            call: required(&lookup, CALL_HEADER)?,
            sequence: checked_sequence(
                Sequence(required(&lookup, SEQUENCE_HEADER)?),
                SEQUENCE_HEADER,
            )?,
            deadline_ms: optional(&lookup, DEADLINE_HEADER)?,
            repeatable: optional(&lookup, REPEATABLE_HEADER)?.unwrap_or(false),
        })
    }
}

/// Checks that a sequence number is not zero, because sequence numbers start at 1.
///
/// # Errors
/// Returns [`InvalidRequest::InvalidField`] with the name `field` for zero.
pub fn checked_sequence(sequence: Sequence, field: &str) -> Result<Sequence, InvalidRequest> {
    if sequence.0 == 0 {
        let field = field.to_owned();
        return Err(InvalidRequest::InvalidField { field });
    }
    Ok(sequence)
}

fn optional<'a, T: std::str::FromStr>(
    lookup: &impl Fn(&'static str) -> Option<&'a str>,
    header: &'static str,
) -> Result<Option<T>, InvalidRequest> {
    lookup(header)
        .map(|value| parse(header, value.trim()))
        .transpose()
}

fn required<'a, T: std::str::FromStr>(
    lookup: &impl Fn(&'static str) -> Option<&'a str>,
    header: &'static str,
) -> Result<T, InvalidRequest> {
    optional(lookup, header)?.ok_or(InvalidRequest::MissingField {
        field: header.to_owned(),
    })
}

/// Body of `POST /v1/runs`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OpenRunRequest {
    /// Program that the run is opened from.
    pub program: ProgramName,
    /// Parent run, if the new run is for a sub-agent; the new run's budget is taken from the parent's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<RunId>,
}

/// Response of `POST /v1/runs`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenRunResponse {
    /// Identifier of the opened run.
    pub run: RunId,
    /// Budget of the run.
    pub budget: Cost,
}

/// Response of `POST /v1/runs/{run}/close`, whose request has no body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CloseRunResponse {
    /// Run that was closed.
    pub run: RunId,
    /// Total cost of the run.
    pub spent: Cost,
}

/// Body of `POST /v1/services/{service}/calls`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceCallRequest {
    /// Run that the call belongs to.
    pub run: RunId,
    /// Idempotency key of the call; a retry carries the same key.
    pub call: CallKey,
    /// Sequence number of the call in its run.
    pub sequence: Sequence,
    /// Whether the call may be executed more than once; false by default.
    #[serde(default)]
    pub repeatable: bool,
    /// Time until the caller stops waiting, in milliseconds; `None` without a deadline.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Arguments of the tool or notice, passed to the back end byte for byte.
    pub arguments: Box<RawValue>,
}

/// Response of `POST /v1/services/{service}/calls`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServiceCallResponse {
    /// Response body of the back end, byte for byte.
    pub result: Box<RawValue>,
}

/// State of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The run accepts calls.
    Open,
    /// The run accepts no more calls.
    Closed,
}

/// Outcome or progress of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// The call was accepted; no attempt was sent yet.
    Accepted,
    /// An attempt was sent; its outcome is not recorded yet.
    Dispatched,
    /// The back end answered.
    Finished,
    /// The call did not run and cannot run later.
    NotRun,
    /// The call may have run; its answer cannot be obtained.
    Unknown,
}

/// Response of `GET /v1/runs/{run}/history`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunHistoryResponse {
    /// Run whose history this is.
    pub run: RunId,
    /// Program that the run was opened from.
    pub program: ProgramName,
    /// Whether the run accepts calls.
    pub state: RunState,
    /// Budget of the run.
    pub budget: Cost,
    /// Total cost of the ended calls; a call with unknown outcome counts with its whole reserve.
    pub spent: Cost,
    /// Calls in the order of their sequence numbers, without gaps.
    pub calls: Vec<HistoryCall>,
}

/// One call in a run's history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryCall {
    /// Sequence number of the call.
    pub sequence: Sequence,
    /// Idempotency key chosen by the caller.
    pub call: CallKey,
    /// Service that the call was sent to.
    pub service: ServiceName,
    /// Outcome, or progress if the call has not ended.
    pub outcome: CallOutcome,
    /// Cost of the call; zero until it has ended.
    pub cost: Cost,
    /// 64-bit XXH3 digest of the request body, as 16 lower-case hexadecimal digits.
    pub request_digest: String,
    /// 64-bit XXH3 digest of the answer, as 16 lower-case hexadecimal digits; `None` if no answer is
    /// recorded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer_digest: Option<String>,
    /// Request body, if included in the history.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// Complete answer, if included in the history.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<String>,
}
