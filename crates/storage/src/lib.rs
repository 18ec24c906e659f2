//! Durable storage of a replica over `redb`: group commit of log entries and configuration.
//!
//! What survives a crash of the process or of the machine:
//!
//! - every batch whose completion was called with `Ok`: it was part of a transaction whose `fsync`
//!   returned;
//! - of the batches whose completion was not called, or called with an error, a prefix in the order
//!   of submission, each of them wholly or not at all;
//! - the identity of the data folder, made durable before [`Store::open`] returns.
//!
//! A failed write or `fsync` is final: what reached the disk is not known then, so the store refuses
//! everything that follows and never acknowledges it. The replica has to be started anew.
//!
//! Every value carries a checksum, which each read checks; a bad one is [`StoreError::Corrupted`].
//! Values are bytes; their meaning belongs to the crates that write them.

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
