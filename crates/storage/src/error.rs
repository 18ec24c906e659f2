//! Errors of the store.

use std::fmt;
use std::io;

/// Why an operation of the store failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// Another process, or another store of this one, has the data folder open.
    Locked,
    /// The data folder belongs to the node with this name.
    ForeignNode(String),
    /// The file does not hold what it should.
    Corrupted {
        /// What the library found, for the log.
        detail: String,
    },
    /// The file was written by another version of the library; holds the number of its format.
    UnsupportedFormat(u8),
    /// No room is left on the disk.
    DiskFull,
    /// Reading, writing or syncing failed.
    Io(io::ErrorKind),
    /// A value is longer than the library takes; holds its length in bytes.
    ValueTooLarge(usize),
    /// As many batches as allowed wait for the writer.
    QueueFull,
    /// An earlier write failed; nothing is taken any more.
    FailedBefore,
    /// The store is closed.
    Closed,
    /// The library refused a use of it that this crate takes for impossible.
    Unexpected {
        /// What the library said, for the log.
        detail: String,
    },
}

impl fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Locked => write!(formatter, "the data folder is open elsewhere"),
            Self::ForeignNode(name) => write!(formatter, "the data folder belongs to node {name}"),
            Self::Corrupted { detail } => write!(formatter, "the store is corrupted: {detail}"),
            Self::UnsupportedFormat(format) => write!(formatter, "unsupported format {format}"),
            Self::DiskFull => write!(formatter, "no room is left on the disk"),
            Self::Io(kind) => write!(formatter, "input or output failed: {kind}"),
            Self::ValueTooLarge(length) => write!(formatter, "a value has {length} bytes"),
            Self::QueueFull => write!(formatter, "too many batches wait for the writer"),
            Self::FailedBefore => write!(formatter, "an earlier write failed"),
            Self::Closed => write!(formatter, "the store is closed"),
            Self::Unexpected { detail } => write!(formatter, "unexpected: {detail}"),
        }
    }
}

impl std::error::Error for StoreError {}

impl From<io::Error> for StoreError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::DiskFull,
            kind => Self::Io(kind),
        }
    }
}

impl From<redb::Error> for StoreError {
    fn from(error: redb::Error) -> Self {
        match error {
            redb::Error::DatabaseAlreadyOpen => Self::Locked,
            redb::Error::Corrupted(detail) => Self::Corrupted { detail },
            redb::Error::UpgradeRequired(format) => Self::UnsupportedFormat(format),
            redb::Error::ValueTooLarge(length) => Self::ValueTooLarge(length),
            redb::Error::Io(error) => error.into(),
            redb::Error::PreviousIo => Self::FailedBefore,
            redb::Error::DatabaseClosed => Self::Closed,
            other => Self::Unexpected {
                detail: other.to_string(),
            },
        }
    }
}

macro_rules! convert_through_redb_error {
    ($($error:ty),+) => {
        $(impl From<$error> for StoreError {
            fn from(error: $error) -> Self {
                redb::Error::from(error).into()
            }
        })+
    };
}

convert_through_redb_error!(
    redb::DatabaseError,
    redb::TransactionError,
    redb::TableError,
    redb::StorageError,
    redb::CommitError,
    redb::SetDurabilityError
);
