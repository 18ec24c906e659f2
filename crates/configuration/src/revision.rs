//! Numbers that order and identify changes and requests.

use std::fmt;
use std::str::FromStr;

use ridgeworks_domain::IdentifierError;
use rkyv::{Archive, Deserialize, Serialize};

macro_rules! number {
    ($(#[$documentation:meta])* $name:ident($type:ty)) => {
        $(#[$documentation])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default,
            Archive, Serialize, Deserialize, serde::Serialize, serde::Deserialize,
        )]
        #[rkyv(derive(Debug, PartialEq, Eq, PartialOrd, Ord, Hash))]
        #[serde(transparent)]
        pub struct $name(pub $type);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }
    };
}

number!(
    /// Revision of the configuration. Every change increments it; zero is the empty configuration.
    Revision(u64)
);
number!(
    /// The revision in which an object was last changed; zero means that the object does not exist.
    ObjectVersion(u64)
);
number!(
    /// Version that the platform's store assigned to a document; zero means that there is none. Used
    /// only for compare-and-swap.
    PlatformVersion(u64)
);
number!(
    /// Matches an answer to the sender's request.
    RequestId(u64)
);

impl Revision {
    /// The empty configuration.
    pub const ZERO: Self = Self(0);

    /// The next revision.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl ObjectVersion {
    /// The version of an object that does not exist.
    pub const ABSENT: Self = Self(0);
}

impl From<Revision> for ObjectVersion {
    fn from(revision: Revision) -> Self {
        Self(revision.0)
    }
}

/// Identifier of one change, chosen by the operator; a retry carries the same one. In JSON it is a
/// string of 32 hexadecimal digits, since many JSON parsers lose precision in large numbers.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Archive,
    Serialize,
    Deserialize,
    serde::Serialize,
    serde::Deserialize,
)]
#[rkyv(derive(Debug, PartialEq, Eq, PartialOrd, Ord, Hash))]
#[serde(try_from = "String", into = "String")]
pub struct OperationId(pub u128);

impl fmt::Display for OperationId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl FromStr for OperationId {
    type Err = IdentifierError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| IdentifierError::NotHexadecimal)
    }
}

impl TryFrom<String> for OperationId {
    type Error = IdentifierError;
    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<OperationId> for String {
    fn from(operation: OperationId) -> String {
        operation.to_string()
    }
}
