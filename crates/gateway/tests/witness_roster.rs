//! Which gateways may know of sends that this one does not.

use std::net::SocketAddr;
use std::time::Duration;

use ridgeworks_gateway::WitnessRoster;

const LIFETIME: Duration = Duration::from_secs(120);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, last], 1))
}

fn names(roster: &WitnessRoster) -> Vec<&str> {
    roster.iter().map(|(name, _)| name).collect()
}

#[test]
fn a_gateway_that_fell_silent_is_asked_for_as_long_as_its_sends_count() {
    let mut roster = WitnessRoster::new(LIFETIME);
    roster.observe("a", address(1), seconds(0), Some(seconds(5)));
    roster.observe("b", address(2), seconds(1), None);
    roster.expire(seconds(119));
    assert_eq!(names(&roster), ["a", "b"]);
    roster.expire(seconds(124));
    assert_eq!(names(&roster), ["a"]);
    roster.expire(seconds(125));
    assert!(names(&roster).is_empty());
}

#[test]
fn a_gateway_at_another_address_is_asked_there() {
    let mut roster = WitnessRoster::new(LIFETIME);
    roster.observe("a", address(1), seconds(0), Some(seconds(5)));
    roster.observe("a", address(2), seconds(0), Some(seconds(6)));
    assert_eq!(roster.iter().collect::<Vec<_>>(), [("a", address(2))]);
}

/// Forgetting the others does not make a gateway that hears none their only witness.
#[test]
fn one_that_hears_no_other_any_more_is_cut_off_for_good() {
    let mut roster = WitnessRoster::new(LIFETIME);
    assert!(!roster.is_cut_off(seconds(1_000)), "it never heard another");
    roster.observe("a", address(1), seconds(0), Some(seconds(5)));
    assert!(!roster.is_cut_off(seconds(14)));
    assert!(roster.is_cut_off(seconds(15)));
    roster.expire(seconds(1_000));
    assert!(roster.is_cut_off(seconds(1_000)));
    roster.observe("a", address(1), seconds(0), Some(seconds(1_001)));
    assert!(!roster.is_cut_off(seconds(1_002)));
}
