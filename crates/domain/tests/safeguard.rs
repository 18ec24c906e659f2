//! The switches of a test build are not in any other.

#![cfg(not(feature = "weakened"))]

use ridgeworks_domain::safeguard::{Safeguard, is_disabled};

/// Evaluated by the compiler, so that no environment can change it.
const LEASE_IS_OFF: bool = is_disabled(Safeguard::Lease);

#[test]
fn no_mechanism_is_left_out_without_the_feature() {
    assert!(!std::hint::black_box(LEASE_IS_OFF));
}
