//! Whether the token budget of a program holds a turn.
//!
//! A turn reserves the most that it may generate, and reads the ledger after that. What is only reserved may be given back: the turn
//! waits for that, and is denied only by what was spent.

use std::time::Duration;

use rand::RngExt;
use ridgeworks_records::{LedgerEntry, MARK_ENTRY, ProgramLedger, TurnAdmission, TurnId};
use ridgeworks_routing::{Denial, Refusal, RefusalReason};
use tokio::time::Instant;

use super::Exchange;
use super::preparation::LedgerKey;

/// How long a turn waits for reserved tokens. Longer than the settlement of a turn that has just ended takes.
const MAX_WAIT: Duration = Duration::from_millis(550);
/// Mean delay before the ledger is read again for the first time; [`DELAY_FACTOR`] lengthens each further one.
const FIRST_DELAY: Duration = Duration::from_millis(20);
const DELAY_FACTOR: f64 = 2.0;
/// Retry delay where the turns that hold the tokens still run.
const RETRY_AFTER: Duration = Duration::from_millis(400);

impl Exchange {
    /// Waits until the budget holds the turn's reservation, which is in `ledger`, and returns the ledger then.
    pub(super) async fn await_admission(
        &mut self,
        ledger_key: &LedgerKey,
        budget: u64,
        ledger: ProgramLedger,
    ) -> Result<ProgramLedger, Refusal> {
        let (turn, most) = (&ledger_key.turn, self.max_tokens());
        let until = self.call.deadline.min(Instant::now() + MAX_WAIT);
        let mut ledger = self.with_ended_turns_capped(ledger, turn, budget);
        let mut delay = FIRST_DELAY;
        let mut is_reserved = true;
        let mut has_waited = false;
        loop {
            if !is_reserved && ledger.admits(turn, most, budget) {
                ledger = self.write_reservation(ledger_key).await?;
                ledger = self.with_ended_turns_capped(ledger, turn, budget);
                is_reserved = true;
            }
            if is_reserved && ledger.needs_second_reading(turn, most, budget) {
                ledger = self.write_reservation(ledger_key).await?;
                ledger = self.with_ended_turns_capped(ledger, turn, budget);
            }
            let admission = ledger.admission(turn, most, budget);
            if admission == TurnAdmission::Admitted && is_reserved {
                if has_waited {
                    self.gateway.metrics.on_budget_wait("admitted");
                }
                return Ok(ledger);
            }
            if let Some(refusal) = self.budget_refusal(admission, most, budget, until) {
                self.log_budget(ledger_key, &ledger, budget, refusal);
                self.gateway.metrics.on_budget_wait(refusal.reason.name());
                return Err(refusal);
            }
            // Of turns that reserved at the same time, one keeps its reservation, so that it is admitted once the others have withdrawn
            // theirs. These only read until there is room, so that the ledger does not grow.
            if is_reserved && admission == (TurnAdmission::Reserved { is_first: false }) {
                self.withdraw_reservation(ledger_key).await;
                is_reserved = false;
            }
            has_waited = true;
            let jitter = rand::rng().random_range(0.5..1.5);
            tokio::time::sleep(delay.mul_f64(jitter)).await;
            delay = delay.mul_f64(DELAY_FACTOR);
            ledger = if is_reserved {
                self.write_reservation(ledger_key).await?
            } else {
                self.read_reservations(ledger_key).await?
            };
            ledger = self.with_ended_turns_capped(ledger, turn, budget);
        }
    }

    /// Lowers what earlier turns of the chain charge that are not settled, as their gateways are gone or have not come to it, where the
    /// budget does not hold the turn otherwise. They have ended, and their records bound what they generated: each event adds a line
    /// at least.
    fn with_ended_turns_capped(
        &self,
        mut ledger: ProgramLedger,
        turn: &TurnId,
        budget: u64,
    ) -> ProgramLedger {
        let previous = self.call.previous_turn();
        let Some((previous, event_tokens)) = previous.zip(self.event_tokens()) else {
            return ledger;
        };
        if ledger.admits(turn, self.max_tokens(), budget) {
            return ledger;
        }
        let now = self.gateway.now();
        let chain = self.gateway.turns.borrow_mut().chain(&previous, now);
        for record in chain.iter().flatten() {
            let lines = record.output.iter().filter(|byte| **byte == b'\n');
            let most_events = lines.count() as u64;
            ledger.cap_open_entries(&record.turn, most_events.saturating_mul(event_tokens));
        }
        ledger
    }

    /// Reads the ledger without a reservation.
    async fn read_reservations(&self, ledger_key: &LedgerKey) -> Result<ProgramLedger, Refusal> {
        let LedgerKey {
            program, retention, ..
        } = ledger_key;
        let records = &self.gateway.records;
        let lookup = TurnId::of_lookup();
        let deadline = self.records_deadline();
        let reading = records.reserve(program, &lookup, MARK_ENTRY, *retention, deadline);
        reading.await.map_err(|failure| {
            let after = records.retry_after_failure(records.group_of(Some(program)), failure);
            Refusal::retry_later(RefusalReason::LedgerUnavailable, after)
        })
    }

    /// The refusal of a turn that the budget does not hold; `None` if it may wait for what others have reserved.
    fn budget_refusal(
        &self,
        admission: TurnAdmission,
        most: u64,
        budget: u64,
        until: Instant,
    ) -> Option<Refusal> {
        if let TurnAdmission::Spent { by_others } = admission {
            return Denial::budget_spent(by_others, most, budget).map(Refusal::from);
        }
        let has_to_leave = Instant::now() >= until;
        has_to_leave.then(|| Refusal::retry_later(RefusalReason::TokensReserved, RETRY_AFTER))
    }

    /// Settles the turn's reservation, under which nothing runs. A later one has another key.
    async fn withdraw_reservation(&mut self, ledger_key: &LedgerKey) {
        let withdrawn = self.supersede_key(&ledger_key.turn);
        let entry = LedgerEntry {
            reserved_tokens: self.max_tokens(),
            spent: Some(0),
        };
        let (program, deadline) = (&ledger_key.program, self.records_deadline());
        let records = &self.gateway.records;
        let writing = records.reserve(program, &withdrawn, entry, ledger_key.retention, deadline);
        if writing.await.is_ok() {
            self.may_be_reserved.set(false);
            self.forget_superseded();
        } else {
            self.settle_superseded();
        }
    }

    fn log_budget(
        &self,
        ledger_key: &LedgerKey,
        ledger: &ProgramLedger,
        budget: u64,
        refusal: Refusal,
    ) {
        let turn = &ledger_key.turn;
        let spent = ledger.spent_by_others(turn);
        log::info!(
            target: "request",
            request = turn.request(),
            program = self.call.metadata.program.as_deref().unwrap_or_default(),
            budget = budget,
            most = self.max_tokens(),
            spent_by_others = spent,
            reserved_by_others = ledger.charged_by_others(turn) - spent,
            turns_in_ledger = ledger.entries.len(),
            epoch = self.gateway.node.view.epoch().0,
            reason = refusal.reason.name();
            "budget does not hold the turn"
        );
    }
}
