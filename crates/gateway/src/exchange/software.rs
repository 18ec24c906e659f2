//! Keeps a stream that may be resumed at the software version that began it (`docs/design/resumed-streams.md`).

use std::time::Duration;

use ridgeworks_records::{LedgerEntry, MARK_ENTRY, ProgramId, ProgramLedger, StreamOrigin, TurnId};
use ridgeworks_routing::{
    Engine, Refusal, RefusalReason, RequestKind, SoftwareKey, WeightedService,
};

use super::Exchange;
use super::preparation::LedgerKey;
use crate::records_client::RecordsUnavailable;
use crate::refusal::RETRY_AFTER;

/// Prefix of the ledgers of streams that belong to no program. No HTTP header can carry it.
const STREAM_LEDGER_PREFIX: char = '§';

/// Longer than a stream lasts with all attempts that resume it.
const MAX_STREAM_AGE: Duration = Duration::from_secs(60);

/// Software version of a stream that may be resumed; empty for other requests.
#[derive(Debug, Default)]
pub(super) struct StreamSoftware {
    /// The version that is recorded as the stream's origin, or is being recorded. Engines of other versions get the request only
    /// after they are recorded in its place.
    pub(super) recorded: Option<SoftwareKey>,
    /// Number of keys that the turn's entry had before the present one.
    ordinal: u32,
    /// The key of the ledger's entry before the present one, until it is settled.
    superseded: Option<TurnId>,
    /// The version at which an earlier attempt of the client began the stream.
    origin: Option<SoftwareKey>,
}

impl Exchange {
    /// The key of a turn's entry in its ledger.
    pub(super) fn key_of(&self, turn: &TurnId) -> TurnId {
        let StreamSoftware {
            recorded, ordinal, ..
        } = &self.software;
        let origin = recorded.map(|software| StreamOrigin(software.0));
        turn.at_try(*ordinal, self.call.digest, origin)
    }

    fn may_be_resumed(&self) -> bool {
        self.call.route.kind == RequestKind::Stream && self.call.route.resumable
    }

    /// The version at which a new stream is to begin. It is recorded beside the other preparations, so that the likely engine
    /// decides, which is the one of least cost as far as known now.
    pub(super) fn first_software(&self) -> Option<SoftwareKey> {
        if !self.may_be_resumed() || self.call.is_resumed_stream() {
            return None;
        }
        let view = &self.gateway.node.view;
        let only = view.with_engines(|table| table.only_ready_software(&self.call.service));
        only.or_else(|| Some(self.likely_engine()?.software_key()))
    }

    /// The only version at which the stream may go on; `None` before its first event.
    pub(super) fn required_software(&self) -> Option<SoftwareKey> {
        let has_begun = self.forwarded.first_at.is_some();
        let recorded = self.software.recorded.filter(|_| has_begun);
        self.software.origin.or(recorded)
    }

    /// Software versions to choose among, in order; `None` stands for all.
    pub(super) fn software_by_preference(&self) -> Vec<Option<SoftwareKey>> {
        if let Some(required) = self.required_software() {
            return vec![Some(required)];
        }
        match self.software.recorded {
            Some(recorded) => vec![Some(recorded), None],
            None => vec![None],
        }
    }

    /// Records the version of the chosen engine as the stream's origin, unless it is recorded. The engine must not get the request
    /// before: another gateway that resumes the stream has to find its origin.
    pub(super) async fn record_software(&mut self, engine: &Engine) -> Result<(), Refusal> {
        let software = engine.software_key();
        let has_begun = self.required_software().is_some();
        if !self.may_be_resumed() || has_begun || self.software.recorded == Some(software) {
            return Ok(());
        }
        log::info!(
            target: "request",
            request = self.call.metadata.request_id.as_str(),
            engine = engine.instance.as_str(),
            software = engine.software.as_str(),
            earlier_origins = self.software.ordinal;
            "another software version recorded for a stream without events"
        );
        let ledger_key = self.ledger_key();
        let turn = ledger_key.as_ref().map(|key| &key.turn);
        self.software.superseded = turn.map(|turn| self.key_of(turn));
        self.software.ordinal += u32::from(self.software.recorded.is_some());
        self.software.recorded = Some(software);
        let Some(ledger_key) = ledger_key else {
            // The lookup marks where the stream begins.
            tokio::join!(self.record_origin_without_budget(), self.look_up_request());
            return Ok(());
        };
        let written = self.write_reservation(&ledger_key).await;
        self.settle_superseded();
        written.map(drop)
    }

