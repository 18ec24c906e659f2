//! Who gets a node's heartbeats.
//!
//! All nodes in turn, a few at each interval, so that a node's messages do not grow with the fleet. Whether a
//! replica lives has to be known within a second or two, though, and in a large fleet a node's turn comes every
//! ten. The members of the replica set decide on that, so every replica sends to all of them at each interval
//! (`docs/design/large-fleets.md`, "Who says that a replica is gone").

use std::net::SocketAddr;

use ridgeworks_records::ReplicaSet;

use super::members::Member;
use super::message::MemberInfo;

/// Nodes that get a heartbeat in turn at each interval.
pub const FAN_OUT: usize = 8;
/// Replicas that another one sends to in turn at each interval as long as no set is known.
const REPLICA_FAN_OUT: usize = 8;

/// The nodes that get a heartbeat of `me` now. `begin` is where the turn begins, and grows by [`FAN_OUT`] from
/// interval to interval.
pub fn targets<'a>(
    me: &MemberInfo,
    members: impl Iterator<Item = &'a Member>,
    set: Option<&ReplicaSet>,
    begin: usize,
) -> Vec<SocketAddr> {
    let is_deciding = |member: &&Member| {
        let of_set = |set: &ReplicaSet| {
            let mut replicas = set.members().into_iter();
            replicas.any(|replica| replica.node == member.info.name)
        };
        me.is_replica && member.info.is_replica && set.is_none_or(of_set)
    };
    let (deciding, others): (Vec<&Member>, Vec<&Member>) = members.partition(is_deciding);
    let mut targets = match set {
        Some(_) => deciding.iter().map(|member| member.info.address).collect(),
        None => in_turn(&deciding, begin, REPLICA_FAN_OUT),
    };
    targets.extend(in_turn(&others, begin, FAN_OUT));
    targets
}

fn in_turn(members: &[&Member], begin: usize, most: usize) -> Vec<SocketAddr> {
    let count = members.len();
    let places = (0..count.min(most)).map(|index| begin.wrapping_add(index) % count);
    places.map(|place| members[place].info.address).collect()
}
