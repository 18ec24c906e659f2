//! Final refusals, each of which needs its proof.

use std::time::Duration;

use quickcheck::quickcheck;
use ridgeworks_routing::{Denial, FreshConfiguration};

const BOUND: Duration = Duration::from_secs(2);

fn is_fresh(age: Option<Duration>) -> bool {
    FreshConfiguration::of_age(age, BOUND).is_some()
}

#[test]
fn a_configuration_that_is_old_or_unconfirmed_proves_nothing() {
    let just_below = BOUND - Duration::from_millis(1);
    assert!(is_fresh(Some(Duration::ZERO)) && is_fresh(Some(just_below)));
    assert!(!is_fresh(Some(BOUND)) && !is_fresh(None));
}

#[test]
fn a_size_within_the_limit_is_not_too_large() {
    let fresh = FreshConfiguration::of_age(Some(Duration::ZERO), BOUND).expect("fresh");
    for denial_of in [Denial::head_too_large, Denial::body_too_large] {
        let is_denied = |bytes| denial_of(fresh, bytes, 10).is_some();
        assert!(!is_denied(10) && is_denied(11));
    }
}

#[test]
fn fewer_ends_than_the_limit_deny_nothing() {
    let is_denied = |ended| Denial::ends_engines(ended, 3).is_some();
    assert!(!is_denied(0) && !is_denied(2) && is_denied(3));
}

quickcheck! {
    fn a_budget_that_holds_the_turn_beside_what_was_spent_denies_nothing(
        spent: u64,
        most: u64,
        budget: u64
    ) -> bool {
        let holds = u128::from(spent) + u128::from(most) <= u128::from(budget);
        // A sum that saturates is the greatest budget there is, and then denies nothing.
        let is_saturated = spent.checked_add(most).is_none() && budget == u64::MAX;
        Denial::budget_spent(spent, most, budget).is_none() == (holds || is_saturated)
    }
}
