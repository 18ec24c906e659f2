//! Client of the operators' interface, with failover between several servers.
//!
//! A request is sent to the servers in turn, for a limited number of rounds, until one sends a usable
//! response without the error code `unavailable`. Every method can be retried: reads change nothing,
//! changes of the configuration carry an operation identifier, which makes them idempotent, and a repeated
//! `Drain` has no effect on a node that is already stopping.

use std::thread;
use std::time::Duration;

use prost::Message;
use ureq::http::Response;
use ureq::{Agent, Body};

pub use crate::client_error::{ClientError, TransportError};
use crate::connect::{BodyFormat, PROTOCOL_VERSION, PROTOCOL_VERSION_HEADER, TIMEOUT_HEADER};
use crate::connect_code::ConnectCode;
use crate::error_body::ErrorBody;
use crate::operator::OperatorMethod;
use crate::v1;

const MAX_RESPONSE_BYTES: u64 = 64 << 20;
const AUTHORIZATION_HEADER: &str = "authorization";
const CONTENT_TYPE_HEADER: &str = "content-type";
const FIRST_HTTP_ERROR_STATUS: u16 = 300;
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const DEFAULT_RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
const DEFAULT_ROUNDS: u32 = 3;
const DEFAULT_ROUND_DELAY: Duration = Duration::from_millis(200);

/// Servers, credentials and timeouts of a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientSettings {
    /// Base addresses such as `http://10.0.0.1:7000`, tried in this order.
    pub servers: Vec<String>,
    /// The partner's token.
    pub token: String,
    /// Maximum time to establish a connection.
    pub connect_timeout: Duration,
    /// Maximum time of one attempt, from connecting to the end of the response; the waiting time of a long
    /// poll is added to it.
    pub response_timeout: Duration,
    /// Maximum number of rounds; each round tries all servers in order.
    pub rounds: u32,
    /// Delay between two rounds.
    pub round_delay: Duration,
}

impl ClientSettings {
    /// Creates settings with the default timeouts and retries.
    pub fn new(servers: Vec<String>, token: String) -> Self {
        Self {
            servers,
            token,
            connect_timeout: DEFAULT_CONNECT_TIMEOUT,
            response_timeout: DEFAULT_RESPONSE_TIMEOUT,
            rounds: DEFAULT_ROUNDS,
            round_delay: DEFAULT_ROUND_DELAY,
        }
    }
}

/// A client of the operators' interface.
#[derive(Debug)]
pub struct OperatorClient {
    settings: ClientSettings,
    agent: Agent,
}

