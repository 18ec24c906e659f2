//! Which nodes follow the platform's store themselves, and which learn of changes from other nodes.
//!
//! In a small fleet every gateway watches. In a large one a few of each zone do, by a hash of their
//! names, and tell the others ([`crate::peer::Gossip`]), so that the calls to the store do not grow with
//! the fleet. Nothing is agreed on: a node whose knowledge has not been confirmed for too long watches
//! too, for whatever reason the others are silent. See `docs/design/platform.md`, "Who watches the store".

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use crate::peer::Member;

/// Gateways up to which all of them watch.
pub const SMALL_FLEET: usize = 12;
/// Watching gateways wanted in a large fleet, over all zones.
const WATCHERS: usize = 6;
/// Watching gateways wanted in each zone at least.
const WATCHERS_PER_ZONE: usize = 2;
/// A node silent for so long no longer counts for the choice of watchers.
const SILENT_AFTER: Duration = Duration::from_secs(20);
/// Time after the start in which a node hears who the others are.
const SETTLING: Duration = Duration::from_millis(600);
/// When a node asks the store first that has heard of nothing: after this and up to the spread more.
const FIRST_ASK: Duration = Duration::from_millis(30);
const FIRST_ASK_SPREAD: Duration = Duration::from_millis(300);
/// Part of the bound on configurations after which knowledge counts as stale, and its spread.
const STALE_SHARE: f64 = 0.6;
const STALE_SPREAD: f64 = 0.2;
/// Part of the bound on configurations for which a watch of a large fleet waits.
const WAIT_SHARE: f64 = 0.6;
/// How long a node goes on watching that found its knowledge stale.
const STALE_DUTY: Duration = Duration::from_secs(10);
/// How long a watch waits whose answers nobody waits for.
pub const LONG_WAIT: Duration = Duration::from_secs(8);

/// A node's place among those that may watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// The fleet is small, all watch.
    All,
    /// It is one of the watchers of its zone.
    Chosen,
    /// Others watch.
    Other,
}

/// Finds the place of a gateway from the other nodes that it knows.
pub fn place<'a>(
    name: &str,
    zone: &str,
    members: impl Iterator<Item = &'a Member>,
    now: Duration,
) -> Place {
    let counts = |member: &&Member| {
        let last = member.heard_at.unwrap_or(member.known_since);
        !member.info.is_replica && now.saturating_sub(last) < SILENT_AFTER
    };
    let gateways: Vec<&Member> = members.filter(counts).collect();
    if gateways.len() < SMALL_FLEET {
        return Place::All;
    }
    let mut zones: Vec<&str> = gateways
        .iter()
        .map(|member| member.info.zone.as_str())
        .chain([zone])
        .collect();
    zones.sort_unstable();
    zones.dedup();
    let wanted = WATCHERS.div_ceil(zones.len()).max(WATCHERS_PER_ZONE);
    let mine = xxh3_64(name.as_bytes());
    let before = gateways
        .iter()
        .filter(|member| member.info.zone == zone && xxh3_64(member.info.name.as_bytes()) < mine);
    if before.count() < wanted {
        Place::Chosen
    } else {
        Place::Other
    }
}

/// Decides whether one node watches. Times are since the start of the process.
#[derive(Debug)]
pub struct WatchDuty {
    first_ask: Duration,
    stale_after: Duration,
    wait: Duration,
    stale_until: Option<Duration>,
}

impl WatchDuty {
    /// The duty of a node under the bound within which configurations come in force.
    pub fn new(name: &str, bound: Duration) -> Self {
        let drawn = xxh3_64(name.as_bytes()) as f64 / u64::MAX as f64;
        Self {
            first_ask: FIRST_ASK + FIRST_ASK_SPREAD.mul_f64(drawn),
            stale_after: bound.mul_f64(STALE_SHARE + STALE_SPREAD * drawn),
            wait: bound.mul_f64(WAIT_SHARE),
            stale_until: None,
        }
    }

    /// Whether the node watches now. `unconfirmed` is the time since it or another node heard from the
    /// store that its configuration is the newest one.
    pub fn is_due(&mut self, now: Duration, place: Place, unconfirmed: Option<Duration>) -> bool {
        let Some(age) = unconfirmed else {
            return now >= self.first_ask;
        };
        if now < SETTLING {
            return false;
        }
        if place != Place::Other {
            return true;
        }
        if age > self.stale_after {
            self.stale_until = Some(now + STALE_DUTY);
        }
        self.stale_until.is_some_and(|until| now < until)
    }

    /// How long a watch for the configuration waits. In a large fleet the answers are what keeps the
    /// knowledge of the others from being stale.
    pub fn wait(&self, place: Place) -> Duration {
        if place == Place::All {
            LONG_WAIT
        } else {
            self.wait.min(LONG_WAIT)
        }
    }
}

/// The decision in force, for those that follow the store.
#[derive(Debug)]
pub struct DutySignal {
    is_due: watch::Sender<bool>,
    wait: Cell<Duration>,
}

impl DutySignal {
    /// A signal that is due or not, until it is set anew.
    pub fn new(is_due: bool) -> Self {
        Self {
            is_due: watch::Sender::new(is_due),
            wait: Cell::new(LONG_WAIT),
        }
    }

    /// Sets the decision; says whether it is another one than before.
    pub fn set(&self, is_due: bool, wait: Duration) -> bool {
        self.wait.set(wait);
        self.is_due.send_replace(is_due) != is_due
    }

    /// Whether the node watches now.
    pub fn is_due(&self) -> bool {
        *self.is_due.borrow()
    }

    /// How long a watch for the configuration waits.
    pub fn wait(&self) -> Duration {
        self.wait.get()
    }

    /// Waits until the node is to watch.
    pub async fn wait_until_due(&self) {
        let mut receiver = self.is_due.subscribe();
        // The sender lives as long as this borrow of it.
        let _ = receiver.wait_for(|is_due| *is_due).await;
    }
}
