//! What began a stream, kept in the ledger of its program.
//!
//! A client may resume a stream at a gateway that never saw the first attempt, and when no process from before is left. So the
//! origin is durable before the first event leaves, and the gateway reads it with its own reservation.
//!
//! The origin is part of the key of the stream's entry, not a field: replicas and gateways of every version keep keys and disks as
//! they are (`docs/design/resumed-streams.md`).

use crate::engine_ends::RequestDigest;
use crate::identifiers::TurnId;

/// Separates a turn's identifier from its origin. No HTTP header can carry it, so no client can name an entry with an origin.
const ORIGIN_SEPARATOR: char = '§';

/// Digits of the ordinal in a key; those behind it are a digest.
const ORDINAL_DIGITS: usize = 8;
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

    /// The turn's identifier without an origin.
    pub fn without_origin(&self) -> &str {
        self.split().map_or(&self.0, |(turn, _, _)| turn)
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
