//! A planned stop of the gateway: until when requests are taken, and when those that are open are given up.

use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Times of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopTimes {
    /// From then on, requests that may outlast the stop are refused.
    pub refuses_from: Instant,
    /// Open requests are given up then.
    pub gives_up_at: Instant,
}

/// Whether and when the gateway stops.
#[derive(Debug)]
pub struct Stop {
    times: watch::Sender<Option<StopTimes>>,
}

impl Default for Stop {
    fn default() -> Self {
        Self {
            times: watch::Sender::new(None),
        }
    }
}

impl Stop {
    /// Begins the stop, for good.
    pub fn begin(&self, times: StopTimes) {
        self.times.send_replace(Some(times));
    }

    /// Whether the stop has begun.
    pub fn has_begun(&self) -> bool {
        self.times.borrow().is_some()
    }

    /// Whether a request that is open until `deadline` at the latest comes too late to be taken: it could be cut by the stop.
    pub fn refuses(&self, deadline: Instant) -> bool {
        let times = *self.times.borrow();
        times.is_some_and(|times| {
            Instant::now() >= times.refuses_from && deadline > times.gives_up_at
        })
    }

    /// Whether open requests are given up.
    pub fn has_given_up(&self) -> bool {
        let times = *self.times.borrow();
        times.is_some_and(|times| Instant::now() >= times.gives_up_at)
    }

    /// Completes when open requests are given up.
    pub async fn given_up(&self) {
        let mut times = self.times.subscribe();
        // The sender lives as long as `self`.
        let times = times.wait_for(Option::is_some).await;
        let times = times.ok().and_then(|times| *times);
        match times {
            Some(times) => sleep_until(times.gives_up_at).await,
            None => std::future::pending().await,
        }
    }

    /// Completes at `deadline`, or before when open requests are given up.
    pub async fn until(&self, deadline: Instant) {
        tokio::select! {
            () = sleep_until(deadline) => {}
            () = self.given_up() => {}
        }
    }
}
