//! Engines that end under a request. A request under which [`MAX_ENGINE_ENDS`] engines ended is sent to none, over all tries of its
//! client and through any gateway (`docs/design/engine-ends.md`).

use std::rc::Rc;
use std::time::Duration;

use ridgeworks_records::{
    EngineEnd, EngineEnds, EngineRun, MARK_ENTRY, ProgramId, ProgramLedger, RequestDigest,
    Settlement, TurnId,
};
use ridgeworks_resident::clock::{unix_time_ms, whole_ms};
use ridgeworks_resident::http_client::Connection;
use ridgeworks_routing::{Engine, Refusal, RefusalReason, RequestKind};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Exchange;
use crate::attempt::AttemptFailure;
use crate::engine_probe::{Evidence, Probed, find_late_evidence, probe};
use crate::gateway::Gateway;
use crate::records_client::ttl_ms;

/// Engines that may end under a request before it is sent to none.
const MAX_ENGINE_ENDS: usize = 3;
/// Ends from which on a request goes to the idlest engine, so that it takes few others along. Most requests under which one engine
/// ended only ran beside the one that ended it.
const MIN_ENDS_OF_SUSPECTS: usize = 2;
/// How long an end is held against a request. A client's tries are over well before.
pub const END_LIFETIME: Duration = Duration::from_secs(120);
/// How long after an engine's end requests whose ends cannot be looked up are refused.
const CAUTIOUS_FOR: Duration = Duration::from_secs(10);
/// A client that leaves, or a deadline, after a shorter silence of the engine says nothing about the engine.
const MIN_SILENCE: Duration = Duration::from_millis(500);
/// Prefix of the ledgers of requests that belong to no program. No HTTP header can carry it, and that of streams is shorter.
const REQUEST_LEDGER_PREFIX: &str = "§§";

/// What is known of the engines that ended under the request.
#[derive(Debug, Default)]
pub(super) struct RequestEnds {
    known: EngineEnds,
    /// Whether an engine may have ended in this try without a record at the replicas.
    is_unrecorded: bool,
}

impl RequestEnds {
    pub(super) fn count(&self) -> usize {
        self.known.count()
    }
}

/// Where the ends under a request are recorded.
#[derive(Clone)]
struct EndLedger {
    program: ProgramId,
    turn: TurnId,
    digest: RequestDigest,
    retention: Duration,
}

impl Exchange {
    /// Whether a client may send the request again after an engine ended under it.
    fn may_come_again(&self) -> bool {
        let route = &self.call.route;
        self.ledger_key().is_some() || route.is_repeatable() || route.kind == RequestKind::Stream
    }

    fn end_ledger(&self) -> EndLedger {
        let digest = self.call.digest;
        let program = self.call.program().unwrap_or_else(|| {
            let name = format!("{REQUEST_LEDGER_PREFIX}{:016x}", digest.0);
            ProgramId::of(self.call.owner(), &name)
        });
        EndLedger {
            program,
            turn: self.call.turn(),
            digest,
            retention: self.call.route.retention().max(END_LIFETIME),
        }
    }

    /// The ends under the request by the ledger of its program.
    pub(super) fn ends_in(&self, ledger: &ProgramLedger) -> EngineEnds {
        let now_s = unix_time_ms() / 1_000;
        let since_s = now_s.saturating_sub(END_LIFETIME.as_secs());
        ledger.engine_ends(self.call.digest, &self.call.turn(), since_s)
    }

    /// Looks up the ends under earlier tries of a request that reserves nothing. Where the replicas do not answer, it is refused
    /// only if this gateway saw an engine end lately: it may be the one that ends them.
    pub(super) async fn look_up_ends(&self) -> Result<EngineEnds, Refusal> {
        let needs_none = self.ledger_key().is_some() || !self.may_come_again();
        if needs_none || !self.gateway.has_replicas() {
            return Ok(EngineEnds::default());
        }
        let records = &self.gateway.records;
        let ledger = self.end_ledger();
        let group = records.group_of(Some(&ledger.program));
        if records.health.is_lost(group) {
            return self.ends_unknown(records.retry_after(group));
        }
        let turn = TurnId::of_lookup();
        let retention = self.call.route.retention();
        let deadline = self.records_deadline();
        let reading = records.reserve(&ledger.program, &turn, MARK_ENTRY, retention, deadline);
        match reading.await {
            Ok(read) => Ok(self.ends_in(&read)),
            Err(failure) => self.ends_unknown(records.retry_after_failure(group, failure)),
        }
    }

    fn ends_unknown(&self, retry_after: Duration) -> Result<EngineEnds, Refusal> {
        let now = self.gateway.now();
        if self
            .gateway
            .engine_ends
            .borrow()
            .saw_end_within(CAUTIOUS_FOR, now)
        {
            let reason = RefusalReason::LedgerUnavailable;
            return Err(Refusal::retry_later(reason, retry_after));
        }
        Ok(EngineEnds::default())
    }

