//! Whether the token budget of a program holds a turn.
//!
//! A turn reserves the most that it may generate, and reads the ledger after that. What is only reserved may be given back: the turn waits for that, and is denied only by what was spent.

use std::time::Duration;

use rand::RngExt;
use ridgeworks_records::{LedgerEntry, ProgramLedger, TurnAdmission};
use ridgeworks_routing::{Denial, Refusal, RefusalReason};
use tokio::time::Instant;

use super::Exchange;
use super::preparation::LedgerKey;

/// How long a turn waits for reserved tokens. Longer than the settlement of a turn that has just ended takes.
const MAX_WAIT: Duration = Duration::from_millis(550);
/// Mean delay before the ledger is read again for the first time; each further one is longer by [`DELAY_FACTOR`].
const FIRST_DELAY: Duration = Duration::from_millis(10);
const DELAY_FACTOR: f64 = 1.6;
/// Retry delay where the turns that hold the tokens still run.
const RETRY_AFTER: Duration = Duration::from_millis(400);

impl Exchange {
    /// Waits until the budget holds the turn's reservation, which is in `ledger`, and returns the ledger then.
    pub(super) async fn await_admission(
        &mut self,
        ledger_key: &LedgerKey,
        budget: u64,
        mut ledger: ProgramLedger,
    ) -> Result<ProgramLedger, Refusal> {
        let began = Instant::now();
        let until = self.call.deadline.min(began + MAX_WAIT);
        let mut delay = FIRST_DELAY;
        let mut has_waited = false;
        loop {
            ledger = self.read_after_others(ledger_key, ledger).await?;
            let most = self.max_tokens();
            let admission = ledger.admission(&ledger_key.turn, most, budget);
            if admission == TurnAdmission::Admitted {
                if has_waited {
                    self.gateway.metrics.on_budget_wait("admitted");
                }
                return Ok(ledger);
            }
            if let Some(refusal) = self.budget_refusal(admission, most, budget, until) {
                self.withdraw_reservation(ledger_key).await;
                self.log_budget(ledger_key, &ledger, budget, refusal);
                self.gateway.metrics.on_budget_wait(refusal.reason.name());
                return Err(refusal);
            }
            // Of turns that reserved at the same time, one keeps its reservation, so that it is admitted once the others have withdrawn
            // theirs.
            if admission != (TurnAdmission::Reserved { is_first: true }) {
                self.withdraw_reservation(ledger_key).await;
            }
            has_waited = true;
            let jitter = rand::rng().random_range(0.5..1.5);
            tokio::time::sleep(delay.mul_f64(jitter)).await;
            delay = delay.mul_f64(DELAY_FACTOR);
            ledger = self.write_reservation(ledger_key).await?;
        }
    }

    /// Reads the ledger again if other turns have reserved tokens. Of turns that reserve at the same time only the one whose
    /// reservation is durable last is certain to see all others, and only if it reads after that.
    async fn read_after_others(
        &self,
        ledger_key: &LedgerKey,
        ledger: ProgramLedger,
    ) -> Result<ProgramLedger, Refusal> {
        if !ledger.has_open_others(&ledger_key.turn) {
            return Ok(ledger);
        }
        self.write_reservation(ledger_key).await
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
