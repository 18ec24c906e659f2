//! Decides which nodes watch the platform's store and which learn of changes from other nodes.
//!
//! In a small fleet every gateway watches. In a large one a few of each zone do, chosen by a hash of their
//! names, and tell the others ([`crate::peer::Gossip`]), so that the calls to the store don't grow with
//! the fleet. The choice needs no agreement: a node whose view has been unconfirmed for too long watches
//! too, whatever the reason. See `docs/design/platform.md`, "Who watches the store".

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use crate::peer::Member;
use crate::store_watch::REPLY_TIMEOUT;

/// With this many other gateways or more, only some gateways watch.
pub const LARGE_FLEET_GATEWAYS: usize = 12;
/// Number of watching gateways in a large fleet, divided evenly among the zones and rounded up in each.
const TARGET_WATCHERS: usize = 6;
/// Minimum number of watching gateways in each zone, as far as it has so many.
const MIN_WATCHERS_PER_ZONE: usize = 2;
/// A node silent for this long is left out of the choice of watchers.
const SILENT_AFTER: Duration = Duration::from_secs(20);
/// Time after its start in which a node collects heartbeats before it relies on its watcher role. With a shorter time,
/// nodes of a large fleet would not yet know enough gateways to recognize it as large, and all would watch.
const SETTLING: Duration = Duration::from_millis(1_200);
/// A node without a view first queries the store after this delay plus up to `FIRST_QUERY_SPREAD`, by the hash of its name.
const FIRST_QUERY_DELAY: Duration = Duration::from_millis(30);
const FIRST_QUERY_SPREAD: Duration = Duration::from_millis(300);
/// Like `FIRST_QUERY_DELAY` and `FIRST_QUERY_SPREAD`, for a node to which a seed has replied. The seeds query the store
/// themselves, so that the nodes of a starting fleet don't all query it at the same time.
const SEEDED_QUERY_DELAY: Duration = Duration::from_secs(1);
const SEEDED_QUERY_SPREAD: Duration = Duration::from_secs(1);
/// Fraction of the configuration bound after which a view counts as stale, plus up to `STALE_SPREAD`, by the hash of the node's
/// name.
const STALE_FRACTION: f64 = 0.6;
const STALE_SPREAD: f64 = 0.2;
/// Fraction of the configuration bound for which a watch in a large fleet waits at most, minus up to `WAIT_SPREAD`, by the hash
/// of the node's name. The spread keeps watches that ended together at a change from ending together again, so that some
/// watcher's view is always fresh.
const WAIT_FRACTION: f64 = 0.6;
const WAIT_SPREAD: f64 = 0.15;
/// How long a node keeps watching after its view was stale.
const WATCH_TIME_AFTER_STALE_VIEW: Duration = Duration::from_secs(10);
/// Wait of a watch in a small fleet, where nothing depends on the end of the wait.
const LONG_WAIT: Duration = Duration::from_secs(8);
/// Fraction of the configuration bound after which a node of a small fleet probes the store beside its watches, plus up to
/// `PROBE_SPREAD`, by the hash of the node's name. The spread lets mostly one node probe and tell the others.
/// Without the probe, a watch whose connection has fallen silent delays changes past the bound: a change came into force
/// 5.2 s after the store had been silent for 4 s, for a bound of 2 s.
const PROBE_FRACTION: f64 = 0.4;
const PROBE_SPREAD: f64 = 0.2;
/// Like `PROBE_FRACTION` and `PROBE_SPREAD`, for a large fleet. Higher, so that a working watch ends before the probe is due.
const LARGE_PROBE_FRACTION: f64 = 0.7;
const LARGE_PROBE_SPREAD: f64 = 0.1;
/// Time without a confirmation after which the store is probed for orders to retire a machine. Longer than for other kinds of
/// objects, since carrying out such an order takes seconds anyway.
const RETIREMENT_PROBE_DELAY: Duration = Duration::from_secs(3);
/// Maximum backoff while the store doesn't answer: short enough for a retry and its reply within the configuration bound.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Maximum backoff of nodes with the role `Other`, which learn of changes from other nodes, so that the nodes of a
/// large fleet don't all retry at the same time.
const MAX_OTHER_BACKOFF: Duration = Duration::from_millis(2_400);

/// Whether a node is one of those that watch the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatcherRole {
    /// The fleet is small and every gateway watches.
    All,
    /// It is one of the watchers of its zone.
    Chosen,
    /// Others watch.
    Other,
}

/// The watcher role of a gateway, from the other nodes that it knows.
pub fn watcher_role<'a>(
    name: &str,
    zone: &str,
    members: impl Iterator<Item = &'a Member>,
    now: Duration,
) -> WatcherRole {
    let counts = |member: &&Member| {
        let last = member.heard_at.unwrap_or(member.known_since);
        !member.info.is_replica && now.saturating_sub(last) < SILENT_AFTER
    };
    let gateways: Vec<&Member> = members.filter(counts).collect();
    if gateways.len() < LARGE_FLEET_GATEWAYS {
        return WatcherRole::All;
    }
    let mut zones: Vec<&str> = gateways
        .iter()
        .map(|member| member.info.zone.as_str())
        .chain([zone])
        .collect();
    zones.sort_unstable();
    zones.dedup();
    let wanted = TARGET_WATCHERS
        .div_ceil(zones.len())
        .max(MIN_WATCHERS_PER_ZONE);
    let mine = xxh3_64(name.as_bytes());
    let before = gateways
        .iter()
        .filter(|member| member.info.zone == zone && xxh3_64(member.info.name.as_bytes()) < mine);
    if before.count() < wanted {
        WatcherRole::Chosen
    } else {
        WatcherRole::Other
    }
}

