//! The owner of one run, step by step.

mod support;

use ridgeworks_domain::{CallEnd, Cost, RefusalReason, RunId, Sequence};
use ridgeworks_run_log::{
    AttemptOutcome, AttemptResolution, CallerAnswer, CallerId, OwnerEffect, OwnerEvent,
    OwnerSettings, Rejection, Reply, Request, RunOwner,
};
use support::*;

fn end(answer: &CallerAnswer) -> Option<&CallEnd> {
    match answer {
        CallerAnswer::Ended(end) => Some(end),
        _ => None,
    }
}

fn reason(answer: &CallerAnswer) -> Option<&RefusalReason> {
    match answer {
        CallerAnswer::Refused(refusal) => Some(&refusal.reason),
        _ => None,
    }
}

#[test]
fn a_granted_call_costs_one_append_before_its_attempt() {
    let (mut cluster, _) = Cluster::open(100);
    cluster.tell(call(1, call_request(1, 10)));
    let before = cluster.appends;
    let effects = cluster.tell(granted(1, 1));
    assert_eq!(effects.iter().filter(|effect| is_start(effect)).count(), 1);
    assert_eq!(cluster.appends - before, 3, "one append to each replica");
}

#[test]
fn an_attempt_waits_for_a_majority() {
    let (mut cluster, _) = Cluster::open(100);
    cluster.tell(call(1, call_request(1, 10)));
    let effects = cluster.owner.handle(granted(1, 1), NOW);
    assert!(!effects.iter().any(is_start));
}

#[test]
fn repeated_requests_join_and_later_ones_get_the_recorded_answer() {
    let (mut cluster, _) = Cluster::open(100);
    cluster.tell(call(1, call_request(1, 10)));
    cluster.tell(call(2, call_request(1, 10)));
    cluster.tell(granted(1, 1));
    cluster.tell(call(3, call_request(1, 10)));
    let effects = cluster.tell(finished(1, 1, 4));
    let callers: Vec<u64> = answers(&effects)
        .iter()
        .map(|(caller, _)| *caller)
        .collect();
    assert_eq!(callers, [1, 2, 3]);
    let late = answers(&cluster.tell(call(4, call_request(1, 10))));
    assert_eq!(end(&late[0].1), end(&answers(&effects)[0].1));
    let mut other = call_request(1, 10);
    other.body = b"other".to_vec();
    let conflict = answers(&cluster.tell(call(5, other)));
    assert_eq!(
        reason(&conflict[0].1),
        Some(&RefusalReason::CallKeyConflict)
    );
}

#[test]
fn order_budget_and_number_of_calls_are_refused_by_type() {
    let (mut cluster, _) = Cluster::open(25);
    let gap = answers(&cluster.tell(call(1, call_request(2, 1))));
    let expected = Sequence(1);
    assert_eq!(
        reason(&gap[0].1),
        Some(&RefusalReason::SequenceGap { expected })
    );
    let dear = answers(&cluster.tell(call(2, call_request(1, 26))));
    let remaining = Cost(25);
    assert_eq!(
        reason(&dear[0].1),
        Some(&RefusalReason::BudgetExceeded { remaining })
    );
    for number in 1..=3 {
        cluster.tell(call(number, call_request(number, 8)));
        cluster.tell(granted(number, 1));
        cluster.tell(finished(number, 1, 1));
    }
    let fourth = answers(&cluster.tell(call(9, call_request(4, 1))));
    let remaining = Cost::ZERO;
    assert_eq!(
        reason(&fourth[0].1),
        Some(&RefusalReason::BudgetExceeded { remaining })
    );
    let mut passed = call_request(2, 1);
    passed.key = call_request(99, 1).key;
    let passed = answers(&cluster.tell(call(10, passed)));
    let expected = Sequence(4);
    assert_eq!(
        reason(&passed[0].1),
        Some(&RefusalReason::SequencePassed { expected })
    );
}

#[test]
fn refusals_wait_for_the_proof_of_ownership() {
    let (mut cluster, _) = Cluster::open(25);
    let event = call(1, call_request(2, 1));
    assert!(answers(&cluster.owner.handle(event, NOW)).is_empty());
}

