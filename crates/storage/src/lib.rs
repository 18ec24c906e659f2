//! Durable storage of a replica, based on `redb`: group commit of log entries, records and configuration.
//!
//! After a crash of the process or the machine, the store contains:
//!
//! - every batch whose completion was called with `Ok`: it was part of a transaction whose `fsync`
//!   returned;
//! - of the batches whose completion was not called, or called with an error, a prefix in the order
//!   of submission; each batch is atomic;
//! - the identity of the data folder, which is durable before [`Store::open`] returns.
//!
//! A failed write or `fsync` is final, because it is unknown what reached the disk: the store refuses
//! and never acknowledges later writes. The replica must be restarted.
//!
//! Every value except the identity of the data folder is stored with a checksum that each read verifies; a mismatch is
//! [`StoreError::Corrupted`]. Values are opaque bytes, which the crates that write them encode and decode.

mod checksum;
mod counters;
mod error;
mod folder;
mod identity;
mod operation;
mod reader;
mod settings;
mod store;
mod tables;
mod writer;

pub use counters::{StoreCounters, StoreCountersSnapshot};
pub use error::StoreError;
pub use identity::{StoreCreationId, StoreIdentity};
pub use operation::{Completion, StoreOperation, WriteBatch};
pub use reader::{ConfigurationRecord, ReplicatedRecord, StoredEntry};
pub use settings::StoreSettings;
pub use store::{OpenedStore, Store};
