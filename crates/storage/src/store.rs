//! Opens, reads, writes and closes a store.

use std::ops::ControlFlow;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};

use crossbeam_channel::{Sender, TrySendError, bounded};
use redb::{Builder, Database, StorageBackend};
use ridgeworks_domain::RunId;

use crate::counters::{StoreCounters, add};
use crate::error::StoreError;
use crate::folder::DataFolder;
use crate::identity::{self, StoreIdentity};
use crate::operation::WriteBatch;
use crate::reader::{self, ConfigurationRecord, ReplicatedRecord, StoredEntry};
use crate::settings::StoreSettings;
use crate::tables::WriteTables;
use crate::writer::Writer;

const WRITER_THREAD: &str = "store-writer";

/// Result of opening a store.
pub struct OpenedStore {
    /// The open store.
    pub store: Store,
    /// Whether the data folder was new. A replica that was in use before has then lost its promises.
    pub is_new: bool,
}

/// An open store, which threads share by reference.
///
/// Dropping it waits until each queued batch is committed, or has failed, and its completion was called; then it unlocks
/// the data folder. If a completion drops the store, the drop doesn't wait: it unlocks the data folder at once, and the
/// writer thread completes the queued batches and closes the database afterwards.
pub struct Store {
    database: Arc<Database>,
    identity: StoreIdentity,
    batches: Option<Sender<WriteBatch>>,
    writer: Option<JoinHandle<()>>,
    counters: Arc<StoreCounters>,
    failed: Arc<AtomicBool>,
    /// Holds the lock. Declared last, so that the database is closed before the lock is released, except if the store is
    /// dropped on the writer thread, which still holds the database then.
    folder: Option<DataFolder>,
}

impl Store {
    /// Opens the data folder, creates it if missing, and repairs the database after a crash.
    pub fn open(settings: &StoreSettings) -> Result<OpenedStore, StoreError> {
        let folder = DataFolder::lock(&settings.directory)?;
        let is_new = !folder.has_database()?;
        if is_new {
            folder.create_database(|path| {
                Self::open_database(settings, |builder| Ok(builder.create(path)?)).map(drop)
            })?;
        }
        let path = folder.database_path();
        let mut opened = Self::open_database(settings, |builder| Ok(builder.open(&path)?))?;
        opened.is_new = is_new;
        opened.store.folder = Some(folder);
        Ok(opened)
    }

    /// Opens a store on a custom storage backend; tests use it to simulate crashes and faults.
    pub fn open_with_backend(
        settings: &StoreSettings,
        backend: impl StorageBackend,
    ) -> Result<OpenedStore, StoreError> {
        Self::open_database(
            settings,
            |builder| Ok(builder.create_with_backend(backend)?),
        )
    }

    fn open_database(
        settings: &StoreSettings,
        open: impl FnOnce(&Builder) -> Result<Database, StoreError>,
    ) -> Result<OpenedStore, StoreError> {
        let mut builder = Builder::new();
        builder.set_cache_size(settings.cache_bytes);
        let database = open(&builder)?;
        let stored = identity::load(&database)?;
        let is_new = stored.is_none();
        let identity = match stored {
            Some(identity) if identity.node_name == settings.node_name => identity,
            Some(identity) => return Err(StoreError::ForeignNode(identity.node_name)),
            None => create_tables(&database, settings)?,
        };
        let store = Self::start(database, identity, settings)?;
        Ok(OpenedStore { store, is_new })
    }

    fn start(
        database: Database,
        identity: StoreIdentity,
        settings: &StoreSettings,
    ) -> Result<Self, StoreError> {
        let database = Arc::new(database);
        let counters = Arc::<StoreCounters>::default();
        let failed = Arc::<AtomicBool>::default();
        let (sender, batches) = bounded(settings.max_queued_batches);
        let writer = Writer {
            database: Arc::clone(&database),
            batches,
            max_commit_bytes: settings.max_commit_bytes,
            counters: Arc::clone(&counters),
            failed: Arc::clone(&failed),
        };
        let builder = thread::Builder::new().name(WRITER_THREAD.to_owned());
        let writer = builder.spawn(|| writer.run())?;
        Ok(Self {
            database,
            identity,
            batches: Some(sender),
            writer: Some(writer),
            counters,
            failed,
            folder: None,
        })
    }