#[test]
fn a_takeover_fences_before_it_goes_on() {
    for (resolution, wanted) in [
        (AttemptResolution::NeverStarted, CallEnd::NotRun),
        (AttemptResolution::Cancelled, CallEnd::Unknown),
        (AttemptResolution::Unreachable, CallEnd::Unknown),
    ] {
        let (mut cluster, _) = Cluster::open(100);
        cluster.tell(call(1, call_request(1, 10)));
        cluster.tell(granted(1, 1));
        let effects = cluster.take_over(vec![
            call(1, call_request(1, 10)),
            call(2, call_request(2, 10)),
        ]);
        let fences = effects
            .iter()
            .filter(|e| matches!(e, OwnerEffect::FenceAttempt { .. }));
        assert_eq!(fences.count(), 1);
        assert!(
            !effects
                .iter()
                .any(|e| matches!(e, OwnerEffect::RequestGrant { .. }))
        );
        let (call, attempt) = (Sequence(1), 1);
        let effects = cluster.tell(OwnerEvent::Fenced {
            call,
            attempt,
            resolution,
        });
        let answered = answers(&effects);
        assert_eq!(end(&answered[0].1), Some(&wanted));
        let asks = |e: &&OwnerEffect| matches!(e, OwnerEffect::RequestGrant { call, .. } if *call == Sequence(2));
        assert_eq!(
            effects.iter().filter(asks).count(),
            1,
            "the next call goes on"
        );
    }
}

#[test]
fn a_repeatable_call_is_tried_again_while_the_budget_allows() {
    let (mut cluster, _) = Cluster::open(25);
    let mut repeatable = call_request(1, 10);
    repeatable.repeatable = true;
    cluster.tell(call(1, repeatable));
    for attempt in 1..=2 {
        let effects = cluster.tell(granted(1, attempt));
        assert_eq!(effects.iter().filter(|e| is_start(e)).count(), 1);
        let (call, outcome) = (Sequence(1), AttemptOutcome::Lost);
        cluster.tell(OwnerEvent::AttemptFinished {
            call,
            attempt,
            outcome,
        });
        let resolution = AttemptResolution::Cancelled;
        let effects = cluster.tell(OwnerEvent::Fenced {
            call,
            attempt,
            resolution,
        });
        let answered = answers(&effects);
        let last = attempt == 2;
        assert_eq!(
            answered.first().and_then(|(_, a)| end(a)),
            last.then_some(&CallEnd::Unknown)
        );
    }
    assert_eq!(cluster.owner.state().budget().spent(), Cost(20));
}

#[test]
fn a_cancelled_attempt_costs_what_the_back_end_tells() {
    for (told, counted) in [(0, 0), (3, 3), (99, 10)] {
        let (mut cluster, _) = Cluster::open(25);
        let mut repeatable = call_request(1, 10);
        repeatable.repeatable = true;
        cluster.tell(call(1, repeatable));
        cluster.tell(granted(1, 1));
        let (call, attempt) = (Sequence(1), 1);
        let outcome = AttemptOutcome::Lost;
        cluster.tell(OwnerEvent::AttemptFinished {
            call,
            attempt,
            outcome,
        });
        let resolution = AttemptResolution::Stopped { spent: Cost(told) };
        let effects = cluster.tell(OwnerEvent::Fenced {
            call,
            attempt,
            resolution,
        });
        let asks = |e: &&OwnerEffect| matches!(e, OwnerEffect::RequestGrant { attempt: 2, .. });
        assert_eq!(effects.iter().filter(asks).count(), 1, "asks again");
        let budget = cluster.owner.state().budget();
        assert_eq!(budget.spent(), Cost(counted));
        assert_eq!(budget.reserved(), Cost::ZERO);
    }
}

#[test]
fn a_call_that_may_not_be_repeated_ends_unknown_when_it_was_stopped() {
    let (mut cluster, _) = Cluster::open(25);
    cluster.tell(call(1, call_request(1, 10)));
    cluster.tell(granted(1, 1));
    let (call, attempt) = (Sequence(1), 1);
    let outcome = AttemptOutcome::Lost;
    cluster.tell(OwnerEvent::AttemptFinished {
        call,
        attempt,
        outcome,
    });
    let resolution = AttemptResolution::Stopped { spent: Cost(3) };
    let effects = cluster.tell(OwnerEvent::Fenced {
        call,
        attempt,
        resolution,
    });
    assert_eq!(end(&answers(&effects)[0].1), Some(&CallEnd::Unknown));
    assert_eq!(cluster.owner.state().budget().spent(), Cost(10));
}

