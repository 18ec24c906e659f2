//! Random schedules of faults, by seed, for the complete configuration role.

mod simulator;

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use simulator::{DisabledMechanism, NODES, Report, ScriptedFault, Violation, run, run_script};

const SCHEDULES: u64 = 2_000;
const THREADS: usize = 3;

/// Runs the schedules of seeds below `count`. Returns the sums, or the first failing seed found.
fn run_schedules(
    count: u64,
    disabled_mechanism: DisabledMechanism,
) -> Result<Report, (u64, Violation)> {
    let next = AtomicU64::new(0);
    let work = || {
        let mut sum = Report::default();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= count {
                return Ok(sum);
            }
            let report = run(seed, disabled_mechanism).map_err(|violation| {
                next.store(count, Ordering::Relaxed);
                (seed, violation)
            })?;
            sum = add(sum, report);
        }
    };
    thread::scope(|scope| {
        let workers: Vec<_> = (0..THREADS).map(|_| scope.spawn(work)).collect();
        let results = workers
            .into_iter()
            .map(|worker| worker.join().expect("a run that ends"));
        results
            .into_iter()
            .try_fold(Report::default(), |sum, result| Ok(add(sum, result?)))
    })
}

fn add(left: Report, right: Report) -> Report {
    Report {
        operations: left.operations + right.operations,
        accepted: left.accepted + right.accepted,
        unknown: left.unknown + right.unknown,
        faults: left.faults + right.faults,
    }
}

#[test]
fn accepted_configuration_is_linearizable_fresh_and_never_reverts() {
    match run_schedules(SCHEDULES, DisabledMechanism::None) {
        Ok(report) => println!("{SCHEDULES} schedules: {report:?}"),
        Err((seed, violation)) => panic!("seed {seed}: {violation:?}"),
    }
}

#[test]
fn checks_fail_without_a_majority_before_accepted() {
    let (seed, violation) = run_schedules(SCHEDULES, DisabledMechanism::MajorityBeforeAccepted)
        .expect_err("a violation");
    println!("seed {seed}: {violation:?}");
    let seen = matches!(
        violation,
        Violation::NotLinearizable | Violation::Stale { .. }
    );
    assert!(seen, "seed {seed}: {violation:?}");
}

#[test]
fn checks_fail_when_the_lease_starts_at_the_answer() {
    let (seed, violation) =
        run_schedules(SCHEDULES, DisabledMechanism::LeaseFromSending).expect_err("a violation");
    println!("seed {seed}: {violation:?}");
    let seen = matches!(
        violation,
        Violation::NotLinearizable | Violation::Stale { .. }
    );
    assert!(seen, "seed {seed}: {violation:?}");
}

#[test]
fn checks_fail_when_a_voter_goes_back_on_restart() {
    let (seed, violation) =
        run_schedules(SCHEDULES, DisabledMechanism::DurableVoterState).expect_err("a violation");
    println!("seed {seed}: {violation:?}");
    let seen = matches!(
        violation,
        Violation::NotLinearizable | Violation::Stale { .. } | Violation::WentBack { .. }
    );
    assert!(seen, "seed {seed}: {violation:?}");
}

/// A voter that lost its disk may be the only reachable one that held the newest revisions. While the
/// platform is down, it must not form a majority with a voter that never held them.
#[test]
fn voter_that_lost_its_disk_forms_no_majority_with_a_lagging_voter() {
    let script = [
        (2_500, ScriptedFault::Cut(2, true)),
        (2_500, ScriptedFault::EndWatch(2)),
        (5_000, ScriptedFault::PlatformDown),
        (5_500, ScriptedFault::LoseDisk(0)),
        (5_500, ScriptedFault::Cut(1, true)),
        (5_500, ScriptedFault::Cut(2, false)),
    ];
    for seed in 0..20 {
        let result = run_script(seed, &script);
        assert!(result.is_ok(), "seed {seed}: {result:?}");
    }
}

/// An acknowledgement from a disk that was lost afterwards must not form a majority with a later one
/// from another voter: the voter that sent it no longer holds the revision.
#[test]
fn acknowledgement_from_a_lost_disk_does_not_count_after_the_voter_recovered() {
    let mut script = vec![
        (3_000, ScriptedFault::Cut(2, true)),
        (3_000, ScriptedFault::EndWatch(1)),
        (3_000, ScriptedFault::EndWatch(2)),
        (3_000, ScriptedFault::DelayReplicate(1, 1_500_000)),
        (5_000, ScriptedFault::PlatformDown),
        (5_000, ScriptedFault::LoseDisk(0)),
        (5_000, ScriptedFault::Cut(2, false)),
        (5_300, ScriptedFault::CutLink(0, 1)),
        (5_300, ScriptedFault::CutLink(1, 2)),
    ];
    // Coordinators cannot reach the voter that lags behind.
    script.extend((3..NODES).map(|node| (5_000, ScriptedFault::CutLink(2, node))));
    for seed in 0..40 {
        let result = run_script(seed, &script);
        assert!(result.is_ok(), "seed {seed}: {result:?}");
    }
}
