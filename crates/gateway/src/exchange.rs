//! Carries one request out, from the reservation of its tokens to the end of its answer.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use rand::RngExt;
use ridgeworks_records::{ChainOutcome, LedgerEntry, ProgramId, Settlement, TurnId, TurnRecord};
use ridgeworks_routing::{Demand, Engine, Refusal, RefusalReason, RequestKind};
use tokio::time::Instant;

use crate::attempt::{self, Answered, AttemptFailure, Sending};
use crate::caller::Caller;
use crate::entry::{COME_BACK, Call, age_ms, refusal_response};
use crate::gateway::Gateway;
use crate::records_client::keep_ms;
use crate::streaming::{ClientSide, Passed, StreamEnd, pass_on};
use crate::whole_answer;

/// How long a turn waits for the replicas before it is refused.
const RECORDS_PATIENCE: Duration = Duration::from_millis(700);
/// Engines that may reject a request before the client is told to come back.
const MAX_REJECTIONS: usize = 3;
/// Part of a request's time for which engines that are full or out of reach are asked again.
const WAIT_SHARE: f64 = 0.35;
/// Part of a request's time after which its client may come back.
const COME_BACK_SHARE: f64 = 0.2;
/// Pause before engines that were full or out of reach are asked again.
const ROOM_PAUSE: Duration = Duration::from_millis(40);
/// Engines that may turn out to be unreachable before the client is told to come back.
const MAX_UNREACHABLE: usize = 6;
/// Shortest wait for a first event before another engine is asked.
const LEAST_FIRST_EVENT_PATIENCE: Duration = Duration::from_millis(300);
/// How many times its target a first event may take before another engine is asked.
const FIRST_EVENT_PATIENCE: u32 = 4;

/// How a request ended, for logs and metrics.
#[derive(Debug, Clone, Copy)]
enum Ending {
    Answered(u16),
    Refused(Refusal),
    BrokenOff(&'static str),
    ClientGone,
}

impl Ending {
    fn name(self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Refused(_) => "refused",
            Self::BrokenOff(_) => "broken_off",
            Self::ClientGone => "client_gone",
        }
    }

    fn reason(self) -> &'static str {
        match self {
            Self::Refused(refusal) => refusal.reason.name(),
            Self::BrokenOff(reason) => reason,
            Self::Answered(_) | Self::ClientGone => "",
        }
    }
}

/// Why an attempt ended without a failure of the engine.
enum Interrupted {
    ClientGone,
    TimeUp,
    Failed(AttemptFailure),
}

/// What is known about the engines that were asked.
#[derive(Default)]
struct Tried {
    /// Engines that must not be asked again.
    excluded: Vec<String>,
    /// Engines that may have run the request.
    ran_on: Vec<String>,
    /// An engine at which the stream was taken up although it had failed before.
    taken_up_at: Option<String>,
    rejections: usize,
    unreachable: usize,
    /// Whether all engines were full or out of reach once before.
    has_waited: bool,
}

impl Tried {
    /// Engines that did not run the request may be asked again.
    fn ask_all_again(&mut self) {
        self.excluded.clear();
        self.rejections = 0;
        self.unreachable = 0;
        self.has_waited = true;
    }
}

/// The account of a turn in its program's ledger.
struct Account {
    program: ProgramId,
    turn: TurnId,
    retention: Duration,
}

