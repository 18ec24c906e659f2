//! The calls of one run, numbered in the order in which they are made.

use std::time::Duration;

use ridgeworks_api::caller::{
    CALL_HEADER, CallerRoute, CloseRunResponse, DEADLINE_HEADER, OpenRunResponse,
    REPEATABLE_HEADER, RUN_HEADER, RunHistoryResponse, SEQUENCE_HEADER, ServiceCallRequest,
    ServiceCallResponse,
};
use ridgeworks_api::chat::{ChatCompletion, ChatCompletionRequest, ChatMessage, Usage};
use ridgeworks_domain::{CallKey, Cost, RunId, Sequence, ServiceName};
use serde_json::value::RawValue;
use serde_json::{Map, Value};

use super::attempt::{AttemptFailure, CallerClient, Outgoing, to_json};
use super::error::{CallFailure, TransportFailure};
use super::events::{EventReader, StreamEvent};

/// What a caller says about a call besides its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CallOptions {
    /// Whether a second execution does no harm.
    pub repeatable: bool,
    /// Time after which the caller stops waiting.
    pub deadline: Option<Duration>,
}

impl CallOptions {
    /// A call that may be executed again.
    pub const REPEATABLE: Self = Self {
        repeatable: true,
        deadline: None,
    };
}

/// A chat completion to ask for.
#[derive(Debug, Clone, PartialEq)]
pub struct ChatCall {
    /// The service.
    pub service: ServiceName,
    /// New messages; the system keeps the earlier ones.
    pub messages: Vec<ChatMessage>,
    /// Most tokens of the answer.
    pub max_tokens: Option<u64>,
    /// What else the caller says.
    pub options: CallOptions,
}

impl ChatCall {
    /// One message of a user.
    pub fn of_user(service: ServiceName, text: &str) -> Self {
        let message = ChatMessage {
            role: "user".to_owned(),
            content: Value::String(text.to_owned()),
            other: Map::new(),
        };
        Self {
            service,
            messages: vec![message],
            max_tokens: None,
            options: CallOptions::REPEATABLE,
        }
    }

    fn body(&self, stream: bool) -> Vec<u8> {
        to_json(&ChatCompletionRequest {
            model: self.service.clone(),
            messages: self.messages.clone(),
            stream,
            max_completion_tokens: None,
            max_tokens: self.max_tokens,
            other: Map::new(),
        })
    }
}

/// A whole answer of a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChatAnswer {
    /// The caller's key of the call.
    pub call: CallKey,
    /// The text.
    pub text: String,
    /// Tokens counted.
    pub usage: Option<Usage>,
}

/// An open run.
#[derive(Debug)]
pub struct RunClient<'a> {
    client: &'a CallerClient,
    run: RunId,
    budget: Cost,
    next: Sequence,
}

impl<'a> RunClient<'a> {
    pub(super) fn new(client: &'a CallerClient, opened: OpenRunResponse) -> Self {
        Self {
            client,
            run: opened.run,
            budget: opened.budget,
            next: Sequence::FIRST,
        }
    }

    /// The run.
    pub fn id(&self) -> RunId {
        self.run
    }

    /// Its budget.
    pub fn budget(&self) -> Cost {
        self.budget
    }

    /// Asks for a streamed answer; `on_text` gets each new piece once.
    pub fn chat_streamed(
        &mut self,
        call: &ChatCall,
        on_text: &mut dyn FnMut(&str),
    ) -> Result<ChatAnswer, CallFailure> {
        let key = self.take_key();
        let body = call.body(true);
        let request = self.chat_request(&key, call.options, &body);
        let mut seen = String::new();
        let usage = self.client.repeat(|node, left| {
            let response = self.client.send(node, &request, left)?;
            let reader = EventReader::new(response.into_body().into_reader());
            read_stream(reader, &mut seen, on_text)
        })?;
        Ok(ChatAnswer {
            call: key,
            text: seen,
            usage,
        })
    }

    /// Asks for an answer in one piece.
    pub fn chat(&mut self, call: &ChatCall) -> Result<ChatAnswer, CallFailure> {
        let key = self.take_key();
        let body = call.body(false);
        let request = self.chat_request(&key, call.options, &body);
        let completion: ChatCompletion = self.client.request(&request)?;
        let choice = completion.choices.into_iter().next();
        let Some(Value::String(text)) = choice.map(|choice| choice.message.content) else {
            return Err(malformed());
        };
        Ok(ChatAnswer {
            call: key,
            text,
            usage: completion.usage,
        })
    }

