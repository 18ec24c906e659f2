//! Sends requests to the nodes in turn, and repeats them while that helps.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use ridgeworks_api::caller::{
    AUTHORIZATION_HEADER, CallerRoute, OpenRunRequest, OpenRunResponse, RunHistoryResponse,
};
use ridgeworks_api::caller_error::{CallerError, CallerErrorBody, Outcome};
use ridgeworks_domain::{ProgramName, RunId};
use serde::de::DeserializeOwned;
use ureq::http::Response;
use ureq::{Agent, Body};

use super::error::{CallFailure, TransportFailure};
use super::run::RunClient;

const MAX_ANSWER_BYTES: u64 = 64 << 20;
const MAX_IDLE_CONNECTIONS: usize = 1_024;
const DEFAULT_PATIENCE: Duration = Duration::from_secs(30);
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const DEFAULT_ROUND_PAUSE: Duration = Duration::from_millis(50);
/// What a sending may take beyond the time that is left. A connection that does not come up fails by its
/// own, earlier limit, which tells that nothing was sent; the limit of the whole sending cannot tell.
const SENDING_MARGIN: Duration = Duration::from_secs(1);
const FIRST_ERROR_STATUS: u16 = 300;

/// Where and how to send requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientSettings {
    /// Nodes, asked in turn.
    pub nodes: Vec<SocketAddr>,
    /// Token of the partner.
    pub token: String,
    /// How long a request is repeated, all its sendings together.
    pub patience: Duration,
    /// Longest time to wait for a connection.
    pub connect_timeout: Duration,
    /// Pause after a node could not be reached.
    pub round_pause: Duration,
}

impl ClientSettings {
    /// Settings with the default times.
    pub fn new(nodes: Vec<SocketAddr>, token: impl Into<String>) -> Self {
        Self {
            nodes,
            token: token.into(),
            patience: DEFAULT_PATIENCE,
            connect_timeout: DEFAULT_CONNECT_TIMEOUT,
            round_pause: DEFAULT_ROUND_PAUSE,
        }
    }
}

/// A caller of the system. Can be shared between threads.
#[derive(Debug)]
pub struct CallerClient {
    settings: ClientSettings,
    agent: Agent,
    first_node: AtomicUsize,
}

/// One HTTP request, which can be sent several times.
pub(super) struct Outgoing<'a> {
    /// Its route.
    pub route: CallerRoute,
    /// Its headers besides the token.
    pub headers: Vec<(&'static str, String)>,
    /// Its body; absent for a GET.
    pub body: Option<&'a [u8]>,
}

/// Why one sending of a request brought no answer.
pub(super) enum AttemptFailure {
    Transport(TransportFailure),
    Refused {
        status: u16,
        error: Box<CallerError>,
    },
    Final(CallFailure),
}

impl From<TransportFailure> for AttemptFailure {
    fn from(failure: TransportFailure) -> Self {
        Self::Transport(failure)
    }
}

impl CallerClient {
    /// A client that opens connections when it needs them.
    pub fn new(settings: ClientSettings) -> Self {
        let configuration = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .max_idle_connections(MAX_IDLE_CONNECTIONS)
            .max_idle_connections_per_host(MAX_IDLE_CONNECTIONS)
            .timeout_connect(Some(settings.connect_timeout))
            .build();
        Self {
            settings,
            agent: Agent::new_with_config(configuration),
            first_node: AtomicUsize::new(0),
        }
    }