    /// Replaces the key of the turn's entry by another one, and returns the one before, which is to be settled.
    pub(super) fn supersede_key(&mut self, turn: &TurnId) -> TurnId {
        let superseded = self.key_of(turn);
        self.software.superseded = Some(superseded.clone());
        self.software.ordinal += 1;
        superseded
    }

    /// Notes that the entry under the key before the present one is settled.
    pub(super) fn forget_superseded(&mut self) {
        self.software.superseded = None;
    }

    /// Settles the reservation under the key of the version that was recorded before. Nothing was generated there. Not before the
    /// next reservation is written, so that the turn is charged all the time.
    pub(super) fn settle_superseded(&mut self) {
        let superseded = self.software.superseded.take();
        if let Some((ledger_key, turn)) = self.ledger_key().zip(superseded) {
            let entry = LedgerEntry {
                reserved_tokens: self.max_tokens(),
                spent: Some(0),
            };
            self.settle_as(&ledger_key, turn, entry);
        }
    }

    /// The mark of the origin at which a stream without a budget is to begin.
    pub(super) fn origin_mark(&self) -> Option<TurnId> {
        let recorded = self.software.recorded.filter(|_| self.may_be_resumed())?;
        let origin = StreamOrigin(recorded.0);
        Some(TurnId::of_stream_origin(self.call.digest, origin))
    }

    /// Writes the origin of a stream without a budget to a ledger of the stream's own, and returns that ledger. Without a majority
    /// of the replicas the stream goes on unrecorded until they are back, and can't be resumed at another gateway before that.
    pub(super) async fn record_origin_without_budget(&self) -> Option<ProgramLedger> {
        if !self.may_be_resumed() || self.ledger_key().is_some() {
            return None;
        }
        let records = &self.gateway.records;
        let ledger_key = self.stream_ledger_key();
        let group = records.group_of(Some(&ledger_key.program));
        if self.gateway.has_no_replicas() {
            self.gateway.metrics.on_unrecorded_stream("no_replicas");
            return None;
        }
        let turn = self.key_of(&ledger_key.turn);
        if records.health.is_lost(group) {
            self.on_unrecorded(&ledger_key, turn);
            return None;
        }
        let writing = records.reserve_if_replicated(
            &ledger_key.program,
            &turn,
            MARK_ENTRY,
            ledger_key.retention,
            self.records_deadline(),
        );
        match writing.await {
            Ok(ledger) => Some(ledger),
            Err(RecordsUnavailable::NoReplicas) => {
                self.gateway.metrics.on_unrecorded_stream("no_replicas");
                None
            }
            // The failure is logged where the majority is asked.
            Err(_) => {
                self.on_unrecorded(&ledger_key, turn);
                None
            }
        }
    }

    /// Has the origin of a stream recorded later, which no majority of the replicas took in time.
    fn on_unrecorded(&self, ledger_key: &LedgerKey, turn: TurnId) {
        if self.call.is_resumed_stream() {
            return;
        }
        log::warn!(
            target: "request",
            request = self.call.metadata.request_id.as_str(),
            service = self.call.service.as_str();
            "stream begins without a record of its software version"
        );
        self.gateway.metrics.on_unrecorded_stream("no_majority");
        self.settle_as(ledger_key, turn, MARK_ENTRY);
    }

