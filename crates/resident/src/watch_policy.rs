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
use crate::store_watch::ANSWER_TIMEOUT;

/// Gateways up to which all of them watch.
pub const SMALL_FLEET: usize = 12;
/// Watching gateways wanted in a large fleet, over all zones.
const WATCHERS: usize = 6;
/// Watching gateways wanted in each zone at least.
const WATCHERS_PER_ZONE: usize = 2;
/// A node silent for so long no longer counts for the choice of watchers.
const SILENT_AFTER: Duration = Duration::from_secs(20);
/// Time after the start in which a node hears who the others are. With half of it most of a large fleet took itself for a small one.
const SETTLING: Duration = Duration::from_millis(1_200);
/// When a node asks the store first that has heard of nothing: after this and up to the spread more.
const FIRST_ASK: Duration = Duration::from_millis(30);
const FIRST_ASK_SPREAD: Duration = Duration::from_millis(300);
/// The same where a seed answers, which asks the store itself: without it most of a fleet that starts asks what only a few need to.
const SEEDED_ASK: Duration = Duration::from_secs(1);
const SEEDED_ASK_SPREAD: Duration = Duration::from_secs(1);
/// Part of the bound on configurations after which knowledge counts as stale, and its spread.
const STALE_SHARE: f64 = 0.6;
const STALE_SPREAD: f64 = 0.2;
/// Part of the bound on configurations for which a watch of a large fleet waits at most, and by how much less, drawn by name: watches that a change has
/// answered together do not all end together from then on, so that some watcher's knowledge is always young.
const WAIT_SHARE: f64 = 0.6;
const WAIT_SPREAD: f64 = 0.15;
/// How long a node goes on watching that found its knowledge stale.
const STALE_DUTY: Duration = Duration::from_secs(10);
/// How long a watch waits whose answers nobody waits for.
const LONG_WAIT: Duration = Duration::from_secs(8);
/// Part of the bound on configurations after which a node of a small fleet asks the store beside its watches, and the
/// spread by name: mostly one node asks and tells the others, and all together know in time. Without it a change came in
/// force 5.2 s after a silence of the store of 4 s, for a bound of 2 s (three gateways on loopback).
const CHECK_SHARE: f64 = 0.4;
const CHECK_SPREAD: f64 = 0.2;
/// The same in a large fleet, where watches come back on their own before that.
const LARGE_CHECK_SHARE: f64 = 0.7;
const LARGE_CHECK_SPREAD: f64 = 0.1;
/// How long orders to empty a machine, which take seconds, may be unknown because a watch is silent.
const RETIREMENT_CHECK: Duration = Duration::from_secs(3);
/// Longest pause between questions to a store that does not answer; a node asks again, and learns of the
/// answer, well within the bound on configurations.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// The same for nodes that others tell of changes, so that a large fleet does not ask all at once.
const LONGEST_OTHER_PAUSE: Duration = Duration::from_millis(2_400);

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
    seeded_ask: Duration,
    stale_after: Duration,
    wait: Duration,
    check_after: Duration,
    large_check_after: Duration,
    stale_until: Option<Duration>,
}

impl WatchDuty {
    /// The duty of a node under the bound within which configurations come in force.
    pub fn new(name: &str, bound: Duration) -> Self {
        let drawn = xxh3_64(name.as_bytes()) as f64 / u64::MAX as f64;
        Self {
            first_ask: FIRST_ASK + FIRST_ASK_SPREAD.mul_f64(drawn),
            seeded_ask: SEEDED_ASK + SEEDED_ASK_SPREAD.mul_f64(drawn),
            stale_after: bound.mul_f64(STALE_SHARE + STALE_SPREAD * drawn),
            wait: bound.mul_f64(WAIT_SHARE - WAIT_SPREAD * drawn),
            check_after: bound.mul_f64(CHECK_SHARE + CHECK_SPREAD * drawn),
            large_check_after: bound.mul_f64(LARGE_CHECK_SHARE + LARGE_CHECK_SPREAD * drawn),
            stale_until: None,
        }
    }

    /// A node that is a seed asks first: others wait for it.
    pub fn ask_first(&mut self) {
        self.first_ask = Duration::ZERO;
        self.seeded_ask = Duration::ZERO;
    }

    /// A seed has answered, so that the first question is left to it for a while.
    pub fn leave_to_seeds(&mut self) {
        self.first_ask = self.seeded_ask;
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

    /// How patient the node is with the store. In a large fleet the answers to watches are what keeps the
    /// knowledge of the others from being stale.
    pub fn patience(&self, place: Place) -> WatchTimings {
        match place {
            Place::All => WatchTimings {
                wait: LONG_WAIT,
                check_after: self.check_after,
                longest_pause: LONGEST_PAUSE,
            },
            Place::Chosen | Place::Other => WatchTimings {
                wait: self.wait.min(LONG_WAIT),
                check_after: self.large_check_after,
                longest_pause: match place {
                    Place::Other => LONGEST_OTHER_PAUSE,
                    Place::All | Place::Chosen => LONGEST_PAUSE,
                },
            },
        }
    }
}

/// How long a node waits for the store. What is known of a kind may become as old as `check_after` while a watch says
/// nothing; then the store is asked beside it. A watch alone cannot tell "nothing has changed" from a connection that
/// fell silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchTimings {
    /// How long a watch waits for a change.
    pub wait: Duration,
    /// Age of what is known from which on the store is asked beside a watch.
    pub check_after: Duration,
    /// Longest pause between questions while the store does not answer.
    pub longest_pause: Duration,
}

impl WatchTimings {
    /// For orders to empty a machine.
    pub const RETIREMENTS: Self = Self {
        wait: LONG_WAIT,
        check_after: RETIREMENT_CHECK,
        longest_pause: LONGEST_PAUSE,
    };

    /// How long an answer to a watch may take.
    pub fn watch_timeout(&self) -> Duration {
        self.wait + ANSWER_TIMEOUT
    }
}

/// The decision in force, for those that follow the store.
#[derive(Debug)]
pub struct WatchControl {
    is_due: watch::Sender<bool>,
    patience: Cell<WatchTimings>,
}

impl WatchControl {
    /// A signal that is not due until it is set.
    pub fn new(patience: WatchTimings) -> Self {
        Self {
            is_due: watch::Sender::new(false),
            patience: Cell::new(patience),
        }
    }

    /// Sets the decision; says whether it is another one than before.
    pub fn set(&self, is_due: bool, patience: WatchTimings) -> bool {
        self.patience.set(patience);
        self.is_due.send_replace(is_due) != is_due
    }

    /// Whether the node watches now.
    pub fn is_due(&self) -> bool {
        *self.is_due.borrow()
    }

    /// How patient the node is with the store.
    pub fn patience(&self) -> WatchTimings {
        self.patience.get()
    }

    /// Waits until the node is to watch.
    pub async fn wait_until_due(&self) {
        let mut receiver = self.is_due.subscribe();
        // The sender lives as long as this borrow of it.
        let _ = receiver.wait_for(|is_due| *is_due).await;
    }
}
