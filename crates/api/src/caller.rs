//! The callers' HTTP interface: routes, headers and bodies that node, testbed and documents share.

use ridgeworks_domain::{CallKey, Cost, InvalidRequest, ProgramName, RunId, Sequence, ServiceName};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// Header with the run that a chat completion belongs to.
pub const RUN_HEADER: &str = "x-ridgeworks-run";
/// Header with the call's key; a repeated request carries the same one.
pub const CALL_HEADER: &str = "x-ridgeworks-call";
/// Header with the call's position in its run, from 1.
pub const SEQUENCE_HEADER: &str = "x-ridgeworks-sequence";
/// Header with the time left until the caller stops waiting, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-ridgeworks-deadline-ms";
/// Header that says whether a second execution does no harm: `true` or `false`.
pub const REPEATABLE_HEADER: &str = "x-ridgeworks-repeatable";
/// Header with the partner's token, as `Bearer TOKEN`.
pub const AUTHORIZATION_HEADER: &str = "authorization";
/// Header of a refusal with the time after which coming back helps, in seconds.
pub const RETRY_AFTER_HEADER: &str = "retry-after";
/// Header of a refusal by which clients of OpenAI's interface decide whether to retry by themselves.
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
    /// The route of a request, with the path up to the query string.
    ///
    /// # Errors
    /// [`InvalidRequest::UnknownRoute`] for a path or method that is not served, and
    /// [`InvalidRequest::InvalidField`] for a run or service that cannot be read.
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

    /// The HTTP method.
    pub fn method(&self) -> &'static str {
        match self {
            Self::RunHistory(_) => GET,
            _ => POST,
        }
    }

    /// The path.
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

/// The token of an `Authorization` header, or `None` if it holds no bearer token.
pub fn bearer_token(authorization: &str) -> Option<&str> {
    let (scheme, token) = authorization.split_once(' ')?;
    let token = token.trim();
    let is_bearer = scheme.eq_ignore_ascii_case(BEARER_SCHEME);
    (is_bearer && !token.is_empty()).then_some(token)
}

/// What the headers of a chat completion say about its call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallHeaders {
    /// The run.
    pub run: RunId,
    /// The call's key.
    pub call: CallKey,
    /// Its position in the run.
    pub sequence: Sequence,
    /// Time left until the caller stops waiting, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Whether a second execution does no harm; a caller who says nothing gets one at most.
    pub repeatable: bool,
}

impl CallHeaders {
    /// Reads the headers with `lookup`, which gives the value of a header by its lower-case name.
    ///
    /// # Errors
    /// The first header that is missing or cannot be read.
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

/// Refuses the number zero, which no call of a run has; `field` names where it came from.
///
/// # Errors
/// [`InvalidRequest::InvalidField`] for zero.
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
    /// Run that opens this one for a sub-agent; its budget is carved from that run's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<RunId>,
}

/// Answer of `POST /v1/runs`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenRunResponse {
    /// The run.
    pub run: RunId,
    /// Its budget.
    pub budget: Cost,
}

/// Answer of `POST /v1/runs/{run}/close`, which takes no body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CloseRunResponse {
    /// The run.
    pub run: RunId,
    /// What it spent.
    pub spent: Cost,
}

/// Body of `POST /v1/services/{service}/calls`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceCallRequest {
    /// The run.
    pub run: RunId,
    /// The call's key; a repeated request carries the same one.
    pub call: CallKey,
    /// Its position in the run.
    pub sequence: Sequence,
    /// Whether a second execution does no harm; a caller who says nothing gets one at most.
    #[serde(default)]
    pub repeatable: bool,
    /// Time left until the caller stops waiting, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Arguments of the tool or notice, byte for byte as the back end gets them.
    pub arguments: Box<RawValue>,
}

/// Answer of `POST /v1/services/{service}/calls`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServiceCallResponse {
    /// The back end's answer, byte for byte.
    pub result: Box<RawValue>,
}

/// Where a run stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// Takes calls.
    Open,
    /// Takes no more calls.
    Closed,
}

/// How a call ended, or that it has not ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallOutcome {
    /// Accepted; no attempt has been sent.
    Accepted,
    /// An attempt was sent; its end is not recorded yet.
    Dispatched,
    /// The back end answered.
    Finished,
    /// The call did not run and can no longer run.
    NotRun,
    /// The call may have run; its answer is not to be had.
    Unknown,
}

/// Answer of `GET /v1/runs/{run}/history`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunHistoryResponse {
    /// The run.
    pub run: RunId,
    /// Program that it was opened from.
    pub program: ProgramName,
    /// Where it stands.
    pub state: RunState,
    /// Its budget.
    pub budget: Cost,
    /// What its ended calls cost; a call of unknown outcome counts with its whole reserve.
    pub spent: Cost,
    /// Its calls in order of their sequence numbers, without gaps.
    pub calls: Vec<HistoryCall>,
}

/// One call in a run's history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryCall {
    /// Position in the run.
    pub sequence: Sequence,
    /// The caller's key.
    pub call: CallKey,
    /// Service that it went to.
    pub service: ServiceName,
    /// How it ended.
    pub outcome: CallOutcome,
    /// What it cost; zero until it ended.
    pub cost: Cost,
    /// Digest of the request body, in lower-case hexadecimal.
    pub request_digest: String,
    /// Digest of the answer, in lower-case hexadecimal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer_digest: Option<String>,
    /// Request body.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// Whole answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub answer: Option<String>,
}