    /// Opens a run of a program.
    pub fn open_run(&self, program: &ProgramName) -> Result<RunClient<'_>, CallFailure> {
        self.open(program, None)
    }

    /// Opens a run for a sub-agent; its budget is carved from its parent's.
    pub fn open_child(
        &self,
        program: &ProgramName,
        parent: RunId,
    ) -> Result<RunClient<'_>, CallFailure> {
        self.open(program, Some(parent))
    }

    fn open(
        &self,
        program: &ProgramName,
        parent: Option<RunId>,
    ) -> Result<RunClient<'_>, CallFailure> {
        let request = OpenRunRequest {
            program: program.clone(),
            parent,
        };
        let body = to_json(&request);
        let request = Outgoing {
            route: CallerRoute::OpenRun,
            headers: Vec::new(),
            body: Some(&body),
        };
        let opened: OpenRunResponse = self.request(&request)?;
        Ok(RunClient::new(self, opened))
    }

    /// Reads the history of a run.
    pub fn history(&self, run: RunId) -> Result<RunHistoryResponse, CallFailure> {
        self.request(&Outgoing {
            route: CallerRoute::RunHistory(run),
            headers: Vec::new(),
            body: None,
        })
    }

    /// Sends a request until it has a whole JSON answer.
    pub(super) fn request<Answer: DeserializeOwned>(
        &self,
        request: &Outgoing<'_>,
    ) -> Result<Answer, CallFailure> {
        self.repeat(|node, left| {
            let mut response = self.send(node, request, left)?;
            let body = response.body_mut().with_config().limit(MAX_ANSWER_BYTES);
            let bytes = body.read_to_vec().map_err(|_| TransportFailure::Broken)?;
            let answer = serde_json::from_slice(&bytes);
            answer.map_err(|_| TransportFailure::Malformed.into())
        })
    }

    /// Sends a request once, within `left` for its connection and [`SENDING_MARGIN`] more for all of it;
    /// gives the successful answer with its body unread.
    pub(super) fn send(
        &self,
        node: SocketAddr,
        request: &Outgoing<'_>,
        left: Duration,
    ) -> Result<Response<Body>, AttemptFailure> {
        let connect = left.min(self.settings.connect_timeout);
        let whole = left + SENDING_MARGIN;
        let url = format!("http://{node}{}", request.route.path());
        let token = format!("Bearer {}", self.settings.token);
        let response = match request.body {
            Some(body) => {
                let mut builder = self.agent.post(&url);
                for (name, value) in &request.headers {
                    builder = builder.header(*name, value);
                }
                builder
                    .header(AUTHORIZATION_HEADER, token)
                    .header("content-type", "application/json")
                    .config()
                    .timeout_connect(Some(connect))
                    .timeout_global(Some(whole))
                    .build()
                    .send(body)
            }
            None => self
                .agent
                .get(&url)
                .header(AUTHORIZATION_HEADER, token)
                .config()
                .timeout_connect(Some(connect))
                .timeout_global(Some(whole))
                .build()
                .call(),
        };
        let response = response.map_err(|error| transport_failure(&error))?;
        pass_successful(response)
    }

    /// Repeats a sending while the system says that coming back helps or a node cannot be reached.
    /// The next node is asked after each failure.
    pub(super) fn repeat<Answer>(
        &self,
        mut attempt: impl FnMut(SocketAddr, Duration) -> Result<Answer, AttemptFailure>,
    ) -> Result<Answer, CallFailure> {
        let deadline = Instant::now() + self.settings.patience;
        let mut may_have_run = false;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let failure = match attempt(self.node(), left) {
                Ok(answer) => return Ok(answer),
                Err(AttemptFailure::Final(failure)) => return Err(failure),
                Err(failure) => failure,
            };
            may_have_run |= failure.may_have_run();
            let pause = failure.pause(self.settings.round_pause);
            match pause {
                Some(pause) if Instant::now() + pause < deadline => {
                    self.first_node.fetch_add(1, Ordering::Relaxed);
                    thread::sleep(pause);
                }
                _ => return Err(failure.into_final(may_have_run)),
            }
        }
    }

    fn node(&self) -> SocketAddr {
        let index = self.first_node.load(Ordering::Relaxed);
        self.settings.nodes[index % self.settings.nodes.len()]
    }
}

impl AttemptFailure {
    fn may_have_run(&self) -> bool {
        match self {
            Self::Transport(failure) => *failure != TransportFailure::NotConnected,
            Self::Refused { error, .. } => error.outcome == Outcome::Unknown,
            Self::Final(failure) => failure.may_have_run(),
        }
    }

    /// When to send again, if that helps.
    fn pause(&self, round_pause: Duration) -> Option<Duration> {
        match self {
            Self::Transport(_) => Some(round_pause),
            Self::Refused { error, .. } => error.retry_after_ms.map(Duration::from_millis),
            Self::Final(_) => None,
        }
    }

    fn into_final(self, may_have_run: bool) -> CallFailure {
        match self {
            Self::Transport(last) => CallFailure::Unreachable { last, may_have_run },
            Self::Refused { status, error } => CallFailure::Refused {
                status,
                error,
                may_have_run,
            },
            Self::Final(failure) => failure,
        }
    }
}

fn pass_successful(mut response: Response<Body>) -> Result<Response<Body>, AttemptFailure> {
    let status = response.status().as_u16();
    if status < FIRST_ERROR_STATUS {
        return Ok(response);
    }
    let body = response.body_mut().with_config().limit(MAX_ANSWER_BYTES);
    let bytes = body.read_to_vec().map_err(|_| TransportFailure::Broken)?;
    let body: CallerErrorBody =
        serde_json::from_slice(&bytes).map_err(|_| TransportFailure::Malformed)?;
    Err(AttemptFailure::Refused {
        status,
        error: Box::new(body.error),
    })
}

fn transport_failure(error: &ureq::Error) -> TransportFailure {
    match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => {
            TransportFailure::NotConnected
        }
        ureq::Error::Io(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
            TransportFailure::NotConnected
        }
        _ => TransportFailure::Broken,
    }
}

/// A value as JSON.
pub(super) fn to_json(value: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("requests have text keys only, so that they always serialize")
}
