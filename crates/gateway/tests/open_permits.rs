//! How long permits count that their gateways left open.

use std::time::Duration;

use ridgeworks_gateway::{OpenPermits, PermitResolution, SendBounds};
use ridgeworks_records::{EngineRun, RequestDigest, TurnId};

const BOUNDS: SendBounds = SendBounds {
    send_time: Duration::from_secs(3),
    entry_lifetime: Duration::from_secs(5),
    end_lifetime: Duration::from_secs(120),
};

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn permit(number: u32) -> TurnId {
    let turn = TurnId::of(None, "r-1");
    turn.permit_at(EngineRun(7), number, RequestDigest(1))
}

fn resolution(
    permits: &mut OpenPermits,
    listed_at_s: Option<u64>,
    now_s: u64,
) -> Option<PermitResolution> {
    permits.resolution(&permit(1), BOUNDS, listed_at_s.map(seconds), seconds(now_s))
}

/// Permits of gateways that are gone refused a request for good, though their engines lived.
#[test]
fn a_permit_counts_until_its_engine_is_listed_after_its_entry_would_have_lapsed() {
    let mut permits = OpenPermits::default();
    assert_eq!(resolution(&mut permits, Some(10), 10), None);
    assert_eq!(resolution(&mut permits, Some(17), 30), None);
    let outlived = Some(PermitResolution::Outlived);
    assert_eq!(resolution(&mut permits, Some(18), 30), outlived);
}

/// Engines that are listed no more may have ended under the send, which counts for as long as an end that is known.
#[test]
fn a_permit_of_an_engine_that_is_gone_counts_as_long_as_an_end_does() {
    let mut permits = OpenPermits::default();
    assert_eq!(resolution(&mut permits, None, 10), None);
    assert_eq!(resolution(&mut permits, None, 132), None);
    let expired = Some(PermitResolution::Expired);
    assert_eq!(resolution(&mut permits, None, 133), expired);
    // A list that is too old proves nothing either.
    assert_eq!(resolution(&mut permits, Some(17), 133), expired);
}

#[test]
fn a_permit_is_settled_by_each_gateway_once_at_most() {
    let mut permits = OpenPermits::default();
    assert!(!permits.settle(&permit(1)));
    resolution(&mut permits, None, 10);
    assert_eq!(permits.age(&permit(1), seconds(12)), seconds(2));
    assert!(permits.settle(&permit(1)));
    assert!(!permits.settle(&permit(1)));
}

/// One that was forgotten counts again, rather than not at all.
#[test]
fn any_number_of_permits_takes_bounded_memory() {
    let mut permits = OpenPermits::default();
    for number in 0..20_000 {
        permits.resolution(&permit(number), BOUNDS, None, seconds(10));
    }
    assert!(permits.len() <= 16_384);
    let mut is_resolved = |number| {
        let resolution = permits.resolution(&permit(number), BOUNDS, None, seconds(133));
        resolution.is_some()
    };
    assert_eq!((is_resolved(0), is_resolved(19_999)), (false, true));
}
