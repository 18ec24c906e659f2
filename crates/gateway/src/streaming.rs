//! Forwards an engine's events to the client as they arrive.

use std::pin::pin;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use ridgeworks_platform::client_headers;
use ridgeworks_routing::{Event, EventSplitter};
use tokio::time::Instant;

use crate::attempt::{AttemptFailure, EngineResponse};
use crate::client::{ClientDisconnected, StreamingClient, WaitingClient};

/// The client, before or after the head of its response was sent.
#[derive(Debug)]
pub enum ClientSide {
    /// The head has not been sent.
    Waiting(WaitingClient),
    /// The head has been sent.
    Streaming(StreamingClient),
}

impl ClientSide {
    /// Completes when the client has disconnected.
    pub async fn disconnected(&mut self) {
        match self {
            Self::Waiting(client) => client.disconnected().await,
            Self::Streaming(client) => client.disconnected().await,
        }
    }

    /// Returns the streaming client, sending the head of this response if none was sent.
    fn streaming(
        self,
        engine_response: &EngineResponse,
    ) -> Result<StreamingClient, ClientDisconnected> {
        match self {
            Self::Streaming(client) => Ok(client),
            Self::Waiting(client) => {
                let mut head = Response::new(());
                *head.status_mut() = engine_response.status;
                *head.headers_mut() = client_headers(&engine_response.headers);
                client.start_stream(head)
            }
        }
    }
}

/// Events of a stream that were forwarded, over all attempts.
#[derive(Debug, Default)]
pub struct ForwardedEvents {
    /// Identifier of the last event.
    pub last_event_id: Option<u64>,
    /// Number of events with data.
    pub events: u64,
    /// Data of the events, each followed by a line feed.
    pub output: Vec<u8>,
    /// When the first event was forwarded.
    pub first_at: Option<Instant>,
}

/// How forwarding a stream ended.
#[derive(Debug)]
pub enum StreamEnd {
    /// The engine completed the stream, and all events were forwarded.
    Complete(ClientSide),
    /// The engine failed; another one may resume the stream.
    Failed(ClientSide, AttemptFailure),
    /// The client disconnected.
    ClientDisconnected,
    /// The request's deadline passed.
    DeadlineExceeded(ClientSide),
}

/// Forwards events until the stream ends. `first_event_deadline` bounds the wait for the first
/// event of this attempt; it equals `deadline` if no other engine may be tried.
pub async fn forward_events(
    engine_response: &mut EngineResponse,
    mut client: ClientSide,
    forwarded: &mut ForwardedEvents,
    deadline: Instant,
    first_event_deadline: Instant,
) -> StreamEnd {
    let mut splitter = EventSplitter::default();
    let mut ignores_first_event_deadline = first_event_deadline >= deadline;
    // Timers are created once per stream, because streams have many events.
    let mut deadline_timer = pin!(tokio::time::sleep_until(deadline));
    let mut first_event_timer = pin!(tokio::time::sleep_until(first_event_deadline));
    loop {
        let frame = tokio::select! {
            () = client.disconnected() => return StreamEnd::ClientDisconnected,
            () = deadline_timer.as_mut() => return StreamEnd::DeadlineExceeded(client),
            () = first_event_timer.as_mut(), if !ignores_first_event_deadline => {
                return StreamEnd::Failed(client, AttemptFailure::ResponseTimeout);
            }
            frame = engine_response.body.frame() => frame,
        };
        let bytes = match frame {
            None => return finish(engine_response, client, &splitter),
            Some(Err(_)) => return StreamEnd::Failed(client, AttemptFailure::Truncated),
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        engine_response.in_flight.on_bytes(bytes.len());
        let Ok(events) = splitter.push(&bytes) else {
            return StreamEnd::Failed(client, AttemptFailure::InvalidResponse);
        };
        for event in events {
            engine_response.in_flight.on_event();
            match classify_event(&event, forwarded) {
                EventOrder::Repeated => continue,
                EventOrder::Gap => {
                    return StreamEnd::Failed(client, AttemptFailure::InvalidResponse);
                }
                EventOrder::Next => {}
            }
            ignores_first_event_deadline = true;
            client = match send_event(client, engine_response, event, forwarded).await {
                Ok(client) => client,
                Err(ClientDisconnected) => return StreamEnd::ClientDisconnected,
            };
        }
    }
}

fn finish(
    engine_response: &EngineResponse,
    client: ClientSide,
    splitter: &EventSplitter,
) -> StreamEnd {
    if !splitter.rest().is_empty() {
        return StreamEnd::Failed(client, AttemptFailure::Truncated);
    }
    match client.streaming(engine_response) {
        Ok(client) => StreamEnd::Complete(ClientSide::Streaming(client)),
        Err(ClientDisconnected) => StreamEnd::ClientDisconnected,
    }
}

enum EventOrder {
    Next,
    Repeated,
    Gap,
}

/// Compares an event's identifier with the last one. Identifiers are consecutive, and a resumed
/// stream may repeat events.
fn classify_event(event: &Event, forwarded: &ForwardedEvents) -> EventOrder {
    match (event.id, forwarded.last_event_id) {
        (Some(id), Some(last)) if id <= last => EventOrder::Repeated,
        (Some(id), Some(last)) if id > last + 1 => EventOrder::Gap,
        _ => EventOrder::Next,
    }
}

async fn send_event(
    client: ClientSide,
    engine_response: &EngineResponse,
    event: Event,
    forwarded: &mut ForwardedEvents,
) -> Result<ClientSide, ClientDisconnected> {
    let client = client.streaming(engine_response)?;
    forwarded.first_at.get_or_insert_with(Instant::now);
    if event.id.is_some() {
        forwarded.last_event_id = event.id;
    }
    if let Some(data) = &event.data {
        // Counted before it is sent, so that tokens the client may have received are always
        // charged.
        forwarded.events += 1;
        forwarded.output.extend_from_slice(data);
        forwarded.output.push(b'\n');
    }
    client.send(Bytes::from(event.raw)).await?;
    Ok(ClientSide::Streaming(client))
}
