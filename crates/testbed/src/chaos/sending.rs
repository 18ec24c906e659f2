//! Sends one request once, over a connection of its own, and tells how that ended.
//!
//! No connection is used twice, so that "not connected" means that no byte left.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use ridgeworks_api::caller::{AUTHORIZATION_HEADER, CallerRoute, ServiceCallResponse};
use ridgeworks_api::caller_error::{CallerError, CallerErrorBody};
use ridgeworks_api::chat::ChatCompletion;
use serde::de::DeserializeOwned;
use serde_json::Value;
use ureq::http::Response;
use ureq::{Agent, Body};

use crate::client::{EventReader, StreamEvent};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_ANSWER_BYTES: u64 = 64 << 20;
const FIRST_ERROR_STATUS: u16 = 300;

/// A request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its route.
    pub route: CallerRoute,
    /// Its headers besides the token.
    pub headers: Vec<(&'static str, String)>,
    /// Its body; absent for a GET.
    pub body: Option<Vec<u8>>,
    /// The form of its answer.
    pub form: AnswerForm,
}

/// How the answer of a call is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerForm {
    /// A whole chat completion.
    Chat,
    /// Server-sent events.
    Stream,
    /// The answer of a tool or notice service.
    Service,
}

/// Why a sending brought no answer.
#[derive(Debug)]
pub enum SendFailure {
    /// No connection came about; no byte left.
    NotConnected,
    /// The connection broke or the time ran out.
    Broken,
    /// The answer is not in the interface's form.
    Malformed,
    /// The system refused the request.
    Refused(Box<CallerError>),
}

/// Sends requests of one partner.
#[derive(Debug)]
pub struct Sender {
    agent: Agent,
    token: String,
}

impl Sender {
    /// A sender with the partner's token.
    pub fn new(token: &str) -> Self {
        let configuration = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .max_idle_connections(0)
            .max_idle_connections_per_host(0)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .build();
        Self {
            agent: Agent::new_with_config(configuration),
            token: format!("Bearer {token}"),
        }
    }

    /// Sends a call; gives the content of its answer, whose digest the back end records too.
    pub fn call(
        &self,
        node: SocketAddr,
        request: &Request,
        timeout: Duration,
    ) -> Result<Vec<u8>, SendFailure> {
        match request.form {
            AnswerForm::Stream => read_stream(self.send(node, request, timeout)?),
            AnswerForm::Chat => chat_content(self.json(node, request, timeout)?),
            AnswerForm::Service => {
                let answer: ServiceCallResponse = self.json(node, request, timeout)?;
                Ok(answer.result.get().as_bytes().to_vec())
            }
        }
    }

    /// Sends a request whose answer is one JSON object.
    pub fn json<Answer: DeserializeOwned>(
        &self,
        node: SocketAddr,
        request: &Request,
        timeout: Duration,
    ) -> Result<Answer, SendFailure> {
        let bytes = read_body(self.send(node, request, timeout)?)?;
        serde_json::from_slice(&bytes).map_err(|_| SendFailure::Malformed)
    }

    fn send(
        &self,
        node: SocketAddr,
        request: &Request,
        timeout: Duration,
    ) -> Result<Response<Body>, SendFailure> {
        let url = format!("http://{node}{}", request.route.path());
        let response = match &request.body {
            Some(body) => {
                let mut builder = self.agent.post(&url);
                for (name, value) in &request.headers {
                    builder = builder.header(*name, value);
                }
                builder
                    .header(AUTHORIZATION_HEADER, &self.token)
                    .header("content-type", "application/json")
                    .config()
                    .timeout_global(Some(timeout))
                    .build()
                    .send(body)
            }
            None => self
                .agent
                .get(&url)
                .header(AUTHORIZATION_HEADER, &self.token)
                .config()
                .timeout_global(Some(timeout))
                .build()
                .call(),
        };
        pass_successful(response.map_err(|error| failure_of(&error))?)
    }
}

fn pass_successful(response: Response<Body>) -> Result<Response<Body>, SendFailure> {
    if response.status().as_u16() < FIRST_ERROR_STATUS {
        return Ok(response);
    }
    let bytes = read_body(response)?;
    let body: CallerErrorBody =
        serde_json::from_slice(&bytes).map_err(|_| SendFailure::Malformed)?;
    Err(SendFailure::Refused(Box::new(body.error)))
}

fn read_body(mut response: Response<Body>) -> Result<Vec<u8>, SendFailure> {
    let body = response.body_mut().with_config().limit(MAX_ANSWER_BYTES);
    body.read_to_vec().map_err(|_| SendFailure::Broken)
}

fn chat_content(completion: ChatCompletion) -> Result<Vec<u8>, SendFailure> {
    let choice = completion.choices.into_iter().next();
    match choice.map(|choice| choice.message.content) {
        Some(Value::String(text)) => Ok(text.into_bytes()),
        _ => Err(SendFailure::Malformed),
    }
}

fn read_stream(response: Response<Body>) -> Result<Vec<u8>, SendFailure> {
    let mut reader = EventReader::new(response.into_body().into_reader());
    let mut text = String::new();
    let mut is_finished = false;
    loop {
        match reader.next_event() {
            Ok(StreamEvent::Text(piece)) => text.push_str(&piece),
            Ok(StreamEvent::Finished(_)) => is_finished = true,
            Ok(StreamEvent::Refused(error)) => return Err(SendFailure::Refused(error)),
            Ok(StreamEvent::End) if is_finished => return Ok(text.into_bytes()),
            Ok(StreamEvent::End) => return Err(SendFailure::Malformed),
            Err(_) => return Err(SendFailure::Broken),
        }
    }
}

fn failure_of(error: &ureq::Error) -> SendFailure {
    match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => {
            SendFailure::NotConnected
        }
        ureq::Error::Io(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
            SendFailure::NotConnected
        }
        _ => SendFailure::Broken,
    }
}
