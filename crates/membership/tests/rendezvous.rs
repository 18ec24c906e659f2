//! Rendezvous hashing: few keys move, load is spread evenly, replicas are in different zones.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use quickcheck::quickcheck;
use ridgeworks_domain::{NodeId, RegionName, RunId, ServiceName};
use ridgeworks_membership::rendezvous::{
    dispatcher_for, equal_zone_weight, rank_weighted, relays_of, replicas_for_new_run,
    run_owner_candidates,
};
use ridgeworks_membership::{Member, MemberState};
use support::cluster::member;

const ZONES: usize = 9;
const RUNS: u128 = 8_000;

fn cluster(nodes: usize, zones: usize) -> Vec<Member> {
    (0..nodes)
        .map(|index| member(index, index % zones, 1))
        .collect()
}

/// Spreads run numbers over the complete space of identifiers.
fn run(number: u128) -> RunId {
    RunId(xxhash_rust::xxh3::xxh3_128(&number.to_le_bytes()))
}

fn owners(members: &[Member]) -> Vec<NodeId> {
    let runs = (0..RUNS).map(run);
    runs.map(|run| run_owner_candidates(run, members.iter())[0].node)
        .collect()
}

#[test]
fn thirty_joins_move_only_their_share_of_runs() {
    let all = cluster(410, ZONES);
    let before = owners(&all[..380]);
    let after = owners(&all);
    let joined: BTreeSet<NodeId> = all[380..].iter().map(|member| member.node).collect();
    let moved = before
        .iter()
        .zip(&after)
        .filter(|(before, after)| before != after);
    let moved: Vec<&NodeId> = moved.map(|(_, after)| after).collect();
    assert!(moved.iter().all(|owner| joined.contains(owner)));
    let part = moved.len() as f64 / RUNS as f64;
    println!(
        "moved {part:.4} of the runs; 30 of 410 nodes are {:.4}",
        30.0 / 410.0
    );
    assert!((part - 30.0 / 410.0).abs() < 0.015, "{part}");
}

#[test]
fn a_lost_zone_spreads_its_runs_evenly_over_the_others() {
    let mut members = cluster(410, ZONES);
    let before = owners(&members);
    for member in members
        .iter_mut()
        .filter(|member| member.zone.as_str() == "zone-4")
    {
        member.state = MemberState::Dead;
    }
    let lost: BTreeSet<NodeId> = members
        .iter()
        .filter(|member| member.state == MemberState::Dead)
        .map(|member| member.node)
        .collect();
    let mut gained: BTreeMap<NodeId, usize> = BTreeMap::new();
    for (before, after) in before.iter().zip(owners(&members)) {
        assert_eq!(lost.contains(before), *before != after);
        if *before != after {
            *gained.entry(after).or_default() += 1;
        }
    }
    let total: usize = gained.values().sum();
    let survivors = members.len() - lost.len();
    let mean = total as f64 / survivors as f64;
    let most = gained.values().copied().max().unwrap();
    println!("{total} runs over {survivors} survivors: mean {mean:.2}, most {most}");
    // Balls into bins: with a mean of 2.4, the probability of ten or more on any of 365 nodes is
    // below 1%.
    assert!(most <= 10, "most {most}, mean {mean}");
    assert!(gained.len() > survivors * 4 / 5);
}

#[test]
fn a_run_moves_when_its_owner_leaves_but_not_on_suspicion() {
    let mut members = cluster(8, 3);
    let owner = run_owner_candidates(run(1), members.iter())[0].node;
    let index = members
        .iter()
        .position(|member| member.node == owner)
        .unwrap();
    members[index].state = MemberState::Suspect;
    assert_eq!(run_owner_candidates(run(1), members.iter())[0].node, owner);
    members[index].state = MemberState::Leaving;
    assert_ne!(run_owner_candidates(run(1), members.iter())[0].node, owner);
    let service = ServiceName::new("map-agent").unwrap();
    let dispatcher = dispatcher_for(&service, 0, members.iter()).unwrap();
    assert_ne!(dispatcher.node, owner);
}

quickcheck! {
    fn replicas_are_disks_in_as_many_zones_as_there_are(key: u64, nodes: u8, zones: u8) -> bool {
        let (nodes, zones) = (usize::from(nodes % 40), usize::from(zones % 5) + 1);
        let members = cluster(nodes, zones);
        let near = RegionName::new("region-0").unwrap();
        let chosen = replicas_for_new_run(u128::from(key), &near, members.iter());
        let disks = members.iter().filter(|member| member.has_disk);
        let disk_zones: BTreeSet<_> = disks.clone().map(|member| &member.zone).collect();
        let chosen_zones: BTreeSet<_> = chosen.iter().map(|member| &member.zone).collect();
        let chosen_nodes: BTreeSet<_> = chosen.iter().map(|member| member.node).collect();
        chosen.iter().all(|member| member.has_disk)
            && chosen_nodes.len() == disks.count().min(3)
            && chosen_zones.len() == disk_zones.len().min(3)
    }
}

#[test]
fn weights_give_small_zones_the_same_share() {
    let mut members = cluster(20, 1);
    members.extend((20..25).map(|index| member(index, 1, 1)));
    let all: Vec<&Member> = members.iter().collect();
    let weight = |member: &Member| equal_zone_weight(&all, member);
    let first_zone = |key: u128| &rank_weighted(run(key).0, members.iter(), weight)[0].zone;
    let small = (0..4000).filter(|key| first_zone(*key).as_str() == "zone-1");
    let part = small.count() as f64 / 4000.0;
    assert!((part - 0.5).abs() < 0.03, "{part}");
}

#[test]
fn a_lost_relay_is_replaced_by_the_next_ranked_member() {
    let mut members = cluster(30, 3);
    let zone = members[0].zone.clone();
    let relays = relays_of(&zone, members.iter(), 2);
    assert_eq!(relays.len(), 2);
    let lost = members
        .iter_mut()
        .find(|member| member.node == relays[0])
        .unwrap();
    lost.state = MemberState::Dead;
    let after = relays_of(&zone, members.iter(), 2);
    assert_eq!(after[0], relays[1]);
    assert!(!after.contains(&relays[0]));
}
