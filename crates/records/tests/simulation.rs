//! Seeded schedules of replicas and gateways under faults: tokens stay within their budget, and no turn
//! that was answered whole is lost or wrongly denied. Each mechanism is left out once, and must be missed.

mod simulator;

use simulator::world::World;
use simulator::{Outcome, Weakening};

const SCHEDULES: u64 = 10_000;
const WEAKENED_SCHEDULES: u64 = 1_000;
const THREADS: u64 = 4;
const SCHEDULES_VARIABLE: &str = "RIDGEWORKS_SIMULATION_SCHEDULES";

fn run_all(schedules: u64, weakening: Weakening) -> (Outcome, Option<u64>) {
    let threads: Vec<_> = (0..THREADS)
        .map(|thread| {
            std::thread::spawn(move || {
                let mut total = Outcome::default();
                let mut first_failed = None;
                for seed in (thread..schedules).step_by(THREADS as usize) {
                    let outcome = World::run(seed, weakening);
                    if outcome.violations() > 0 {
                        first_failed.get_or_insert(seed);
                    }
                    total.add(&outcome);
                }
                (total, first_failed)
            })
        })
        .collect();
    let mut total = Outcome::default();
    let mut first_failed: Option<u64> = None;
    for thread in threads {
        let (outcome, failed) = thread.join().expect("a schedule panicked");
        total.add(&outcome);
        first_failed = [first_failed, failed].into_iter().flatten().min();
    }
    (total, first_failed)
}

#[test]
fn promises_hold_under_faults() {
    let schedules = std::env::var(SCHEDULES_VARIABLE).ok();
    let schedules = schedules
        .and_then(|text| text.parse().ok())
        .unwrap_or(SCHEDULES);
    let (total, first_failed) = run_all(schedules, Weakening::None);
    println!("{schedules} schedules: {total:?}");
    assert_eq!(
        total.violations(),
        0,
        "first failing seed {first_failed:?}: {total:?}"
    );
    assert!(
        total.answered > schedules,
        "too few turns were answered: {total:?}"
    );
    assert!(
        total.chains_read > schedules,
        "too few chains were read: {total:?}"
    );
    assert!(
        total.wipes > schedules / 4,
        "too few disks were lost: {total:?}"
    );
    assert!(
        total.set_changes > schedules,
        "the set changed too rarely: {total:?}"
    );
}

#[test]
fn a_schedule_repeats() {
    assert_eq!(
        World::run(17, Weakening::None),
        World::run(17, Weakening::None)
    );
}

fn is_missed(weakening: Weakening) -> Outcome {
    let (total, _) = run_all(WEAKENED_SCHEDULES, weakening);
    println!("{weakening:?}: {total:?}");
    total
}

#[test]
fn without_the_union_budgets_are_overspent() {
    assert!(is_missed(Weakening::NoUnion).overspent > 0);
}

#[test]
fn without_the_sync_turns_are_lost() {
    assert!(is_missed(Weakening::NoSync).lost_turns > 0);
}

#[test]
fn without_a_majority_turns_are_denied() {
    assert!(is_missed(Weakening::NoReadMajority).lost_turns > 0);
}

#[test]
fn without_the_copy_turns_are_lost() {
    assert!(is_missed(Weakening::NoCopy).lost_turns > 0);
}

#[test]
fn without_epochs_promises_break() {
    assert!(is_missed(Weakening::NoEpochs).violations() > 0);
}

#[test]
fn without_the_rest_of_the_copy_turns_are_lost() {
    assert!(is_missed(Weakening::NoRest).lost_turns > 0);
}

#[test]
fn with_positions_of_an_earlier_life_turns_are_lost() {
    assert!(is_missed(Weakening::NoLives).lost_turns > 0);
}

/// A voter was replaced under load: the set was joint from the first moment of the copy, every write went to both sides meanwhile,
/// and the copy came to no end (`replica set changed` at 9.68 s, done at 20.45 s).
#[test]
fn most_is_copied_before_the_set_changes() {
    let (total, _) = run_all(WEAKENED_SCHEDULES, Weakening::None);
    println!("{total:?}");
    assert!(total.prepared_turns > 5 * total.copied_turns, "{total:?}");
}
