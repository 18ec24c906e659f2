//! Forwards an engine's events to the client as they arrive.

use std::pin::pin;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use ridgeworks_platform::client_stream_headers;
use ridgeworks_resident::response_head::{BodyFraming, is_in_chunks};
use ridgeworks_routing::{Event, EventSplitter};
use tokio::time::Instant;

use crate::attempt::{AttemptFailure, EngineResponse};
use crate::buffered_response::UNRESERVED_BYTES;
use crate::client::{ClientDisconnected, StreamingClient, WaitingClient};
use crate::gateway::Gateway;
use crate::memory_budget::MemoryReservation;

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
                *head.headers_mut() = client_stream_headers(&engine_response.headers);
                client.start_stream(head)
            }
        }
    }
}

/// Events of a stream that were forwarded, over all attempts.
#[derive(Debug)]
pub struct ForwardedEvents {
    /// Identifier of the last event.
    pub last_event_id: Option<u64>,
    /// Number of events with data.
    pub events: u64,
    /// Most events that the stream may bring; `None` without a limit.
    pub max_events: Option<u64>,
    /// Data of the events, each followed by a line feed.
    pub output: Vec<u8>,
    /// When the first event was forwarded.
    pub first_at: Option<Instant>,
    /// Memory for the output.
    reservation: MemoryReservation,
}

impl ForwardedEvents {
    /// Nothing forwarded yet, in a stream that may be resumed after an event.
    pub fn new(last_event_id: Option<u64>, reservation: MemoryReservation) -> Self {
        Self {
            last_event_id,
            events: 0,
            max_events: None,
            output: Vec::new(),
            first_at: None,
            reservation,
        }
    }

    /// Whether the stream has brought all events that it may.
    fn is_spent(&self) -> bool {
        self.max_events.is_some_and(|max| self.events >= max)
    }

    /// Counts an event with data, before it is sent: tokens that the client may have received are always charged.
    fn add(&mut self, data: &[u8]) -> Result<(), AttemptFailure> {
        if self.is_spent() {
            return Err(AttemptFailure::ResponseTooLarge);
        }
        let bytes = self.output.len() + data.len() + 1;
        reserve(&mut self.reservation, bytes)?;
        self.events += 1;
        self.output.extend_from_slice(data);
        self.output.push(b'\n');
        Ok(())
    }
}

/// Reserves memory for so many bytes of a stream in all.
fn reserve(reservation: &mut MemoryReservation, bytes: usize) -> Result<(), AttemptFailure> {
    let reserved = reservation.resize_within_fair_share(bytes.saturating_sub(UNRESERVED_BYTES));
    reserved.map_err(|_| AttemptFailure::ResponseTooLarge)
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
    gateway: &Gateway,
    engine_response: &mut EngineResponse,
    mut client: ClientSide,
    forwarded: &mut ForwardedEvents,
    deadline: Instant,
    first_event_deadline: Instant,
) -> StreamEnd {
    let mut splitter = EventSplitter::default();
    let is_until_close = engine_response.framing() == BodyFraming::UntilClose;
    let mut incomplete_event = gateway.response_memory.reservation();
    let mut ignores_first_event_deadline = first_event_deadline >= deadline;
    // Timers are created once per stream, because streams have many events.
    let mut deadline_timer = pin!(gateway.stop.until(deadline));
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
        if let Err(failure) = reserve(&mut incomplete_event, splitter.rest().len()) {
            return StreamEnd::Failed(client, failure);
        }
        for event in events {
            if is_until_close && is_in_chunks(event.raw.iter().copied()) {
                return StreamEnd::Failed(client, AttemptFailure::InvalidResponse);
            }
            engine_response.in_flight.on_event();
            match classify_event(&event, forwarded) {
                EventOrder::Repeated => continue,
                EventOrder::Gap => {
                    return StreamEnd::Failed(client, AttemptFailure::InvalidResponse);
                }
                EventOrder::Next => {}
            }
            ignores_first_event_deadline = true;
            let counted = event
                .data
                .as_deref()
                .map_or(Ok(()), |data| forwarded.add(data));
            if let Err(failure) = counted {
                return StreamEnd::Failed(client, failure);
            }
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
    if engine_response.has_cut_body() {
        return StreamEnd::Failed(client, AttemptFailure::InvalidResponse);
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
    client.send(Bytes::from(event.raw)).await?;
    Ok(ClientSide::Streaming(client))
}
