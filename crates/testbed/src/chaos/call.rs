//! One call of a client: its request, and its sending until it has an end.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use ridgeworks_api::caller::{
    CALL_HEADER, CallerRoute, REPEATABLE_HEADER, RUN_HEADER, SEQUENCE_HEADER, ServiceCallRequest,
};
use ridgeworks_api::caller_error::{CallerError, Outcome as CallerOutcome};
use ridgeworks_api::chat::{ChatCompletionRequest, ChatMessage};
use ridgeworks_api::v1;
use ridgeworks_domain::{CallKey, Cost, RunId, Sequence};
use ridgeworks_history::{Event, Outcome};
use serde_json::value::RawValue;
use serde_json::{Map, Value, json};
use xxhash_rust::xxh3::xxh3_64;

use super::recorder::Recorder;
use super::sending::{AnswerForm, Request, SendFailure, Sender};
use super::tally::Tally;
use super::workload::UsedService;

/// How long a client tries to learn the end of a call.
const PATIENCE: Duration = Duration::from_secs(25);
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Tokens of an answer; the engines name the call in the first ones, by which they know it again.
const SHORTEST_ANSWER: u64 = 16;
const LONGEST_ANSWER: u64 = 40;
const STREAMED_SHARE: f64 = 0.6;

/// A call, as it is sent and recorded.
#[derive(Debug, Clone)]
pub struct Call {
    /// The run.
    pub run: RunId,
    /// Its key.
    pub key: CallKey,
    /// Its position.
    pub sequence: Sequence,
    service: UsedService,
    repeatable: bool,
    reserve: Cost,
    request: Request,
}

/// How a call ended for its client.
#[derive(Debug)]
pub enum CallEnd {
    /// It has its whole answer.
    Answered,
    /// It was refused and did not run.
    Refused(Box<CallerError>),
    /// The system says that its end is not to be had.
    Unknown,
    /// The client stopped asking.
    GivenUp,
}

/// Times that a client waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Waiting {
    /// Short ones, so that requests are repeated while the first one is under way.
    Impatient,
    /// Longer than any fault.
    Patient,
}

impl Waiting {
    fn draw(self, random: &mut ChaCha8Rng) -> Duration {
        match self {
            Self::Impatient => Duration::from_millis(random.random_range(1_500..9_000)),
            Self::Patient => PATIENCE,
        }
    }
}

/// Draws the call that comes next in a run.
pub fn draw_call(
    random: &mut ChaCha8Rng,
    run: RunId,
    key: CallKey,
    sequence: Sequence,
    service: &UsedService,
) -> Call {
    let is_model = service.kind == v1::ServiceKind::Model;
    let repeatable = match service.kind {
        v1::ServiceKind::Notice => false,
        _ => random.random_bool(0.7),
    };
    let (reserve, request) = if is_model {
        let max_tokens = random.random_range(SHORTEST_ANSWER..LONGEST_ANSWER);
        let is_streamed = random.random_bool(STREAMED_SHARE);
        let headers = vec![
            (RUN_HEADER, run.to_string()),
            (CALL_HEADER, key.to_string()),
            (SEQUENCE_HEADER, sequence.to_string()),
            (REPEATABLE_HEADER, repeatable.to_string()),
        ];
        let body = chat_body(service, &key, max_tokens, is_streamed);
        (max_tokens, chat_request(headers, body, is_streamed))
    } else {
        let body = service_body(run, &key, sequence, repeatable);
        (service.price, service_request(service, body))
    };
    Call {
        run,
        key,
        sequence,
        service: service.clone(),
        repeatable,
        reserve: Cost(reserve),
        request,
    }
}

fn chat_body(service: &UsedService, key: &CallKey, max_tokens: u64, stream: bool) -> Vec<u8> {
    let message = ChatMessage {
        role: "user".to_owned(),
        content: Value::String(format!("What comes after {key}?")),
        other: Map::new(),
    };
    to_json(&ChatCompletionRequest {
        model: service.name.clone(),
        messages: vec![message],
        stream,
        max_completion_tokens: None,
        max_tokens: Some(max_tokens),
        other: Map::new(),
    })
}