    /// Identity of the data folder.
    pub fn identity(&self) -> &StoreIdentity {
        &self.identity
    }

    /// Counters since the store was opened.
    pub fn counters(&self) -> Arc<StoreCounters> {
        Arc::clone(&self.counters)
    }

    /// Queues a batch for the writer without blocking. Batches become durable in the order of their
    /// submission. On an error the batch is dropped: its completion is not called, and it never
    /// becomes durable.
    pub fn submit(&self, batch: WriteBatch) -> Result<(), StoreError> {
        let outcome = self.try_submit(batch);
        if outcome.is_err() {
            add(&self.counters.refused, 1);
        }
        outcome
    }

    fn try_submit(&self, batch: WriteBatch) -> Result<(), StoreError> {
        if self.failed.load(Ordering::SeqCst) {
            return Err(StoreError::FailedBefore);
        }
        let Some(batches) = &self.batches else {
            return Err(StoreError::Closed);
        };
        batches.try_send(batch).map_err(|error| match error {
            TrySendError::Full(_) => StoreError::QueueFull,
            TrySendError::Disconnected(_) => StoreError::Closed,
        })
    }

    /// At most `limit` replicated records after this key, in key order. Each call reads its own snapshot: one long-lived
    /// snapshot would retain the pages of all records overwritten in the meantime and could fill the disk.
    pub fn records_after(
        &self,
        after: &[u8],
        limit: usize,
    ) -> Result<Vec<ReplicatedRecord>, StoreError> {
        reader::records_after(&self.database, after, limit)
    }

    /// A replicated record; `None` if the key doesn't exist.
    pub fn record(&self, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError> {
        reader::record(&self.database, key)
    }

    /// Calls `visit` with the head of each run, in the order of run identifiers, until it returns `Break`.
    pub fn visit_run_heads(
        &self,
        visit: impl FnMut(RunId, &[u8]) -> ControlFlow<()>,
    ) -> Result<(), StoreError> {
        reader::visit_run_heads(&self.database, visit)
    }

    /// Head of a run; `None` if the run doesn't exist.
    pub fn run_head(&self, run: RunId) -> Result<Option<Vec<u8>>, StoreError> {
        reader::run_head(&self.database, run)
    }

    /// Entries of a run from `first` on: at least one if there is one, at most `max_bytes` of values.
    pub fn entries(
        &self,
        run: RunId,
        first: u64,
        max_bytes: usize,
    ) -> Result<Vec<StoredEntry>, StoreError> {
        reader::entries(&self.database, run, first, max_bytes)
    }

    /// All configuration records, in key order.
    pub fn configuration(&self) -> Result<Vec<ConfigurationRecord>, StoreError> {
        reader::configuration(&self.database)
    }

    /// A node record, which is local to this node; `None` if the key doesn't exist.
    pub fn node_record(&self, key: &[u8]) -> Result<Option<Vec<u8>>, StoreError> {
        reader::node_record(&self.database, key)
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        drop(self.batches.take());
        let Some(writer) = self.writer.take() else {
            return;
        };
        // A completion may drop the last reference to the store, so this can run on the writer thread.
        if writer.thread().id() != thread::current().id() {
            let _ = writer.join();
        }
    }
}

/// Writes the identity and creates the tables in one transaction.
fn create_tables(
    database: &Database,
    settings: &StoreSettings,
) -> Result<StoreIdentity, StoreError> {
    let identity = StoreIdentity {
        node_name: settings.node_name.clone(),
        creation_id: settings.new_creation_id,
    };
    let transaction = database.begin_write()?;
    WriteTables::new(&transaction).create_all()?;
    identity::put(&transaction, &identity)?;
    transaction.commit()?;
    Ok(identity)
}
