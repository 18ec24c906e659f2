//! A node that was itself paused or isolated doesn't declare other members Dead too early.

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
fn a_pause_with_a_probe_in_flight_declares_nobody_dead() {
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
fn without_a_pause_unanswered_probes_declare_members_dead() {
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
fn an_isolated_node_waits_longer_before_it_declares_others_dead() {
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