    /// Calls a tool or notice service.
    pub fn call_service(
        &mut self,
        service: &ServiceName,
        arguments: &Value,
        options: CallOptions,
    ) -> Result<Box<RawValue>, CallFailure> {
        let sequence = self.next;
        let arguments = RawValue::from_string(arguments.to_string());
        let body = to_json(&ServiceCallRequest {
            run: self.run,
            call: self.take_key(),
            sequence,
            repeatable: options.repeatable,
            deadline_ms: options.deadline.map(milliseconds),
            arguments: arguments.expect("a JSON value is written as JSON"),
        });
        let answer: ServiceCallResponse = self.client.request(&Outgoing {
            route: CallerRoute::ServiceCall(service.clone()),
            headers: Vec::new(),
            body: Some(&body),
        })?;
        Ok(answer.result)
    }

    /// Reads what the system recorded.
    pub fn history(&self) -> Result<RunHistoryResponse, CallFailure> {
        self.client.history(self.run)
    }

    /// Ends the run.
    pub fn close(self) -> Result<CloseRunResponse, CallFailure> {
        self.client.request(&Outgoing {
            route: CallerRoute::CloseRun(self.run),
            headers: Vec::new(),
            body: Some(&[]),
        })
    }

    /// Gives a refused call's number back, so that the next call takes its place. Only for a call
    /// that did not run.
    pub fn reuse_last_number(&mut self) {
        self.next = Sequence(self.next.0.saturating_sub(1).max(Sequence::FIRST.0));
    }

    fn take_key(&mut self) -> CallKey {
        let text = format!("call-{}-{:08x}", self.next, rand::random::<u32>());
        self.next = self.next.next();
        CallKey::new(text).expect("the text holds letters, digits and dashes")
    }

    /// The request of the call whose number was taken last.
    fn chat_request<'b>(
        &self,
        key: &CallKey,
        options: CallOptions,
        body: &'b [u8],
    ) -> Outgoing<'b> {
        let sequence = self.next.0 - 1;
        let mut headers = vec![
            (RUN_HEADER, self.run.to_string()),
            (CALL_HEADER, key.to_string()),
            (SEQUENCE_HEADER, sequence.to_string()),
            (REPEATABLE_HEADER, options.repeatable.to_string()),
        ];
        if let Some(deadline) = options.deadline {
            headers.push((DEADLINE_HEADER, milliseconds(deadline).to_string()));
        }
        Outgoing {
            route: CallerRoute::ChatCompletions,
            headers,
            body: Some(body),
        }
    }
}

fn milliseconds(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

fn malformed() -> CallFailure {
    CallFailure::Unreachable {
        last: TransportFailure::Malformed,
        may_have_run: true,
    }
}

/// Reads one stream to its end. `seen` is the text that earlier sendings brought; it grows.
fn read_stream<Source: std::io::Read>(
    mut reader: EventReader<Source>,
    seen: &mut String,
    on_text: &mut dyn FnMut(&str),
) -> Result<Option<Usage>, AttemptFailure> {
    let mut text = String::new();
    let mut finished = None;
    loop {
        match reader.next_event()? {
            StreamEvent::Text(piece) => {
                text.push_str(&piece);
                pass_on_new(&text, seen, on_text)?;
            }
            StreamEvent::Finished(usage) => finished = Some(usage),
            StreamEvent::Refused(error) => {
                let status = STATUS_OF_BEGUN_STREAM;
                return Err(AttemptFailure::Refused { status, error });
            }
            StreamEvent::End => {
                let usage = finished.ok_or(TransportFailure::Malformed)?;
                if text.len() < seen.len() {
                    return Err(AttemptFailure::Final(changed(seen, &text)));
                }
                return Ok(usage);
            }
        }
    }
}

const STATUS_OF_BEGUN_STREAM: u16 = 200;

fn pass_on_new(
    text: &str,
    seen: &mut String,
    on_text: &mut dyn FnMut(&str),
) -> Result<(), AttemptFailure> {
    if text.len() <= seen.len() {
        if seen.starts_with(text) {
            return Ok(());
        }
        return Err(AttemptFailure::Final(changed(seen, text)));
    }
    let Some(new) = text.strip_prefix(seen.as_str()) else {
        return Err(AttemptFailure::Final(changed(seen, text)));
    };
    on_text(new);
    seen.push_str(new);
    Ok(())
}

fn changed(before: &str, after: &str) -> CallFailure {
    CallFailure::AnswerChanged {
        before: before.to_owned(),
        after: after.to_owned(),
    }
}
