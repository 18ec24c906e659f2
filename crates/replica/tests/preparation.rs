//! What a replica is asked to copy before it joins a set, under virtual time.

use std::time::Duration;

use ridgeworks_records::{Epoch, GroupId};
use ridgeworks_replica::preparation::Preparation;

const GROUP: GroupId = GroupId(2);
const EPOCH: Epoch = Epoch(5);

#[tokio::test(start_paused = true)]
async fn a_copy_is_wanted_for_as_long_as_somebody_asks() {
    let preparation = Preparation::default();
    assert!(!preparation.on_asked(GROUP, EPOCH));
    preparation.asked().await;
    for _ in 0..10 {
        tokio::time::sleep(Duration::from_millis(600)).await;
        assert_eq!(preparation.wanted(GROUP), Some(EPOCH));
        preparation.on_asked(GROUP, EPOCH);
    }
    preparation.set_ready(GROUP, EPOCH);
    assert!(preparation.on_asked(GROUP, EPOCH));
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(preparation.wanted(GROUP), None);
}

/// The voter came back, and went again later: what the replica held then is long behind, and a set that turned joint on it would be
/// joint for the whole copy.
#[tokio::test(start_paused = true)]
async fn a_copy_that_nobody_wanted_for_a_while_is_not_ready_any_more() {
    let preparation = Preparation::default();
    preparation.on_asked(GROUP, EPOCH);
    preparation.set_ready(GROUP, EPOCH);
    assert!(preparation.on_asked(GROUP, EPOCH));
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(!preparation.on_asked(GROUP, EPOCH));
    assert!(!preparation.is_ready(GROUP, EPOCH));
}

#[tokio::test(start_paused = true)]
async fn groups_and_epochs_are_told_apart() {
    let preparation = Preparation::default();
    preparation.on_asked(GROUP, EPOCH);
    preparation.set_ready(GROUP, EPOCH);
    assert!(!preparation.on_asked(GroupId(3), EPOCH));
    assert!(!preparation.on_asked(GROUP, Epoch(6)));
    assert_eq!(preparation.wanted(GROUP), Some(Epoch(6)));
}
