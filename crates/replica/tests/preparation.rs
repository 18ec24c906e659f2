//! Requests to copy before joining a set, under virtual time.

use std::time::Duration;

use ridgeworks_records::{Epoch, GroupId};
use ridgeworks_replica::preparation::Preparation;

const GROUP: GroupId = GroupId(2);
const EPOCH: Epoch = Epoch(5);

#[tokio::test(start_paused = true)]
async fn a_copy_is_requested_while_requests_are_repeated() {
    let preparation = Preparation::default();
    assert!(!preparation.on_request(GROUP, EPOCH));
    preparation.new_request().await;
    for _ in 0..10 {
        tokio::time::sleep(Duration::from_millis(600)).await;
        assert_eq!(preparation.requested_epoch(GROUP), Some(EPOCH));
        preparation.on_request(GROUP, EPOCH);
    }
    preparation.set_prepared(GROUP, EPOCH);
    assert!(preparation.on_request(GROUP, EPOCH));
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(preparation.requested_epoch(GROUP), None);
}

/// A copy whose request lapsed is outdated: a set changed on it would stay joint while everything
/// is copied.
#[tokio::test(start_paused = true)]
async fn a_replica_is_not_prepared_after_its_request_has_lapsed() {
    let preparation = Preparation::default();
    preparation.on_request(GROUP, EPOCH);
    preparation.set_prepared(GROUP, EPOCH);
    assert!(preparation.on_request(GROUP, EPOCH));
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert!(!preparation.on_request(GROUP, EPOCH));
    assert!(!preparation.is_prepared(GROUP, EPOCH));
}

#[tokio::test(start_paused = true)]
async fn requests_are_kept_apart_by_group_and_epoch() {
    let preparation = Preparation::default();
    preparation.on_request(GROUP, EPOCH);
    preparation.set_prepared(GROUP, EPOCH);
    assert!(!preparation.on_request(GroupId(3), EPOCH));
    assert!(!preparation.on_request(GROUP, Epoch(6)));
    assert_eq!(preparation.requested_epoch(GROUP), Some(Epoch(6)));
}
