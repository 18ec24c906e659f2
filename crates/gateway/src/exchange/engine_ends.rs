//! Engines that end under a request. A request under which [`ridgeworks_records::MAX_ENGINE_ENDS`] engines ended is sent to none,
//! over all tries of its client and through any gateway (`docs/design/engine-ends.md`).

use std::rc::Rc;
use std::time::Duration;

use crate::connection_pool::EngineConnection;
use ridgeworks_records::{
    EndCertainty, EngineEnd, EngineEnds, EngineRun, ExpiredEnds, PERMIT_ENTRY, ProgramId,
    RequestDigest, TurnId,
};
use ridgeworks_resident::clock::{unix_time_ms, whole_ms};
use ridgeworks_routing::Engine;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Exchange;
use super::end_ledger::{EndLedger, Keeper};
use super::send_permits::Permit;
use crate::attempt::AttemptFailure;
use crate::engine_probe::{Evidence, Probed, find_late_evidence, has_lived_on, probe};
use crate::gateway::Gateway;

/// Ends from which on a request goes to the idlest engine, so that it takes few others along. Most requests under which one engine
/// ended only ran beside the one that ended it.
const MIN_ENDS_OF_SUSPECTS: usize = 2;
/// How long an end is held against a request. A client's tries are over well before.
pub const END_LIFETIME: Duration = Duration::from_secs(120);
/// A client that leaves, or a deadline, after a shorter silence of the engine rarely says anything about the engine.
const MIN_SILENCE: Duration = Duration::from_millis(500);
/// How soon an engine's end shows on its connections, after a client that left.
const END_NOTICE: Duration = Duration::from_millis(50);
/// Prefix of the ledgers of requests that belong to no program. No HTTP header can carry it, and that of streams is shorter.
const REQUEST_LEDGER_PREFIX: &str = "§§";

/// Why ends are not held against a request any more.
#[derive(Debug, Clone, Copy)]
enum Clearance {
    /// An engine served it, or one that is the same.
    Served,
    /// They were read of for the first time longer ago than ends count.
    Expired,
}

impl Clearance {
    fn name(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::Expired => "expired",
        }
    }
}

/// What is known of the engines that ended under the request.
#[derive(Debug, Default)]
pub(super) struct RequestEnds {
    pub(super) found: EngineEnds,
    /// Whether an engine may have ended in this try without a record that the next gateway finds.
    is_unrecorded: bool,
    /// Whether the next send needs a permit, since something speaks against the request or nobody could be asked.
    pub(super) needs_permit: bool,
    /// The record of the present send, or of the next one.
    pub(super) permit: Option<Permit>,
    /// The engine at which the request was when its client left, and since when it was silent.
    left_at: Option<(Engine, Instant)>,
}

impl RequestEnds {
    pub(super) fn count(&self) -> usize {
        self.found.count()
    }
}

