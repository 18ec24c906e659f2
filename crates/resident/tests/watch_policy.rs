//! Who watches the store, from what single nodes know.

use std::time::Duration;

use ridgeworks_resident::peer::{Member, MemberInfo};
use ridgeworks_resident::watch_policy::{WatchPolicy, WatcherRole, watcher_role};

const BOUND: Duration = Duration::from_millis(2_000);
const LATER: Duration = Duration::from_secs(30);

fn member(number: usize, zones: usize) -> Member {
    Member {
        info: MemberInfo {
            name: format!("gateway-{number}"),
            address: "127.0.0.1:9".parse().expect("an address"),
            zone: format!("zone-{}", number % zones),
            is_replica: false,
        },
        known_since: LATER,
        heard_at: Some(LATER),
        incarnation: 1,
        replica: None,
        protocol: 0,
    }
}

/// The places of all gateways of a fleet, each knowing all others.
fn places(gateways: usize, zones: usize) -> Vec<(String, WatcherRole)> {
    let all: Vec<Member> = (0..gateways).map(|number| member(number, zones)).collect();
    let place_of = |me: &Member| {
        let others: Vec<Member> = all.iter().filter(|other| *other != me).cloned().collect();
        let info = &me.info;
        let found = watcher_role(&info.name, &info.zone, others.iter(), LATER);
        (info.zone.clone(), found)
    };
    all.iter().map(place_of).collect()
}

fn chosen(places: &[(String, WatcherRole)]) -> usize {
    let chosen = places
        .iter()
        .filter(|(_, watcher_role)| *watcher_role == WatcherRole::Chosen);
    chosen.count()
}

#[test]
fn in_a_small_fleet_all_watch() {
    let places = places(8, 3);
    assert!(
        places
            .iter()
            .all(|(_, watcher_role)| *watcher_role == WatcherRole::All)
    );
}

#[test]
fn in_a_large_fleet_as_many_watch_however_large_it_is() {
    for gateways in [30, 79, 300, 1_000] {
        let places = places(gateways, 3);
        assert_eq!(chosen(&places), 6, "{gateways} gateways");
        for zone in 0..3 {
            let zone = format!("zone-{zone}");
            let of_zone: Vec<_> = places.iter().filter(|one| one.0 == zone).cloned().collect();
            assert_eq!(chosen(&of_zone), 2, "{gateways} gateways, {zone}");
        }
    }
    assert_eq!(chosen(&places(60, 1)), 6);
    assert_eq!(chosen(&places(60, 5)), 10);
}

#[test]
fn nodes_that_are_silent_for_long_and_replicas_do_not_take_a_place() {
    let me = member(0, 1);
    let mut others: Vec<Member> = (1..60).map(|number| member(number, 1)).collect();
    let long_after = LATER + Duration::from_secs(21);
    let info = &me.info;
    let place_at =
        |others: &[Member], now| watcher_role(&info.name, &info.zone, others.iter(), now);
    assert_eq!(place_at(&others, long_after), WatcherRole::All);
    for other in &mut others {
        other.info.is_replica = true;
    }
    assert_eq!(place_at(&others, LATER), WatcherRole::All);
}

#[test]
fn a_node_that_has_heard_of_nothing_asks_the_store_soon_and_not_all_at_once() {
    let mut first: Vec<Duration> = Vec::new();
    for number in 0..100 {
        let mut duty = WatchPolicy::new(&format!("gateway-{number}"), BOUND);
        let asks = (0..1_000).map(Duration::from_millis);
        let mut asks = asks.filter(|now| duty.should_watch(*now, WatcherRole::Other, None));
        first.push(asks.next().expect("it asks"));
    }
    assert!(
        first
            .iter()
            .all(|first| *first <= Duration::from_millis(330))
    );
    let early = first
        .iter()
        .filter(|first| **first < Duration::from_millis(60));
    assert!((1..25).contains(&early.count()));
}

/// When a node asks first that has heard of nothing.
fn first_ask(duty: &mut WatchPolicy) -> Duration {
    let mut times = (0..10_000).map(Duration::from_millis);
    let first = times.find(|now| duty.should_watch(*now, WatcherRole::Other, None));
    first.expect("it asks")
}

#[test]
fn a_fleet_that_starts_leaves_the_first_question_to_its_seeds_and_asks_if_they_learn_nothing() {
    let mut seed = WatchPolicy::new("gateway-0", BOUND);
    seed.query_immediately();
    // Another seed answers this one.
    seed.defer_to_seeds();
    assert_eq!(first_ask(&mut seed), Duration::ZERO);
    for number in 1..100 {
        let mut other = WatchPolicy::new(&format!("gateway-{number}"), BOUND);
        other.defer_to_seeds();
        let first = first_ask(&mut other);
        let range = Duration::from_secs(1)..=Duration::from_secs(2);
        assert!(range.contains(&first), "{first:?}");
    }
}

#[test]
fn a_node_whose_knowledge_is_not_confirmed_in_time_watches_for_a_while() {
    let mut duty = WatchPolicy::new("gateway-1", BOUND);
    let mut should_watch = |at: u64, age: u64| {
        let age = Some(Duration::from_millis(age));
        duty.should_watch(Duration::from_millis(at), WatcherRole::Other, age)
    };
    assert!(!should_watch(5_000, 900));
    // Well within the bound, and whoever confirms it afterwards.
    assert!(should_watch(6_000, 1_700));
    assert!(should_watch(7_000, 0));
    assert!(should_watch(15_900, 0));
    assert!(!should_watch(16_100, 0));
}

#[test]
fn watchers_confirm_often_in_a_large_fleet_only() {
    let duty = WatchPolicy::new("gateway-1", BOUND);
    let small = duty.timings(WatcherRole::All);
    assert_eq!(small.wait, Duration::from_secs(8));
    let waits = (0..100).map(|number| {
        let duty = WatchPolicy::new(&format!("gateway-{number}"), BOUND);
        duty.timings(WatcherRole::Chosen).wait
    });
    let waits: Vec<Duration> = waits.collect();
    // As often as before at the least, and a quarter oftener at the most.
    let range = Duration::from_millis(900)..=Duration::from_millis(1_200);
    assert!(waits.iter().all(|wait| range.contains(wait)), "{waits:?}");
    // Watches that were answered together end apart.
    let (first, last) = (waits.iter().min(), waits.iter().max());
    let spread = *last.expect("some") - *first.expect("some");
    assert!(spread > Duration::from_millis(250), "{spread:?}");
}

#[test]
fn a_silent_watch_is_noticed_within_the_bound_and_not_by_all_at_once() {
    let mut checks = Vec::new();
    for number in 0..100 {
        let duty = WatchPolicy::new(&format!("gateway-{number}"), BOUND);
        for watcher_role in [WatcherRole::All, WatcherRole::Chosen, WatcherRole::Other] {
            let timings = duty.timings(watcher_role);
            assert!(timings.probe_after < BOUND.mul_f64(0.85), "{timings:?}");
            // Watches that come back in time are not doubled.
            let waits_alone =
                watcher_role == WatcherRole::All || timings.probe_after > timings.wait;
            assert!(waits_alone, "{timings:?}");
        }
        checks.push(duty.timings(WatcherRole::All).probe_after);
    }
    let first = checks.iter().min().expect("some");
    let soon = checks
        .iter()
        .filter(|check| **check < *first + Duration::from_millis(20));
    assert!(soon.count() < 15);
}
