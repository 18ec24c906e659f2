//! Executes one request, from the reservation of its tokens to the end of its response.

mod budget;
mod chain_keeping;
mod end_ledger;
mod engine_choice;
mod engine_ends;
mod left_permits;
mod preparation;
mod report;
mod send_permits;
mod software;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use rand::RngExt;
use ridgeworks_records::TurnRecord;
use ridgeworks_routing::{DenialReason, Engine, Outcome, Refusal, RefusalReason, RequestKind};
use tokio::time::Instant;

use self::engine_choice::AttemptHistory;
pub use self::engine_ends::END_LIFETIME;
use self::engine_ends::RequestEnds;
use self::report::Ending;
use self::software::StreamSoftware;
use crate::attempt::{self, AttemptFailure, AttemptRequest, EngineResponse};
use crate::buffered_response;
use crate::call::Call;
use crate::client::WaitingClient;
use crate::connection_pool::UsedConnections;
use crate::engine_rules::current_residency;
use crate::gateway::Gateway;
use crate::in_flight::InFlightRequest;
use crate::refusal::{RETRY_AFTER, refusal_response};
use crate::streaming::{ClientSide, ForwardedEvents, StreamEnd, forward_events};

/// Mean delay before engines that were full or unreachable are tried again.
const CAPACITY_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Why an attempt ended before the engine's response began.
enum SendFailure {
    ClientDisconnected,
    DeadlineExceeded,
    Failed(AttemptFailure),
}

/// State of one request while it is executed.
struct Exchange {
    gateway: Rc<Gateway>,
    call: Call,
    /// Body for the engine; includes the earlier turns once they have been read.
    prompt: Bytes,
    history: AttemptHistory,
    used_connections: UsedConnections,
    software: StreamSoftware,
    ends: RequestEnds,
    forwarded: ForwardedEvents,
    /// How long the reservation of tokens took; `None` if there was none.
    reserve_time: Option<Duration>,
    /// Whether a reservation was sent to replicas, so that some may hold the turn in its program's
    /// ledger.
    may_be_reserved: Cell<bool>,
    /// Whether the program's ledger has earlier turns.
    has_earlier_turns: bool,
    /// Whether the request holds a rate-limit grant of its tenant.
    has_rate_grant: bool,
    /// Random number from 0 to 1, drawn once per request. The request needs no grant for an engine
    /// if the fraction of requests to it that need none (`WarmUps::share`) is greater than this.
    draw: f64,
}

/// Executes a request and sends its response to the client.
pub async fn run(gateway: Rc<Gateway>, call: Call, client: WaitingClient) {
    let forwarded = ForwardedEvents::new(
        call.metadata.last_event_id,
        gateway.response_memory.reservation(),
    );
    let mut exchange = Exchange {
        gateway,
        prompt: call.body.clone(),
        call,
        history: AttemptHistory::default(),
        used_connections: UsedConnections::default(),
        software: StreamSoftware::default(),
        ends: RequestEnds::default(),
        forwarded,
        reserve_time: None,
        may_be_reserved: Cell::new(false),
        has_earlier_turns: false,
        has_rate_grant: false,
        draw: rand::random(),
    };
    let ending = exchange.execute(client).await;
    exchange.find_end_after_client_left().await;
    let owns_ledger_entry = !matches!(
        ending,
        Ending::Refused(refusal) if refusal.is_denied_for(DenialReason::DuplicateRequestId)
    );
    if owns_ledger_entry {
        exchange.settle();
    }
    exchange.settle_permit_later();
    if matches!(ending, Ending::Refused(_) | Ending::ClientDisconnected) {
        exchange.return_unused_rate_grant();
    }
    exchange.report(ending);
}

impl Exchange {
    async fn execute(&mut self, mut client: WaitingClient) -> Ending {
        let gateway = Rc::clone(&self.gateway);
        let prepared = tokio::select! {
            prepared = self.prepare() => prepared,
            () = client.disconnected() => return Ending::ClientDisconnected,
            () = gateway.stop.given_up() => Err(self.out_of_time()),
        };
        if let Err(refusal) = prepared {
            self.settle_before_answer().await;
            return self.refuse(client, refusal);
        }
        let keeping_chain = self.keep_chain();
        tokio::select! {
            ending = self.try_engines(ClientSide::Waiting(client)) => ending,
            never = keeping_chain => match never {},
        }
    }

