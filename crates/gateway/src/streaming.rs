//! Passes an engine's events on as they arrive.

use std::pin::pin;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use ridgeworks_platform::client_headers;
use ridgeworks_routing::{Event, EventSplitter};
use tokio::time::Instant;

use crate::attempt::{Answered, AttemptFailure};
use crate::caller::{Caller, CallerGone, StreamingCaller};

/// The client, before or after the head of its answer.
#[derive(Debug)]
pub enum ClientSide {
    /// The head has not gone out.
    Waiting(Caller),
    /// Events go out.
    Streaming(StreamingCaller),
}

impl ClientSide {
    /// Ends when the client has gone away.
    pub async fn gone(&mut self) {
        match self {
            Self::Waiting(caller) => caller.gone().await,
            Self::Streaming(caller) => caller.gone().await,
        }
    }

    /// The streaming client; the head of this answer goes out unless one has.
    fn streaming(self, answered: &Answered) -> Result<StreamingCaller, CallerGone> {
        match self {
            Self::Streaming(caller) => Ok(caller),
            Self::Waiting(caller) => {
                let mut head = Response::new(());
                *head.status_mut() = answered.status;
                *head.headers_mut() = client_headers(&answered.headers);
                caller.begin(head)
            }
        }
    }
}

/// What of a stream was passed on, over all attempts.
#[derive(Debug, Default)]
pub struct Passed {
    /// Number of the last event.
    pub last_event_id: Option<u64>,
    /// Number of events.
    pub events: u64,
    /// Data of the events, each followed by a line feed.
    pub output: Vec<u8>,
    /// When the first event went out.
    pub first_at: Option<Instant>,
}

/// How passing on a stream ended.
#[derive(Debug)]
pub enum StreamEnd {
    /// The engine ended the stream, and everything was passed on.
    Complete(ClientSide),
    /// The engine failed; another may take the stream up.
    Failed(ClientSide, AttemptFailure),
    /// The client has gone away.
    ClientGone,
    /// Time is up.
    TimeUp(ClientSide),
}

/// Passes events on until the stream ends one way or the other. `first_limit` bounds the wait for the
/// first event of this attempt, where another engine could be asked instead.
pub async fn pass_on(
    answered: &mut Answered,
    mut client: ClientSide,
    passed: &mut Passed,
    limit: Instant,
    first_limit: Instant,
) -> StreamEnd {
    let mut splitter = EventSplitter::default();
    let mut is_patient = first_limit >= limit;
    // One timer each for the whole stream: events are many.
    let mut time_up = pin!(tokio::time::sleep_until(limit));
    let mut first_is_late = pin!(tokio::time::sleep_until(first_limit));
    loop {
        let frame = tokio::select! {
            () = client.gone() => return StreamEnd::ClientGone,
            () = time_up.as_mut() => return StreamEnd::TimeUp(client),
            () = first_is_late.as_mut(), if !is_patient => {
                return StreamEnd::Failed(client, AttemptFailure::Silent);
            }
            frame = answered.body.frame() => frame,
        };
        let bytes = match frame {
            None => return finish(answered, client, &splitter),
            Some(Err(_)) => return StreamEnd::Failed(client, AttemptFailure::BrokenOff),
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        answered.at_engine.on_bytes(bytes.len());
        let Ok(events) = splitter.push(&bytes) else {
            return StreamEnd::Failed(client, AttemptFailure::Garbled);
        };
        for event in events {
            answered.at_engine.on_event();
            match judge(&event, passed) {
                Judged::Repeated => continue,
                Judged::Gap => return StreamEnd::Failed(client, AttemptFailure::Garbled),
                Judged::Next => {}
            }
            is_patient = true;
            client = match send_event(client, answered, event, passed).await {
                Ok(client) => client,
                Err(CallerGone) => return StreamEnd::ClientGone,
            };
        }
    }
}

fn finish(answered: &Answered, client: ClientSide, splitter: &EventSplitter) -> StreamEnd {
    if !splitter.rest().is_empty() {
        return StreamEnd::Failed(client, AttemptFailure::BrokenOff);
    }
    match client.streaming(answered) {
        Ok(caller) => StreamEnd::Complete(ClientSide::Streaming(caller)),
        Err(CallerGone) => StreamEnd::ClientGone,
    }
}

enum Judged {
    Next,
    Repeated,
    Gap,
}

/// Events are numbered one after the other; a stream that is taken up may begin with ones already sent.
fn judge(event: &Event, passed: &Passed) -> Judged {
    match (event.id, passed.last_event_id) {
        (Some(id), Some(last)) if id <= last => Judged::Repeated,
        (Some(id), Some(last)) if id > last + 1 => Judged::Gap,
        _ => Judged::Next,
    }
}

async fn send_event(
    client: ClientSide,
    answered: &Answered,
    event: Event,
    passed: &mut Passed,
) -> Result<ClientSide, CallerGone> {
    let caller = client.streaming(answered)?;
    passed.first_at.get_or_insert_with(Instant::now);
    if event.id.is_some() {
        passed.last_event_id = event.id;
    }
    if let Some(data) = &event.data {
        // Counted before it goes out: what a client may have got is never counted too low.
        passed.events += 1;
        passed.output.extend_from_slice(data);
        passed.output.push(b'\n');
    }
    caller.send(Bytes::from(event.raw)).await?;
    Ok(ClientSide::Streaming(caller))
}
