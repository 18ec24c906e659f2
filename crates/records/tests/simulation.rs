//! Seeded simulations of replicas and gateways under faults: tokens stay within their budget, and
//! no turn that was answered completely is lost or wrongly reported as missing. Each mechanism is
//! disabled once, which the checks have to detect.

mod simulator;

use simulator::world::World;
use simulator::{DisabledMechanism, Outcome, Profile};

const SCHEDULES: u64 = 10_000;
/// Fewer, since each takes longer.
const EXPIRING_SCHEDULES: u64 = 3_000;
const SCHEDULES_PER_MECHANISM: u64 = 1_000;
/// For a mechanism whose absence shows in few schedules.
const RARE_SCHEDULES: u64 = 2_500;
const THREADS: u64 = 4;
const SCHEDULES_VARIABLE: &str = "RIDGEWORKS_SIMULATION_SCHEDULES";

fn run_all(
    schedules: u64,
    profile: Profile,
    disabled: DisabledMechanism,
) -> (Outcome, Option<u64>) {
    let threads: Vec<_> = (0..THREADS)
        .map(|thread| {
            std::thread::spawn(move || {
                let mut total = Outcome::default();
                let mut first_failed = None;
                for seed in (thread..schedules).step_by(THREADS as usize) {
                    let outcome = World::run(seed, profile, disabled);
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

/// The number that the environment gives, or else this one.
fn schedules(default: u64) -> u64 {
    let schedules = std::env::var(SCHEDULES_VARIABLE).ok();
    let schedules = schedules.and_then(|text| text.parse().ok());
    schedules.unwrap_or(default)
}

/// Each turn that the newest one needs, and each charge, is kept while the program lives, whatever order replicas were away in.
#[test]
fn invariants_hold_while_records_expire() {
    let schedules = schedules(EXPIRING_SCHEDULES);
    let (total, first_failed) = run_all(schedules, Profile::EXPIRING, DisabledMechanism::None);
    println!("{schedules} schedules: {total:?}");
    assert_eq!(
        total.violations(),
        0,
        "first failing seed {first_failed:?}: {total:?}"
    );
    assert!(
        total.repaired_turns > schedules,
        "too few turns were missed: {total:?}"
    );
    assert!(
        total.written_back > schedules,
        "too few entries were missed: {total:?}"
    );
}

#[test]
fn invariants_hold_under_faults() {
    let schedules = schedules(SCHEDULES);
    let (total, first_failed) = run_all(schedules, Profile::ENDLESS, DisabledMechanism::None);
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
fn a_seed_gives_the_same_outcome_again() {
    assert_eq!(
        World::run(17, Profile::EXPIRING, DisabledMechanism::None),
        World::run(17, Profile::EXPIRING, DisabledMechanism::None)
    );
}

fn run_without(disabled: DisabledMechanism) -> Outcome {
    let (total, _) = run_all(SCHEDULES_PER_MECHANISM, Profile::ENDLESS, disabled);
    println!("{disabled:?}: {total:?}");
    total
}

#[test]
fn without_merged_ledgers_budgets_are_overspent() {
    assert!(run_without(DisabledMechanism::NoUnion).overspent > 0);
}

#[test]
fn without_waiting_for_the_disk_turns_are_lost() {
    assert!(run_without(DisabledMechanism::NoSync).lost_turns > 0);
}

#[test]
fn without_a_read_majority_turns_are_reported_missing() {
    assert!(run_without(DisabledMechanism::NoReadMajority).lost_turns > 0);
}

#[test]
fn without_copies_turns_are_lost() {
    assert!(run_without(DisabledMechanism::NoCopy).lost_turns > 0);
}

#[test]
fn without_epochs_invariants_break() {
    assert!(run_without(DisabledMechanism::NoEpochs).violations() > 0);
}

#[test]
fn without_the_copy_under_the_joint_set_turns_are_lost() {
    assert!(run_without(DisabledMechanism::NoRest).lost_turns > 0);
}

#[test]
fn with_positions_in_an_earlier_change_log_turns_are_lost() {
    assert!(run_without(DisabledMechanism::NoLives).lost_turns > 0);
}

#[test]
fn without_restoring_ledgers_before_they_change_budgets_are_overspent() {
    assert!(run_without(DisabledMechanism::NoRestoredLedgers).overspent > 0);
}

fn run_expiring_without(disabled: DisabledMechanism, schedules: u64) -> Outcome {
    let (total, _) = run_all(schedules, Profile::EXPIRING, disabled);
    println!("{disabled:?}: {total:?}");
    total
}

#[test]
fn without_the_repair_of_chains_turns_are_lost() {
    assert!(
        run_expiring_without(DisabledMechanism::NoChainRepair, SCHEDULES_PER_MECHANISM).lost_turns
            > 0
    );
}

#[test]
fn without_writing_entries_back_budgets_are_overspent() {
    assert!(run_expiring_without(DisabledMechanism::NoWriteBack, RARE_SCHEDULES).overspent > 0);
}

/// Guards against copying most records under a joint set, where each write goes to the old and the
/// new members and slows the copy.
#[test]
fn most_records_are_copied_before_the_set_changes() {
    let (total, _) = run_all(
        SCHEDULES_PER_MECHANISM,
        Profile::ENDLESS,
        DisabledMechanism::None,
    );
    println!("{total:?}");
    assert!(total.prepared_turns > 5 * total.copied_turns, "{total:?}");
}