    async fn try_engines(&mut self, mut client: ClientSide) -> Ending {
        loop {
            if let Some(refusal) = self.key_refusal() {
                return self.give_up(client, refusal).await;
            }
            if let Some(refusal) = self.ends_refusal() {
                return self.give_up(client, refusal).await;
            }
            let Some(engine) = self.next_engine() else {
                if let Some(refusal) = self.warm_up_refusal() {
                    return self.give_up(client, refusal).await;
                }
                let exclusion = self.permanent_exclusion();
                if exclusion.is_some() || !self.may_wait_for_capacity() {
                    let refusal = self.final_refusal(exclusion);
                    return self.give_up(client, refusal).await;
                }
                tokio::select! {
                    () = client.disconnected() => return Ending::ClientDisconnected,
                    () = self.gateway.stop.given_up() => {
                        let refusal = self.out_of_time();
                        return self.give_up(client, refusal).await;
                    }
                    () = tokio::time::sleep(capacity_retry_delay()) => self.history.reset(),
                }
                continue;
            };
            if !self.try_acquire_warm_up_grant(&engine).await {
                continue;
            }
            let recorded = tokio::select! {
                recorded = self.record_software(&engine) => recorded,
                () = client.disconnected() => return Ending::ClientDisconnected,
            };
            if let Err(refusal) = recorded {
                let refusal = self.refusal_after_run().unwrap_or(refusal);
                return self.give_up(client, refusal).await;
            }
            let permitted = tokio::select! {
                permitted = self.acquire_permit(&engine) => permitted,
                () = client.disconnected() => return Ending::ClientDisconnected,
            };
            if let Err(refusal) = permitted {
                let after_run = self.refusal_after_run();
                let is_final = refusal.is_denied_for(DenialReason::EndsEngines);
                let refusal = after_run.filter(|_| !is_final).unwrap_or(refusal);
                return self.give_up(client, refusal).await;
            }
            match self.attempt(&engine, client).await {
                Ok(ending) => return ending,
                Err(returned) => client = returned,
            }
        }
    }

    /// Makes one attempt. Returns the client as `Err` when another attempt may follow.
    async fn attempt(
        &mut self,
        engine: &Engine,
        mut client: ClientSide,
    ) -> Result<Ending, ClientSide> {
        if self.is_resumed() {
            self.log_resumed(engine);
        }
        let began = Instant::now();
        let in_flight = InFlightRequest::new(&self.gateway, engine, &self.call.metadata);
        self.history.forecast = in_flight.forecast();
        let engine_response = match self.send(engine, in_flight, &mut client).await {
            Ok(engine_response) => engine_response,
            Err(SendFailure::ClientDisconnected) => {
                self.record_possible_run(engine);
                self.on_client_left(engine, began);
                return Ok(Ending::ClientDisconnected);
            }
            Err(SendFailure::DeadlineExceeded) => {
                self.record_possible_run(engine);
                self.find_end_of_silent(engine, began);
                return Ok(self.deadline_exceeded(client).await);
            }
            Err(SendFailure::Failed(failure)) => {
                self.on_failure(engine, &failure, began);
                self.find_end(engine, &failure).await;
                return Err(client);
            }
        };
        let is_stream = self.call.route.kind == RequestKind::Stream;
        if is_stream && engine_response.status.is_success() {
            self.stream(engine, engine_response, client, began).await
        } else {
            self.send_buffered(engine, engine_response, client, began)
                .await
        }
    }

    /// Whether the client has received events of the stream, in this attempt or in an earlier one.
    fn is_resumed(&self) -> bool {
        self.forwarded.events > 0 || self.call.is_resumed_stream()
    }

    async fn send(
        &self,
        engine: &Engine,
        in_flight: InFlightRequest,
        client: &mut ClientSide,
    ) -> Result<EngineResponse, SendFailure> {
        let is_resumed = self.forwarded.events > 0;
        let outgoing = AttemptRequest {
            call: &self.call,
            body: &self.prompt,
            last_event_id: self.forwarded.last_event_id.filter(|_| is_resumed),
            draw: self.draw,
            warm_up_grant: self.history.warm_up_grant,
            used_connections: &self.used_connections,
        };
        let first_event_deadline = self.first_event_deadline();
        tokio::select! {
            engine_response = attempt::send(&self.gateway, engine, in_flight, outgoing) => {
                engine_response.map_err(SendFailure::Failed)
            }
            () = client.disconnected() => Err(SendFailure::ClientDisconnected),
            () = self.gateway.stop.until(self.call.deadline) => Err(SendFailure::DeadlineExceeded),
            () = tokio::time::sleep_until(first_event_deadline), if first_event_deadline < self.call.deadline => {
                Err(SendFailure::Failed(AttemptFailure::ResponseTimeout))
            }
        }
    }

    async fn stream(
        &mut self,
        engine: &Engine,
        mut engine_response: EngineResponse,
        client: ClientSide,
        began: Instant,
    ) -> Result<Ending, ClientSide> {
        let first_event_deadline = self.first_event_deadline();
        let deadline = self.call.deadline;
        self.forwarded.max_events = self.max_events();
        let gateway = Rc::clone(&self.gateway);
        let end = forward_events(
            &gateway,
            &mut engine_response,
            client,
            &mut self.forwarded,
            deadline,
            first_event_deadline,
        )
        .await;
        let status = engine_response.status.as_u16();
        match end {
            StreamEnd::Complete(client) => {
                engine_response.in_flight.on_complete();
                engine_response.finish(&self.gateway);
                self.on_outcome(engine, Outcome::Served);
                self.on_outlived();
                Ok(self.complete(client, status).await)
            }
            StreamEnd::Failed(client, failure) => {
                drop(engine_response);
                self.on_failure(engine, &failure, began);
                self.find_end(engine, &failure).await;
                Err(client)
            }
            StreamEnd::ClientDisconnected => {
                self.record_possible_run(engine);
                self.on_client_left(engine, engine_response.in_flight.last_heard());
                Ok(Ending::ClientDisconnected)
            }
            StreamEnd::DeadlineExceeded(client) => {
                self.record_possible_run(engine);
                self.find_end_of_silent(engine, engine_response.in_flight.last_heard());
                Ok(self.deadline_exceeded(client).await)
            }
        }
    }