    /// Takes in what was found, beside what this gateway itself saw. Refuses the request if it may be sent to no engine any more.
    pub(super) fn check_ends(&mut self, found: EngineEnds) -> Result<(), Refusal> {
        let digest = self.call.digest;
        let now = self.gateway.now();
        let seen = self.gateway.engine_ends.borrow_mut().find(digest, now);
        self.ends.known = found;
        if let Some(seen) = seen {
            if seen.was_served {
                self.clear_ends();
                return Ok(());
            }
            self.ends.known.runs.extend(seen.runs);
        }
        let ends = self.ends.count();
        if ends > 0 {
            log::info!(
                target: "request",
                request = self.call.metadata.request_id.as_str(),
                digest = digest_text(digest).as_str(),
                ends = ends,
                unsettled_tries = self.ends.known.unsettled,
                is_refused = ends >= MAX_ENGINE_ENDS;
                "engines ended under earlier tries of this request"
            );
        }
        self.ends_refusal().map_or(Ok(()), Err)
    }

    /// The refusal of a request under which too many engines ended. Final, so that its client does not come back in vain.
    pub(super) fn ends_refusal(&self) -> Option<Refusal> {
        let is_refused = self.ends.count() >= MAX_ENGINE_ENDS;
        is_refused.then(|| Refusal::without_retry(RefusalReason::EndsEngines))
    }

    /// Whether the request may go to a further engine after one may have ended under it: only as far as it is known, here and to
    /// the next gateway, how many did.
    pub(super) fn may_risk_another_engine(&self) -> bool {
        !self.ends.is_unrecorded
    }

    /// Whether the request itself is likely what ended engines.
    pub(super) fn is_suspected(&self) -> bool {
        self.ends.count() >= MIN_ENDS_OF_SUSPECTS
    }

    /// Finds out whether the engine ended under the request, and if so records it before anything else is done.
    pub(super) async fn find_end(&mut self, engine: &Engine, failure: &AttemptFailure) {
        if !failure.may_be_an_end() || !self.may_come_again() {
            return;
        }
        match probe(&self.gateway, engine).await {
            Probed::Ended(evidence) => {
                let run = self.run_that_ended(engine, failure, evidence);
                self.record_end(engine, run, evidence).await;
            }
            Probed::Accepted(connection) => {
                // It may have started again faster than anybody could see, so a suspected request goes no further.
                self.ends.is_unrecorded |= self.ends.count() > 0;
                let run = EngineRun(engine.key().0);
                let ledger = self.end_ledger();
                spawn_watch(&self.gateway, engine, run, ledger, connection);
            }
        }
    }

    /// The run of the engine that the request may have ended. One that ended under an earlier try, and was there again for this one,
    /// had started again meanwhile, whether its entry says so yet or not.
    fn run_that_ended(
        &self,
        engine: &Engine,
        failure: &AttemptFailure,
        evidence: Evidence,
    ) -> EngineRun {
        let run = EngineRun(engine.key().0);
        let is_known = self.ends.known.runs.contains(&run);
        // What accepts in the place of an engine that is away would have taken this request too.
        let was_there = match failure {
            AttemptFailure::Truncated => true,
            AttemptFailure::ConnectionLost => evidence == Evidence::Refused,
            _ => false,
        };
        if !is_known || !was_there {
            return run;
        }
        let request = self.call.metadata.request_id.as_bytes();
        EngineRun(xxh3_64_with_seed(request, run.0))
    }

    /// Finds out, beside the end of the request, whether an engine that was silent for long has ended.
    pub(super) fn find_end_of_silent(&self, engine: &Engine, silent_since: Instant) {
        if silent_since.elapsed() < MIN_SILENCE || !self.may_come_again() {
            return;
        }
        let gateway = Rc::clone(&self.gateway);
        let engine = engine.clone();
        let ledger = self.end_ledger();
        tokio::task::spawn_local(async move {
            let evidence = match probe(&gateway, &engine).await {
                Probed::Ended(evidence) => Some(evidence),
                // It may have ended long ago, and be there again.
                Probed::Accepted(connection) => {
                    find_late_evidence(&gateway, &engine, connection).await
                }
            };
            if let Some(evidence) = evidence {
                let run = EngineRun(engine.key().0);
                record_end(&gateway, &engine, run, &ledger, evidence).await;
            }
        });
    }

    async fn record_end(&mut self, engine: &Engine, run: EngineRun, evidence: Evidence) {
        self.ends.known.runs.insert(run);
        let ledger = self.end_ledger();
        let is_recorded = record_end(&self.gateway, engine, run, &ledger, evidence).await;
        self.ends.is_unrecorded |= !is_recorded;
    }

