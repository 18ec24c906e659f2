//! Work before and after the attempts: reads earlier turns, reserves tokens and settles the
//! reservation.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use ridgeworks_quota::ProgramProgress;
use ridgeworks_records::{
    ChainOutcome, EngineEnds, LedgerEntry, ProgramId, ProgramLedger, Settlement, StreamOrigin,
    TurnId, TurnRecord,
};
use ridgeworks_routing::{Denial, EngineKey, Refusal, RefusalReason};
use tokio::time::Instant;

use super::Exchange;
use super::send_permits::Permit;
use crate::engine_rules::current_residency;
use crate::records_client::ttl_ms;
use crate::refusal::{RETRY_AFTER, RETRY_AFTER_RECONFIGURATION};

/// How long a turn waits for replicas before it is refused.
pub(super) const RECORDS_TIMEOUT: Duration = Duration::from_millis(700);

/// Identifies a turn's entry in its program's ledger, and says how long it is kept.
pub(super) struct LedgerKey {
    pub(super) program: ProgramId,
    pub(super) turn: TurnId,
    pub(super) retention: Duration,
}

/// State of the ledger after a successful reservation.
struct LedgerState {
    /// Origin of the stream that the client resumes.
    origin: Option<StreamOrigin>,
    /// Engines that ended under earlier tries of the request; `None` if the ledger is not where they are recorded.
    ends: Option<EngineEnds>,
}

impl Exchange {
    /// Refuses a request that cannot be served. Then concurrently reads earlier turns, reserves
    /// tokens, acquires a rate-limit grant for the tenant, looks up where the prompt was last
    /// prefilled, and prefetches a warm-up grant if the request would go to a warming engine.
    pub(super) async fn prepare(&mut self) -> Result<(), Refusal> {
        if let Some(refusal) = self.majority_refusal() {
            return Err(refusal);
        }
        // The turn's record needs all events, and nobody has those of the earlier attempts.
        if self.call.is_resumed_stream() && self.call.route.keeps_turns {
            return Err(Refusal::without_retry(RefusalReason::EventsUnknown));
        }
        // Checked first, so that a request that cannot be served does not wait.
        let drained = self.drain_refusal();
        if let Some(refusal) = drained.or_else(|| self.turn_storage_refusal()) {
            return Err(refusal);
        }
        self.software.recorded = self.first_software();
        let began = Instant::now();
        let (prompt, reserved, looked_up, granted, failed_previous_try, ()) = tokio::join!(
            self.read_prompt(),
            self.reserve(),
            self.look_up_request(),
            self.acquire_rate_grant(),
            self.look_up_prefills(),
            self.prefetch_warm_up_grant()
        );
        self.has_rate_grant = granted.is_ok();
        self.history.failed_previous_try =
            failed_previous_try.and_then(|failed| self.failed_engine(failed));
        // Checked before the other results: a request with a used identifier must not touch the
        // entry of the turn that used it.
        let reserved = match reserved? {
            Some(ledger) => Some(self.read_ledger(ledger).await?),
            None => None,
        };
        self.reserve_time = reserved.is_some().then(|| began.elapsed());
        let is_read = reserved.is_some() && looked_up.is_some();
        let (ends, marked_origin) = looked_up.map(|read| (read.ends, read.origin)).unzip();
        let in_ledger = reserved.as_ref().and_then(|reserved| reserved.ends.clone());
        self.check_ends(in_ledger.or(ends)).await?;
        if self.call.is_resumed_stream() {
            let origin = reserved.and_then(|reserved| reserved.origin);
            let origin = origin.or(marked_origin.flatten());
            self.require_origin(origin, is_read)?;
        }
        self.prompt = prompt?;
        if let Err(refusal) = granted {
            self.retry_rate_grant(refusal).await?;
        }
        Ok(())
    }

