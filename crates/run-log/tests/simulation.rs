//! Seeded schedules of message loss, duplication and reordering, partitions, crashes, pauses, disk loss and
//! competing owners.
//!
//! `RIDGEWORKS_SIMULATION_SCHEDULES` raises the number of schedules, `RIDGEWORKS_SIMULATION_SEED` sets the first seed.

mod simulator;

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use simulator::Weakening;
use simulator::checks::Violation;
use simulator::world::{Outcome, run_schedule};

const MIN_SCHEDULES: u64 = 10_000;
const THREADS: u64 = 4;
/// Number of schedules within which a disabled mechanism must be detected.
const MAX_WEAKENED_SCHEDULES: u64 = 4_000;

fn setting(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[derive(Default)]
struct Totals {
    events: AtomicU64,
    finished: AtomicU64,
    executions: AtomicU64,
    takeovers: AtomicU64,
    replicas_changed: AtomicU64,
    children_closed: AtomicU64,
}

impl Totals {
    fn add(&self, outcome: &Outcome) {
        self.events.fetch_add(outcome.events, Ordering::Relaxed);
        self.finished
            .fetch_add(outcome.finished_calls, Ordering::Relaxed);
        self.executions
            .fetch_add(outcome.executions, Ordering::Relaxed);
        self.takeovers
            .fetch_add(outcome.takeovers, Ordering::Relaxed);
        let changed = outcome.replicas_changed;
        self.replicas_changed.fetch_add(changed, Ordering::Relaxed);
        let closed = outcome.children_closed;
        self.children_closed.fetch_add(closed, Ordering::Relaxed);
    }
}

/// Returns the lowest seed from `first` on that violates a check, with its violations.
fn search(
    first: u64,
    schedules: u64,
    weakening: Option<Weakening>,
    totals: &Totals,
) -> Option<(u64, Vec<Violation>)> {
    let next = AtomicU64::new(first);
    let end = AtomicU64::new(first + schedules);
    let work = || {
        let mut found = None;
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= end.load(Ordering::Relaxed) {
                return found;
            }
            let outcome = run_schedule(seed, weakening);
            totals.add(&outcome);
            if !outcome.violations.is_empty() {
                end.fetch_min(seed, Ordering::Relaxed);
                found = Some((seed, outcome.violations));
            }
        }
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(work)).collect();
        let found = threads
            .into_iter()
            .filter_map(|thread| thread.join().unwrap());
        found.min_by_key(|(seed, _)| *seed)
    })
}

#[test]
fn promises_hold_under_seeded_faults() {
    let schedules = setting("RIDGEWORKS_SIMULATION_SCHEDULES", MIN_SCHEDULES).max(MIN_SCHEDULES);
    let first = setting("RIDGEWORKS_SIMULATION_SEED", 1);
    let started = Instant::now();
    let totals = Totals::default();
    let found = search(first, schedules, None, &totals);
    println!(
        "{schedules} schedules, {} events, {} takeovers, {} replica changes, {} children closed, {} executions, {} finished calls, {:.1} s",
        totals.events.load(Ordering::Relaxed),
        totals.takeovers.load(Ordering::Relaxed),
        totals.replicas_changed.load(Ordering::Relaxed),
        totals.children_closed.load(Ordering::Relaxed),
        totals.executions.load(Ordering::Relaxed),
        totals.finished.load(Ordering::Relaxed),
        started.elapsed().as_secs_f64(),
    );
    assert!(found.is_none(), "seed and violations: {found:?}");
    assert!(
        totals.finished.load(Ordering::Relaxed) > schedules,
        "schedules finish more than one call on average"
    );
    assert!(
        totals.replicas_changed.load(Ordering::Relaxed) > 0,
        "lost disks are replaced"
    );
    assert!(
        totals.children_closed.load(Ordering::Relaxed) > 0,
        "child runs are closed"
    );
}

/// Asserts that the checks find a safety violation, not only a stuck client, with `weakening`'s mechanism disabled.
fn assert_detected(weakening: Weakening) {
    let found = search(
        1,
        MAX_WEAKENED_SCHEDULES,
        Some(weakening),
        &Totals::default(),
    );
    println!("{weakening:?}: {found:?}");
    let (_, violations) = found.expect("a disabled mechanism must be detected");
    let unsafe_state = |violation: &Violation| !matches!(violation, Violation::Stuck(_));
    assert!(
        violations.iter().any(unsafe_state),
        "only stuck clients: {violations:?}"
    );
}

#[test]
fn detects_promises_that_are_not_durable() {
    assert_detected(Weakening::PromiseNotDurable);
}

#[test]
fn detects_replies_before_the_flush() {
    assert_detected(Weakening::ReplyBeforeFlush);
}

#[test]
fn detects_lower_ballots_accepted() {
    assert_detected(Weakening::LowerBallotAccepted);
}

#[test]
fn detects_accepted_entries_not_adopted() {
    assert_detected(Weakening::AcceptedNotAdopted);
}

#[test]
fn detects_budgets_without_reserve() {
    assert_detected(Weakening::NothingReserved);
}

#[test]
fn detects_attempts_sent_before_dispatched_is_committed() {
    assert_detected(Weakening::SentBeforeDispatched);
}

#[test]
fn detects_doubtful_attempts_that_are_not_fenced() {
    assert_detected(Weakening::NotFenced);
}

#[test]
fn detects_owners_that_do_not_confirm() {
    assert_detected(Weakening::NotConfirmed);
}

#[test]
fn detects_child_budgets_that_are_not_reserved_in_the_parent() {
    assert_detected(Weakening::ChildBudgetNotReserved);
}

#[test]
fn detects_lost_disks_under_the_old_identity() {
    assert_detected(Weakening::IdentityKept);
}
