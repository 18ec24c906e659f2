//! The node's durable store: opens the data folder and restores what it holds.
//!
//! What survives a crash: see `ridgeworks_storage`. The replica role and the configuration voter
//! write to the same store, so that one fsync serves both.

use std::fmt;
use std::ops::ControlFlow;
use std::path::Path;
use std::sync::Arc;

use ridgeworks_configuration::StoredVoter;
use ridgeworks_domain::RunId;
use ridgeworks_run_log::entry::StoreId;
use ridgeworks_run_log::storage::{RestoredStore, RunHead};
use ridgeworks_storage::{
    Store, StoreCounters, StoreCreationId, StoreError, StoreOperation, StoreSettings, WriteBatch,
};

use crate::archive::{decode, encode};
use crate::mailbox::Mailbox;
use crate::thread_message::ThreadMessage;

pub(super) const GENERATION_KEY: &[u8] = b"generation";
const VOTER_KEY: &[u8] = b"voter";

/// Why the data folder could not be taken up.
#[derive(Debug)]
pub enum OpenStoreError {
    /// The store failed.
    Store(StoreError),
    /// A record cannot be read; holds its name.
    BadRecord(&'static str),
}

impl fmt::Display for OpenStoreError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(error) => write!(formatter, "{error}"),
            Self::BadRecord(name) => {
                write!(formatter, "the record {name} of the store is malformed")
            }
        }
    }
}

impl std::error::Error for OpenStoreError {}

impl From<StoreError> for OpenStoreError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

/// Who asked for a write, for the news that it is durable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOwner {
    /// The replica role.
    Replica,
    /// The configuration voter.
    Voter,
}

/// The open data folder, shared by the roles that write to it.
#[derive(Clone)]
pub struct NodeStore {
    store: Arc<Store>,
    mailbox: Mailbox<ThreadMessage>,
}

impl NodeStore {
    /// Opens or creates the data folder of a node.
    pub fn open(
        directory: &Path,
        node_name: &str,
        mailbox: Mailbox<ThreadMessage>,
    ) -> Result<Self, OpenStoreError> {
        let new_identity = StoreCreationId(rand::random());
        let settings = StoreSettings::new(directory, node_name, new_identity);
        let opened = Store::open(&settings)?;
        Ok(Self {
            store: Arc::new(opened.store),
            mailbox,
        })
    }

    /// What the store counts.
    pub fn counters(&self) -> Arc<StoreCounters> {
        self.store.counters()
    }

    /// What the store holds for the replica role.
    pub fn restore_replica(&self) -> Result<RestoredStore, OpenStoreError> {
        let mut heads: Vec<(RunId, RunHead)> = Vec::new();
        let mut malformed = false;
        self.store
            .visit_run_heads(|run, bytes| match decode(bytes) {
                Some(head) => {
                    heads.push((run, head));
                    ControlFlow::Continue(())
                }
                None => {
                    malformed = true;
                    ControlFlow::Break(())
                }
            })?;
        if malformed {
            return Err(OpenStoreError::BadRecord("run head"));
        }
        Ok(RestoredStore {
            // Half of a random number is random enough to tell stores of one node apart.
            store: StoreId(self.store.identity().creation_id.0 as u64),
            generation: self.restore_generation()?,
            heads,
        })
    }

    /// What the store holds for the configuration voter.
    pub fn restore_voter(&self) -> Result<Option<StoredVoter>, OpenStoreError> {
        match self.store.node_record(VOTER_KEY)? {
            None => Ok(None),
            Some(bytes) => decode(&bytes)
                .map(Some)
                .ok_or(OpenStoreError::BadRecord("voter")),
        }
    }

    /// Writes a voter's state; its news comes as [`ThreadMessage::Durable`].
    pub fn write_voter(&self, write: u64, state: &StoredVoter) {
        let operation = StoreOperation::PutNodeRecord {
            key: VOTER_KEY.to_vec(),
            bytes: encode(state),
        };
        self.submit(vec![operation], WriteOwner::Voter, write);
    }

    pub(super) fn submit(&self, operations: Vec<StoreOperation>, owner: WriteOwner, write: u64) {
        let mailbox = self.mailbox.clone();
        let batch = WriteBatch::new(operations, move |result| {
            mailbox.post(ThreadMessage::Durable {
                owner,
                write,
                result,
            });
        });
        if let Err(error) = self.store.submit(batch) {
            let result = Err(error);
            self.mailbox.post(ThreadMessage::Durable {
                owner,
                write,
                result,
            });
        }
    }

    pub(super) fn store(&self) -> &Store {
        &self.store
    }

    fn restore_generation(&self) -> Result<u32, OpenStoreError> {
        let Some(bytes) = self.store.node_record(GENERATION_KEY)? else {
            return Ok(0);
        };
        decode(&bytes).ok_or(OpenStoreError::BadRecord("generation"))
    }
}