fn chat_request(headers: Vec<(&'static str, String)>, body: Vec<u8>, stream: bool) -> Request {
    Request {
        route: CallerRoute::ChatCompletions,
        headers,
        body: Some(body),
        form: if stream {
            AnswerForm::Stream
        } else {
            AnswerForm::Chat
        },
    }
}

fn service_body(run: RunId, key: &CallKey, sequence: Sequence, repeatable: bool) -> Vec<u8> {
    let arguments = json!({"asked_by": key}).to_string();
    to_json(&ServiceCallRequest {
        run,
        call: key.clone(),
        sequence,
        repeatable,
        deadline_ms: None,
        arguments: RawValue::from_string(arguments).expect("a JSON value is written as JSON"),
    })
}

fn service_request(service: &UsedService, body: Vec<u8>) -> Request {
    Request {
        route: CallerRoute::ServiceCall(service.name.clone()),
        headers: Vec::new(),
        body: Some(body),
        form: AnswerForm::Service,
    }
}

fn to_json(value: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("requests have text keys only, so that they always serialize")
}

/// A digest as the history carries it.
pub fn digest(bytes: &[u8]) -> String {
    format!("{:016x}", xxh3_64(bytes))
}

/// Sends a call to the nodes in turn until it has an end, and records every sending.
pub fn carry_out(
    call: &Call,
    sender: &Sender,
    recorder: &Recorder,
    nodes: &[SocketAddr],
    tally: &Tally,
    random: &mut ChaCha8Rng,
    waiting: Waiting,
) -> CallEnd {
    let deadline = Instant::now() + PATIENCE;
    let mut node = random.random_range(0..nodes.len());
    loop {
        recorder.write(call.invoked());
        let timeout = waiting.draw(random);
        let sent = sender.call(nodes[node], &call.request, timeout);
        if let Err(failure) = &sent {
            tally.add("call", failure);
        }
        let pause = match sent {
            Ok(content) => {
                recorder.write(call.answered(Outcome::Ok, Some(digest(&content)), None));
                return CallEnd::Answered;
            }
            Err(SendFailure::NotConnected) => {
                recorder.write(call.answered(Outcome::NotRun, None, None));
                PAUSE_AFTER_FAILURE
            }
            Err(SendFailure::Broken | SendFailure::Malformed) => PAUSE_AFTER_FAILURE,
            Err(SendFailure::Refused(error)) => {
                let outcome = outcome_of(&error);
                recorder.write(call.answered(outcome, None, error.retry_after_ms));
                match error.retry_after_ms {
                    Some(pause) => Duration::from_millis(pause).min(LONGEST_PAUSE),
                    None if outcome == Outcome::Unknown => return CallEnd::Unknown,
                    None => return CallEnd::Refused(error),
                }
            }
        };
        if Instant::now() + pause > deadline {
            return CallEnd::GivenUp;
        }
        thread::sleep(pause);
        node = (node + 1) % nodes.len();
    }
}

fn outcome_of(error: &CallerError) -> Outcome {
    match error.outcome {
        CallerOutcome::NotRun => Outcome::NotRun,
        CallerOutcome::Unknown => Outcome::Unknown,
    }
}

impl Call {
    fn invoked(&self) -> Event {
        Event::CallInvoked {
            run: self.run,
            call: self.key.clone(),
            sequence: self.sequence,
            service: self.service.name.clone(),
            repeatable: self.repeatable,
            reserve: self.reserve,
            request_digest: digest(self.request.body.as_deref().unwrap_or_default()),
        }
    }

    fn answered(
        &self,
        outcome: Outcome,
        answer_digest: Option<String>,
        retry_after_ms: Option<u64>,
    ) -> Event {
        Event::CallAnswered {
            run: self.run,
            call: self.key.clone(),
            outcome,
            answer_digest,
            retry_after_ms,
        }
    }
}
