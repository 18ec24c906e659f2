//! Targets of heartbeats in fleets of different sizes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use ridgeworks_records::{
    Epoch, Replica, ReplicaGroups, ReplicaId, ReplicaSet, StorageNode, initial_groups,
};
use ridgeworks_resident::peer::{Member, MemberInfo, targets};

const INTERVAL: Duration = Duration::from_millis(250);
/// A replica without a heartbeat for this long is taken for dead.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1_600);

fn info(number: u16, is_replica: bool) -> MemberInfo {
    let role = if is_replica { "storage" } else { "front" };
    MemberInfo {
        name: format!("{role}-{number:03}"),
        address: SocketAddr::from(([127, 0, 0, 1], number)),
        zone: format!("zone-{}", number % 7),
        is_replica,
    }
}

fn fleet(gateways: u16, replicas: u16) -> Vec<Member> {
    let all = (0..gateways + replicas).map(|number| info(number, number >= gateways));
    let member = |info| Member {
        info,
        known_since: Duration::ZERO,
        heard_at: None,
        incarnation: 1,
        replica: None,
        protocol: 0,
    };
    all.map(member).collect()
}

/// A set of the last `size` replicas by name.
fn set(fleet: &[Member], size: usize) -> ReplicaGroups {
    let last = fleet.iter().rev().take(size);
    let replica = |member: &Member| Replica {
        id: ReplicaId(u64::from(member.info.address.port())),
        node: member.info.name.clone(),
        address: member.info.address.to_string(),
        zone: member.info.zone.clone(),
    };
    ReplicaGroups::single(ReplicaSet {
        epoch: Epoch(1),
        voters: last.map(replica).collect(),
        incoming: None,
    })
}

/// Longest time between two heartbeats to each address.
fn longest_gaps(
    me: &Member,
    fleet: &[Member],
    set: Option<&ReplicaGroups>,
) -> BTreeMap<SocketAddr, Duration> {
    let others: Vec<&Member> = fleet.iter().filter(|other| other.info != me.info).collect();
    let mut last = BTreeMap::new();
    let mut longest = BTreeMap::new();
    for round in 0..400_u32 {
        let now = INTERVAL * round;
        let begin = 8 * round as usize + 5;
        for target in targets(&me.info, others.iter().copied(), set, begin) {
            let before = last.insert(target, now).unwrap_or_default();
            let silence = longest.entry(target).or_insert(Duration::ZERO);
            *silence = (*silence).max(now - before);
        }
    }
    longest
}

#[test]
fn set_members_get_frequent_heartbeats_of_every_replica() {
    for (gateways, replicas) in [(8, 3), (16, 7), (80, 12), (259, 36), (389, 60)] {
        let fleet = fleet(gateways, replicas);
        let set = set(&fleet, replicas.min(5).into());
        for me in fleet.iter().filter(|member| member.info.is_replica) {
            let silences = longest_gaps(me, &fleet, Some(&set));
            let voters = set.members().into_iter();
            for voter in voters.filter(|voter| voter.node != me.info.name) {
                let address: SocketAddr = voter.address.parse().unwrap();
                let silence = silences.get(&address);
                let is_heard = silence.is_some_and(|silence| *silence < LIVENESS_TIMEOUT / 2);
                assert!(is_heard, "{} to {address}: {silence:?}", me.info.name);
            }
        }
    }
}

#[test]
fn all_nodes_get_heartbeats_and_their_number_is_bounded() {
    for (gateways, replicas) in [(8, 3), (80, 12), (259, 36)] {
        let fleet = fleet(gateways, replicas);
        let set = set(&fleet, replicas.min(5).into());
        for set in [None, Some(&set)] {
            for me in [&fleet[0], &fleet[usize::from(gateways)]] {
                let silences = longest_gaps(me, &fleet, set);
                assert_eq!(silences.len(), fleet.len() - 1);
                let most = targets(&me.info, fleet.iter(), set, 3).len();
                assert!(most <= 16, "{most}");
            }
        }
    }
}

/// With 36 replicas: seven groups of five, and one replica without a group.
fn groups(fleet: &[Member]) -> ReplicaGroups {
    let replicas = fleet.iter().filter(|member| member.info.is_replica);
    let node = |member: &Member| StorageNode {
        replica: Replica {
            id: ReplicaId(u64::from(member.info.address.port())),
            node: member.info.name.clone(),
            address: member.info.address.to_string(),
            zone: member.info.zone.clone(),
        },
        alive: true,
        starting: false,
        retiring: false,
        groups: 0,
        joining: false,
    };
    let nodes: Vec<StorageNode> = replicas.map(node).collect();
    initial_groups(&nodes, 5).expect("replicas that live")
}

/// Longest time between heartbeats of replicas of different groups: half of the time without one after which a replica may not replace
/// another, so that one heartbeat may be lost.
const CANDIDATE_GAP: Duration = Duration::from_millis(2_500);

#[test]
fn group_members_get_frequent_heartbeats_and_other_replicas_occasional_ones() {
    let fleet = fleet(259, 36);
    let groups = groups(&fleet);
    for me in fleet.iter().filter(|member| member.info.is_replica) {
        let id = ReplicaId(u64::from(me.info.address.port()));
        let own = groups.groups_of(id);
        let silences = longest_gaps(me, &fleet, Some(&groups));
        for (group, set) in groups.iter() {
            let bound = if own.is_empty() || own.contains(&group) {
                LIVENESS_TIMEOUT / 2
            } else {
                CANDIDATE_GAP
            };
            for voter in set.voters.iter().filter(|voter| voter.id != id) {
                let address: SocketAddr = voter.address.parse().unwrap();
                assert!(silences[&address] < bound, "{:?}", silences[&address]);
            }
        }
        let others = fleet.iter().filter(|other| other.info != me.info);
        let most = targets(&me.info, others, Some(&groups), 3).len();
        assert!(most <= 16 || own.is_empty(), "{most}");
    }
}

/// Traffic between zones costs more, and a gateway mostly chooses among engines of its own zone.
#[test]
fn most_heartbeats_in_a_large_fleet_stay_in_the_zone() {
    let fleet = fleet(80, 12);
    let set = set(&fleet, 5);
    let me = &fleet[0];
    let others: Vec<&Member> = fleet.iter().skip(1).collect();
    let zone_of = |address: &SocketAddr| {
        let mut members = others.iter();
        let member = members.find(|member| member.info.address == *address);
        member.map(|member| member.info.zone.as_str())
    };
    for round in 0..50 {
        let sent = targets(&me.info, others.iter().copied(), Some(&set), 8 * round);
        let far = sent
            .iter()
            .filter(|address| zone_of(address) != Some(me.info.zone.as_str()));
        assert_eq!(sent.len(), 8);
        assert!(far.count() <= 3);
    }
    let silences = longest_gaps(me, &fleet, Some(&set));
    let near = silences
        .iter()
        .filter(|(address, _)| zone_of(address) == Some(me.info.zone.as_str()));
    for (address, silence) in near {
        // A load report is used for two seconds.
        assert!(*silence <= Duration::from_secs(1), "{address}: {silence:?}");
    }
}
