//! A node that was paused or cut off itself holds its verdicts back.

mod support;

use std::time::Duration;

use ridgeworks_domain::MonotonicTime;
use ridgeworks_membership::{Effect, Event, Membership, MembershipConfig, MembershipMessage};
use support::cluster::{Cluster, member};
use support::simulator::{Network, Seen};

fn knows_two_others(now: MonotonicTime) -> Membership {
    let config = MembershipConfig::default();
    let mut membership = Membership::new(config, member(0, 0, 1), Vec::new(), 7, now);
    let members = vec![member(1, 0, 1), member(2, 0, 1)];
    let message = MembershipMessage::Records {
        members,
        fresh: false,
    };
    let from = member(1, 0, 1).node;
    membership.handle(Event::Message { from, message }, now);
    membership
}

fn is_ping(effect: &Effect) -> bool {
    let Effect::Send { message, .. } = effect else {
        return false;
    };
    matches!(message, MembershipMessage::Ping { .. })
}

#[test]
fn a_pause_with_a_probe_in_flight_blames_nobody() {
    let mut now = MonotonicTime::ZERO;
    let mut membership = knows_two_others(now);
    loop {
        now = membership.next_timer();
        if membership.handle(Event::Timer, now).iter().any(is_ping) {
            break;
        }
    }
    now = now + Duration::from_secs(5);
    membership.handle(Event::Timer, now);
    assert_eq!(membership.counters().own_pauses, 1);
    assert_eq!(membership.counters().deaths_declared, 0);
}

#[test]
fn without_a_pause_the_same_silence_is_a_verdict() {
    let mut membership = knows_two_others(MonotonicTime::ZERO);
    let end = MonotonicTime::ZERO + Duration::from_secs(5);
    while membership.next_timer() < end {
        let now = membership.next_timer();
        membership.handle(Event::Timer, now);
    }
    assert_eq!(membership.counters().own_pauses, 0);
    assert_eq!(membership.counters().deaths_declared, 2);
}

#[test]
fn a_node_that_hears_nobody_waits_longer_before_it_blames() {
    for seed in 0..8 {
        let mut cluster = Cluster::formed(4, 4, Network::default(), seed);
        cluster.simulator.cut_off(1);
        cluster.simulator.run_for(Duration::from_secs(2));
        assert_eq!(cluster.seen_present(1), [0, 1, 2, 3], "seed {seed}");
        assert_eq!(cluster.seen_present(0), [0, 2, 3], "seed {seed}");
        cluster.simulator.run_for(Duration::from_millis(1500));
        assert_eq!(cluster.sees(1, 0), Some(Seen::Dead), "seed {seed}");
    }
}
