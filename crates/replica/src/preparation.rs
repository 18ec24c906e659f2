//! What this replica is asked to copy before it may join the set.
//!
//! A voter is replaced by a newcomer that holds its records already: while a newcomer copied under a joint set, each write went to both sides,
//! and under load the copy came to no end. Whoever plans the change asks the newcomer again and again; once nobody asks, it gives up
//! (`docs/design/large-fleets.md`, "A newcomer copies first").

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use ridgeworks_records::{Epoch, GroupId};
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long a replica copies after it was last asked to. Members of the set ask every 200 ms, and the one that asks may be replaced by
/// the next one, which waits for up to 0.4 s.
const REQUEST_LIFETIME: Duration = Duration::from_secs(2);

/// A copy that somebody wants of a group.
#[derive(Debug, Clone, Copy)]
struct CopyRequest {
    epoch: Epoch,
    asked_at: Instant,
    /// Whether the replica holds what a read quorum held moments ago.
    is_ready: bool,
}

impl CopyRequest {
    /// Whether somebody has asked lately. What was copied for a request that lapsed is behind.
    fn is_open(&self) -> bool {
        self.asked_at.elapsed() < REQUEST_LIFETIME
    }
}

/// The groups that this replica is to join.
#[derive(Debug, Default)]
pub struct Preparation {
    requests: RefCell<BTreeMap<GroupId, CopyRequest>>,
    asked: Notify,
}

impl Preparation {
    /// Somebody asks for a copy of what the voters of a group hold at this epoch; says whether it is there.
    pub fn on_asked(&self, group: GroupId, epoch: Epoch) -> bool {
        let mut requests = self.requests.borrow_mut();
        let known = requests
            .get(&group)
            .filter(|request| request.epoch == epoch && request.is_open());
        let is_ready = known.is_some_and(|request| request.is_ready);
        if known.is_none() {
            self.asked.notify_one();
        }
        let request = CopyRequest {
            epoch,
            asked_at: Instant::now(),
            is_ready,
        };
        requests.insert(group, request);
        is_ready
    }

    /// The epoch for which a copy of a group is wanted.
    pub fn wanted(&self, group: GroupId) -> Option<Epoch> {
        let requests = self.requests.borrow();
        let request = requests.get(&group)?;
        request.is_open().then_some(request.epoch)
    }

    /// Whether the replica holds what a read quorum of this epoch held moments ago.
    pub fn is_ready(&self, group: GroupId, epoch: Epoch) -> bool {
        let requests = self.requests.borrow();
        let request = requests.get(&group);
        request.is_some_and(|request| request.epoch == epoch && request.is_ready)
    }

    /// Notes that the replica holds what a read quorum of this epoch held moments ago.
    pub fn set_ready(&self, group: GroupId, epoch: Epoch) {
        let mut requests = self.requests.borrow_mut();
        if let Some(request) = requests
            .get_mut(&group)
            .filter(|request| request.epoch == epoch)
        {
            request.is_ready = true;
        }
    }

    /// The copy of a group is made.
    pub fn forget(&self, group: GroupId) {
        self.requests.borrow_mut().remove(&group);
    }

    /// Nothing that was copied counts any more.
    pub fn forget_all(&self) {
        self.requests.borrow_mut().clear();
    }

    /// Waits until somebody asks who was not asking before.
    pub async fn asked(&self) {
        self.asked.notified().await;
    }
}
