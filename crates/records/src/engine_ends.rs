//! Engines that ended under a request, kept in the ledger of its program.
//!
//! A request may end every engine that runs it, and each try of its client has another identifier and may come to another gateway.
//! So the ends are durable before the client hears of them, under a digest of what all tries have in common, and a gateway reads
//! them before it sends the request (`docs/design/engine-ends.md`).
//!
//! An end is known only after it has happened, and its gateway may be gone by then. So a send also leaves an entry that stays open
//! until its outcome is known: the reservation of a turn, or a permit. Open entries of others count like ends.
//!
//! Like origins they are keys of entries that charge nothing, so that replicas and gateways of every version keep them.

use std::collections::{BTreeMap, BTreeSet};

use crate::identifiers::TurnId;
use crate::ledger::{LedgerEntry, ProgramLedger};
use crate::origin::StreamOrigin;

/// Begins the keys of entries that belong to no turn. No HTTP header can carry it, and a key with a tenant's name has the tenant
/// separator behind it.
const MARK: &str = "§";
const END_MARK: &str = "§ended:";
/// Begins as [`END_MARK`], so that earlier versions take it for a mark, and one that they can't read.
const PRESUMED_END_MARK: &str = "§ended:presumed:";
const CLEARED_MARK: &str = "§cleared:";
/// Begins as [`CLEARED_MARK`], for the same reason.
const WITHDRAWN_MARK: &str = "§cleared:presumed:";
/// Begins as [`CLEARED_MARK`], for the same reason.
const ORIGIN_MARK: &str = "§cleared:origin:";
const LOOKUP_MARK: &str = "§looked-up";
const FIELD_SEPARATOR: char = ':';

/// The entry of a mark, or of a settled permit, which charges no tokens.
pub const MARK_ENTRY: LedgerEntry = LedgerEntry {
    reserved_tokens: 0,
    spent: Some(0),
};
/// The entry of a permit until the outcome of its send is known.
pub const PERMIT_ENTRY: LedgerEntry = LedgerEntry {
    reserved_tokens: 0,
    spent: None,
};
/// Engines that may end under a request before it is sent to none.
pub const MAX_ENGINE_ENDS: usize = 3;
/// Set in the ordinals of permits, which so differ from those of reservations.
pub(crate) const PERMIT_ORDINAL: u32 = 1 << 31;

/// Digest of what all tries of one request have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestDigest(pub u64);

/// One run of an engine, as an opaque number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EngineRun(pub u64);

/// Whether an engine is known to have ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum EndCertainty {
    /// Nothing but its end explains what was seen.
    Known,
    /// A lost link, or an engine that resets connections, looks the same.
    Presumed,
}

/// An engine that ended under a request, or may have.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct EngineEnd {
    pub digest: RequestDigest,
    pub run: EngineRun,
    pub certainty: EndCertainty,
    /// When it was noticed, in seconds since 1970 by the clock of the gateway. For earlier versions, which compare it with their own
    /// clock; clocks differ, so nothing else may be made of it.
    pub at_s: u64,
    /// The entry that was open for the send, which the end accounts for. Earlier versions name the turn without more, for all sends
    /// of the try.
    pub turn: TurnId,
}

/// What a ledger knows of the engines that ended under one request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineEnds {
    /// Runs of engines that are known to have ended.
    pub known: BTreeSet<EngineRun>,
    /// Runs of engines that are presumed to have ended.
    pub presumed: BTreeSet<EngineRun>,
    /// Runs of engines that were presumed to have ended and have lived on. What ends them later counts.
    pub withdrawn: BTreeSet<EngineRun>,
    /// Runs whose end had another cause, since the request was served all the same.
    pub cleared: BTreeSet<EngineRun>,
    /// Entries of other tries that are neither settled nor accounted for by an end: they still run, or their gateway is gone and the
    /// engine perhaps with it.
    pub unsettled: usize,
    /// The permits among these that name the engine that their send went to.
    pub open_permits: BTreeMap<TurnId, EngineRun>,
}

/// Ends that count no longer, since they happened too long ago.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ExpiredEnds {
    /// Runs of engines that are known to have ended.
    pub known: BTreeSet<EngineRun>,
    /// Runs of engines that are presumed to have ended.
    pub presumed: BTreeSet<EngineRun>,
}