    /// Records that an engine outlived the request, so that what ended others had another cause.
    pub(super) fn on_outlived(&mut self) {
        if !self.may_come_again() {
            return;
        }
        if self.call.program().is_none() {
            let now = self.gateway.now();
            let mut ends = self.gateway.engine_ends.borrow_mut();
            ends.on_served(self.call.digest, now);
        }
        self.clear_ends();
    }

    fn clear_ends(&mut self) {
        let runs = std::mem::take(&mut self.ends.known).runs;
        if runs.is_empty() {
            return;
        }
        let digest = self.call.digest;
        log::info!(
            target: "request",
            request = self.call.metadata.request_id.as_str(),
            digest = digest_text(digest).as_str(),
            ends = runs.len();
            "engines that ended under this request are not held against it, since an engine served it"
        );
        self.gateway.metrics.engine_ends_cleared.inc();
        self.gateway.engine_ends.borrow_mut().forget_ends(digest);
        for run in runs {
            let gateway = Rc::clone(&self.gateway);
            let ledger = self.end_ledger();
            tokio::task::spawn_local(async move {
                write_mark(&gateway, &ledger, TurnId::of_cleared_end(digest, run)).await
            });
        }
    }

    /// Settles the try before its client hears of its end, if engines ended under the request: its next try would else count this
    /// one as one whose outcome is not known.
    pub(super) async fn settle_suspected(&self) {
        let is_suspected = self.ends.count() > 0 && self.may_be_reserved.get();
        let Some(ledger_key) = self.ledger_key().filter(|_| is_suspected) else {
            return;
        };
        let records = &self.gateway.records;
        if records
            .health
            .is_lost(records.group_of(Some(&ledger_key.program)))
        {
            return;
        }
        let turn = self.key_of(&ledger_key.turn);
        let entry = self.settled_entry();
        let (program, deadline) = (&ledger_key.program, self.records_deadline());
        // Settled again by the queue, also if this fails.
        let _ = records
            .reserve(program, &turn, entry, ledger_key.retention, deadline)
            .await;
    }
}

/// Counts an end from now on in this gateway, and records it at the replicas. Returns whether a majority has it.
async fn record_end(
    gateway: &Rc<Gateway>,
    engine: &Engine,
    run: EngineRun,
    ledger: &EndLedger,
    evidence: Evidence,
) -> bool {
    let began = Instant::now();
    gateway.metrics.on_engine_end(evidence.name());
    let now = gateway.now();
    let seen = gateway
        .engine_ends
        .borrow_mut()
        .on_end(ledger.digest, run, now);
    let mark = TurnId::of_engine_end(&EngineEnd {
        digest: ledger.digest,
        run,
        at_s: unix_time_ms() / 1_000,
        turn: ledger.turn.clone(),
    });
    let is_recorded = write_mark(gateway, ledger, mark).await;
    log::warn!(
        target: "attempt",
        request = ledger.turn.request(),
        digest = digest_text(ledger.digest).as_str(),
        engine = engine.instance.as_str(),
        born_ms = engine.born_ms,
        service = engine.service.as_str(),
        evidence = evidence.name(),
        seen_here = seen,
        is_recorded = is_recorded,
        took_ms = whole_ms(began.elapsed());
        "engine ended under a request"
    );
    is_recorded
}

/// Writes a mark at a majority. One that cannot be written in time is queued and written later.
async fn write_mark(gateway: &Gateway, ledger: &EndLedger, mark: TurnId) -> bool {
    let records = &gateway.records;
    if !gateway.has_replicas() {
        return false;
    }
    let deadline = Instant::now() + super::preparation::RECORDS_TIMEOUT;
    let writing = records.reserve(
        &ledger.program,
        &mark,
        MARK_ENTRY,
        ledger.retention,
        deadline,
    );
    let is_recorded = writing.await.is_ok();
    if !is_recorded {
        records.settle(Settlement {
            program: ledger.program.clone(),
            turn: mark,
            entry: MARK_ENTRY,
            ttl_ms: ttl_ms(ledger.retention),
        });
    }
    is_recorded
}

/// Records the end of an engine that accepted a connection, if it turns out that another run of it did, or something in its place.
fn spawn_watch(
    gateway: &Rc<Gateway>,
    engine: &Engine,
    run: EngineRun,
    ledger: EndLedger,
    connection: Connection,
) {
    let gateway = Rc::clone(gateway);
    let engine = engine.clone();
    tokio::task::spawn_local(async move {
        if let Some(evidence) = find_late_evidence(&gateway, &engine, connection).await {
            record_end(&gateway, &engine, run, &ledger, evidence).await;
        }
    });
}

/// A digest in logs.
pub(super) fn digest_text(digest: RequestDigest) -> String {
    format!("{:016x}", digest.0)
}
