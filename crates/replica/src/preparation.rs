//! What this replica is asked to copy before it may join the set.
//!
//! A voter is replaced by a newcomer that holds its records already: while a newcomer copied under a joint set, each write went to both sides,
//! and under load the copy came to no end. Whoever plans the change asks the newcomer again and again; once nobody asks, it gives up
//! (`docs/design/large-fleets.md`, "A newcomer copies first").

use std::cell::Cell;
use std::time::Duration;

use ridgeworks_records::Epoch;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long a replica copies after it was last asked to. Members of the set ask every 200 ms, and the one that asks may be replaced by
/// the next one, which waits for up to 0.4 s.
const WISH_TIME: Duration = Duration::from_secs(2);

/// Whether somebody wants this replica to copy, and whether it holds enough.
#[derive(Debug, Default)]
pub struct Preparation {
    /// For which set, and when this was last asked.
    wish: Cell<Option<(Epoch, Instant)>>,
    /// The epoch for which the replica holds what a read quorum held moments ago.
    ready: Cell<Option<Epoch>>,
    asked: Notify,
}

impl Preparation {
    /// Somebody asks for a copy of what the voters of this epoch hold; says whether it is there.
    pub fn on_asked(&self, epoch: Epoch) -> bool {
        let is_new = self.wanted().is_none();
        self.wish.set(Some((epoch, Instant::now())));
        if is_new {
            self.asked.notify_one();
        }
        self.is_ready(epoch)
    }

    /// Whether the replica holds what a read quorum of this epoch held moments ago.
    pub fn is_ready(&self, epoch: Epoch) -> bool {
        self.ready.get() == Some(epoch)
    }

    /// The epoch for which a copy is wanted.
    pub fn wanted(&self) -> Option<Epoch> {
        let (epoch, at) = self.wish.get()?;
        (at.elapsed() < WISH_TIME).then_some(epoch)
    }

    /// Notes for which epoch the replica holds what a read quorum held moments ago.
    pub fn set_ready(&self, epoch: Option<Epoch>) {
        self.ready.set(epoch);
    }

    /// Waits until somebody asks who was not asking before.
    pub async fn asked(&self) {
        self.asked.notified().await;
    }
}