    /// Makes the turn durable if the route keeps turns. The client sees the end of the response
    /// only after that.
    async fn complete(&mut self, client: ClientSide, status: u16) -> Ending {
        let ClientSide::Streaming(client) = client else {
            return Ending::Answered(status);
        };
        if !self.call.route.keeps_turns {
            return Ending::Answered(status);
        }
        let record = TurnRecord {
            turn: self.call.turn(),
            previous: self.call.previous_turn(),
            input: self.call.body.to_vec(),
            output: std::mem::take(&mut self.forwarded.output),
        };
        let began = Instant::now();
        let retention = self.call.route.retention();
        let records = &self.gateway.records;
        let program = self.call.program();
        let residency = current_residency(&self.gateway, &self.call);
        let deadline = self.call.deadline;
        let appending = records.append(program.as_ref(), &record, retention, &residency, deadline);
        let appended = tokio::select! {
            appended = appending => appended,
            () = client.disconnected() => return Ending::ClientDisconnected,
        };
        let elapsed_secs = began.elapsed().as_secs_f64();
        self.gateway.metrics.append_seconds.observe(elapsed_secs);
        if appended.is_err() {
            client.abort().await;
            return Ending::Aborted("turn_not_recorded");
        }
        self.cache(record);
        Ending::Answered(status)
    }

    async fn send_buffered(
        &mut self,
        engine: &Engine,
        engine_response: EngineResponse,
        mut client: ClientSide,
        began: Instant,
    ) -> Result<Ending, ClientSide> {
        let status = engine_response.status;
        let reading_since = Instant::now();
        let response = tokio::select! {
            response = buffered_response::read(&self.gateway, engine_response) => response,
            () = client.disconnected() => {
                self.record_possible_run(engine);
                self.on_client_left(engine, reading_since);
                return Ok(Ending::ClientDisconnected);
            }
            () = self.gateway.stop.until(self.call.deadline) => {
                self.record_possible_run(engine);
                self.find_end_of_silent(engine, reading_since);
                return Ok(self.deadline_exceeded(client).await);
            }
        };
        match (response, client) {
            (Ok(response), ClientSide::Waiting(client)) => {
                self.on_outcome(engine, outcome_of(status));
                self.on_outlived();
                client.answer(response);
                Ok(Ending::Answered(status.as_u16()))
            }
            // The engine that should have resumed the stream sent something else.
            (Ok(_), client) => {
                self.on_failure(engine, &AttemptFailure::InvalidResponse, began);
                Err(client)
            }
            (Err(failure), client) => {
                self.on_failure(engine, &failure, began);
                self.find_end(engine, &failure).await;
                Err(client)
            }
        }
    }

    /// Ends the request when no further engine may be tried.
    async fn give_up(&mut self, client: ClientSide, refusal: Refusal) -> Ending {
        self.settle_before_answer().await;
        match client {
            ClientSide::Waiting(client) => self.refuse(client, refusal),
            ClientSide::Streaming(client) => {
                client.abort().await;
                Ending::Aborted("engine_failed")
            }
        }
    }

    async fn deadline_exceeded(&self, client: ClientSide) -> Ending {
        let refusal = self.out_of_time();
        match client {
            ClientSide::Waiting(client) => self.refuse(client, refusal),
            ClientSide::Streaming(client) => {
                client.abort().await;
                Ending::Aborted(refusal.reason.name())
            }
        }
    }

    /// The refusal of a request whose deadline has passed, or which is given up since the gateway stops.
    fn out_of_time(&self) -> Refusal {
        let is_unsent = self.history.may_have_run_on.is_empty();
        match (self.gateway.stop.has_given_up(), is_unsent) {
            (true, true) => Refusal::retry_later(RefusalReason::Stopping, RETRY_AFTER),
            (true, false) => Refusal::without_retry(RefusalReason::Stopped),
            (false, true) => Refusal::without_retry(RefusalReason::TimedOutUnsent),
            (false, false) => Refusal::without_retry(RefusalReason::TimedOut),
        }
    }

    fn refuse(&self, client: WaitingClient, refusal: Refusal) -> Ending {
        self.gateway.metrics.on_refused(refusal.reason);
        client.answer(refusal_response(&refusal));
        Ending::Refused(refusal)
    }
}

/// How an engine's response counts for its health. A deadline that has passed is not the engine's
/// failure.
fn outcome_of(status: StatusCode) -> Outcome {
    if status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT {
        Outcome::Failed
    } else {
        Outcome::Served
    }
}

/// Jittered, so that waiting requests do not retry at the same moment.
fn capacity_retry_delay() -> Duration {
    CAPACITY_RETRY_DELAY.mul_f64(rand::rng().random_range(0.5..1.5))
}