macro_rules! client_methods {
    ($($(#[$documentation:meta])* $function:ident: $method:ident($request:ident) -> $response:ident;)*) => {
        impl OperatorClient {
            $(
                $(#[$documentation])*
                pub fn $function(
                    &self,
                    request: &v1::$request,
                ) -> Result<v1::$response, ClientError> {
                    self.call(OperatorMethod::$method, request, self.settings.response_timeout)
                }
            )*
        }
    };
}

client_methods! {
    /// Creates or replaces an object.
    apply: Apply(ApplyRequest) -> ApplyResponse;
    /// Reads one object.
    get: Get(GetRequest) -> GetResponse;
    /// Reads all objects of one kind.
    list: List(ListRequest) -> ListResponse;
    /// Deletes an object.
    delete: Delete(DeleteRequest) -> DeleteResponse;
    /// Proposes a new pool split.
    propose_shares: ProposeShares(ProposeSharesRequest) -> ProposeSharesResponse;
    /// Consents to the open proposal.
    consent_shares: ConsentShares(ConsentSharesRequest) -> ConsentSharesResponse;
    /// Reads the state of the system.
    status: Status(StatusRequest) -> StatusResponse;
    /// Reads the state of the node that receives the request.
    node_status: NodeStatus(NodeStatusRequest) -> NodeStatusResponse;
    /// Starts the planned stop of a node.
    drain: Drain(DrainRequest) -> DrainResponse;
    /// Reads a run and its calls.
    get_run: GetRun(GetRunRequest) -> GetRunResponse;
    /// Reads the runs of the partner.
    list_runs: ListRuns(ListRunsRequest) -> ListRunsResponse;
}

impl OperatorClient {
    /// Creates a client; it opens connections on demand.
    pub fn new(settings: ClientSettings) -> Self {
        let configuration = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_connect(Some(settings.connect_timeout))
            .build();
        Self {
            settings,
            agent: Agent::new_with_config(configuration),
        }
    }

    /// Waits for changes of the configuration, up to the timeout in the request.
    pub fn watch_changes(
        &self,
        request: &v1::WatchChangesRequest,
    ) -> Result<v1::WatchChangesResponse, ClientError> {
        let poll_timeout = Duration::from_millis(request.timeout_ms);
        let timeout = self.settings.response_timeout.saturating_add(poll_timeout);
        self.call(OperatorMethod::WatchChanges, request, timeout)
    }

    fn call<Request, Reply>(
        &self,
        method: OperatorMethod,
        request: &Request,
        timeout: Duration,
    ) -> Result<Reply, ClientError>
    where
        Request: Message,
        Reply: Message + Default,
    {
        let body = request.encode_to_vec();
        let mut failure = ClientError::NoServer;
        let mut may_have_arrived = false;
        for round in 0..self.settings.rounds {
            if round > 0 {
                thread::sleep(self.settings.round_delay);
            }
            for server in &self.settings.servers {
                match self.attempt(server, method, &body, timeout) {
                    Ok(response) => return decode_response(response),
                    Err(last) => {
                        may_have_arrived |= last.may_have_arrived();
                        failure = last.into_client_error(may_have_arrived);
                    }
                }
            }
        }
        Err(failure)
    }

    fn attempt(
        &self,
        server: &str,
        method: OperatorMethod,
        body: &[u8],
        timeout: Duration,
    ) -> Result<RawResponse, AttemptError> {
        let url = format!("{}{}", server.trim_end_matches('/'), method.path());
        let response = self
            .agent
            .post(&url)
            .header(CONTENT_TYPE_HEADER, BodyFormat::Protobuf.media_type())
            .header(PROTOCOL_VERSION_HEADER, PROTOCOL_VERSION)
            .header(TIMEOUT_HEADER, timeout.as_millis().to_string())
            .header(
                AUTHORIZATION_HEADER,
                format!("Bearer {}", self.settings.token),
            )
            .config()
            .timeout_global(Some(timeout))
            .build()
            .send(body)
            .map_err(|error| AttemptError::Transport(error.into()))?;
        let response = RawResponse::read(response).map_err(AttemptError::Transport)?;
        response.into_result()
    }
}

/// The HTTP response of a server.
struct RawResponse {
    status: u16,
    body: Vec<u8>,
}

impl RawResponse {
    fn read(mut response: Response<Body>) -> Result<Self, TransportError> {
        let status = response.status().as_u16();
        let body = response
            .body_mut()
            .with_config()
            .limit(MAX_RESPONSE_BYTES)
            .read_to_vec()?;
        Ok(Self { status, body })
    }

    /// Turns the code `unavailable` into an error, after which the next server is tried.
    fn into_result(self) -> Result<Self, AttemptError> {
        if self.is_success() {
            return Ok(self);
        }
        let error = self.error_body();
        match error.code {
            ConnectCode::Unavailable => Err(AttemptError::Unavailable(error)),
            _ => Ok(self),
        }
    }

    fn is_success(&self) -> bool {
        self.status < FIRST_HTTP_ERROR_STATUS
    }

    fn error_body(&self) -> ErrorBody {
        serde_json::from_slice(&self.body).unwrap_or_else(|_| ErrorBody {
            code: ConnectCode::from_http_status(self.status),
            message: format!("the server responded with HTTP status {}", self.status),
            details: Vec::new(),
        })
    }
}

fn decode_response<Reply: Message + Default>(response: RawResponse) -> Result<Reply, ClientError> {
    if response.is_success() {
        Reply::decode(response.body.as_slice()).map_err(|_| ClientError::MalformedResponse)
    } else {
        Err(ClientError::Refused(response.error_body()))
    }
}

/// Failure of one server, after which the next server is tried.
enum AttemptError {
    Transport(TransportError),
    Unavailable(ErrorBody),
}

impl AttemptError {
    fn may_have_arrived(&self) -> bool {
        match self {
            Self::Transport(error) => error.may_have_arrived(),
            Self::Unavailable(body) => body.is_outcome_unknown(),
        }
    }

    fn into_client_error(self, may_have_arrived: bool) -> ClientError {
        match self {
            Self::Transport(last) => ClientError::Unreachable {
                last,
                may_have_arrived,
            },
            Self::Unavailable(body) => ClientError::Unavailable {
                body,
                may_have_arrived,
            },
        }
    }
}