impl Exchange {
    pub(super) fn end_ledger(&self) -> EndLedger {
        let digest = self.call.digest;
        let name = format!("{REQUEST_LEDGER_PREFIX}{:016x}", digest.0);
        let alike = ProgramId::of(self.call.owner(), &name);
        EndLedger {
            digest,
            program: self.call.program().unwrap_or_else(|| alike.clone()),
            alike,
            retention: self.call.route.retention().max(END_LIFETIME),
            may_be_witnessed: self.ledger_key().is_none(),
        }
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
        if !failure.may_be_an_end() {
            return;
        }
        match probe(&self.gateway, engine).await {
            Probed::Ended(evidence) => {
                let run = self.run_that_ended(engine, failure, evidence);
                self.record_end(engine, run, evidence).await;
            }
            Probed::Accepted(connection) => {
                // It may have started again faster than anybody could see, so a suspected request goes no further.
                let is_suspected = self.ends.count() > 0;
                self.ends.is_unrecorded |= is_suspected;
                let is_silent = matches!(failure, AttemptFailure::ResponseTimeout);
                let watch = self.end_watch(engine, is_silent || is_suspected);
                tokio::task::spawn_local(watch.run(Some(connection)));
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
        let run = self.present_run(engine);
        let found = &self.ends.found;
        let is_known = found.contains(run) || found.cleared.contains(&run);
        // What accepts in the place of an engine that is away would have taken this request too.
        let was_there = match failure {
            AttemptFailure::Truncated => true,
            AttemptFailure::ConnectionLost | AttemptFailure::ResponseTimeout => {
                evidence == Evidence::Refused
            }
            _ => false,
        };
        if !is_known || !was_there {
            return run;
        }
        run_after(run, &self.call.metadata.request_id)
    }

    /// The run of the engine that has the request now. One that has lived on after a presumed end gets another number, since the mark
    /// that withdrew that end hides what is presumed of the first one.
    fn present_run(&self, engine: &Engine) -> EngineRun {
        let run = EngineRun(engine.key().0);
        if self.ends.found.withdrawn.contains(&run) {
            run_after(run, &self.call.metadata.request_id)
        } else {
            run
        }
    }

    /// Finds out, beside the end of the request, whether an engine that was silent has ended. A short silence only counts under a
    /// request under which others ended.
    pub(super) fn find_end_of_silent(&mut self, engine: &Engine, silent_since: Instant) {
        if silent_since.elapsed() < MIN_SILENCE && self.ends.count() == 0 {
            return;
        }
        let watch = self.end_watch(engine, true);
        tokio::task::spawn_local(watch.run(None));
    }

    /// Notes that the client left while the engine had the request.
    pub(super) fn on_client_left(&mut self, engine: &Engine, silent_since: Instant) {
        self.ends.left_at = Some((engine.clone(), silent_since));
    }

    /// Finds out whether the engine ended under a request whose client left. The try stays open meanwhile.
    pub(super) async fn find_end_after_client_left(&mut self) {
        let Some((engine, silent_since)) = self.ends.left_at.take() else {
            return;
        };
        if silent_since.elapsed() >= MIN_SILENCE || self.ends.count() > 0 {
            self.find_end_of_silent(&engine, silent_since);
            return;
        }
        tokio::time::sleep(END_NOTICE).await;
        // An engine that ends closes its idle connections too, so most checks cost nothing.
        if self.gateway.pool.has_open(engine.key()) {
            return;
        }
        match probe(&self.gateway, &engine).await {
            Probed::Ended(evidence) => {
                let run = self.present_run(&engine);
                self.record_end(&engine, run, evidence).await;
            }
            Probed::Accepted(connection) => {
                self.gateway.pool.put_idle(engine.key(), connection, None);
            }
        }
    }

    fn end_watch(&mut self, engine: &Engine, is_held_open: bool) -> EndWatch {
        let send = self.send_key();
        let run = self.present_run(engine);
        let has_ended_before = self.ends.found.contains(run);
        let held_open = is_held_open.then(|| match self.take_permit_entry() {
            Some((key, keeper)) => HeldPermit {
                key,
                keeper: Some(keeper),
            },
            None => HeldPermit {
                key: self.next_permit_key(engine),
                keeper: None,
            },
        });
        EndWatch {
            gateway: Rc::clone(&self.gateway),
            engine: engine.clone(),
            run,
            ledger: self.end_ledger(),
            has_ended_before,
            send,
            held_open,
        }
    }

    async fn record_end(&mut self, engine: &Engine, run: EngineRun, evidence: Evidence) {
        let found = &mut self.ends.found;
        match evidence.certainty() {
            EndCertainty::Known => found.known.insert(run),
            EndCertainty::Presumed => found.presumed.insert(run),
        };
        let end = NoticedEnd {
            engine,
            run,
            evidence,
            send: self.send_key(),
        };
        let is_recorded = record_end(&self.gateway, &self.end_ledger(), end).await;
        self.ends.is_unrecorded |= !is_recorded;
        // The mark accounts for the permit, which stays open where the mark is not there yet. The next send has one of its own.
        if is_recorded {
            self.settle_permit_later();
        }
        self.ends.permit = None;
        self.ends.needs_permit = true;
    }

    /// Records that an engine outlived the request. If only one ended under it, that had another cause; one that ended several may
    /// be outlived now and then.
    pub(super) fn on_outlived(&mut self) {
        if self.call.program().is_none() {
            let now = self.gateway.now();
            let mut ends = self.gateway.engine_ends.borrow_mut();
            ends.on_served(self.call.digest, now);
        }
        if self.ends.found.ended() < MIN_ENDS_OF_SUSPECTS {
            self.clear_ends();
        }
    }

    /// Holds no ends against the request from now on, at any gateway.
    pub(super) fn clear_ends(&mut self) {
        let EngineEnds {
            known, presumed, ..
        } = std::mem::take(&mut self.ends.found);
        let runs = &known | &presumed;
        if runs.is_empty() {
            return;
        }
        let digest = self.call.digest;
        self.log_cleared(runs.len(), Clearance::Served);
        self.gateway.metrics.engine_ends_cleared.inc();
        self.gateway.engine_ends.borrow_mut().forget_ends(digest);
        let marks = runs.into_iter();
        self.record_marks(marks.map(|run| TurnId::of_cleared_end(digest, run)));
    }

    fn log_cleared(&self, ends: usize, clearance: Clearance) {
        log::info!(
            target: "request",
            request = self.call.metadata.request_id.as_str(),
            digest = digest_text(self.call.digest).as_str(),
            ends = ends,
            reason = clearance.name();
            "engines that ended under this request are not held against it any more"
        );
    }

    /// Tells all gateways that these ends count no longer: one that reads of them for the first time would count them as new.
    pub(super) fn record_expired(&self, expired: ExpiredEnds) {
        let ExpiredEnds { known, presumed } = expired;
        self.log_cleared(known.len() + presumed.len(), Clearance::Expired);
        let digest = self.call.digest;
        let cleared = known.into_iter();
        let cleared = cleared.map(|run| TurnId::of_cleared_end(digest, run));
        let withdrawn = presumed.into_iter();
        let withdrawn = withdrawn.map(|run| TurnId::of_withdrawn_end(digest, run));
        self.record_marks(cleared.chain(withdrawn));
    }

    fn record_marks(&self, marks: impl Iterator<Item = TurnId>) {
        for mark in marks {
            let gateway = Rc::clone(&self.gateway);
            let ledger = self.end_ledger();
            tokio::task::spawn_local(async move { ledger.record_mark(&gateway, &mark).await });
        }
    }

    /// Settles the try before its client hears of its end, if it failed: the client's next try would else count this one as one
    /// whose outcome is not known.
    pub(super) async fn settle_before_answer(&mut self) {
        self.settle_permit().await;
        let has_failed = !self.ends.found.is_clear() || !self.history.may_have_run_on.is_empty();
        // Not before the mark that accounts for it.
        let is_open = has_failed && self.may_be_reserved.get() && !self.ends.is_unrecorded;
        let Some(ledger_key) = self.ledger_key().filter(|_| is_open) else {
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

/// The run of an engine that started again after this one, and ended under a request before its entry said so.
fn run_after(run: EngineRun, request: &str) -> EngineRun {
    EngineRun(xxh3_64_with_seed(request.as_bytes(), run.0))
}

/// An engine that was found to have ended.
struct NoticedEnd<'a> {
    engine: &'a Engine,
    run: EngineRun,
    evidence: Evidence,
    /// The entry that was open for the send.
    send: TurnId,
}

/// Counts an end from now on in this gateway, and records it. Returns whether the next gateway will find it.
async fn record_end(gateway: &Rc<Gateway>, ledger: &EndLedger, end: NoticedEnd<'_>) -> bool {
    let NoticedEnd {
        engine,
        run,
        evidence,
        send,
    } = end;
    let began = Instant::now();
    let certainty = evidence.certainty();
    gateway.metrics.on_engine_end(evidence.name());
    let now = gateway.now();
    let seen = gateway
        .engine_ends
        .borrow_mut()
        .on_end(ledger.digest, run, certainty, now);
    let mark = TurnId::of_engine_end(&EngineEnd {
        digest: ledger.digest,
        run,
        certainty,
        at_s: unix_time_ms() / 1_000,
        turn: send.clone(),
    });
    let is_recorded = ledger.record_mark(gateway, &mark).await;
    if certainty == EndCertainty::Presumed {
        let watch = PresumedEnd {
            gateway: Rc::clone(gateway),
            engine: engine.clone(),
            ledger: ledger.clone(),
            run,
            send: send.clone(),
        };
        tokio::task::spawn_local(watch.resolve());
    }
    log::warn!(
        target: "attempt",
        request = send.request(),
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

/// An end that was presumed, until it is known whether the engine ended.
struct PresumedEnd {
    gateway: Rc<Gateway>,
    engine: Engine,
    ledger: EndLedger,
    run: EngineRun,
    /// The entry that was open for the send.
    send: TurnId,
}

impl PresumedEnd {
    /// Withdraws the end if the engine has lived on. It stays presumed where nothing tells.
    async fn resolve(self) {
        if !has_lived_on(&self.gateway, &self.engine).await {
            return;
        }
        let digest = self.ledger.digest;
        log::info!(
            target: "attempt",
            request = self.send.request(),
            digest = digest_text(digest).as_str(),
            engine = self.engine.instance.as_str(),
            born_ms = self.engine.born_ms;
            "engine that was presumed to have ended has lived on"
        );
        self.gateway
            .engine_ends
            .borrow_mut()
            .forget_presumed(digest, self.run);
        let mark = TurnId::of_withdrawn_end(digest, self.run);
        self.ledger.record_mark(&self.gateway, &mark).await;
    }
}

/// Finds out whether an engine that accepts connections has ended before, and was there again or something in its place.
struct EndWatch {
    gateway: Rc<Gateway>,
    engine: Engine,
    run: EngineRun,
    ledger: EndLedger,
    /// Whether the engine is known to have ended under an earlier try, and was there again for this one.
    has_ended_before: bool,
    /// The entry that was open for the send.
    send: TurnId,
    held_open: Option<HeldPermit>,
}

/// A permit that stays open until the outcome of its send is known.
struct HeldPermit {
    key: TurnId,
    /// Who keeps it; `None` until it is recorded.
    keeper: Option<Keeper>,
}

impl EndWatch {
    /// Runs until the outcome is known. `connection` is one that the engine accepted; without it the engine is asked first.
    async fn run(self, connection: Option<EngineConnection>) {
        let _held = self.held_open.is_some().then(|| self.gateway.hold_permit());
        let keeper = self.hold_open().await;
        let evidence = self.find_evidence(connection).await;
        if let Some(evidence) = evidence {
            let run = self.run;
            let is_further = self.has_ended_before && evidence == Evidence::Refused;
            let end = NoticedEnd {
                engine: &self.engine,
                run: if is_further {
                    run_after(run, self.send.request())
                } else {
                    run
                },
                evidence,
                send: self.send.clone(),
            };
            // Without the mark the permit has to count.
            if !record_end(&self.gateway, &self.ledger, end).await {
                return;
            }
        }
        if let (Some(permit), Some(keeper)) = (&self.held_open, keeper) {
            let settling = self.ledger.settle(&self.gateway, &permit.key, keeper);
            settling.await;
        }
    }

    async fn hold_open(&self) -> Option<Keeper> {
        let HeldPermit { key, keeper } = self.held_open.as_ref()?;
        if keeper.is_some() {
            return *keeper;
        }
        let deadline = Instant::now() + super::preparation::RECORDS_TIMEOUT;
        let recording = self
            .ledger
            .record(&self.gateway, key, PERMIT_ENTRY, deadline);
        // Where nobody can be asked, nothing is permitted either.
        recording.await.ok().map(|recorded| recorded.keeper)
    }

    async fn find_evidence(&self, connection: Option<EngineConnection>) -> Option<Evidence> {
        let connection = match connection {
            Some(connection) => connection,
            None => match probe(&self.gateway, &self.engine).await {
                Probed::Ended(evidence) => return Some(evidence),
                Probed::Accepted(connection) => connection,
            },
        };
        find_late_evidence(&self.gateway, &self.engine, connection).await
    }
}

/// A digest in logs.
pub(super) fn digest_text(digest: RequestDigest) -> String {
    format!("{:016x}", digest.0)
}
