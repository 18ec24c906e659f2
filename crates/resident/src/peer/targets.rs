//! Chooses the targets of a node's heartbeats.
//!
//! A node sends to all others in rotation, a few at each interval, so that its messages don't grow with the fleet. In a large
//! fleet each turn comes only about every ten seconds, but a dead replica must be detected within a second or two. The members of a
//! group's replica set decide on the liveness of each other, so every member also sends to all members of its groups at each interval. A
//! replica without a group, which may replace a member of any, sends to the members of all groups
//! (`docs/design/large-fleets.md`, "Who says that a replica is gone").

use std::net::SocketAddr;

use std::collections::BTreeSet;

use ridgeworks_records::ReplicaGroups;

use super::members::Member;
use super::message::MemberInfo;

/// Number of nodes in rotation that get a heartbeat at each interval.
pub const FAN_OUT: usize = 8;
/// Minimum number of them in other zones, as far as there are so many, where more than `UNWEIGHTED_ROUNDS` rounds are needed to
/// reach all nodes. Requests mostly stay in the zone of their gateway, so state of its own zone matters most to it, and traffic
/// between zones costs more.
const REMOTE_ZONE_FAN_OUT: usize = 3;
/// Zones are not weighted where this many rounds reach all nodes.
const UNWEIGHTED_ROUNDS: usize = 2;
/// Number of replicas in rotation that a replica sends to at each interval while no set is known.
const REPLICA_FAN_OUT: usize = 8;
/// Number of replicas of other groups in rotation that a member sends to at each interval. With 36 replicas, each of them gets
/// a heartbeat every 2 s.
const OTHER_GROUP_FAN_OUT: usize = 4;

/// The nodes that get a heartbeat of `me` now. `offset` is where the rotation begins; it grows by `FAN_OUT` at each interval.
pub fn targets<'a>(
    me: &MemberInfo,
    members: impl Iterator<Item = &'a Member>,
    groups: Option<&ReplicaGroups>,
    offset: usize,
) -> Vec<SocketAddr> {
    let (replicas, mut others): (Vec<&Member>, Vec<&Member>) =
        members.partition(|member| me.is_replica && member.info.is_replica);
    let mut targets = match groups {
        Some(groups) => {
            let liveness_voters = liveness_voters(me, groups);
            let (liveness_voters, other_groups): (Vec<&Member>, Vec<&Member>) = replicas
                .into_iter()
                .partition(|member| liveness_voters.contains(member.info.name.as_str()));
            let mut targets: Vec<SocketAddr> = liveness_voters
                .iter()
                .map(|member| member.info.address)
                .collect();
            if groups.iter().count() > 1 {
                // `offset` grows by `FAN_OUT` at each interval; this rotation advances by `OTHER_GROUP_FAN_OUT`, the number of
                // its targets.
                let offset = offset / FAN_OUT * OTHER_GROUP_FAN_OUT;
                targets.extend(round_robin(&other_groups, offset, OTHER_GROUP_FAN_OUT));
            } else {
                others.extend(other_groups);
            }
            targets
        }
        None => round_robin(&replicas, offset, REPLICA_FAN_OUT),
    };
    targets.extend(zone_weighted(me, others, offset));
    targets
}

/// The next nodes in rotation. Where more than `UNWEIGHTED_ROUNDS` rounds are needed to reach all, nodes in `me`'s zone get most of
/// the places, as far as there are enough of them.
fn zone_weighted(me: &MemberInfo, others: Vec<&Member>, offset: usize) -> Vec<SocketAddr> {
    if others.len() <= UNWEIGHTED_ROUNDS * FAN_OUT {
        return round_robin(&others, offset, FAN_OUT);
    }
    let (near, far): (Vec<&Member>, Vec<&Member>) = others
        .into_iter()
        .partition(|member| member.info.zone == me.zone);
    let min_far_count = far.len().min(REMOTE_ZONE_FAN_OUT);
    let near_count = near.len().min(FAN_OUT - min_far_count);
    let rounds = offset / FAN_OUT;
    let mut targets = round_robin(&near, rounds * near_count, near_count);
    let far_count = FAN_OUT - near_count;
    targets.extend(round_robin(&far, rounds * far_count, far_count));
    targets
}

/// Names of the nodes that decide whether `me` is alive or, if it has no group, whether it may join one.
fn liveness_voters<'a>(me: &MemberInfo, groups: &'a ReplicaGroups) -> BTreeSet<&'a str> {
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

fn round_robin(members: &[&Member], offset: usize, max_count: usize) -> Vec<SocketAddr> {
    let count = members.len();
    let places = (0..count.min(max_count)).map(|index| offset.wrapping_add(index) % count);
    places.map(|place| members[place].info.address).collect()
}
