//! Carries one request out, from the reservation of its tokens to the end of its answer.

mod engine_choice;
mod preparation;
mod report;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use rand::RngExt;
use ridgeworks_records::TurnRecord;
use ridgeworks_routing::{Engine, Outcome, Refusal, RefusalReason, RequestKind};
use tokio::time::Instant;

use self::engine_choice::Tried;
use self::report::Ending;
use crate::at_engine::AtEngine;
use crate::attempt::{self, Answered, AttemptFailure, Sending};
use crate::call::Call;
use crate::caller::Caller;
use crate::engine_rules::residency_now;
use crate::gateway::Gateway;
use crate::refusal::refusal_response;
use crate::streaming::{ClientSide, Passed, StreamEnd, pass_on};
use crate::whole_answer;

/// Pause before engines that were full or out of reach are asked again.
const ROOM_PAUSE: Duration = Duration::from_millis(40);

/// Why an attempt ended without a failure of the engine.
enum Interrupted {
    ClientGone,
    TimeUp,
    Failed(AttemptFailure),
}

struct Exchange {
    gateway: Rc<Gateway>,
    call: Call,
    prompt: Bytes,
    tried: Tried,
    passed: Passed,
    reserved: Option<Duration>,
    /// Whether replicas were asked to reserve tokens, so that some may hold the turn in its program's ledger.
    is_charged: Cell<bool>,
    /// Whether the ledger tells of earlier turns of the program.
    is_under_way: bool,
    /// Whether the request has a grant of its tenant's limit.
    is_granted: bool,
    /// Drawn for the request: decides whether an engine that is hardly warm gets it.
    draw: f64,
}

/// Carries a request out and gives its answer to the caller.
pub async fn run(gateway: Rc<Gateway>, call: Call, caller: Caller) {
    let passed = Passed {
        last_event_id: call.metadata.last_event_id,
        ..Passed::default()
    };
    let mut exchange = Exchange {
        gateway,
        prompt: call.body.clone(),
        call,
        tried: Tried::default(),
        passed,
        reserved: None,
        is_charged: Cell::new(false),
        is_under_way: false,
        is_granted: false,
        draw: rand::random(),
    };
    let ending = exchange.carry_out(caller).await;
    let is_own_account = !matches!(
        ending,
        Ending::Refused(refusal) if refusal.reason == RefusalReason::DuplicateRequestId
    );
    if is_own_account {
        exchange.settle();
    }
    if matches!(ending, Ending::Refused(_) | Ending::ClientGone) {
        exchange.give_back_grant();
    }
    exchange.report(ending);
}

impl Exchange {
    async fn carry_out(&mut self, mut caller: Caller) -> Ending {
        let prepared = tokio::select! {
            prepared = self.prepare() => prepared,
            () = caller.gone() => return Ending::ClientGone,
        };
        if let Err(refusal) = prepared {
            return self.refuse(caller, refusal);
        }
        self.try_engines(ClientSide::Waiting(caller)).await
    }

    async fn try_engines(&mut self, client: ClientSide) -> Ending {
        let mut client = client;
        loop {
            if let Some(refusal) = self.refusal_of_key() {
                return self.give_up(client, refusal).await;
            }
            let Some(engine) = self.next_engine() else {
                if let Some(refusal) = self.refusal_of_warm_ups() {
                    return self.give_up(client, refusal).await;
                }
                let exclusion = self.lasting_bar();
                if exclusion.is_some() || !self.may_wait_for_room() {
                    let refusal = self.failure(exclusion);
                    return self.give_up(client, refusal).await;
                }
                tokio::select! {
                    () = client.gone() => return Ending::ClientGone,
                    () = tokio::time::sleep(room_pause()) => self.tried.ask_all_again(),
                }
                continue;
            };
            if !self.is_secured(&engine).await {
                continue;
            }
            match self.attempt(&engine, client).await {
                Ok(ending) => return ending,
                Err(returned) => client = returned,
            }
        }
    }

    /// One attempt; gives the client back when another one may follow.
    async fn attempt(
        &mut self,
        engine: &Engine,
        mut client: ClientSide,
    ) -> Result<Ending, ClientSide> {
        let began = Instant::now();
        let at_engine = AtEngine::new(&self.gateway, engine, &self.call.metadata);
        self.tried.forecast = at_engine.forecast();
        let answered = match self.send(engine, at_engine, &mut client).await {
            Ok(answered) => answered,
            Err(Interrupted::ClientGone) => {
                self.on_maybe_run(engine);
                return Ok(Ending::ClientGone);
            }
            Err(Interrupted::TimeUp) => {
                self.on_maybe_run(engine);
                return Ok(self.time_up(client).await);
            }
            Err(Interrupted::Failed(failure)) => {
                self.on_failure(engine, &failure, began);
                return Err(client);
            }
        };
        let is_stream = self.call.route.kind == RequestKind::Stream;
        if is_stream && answered.status.is_success() {
            self.stream(engine, answered, client, began).await
        } else {
            self.answer_whole(engine, answered, client, began).await
        }
    }

