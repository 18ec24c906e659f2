//! Permits that other gateways left open, and how long they count.
//!
//! A permit counts until the outcome of its send is known. Its gateway settles it then, unless it is gone. Whoever reads the permit
//! afterwards settles it once the engine has certainly outlived the send, or once an end under it would count no longer.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use ridgeworks_records::TurnId;

/// Permits that are remembered. The oldest is forgotten, and counts as new where it is read again.
const MAX_PERMITS: usize = 16_384;

/// Why a permit that was left open counts no longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitResolution {
    /// Its engine is listed at a time at which its entry would have lapsed, had it ended under the send.
    Outlived,
    /// An end of its engine under the send would count no longer.
    Expired,
}

impl PermitResolution {
    /// Stable name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Outlived => "outlived",
            Self::Expired => "expired",
        }
    }
}

/// Bounds on what may have become of a send.
#[derive(Debug, Clone, Copy)]
pub struct SendBounds {
    /// How long after its permit was recorded a send is over at the latest.
    pub send_time: Duration,
    /// How long an engine that has ended may still be listed.
    pub entry_lifetime: Duration,
    /// How long an end counts.
    pub end_lifetime: Duration,
}

/// When this gateway first read a permit, and whether it has settled it.
#[derive(Debug, Clone, Copy)]
struct OpenPermit {
    first_read: Duration,
    is_settled: bool,
}

/// Open permits of other tries. Times are since the start of the process, by its steady clock: what other machines write as times is
/// worth nothing, and a permit was recorded before it could be read.
#[derive(Debug, Default)]
pub struct OpenPermits {
    permits: HashMap<TurnId, OpenPermit>,
    /// Oldest first.
    order: VecDeque<TurnId>,
}

impl OpenPermits {
    /// Takes in a permit that a ledger has, and returns why it counts no longer; `None` while it does. `listed_at` is the time of the
    /// newest list of the engines, if the permit's engine is in it.
    pub fn resolution(
        &mut self,
        permit: &TurnId,
        bounds: SendBounds,
        listed_at: Option<Duration>,
        now: Duration,
    ) -> Option<PermitResolution> {
        let over_at = self.first_read(permit, now) + bounds.send_time;
        if listed_at.is_some_and(|at| at >= over_at + bounds.entry_lifetime) {
            return Some(PermitResolution::Outlived);
        }
        (now >= over_at + bounds.end_lifetime).then_some(PermitResolution::Expired)
    }

    /// Notes that this gateway settles a permit; returns whether it had not done so before.
    pub fn settle(&mut self, permit: &TurnId) -> bool {
        let Some(open) = self.permits.get_mut(permit) else {
            return false;
        };
        !std::mem::replace(&mut open.is_settled, true)
    }

    /// How long ago this gateway first read a permit.
    pub fn age(&self, permit: &TurnId, now: Duration) -> Duration {
        let open = self.permits.get(permit);
        open.map_or(Duration::ZERO, |open| now.saturating_sub(open.first_read))
    }

    /// Number of permits that are remembered.
    pub fn len(&self) -> usize {
        self.permits.len()
    }

    /// Whether no permit is remembered.
    pub fn is_empty(&self) -> bool {
        self.permits.is_empty()
    }

    fn first_read(&mut self, permit: &TurnId, now: Duration) -> Duration {
        if let Some(open) = self.permits.get(permit) {
            return open.first_read;
        }
        if self.order.len() >= MAX_PERMITS
            && let Some(oldest) = self.order.pop_front()
        {
            self.permits.remove(&oldest);
        }
        self.order.push_back(permit.clone());
        let open = OpenPermit {
            first_read: now,
            is_settled: false,
        };
        self.permits.insert(permit.clone(), open);
        now
    }
}