    /// Refuses a request at once if it needs a majority of its group's replicas, and that majority
    /// is believed to be unreachable.
    fn majority_refusal(&self) -> Option<Refusal> {
        let records = &self.gateway.records;
        let group = records.group_of(self.call.program().as_ref());
        if !records.health.is_lost(group) {
            return None;
        }
        let needs_majority = self.ledger_key().is_some() || self.call.route.keeps_turns;
        if !needs_majority {
            return None;
        }
        let reason = RefusalReason::LedgerUnavailable;
        Some(Refusal::retry_later(reason, records.retry_after(group)))
    }

    /// Refuses a turn whose record must not be stored in its program's replica group. Without the
    /// record, the next turn would lack its context.
    fn turn_storage_refusal(&self) -> Option<Refusal> {
        if !self.call.route.keeps_turns {
            return None;
        }
        let residency = current_residency(&self.gateway, &self.call);
        let program = self.call.program();
        let records = &self.gateway.records;
        if records.may_store(program.as_ref(), &residency) {
            return None;
        }
        let reason = RefusalReason::ReplicasOutsideResidency;
        Some(Refusal::retry_later(reason, RETRY_AFTER_RECONFIGURATION))
    }

    /// Acquires a grant of the tenant's rate limit before the ledger has been read. A turn with no
    /// previous turn counts as the first of its program.
    async fn acquire_rate_grant(&self) -> Result<(), Refusal> {
        let may_be_first_turn =
            self.ledger_key().is_some() && self.call.metadata.previous_turn.is_none();
        let progress = if may_be_first_turn {
            ProgramProgress::Beginning
        } else {
            ProgramProgress::UnderWay
        };
        self.acquire_rate_grant_as(progress).await
    }

    /// Retries a grant that was denied to the first turn of a program, if the ledger shows earlier
    /// turns.
    async fn retry_rate_grant(&mut self, refusal: Refusal) -> Result<(), Refusal> {
        if refusal.reason != RefusalReason::RateExceeded || !self.has_earlier_turns {
            return Err(refusal);
        }
        self.acquire_rate_grant_as(ProgramProgress::UnderWay)
            .await?;
        self.has_rate_grant = true;
        Ok(())
    }

    async fn acquire_rate_grant_as(&self, progress: ProgramProgress) -> Result<(), Refusal> {
        let Some(tenant) = &self.call.tenant else {
            return Ok(());
        };
        let request = &self.call.metadata.request_id;
        let limits = &self.gateway.limits;
        let until = self.records_deadline();
        let version = self.call.version();
        limits
            .acquire(request, tenant, progress, version, until)
            .await
    }

    /// Returns the rate-limit grant if no engine may have run the request.
    pub(super) fn return_unused_rate_grant(&self) {
        let tenant = self.call.tenant.as_ref().filter(|_| self.has_rate_grant);
        if let Some(tenant) = tenant.filter(|_| self.history.may_have_run_on.is_empty()) {
            self.gateway.limits.return_grant(tenant);
        }
    }

    /// Looks up where the prompt was prefilled last. If this gateway has the previous turn cached,
    /// it only checks whether an earlier try of this turn failed elsewhere. Returns the engine that
    /// failed it.
    async fn look_up_prefills(&self) -> Option<EngineKey> {
        let previous = self.call.previous_turn();
        let is_cached = previous.is_some_and(|previous| {
            let turns = self.gateway.turns.borrow();
            turns.contains(&previous)
        });
        let parts = &self.call.metadata.prompt_parts;
        match parts.as_slice() {
            [_, .., own] if is_cached => self.gateway.look_up_prefill(own.hash).await,
            parts => self.gateway.look_up_prefills(parts).await,
        }
    }

    /// The turn's ledger and its identifier there; `None` if the request has no budget.
    pub(super) fn ledger_key(&self) -> Option<LedgerKey> {
        let metadata = &self.call.metadata;
        metadata.token_budget?;
        Some(LedgerKey {
            program: self.call.program()?,
            turn: self.call.turn(),
            retention: self.call.route.retention(),
        })
    }

    pub(super) fn records_deadline(&self) -> Instant {
        self.call.deadline.min(Instant::now() + RECORDS_TIMEOUT)
    }