/// Whether a request may be sent to an engine, by what is known of its other sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendVerdict {
    /// At most [`MAX_ENGINE_ENDS`] engines end under it, whatever becomes of this send and of those without an outcome.
    Permitted,
    /// More engines could end under it, since other sends have no outcome yet or engines are presumed to have ended.
    Unsettled,
    /// [`MAX_ENGINE_ENDS`] engines are known to have ended under it.
    EndsEngines,
}

impl EngineEnds {
    /// Engines that are known or presumed to have ended under the request.
    pub fn ended(&self) -> usize {
        self.known.union(&self.presumed).count()
    }

    /// Whether the run is known or presumed to have ended.
    pub fn contains(&self, run: EngineRun) -> bool {
        self.known.contains(&run) || self.presumed.contains(&run)
    }

    /// Engines that may have ended under the request. A try without an outcome counts beside an end: alone it is rather one that
    /// still runs.
    pub fn count(&self) -> usize {
        let ended = self.ended();
        let unsettled = if ended == 0 { 0 } else { self.unsettled };
        ended + unsettled
    }

    /// Takes out these runs, which count no longer. Their sends stay accounted for.
    pub fn take_expired(&mut self, expired: &BTreeSet<EngineRun>) -> ExpiredEnds {
        let is_expired = |run: &EngineRun| expired.contains(run);
        ExpiredEnds {
            known: self.known.extract_if(.., is_expired).collect(),
            presumed: self.presumed.extract_if(.., is_expired).collect(),
        }
    }

    /// Takes out an open permit, which counts no longer.
    pub fn take_open_permit(&mut self, permit: &TurnId) {
        if self.open_permits.remove(permit).is_some() {
            self.unsettled = self.unsettled.saturating_sub(1);
        }
    }

    /// Whether nothing speaks against the request.
    pub fn is_clear(&self) -> bool {
        self.ended() == 0 && self.unsettled == 0
    }

    /// Whether one more send is permitted.
    pub fn verdict(&self) -> SendVerdict {
        if self.known.len() >= MAX_ENGINE_ENDS {
            SendVerdict::EndsEngines
        } else if self.count() >= MAX_ENGINE_ENDS || self.unsettled >= MAX_ENGINE_ENDS {
            SendVerdict::Unsettled
        } else {
            SendVerdict::Permitted
        }
    }
}

impl TurnId {
    /// The key of an engine's end.
    pub fn of_engine_end(end: &EngineEnd) -> Self {
        let EngineEnd {
            digest,
            run,
            certainty,
            at_s,
            turn,
        } = end;
        let mark = match certainty {
            EndCertainty::Known => END_MARK,
            EndCertainty::Presumed => PRESUMED_END_MARK,
        };
        Self(format!(
            "{mark}{:016x}:{:016x}:{at_s:x}:{}",
            digest.0, run.0, turn.0
        ))
    }

    /// The key that says that a request was served after the end of this engine, which so had another cause.
    pub fn of_cleared_end(digest: RequestDigest, run: EngineRun) -> Self {
        Self(format!("{CLEARED_MARK}{:016x}:{:016x}", digest.0, run.0))
    }

    /// The key that says that this engine, which was presumed to have ended, has lived on.
    pub fn of_withdrawn_end(digest: RequestDigest, run: EngineRun) -> Self {
        Self(format!("{WITHDRAWN_MARK}{:016x}:{:016x}", digest.0, run.0))
    }

    /// The key that says that a stream of this request began at this origin. One for all such streams, so that a ledger of many of
    /// them does not grow.
    pub fn of_stream_origin(digest: RequestDigest, origin: StreamOrigin) -> Self {
        Self(format!("{ORIGIN_MARK}{:016x}:{:016x}", digest.0, origin.0))
    }

    /// The request and the origin, if this is the key of a stream's origin.
    pub fn marked_origin(&self) -> Option<(RequestDigest, StreamOrigin)> {
        let (digest, origin) = self.numbers_behind(ORIGIN_MARK)?;
        Some((RequestDigest(digest), StreamOrigin(origin)))
    }

    /// The key that is written where a ledger is only to be read. The same for all, so that nothing is written twice.
    pub fn of_lookup() -> Self {
        Self(LOOKUP_MARK.to_owned())
    }

    /// The key of a permit to send a request once, which names no engine; `number` tells the permits of one try apart.
    pub fn permit(&self, number: u32, digest: RequestDigest) -> Self {
        self.at_try(PERMIT_ORDINAL | number, digest, None)
    }

