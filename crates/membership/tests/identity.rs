//! Replaced machines, clocks set back, and processes superseded by a later start.

mod support;

use ridgeworks_domain::{MonotonicTime, RunId};
use ridgeworks_membership::{
    Claim, Effect, Event, Member, MemberState, Membership, MembershipConfig, MembershipMessage,
};
use std::time::Duration;
use support::cluster::member;

const OLD_START_MS: u64 = 9_000;

fn start(own: Member) -> Membership {
    let config = MembershipConfig::default();
    Membership::new(config, own, Vec::new(), 7, MonotonicTime::ZERO)
}

/// Returns member 0, which knows a member 1 that started at [`OLD_START_MS`].
fn knows_an_old_member() -> Membership {
    let mut membership = start(member(0, 0, 1));
    let old = member(1, 0, OLD_START_MS);
    let message = MembershipMessage::Join {
        member: Box::new(old.clone()),
    };
    let from = old.node;
    membership.handle(Event::Message { from, message }, MonotonicTime::ZERO);
    membership
}

#[test]
fn a_replacement_whose_clock_is_behind_supersedes_its_predecessor() {
    let mut existing = knows_an_old_member();
    let mut replacement = member(1, 0, OLD_START_MS - 5_000);
    replacement.address.set_port(4242);
    let (node, address) = (replacement.node, replacement.address);
    let mut joining = start(replacement.clone());
    let message = MembershipMessage::Join {
        member: Box::new(replacement),
    };
    let from = node;
    let now = MonotonicTime::ZERO + Duration::from_millis(10);
    let answers = existing.handle(Event::Message { from, message }, now);
    let records = answers.into_iter().find_map(|effect| match effect {
        Effect::Send {
            address: to,
            message: MembershipMessage::Records { members, fresh },
            ..
        } if to == address => Some(MembershipMessage::Records { members, fresh }),
        _ => None,
    });
    let from = existing.own().node;
    let message = records.expect("the newcomer is answered at its own address");
    joining.handle(Event::Message { from, message }, now);
    let raised = joining.own();
    let old = member(1, 0, OLD_START_MS);
    assert!(raised.incarnation.generation() > old.incarnation.generation());
    assert_eq!(raised.address, address);
}

#[test]
fn a_process_that_ran_for_long_is_superseded_by_a_later_start() {
    let mut membership = start(member(1, 0, OLD_START_MS));
    let by = member(1, 0, OLD_START_MS + 1).incarnation;
    let believed = Claim {
        incarnation: by,
        state: MemberState::Alive,
    };
    let from = member(0, 0, 1).node;
    let updates = Vec::new();
    let message = MembershipMessage::Ping { believed, updates };
    let late = MonotonicTime::ZERO + Duration::from_secs(60);
    let effects = membership.handle(Event::Message { from, message }, late);
    assert!(effects.contains(&Effect::Superseded { by }));
}

#[test]
fn replicas_are_found_by_the_hints_of_a_run() {
    let membership = knows_an_old_member();
    let [known, other] = [member(1, 0, 1).node, member(2, 0, 1).node];
    let run = RunId::from_parts(5, [known, other, membership.own().node]);
    let found = membership.replicas_of(run);
    let nodes: Vec<Vec<_>> = found
        .into_iter()
        .map(|members| members.into_iter().map(|member| member.node).collect())
        .collect();
    assert_eq!(nodes, [vec![known], vec![], vec![membership.own().node]]);
}
