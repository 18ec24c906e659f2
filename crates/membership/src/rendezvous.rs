//! Rendezvous hashing: ranks the members for a run, a service or a zone.
//!
//! Every member gets a score from the key and its own identifier; the highest score comes first. A
//! member that joins or leaves thus moves only the keys for which it ranks first, and the keys of a
//! lost member spread over all others. The ranking is only a hint; safety relies on ballots and
//! fencing tokens.

use ridgeworks_domain::run_id::REPLICAS_PER_RUN;
use ridgeworks_domain::{NodeId, RegionName, RunId, ServiceName, ZoneName};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed, xxh3_128};

use crate::member::{Member, MemberState};

const REPLICA_SEED: u64 = 1;
const OWNER_SEED: u64 = 2;
const DISPATCHER_SEED: u64 = 3;
const RELAY_SEED: u64 = 4;

/// Ranks members for `key`, best first, with equal weights.
pub fn rank<'a>(key: u128, members: impl Iterator<Item = &'a Member>) -> Vec<&'a Member> {
    rank_seeded(key, 0, members)
}

/// Ranks members for `key`, best first, such that a member's probability to be first is proportional
/// to its weight. Members of weight zero or below are excluded.
pub fn rank_weighted<'a>(
    key: u128,
    members: impl Iterator<Item = &'a Member>,
    weight: impl Fn(&Member) -> f64,
) -> Vec<&'a Member> {
    let mut scored: Vec<(f64, &Member)> = members
        .map(|member| (weight(member), member))
        .filter(|(weight, _)| *weight > 0.0)
        .map(|(weight, member)| (weighted_score(score(key, 0, member.node), weight), member))
        .collect();
    scored.sort_by(|(left, left_member), (right, right_member)| {
        let by_score = right.total_cmp(left);
        by_score.then(left_member.node.cmp(&right_member.node))
    });
    scored.into_iter().map(|(_, member)| member).collect()
}

/// Weight for [`rank_weighted`] that gives each zone the same share of the keys, independent of its
/// number of members.
pub fn equal_zone_weight(members: &[&Member], member: &Member) -> f64 {
    let in_zone = members.iter().filter(|other| other.zone == member.zone);
    1.0 / in_zone.count().max(1) as f64
}

/// Candidates for the owner of a run, best first: members that accept work. A suspected member keeps
/// its rank, since a short pause must not move a run.
pub fn run_owner_candidates<'a>(
    run: RunId,
    members: impl Iterator<Item = &'a Member>,
) -> Vec<&'a Member> {
    let eligible = members.filter(|member| member.state.accepts_work());
    rank_seeded(run.0, OWNER_SEED, eligible)
}

/// Chooses the replicas of a new run: members with a disk, spread over as many zones as possible, and
/// in the region `near` if that does not reduce the spread. `key` is any number unique to the run.
/// Returns fewer than [`REPLICAS_PER_RUN`] if there are not enough eligible members.
pub fn replicas_for_new_run<'a>(
    key: u128,
    near: &RegionName,
    members: impl Iterator<Item = &'a Member>,
) -> Vec<&'a Member> {
    let eligible = members.filter(|member| member.has_disk && member.state.accepts_work());
    let mut ranked = rank_seeded(key, REPLICA_SEED, eligible);
    let mut chosen: Vec<&Member> = Vec::new();
    while chosen.len() < REPLICAS_PER_RUN && !ranked.is_empty() {
        let cost = |member: &Member| {
            let in_zone = chosen.iter().filter(|other| other.zone == member.zone);
            let is_suspect = member.state == MemberState::Suspect;
            (in_zone.count(), is_suspect, member.region != *near)
        };
        let costs = ranked.iter().enumerate();
        let best = costs.min_by_key(|(position, member)| (cost(member), *position));
        let Some((position, _)) = best else { break };
        chosen.push(ranked.remove(position));
    }
    chosen
}

/// Candidates for the dispatcher of one group of a service's back ends, best first.
pub fn dispatcher_candidates<'a>(
    service: &ServiceName,
    group: u32,
    members: impl Iterator<Item = &'a Member>,
) -> Vec<&'a Member> {
    let eligible = members.filter(|member| member.state.accepts_work());
    let key = xxh3_128(service.as_str().as_bytes()) ^ u128::from(group);
    rank_seeded(key, DISPATCHER_SEED, eligible)
}

/// The dispatcher of one group of a service's back ends; `None` if no member accepts work.
pub fn dispatcher_for<'a>(
    service: &ServiceName,
    group: u32,
    members: impl Iterator<Item = &'a Member>,
) -> Option<&'a Member> {
    let candidates = dispatcher_candidates(service, group, members);
    candidates.first().copied()
}

/// The `count` present members of a zone that probe other zones as its relays.
pub fn relays_of<'a>(
    zone: &ZoneName,
    members: impl Iterator<Item = &'a Member>,
    count: usize,
) -> Vec<NodeId> {
    let in_zone = members.filter(|member| member.zone == *zone && member.state.is_present());
    let key = xxh3_128(zone.as_str().as_bytes());
    let ranked = rank_seeded(key, RELAY_SEED, in_zone);
    ranked
        .iter()
        .take(count)
        .map(|member| member.node)
        .collect()
}

fn rank_seeded<'a>(
    key: u128,
    seed: u64,
    members: impl Iterator<Item = &'a Member>,
) -> Vec<&'a Member> {
    let mut scored: Vec<(u64, &Member)> = members
        .map(|member| (score(key, seed, member.node), member))
        .collect();
    scored.sort_unstable_by(|(left, left_member), (right, right_member)| {
        let by_score = right.cmp(left);
        by_score.then(left_member.node.cmp(&right_member.node))
    });
    scored.into_iter().map(|(_, member)| member).collect()
}

fn score(key: u128, seed: u64, node: NodeId) -> u64 {
    let key_hash = xxh3_64_with_seed(&key.to_le_bytes(), seed);
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&key_hash.to_le_bytes());
    bytes[8..].copy_from_slice(&node.0.to_le_bytes());
    xxh3_64(&bytes)
}

/// Weighted rendezvous hashing: the negative of an exponential variate whose rate is the weight. The
/// smallest variate, and so the highest score, wins.
fn weighted_score(hash: u64, weight: f64) -> f64 {
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    uniform.ln() / weight
}
