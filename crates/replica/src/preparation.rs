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
const WISH_TIME: Duration = Duration::from_secs(2);

/// A copy that somebody wants of a group.
#[derive(Debug, Clone, Copy)]
struct Wish {
    epoch: Epoch,
    asked_at: Instant,
    /// Whether the replica holds what a read quorum held moments ago.
    is_ready: bool,
}

/// The groups that this replica is to join.
#[derive(Debug, Default)]
pub struct Preparation {
    wishes: RefCell<BTreeMap<GroupId, Wish>>,
    asked: Notify,
}

impl Preparation {
    /// Somebody asks for a copy of what the voters of a group hold at this epoch; says whether it is there.
    pub fn on_asked(&self, group: GroupId, epoch: Epoch) -> bool {
        let mut wishes = self.wishes.borrow_mut();
        let known = wishes.get(&group).filter(|wish| wish.epoch == epoch);
        let is_ready = known.is_some_and(|wish| wish.is_ready);
        if known.is_none() {
            self.asked.notify_one();
        }
        let wish = Wish {
            epoch,
            asked_at: Instant::now(),
            is_ready,
        };
        wishes.insert(group, wish);
        is_ready
    }

    /// The epoch for which a copy of a group is wanted.
    pub fn wanted(&self, group: GroupId) -> Option<Epoch> {
        let wishes = self.wishes.borrow();
        let wish = wishes.get(&group)?;
        (wish.asked_at.elapsed() < WISH_TIME).then_some(wish.epoch)
    }

    /// Whether the replica holds what a read quorum of this epoch held moments ago.
    pub fn is_ready(&self, group: GroupId, epoch: Epoch) -> bool {
        let wishes = self.wishes.borrow();
        let wish = wishes.get(&group);
        wish.is_some_and(|wish| wish.epoch == epoch && wish.is_ready)
    }

    /// Notes that the replica holds what a read quorum of this epoch held moments ago.
    pub fn set_ready(&self, group: GroupId, epoch: Epoch) {
        let mut wishes = self.wishes.borrow_mut();
        if let Some(wish) = wishes.get_mut(&group).filter(|wish| wish.epoch == epoch) {
            wish.is_ready = true;
        }
    }

    /// The copy of a group is made.
    pub fn forget(&self, group: GroupId) {
        self.wishes.borrow_mut().remove(&group);
    }

    /// Nothing that was copied counts any more.
    pub fn forget_all(&self) {
        self.wishes.borrow_mut().clear();
    }

    /// Waits until somebody asks who was not asking before.
    pub async fn asked(&self) {
        self.asked.notified().await;
    }
}
