//! Before and after the engines: the earlier turns, and the account of the turn's tokens.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use ridgeworks_quota::ProgramProgress;
use ridgeworks_records::{ChainOutcome, LedgerEntry, ProgramId, Settlement, TurnId, TurnRecord};
use ridgeworks_routing::{EngineKey, Refusal, RefusalReason};
use tokio::time::Instant;

use super::Exchange;
use crate::engine_rules::residency_now;
use crate::records_client::ttl_ms;
use crate::refusal::{COME_BACK, COME_BACK_RECONFIGURED};

/// How long a turn waits for the replicas before it is refused.
const RECORDS_PATIENCE: Duration = Duration::from_millis(700);

/// The account of a turn in its program's ledger.
struct Account {
    program: ProgramId,
    turn: TurnId,
    retention: Duration,
}

/// What the ledger says of a turn whose tokens are reserved.
struct Reserved {
    /// Whether the program has made turns before.
    has_earlier: bool,
}

impl Exchange {
    /// Reads the earlier turns, reserves tokens, asks for a grant of the tenant's limit, and learns where the prompt was read, all at
    /// once.
    pub(super) async fn prepare(&mut self) -> Result<(), Refusal> {
        if let Some(refusal) = self.refusal_without_majority() {
            return Err(refusal);
        }
        // Before it waits for anything that it cannot use.
        let barred = self.refusal_of_drains();
        if let Some(refusal) = barred.or_else(|| self.refusal_of_keeping()) {
            return Err(refusal);
        }
        let began = Instant::now();
        let (prompt, reserved, granted, failed_last, ()) = tokio::join!(
            self.read_prompt(),
            self.reserve(),
            self.take_grant(),
            self.learn_reads(),
            self.foresee_grant()
        );
        self.is_granted = granted.is_ok();
        self.tried.failed_last = failed_last.and_then(|failed| self.failed_engine(failed));
        // First: whoever used this identifier before has an account that this request must not touch.
        if let Some(reserved) = reserved? {
            self.reserved = Some(began.elapsed());
            self.is_under_way = reserved.has_earlier;
        }
        self.prompt = prompt?;
        if let Err(refusal) = granted {
            self.take_grant_under_way(refusal).await?;
        }
        Ok(())
    }

    /// A request that needs a majority of the replicas while none answers cannot be served here: its client
    /// is told at once.
    fn refusal_without_majority(&self) -> Option<Refusal> {
        let records = &self.gateway.records;
        let group = records.group_of(self.call.program().as_ref());
        if !records.health.is_lost(group) {
            return None;
        }
        let needs_majority = self.account().is_some() || self.call.route.keeps_turns;
        if !needs_majority {
            return None;
        }
        let reason = RefusalReason::LedgerUnavailable;
        Some(Refusal::retry_later(reason, records.retry_later(group)))
    }

    /// A turn that must not be kept where its program's records are is not served: an answer without its record would leave the next
    /// turn without what went before.
    fn refusal_of_keeping(&self) -> Option<Refusal> {
        if !self.call.route.keeps_turns {
            return None;
        }
        let residency = residency_now(&self.gateway, &self.call);
        let program = self.call.program();
        let records = &self.gateway.records;
        if records.may_keep(program.as_ref(), &residency) {
            return None;
        }
        let reason = RefusalReason::ReplicasOutsideResidency;
        Some(Refusal::retry_later(reason, COME_BACK_RECONFIGURED))
    }

    /// Asks for a grant before it is known whether the program is under way: that of a turn that goes on from no other one may be new.
    async fn take_grant(&self) -> Result<(), Refusal> {
        let may_begin = self.account().is_some() && self.call.metadata.previous_turn.is_none();
        let progress = if may_begin {
            ProgramProgress::Beginning
        } else {
            ProgramProgress::UnderWay
        };
        self.take_grant_as(progress).await
    }

    /// Asks once more for a turn that was refused as if it began its program, now that the ledger has told of earlier ones.
    async fn take_grant_under_way(&mut self, refusal: Refusal) -> Result<(), Refusal> {
        if refusal.reason != RefusalReason::RateExceeded || !self.is_under_way {
            return Err(refusal);
        }
        self.take_grant_as(ProgramProgress::UnderWay).await?;
        self.is_granted = true;
        Ok(())
    }

    async fn take_grant_as(&self, progress: ProgramProgress) -> Result<(), Refusal> {
        let Some(tenant) = &self.call.tenant else {
            return Ok(());
        };
        let request = &self.call.metadata.request_id;
        let limits = &self.gateway.limits;
        let until = self.records_limit();
        let version = self.call.version;
        limits.take(request, tenant, progress, version, until).await
    }

    /// A request that no engine has run gives back what it took of its tenant's limit.
    pub(super) fn give_back_grant(&self) {
        let tenant = self.call.tenant.as_ref().filter(|_| self.is_granted);
        if let Some(tenant) = tenant.filter(|_| self.tried.ran_on.is_empty()) {
            self.gateway.limits.return_grant(tenant);
        }
    }

