//! Decides when to ask another node for its confirmations.
//!
//! The age in a heartbeat proves nothing: the datagram may have been delayed for any time by a frozen process, and would make
//! an old confirmation look recent. So it only selects the node to query. The age in the reply is counted from when the query was
//! sent, on the clock of the requester, which includes any delay.

use std::cell::Cell;
use std::time::Duration;

/// Fraction of the configuration bound by which another node's confirmation must be more recent to be worth the two datagrams
/// of a query.
const MIN_GAIN_FRACTION: f64 = 0.1;
/// After this time without a reply another node may be queried.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);

#[derive(Debug, Clone, Copy)]
struct PendingQuery {
    number: u64,
    sent_at: Duration,
}

/// How long ago one part of the view was last confirmed, at this node and at another; `None` where it never was.
#[derive(Debug, Clone, Copy)]
pub struct ConfirmationAges {
    /// Age at this node.
    pub own: Option<Duration>,
    /// Age at the other node, from its heartbeat.
    pub peer: Option<Duration>,
}

/// At most one pending query for confirmations. Times are since the start of the process.
#[derive(Debug)]
pub struct ConfirmationQuery {
    min_gain: Duration,
    last: Cell<u64>,
    pending: Cell<Option<PendingQuery>>,
}

impl ConfirmationQuery {
    /// `bound` is the time within which a new configuration must be in force.
    pub fn new(bound: Duration) -> Self {
        Self {
            min_gain: bound.mul_f64(MIN_GAIN_FRACTION),
            last: Cell::new(0),
            pending: Cell::new(None),
        }
    }

    /// Starts a query to a node with these ages and returns its number; `None` where a query is pending or the other node's
    /// confirmations are not recent enough. One part is enough, since each is confirmed by its own call to the store.
    pub fn start(&self, parts: &[ConfirmationAges], now: Duration) -> Option<u64> {
        let is_fresher = parts.iter().any(|ages| self.is_peer_fresher(*ages));
        let is_free = self
            .pending
            .get()
            .is_none_or(|pending| now.saturating_sub(pending.sent_at) > REPLY_TIMEOUT);
        if !is_fresher || !is_free {
            return None;
        }
        let number = self.last.get() + 1;
        self.last.set(number);
        self.pending.set(Some(PendingQuery {
            number,
            sent_at: now,
        }));
        Some(number)
    }

    /// Whether the other node's confirmation is more recent than this node's by more than the minimum gain.
    fn is_peer_fresher(&self, ages: ConfirmationAges) -> bool {
        ages.peer.is_some_and(|peer| {
            let min_age = peer + self.min_gain;
            ages.own.is_none_or(|own| own > min_age)
        })
    }

    /// Ends the query with this number and returns the time since it was sent; `None` unless it is the pending one.
    pub fn on_reply(&self, number: u64, now: Duration) -> Option<Duration> {
        let pending = self
            .pending
            .get()
            .filter(|pending| pending.number == number)?;
        self.pending.set(None);
        Some(now.saturating_sub(pending.sent_at))
    }
}
