//! Names and numbers that identify nodes, runs, calls and configuration objects.

use std::fmt;
use std::str::FromStr;

use rkyv::{Archive, Deserialize, Serialize};

/// Maximum length of a text identifier, in bytes.
pub const MAX_IDENTIFIER_BYTES: usize = 128;

/// Why a text is not a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IdentifierError {
    /// The text is empty.
    Empty,
    /// The text is longer than [`MAX_IDENTIFIER_BYTES`]; contains its length in bytes.
    TooLong(usize),
    /// The text contains this character, which is not in `[A-Za-z0-9._:-]`.
    InvalidCharacter(char),
    /// The text is not a hexadecimal number of at most 128 bits.
    NotHexadecimal,
}

impl fmt::Display for IdentifierError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(formatter, "identifier is empty"),
            Self::TooLong(length) => write!(
                formatter,
                "identifier has {length} bytes, at most {MAX_IDENTIFIER_BYTES} are allowed"
            ),
            Self::InvalidCharacter(character) => write!(
                formatter,
                "identifier holds {character:?}, allowed are letters, digits and . _ : -"
            ),
            Self::NotHexadecimal => write!(formatter, "identifier is not a hexadecimal number"),
        }
    }
}

impl std::error::Error for IdentifierError {}

fn check_text(text: &str) -> Result<(), IdentifierError> {
    if text.is_empty() {
        return Err(IdentifierError::Empty);
    }
    if text.len() > MAX_IDENTIFIER_BYTES {
        return Err(IdentifierError::TooLong(text.len()));
    }
    let allowed = |character: char| {
        character.is_ascii_alphanumeric() || matches!(character, '.' | '_' | ':' | '-')
    };
    match text.chars().find(|character| !allowed(*character)) {
        Some(character) => Err(IdentifierError::InvalidCharacter(character)),
        None => Ok(()),
    }
}

macro_rules! text_identifier {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(
            Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash,
            Archive, Serialize, Deserialize, serde::Serialize, serde::Deserialize,
        )]
        #[rkyv(derive(Debug, PartialEq, Eq, PartialOrd, Ord, Hash))]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// Validates the length and the characters of `text`.
            pub fn new(text: impl Into<String>) -> Result<Self, IdentifierError> {
                let text = text.into();
                check_text(&text)?;
                Ok(Self(text))
            }

            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdentifierError;
            fn from_str(text: &str) -> Result<Self, Self::Err> {
                Self::new(text)
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdentifierError;
            fn try_from(text: String) -> Result<Self, Self::Error> {
                Self::new(text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0
            }
        }
    };
}

text_identifier!(
    /// Name of a partner, which owns programs and has a share of the pool.
    PartnerName
);
text_identifier!(
    /// Name of a program.
    ProgramName
);
text_identifier!(
    /// Name of a model, tool or notice service.
    ServiceName
);
text_identifier!(
    /// Name of a priority class.
    ClassName
);
text_identifier!(
    /// Name of a back end: an engine or an instance of a tool or notice service.
    BackendName
);
text_identifier!(
    /// Name of a zone of the deployment.
    ZoneName
);
text_identifier!(
    /// Name of a region of the deployment, which contains one or more zones.
    RegionName
);
text_identifier!(
    /// Idempotency key of a call, chosen by the caller and unique within its run; retries carry the
    /// same key.
    CallKey
);

/// Identifies a node. It is derived from the configured name, so that a restart keeps it.
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
pub struct NodeId(pub u64);

impl NodeId {
    /// Returns the identifier of the node with this configured name.
    pub fn from_name(name: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }
}

impl fmt::Display for NodeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Sequence number of a call in its run, counted from 1 without gaps.
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
#[serde(transparent)]
pub struct Sequence(pub u64);

impl Sequence {
    /// Sequence number of a run's first call.
    pub const FIRST: Self = Self(1);

    /// Returns the following sequence number.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Sequence {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}
