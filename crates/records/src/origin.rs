//! What began a stream, kept in the ledger of its program.
//!
//! A client may resume a stream at a gateway that never saw the first attempt, and when no process from before is left. So the
//! origin is durable before the first event leaves, and the gateway reads it with its own reservation.
//!
//! The origin is part of the key of the stream's entry, not a field: replicas and gateways of every version keep keys and disks as
//! they are (`docs/design/resumed-streams.md`).

use crate::engine_ends::{EngineRun, PERMIT_ORDINAL, RequestDigest};
use crate::identifiers::TurnId;

/// Separates a turn's identifier from its origin. No HTTP header can carry it, so no client can name an entry with an origin.
const ORIGIN_SEPARATOR: char = '§';

/// Digits of the ordinal in a key; those behind it are a digest.
const ORDINAL_DIGITS: usize = 8;
/// Digits of the run of an engine in a key.
const RUN_DIGITS: usize = 16;
/// Stands in the key of a turn whose stream may not be resumed.
const NO_ORIGIN: u64 = 0;

/// What began a stream, as an opaque number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StreamOrigin(pub u64);

impl TurnId {
    /// The key of the ledger entry of a turn whose stream begins at this origin. `ordinal` counts the turn's origins from 0: one
    /// that brought no event may be followed by another.
    pub fn at_origin(&self, ordinal: u32, origin: StreamOrigin) -> Self {
        // Digits of fixed width, so that keys sort by the ordinal.
        Self(format!(
            "{}{ORIGIN_SEPARATOR}{ordinal:08x}{ORIGIN_SEPARATOR}{:016x}",
            self.0, origin.0
        ))
    }

    /// The key of the ledger entry of one try of a request, with the origin at which its stream begins, if it may be resumed.
    pub fn at_try(
        &self,
        ordinal: u32,
        digest: RequestDigest,
        origin: Option<StreamOrigin>,
    ) -> Self {
        // Beside the ordinal: earlier versions take both for a longer one.
        let origin = origin.map_or(NO_ORIGIN, |origin| origin.0);
        Self(format!(
            "{}{ORIGIN_SEPARATOR}{ordinal:08x}{:016x}{ORIGIN_SEPARATOR}{origin:016x}",
            self.0, digest.0
        ))
    }

    /// The digest in this key, if it has one.
    pub fn digest(&self) -> Option<RequestDigest> {
        let (_, ordinal, _) = self.split()?;
        let digest = ordinal.get(ORDINAL_DIGITS..)?;
        u64::from_str_radix(digest, 16).ok().map(RequestDigest)
    }

    /// The turn's identifier, the ordinal with the digest, and the origin, if the key has these.
    fn split(&self) -> Option<(&str, &str, &str)> {
        // A tenant's name may contain the separator, the client's part of the identifier can't.
        let mut parts = self.0.rsplitn(3, ORIGIN_SEPARATOR);
        match (parts.next(), parts.next(), parts.next()) {
            (Some(origin), Some(ordinal), Some(turn)) if is_hex(origin) && is_hex(ordinal) => {
                Some((turn, ordinal, origin))
            }
            _ => None,
        }
    }

    /// The turn's identifier without an origin, and without the engine of a permit.
    pub fn without_origin(&self) -> &str {
        let Some((turn, _, _)) = self.split() else {
            return &self.0;
        };
        self.split_permit().map_or(turn, |(turn, _)| turn)
    }

    /// The key of a permit to send a request to this run of an engine; `number` tells the permits of one try apart.
    pub fn permit_at(&self, run: EngineRun, number: u32, digest: RequestDigest) -> Self {
        // Before the ordinal: earlier versions take the run for a part of the turn's identifier, and count the permit.
        let turn = format!("{}{ORIGIN_SEPARATOR}{:016x}", self.0, run.0);
        Self(turn).permit(number, digest)
    }

    /// The run of the engine that this key permits a send to, if it is the key of a permit and names one.
    pub fn permitted_run(&self) -> Option<EngineRun> {
        let (_, run) = self.split_permit()?;
        u64::from_str_radix(run, 16).ok().map(EngineRun)
    }

    /// The turn's identifier and the run of the engine, if this is the key of a permit that names one.
    fn split_permit(&self) -> Option<(&str, &str)> {
        let (turn, ordinal, _) = self.split()?;
        let ordinal = u32::from_str_radix(ordinal.get(..ORDINAL_DIGITS)?, 16).ok()?;
        // Behind a separator of a tenant's name comes the one of the tenant, which is no digit.
        let (turn, run) = turn.rsplit_once(ORIGIN_SEPARATOR)?;
        let names_run = run.len() == RUN_DIGITS && is_hex(run);
        (ordinal & PERMIT_ORDINAL != 0 && names_run).then_some((turn, run))
    }

    /// The origin in this key, if it has one.
    pub fn origin(&self) -> Option<StreamOrigin> {
        let (_, _, origin) = self.split()?;
        let origin = u64::from_str_radix(origin, 16).ok()?;
        (origin != NO_ORIGIN).then_some(StreamOrigin(origin))
    }
}

fn is_hex(part: &str) -> bool {
    !part.is_empty() && part.bytes().all(|byte| byte.is_ascii_hexdigit())
}
