//! Names and numbers that identify nodes, runs, calls and configuration objects.

use std::fmt;
use std::str::FromStr;

use rkyv::{Archive, Deserialize, Serialize};

/// Longest accepted text identifier, in bytes.
pub const MAX_IDENTIFIER_BYTES: usize = 128;

/// Why a text was refused as an identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IdentifierError {
    /// The text is empty.
    Empty,
    /// The text is longer than [`MAX_IDENTIFIER_BYTES`]; holds its length in bytes.
    TooLong(usize),
    /// The text holds a character outside `[A-Za-z0-9._:-]`; holds that character.
    InvalidCharacter(char),
    /// The text is not the hexadecimal form of a number.
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
            /// Checks the text and wraps it.
            pub fn new(text: impl Into<String>) -> Result<Self, IdentifierError> {
                let text = text.into();
                check_text(&text)?;
                Ok(Self(text))
            }

            /// The identifier as text.
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
    /// A partner that owns programs and draws from the shared pool.
    PartnerName
);
text_identifier!(
    /// A program as an operator defined it.
    ProgramName
);
text_identifier!(
    /// A service that calls go to: a model, a tool or a notice service.
    ServiceName
);
text_identifier!(
    /// A priority class.
    ClassName
);
text_identifier!(
    /// One back end: an engine or one instance of a tool or notice service.
    BackendName
);
text_identifier!(
    /// A zone of the deployment.
    ZoneName
);
text_identifier!(
    /// A region of the deployment, which holds one or more zones.
    RegionName
);
text_identifier!(
    /// The caller's key of one call, unique within its run; repeats of a request carry the same key.
    CallKey
);

/// A node of the system, derived from its configured name, so that it survives a restart.
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
    /// The identifier of the node with this configured name.
    pub fn from_name(name: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }
}

impl fmt::Display for NodeId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Position of a call in its run; the first call has number 1 and there are no gaps.
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
    /// Number of a run's first call.
    pub const FIRST: Self = Self(1);

    /// The number after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Sequence {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}
