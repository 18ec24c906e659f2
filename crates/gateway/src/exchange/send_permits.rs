//! Permits to send a request to an engine.
//!
//! What ends engines is known too late if only ends are counted: another gateway sends while this one is still finding out. So a
//! send that may be one too many is recorded before it is made, and counts as an end until its outcome is known. A turn's
//! reservation is such a record; other requests write a permit as soon as something speaks against them.
//!
//! No more than [`MAX_ENGINE_ENDS`] sends go out so: each is recorded before the ledger is read for the last
//! time, so the last of any sends sees all the others.

use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use ridgeworks_records::{
    EngineEnds, EngineRun, LedgerEntry, MARK_ENTRY, MAX_ENGINE_ENDS, PERMIT_ENTRY, ProgramLedger,
    SendVerdict, StreamOrigin, TurnId,
};
use ridgeworks_routing::{Denial, Engine, Refusal, RefusalReason};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::Exchange;
use super::end_ledger::{EndLedger, Keeper};
use super::engine_ends::digest_text;
use crate::records_client::RecordsUnavailable;
use crate::refusal::RETRY_AFTER;

/// How long a request that others send alike waits for the outcome of theirs.
const MAX_WAIT: Duration = Duration::from_millis(400);
/// Mean delay before the others' outcomes are read again.
const WAIT_INTERVAL: Duration = Duration::from_millis(40);
/// Greatest number of a permit, which is drawn at random.
const MAX_PERMIT_NUMBER: u32 = i32::MAX.unsigned_abs();

/// What the ledger of a request tells that reserves nothing.
#[derive(Debug, Default)]
pub(super) struct RequestLookup {
    pub(super) ends: EngineEnds,
    /// The only origin of the streams of this request.
    pub(super) origin: Option<StreamOrigin>,
}

/// The record of a send whose outcome is not known.
#[derive(Debug, Clone)]
pub(super) enum Permit {
    /// The turn's reservation, which is settled with its tokens.
    Reservation { key: TurnId, entry: LedgerEntry },
    /// An entry that charges nothing; `None` as keeper until it is recorded.
    Entry { key: TurnId, keeper: Option<Keeper> },
}

impl Permit {
    fn key(&self) -> &TurnId {
        match self {
            Self::Reservation { key, .. } | Self::Entry { key, .. } => key,
        }
    }
}

impl Exchange {
    /// The ends and the sends without an outcome under other tries of the request, by a ledger.
    pub(super) fn ends_in(&self, ledger: &ProgramLedger) -> EngineEnds {
        let digest = self.call.digest;
        let mut ends = ledger.engine_ends(digest, &self.call.turn());
        self.settle_left_permits(&mut ends);
        let runs = &ends.known | &ends.presumed;
        if runs.is_empty() {
            return ends;
        }
        let now = self.gateway.now();
        let expired = self
            .gateway
            .end_ages
            .borrow_mut()
            .expired(digest, runs, now);
        if !expired.is_empty() {
            self.record_expired(ends.take_expired(&expired));
        }
        ends
    }

    /// Looks up what is known of a request that reserves nothing; `None` if no majority of the replicas answers. Nothing is known where
    /// there are no replicas. The same write marks where a stream begins.
    pub(super) async fn look_up_request(&self) -> Option<RequestLookup> {
        if self.ledger_key().is_some() || self.gateway.has_no_replicas() {
            return Some(RequestLookup::default());
        }
        let ledger = EndLedger {
            retention: self.call.route.retention(),
            ..self.end_ledger()
        };
        self.gateway.wait_for_stored_ends().await;
        let begun_at = self.origin_mark();
        let key = begun_at.clone().unwrap_or_else(TurnId::of_lookup);
        let deadline = self.records_deadline();
        let reading = ledger.record_at_replicas(&self.gateway, &key, MARK_ENTRY, deadline);
        let read = match reading.await {
            Ok(read) => read,
            Err(RecordsUnavailable::NoReplicas) => return Some(RequestLookup::default()),
            Err(_) => {
                if let Some(mark) = begun_at {
                    self.gateway.records.settle(ledger.settlement(mark));
                }
                return None;
            }
        };
        Some(RequestLookup {
            ends: self.ends_in(&read),
            origin: read.marked_origin(self.call.digest),
        })
    }