    /// What this gateway saw of the line's last turn is the newest there is, but for a try of this one that failed elsewhere. Gives back
    /// the engine that failed it.
    async fn learn_reads(&self) -> Option<EngineKey> {
        let previous = self.call.previous_turn();
        let is_ours = previous.is_some_and(|previous| {
            let turns = self.gateway.turns.borrow();
            turns.contains(&previous)
        });
        let parts = &self.call.metadata.prompt_parts;
        match parts.as_slice() {
            [_, .., own] if is_ours => self.gateway.learn_read(own.hash).await,
            parts => self.gateway.learn_reads(parts).await,
        }
    }

    fn account(&self) -> Option<Account> {
        let metadata = &self.call.metadata;
        metadata.token_budget?;
        Some(Account {
            program: self.call.program()?,
            turn: self.call.turn(),
            retention: self.call.route.retention(),
        })
    }

    fn records_limit(&self) -> Instant {
        self.call.limit.min(Instant::now() + RECORDS_PATIENCE)
    }

    /// Reserves the most that the turn may generate; `None` where there is nothing to reserve.
    async fn reserve(&self) -> Result<Option<Reserved>, Refusal> {
        let (Some(account), Some(budget)) = (self.account(), self.call.metadata.token_budget)
        else {
            return Ok(None);
        };
        let began = Instant::now();
        let reserved_tokens = self.call.metadata.max_new_tokens;
        let entry = LedgerEntry {
            reserved_tokens,
            spent: None,
        };
        self.is_charged.set(true);
        let charging = self.gateway.records.charge(
            &account.program,
            &account.turn,
            entry,
            account.retention,
            self.records_limit(),
        );
        let ledger = charging.await.map_err(|failure| {
            let records = &self.gateway.records;
            let group = records.group_of(Some(&account.program));
            let after = records.come_back_after(group, failure);
            Refusal::retry_later(RefusalReason::LedgerUnavailable, after)
        })?;
        let taken = began.elapsed().as_secs_f64();
        self.gateway.metrics.reserve_seconds.observe(taken);
        if ledger.is_settled(&account.turn) {
            // An identifier that was used before: its account must not be opened anew.
            return Err(Refusal::last(RefusalReason::DuplicateRequestId));
        }
        if ledger.admits(&account.turn, reserved_tokens, budget) {
            let has_earlier = ledger.entries.keys().any(|turn| *turn != account.turn);
            return Ok(Some(Reserved { has_earlier }));
        }
        log::info!(
            target: "request",
            request = account.turn.request(),
            program = self.call.metadata.program.as_deref().unwrap_or_default(),
            budget = budget,
            most = reserved_tokens,
            charged_to_others = ledger.charged_by_others(&account.turn),
            turns_in_ledger = ledger.entries.len(),
            epoch = self.gateway.node.view.epoch().0;
            "budget does not hold the turn"
        );
        Err(Refusal::last(RefusalReason::BudgetSpent))
    }

    /// The body for the engine: all earlier turns, then what the client sent.
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
        let limit = self.records_limit();
        let residency = residency_now(&self.gateway, &self.call);
        let reading = records.read_chain(program.as_ref(), &previous, request, &residency, limit);
        let outcome = reading.await;
        let taken = began.elapsed().as_secs_f64();
        self.gateway.metrics.chain_read_seconds.observe(taken);
        match outcome {
            Ok(ChainOutcome::Complete(chain)) => {
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
                    missing = missing.request();
                    "a turn of a kept chain is missing"
                );
                Err(Refusal::retry_later(
                    RefusalReason::TurnsUnavailable,
                    COME_BACK,
                ))
            }
            Err(failure) => {
                let group = records.group_of(program.as_ref());
                let after = records.come_back_after(group, failure);
                Err(Refusal::retry_later(RefusalReason::TurnsUnavailable, after))
            }
        }
    }

    pub(super) fn cache(&self, record: TurnRecord) {
        let now = self.gateway.now();
        let until = now + self.call.route.retention();
        self.gateway.turns.borrow_mut().insert(record, until, now);
    }

    /// Puts what was generated in place of what was reserved, without making anybody wait. Where nothing was asked to be reserved, it would
    /// be work for replicas that have just come back, and use the identifier up.
    pub(super) fn settle(&self) {
        let Some(account) = self.account().filter(|_| self.is_charged.get()) else {
            return;
        };
        self.gateway.records.settle(Settlement {
            program: account.program,
            turn: account.turn,
            entry: LedgerEntry {
                reserved_tokens: self.call.metadata.max_new_tokens,
                spent: Some(self.passed.events * self.event_tokens()),
            },
            ttl_ms: ttl_ms(account.retention),
        });
    }

    fn event_tokens(&self) -> u64 {
        let routes = self.gateway.node.view.routes();
        let service = routes.and_then(|routes| routes.service(&self.call.service).cloned());
        let model = service.and_then(|service| service.model.clone());
        // Without a model's word for it, a turn is charged at its most.
        model.map_or(self.call.metadata.max_new_tokens, |model| {
            model.event_tokens
        })
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