    async fn send(
        &self,
        engine: &Engine,
        at_engine: AtEngine,
        client: &mut ClientSide,
    ) -> Result<Answered, Interrupted> {
        let is_taken_up = self.passed.events > 0;
        let sending = Sending {
            call: &self.call,
            body: &self.prompt,
            last_event_id: self.passed.last_event_id.filter(|_| is_taken_up),
            draw: self.draw,
            grant: self.tried.grant,
        };
        let first_limit = self.first_event_limit();
        tokio::select! {
            answered = attempt::send(&self.gateway, engine, at_engine, sending) => {
                answered.map_err(Interrupted::Failed)
            }
            () = client.gone() => Err(Interrupted::ClientGone),
            () = tokio::time::sleep_until(self.call.limit) => Err(Interrupted::TimeUp),
            () = tokio::time::sleep_until(first_limit), if first_limit < self.call.limit => {
                Err(Interrupted::Failed(AttemptFailure::Silent))
            }
        }
    }

    async fn stream(
        &mut self,
        engine: &Engine,
        mut answered: Answered,
        client: ClientSide,
        began: Instant,
    ) -> Result<Ending, ClientSide> {
        let first_limit = self.first_event_limit();
        let limit = self.call.limit;
        let end = pass_on(&mut answered, client, &mut self.passed, limit, first_limit).await;
        let status = answered.status.as_u16();
        match end {
            StreamEnd::Complete(client) => {
                answered.at_engine.on_whole();
                answered.finish(&self.gateway);
                self.on_outcome(engine, Outcome::Served);
                Ok(self.complete(client, status).await)
            }
            StreamEnd::Failed(client, failure) => {
                drop(answered);
                self.on_failure(engine, &failure, began);
                Err(client)
            }
            StreamEnd::ClientGone => {
                self.on_maybe_run(engine);
                Ok(Ending::ClientGone)
            }
            StreamEnd::TimeUp(client) => {
                self.on_maybe_run(engine);
                Ok(self.time_up(client).await)
            }
        }
    }

    /// Makes the turn durable where the route keeps turns, then lets the end of the answer go out.
    async fn complete(&mut self, client: ClientSide, status: u16) -> Ending {
        let ClientSide::Streaming(caller) = client else {
            return Ending::Answered(status);
        };
        if !self.call.route.keeps_turns {
            return Ending::Answered(status);
        }
        let record = TurnRecord {
            turn: self.call.turn(),
            previous: self.call.previous_turn(),
            input: self.call.body.to_vec(),
            output: std::mem::take(&mut self.passed.output),
        };
        let began = Instant::now();
        let retention = self.call.route.retention();
        let records = &self.gateway.records;
        let program = self.call.program();
        let residency = residency_now(&self.gateway, &self.call);
        let limit = self.call.limit;
        let appending = records.append(program.as_ref(), &record, retention, &residency, limit);
        let appended = tokio::select! {
            appended = appending => appended,
            () = caller.gone() => return Ending::ClientGone,
        };
        let taken = began.elapsed().as_secs_f64();
        self.gateway.metrics.append_seconds.observe(taken);
        if appended.is_err() {
            caller.break_off().await;
            return Ending::BrokenOff("turn_not_recorded");
        }
        self.cache(record);
        Ending::Answered(status)
    }

    async fn answer_whole(
        &mut self,
        engine: &Engine,
        answered: Answered,
        mut client: ClientSide,
        began: Instant,
    ) -> Result<Ending, ClientSide> {
        let status = answered.status;
        let response = tokio::select! {
            response = whole_answer::read(&self.gateway, answered) => response,
            () = client.gone() => {
                self.on_maybe_run(engine);
                return Ok(Ending::ClientGone);
            }
            () = tokio::time::sleep_until(self.call.limit) => {
                self.on_maybe_run(engine);
                return Ok(self.time_up(client).await);
            }
        };
        match (response, client) {
            (Ok(response), ClientSide::Waiting(caller)) => {
                self.on_outcome(engine, outcome_of(status));
                caller.answer(response);
                Ok(Ending::Answered(status.as_u16()))
            }
            // The engine that was to take a stream up answered with something else.
            (Ok(_), client) => {
                self.on_failure(engine, &AttemptFailure::Garbled, began);
                Err(client)
            }
            (Err(failure), client) => {
                self.on_failure(engine, &failure, began);
                Err(client)
            }
        }
    }

    /// No further engine may be asked.
    async fn give_up(&self, client: ClientSide, refusal: Refusal) -> Ending {
        match client {
            ClientSide::Waiting(caller) => self.refuse(caller, refusal),
            ClientSide::Streaming(caller) => {
                caller.break_off().await;
                Ending::BrokenOff("engine_failed")
            }
        }
    }

    async fn time_up(&self, client: ClientSide) -> Ending {
        let reason = if self.tried.ran_on.is_empty() {
            RefusalReason::TimedOutUnsent
        } else {
            RefusalReason::TimedOut
        };
        match client {
            ClientSide::Waiting(caller) => self.refuse(caller, Refusal::last(reason)),
            ClientSide::Streaming(caller) => {
                caller.break_off().await;
                Ending::BrokenOff(reason.name())
            }
        }
    }

    fn refuse(&self, caller: Caller, refusal: Refusal) -> Ending {
        self.gateway.metrics.on_refused(refusal.reason);
        caller.answer(refusal_response(&refusal));
        Ending::Refused(refusal)
    }
}

/// What an engine's own answer says of it. A deadline that has passed is not the engine's doing.
fn outcome_of(status: StatusCode) -> Outcome {
    if status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT {
        Outcome::Failed
    } else {
        Outcome::Served
    }
}

/// Drawn at random, so that requests that wait do not come back together.
fn room_pause() -> Duration {
    ROOM_PAUSE.mul_f64(rand::rng().random_range(0.5..1.5))
}
