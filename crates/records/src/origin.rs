//! What began a stream, kept in the ledger of its program.
//!
//! A client may resume a stream at a gateway that never saw the first attempt, and when no process from before is left. So the
//! origin is durable before the first event leaves, and the gateway reads it with its own reservation.
//!
//! The origin is part of the key of the stream's entry, not a field: replicas and gateways of every version keep keys and disks as
//! they are (`docs/design/resumed-streams.md`).

use crate::identifiers::TurnId;

/// Separates a turn's identifier from its origin. No HTTP header can carry it, so no client can name an entry with an origin.
const ORIGIN_SEPARATOR: char = '§';

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

    /// The turn's identifier without an origin.
    pub fn without_origin(&self) -> &str {
        // A tenant's name may contain the separator, the client's part of the identifier can't.
        let mut parts = self.0.rsplitn(3, ORIGIN_SEPARATOR);
        match (parts.next(), parts.next(), parts.next()) {
            (Some(origin), Some(ordinal), Some(turn)) if is_hex(origin) && is_hex(ordinal) => turn,
            _ => &self.0,
        }
    }

    /// The origin in this key, if it has one.
    pub fn origin(&self) -> Option<StreamOrigin> {
        if self.without_origin().len() == self.0.len() {
            return None;
        }
        let (_, origin) = self.0.rsplit_once(ORIGIN_SEPARATOR)?;
        u64::from_str_radix(origin, 16).ok().map(StreamOrigin)
    }
}

fn is_hex(part: &str) -> bool {
    !part.is_empty() && part.bytes().all(|byte| byte.is_ascii_hexdigit())
}