    /// When an engine's end was noticed, in seconds since 1970, if this is its key.
    pub fn ended_at_s(&self) -> Option<u64> {
        self.engine_end().map(|end| end.at_s)
    }

    /// Whether this is the key of an entry that belongs to no turn.
    pub fn is_mark(&self) -> bool {
        let marks = [END_MARK, CLEARED_MARK];
        self.0 == LOOKUP_MARK || marks.iter().any(|mark| self.0.starts_with(mark))
    }

    fn engine_end(&self) -> Option<EngineEnd> {
        let presumed = self.0.strip_prefix(PRESUMED_END_MARK);
        let (certainty, fields) = match presumed {
            Some(fields) => (EndCertainty::Presumed, fields),
            None => (EndCertainty::Known, self.0.strip_prefix(END_MARK)?),
        };
        let mut fields = fields.splitn(4, FIELD_SEPARATOR);
        let mut number = || u64::from_str_radix(fields.next()?, 16).ok();
        Some(EngineEnd {
            digest: RequestDigest(number()?),
            run: EngineRun(number()?),
            certainty,
            at_s: number()?,
            turn: Self(fields.next()?.to_owned()),
        })
    }

    fn cleared_end(&self) -> Option<(RequestDigest, EngineRun)> {
        self.run_behind(CLEARED_MARK)
    }

    fn withdrawn_end(&self) -> Option<(RequestDigest, EngineRun)> {
        self.run_behind(WITHDRAWN_MARK)
    }

    /// The request and the run in a key with this prefix.
    fn run_behind(&self, prefix: &str) -> Option<(RequestDigest, EngineRun)> {
        let (digest, run) = self.numbers_behind(prefix)?;
        Some((RequestDigest(digest), EngineRun(run)))
    }

    /// The two numbers in a key with this prefix.
    fn numbers_behind(&self, prefix: &str) -> Option<(u64, u64)> {
        let (first, second) = self.0.strip_prefix(prefix)?.split_once(FIELD_SEPARATOR)?;
        let number = |text| u64::from_str_radix(text, 16).ok();
        Some((number(first)?, number(second)?))
    }
}

impl ProgramLedger {
    fn marks(&self) -> impl Iterator<Item = &TurnId> {
        let keys = self.entries.range(TurnId(MARK.to_owned())..);
        keys.map(|(key, _)| key)
            .take_while(|key| key.0.starts_with(MARK))
    }

    /// The engines that ended under a request, however long ago. `own` is the try that asks.
    pub fn engine_ends(&self, digest: RequestDigest, own: &TurnId) -> EngineEnds {
        let mut cleared = BTreeSet::new();
        let mut withdrawn = BTreeSet::new();
        let mut ends = Vec::new();
        for key in self.marks() {
            cleared.extend(key.cleared_end());
            withdrawn.extend(key.withdrawn_end());
            ends.extend(key.engine_end());
        }
        ends.retain(|end| end.digest == digest);
        let accounted: BTreeSet<&str> = ends.iter().map(|end| end.turn.0.as_str()).collect();
        let unsettled = self.entries.iter().filter(|(key, entry)| {
            let turn = key.without_origin();
            let is_accounted = accounted.contains(key.0.as_str()) || accounted.contains(turn);
            let is_other = turn != own.0 && !is_accounted;
            entry.spent.is_none() && is_other && key.digest() == Some(digest)
        });
        let unsettled: Vec<&TurnId> = unsettled.map(|(key, _)| key).collect();
        let open_permits = unsettled.iter();
        let open_permits =
            open_permits.filter_map(|key| Some(((*key).clone(), key.permitted_run()?)));
        let runs_of = |marks: &BTreeSet<(RequestDigest, EngineRun)>| -> BTreeSet<EngineRun> {
            let marks = marks.iter().filter(|(of, _)| *of == digest);
            marks.map(|(_, run)| *run).collect()
        };
        let (cleared, withdrawn) = (runs_of(&cleared), runs_of(&withdrawn));
        ends.retain(|end| !cleared.contains(&end.run));
        let runs_that = |certainty| -> BTreeSet<EngineRun> {
            let ends = ends.iter().filter(move |end| end.certainty == certainty);
            ends.map(|end| end.run).collect()
        };
        EngineEnds {
            known: runs_that(EndCertainty::Known),
            presumed: &runs_that(EndCertainty::Presumed) - &withdrawn,
            withdrawn,
            cleared,
            unsettled: unsettled.len(),
            open_permits: open_permits.collect(),
        }
    }
}