/// Decides whether one node watches the store. Times are since the start of the process.
#[derive(Debug)]
pub struct WatchPolicy {
    first_query_after: Duration,
    seeded_query_after: Duration,
    stale_after: Duration,
    wait: Duration,
    probe_after: Duration,
    large_probe_after: Duration,
    /// Until when the node watches because its view was stale.
    stale_until: Option<Duration>,
}

impl WatchPolicy {
    /// `bound` is the time within which a new configuration must be in force. The node's name decides its part of each spread.
    pub fn new(name: &str, bound: Duration) -> Self {
        let spread_position = xxh3_64(name.as_bytes()) as f64 / u64::MAX as f64;
        Self {
            first_query_after: FIRST_QUERY_DELAY + FIRST_QUERY_SPREAD.mul_f64(spread_position),
            seeded_query_after: SEEDED_QUERY_DELAY + SEEDED_QUERY_SPREAD.mul_f64(spread_position),
            stale_after: bound.mul_f64(STALE_FRACTION + STALE_SPREAD * spread_position),
            wait: bound.mul_f64(WAIT_FRACTION - WAIT_SPREAD * spread_position),
            probe_after: bound.mul_f64(PROBE_FRACTION + PROBE_SPREAD * spread_position),
            large_probe_after: bound
                .mul_f64(LARGE_PROBE_FRACTION + LARGE_PROBE_SPREAD * spread_position),
            stale_until: None,
        }
    }

    /// Lets a seed query the store without delay, since other nodes wait for it.
    pub fn query_immediately(&mut self) {
        self.first_query_after = Duration::ZERO;
        self.seeded_query_after = Duration::ZERO;
    }

    /// Delays the first query because a seed has replied, which queries the store itself.
    pub fn defer_to_seeds(&mut self) {
        self.first_query_after = self.seeded_query_after;
    }

    /// Whether the node is to watch now. `unconfirmed` is the time since the store confirmed, to this node or another, that
    /// its configuration is the newest; `None` where it never did.
    pub fn should_watch(
        &mut self,
        now: Duration,
        watcher_role: WatcherRole,
        unconfirmed: Option<Duration>,
    ) -> bool {
        let Some(age) = unconfirmed else {
            return now >= self.first_query_after;
        };
        if now < SETTLING {
            return false;
        }
        if watcher_role != WatcherRole::Other {
            return true;
        }
        if age > self.stale_after {
            self.stale_until = Some(now + WATCH_TIME_AFTER_STALE_VIEW);
        }
        self.stale_until.is_some_and(|until| now < until)
    }

    /// Times of the node's watches. In a large fleet the replies to watches are what keeps the views of the other nodes confirmed.
    pub fn timings(&self, watcher_role: WatcherRole) -> WatchTimings {
        match watcher_role {
            WatcherRole::All => WatchTimings {
                wait: LONG_WAIT,
                probe_after: self.probe_after,
                max_backoff: MAX_BACKOFF,
            },
            WatcherRole::Chosen | WatcherRole::Other => WatchTimings {
                wait: self.wait.min(LONG_WAIT),
                probe_after: self.large_probe_after,
                max_backoff: match watcher_role {
                    WatcherRole::Other => MAX_OTHER_BACKOFF,
                    WatcherRole::All | WatcherRole::Chosen => MAX_BACKOFF,
                },
            },
        }
    }
}

/// Times of a watch of the store. Once the known objects of a kind have been unconfirmed for `probe_after`, the store is probed
/// beside the open watch: a watch alone can't tell "nothing has changed" from a silent connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchTimings {
    /// How long the store holds a watch open without a change.
    pub wait: Duration,
    /// Time without a confirmation after which the store is probed beside an open watch.
    pub probe_after: Duration,
    /// Maximum backoff while the store doesn't answer.
    pub max_backoff: Duration,
}

impl WatchTimings {
    /// For watches of orders to retire a machine.
    pub const RETIREMENTS: Self = Self {
        wait: LONG_WAIT,
        probe_after: RETIREMENT_PROBE_DELAY,
        max_backoff: MAX_BACKOFF,
    };

    /// Deadline of a watch, from when it is sent.
    pub fn watch_timeout(&self) -> Duration {
        self.wait + REPLY_TIMEOUT
    }
}

/// The current decision, shared with the tasks that watch the store.
#[derive(Debug)]
pub struct WatchControl {
    should_watch: watch::Sender<bool>,
    timings: Cell<WatchTimings>,
}

impl WatchControl {
    /// `should_watch` is false until the first [`WatchControl::set`].
    pub fn new(timings: WatchTimings) -> Self {
        Self {
            should_watch: watch::Sender::new(false),
            timings: Cell::new(timings),
        }
    }

    /// Sets the decision; returns whether it has changed.
    pub fn set(&self, should_watch: bool, timings: WatchTimings) -> bool {
        self.timings.set(timings);
        self.should_watch.send_replace(should_watch) != should_watch
    }

    /// The decision of the last [`WatchControl::set`].
    pub fn should_watch(&self) -> bool {
        *self.should_watch.borrow()
    }

    /// Timings for the next watch; they may change while one is open.
    pub fn timings(&self) -> WatchTimings {
        self.timings.get()
    }

    /// Returns immediately if the node already watches.
    pub async fn wait_until_watching(&self) {
        let mut receiver = self.should_watch.subscribe();
        // Can't fail: `self` holds the sender.
        let _ = receiver.wait_for(|should_watch| *should_watch).await;
    }
}
