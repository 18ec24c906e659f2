//! The configuration register: reads, lost answers, refused changes and operators that race.

mod support;

use ridgeworks_history::record::ConfigOutcome::{Accepted, Rejected, Unknown};
use ridgeworks_history::record::{ConfigOutcome, Record};
use ridgeworks_history::{Bounds, Check, History, ViolationKind as Kind};
use support::*;

/// A change: when it was sent and answered, its name and value, and how it ended.
fn write(
    (from, to): (u64, u64),
    operation: &str,
    value: &str,
    end: (ConfigOutcome, Option<u64>),
) -> Vec<Record> {
    vec![
        config(from, operation, operation, Some(value)),
        config_end(to, operation, operation, Some(value), end),
    ]
}

fn accepted(times: (u64, u64), operation: &str, value: &str, revision: u64) -> Vec<Record> {
    write(times, operation, value, (Accepted, Some(revision)))
}

fn read((from, to): (u64, u64), value: &str) -> Vec<Record> {
    let operation = format!("read-{from}");
    vec![
        config(from, "reader", &operation, None),
        config_end(to, "reader", &operation, Some(value), (Accepted, None)),
    ]
}

fn not_linearizable(parts: &[Vec<Record>]) {
    let key = "share".to_owned();
    assert_eq!(
        only(&parts.concat(), Check::Configuration),
        [Kind::NotLinearizable { key }]
    );
}

#[test]
fn a_read_after_a_change_shows_it() {
    let first = accepted((0, 10), "put-1", "a", 1);
    let second = accepted((20, 30), "put-2", "b", 2);
    let both = [first, second];
    clean(&[both.concat(), read((25, 28), "a")].concat());
    clean(&[both.concat(), read((25, 28), "b")].concat());
    clean(&[both.concat(), read((40, 50), "b")].concat());
    not_linearizable(&[both.concat(), read((40, 50), "a")]);
}

#[test]
fn a_value_that_was_seen_is_not_unseen() {
    let first = accepted((0, 10), "put-1", "a", 1);
    let second = accepted((20, 90), "put-2", "b", 2);
    let seen = read((30, 40), "b");
    not_linearizable(&[first, second, seen, read((50, 60), "a")]);
}

#[test]
fn a_rejected_change_is_never_shown() {
    let first = accepted((0, 10), "put-1", "a", 1);
    let refused = write((20, 30), "put-2", "b", (Rejected, None));
    clean(&[first.clone(), refused.clone(), read((40, 50), "a")].concat());
    not_linearizable(&[first, refused, read((40, 50), "b")]);
}

#[test]
fn a_change_of_unknown_end_may_take_effect_late_or_never_but_once() {
    let first = accepted((0, 10), "put-1", "a", 1);
    for lost in [
        write((20, 30), "put-2", "b", (Unknown, None)),
        vec![config(20, "put-2", "put-2", Some("b"))],
    ] {
        let start = [first.clone(), lost].concat();
        clean(&[start.clone(), read((40, 50), "a")].concat());
        clean(&[start.clone(), read((40, 50), "a"), read((60, 70), "b")].concat());
        let flips = [read((40, 50), "b"), read((60, 70), "a")];
        not_linearizable(&[start, flips.concat()]);
    }
}

#[test]
fn a_change_sent_again_under_its_own_name_is_one_change() {
    let first = accepted((0, 10), "put-1", "a", 1);
    let lost = write((20, 30), "put-2", "b", (Unknown, None));
    let other = accepted((50, 60), "put-3", "c", 3);
    let again = accepted((70, 80), "put-2", "b", 2);
    let end = read((90, 99), "c");
    clean(
        &[
            first.clone(),
            lost.clone(),
            other.clone(),
            again,
            end.clone(),
        ]
        .concat(),
    );
    let twice = accepted((70, 80), "put-2", "b", 4);
    not_linearizable(&[first, lost, other, twice, end]);
}

#[test]
fn operators_that_race_cannot_both_win_one_revision() {
    let left = accepted((0, 50), "put-1", "a", 7);
    let right = accepted((5, 55), "put-2", "b", 7);
    not_linearizable(&[left, right]);
}

#[test]
fn revisions_rise_in_the_order_of_time() {
    let first = accepted((0, 10), "put-1", "a", 8);
    let second = accepted((20, 30), "put-2", "b", 7);
    not_linearizable(&[first, second]);
}

#[test]
fn splitting_keeps_what_earlier_parts_settled() {
    let mut parts = Vec::new();
    for number in 0..500 {
        let value = format!("value-{number}");
        let from = 100 * number;
        parts.push(accepted(
            (from, from + 10),
            &format!("put-{number}"),
            &value,
            number + 1,
        ));
        parts.push(read((from + 20, from + 30), &value));
    }
    clean(&parts.concat());
    parts.push(read((90_000, 90_010), "value-498"));
    not_linearizable(&parts);
}

#[test]
fn a_search_without_steps_left_is_told_and_not_passed() {
    let records = [accepted((0, 10), "put-1", "a", 1), read((20, 30), "a")].concat();
    let bounds = Bounds {
        linearization_steps: 1,
        ..Bounds::default()
    };
    let findings = Check::Configuration.run(&History::new(records), &bounds);
    let key = "share".to_owned();
    assert_eq!(
        findings.violations[0].kind,
        Kind::LinearizabilityUndecided { key }
    );
}

#[test]
fn many_changes_of_unknown_end_do_not_stall_the_search() {
    let mut parts = vec![accepted((0, 1), "put-start", "start", 1)];
    for number in 0..200 {
        let (from, value) = (10 + 100 * number, format!("lost-{number}"));
        let operation = format!("put-{number}");
        parts.push(write(
            (from, from + 10),
            &operation,
            &value,
            (Unknown, None),
        ));
        if number % 2 == 0 {
            parts.push(read((from + 20, from + 30), &value));
        }
    }
    clean(&parts.concat());
}

/// Changes of four operators without a pause, each of which overlaps the next three.
fn race(changes: u64) -> Vec<Vec<Record>> {
    let change = |number: u64| {
        let times = (10 * number, 10 * number + 39);
        // Neighbours take effect in the opposite order of their sending.
        let revision = (number ^ 1) + 1;
        accepted(
            times,
            &format!("put-{number}"),
            &format!("value-{number}"),
            revision,
        )
    };
    (0..changes).map(change).collect()
}

#[test]
fn a_long_race_without_a_pause_is_decided() {
    let mut parts = race(1_000);
    clean(&parts.concat());
    parts.push(read((7_500, 7_501), "value-5"));
    not_linearizable(&parts);
}