    /// Takes in what a ledger knows, beside what this gateway itself saw.
    pub(super) fn take_in_ends(&mut self, found: EngineEnds) {
        let digest = self.call.digest;
        let now = self.gateway.now();
        let seen = self.gateway.engine_ends.borrow_mut().find(digest, now);
        self.ends.found = found;
        if let Some(seen) = seen {
            let found = &mut self.ends.found;
            found.known.extend(seen.known.difference(&found.cleared));
            let presumed = &(&seen.presumed - &found.cleared) - &found.withdrawn;
            found.presumed.extend(presumed);
            if seen.is_mostly_served(found.ended()) {
                self.clear_ends();
            }
        }
        if self.ends.found.is_clear() {
            return;
        }
        log::info!(
            target: "request",
            request = self.call.metadata.request_id.as_str(),
            digest = digest_text(digest).as_str(),
            ends = self.ends.found.known.len(),
            presumed_ends = self.ends.found.presumed.len(),
            unsettled_tries = self.ends.found.unsettled,
            is_refused = self.verdict() != SendVerdict::Permitted;
            "engines ended under earlier tries of this request"
        );
    }

    /// Whether one more send is permitted.
    pub(super) fn verdict(&self) -> SendVerdict {
        self.ends.found.verdict()
    }

    /// The refusal of a request under which too many engines are known to have ended.
    pub(super) fn ends_refusal(&self) -> Option<Refusal> {
        let ended = self.ends.found.known.len();
        Denial::ends_engines(ended, MAX_ENGINE_ENDS).map(Refusal::from)
    }

    /// Acquires the permit for the next send, which goes to this engine, if it needs one.
    pub(super) async fn acquire_permit(&mut self, engine: &Engine) -> Result<(), Refusal> {
        self.release_permit_at_other(engine);
        if !self.ends.needs_permit {
            return Ok(());
        }
        let until = self.call.deadline.min(Instant::now() + MAX_WAIT);
        loop {
            let found = self.record_permit(engine).await?;
            self.take_in_ends(found);
            let verdict = self.verdict();
            self.gateway.metrics.on_send_verdict(verdict);
            if verdict == SendVerdict::Permitted {
                self.ends.needs_permit = false;
                return Ok(());
            }
            if let Some(refusal) = self.ends_refusal() {
                return Err(refusal);
            }
            // Else two that wait would wait for each other.
            self.settle_permit().await;
            let may_wait = self.call.program().is_none() && Instant::now() < until;
            if !may_wait {
                let reason = RefusalReason::TriesUnsettled;
                return Err(Refusal::retry_later(reason, RETRY_AFTER));
            }
            let jitter = rand::rng().random_range(0.5..1.5);
            tokio::time::sleep(WAIT_INTERVAL.mul_f64(jitter)).await;
        }
    }

    /// Whether nothing speaks against the request, and it has become known that there are no replicas. Had that been known before, no
    /// permit would have been needed.
    fn needs_no_keeper(&self) -> bool {
        self.ends.found.is_clear() && self.gateway.has_no_replicas()
    }

    /// Gives up the permit of a send that did not happen, to another engine than this one.
    fn release_permit_at_other(&mut self, engine: &Engine) {
        let Some(Permit::Entry { key, .. }) = &self.ends.permit else {
            return;
        };
        if key.permitted_run() != Some(listed_run(engine)) {
            self.settle_permit_later();
            self.ends.needs_permit = true;
        }
    }

