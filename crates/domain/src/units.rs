//! Units of account.

use std::fmt;

use rkyv::{Archive, Deserialize, Serialize};

/// Amount in the budget's unit: one generated or prompt token, or the price of a tool call.
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
    /// Nothing spent.
    pub const ZERO: Self = Self(0);

    /// Sum that stays at the largest value instead of wrapping.
    pub fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Difference that stays at zero instead of wrapping.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl fmt::Display for Cost {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}
