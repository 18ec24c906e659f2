//! Tests that no safeguard can be disabled in a build without the feature `weakened`.

#![cfg(not(feature = "weakened"))]

use ridgeworks_domain::safeguard::{Safeguard, is_disabled};

/// Evaluated at compile time, so that the environment cannot change it.
const LEASE_IS_DISABLED: bool = is_disabled(Safeguard::Lease);

#[test]
fn no_safeguard_is_disabled_without_the_feature() {
    assert!(!std::hint::black_box(LEASE_IS_DISABLED));
}