    /// Records the permit and reads the ledger after that.
    async fn record_permit(&mut self, engine: &Engine) -> Result<EngineEnds, Refusal> {
        let deadline = self.records_deadline();
        let ledger = self.end_ledger();
        let is_recorded = self.ends.permit.is_some();
        let permit = self.ends.permit.clone();
        let permit = permit.unwrap_or_else(|| self.next_permit(engine));
        let (key, entry) = match &permit {
            Permit::Reservation { key, entry } => (key.clone(), *entry),
            Permit::Entry { key, .. } => (key.clone(), PERMIT_ENTRY),
        };
        // Kept before it is recorded, so that it is settled whatever becomes of this.
        self.ends.permit = Some(permit);
        let found = match self.record_send(&ledger, &key, entry, deadline).await {
            Err(_) if self.needs_no_keeper() => {
                self.take_permit_entry();
                return Ok(EngineEnds::default());
            }
            found => found?,
        };
        // Whoever is not seen yet records later, and sees this one.
        if is_recorded || found.is_clear() {
            return Ok(found);
        }
        self.record_send(&ledger, &key, entry, deadline).await
    }

    async fn record_send(
        &mut self,
        ledger: &EndLedger,
        key: &TurnId,
        entry: LedgerEntry,
        deadline: Instant,
    ) -> Result<EngineEnds, Refusal> {
        let recording = ledger.record(&self.gateway, key, entry, deadline).await;
        let recorded = recording.map_err(|failure| self.unavailable(ledger, failure))?;
        if let Some(Permit::Entry { keeper, .. }) = &mut self.ends.permit {
            *keeper = Some(recorded.keeper);
        }
        Ok(self.ends_in(&recorded.ledger))
    }

    fn unavailable(&self, ledger: &EndLedger, failure: RecordsUnavailable) -> Refusal {
        let records = &self.gateway.records;
        let group = records.group_of(Some(&ledger.program));
        let after = records.retry_after_failure(group, failure);
        Refusal::retry_later(RefusalReason::LedgerUnavailable, after)
    }

    fn next_permit(&mut self, engine: &Engine) -> Permit {
        Permit::Entry {
            key: self.next_permit_key(engine),
            keeper: None,
        }
    }

    pub(super) fn next_permit_key(&self, engine: &Engine) -> TurnId {
        // Clients may use an identifier again, and a settled permit is not opened again.
        let number = rand::rng().random_range(1..=MAX_PERMIT_NUMBER);
        let turn = self.call.turn();
        turn.permit_at(listed_run(engine), number, self.call.digest)
    }

    /// The key that stands for the present send in the mark of an engine's end.
    pub(super) fn send_key(&self) -> TurnId {
        let permit = self.ends.permit.as_ref();
        permit.map_or_else(
            || self.call.turn().permit(0, self.call.digest),
            |permit| permit.key().clone(),
        )
    }

    /// Settles the permit, unless it is the turn's reservation: nothing is at an engine any more that it stands for.
    pub(super) async fn settle_permit(&mut self) {
        // Goes on where the request is dropped meanwhile: nobody else would settle the permit.
        if let Some(settling) = self.begin_settling_permit() {
            let _ = settling.await;
        }
    }

    /// The same, beside whatever comes next.
    pub(super) fn settle_permit_later(&mut self) {
        self.begin_settling_permit();
    }

    fn begin_settling_permit(&mut self) -> Option<JoinHandle<()>> {
        let (key, keeper) = self.take_permit_entry()?;
        let gateway = Rc::clone(&self.gateway);
        let ledger = self.end_ledger();
        let held = gateway.hold_permit();
        let settling = tokio::task::spawn_local(async move {
            ledger.settle(&gateway, &key, keeper).await;
            drop(held);
        });
        Some(settling)
    }

    pub(super) fn take_permit_entry(&mut self) -> Option<(TurnId, Keeper)> {
        match self.ends.permit.take()? {
            Permit::Entry { key, keeper } => Some((key, keeper.unwrap_or(Keeper::Replicas))),
            reservation => {
                self.ends.permit = Some(reservation);
                None
            }
        }
    }
}

/// The run of an engine as lists tell it.
fn listed_run(engine: &Engine) -> EngineRun {
    EngineRun(engine.key().0)
}
