//! Copies requested from this replica before it joins a set.
//!
//! A voter is replaced by a new member that already holds its records, so that the set is joint
//! only for a short time; in a joint set each write goes to the old and the new members, which
//! slows the copy. The coordinator repeats its request; a copy that is no longer requested is given
//! up (`docs/design/large-fleets.md`, "A newcomer copies first").

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use ridgeworks_records::{Epoch, GroupId};
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long a replica copies after the last request. Coordinators repeat the request every 200 ms,
/// and the next coordinator in rank takes over after up to 0.4 s.
const REQUEST_LIFETIME: Duration = Duration::from_secs(2);

/// A requested copy of a group.
#[derive(Debug, Clone, Copy)]
struct CopyRequest {
    epoch: Epoch,
    requested_at: Instant,
    /// Whether the replica recently held all records that a read quorum of the voters holds.
    is_prepared: bool,
}

impl CopyRequest {
    /// Whether the request is recent. A copy made for an expired request is outdated.
    fn is_current(&self) -> bool {
        self.requested_at.elapsed() < REQUEST_LIFETIME
    }
}

/// The copies requested from this replica, by group.
#[derive(Debug, Default)]
pub struct Preparation {
    requests: RefCell<BTreeMap<GroupId, CopyRequest>>,
    new_request_arrived: Notify,
}

impl Preparation {
    /// Handles a request for a copy of what the voters of a group hold at this epoch; returns
    /// whether the replica is prepared.
    pub fn on_request(&self, group: GroupId, epoch: Epoch) -> bool {
        let mut requests = self.requests.borrow_mut();
        let known = requests
            .get(&group)
            .filter(|request| request.epoch == epoch && request.is_current());
        let is_prepared = known.is_some_and(|request| request.is_prepared);
        if known.is_none() {
            self.new_request_arrived.notify_one();
        }
        let request = CopyRequest {
            epoch,
            requested_at: Instant::now(),
            is_prepared,
        };
        requests.insert(group, request);
        is_prepared
    }

    /// The epoch of a group for which a copy is requested; `None` if none is.
    pub fn requested_epoch(&self, group: GroupId) -> Option<Epoch> {
        let requests = self.requests.borrow();
        let request = requests.get(&group)?;
        request.is_current().then_some(request.epoch)
    }

    /// Whether the replica recently held all records that a read quorum of this epoch's voters
    /// holds.
    pub fn is_prepared(&self, group: GroupId, epoch: Epoch) -> bool {
        let requests = self.requests.borrow();
        let request = requests.get(&group);
        request.is_some_and(|request| request.epoch == epoch && request.is_prepared)
    }

    /// Notes that the replica holds all records that a read quorum of this epoch's voters holds.
    pub fn set_prepared(&self, group: GroupId, epoch: Epoch) {
        let mut requests = self.requests.borrow_mut();
        if let Some(request) = requests
            .get_mut(&group)
            .filter(|request| request.epoch == epoch)
        {
            request.is_prepared = true;
        }
    }

    /// Removes the request for a group, once its copy is complete.
    pub fn remove(&self, group: GroupId) {
        self.requests.borrow_mut().remove(&group);
    }

    /// Removes all requests, when the copied records are lost with the disk.
    pub fn clear(&self) {
        self.requests.borrow_mut().clear();
    }

    /// Waits for a request that isn't a repetition.
    pub async fn new_request(&self) {
        self.new_request_arrived.notified().await;
    }
}
