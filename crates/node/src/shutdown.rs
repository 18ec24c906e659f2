//! Planned stop: refuse new work, finish what is in progress, leave.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use ridgeworks_domain::safeguard::{Safeguard, is_disabled};
use ridgeworks_http_edge::EdgeServer;
use signal_hook::consts::signal::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use stakker::call;

use crate::assembly::Actors;
use crate::mailbox::Mailbox;
use crate::thread_message::ThreadMessage;

const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Others learn of the leave before this node refuses what they still send.
const LEAVE_TIME: Duration = Duration::from_millis(300);
/// The last messages leave within this time.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// Posts [`ThreadMessage::Stop`] when the process is told to end.
pub fn watch_signals(mailbox: Mailbox<ThreadMessage>) -> Result<(), std::io::Error> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            for _ in signals.forever() {
                mailbox.post(ThreadMessage::Stop);
            }
        })
        .map(drop)
}

/// The last refusals are written within this time after that.
const LONGEST_LINGER: Duration = Duration::from_secs(1);

/// How far the stop is.
enum Phase {
    Serving,
    /// Finishing what is in progress.
    Draining {
        since: Instant,
    },
    /// The last messages are on their way.
    Flushing {
        until: Instant,
    },
    Complete,
}

/// The planned stop of a node.
pub struct Shutdown {
    phase: Phase,
    timeout: Duration,
    busy: Arc<AtomicUsize>,
}

impl Shutdown {
    /// A node that serves. A stop gives what is in progress this long.
    pub fn new(timeout: Duration) -> Self {
        Self {
            phase: Phase::Serving,
            timeout,
            busy: Arc::new(AtomicUsize::new(usize::MAX)),
        }
    }

    /// Whether the process may end.
    pub fn is_complete(&self) -> bool {
        matches!(self.phase, Phase::Complete)
    }

    /// How long the actor thread may sleep while the node stops.
    pub fn longest_poll(&self) -> Option<Duration> {
        match self.phase {
            Phase::Serving => None,
            _ => Some(CHECK_INTERVAL),
        }
    }

    /// Begins the stop.
    pub fn begin(&mut self, actors: &Actors, edge: &EdgeServer) {
        if !matches!(self.phase, Phase::Serving) {
            return;
        }
        log::info!("stopping=planned phase=draining");
        edge.refuse_new_requests();
        call!([actors.membership], leave());
        call!([actors.owner], stop());
        let since = Instant::now();
        self.phase = Phase::Draining { since };
    }

    /// Goes on with the stop.
    pub fn advance(&mut self, actors: &Actors, edge: &EdgeServer) {
        let now = Instant::now();
        match self.phase {
            Phase::Draining { since } => {
                let busy = self.busy.clone();
                call!([actors.owner], report_busy(busy));
                let elapsed = now.duration_since(since);
                let drained = self.busy.load(Ordering::Relaxed) == 0
                    && edge.wait_until_idle(Duration::ZERO)
                    && elapsed >= LEAVE_TIME;
                if drained || elapsed >= self.timeout || is_disabled(Safeguard::Drain) {
                    let elapsed_ms = elapsed.as_millis();
                    log::info!(
                        "stopping=planned phase=flushing drained={drained} elapsed_ms={elapsed_ms}"
                    );
                    call!([actors.membership], left());
                    edge.stop_accepting_connections();
                    let until = now + FLUSH_TIME;
                    self.phase = Phase::Flushing { until };
                }
            }
            Phase::Flushing { until } if may_end(edge, now, until) => {
                log::info!("stopping=planned phase=complete");
                self.phase = Phase::Complete;
            }
            _ => {}
        }
    }
}

/// Refusals of requests that came at the last moment are written out, but not for ever.
fn may_end(edge: &EdgeServer, now: Instant, until: Instant) -> bool {
    let written = edge.wait_until_idle(Duration::ZERO);
    now >= until && (written || now >= until + LONGEST_LINGER)
}
