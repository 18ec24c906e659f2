//! Which nodes watch the store, as each node decides it by itself.

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

/// Zones and watcher roles of all gateways of a fleet, each of which knows all others.
fn roles(gateways: usize, zones: usize) -> Vec<(String, WatcherRole)> {
    let all: Vec<Member> = (0..gateways).map(|number| member(number, zones)).collect();
    let place_of = |me: &Member| {
        let others: Vec<Member> = all.iter().filter(|other| *other != me).cloned().collect();
        let info = &me.info;
        let found = watcher_role(&info.name, &info.zone, others.iter(), LATER);
        (info.zone.clone(), found)
    };
    all.iter().map(place_of).collect()
}

fn chosen(roles: &[(String, WatcherRole)]) -> usize {
    let chosen = roles
        .iter()
        .filter(|(_, watcher_role)| *watcher_role == WatcherRole::Chosen);
    chosen.count()
}

#[test]
fn all_gateways_of_a_small_fleet_watch() {
    let roles = roles(8, 3);
    assert!(
        roles
            .iter()
            .all(|(_, watcher_role)| *watcher_role == WatcherRole::All)
    );
}

#[test]
fn number_of_watchers_does_not_grow_with_a_large_fleet() {
    for gateways in [30, 79, 300, 1_000] {
        let roles = roles(gateways, 3);
        assert_eq!(chosen(&roles), 6, "{gateways} gateways");
        for zone in 0..3 {
            let zone = format!("zone-{zone}");
            let of_zone: Vec<_> = roles.iter().filter(|one| one.0 == zone).cloned().collect();
            assert_eq!(chosen(&of_zone), 2, "{gateways} gateways, {zone}");
        }
    }
    assert_eq!(chosen(&roles(60, 1)), 6);
    assert_eq!(chosen(&roles(60, 5)), 10);
}

#[test]
fn silent_nodes_and_replicas_do_not_count_as_gateways() {
    let me = member(0, 1);
    let mut others: Vec<Member> = (1..60).map(|number| member(number, 1)).collect();
    let long_after = LATER + Duration::from_secs(21);
    let info = &me.info;
    let role_at = |others: &[Member], now| watcher_role(&info.name, &info.zone, others.iter(), now);
    assert_eq!(role_at(&others, long_after), WatcherRole::All);
    for other in &mut others {
        other.info.is_replica = true;
    }
    assert_eq!(role_at(&others, LATER), WatcherRole::All);
}

#[test]
fn nodes_without_a_view_query_the_store_soon_and_spread_out() {
    let mut first: Vec<Duration> = Vec::new();
    for number in 0..100 {
        let mut policy = WatchPolicy::new(&format!("gateway-{number}"), BOUND);
        let asks = (0..1_000).map(Duration::from_millis);
        let mut asks = asks.filter(|now| policy.should_watch(*now, WatcherRole::Other, None));
        first.push(asks.next().expect("it queries the store"));
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

/// When a node without a view first queries the store.
fn first_query(policy: &mut WatchPolicy) -> Duration {
    let mut times = (0..10_000).map(Duration::from_millis);
    let first = times.find(|now| policy.should_watch(*now, WatcherRole::Other, None));
    first.expect("it queries the store")
}

#[test]
fn starting_nodes_defer_to_seeds_and_query_the_store_after_a_delay() {
    let mut seed = WatchPolicy::new("gateway-0", BOUND);
    seed.query_immediately();
    // Another seed has replied to this one.
    seed.defer_to_seeds();
    assert_eq!(first_query(&mut seed), Duration::ZERO);
    for number in 1..100 {
        let mut other = WatchPolicy::new(&format!("gateway-{number}"), BOUND);
        other.defer_to_seeds();
        let first = first_query(&mut other);
        let range = Duration::from_secs(1)..=Duration::from_secs(2);
        assert!(range.contains(&first), "{first:?}");
    }
}

#[test]
fn a_node_with_a_stale_view_watches_for_a_while() {
    let mut policy = WatchPolicy::new("gateway-1", BOUND);
    let mut should_watch = |at: u64, age: u64| {
        let age = Some(Duration::from_millis(age));
        policy.should_watch(Duration::from_millis(at), WatcherRole::Other, age)
    };
    assert!(!should_watch(5_000, 900));
    // The view is stale well within the bound. The node then keeps watching even if the view is confirmed.
    assert!(should_watch(6_000, 1_700));
    assert!(should_watch(7_000, 0));
    assert!(should_watch(15_900, 0));
    assert!(!should_watch(16_100, 0));
}

#[test]
fn watches_wait_shorter_and_spread_out_in_a_large_fleet() {
    let policy = WatchPolicy::new("gateway-1", BOUND);
    let small = policy.timings(WatcherRole::All);
    assert_eq!(small.wait, Duration::from_secs(8));
    let waits = (0..100).map(|number| {
        let policy = WatchPolicy::new(&format!("gateway-{number}"), BOUND);
        policy.timings(WatcherRole::Chosen).wait
    });
    let waits: Vec<Duration> = waits.collect();
    // From 45 % to 60 % of the bound.
    let range = Duration::from_millis(900)..=Duration::from_millis(1_200);
    assert!(waits.iter().all(|wait| range.contains(wait)), "{waits:?}");
    // Watches that ended together don't end together again.
    let (first, last) = (waits.iter().min(), waits.iter().max());
    let spread = *last.expect("some") - *first.expect("some");
    assert!(spread > Duration::from_millis(250), "{spread:?}");
}

#[test]
fn probes_come_within_the_bound_and_spread_out() {
    let mut checks = Vec::new();
    for number in 0..100 {
        let policy = WatchPolicy::new(&format!("gateway-{number}"), BOUND);
        for watcher_role in [WatcherRole::All, WatcherRole::Chosen, WatcherRole::Other] {
            let timings = policy.timings(watcher_role);
            assert!(timings.probe_after < BOUND.mul_f64(0.85), "{timings:?}");
            // In a large fleet a watch ends before it would be probed.
            let waits_alone =
                watcher_role == WatcherRole::All || timings.probe_after > timings.wait;
            assert!(waits_alone, "{timings:?}");
        }
        checks.push(policy.timings(WatcherRole::All).probe_after);
    }
    let first = checks.iter().min().expect("some");
    let soon = checks
        .iter()
        .filter(|check| **check < *first + Duration::from_millis(20));
    assert!(soon.count() < 15);
}
