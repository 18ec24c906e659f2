//! Valid histories pass every check; each planted violation is found by exactly the right one.

#[path = "../support/mod.rs"]
mod support;

mod calls;
mod planting;
mod release;
mod runs;
mod system;

use quickcheck::{QuickCheck, quickcheck};

use planting::*;
use support::*;

quickcheck! {
    fn valid_histories_pass(seed: u64) -> bool {
        clean(&valid(seed, RUNS));
        true
    }
}

#[test]
fn every_check_judges_something_in_a_valid_history() {
    for (check, findings) in judge(&valid(1, RUNS)).findings {
        assert!(findings.judged > 0, "{check:?}");
        assert_eq!(findings.undecided, 0, "{check:?}");
    }
}

#[test]
fn runs_of_any_size_pass() {
    fn property(seed: u64, runs: u8) -> bool {
        clean(&valid(seed, u64::from(runs % 40)));
        true
    }
    QuickCheck::new()
        .tests(30)
        .quickcheck(property as fn(u64, u8) -> bool);
}
