//! Messages of other nodes that this one cannot read or does not know, counted and logged.

use std::collections::HashSet;
use std::net::IpAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use super::encoding::{MessageError, MessageKind};

/// Kinds and nodes that a line is kept for.
const MAX_TOLD: usize = 1_024;

/// Messages that this process has not understood.
#[derive(Debug, Default)]
pub struct RejectedMessages {
    /// Of a kind that this version does not know.
    pub unknown: AtomicU64,
    /// Whose bytes are no message.
    pub unreadable: AtomicU64,
    told: Mutex<Option<HashSet<(IpAddr, u16)>>>,
}

/// Those of this process.
pub static REJECTED: RejectedMessages = RejectedMessages {
    unknown: AtomicU64::new(0),
    unreadable: AtomicU64::new(0),
    told: Mutex::new(None),
};

impl RejectedMessages {
    /// A message of a kind that is not known here.
    pub fn on_unknown(&self, from: IpAddr, kind: u16) {
        self.unknown.fetch_add(1, Ordering::Relaxed);
        if self.is_first(from, kind) {
            log::warn!(
                target: "dependency",
                node:% = from,
                kind = kind;
                "a node sends messages of a kind that this version does not know"
            );
        }
    }

    /// A message that cannot be read.
    pub fn on_unreadable(&self, from: IpAddr, kind: MessageKind, error: MessageError) {
        self.unreadable.fetch_add(1, Ordering::Relaxed);
        if self.is_first(from, kind as u16) {
            log::warn!(
                target: "dependency",
                node:% = from,
                kind:? = kind,
                detail:% = error;
                "a node sends messages that cannot be read"
            );
        }
    }

    /// Whether it is the first of its kind from there: one line tells of all.
    fn is_first(&self, from: IpAddr, kind: u16) -> bool {
        let Ok(mut told) = self.told.lock() else {
            return false;
        };
        let told = told.get_or_insert_default();
        told.len() < MAX_TOLD && told.insert((from, kind))
    }
}