    /// Reserves the maximum number of tokens that the turn may generate, and records where its stream begins or reads where it
    /// began. Returns the ledger; `None` if the request has neither a budget nor a stream that may be resumed.
    async fn reserve(&self) -> Result<Option<ProgramLedger>, Refusal> {
        let Some(ledger_key) = self.ledger_key() else {
            return Ok(self.record_origin_without_budget().await);
        };
        let began = Instant::now();
        let ledger = self.write_reservation(&ledger_key).await?;
        let elapsed_secs = began.elapsed().as_secs_f64();
        self.gateway.metrics.reserve_seconds.observe(elapsed_secs);
        if ledger.is_settled(&ledger_key.turn) {
            // The identifier was used before, and its settled entry must not be reopened.
            return Err(Denial::used_identifier().into());
        }
        Ok(Some(ledger))
    }

    /// Takes what the ledger tells of the program and of the client's other tries, once its budget holds the turn.
    async fn read_ledger(&mut self, ledger: ProgramLedger) -> Result<LedgerState, Refusal> {
        let (Some(ledger_key), Some(budget)) = (self.ledger_key(), self.call.metadata.token_budget)
        else {
            return Ok(LedgerState {
                origin: self.origin_in(&ledger),
                ends: None,
            });
        };
        let ledger = self.await_admission(&ledger_key, budget, ledger).await?;
        self.has_earlier_turns = ledger.has_others(&ledger_key.turn);
        self.ends.permit = Some(Permit::Reservation {
            key: self.key_of(&ledger_key.turn),
            entry: self.reservation(),
        });
        Ok(LedgerState {
            origin: self.origin_in(&ledger),
            ends: Some(self.ends_in(&ledger)),
        })
    }

    /// Writes the turn's reservation, under a key with the software version at which its stream is to begin.
    pub(super) async fn write_reservation(
        &self,
        ledger_key: &LedgerKey,
    ) -> Result<ProgramLedger, Refusal> {
        self.may_be_reserved.set(true);
        let records = &self.gateway.records;
        let turn = self.key_of(&ledger_key.turn);
        let reserving = records.reserve(
            &ledger_key.program,
            &turn,
            self.reservation(),
            ledger_key.retention,
            self.records_deadline(),
        );
        reserving.await.map_err(|failure| {
            let group = records.group_of(Some(&ledger_key.program));
            let after = records.retry_after_failure(group, failure);
            Refusal::retry_later(RefusalReason::LedgerUnavailable, after)
        })
    }

    /// The turn's entry until it is settled.
    fn reservation(&self) -> LedgerEntry {
        LedgerEntry {
            reserved_tokens: self.max_tokens(),
            spent: None,
        }
    }

    /// Refuses the request if it may be sent to no engine, by what is known of its other tries; `None` if nobody could be asked.
    async fn check_ends(&mut self, found: Option<EngineEnds>) -> Result<(), Refusal> {
        let is_unknown = found.is_none();
        self.take_in_ends(found.unwrap_or_default());
        if let Some(refusal) = self.ends_refusal() {
            return Err(refusal);
        }
        self.ends.needs_permit = is_unknown || !self.ends.found.is_clear();
        Ok(())
    }