struct Exchange {
    gateway: Rc<Gateway>,
    call: Call,
    prompt: Bytes,
    tried: Tried,
    passed: Passed,
    reserved: Option<Duration>,
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
    };
    let ending = exchange.carry_out(caller).await;
    let is_own_account = !matches!(
        ending,
        Ending::Refused(refusal) if refusal.reason == RefusalReason::UsedIdentifier
    );
    if is_own_account {
        exchange.settle();
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

    /// Reads the earlier turns and reserves tokens, both at once.
    async fn prepare(&mut self) -> Result<(), Refusal> {
        let began = Instant::now();
        let (prompt, reserved) = tokio::join!(self.read_prompt(), self.reserve());
        let prompt = prompt?;
        if reserved? {
            self.reserved = Some(began.elapsed());
        }
        self.prompt = prompt;
        Ok(())
    }

    fn account(&self) -> Option<Account> {
        let metadata = &self.call.metadata;
        metadata.token_budget?;
        Some(Account {
            program: ProgramId(metadata.program.clone()?),
            turn: TurnId(metadata.request_id.clone()),
            retention: self.call.route.retention(),
        })
    }

    fn records_limit(&self) -> Instant {
        self.call.limit.min(Instant::now() + RECORDS_PATIENCE)
    }

    /// Reserves the most that the turn may generate; says whether there was anything to reserve.
    async fn reserve(&self) -> Result<bool, Refusal> {
        let (Some(account), Some(budget)) = (self.account(), self.call.metadata.token_budget)
        else {
            return Ok(false);
        };
        let began = Instant::now();
        let most = self.call.metadata.most_tokens;
        let entry = LedgerEntry { most, spent: None };
        let charging = self.gateway.records.charge(
            &account.program,
            &account.turn,
            entry,
            account.retention,
            self.records_limit(),
        );
        let unavailable = Refusal::come_back(RefusalReason::LedgerUnavailable, COME_BACK);
        let ledger = charging.await.map_err(|_| unavailable)?;
        let taken = began.elapsed().as_secs_f64();
        self.gateway.metrics.reserve_seconds.observe(taken);
        if ledger.is_settled(&account.turn) {
            // An identifier that was used before: its account must not be opened anew.
            return Err(Refusal::last(RefusalReason::UsedIdentifier));
        }
        if ledger.admits(&account.turn, most, budget) {
            return Ok(true);
        }
        log::info!(
            target: "request",
            request = account.turn.0.as_str(),
            program = account.program.0.as_str(),
            budget = budget,
            most = most,
            charged_to_others = ledger.charged_besides(&account.turn),
            turns_in_ledger = ledger.entries.len(),
            epoch = self.gateway.node.view.epoch().0;
            "budget does not hold the turn"
        );
        Err(Refusal::last(RefusalReason::BudgetSpent))
    }

    /// The body for the engine: all earlier turns, then what the client sent.
    async fn read_prompt(&self) -> Result<Bytes, Refusal> {
        let previous = self.call.metadata.previous_turn.as_ref();
        let Some(previous) = previous.filter(|_| self.call.route.keeps_turns) else {
            return Ok(self.call.body.clone());
        };
        let previous = TurnId(previous.clone());
        let now = self.gateway.now();
        let cached = self.gateway.turns.borrow().chain(&previous, now);
        if let Some(chain) = cached {
            let chain = chain.iter().map(Rc::as_ref);
            return Ok(join_prompt(chain, &self.call.body));
        }
        let began = Instant::now();
        let records = &self.gateway.records;
        let request = &self.call.metadata.request_id;
        let reading = records.read_chain(&previous, request, self.records_limit());
        let outcome = reading.await;
        let taken = began.elapsed().as_secs_f64();
        self.gateway.metrics.chain_read_seconds.observe(taken);
        match outcome {
            Ok(ChainOutcome::Whole(chain)) => {
                let prompt = join_prompt(chain.iter(), &self.call.body);
                chain.into_iter().for_each(|record| self.cache(record));
                Ok(prompt)
            }
            Ok(ChainOutcome::NoSuchTurn(missing)) if missing == previous => {
                Err(Refusal::last(RefusalReason::NoSuchTurn))
            }
            // The turn is there and one before it is not: never say that the turn does not exist.
            Ok(ChainOutcome::NoSuchTurn(missing)) => {
                log::error!(
                    target: "request",
                    request = self.call.metadata.request_id.as_str(),
                    missing = missing.0.as_str();
                    "a turn of a kept chain is missing"
                );
                Err(Refusal::come_back(
                    RefusalReason::TurnsUnavailable,
                    COME_BACK,
                ))
            }
            Err(_) => Err(Refusal::come_back(
                RefusalReason::TurnsUnavailable,
                COME_BACK,
            )),
        }
    }

    fn cache(&self, record: TurnRecord) {
        let until = self.gateway.now() + self.call.route.retention();
        self.gateway.turns.borrow_mut().insert(record, until);
    }

    async fn try_engines(&mut self, client: ClientSide) -> Ending {
        let mut client = client;
        loop {
            let Some(engine) = self.next_engine() else {
                if !self.may_wait_for_room() {
                    return self.give_up(client).await;
                }
                tokio::select! {
                    () = client.gone() => return Ending::ClientGone,
                    () = tokio::time::sleep(room_pause()) => self.tried.ask_all_again(),
                }
                continue;
            };
            match self.attempt(&engine, client).await {
                Ok(ending) => return ending,
                Err(returned) => client = returned,
            }
        }
    }

    /// Whether engines that are full or out of reach are asked again in a moment: none may have run the
    /// request, and time is left for the client to come back after a refusal.
    fn may_wait_for_room(&self) -> bool {
        let time = self.call.limit - self.call.received;
        let until = self.call.received + time.mul_f64(WAIT_SHARE);
        self.tried.ran_on.is_empty() && self.passed.events == 0 && Instant::now() < until
    }

    /// The engine to ask next, as far as the route and the failures so far allow.
    fn next_engine(&mut self) -> Option<Engine> {
        let tried = &self.tried;
        let worn_out = tried.rejections >= MAX_REJECTIONS || tried.unreachable >= MAX_UNREACHABLE;
        if worn_out || Instant::now() >= self.call.limit {
            return None;
        }
        let may_repeat = tried.ran_on.is_empty() || self.call.route.is_repeatable();
        if !may_repeat {
            return None;
        }
        if tried.ran_on.len() >= self.call.route.max_attempts as usize {
            return self.same_engine();
        }
        let metadata = &self.call.metadata;
        self.gateway.choose_engine(&Demand {
            service: &self.call.service,
            key: metadata.placement_key(),
            parts: &metadata.prompt_parts,
            zone: &self.gateway.node.settings.zone,
            excluded: &tried.excluded,
        })
    }

    /// A stream may be taken up once at the engine that broke it off: that is no further engine.
    fn same_engine(&mut self) -> Option<Engine> {
        let is_stream = self.call.route.kind == RequestKind::Stream;
        let last = self.tried.ran_on.last().filter(|_| is_stream)?;
        if self.tried.taken_up_at.is_some() {
            return None;
        }
        let engine = self
            .gateway
            .node
            .view
            .with_engines(|table| table.get(last).cloned())?;
        self.tried.taken_up_at = Some(engine.instance.clone());
        Some(engine)
    }

    /// One attempt; gives the client back when another one may follow.
    async fn attempt(
        &mut self,
        engine: &Engine,
        mut client: ClientSide,
    ) -> Result<Ending, ClientSide> {
        let began = Instant::now();
        let answered = match self.send(engine, &mut client).await {
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
        client: &mut ClientSide,
    ) -> Result<Answered, Interrupted> {
        let is_taken_up = self.passed.events > 0;
        let sending = Sending {
            call: &self.call,
            body: &self.prompt,
            last_event_id: self.passed.last_event_id.filter(|_| is_taken_up),
        };
        let first_limit = self.first_event_limit();
        tokio::select! {
            answered = attempt::send(&self.gateway, engine, sending) => {
                answered.map_err(Interrupted::Failed)
            }
            () = client.gone() => Err(Interrupted::ClientGone),
            () = tokio::time::sleep_until(self.call.limit) => Err(Interrupted::TimeUp),
            () = tokio::time::sleep_until(first_limit), if first_limit < self.call.limit => {
                Err(Interrupted::Failed(AttemptFailure::Silent))
            }
        }
    }

    /// Until when an engine may be silent: to the end, unless another one may be asked instead.
    fn first_event_limit(&self) -> Instant {
        let route = &self.call.route;
        let another = self.tried.ran_on.len() + 1 < route.max_attempts as usize;
        if !another || !route.is_repeatable() {
            return self.call.limit;
        }
        let target = Duration::from_millis(route.target_ms);
        let patience = (target * FIRST_EVENT_PATIENCE).max(LEAST_FIRST_EVENT_PATIENCE);
        self.call.limit.min(Instant::now() + patience)
    }

    async fn stream(
        &mut self,
        engine: &Engine,
        mut answered: Answered,
        client: ClientSide,
        began: Instant,
    ) -> Result<Ending, ClientSide> {
        let events_before = self.passed.events;
        let first_limit = self.first_event_limit();
        let limit = self.call.limit;
        let end = pass_on(&mut answered, client, &mut self.passed, limit, first_limit).await;
        let status = answered.status.as_u16();
        match end {
            StreamEnd::Complete(client) => {
                answered.finish(&self.gateway);
                self.on_success(engine, events_before);
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
        let metadata = &self.call.metadata;
        let record = TurnRecord {
            turn: TurnId(metadata.request_id.clone()),
            previous: metadata.previous_turn.clone().map(TurnId),
            input: self.call.body.to_vec(),
            output: std::mem::take(&mut self.passed.output),
        };
        let began = Instant::now();
        let retention = self.call.route.retention();
        let appending = self
            .gateway
            .records
            .append(&record, retention, self.call.limit);
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
        let status = answered.status.as_u16();
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
                self.on_success(engine, 0);
                caller.answer(response);
                Ok(Ending::Answered(status))
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

    fn on_success(&self, engine: &Engine, events_before: u64) {
        self.gateway.on_engine_success(&engine.instance);
        let gaps = self.passed.events.saturating_sub(events_before + 1);
        let (Some(first), Some(last)) = (self.passed.first_at, self.passed.last_at) else {
            return;
        };
        if gaps > 0 && events_before == 0 {
            let step_ms = (last - first).as_secs_f64() * 1_000.0 / gaps as f64;
            let mut placement = self.gateway.placement.borrow_mut();
            placement.health(&engine.instance).on_step(step_ms);
        }
    }

    fn on_maybe_run(&mut self, engine: &Engine) {
        let ran_on = &mut self.tried.ran_on;
        if !ran_on.contains(&engine.instance) {
            ran_on.push(engine.instance.clone());
        }
    }

    fn on_failure(&mut self, engine: &Engine, failure: &AttemptFailure, began: Instant) {
        let instance = &engine.instance;
        self.gateway.metrics.on_failed_attempt(failure.name());
        let tried = &mut self.tried;
        let was_excluded = tried.excluded.contains(instance);
        if !was_excluded {
            tried.excluded.push(instance.clone());
        }
        match failure {
            AttemptFailure::NotSent(_) | AttemptFailure::Unsent => {
                tried.unreachable += 1;
                // An engine that has ended does not count among those that ran the request.
                tried.ran_on.retain(|ran| ran != instance || !was_excluded);
            }
            AttemptFailure::Rejected(_) => tried.rejections += 1,
            _ => {}
        }
        if !matches!(failure, AttemptFailure::Rejected(_)) {
            self.gateway.on_engine_failure(instance);
        }
        if !failure.is_not_run() {
            self.on_maybe_run(engine);
        }
        log::info!(
            target: "attempt",
            request = self.call.metadata.request_id.as_str(),
            engine = instance.as_str(),
            service = engine.service.as_str(),
            reason = failure.name(),
            detail:% = failure,
            events_passed = self.passed.events,
            took_ms = whole_ms(began.elapsed()),
            engines_at = self.gateway.node.view.with_engines(|engines| engines.at());
            "attempt failed"
        );
    }

    /// No further engine may be asked.
    async fn give_up(&self, client: ClientSide) -> Ending {
        match client {
            ClientSide::Waiting(caller) => self.refuse(caller, self.failure()),
            ClientSide::Streaming(caller) => {
                caller.break_off().await;
                Ending::BrokenOff("engine_failed")
            }
        }
    }

    fn failure(&self) -> Refusal {
        if !self.tried.ran_on.is_empty() {
            return Refusal::last(RefusalReason::EngineFailed);
        }
        let time = self.call.limit - self.call.received;
        let after = time.mul_f64(COME_BACK_SHARE).max(COME_BACK);
        if self.tried.rejections > 0 || self.tried.has_waited {
            return Refusal::come_back(RefusalReason::EnginesFull, after);
        }
        Refusal::come_back(RefusalReason::NoEngine, after)
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

    /// Puts what was generated in place of what was reserved, without making anybody wait.
    fn settle(&self) {
        let Some(account) = self.account() else {
            return;
        };
        self.gateway.records.settle(Settlement {
            program: account.program,
            turn: account.turn,
            entry: LedgerEntry {
                most: self.call.metadata.most_tokens,
                spent: Some(self.passed.events * self.event_tokens()),
            },
            keep_ms: keep_ms(account.retention),
        });
    }

    fn event_tokens(&self) -> u64 {
        let routes = self.gateway.node.view.routes();
        let service = routes.and_then(|routes| routes.service(&self.call.service).cloned());
        let model = service.and_then(|service| service.model.clone());
        // Without a model's word for it, a turn is charged at its most.
        model.map_or(self.call.metadata.most_tokens, |model| model.event_tokens)
    }

    fn report(&self, ending: Ending) {
        let call = &self.call;
        let metrics = &self.gateway.metrics;
        metrics.on_ended(ending.name(), call.received.elapsed());
        let first_event = self.passed.first_at.map(|at| at - call.received);
        if let Some(first_event) = first_event {
            metrics
                .first_event_seconds
                .observe(first_event.as_secs_f64());
        }
        let status = match ending {
            Ending::Answered(status) => status,
            _ => 0,
        };
        let last_engine = self.tried.ran_on.last().or(self.tried.excluded.last());
        log::info!(
            target: "request",
            request = call.metadata.request_id.as_str(),
            program = call.metadata.program.as_deref().unwrap_or_default(),
            session = call.metadata.session.as_deref().unwrap_or_default(),
            route = call.route.name.as_str(),
            service = call.service.as_str(),
            version = call.version,
            version_age_ms = age_ms(&self.gateway),
            epoch = self.gateway.node.view.epoch().0,
            outcome = ending.name(),
            reason = ending.reason(),
            status = status,
            engines_tried = self.tried.excluded.len(),
            rejections = self.tried.rejections,
            failed_engine = last_engine.map(String::as_str).unwrap_or_default(),
            events = self.passed.events,
            reserve_ms = self.reserved.map_or(0, whole_ms),
            first_event_ms = first_event.map_or(0, whole_ms),
            took_ms = whole_ms(call.received.elapsed()),
            left_ms = whole_ms(call.limit.saturating_duration_since(Instant::now()));
            "request ended"
        );
    }
}

fn join_prompt<'a>(chain: impl Iterator<Item = &'a TurnRecord>, input: &[u8]) -> Bytes {
    let mut prompt = BytesMut::new();
    for record in chain {
        prompt.extend_from_slice(&record.input);
        prompt.extend_from_slice(&record.output);
    }
    prompt.extend_from_slice(input);
    prompt.freeze()
}

/// Drawn at random, so that requests that wait do not come back together.
fn room_pause() -> Duration {
    ROOM_PAUSE.mul_f64(rand::rng().random_range(0.5..1.5))
}

fn whole_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
