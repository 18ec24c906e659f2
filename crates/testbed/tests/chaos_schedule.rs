//! The list of faults and the schedule of a run under faults.

use std::collections::HashSet;

use ridgeworks_testbed::chaos::{
    Episode, FaultKind, FaultList, NodeSite, PAUSE_AFTER_LOSS, Schedule, UnknownFault,
};

const EPISODES: usize = 200;

fn sites() -> Vec<NodeSite> {
    let site = |zone: &str, number: usize| NodeSite {
        name: format!("{zone}-{number}"),
        zone: zone.to_owned(),
        has_disk: number == 1,
    };
    let zones = ["a", "b", "c"].into_iter();
    zones
        .flat_map(|zone| [site(zone, 1), site(zone, 2)])
        .collect()
}

fn episodes(seed: u64, list: &str) -> Vec<Episode> {
    let list: FaultList = list.parse().unwrap();
    let mut schedule = Schedule::new(seed, list.0, sites());
    let backends = ["engine-1".to_owned(), "tool-1".to_owned()];
    let episodes = (0..EPISODES).map_while(|_| schedule.next_episode(&backends));
    episodes.collect()
}

#[test]
fn a_list_names_faults_alone_and_together() {
    let list: FaultList = "kill,freeze+cut-one-way".parse().unwrap();
    let together = vec![FaultKind::Freeze, FaultKind::CutOneWay];
    assert_eq!(list.0, [vec![FaultKind::Kill], together]);
    assert_eq!("none".parse(), Ok(FaultList(Vec::new())));
    let unknown = "kill,flood".parse::<FaultList>();
    assert_eq!(unknown, Err(UnknownFault("flood".to_owned())));
}

#[test]
fn all_faults_are_each_alone() {
    let list: FaultList = "all".parse().unwrap();
    assert!(list.0.iter().all(|faults| faults.len() == 1));
    let kinds: HashSet<FaultKind> = list.0.into_iter().flatten().collect();
    assert_eq!(kinds.len(), 15);
}

#[test]
fn a_seed_gives_one_schedule() {
    assert_eq!(episodes(7, "all"), episodes(7, "all"));
    assert_ne!(episodes(7, "all"), episodes(8, "all"));
}

#[test]
fn no_faults_give_no_episodes() {
    assert!(episodes(1, "none").is_empty());
}

#[test]
fn faults_together_hit_different_machines() {
    for seed in 0..20 {
        for episode in episodes(
            seed,
            "kill+freeze,kill+disk-loss,backend-kill+backend-freeze",
        ) {
            let targets: Vec<&String> = episode
                .faults
                .iter()
                .flat_map(|fault| &fault.targets)
                .collect();
            let different: HashSet<&&String> = targets.iter().collect();
            assert_eq!(targets.len(), 2);
            assert_eq!(different.len(), 2);
        }
    }
}

#[test]
fn only_nodes_with_a_disk_lose_one_and_time_follows() {
    for seed in 0..20 {
        let episodes = episodes(seed, "disk-loss,replace");
        for pair in episodes.windows(2) {
            let target = &pair[0].faults[0].targets[0];
            assert!(target.ends_with("-1"), "{target} has no disk");
            assert!(pair[1].pause >= PAUSE_AFTER_LOSS);
        }
    }
}

#[test]
fn a_cut_hits_one_node_or_one_whole_zone() {
    let mut sizes = HashSet::new();
    for episode in episodes(3, "cut,cut-one-way,delay") {
        let targets = &episode.faults[0].targets;
        let zones: HashSet<&str> = targets.iter().map(|target| &target[..1]).collect();
        assert_eq!(zones.len(), 1);
        sizes.insert(targets.len());
    }
    assert_eq!(sizes, HashSet::from([1, 2]));
}
