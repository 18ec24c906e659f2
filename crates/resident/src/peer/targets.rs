//! Who gets a node's heartbeats.
//!
//! All nodes in turn, a few at each interval, so that a node's messages do not grow with the fleet. Whether a
//! replica lives has to be known within a second or two, though, and in a large fleet a node's turn comes every
//! ten. The members of a group's replica set decide on that for each other, so every member sends to all of its groups at each interval, and
//! one that belongs to no group, and may take anybody's place, to the members of all (`docs/design/large-fleets.md`, "Who says that a
//! replica is gone").

use std::net::SocketAddr;

use std::collections::BTreeSet;

use ridgeworks_records::ReplicaGroups;

use super::members::Member;
use super::message::MemberInfo;

/// Nodes that get a heartbeat in turn at each interval.
pub const FAN_OUT: usize = 8;
/// Nodes of other zones among them, in a fleet that has too many for one round: requests mostly stay in the zone of their gateway, so
/// that news of its own zone is what a choice rests on, and the way between zones is the dear one.
const FAR_FAN_OUT: usize = 3;
/// Rounds that reach every node of a small fleet, as often as if no zone came first.
const SMALL_ROUNDS: usize = 2;
/// Replicas that another one sends to in turn at each interval as long as no set is known.
const REPLICA_FAN_OUT: usize = 8;
/// Replicas of other groups that a member sends to in turn at each interval: each hears it every 2 s where there are 36.
const FOREIGN_FAN_OUT: usize = 4;

/// The nodes that get a heartbeat of `me` now. `begin` is where the turn begins, and grows by [`FAN_OUT`] from
/// interval to interval.
pub fn targets<'a>(
    me: &MemberInfo,
    members: impl Iterator<Item = &'a Member>,
    groups: Option<&ReplicaGroups>,
    begin: usize,
) -> Vec<SocketAddr> {
    let (replicas, mut others): (Vec<&Member>, Vec<&Member>) =
        members.partition(|member| me.is_replica && member.info.is_replica);
    let mut targets = match groups {
        Some(groups) => {
            let deciding = deciding(me, groups);
            let (deciding, foreign): (Vec<&Member>, Vec<&Member>) = replicas
                .into_iter()
                .partition(|member| deciding.contains(member.info.name.as_str()));
            let mut targets: Vec<SocketAddr> =
                deciding.iter().map(|member| member.info.address).collect();
            if groups.iter().count() > 1 {
                // Where the turn begins grows by as many as get a heartbeat.
                let begin = begin / FAN_OUT * FOREIGN_FAN_OUT;
                targets.extend(in_turn(&foreign, begin, FOREIGN_FAN_OUT));
            } else {
                others.extend(foreign);
            }
            targets
        }
        None => in_turn(&replicas, begin, REPLICA_FAN_OUT),
    };
    targets.extend(by_zone(me, others, begin));
    targets
}

/// Nodes in turn, those of the own zone more often where there are many.
fn by_zone(me: &MemberInfo, others: Vec<&Member>, begin: usize) -> Vec<SocketAddr> {
    if others.len() <= SMALL_ROUNDS * FAN_OUT {
        return in_turn(&others, begin, FAN_OUT);
    }
    let (near, far): (Vec<&Member>, Vec<&Member>) = others
        .into_iter()
        .partition(|member| member.info.zone == me.zone);
    let far_least = far.len().min(FAR_FAN_OUT);
    let near_count = near.len().min(FAN_OUT - far_least);
    let rounds = begin / FAN_OUT;
    let mut targets = in_turn(&near, rounds * near_count, near_count);
    let far_count = FAN_OUT - near_count;
    targets.extend(in_turn(&far, rounds * far_count, far_count));
    targets
}

/// Names of the nodes that decide whether `me` is gone, or whether it may take a place.
fn deciding<'a>(me: &MemberInfo, groups: &'a ReplicaGroups) -> BTreeSet<&'a str> {
    let mut own = BTreeSet::new();
    let mut all = BTreeSet::new();
    for (_, set) in groups.iter() {
        let members = set.members();
        let is_own = members.iter().any(|member| member.node == me.name);
        let names = members.into_iter().map(|member| member.node.as_str());
        if is_own {
            own.extend(names.clone());
        }
        all.extend(names);
    }
    if own.is_empty() { all } else { own }
}

fn in_turn(members: &[&Member], begin: usize, most: usize) -> Vec<SocketAddr> {
    let count = members.len();
    let places = (0..count.min(most)).map(|index| begin.wrapping_add(index) % count);
    places.map(|place| members[place].info.address).collect()
}
