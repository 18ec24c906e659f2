//! Behaviour of a run's owner, event by event.

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
    cluster.send_event(call(1, call_request(1, 10)));
    let before = cluster.appends;
    let effects = cluster.send_event(granted(1, 1));
    assert_eq!(
        effects
            .iter()
            .filter(|effect| is_start_attempt(effect))
            .count(),
        1
    );
    assert_eq!(cluster.appends - before, 3, "one append to each replica");
}

#[test]
fn an_attempt_waits_for_a_majority() {
    let (mut cluster, _) = Cluster::open(100);
    cluster.send_event(call(1, call_request(1, 10)));
    let effects = cluster.owner.handle(granted(1, 1), NOW);
    assert!(!effects.iter().any(is_start_attempt));
}

#[test]
fn repeated_requests_join_and_later_ones_get_the_recorded_answer() {
    let (mut cluster, _) = Cluster::open(100);
    cluster.send_event(call(1, call_request(1, 10)));
    cluster.send_event(call(2, call_request(1, 10)));
    cluster.send_event(granted(1, 1));
    cluster.send_event(call(3, call_request(1, 10)));
    let effects = cluster.send_event(finished(1, 1, 4));
    let callers: Vec<u64> = answers(&effects)
        .iter()
        .map(|(caller, _)| *caller)
        .collect();
    assert_eq!(callers, [1, 2, 3]);
    let late = answers(&cluster.send_event(call(4, call_request(1, 10))));
    assert_eq!(end(&late[0].1), end(&answers(&effects)[0].1));
    let mut other = call_request(1, 10);
    other.body = b"other".to_vec();
    let conflict = answers(&cluster.send_event(call(5, other)));
    assert_eq!(
        reason(&conflict[0].1),
        Some(&RefusalReason::CallKeyConflict)
    );
}

#[test]
fn violations_of_order_budget_and_call_limit_have_their_own_refusal_reasons() {
    let (mut cluster, _) = Cluster::open(25);
    let gap = answers(&cluster.send_event(call(1, call_request(2, 1))));
    let expected = Sequence(1);
    assert_eq!(
        reason(&gap[0].1),
        Some(&RefusalReason::SequenceGap { expected })
    );
    let expensive = answers(&cluster.send_event(call(2, call_request(1, 26))));
    let remaining = Cost(25);
    assert_eq!(
        reason(&expensive[0].1),
        Some(&RefusalReason::BudgetExceeded { remaining })
    );
    for number in 1..=3 {
        cluster.send_event(call(number, call_request(number, 8)));
        cluster.send_event(granted(number, 1));
        cluster.send_event(finished(number, 1, 1));
    }
    let fourth = answers(&cluster.send_event(call(9, call_request(4, 1))));
    let remaining = Cost::ZERO;
    assert_eq!(
        reason(&fourth[0].1),
        Some(&RefusalReason::BudgetExceeded { remaining })
    );
    let mut passed = call_request(2, 1);
    passed.key = call_request(99, 1).key;
    let passed = answers(&cluster.send_event(call(10, passed)));
    let expected = Sequence(4);
    assert_eq!(
        reason(&passed[0].1),
        Some(&RefusalReason::SequencePassed { expected })
    );
}

#[test]
fn refusals_wait_until_ownership_is_confirmed() {
    let (mut cluster, _) = Cluster::open(25);
    let event = call(1, call_request(2, 1));
    assert!(answers(&cluster.owner.handle(event, NOW)).is_empty());
}

#[test]
fn a_takeover_fences_the_live_attempt_before_the_next_call() {
    for (resolution, wanted) in [
        (AttemptResolution::NeverStarted, CallEnd::NotRun),
        (AttemptResolution::Cancelled, CallEnd::Unknown),
        (AttemptResolution::Unreachable, CallEnd::Unknown),
    ] {
        let (mut cluster, _) = Cluster::open(100);
        cluster.send_event(call(1, call_request(1, 10)));
        cluster.send_event(granted(1, 1));
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
        let effects = cluster.send_event(OwnerEvent::Fenced {
            call,
            attempt,
            resolution,
        });
        let answered = answers(&effects);
        assert_eq!(end(&answered[0].1), Some(&wanted));
        let requests_grant = |e: &&OwnerEffect| matches!(e, OwnerEffect::RequestGrant { call, .. } if *call == Sequence(2));
        assert_eq!(
            effects.iter().filter(requests_grant).count(),
            1,
            "the next call requests a slot"
        );
    }
}