    /// The ledger of a stream that belongs to no program, named after the attempt that began it.
    fn stream_ledger_key(&self) -> LedgerKey {
        let metadata = &self.call.metadata;
        let first = metadata.resumes.as_ref().unwrap_or(&metadata.request_id);
        let ledger = format!("{STREAM_LEDGER_PREFIX}{first}");
        LedgerKey {
            program: ProgramId::of(self.call.owner(), &ledger),
            turn: self.call.turn(),
            retention: self.call.route.retention(),
        }
    }

    /// Origin of the stream that the client resumes, by its ledger. If the client does not name the attempt that began it, that is
    /// the origin of all its tries.
    pub(super) fn origin_in(&self, ledger: &ProgramLedger) -> Option<StreamOrigin> {
        let resumes = self.call.metadata.resumes.as_deref();
        let named = resumes.map(|resumes| TurnId::of(self.call.owner(), resumes));
        let origin = named.and_then(|named| ledger.origin(&named));
        // The named attempt may have resumed the stream itself.
        origin.or_else(|| ledger.origin_of_tries(self.call.digest))
    }

    /// Restricts a stream that the client resumes to the version that began it. `is_read` tells whether the ledgers were read that
    /// would have its record.
    pub(super) fn require_origin(
        &mut self,
        recorded: Option<StreamOrigin>,
        is_read: bool,
    ) -> Result<(), Refusal> {
        let origin = match recorded {
            Some(origin) => SoftwareKey(origin.0),
            None if self.gateway.has_no_replicas() => self.presumed_origin()?,
            None => return Err(self.unknown_origin(is_read)),
        };
        self.software.origin = Some(origin);
        let view = &self.gateway.node.view;
        let engine = view.with_engines(|table| table.engine_of(origin).cloned());
        log::info!(
            target: "request",
            request = self.call.metadata.request_id.as_str(),
            resumes = self.call.metadata.resumes.as_deref().unwrap_or_default(),
            resumes_after = self.call.metadata.last_event_id.unwrap_or_default(),
            is_recorded = recorded.is_some(),
            software = engine.as_ref().map(|engine| engine.software.as_str()).unwrap_or_default(),
            service = engine.as_ref().map(|engine| engine.service.as_str()).unwrap_or_default();
            "origin of a resumed stream"
        );
        self.select_service(engine);
        Ok(())
    }

    /// Goes on at the service that began the stream, if the route still allows it.
    fn select_service(&mut self, engine: Option<Engine>) {
        let Some(Engine { service, .. }) = engine else {
            return;
        };
        let is_part = |part: &WeightedService| part.service == service;
        if self.call.route.services.iter().any(is_part) {
            self.call.service = service;
        }
    }

    /// Origin of a stream in a deployment without replicas, where none is recorded: the only version that the service's engines had
    /// for longer than a stream can last with all attempts that resume it.
    fn presumed_origin(&self) -> Result<SoftwareKey, Refusal> {
        let gateway = &self.gateway;
        let now = gateway.now();
        let view = &gateway.node.view;
        let bound = gateway.node.settings.bounds.configuration();
        let is_fresh = view
            .engines_confirmation_age()
            .is_some_and(|age| age < bound);
        let mut history = gateway.software_history.borrow_mut();
        view.with_engines(|table| history.observe(table, now));
        let only = history.only_version(&self.call.service, MAX_STREAM_AGE, now);
        let only = only.filter(|_| is_fresh && self.call.route.services.len() == 1);
        // Another gateway may have known the engines for longer.
        only.ok_or_else(|| self.unknown_origin(false))
    }

    /// The refusal of a resumed stream that can't be shown where it began: any version that it went on at might be another one.
    fn unknown_origin(&self, is_read: bool) -> Refusal {
        log::warn!(
            target: "request",
            request = self.call.metadata.request_id.as_str(),
            resumes = self.call.metadata.resumes.as_deref().unwrap_or_default(),
            service = self.call.service.as_str(),
            is_read = is_read;
            "origin of a resumed stream is not known"
        );
        let reason = RefusalReason::OriginUnknown;
        if is_read {
            // Nothing will be known later, and a new stream serves the caller better.
            Refusal::without_retry(reason)
        } else {
            Refusal::retry_later(reason, RETRY_AFTER)
        }
    }
}
