//! Counts and logs messages of other nodes that can't be decoded or are of an unknown kind.

use std::collections::HashSet;
use std::net::IpAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use super::encoding::{MessageError, MessageKind};

/// Maximum number of pairs of a node and a message kind that are logged; messages of further pairs are only counted.
const MAX_LOGGED_SOURCES: usize = 1_024;

/// Counters of rejected messages.
#[derive(Debug, Default)]
pub struct RejectedMessages {
    /// Messages of a kind that this version doesn't know.
    pub unknown: AtomicU64,
    /// Messages that can't be decoded.
    pub unreadable: AtomicU64,
    logged: Mutex<Option<HashSet<(IpAddr, u16)>>>,
}

/// Counters of this process.
pub static REJECTED: RejectedMessages = RejectedMessages {
    unknown: AtomicU64::new(0),
    unreadable: AtomicU64::new(0),
    logged: Mutex::new(None),
};

impl RejectedMessages {
    /// Counts a message of an unknown kind.
    pub fn on_unknown(&self, from: IpAddr, kind: u16) {
        self.unknown.fetch_add(1, Ordering::Relaxed);
        if self.is_first(from, kind) {
            log::warn!(
                target: "dependency",
                node:% = from,
                kind = kind;
                "received a message of an unknown kind; further ones of this kind from this node are only counted"
            );
        }
    }

    /// Counts a message that can't be decoded.
    pub fn on_unreadable(&self, from: IpAddr, kind: MessageKind, error: MessageError) {
        self.unreadable.fetch_add(1, Ordering::Relaxed);
        if self.is_first(from, kind as u16) {
            log::warn!(
                target: "dependency",
                node:% = from,
                kind:? = kind,
                detail:% = error;
                "received a message that cannot be decoded; further ones of this kind from this node are only counted"
            );
        }
    }

    /// Whether this is the first rejected message of its kind from this node, so that each pair is logged once.
    fn is_first(&self, from: IpAddr, kind: u16) -> bool {
        let Ok(mut logged) = self.logged.lock() else {
            return false;
        };
        let logged = logged.get_or_insert_default();
        logged.len() < MAX_LOGGED_SOURCES && logged.insert((from, kind))
    }
}