#[test]
fn a_child_carves_its_budget_and_gives_back_the_rest() {
    let (mut cluster, _) = Cluster::open(100);
    let (caller, run, budget) = (CallerId(1), RunId(8), Cost(60));
    let opened = answers(&cluster.tell(OwnerEvent::OpenChild {
        caller,
        run,
        budget,
    }));
    assert_eq!(opened, [(1, CallerAnswer::ChildOpened)]);
    let refused = answers(&cluster.tell(call(2, call_request(1, 41))));
    let remaining = Cost(40);
    assert_eq!(
        reason(&refused[0].1),
        Some(&RefusalReason::BudgetExceeded { remaining })
    );
    cluster.tell(OwnerEvent::ChildClosed {
        run,
        spent: Cost(5),
    });
    assert_eq!(cluster.owner.state().budget().remaining(), Cost(95));
    let again = answers(&cluster.tell(OwnerEvent::OpenChild {
        caller,
        run,
        budget,
    }));
    assert_eq!(reason(&again[0].1), Some(&RefusalReason::RunClosed));
}

#[test]
fn closing_waits_for_the_call_and_releases_the_context_again_after_a_takeover() {
    let (mut cluster, _) = Cluster::open(100);
    cluster.tell(call(1, call_request(1, 10)));
    cluster.tell(granted(1, 1));
    let close = OwnerEvent::Close {
        caller: CallerId(2),
    };
    assert!(answers(&cluster.tell(close.clone())).is_empty());
    let effects = cluster.tell(finished(1, 1, 4));
    let release = |effect: &OwnerEffect| matches!(effect, OwnerEffect::ReleaseContext { .. });
    assert!(effects.iter().any(release));
    assert_eq!(
        answers(&effects)[1],
        (2, CallerAnswer::Closed { spent: Cost(4) })
    );
    let effects = cluster.take_over(vec![
        close,
        OwnerEvent::ReadHistory {
            caller: CallerId(3),
        },
    ]);
    assert!(effects.iter().any(release));
    let answered = answers(&effects);
    assert!(answered.contains(&(2, CallerAnswer::Closed { spent: Cost(4) })));
    let is_history =
        |answer: &CallerAnswer| matches!(answer, CallerAnswer::History(turns) if turns.len() == 1);
    assert!(answered.iter().any(|(_, answer)| is_history(answer)));
    let late = answers(&cluster.tell(call(4, call_request(2, 1))));
    assert_eq!(reason(&late[0].1), Some(&RefusalReason::RunClosed));
}

/// Found by the simulator: answers of replicas that were asked before a run was opened don't speak for
/// requests that came after it.
#[test]
fn a_run_is_unknown_only_to_callers_that_came_before_the_replicas_were_asked() {
    let contacts = [1, 2, 3].map(ridgeworks_domain::NodeId);
    let settings = Default::default();
    let known = ridgeworks_domain::Ballot::ZERO;
    let (mut owner, asked) =
        RunOwner::take_over(RUN, OTHER_OWNER, 5, known, &contacts, settings, NOW);
    owner.handle(call(1, call_request(1, 10)), NOW);
    let later = NOW + std::time::Duration::from_millis(5);
    owner.handle(call(2, call_request(1, 10)), later);
    let mut effects = Vec::new();
    for effect in asked {
        let OwnerEffect::SendToReplica {
            to,
            request: Request::Prepare { run, ballot, .. },
        } = effect
        else {
            panic!("only prepares are sent");
        };
        let replica = replica(to.0).identity();
        let reason = Rejection::UnknownRun;
        let reply = Reply::Rejected {
            run,
            ballot,
            replica,
            reason,
        };
        effects.extend(owner.handle(OwnerEvent::Reply { from: to, reply }, later));
    }
    let answered = answers(&effects);
    assert_eq!(answered.len(), 1);
    assert_eq!(answered[0].0, 1);
    assert_eq!(reason(&answered[0].1), Some(&RefusalReason::UnknownRun));
    let asked_again = |e: &&OwnerEffect| matches!(e, OwnerEffect::SendToReplica { .. });
    assert_eq!(effects.iter().filter(asked_again).count(), 3);
}

#[test]
fn a_closed_run_is_in_use_until_its_replicas_were_told_of_the_end() {
    let (mut cluster, _) = Cluster::open(100);
    let caller = CallerId(1);
    cluster.tell(OwnerEvent::Close { caller });
    let knows = |cluster: &Cluster| {
        let heads = cluster.replicas.iter();
        let heads = heads.filter_map(|(replica, _)| replica.head(RUN));
        heads.filter(|head| head.is_closed()).count()
    };
    // The node ticks an owner only while it is in use.
    let mut now = NOW;
    while !cluster.owner.is_idle() {
        now = now + OwnerSettings::default().replication.retry_after;
        cluster.tell_at(OwnerEvent::Tick, now);
    }
    assert_eq!(knows(&cluster), 3);
}
