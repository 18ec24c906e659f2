//! Simulated clusters in virtual time: kills, pauses, partitions, joins and replacements.

mod support;

use std::time::Duration;

use support::cluster::Cluster;
use support::simulator::{Input, Network, Seen};

/// Time within which all survivors agree that a killed node is Dead.
const DETECTION_BOUND: Duration = Duration::from_millis(1200);
const PAUSE_DURATION: Duration = Duration::from_millis(500);

#[test]
fn survivors_agree_on_a_killed_node_within_the_bound() {
    for (nodes, zones) in [(3, 3), (8, 3), (50, 4)] {
        for seed in 0..8 {
            let mut cluster = Cluster::formed(nodes, zones, Network::default(), seed);
            let wait = Duration::from_millis(37 * seed);
            cluster.simulator.run_for(wait);
            let victim = (seed as usize * 5) % nodes;
            cluster.simulator.kill(victim, false);
            let elapsed = cluster.time_until_all_see(victim, Seen::Dead, DETECTION_BOUND);
            assert!(elapsed.is_some(), "{nodes} nodes, seed {seed}");
            assert!(cluster.views_agree(), "{nodes} nodes, seed {seed}");
        }
    }
}

#[test]
fn a_closed_link_shortens_detection() {
    let mut cluster = Cluster::formed(8, 3, Network::default(), 1);
    cluster.simulator.kill(4, true);
    let bound = Duration::from_millis(650);
    assert!(cluster.time_until_all_see(4, Seen::Dead, bound).is_some());
}

#[test]
fn a_short_pause_causes_no_dead_declaration() {
    for nodes in [3, 8, 50] {
        for seed in 0..8 {
            let mut cluster = Cluster::formed(nodes, 3, Network::default(), seed);
            for round in 0..10 {
                cluster.simulator.pause((round * 7) % nodes, PAUSE_DURATION);
                cluster.simulator.run_for(Duration::from_millis(900));
            }
            assert_eq!(
                cluster.dead_observations(),
                [],
                "{nodes} nodes, seed {seed}"
            );
        }
    }
}

#[test]
fn a_node_paused_for_long_declares_nobody_dead_and_returns() {
    for seed in 0..8 {
        let mut cluster = Cluster::formed(8, 3, Network::default(), seed);
        cluster.simulator.pause(3, Duration::from_secs(10));
        cluster.simulator.run_for(Duration::from_secs(9));
        assert_eq!(cluster.sees(0, 3), Some(Seen::Dead));
        cluster.simulator.run_for(Duration::from_secs(3));
        assert!(cluster.views_agree(), "seed {seed}");
        let declared_dead = cluster.dead_observations();
        assert!(
            declared_dead.iter().all(|(_, subject)| *subject == 3),
            "seed {seed}: {declared_dead:?}"
        );
    }
}

#[test]
fn a_partitioned_zone_is_declared_dead_and_returns() {
    for (nodes, zones) in [(8, 3), (50, 4), (50, 9)] {
        for seed in 0..4 {
            let mut cluster = Cluster::formed(nodes, zones, Network::default(), seed);
            cluster.simulator.cut_off(1);
            cluster.simulator.run_for(Duration::from_secs(2));
            let (inside, outside): (Vec<usize>, Vec<usize>) =
                (0..nodes).partition(|node| cluster.simulator.zone_of(*node) == 1);
            for observer in 0..nodes {
                let is_inside = inside.contains(&observer);
                let side = if is_inside { &inside } else { &outside };
                let seen = cluster.seen_present(observer);
                assert_eq!(seen, *side, "{observer} of {nodes}, seed {seed}");
            }
            cluster.simulator.run_for(Duration::from_secs(5));
            cluster.simulator.heal();
            cluster.simulator.observations.clear();
            cluster.simulator.run_for(Duration::from_secs(5));
            assert!(cluster.views_agree(), "{nodes} nodes, seed {seed}");
            assert_eq!(
                cluster.dead_observations(),
                [],
                "{nodes} nodes, seed {seed}"
            );
        }
    }
}

#[test]
fn zones_that_reach_each_other_only_through_a_third_stay_alive() {
    for seed in 0..4 {
        let mut cluster = Cluster::formed(12, 3, Network::default(), seed);
        cluster.simulator.cut(0, 1);
        cluster.simulator.run_for(Duration::from_secs(10));
        assert_eq!(cluster.dead_observations(), [], "seed {seed}");
    }
}

#[test]
fn a_node_joins_with_one_seed_and_leaves() {
    let mut cluster = Cluster::new(9, 3, Network::default(), 5);
    for index in 0..9 {
        cluster.start(index, &[index.saturating_sub(1)]);
    }
    cluster.simulator.run_for(Duration::from_secs(5));
    assert!(cluster.views_agree());
    cluster.simulator.observations.clear();
    cluster.simulator.inject(6, Input::Leave);
    cluster.simulator.run_for(Duration::from_millis(100));
    assert_eq!(cluster.sees(2, 6), Some(Seen::Leaving));
    cluster.simulator.inject(6, Input::Left);
    cluster.simulator.run_for(Duration::from_millis(100));
    assert_eq!(cluster.sees(2, 6), Some(Seen::Left));
    cluster.simulator.run_for(Duration::from_secs(5));
    assert!(cluster.views_agree());
    assert_eq!(cluster.dead_observations(), []);
}

#[test]
fn a_replaced_machine_comes_back_under_its_name() {
    for resets in [false, true] {
        let mut cluster = Cluster::formed(8, 3, Network::default(), 2);
        let before = cluster.membership(2).own().incarnation;
        cluster.simulator.kill(2, resets);
        cluster.simulator.run_for(Duration::from_millis(200));
        cluster.start(2, &[5]);
        cluster.simulator.run_for(Duration::from_secs(3));
        assert!(cluster.views_agree());
        assert!(cluster.membership(2).own().incarnation > before);
        assert_eq!(cluster.dead_observations(), []);
    }
}

#[test]
fn clusters_that_started_separately_merge() {
    let mut cluster = Cluster::new(6, 3, Network::default(), 9);
    for index in 0..3 {
        cluster.start(index, &[0, 3]);
    }
    cluster.simulator.run_for(Duration::from_secs(4));
    for index in 3..6 {
        cluster.start(index, &[3]);
    }
    cluster.simulator.run_for(Duration::from_secs(20));
    assert!(cluster.views_agree());
}

#[test]
fn detection_is_correct_under_message_loss() {
    let network = Network {
        loss: 0.05,
        ..Network::default()
    };
    let mut cluster = Cluster::formed(50, 4, network, 3);
    cluster.simulator.run_for(Duration::from_secs(60));
    assert_eq!(cluster.dead_observations(), []);
    cluster.simulator.kill(17, false);
    let bound = Duration::from_millis(1500);
    assert!(cluster.time_until_all_see(17, Seen::Dead, bound).is_some());
}

#[test]
fn a_burst_of_joins_converges_with_messages_below_their_bound() {
    let mut cluster = Cluster::new(120, 4, Network::default(), 4);
    cluster.simulator.counts_bytes = true;
    for index in 0..120 {
        cluster.start(index, &[0]);
    }
    cluster.simulator.run_for(Duration::from_secs(6));
    assert!(cluster.views_agree());
    for node in cluster.simulator.running() {
        let largest = cluster.simulator.cost(node).largest_message;
        assert!(largest > 0 && largest < 8 * 1024, "{largest}");
    }
}
