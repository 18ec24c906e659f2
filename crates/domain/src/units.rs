//! Units of account.

use std::fmt;

use rkyv::{Archive, Deserialize, Serialize};

/// Amount in budget units. One generated or prompt token costs one unit; a call to a tool or notice service
/// costs the service's price.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    Archive,
    Serialize,
    Deserialize,
    serde::Serialize,
    serde::Deserialize,
)]
#[rkyv(derive(Debug, PartialEq, Eq, PartialOrd, Ord, Hash))]
#[serde(transparent)]
pub struct Cost(pub u64);

impl Cost {
    /// The zero amount.
    pub const ZERO: Self = Self(0);

    /// Returns the sum, capped at the largest value.
    pub fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns the difference, or zero if `other` is larger.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl fmt::Display for Cost {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}