    /// The body for the engine: all earlier turns, then the client's body.
    async fn read_prompt(&self) -> Result<Bytes, Refusal> {
        let previous = self.call.previous_turn();
        let Some(previous) = previous.filter(|_| self.call.route.keeps_turns) else {
            return Ok(self.call.body.clone());
        };
        let now = self.gateway.now();
        let cached = self.gateway.turns.borrow_mut().chain(&previous, now);
        if let Some(chain) = cached {
            let chain = chain.iter().map(Rc::as_ref);
            return Ok(join_prompt(chain, &self.call.body));
        }
        let began = Instant::now();
        let records = &self.gateway.records;
        let request = &self.call.metadata.request_id;
        let program = self.call.program();
        let deadline = self.records_deadline();
        let residency = current_residency(&self.gateway, &self.call);
        let reading =
            records.read_chain(program.as_ref(), &previous, request, &residency, deadline);
        let outcome = reading.await;
        let elapsed_secs = began.elapsed().as_secs_f64();
        self.gateway
            .metrics
            .chain_read_seconds
            .observe(elapsed_secs);
        match outcome {
            Ok(ChainOutcome::Complete(chain)) => {
                let prompt = join_prompt(chain.iter(), &self.call.body);
                chain.into_iter().for_each(|record| self.cache(record));
                Ok(prompt)
            }
            Ok(ChainOutcome::NoSuchTurn(missing)) if missing == previous => {
                Err(Denial::no_such_turn().into())
            }
            // An earlier turn is missing, while the previous turn exists, so the client must not be
            // told that the turn does not exist.
            Ok(ChainOutcome::NoSuchTurn(missing)) => {
                log::error!(
                    target: "request",
                    request = self.call.metadata.request_id.as_str(),
                    missing = missing.request();
                    "an earlier turn of a stored chain is missing on the replicas"
                );
                Err(Refusal::retry_later(
                    RefusalReason::TurnsUnavailable,
                    RETRY_AFTER,
                ))
            }
            Err(failure) => {
                let group = records.group_of(program.as_ref());
                let after = records.retry_after_failure(group, failure);
                Err(Refusal::retry_later(RefusalReason::TurnsUnavailable, after))
            }
        }
    }

    pub(super) fn cache(&self, record: TurnRecord) {
        let now = self.gateway.now();
        let until = now + self.call.route.retention();
        self.gateway.turns.borrow_mut().insert(record, until, now);
    }

    /// Queues the replacement of the reservation by the number of generated tokens. Does nothing if
    /// no reservation was sent: a settlement would then load replicas that have just recovered, and
    /// use up the request's identifier.
    pub(super) fn settle(&mut self) {
        // Still there if the client disconnected while the next one was written.
        self.settle_superseded();
        let Some(ledger_key) = self.ledger_key().filter(|_| self.may_be_reserved.get()) else {
            return;
        };
        let turn = self.key_of(&ledger_key.turn);
        self.settle_as(&ledger_key, turn, self.settled_entry());
    }

    /// The turn's entry with the tokens that were generated so far.
    pub(super) fn settled_entry(&self) -> LedgerEntry {
        LedgerEntry {
            reserved_tokens: self.max_tokens(),
            spent: Some(self.generated_tokens()),
        }
    }

    /// Tokens of the events that were forwarded; the turn's most if the tokens of an event are not known.
    fn generated_tokens(&self) -> u64 {
        match (self.forwarded.events, self.event_tokens()) {
            (0, _) => 0,
            (events, Some(tokens)) => events.saturating_mul(tokens),
            (_, None) => self.max_tokens(),
        }
    }

    /// Queues the settlement of the reservation under the key `turn`.
    pub(super) fn settle_as(&self, ledger_key: &LedgerKey, turn: TurnId, entry: LedgerEntry) {
        self.gateway.records.settle(Settlement {
            program: ledger_key.program.clone(),
            turn,
            entry,
            ttl_ms: ttl_ms(ledger_key.retention),
        });
    }

    /// The most tokens that this try may generate: what a resumed stream brought before is charged to the try that brought it.
    pub(super) fn max_tokens(&self) -> u64 {
        let max = self.call.metadata.max_new_tokens;
        if !self.call.is_resumed_stream() {
            return max;
        }
        let before = self.call.metadata.last_event_id.unwrap_or_default();
        let tokens_before = self
            .event_tokens()
            .map_or(0, |tokens| before.saturating_mul(tokens));
        max.saturating_sub(tokens_before)
    }

    /// Most events that engines may bring in this try, by the tokens that are reserved; `None` where these tell nothing.
    pub(super) fn max_events(&self) -> Option<u64> {
        self.ledger_key()?;
        let max_tokens = self.max_tokens();
        let event_tokens = self.event_tokens().filter(|tokens| *tokens > 0)?;
        (max_tokens > 0).then(|| max_tokens.div_ceil(event_tokens))
    }

    /// Tokens of an event of the turn's service, by the configuration at its entry: a later one may not have the service any more.
    pub(super) fn event_tokens(&self) -> Option<u64> {
        let service = self.call.routes.service(&self.call.service)?;
        Some(service.model.as_ref()?.event_tokens)
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