#[test]
fn a_repeatable_call_is_tried_again_while_the_budget_allows() {
    let (mut cluster, _) = Cluster::open(25);
    let mut repeatable = call_request(1, 10);
    repeatable.repeatable = true;
    cluster.send_event(call(1, repeatable));
    for attempt in 1..=2 {
        let effects = cluster.send_event(granted(1, attempt));
        assert_eq!(effects.iter().filter(|e| is_start_attempt(e)).count(), 1);
        let (call, outcome) = (Sequence(1), AttemptOutcome::Lost);
        cluster.send_event(OwnerEvent::AttemptFinished {
            call,
            attempt,
            outcome,
        });
        let resolution = AttemptResolution::Cancelled;
        let effects = cluster.send_event(OwnerEvent::Fenced {
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
fn a_stopped_attempt_costs_what_the_back_end_reports() {
    for (reported, counted) in [(0, 0), (3, 3), (99, 10)] {
        let (mut cluster, _) = Cluster::open(25);
        let mut repeatable = call_request(1, 10);
        repeatable.repeatable = true;
        cluster.send_event(call(1, repeatable));
        cluster.send_event(granted(1, 1));
        let (call, attempt) = (Sequence(1), 1);
        let outcome = AttemptOutcome::Lost;
        cluster.send_event(OwnerEvent::AttemptFinished {
            call,
            attempt,
            outcome,
        });
        let resolution = AttemptResolution::Stopped {
            spent: Cost(reported),
        };
        let effects = cluster.send_event(OwnerEvent::Fenced {
            call,
            attempt,
            resolution,
        });
        let requests_grant =
            |e: &&OwnerEffect| matches!(e, OwnerEffect::RequestGrant { attempt: 2, .. });
        assert_eq!(
            effects.iter().filter(requests_grant).count(),
            1,
            "a slot for the next attempt"
        );
        let budget = cluster.owner.state().budget();
        assert_eq!(budget.spent(), Cost(counted));
        assert_eq!(budget.reserved(), Cost::ZERO);
    }
}

#[test]
fn a_call_that_may_not_be_repeated_ends_unknown_when_it_was_stopped() {
    let (mut cluster, _) = Cluster::open(25);
    cluster.send_event(call(1, call_request(1, 10)));
    cluster.send_event(granted(1, 1));
    let (call, attempt) = (Sequence(1), 1);
    let outcome = AttemptOutcome::Lost;
    cluster.send_event(OwnerEvent::AttemptFinished {
        call,
        attempt,
        outcome,
    });
    let resolution = AttemptResolution::Stopped { spent: Cost(3) };
    let effects = cluster.send_event(OwnerEvent::Fenced {
        call,
        attempt,
        resolution,
    });
    assert_eq!(end(&answers(&effects)[0].1), Some(&CallEnd::Unknown));
    assert_eq!(cluster.owner.state().budget().spent(), Cost(10));
}

#[test]
fn a_child_reserves_its_budget_and_releases_the_rest() {
    let (mut cluster, _) = Cluster::open(100);
    let (caller, run, budget) = (CallerId(1), RunId(8), Cost(60));
    let opened = answers(&cluster.send_event(OwnerEvent::OpenChild {
        caller,
        run,
        budget,
    }));
    assert_eq!(opened, [(1, CallerAnswer::ChildOpened)]);
    let refused = answers(&cluster.send_event(call(2, call_request(1, 41))));
    let remaining = Cost(40);
    assert_eq!(
        reason(&refused[0].1),
        Some(&RefusalReason::BudgetExceeded { remaining })
    );
    cluster.send_event(OwnerEvent::ChildClosed {
        run,
        spent: Cost(5),
    });
    assert_eq!(cluster.owner.state().budget().remaining(), Cost(95));
    let again = answers(&cluster.send_event(OwnerEvent::OpenChild {
        caller,
        run,
        budget,
    }));
    assert_eq!(reason(&again[0].1), Some(&RefusalReason::RunClosed));
}

#[test]
fn closing_waits_for_the_call_and_releases_the_context_again_after_a_takeover() {
    let (mut cluster, _) = Cluster::open(100);
    cluster.send_event(call(1, call_request(1, 10)));
    cluster.send_event(granted(1, 1));
    let close = OwnerEvent::Close {
        caller: CallerId(2),
    };
    assert!(answers(&cluster.send_event(close.clone())).is_empty());
    let effects = cluster.send_event(finished(1, 1, 4));
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
    let late = answers(&cluster.send_event(call(4, call_request(2, 1))));
    assert_eq!(reason(&late[0].1), Some(&RefusalReason::RunClosed));
}

/// Replicas that were asked before a run was opened say nothing about requests that arrived after the opening.
#[test]
fn a_run_is_unknown_only_to_callers_that_arrived_before_the_replicas_were_asked() {
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
fn a_closed_run_is_not_idle_until_its_replicas_know_the_end() {
    let (mut cluster, _) = Cluster::open(100);
    let caller = CallerId(1);
    cluster.send_event(OwnerEvent::Close { caller });
    let replicas_knowing_end = |cluster: &Cluster| {
        let heads = cluster.replicas.iter();
        let heads = heads.filter_map(|(replica, _)| replica.head(RUN));
        heads.filter(|head| head.is_closed()).count()
    };
    // A node sends ticks to an owner only until it is idle.
    let mut now = NOW;
    while !cluster.owner.is_idle() {
        now = now + OwnerSettings::default().replication.retry_after;
        cluster.send_event_at(OwnerEvent::Tick, now);
    }
    assert_eq!(replicas_knowing_end(&cluster), 3);
}
