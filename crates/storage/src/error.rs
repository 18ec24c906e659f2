//! Errors of the store.

use std::fmt;
use std::io;

/// Why opening, reading or writing the store failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The data folder is locked by another process, or by another store of this process.
    Locked,
    /// The data folder belongs to another node, which has this name.
    ForeignNode(String),
    /// The database file or a stored value is corrupted.
    Corrupted {
        /// Description for the log.
        detail: String,
    },
    /// The file has a format that this version of `redb` doesn't support; holds the format version.
    UnsupportedFormat(u8),
    /// The disk is full or its quota is exhausted.
    DiskFull,
    /// Reading, writing or syncing failed.
    Io(io::ErrorKind),
    /// A value exceeds the limit of `redb`; holds its length in bytes.
    ValueTooLarge(usize),
    /// The writer's queue is full.
    QueueFull,
    /// An earlier write failed; the store accepts no more writes.
    FailedBefore,
    /// The store is closed.
    Closed,
    /// `redb` returned an error that correct use of it doesn't cause.
    Unexpected {
        /// Error text of `redb`, for the log.
        detail: String,
    },
}

impl fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Locked => write!(
                formatter,
                "the data folder is locked by another process or store"
            ),
            Self::ForeignNode(name) => write!(formatter, "the data folder belongs to node {name}"),
            Self::Corrupted { detail } => write!(formatter, "the store is corrupted: {detail}"),
            Self::UnsupportedFormat(format) => {
                write!(formatter, "unsupported database format {format}")
            }
            Self::DiskFull => write!(formatter, "the disk is full"),
            Self::Io(kind) => write!(formatter, "I/O error: {kind}"),
            Self::ValueTooLarge(length) => {
                write!(formatter, "a value of {length} bytes is too large")
            }
            Self::QueueFull => write!(formatter, "the queue of write batches is full"),
            Self::FailedBefore => write!(formatter, "the store failed on an earlier write"),
            Self::Closed => write!(formatter, "the store is closed"),
            Self::Unexpected { detail } => write!(formatter, "unexpected database error: {detail}"),
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
