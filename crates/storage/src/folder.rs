//! The data folder: its lock, and the creation of the database file.
//!
//! `redb` cannot open a file whose creation was interrupted by a crash. A new file is therefore created under a
//! temporary name and renamed once it holds the identity. A leftover temporary file is deleted.

use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

use crate::error::StoreError;

const DATABASE_FILE: &str = "replica.redb";
const TEMPORARY_FILE: &str = "replica.redb.new";
const LOCK_FILE: &str = "lock";

/// A data folder locked by this process.
#[derive(Debug)]
pub(crate) struct DataFolder {
    directory: PathBuf,
    /// Holds the lock while the file is open.
    _lock: File,
}

impl DataFolder {
    /// Locks the folder; creates it if missing.
    pub(crate) fn lock(directory: &Path) -> Result<Self, StoreError> {
        fs::create_dir_all(directory)?;
        let lock = File::options()
            .create(true)
            .truncate(false)
            .write(true)
            .open(directory.join(LOCK_FILE))?;
        match lock.try_lock() {
            Ok(()) => Ok(Self {
                directory: directory.to_owned(),
                _lock: lock,
            }),
            Err(TryLockError::WouldBlock) => Err(StoreError::Locked),
            Err(TryLockError::Error(error)) => Err(error.into()),
        }
    }

    pub(crate) fn has_database(&self) -> Result<bool, StoreError> {
        Ok(self.database_path().try_exists()?)
    }

    pub(crate) fn database_path(&self) -> PathBuf {
        self.directory.join(DATABASE_FILE)
    }

    /// Calls `create` with the temporary path, then renames the file to its final name.
    pub(crate) fn create_database(
        &self,
        create: impl FnOnce(&Path) -> Result<(), StoreError>,
    ) -> Result<(), StoreError> {
        let temporary = self.directory.join(TEMPORARY_FILE);
        remove_if_present(&temporary)?;
        create(&temporary)?;
        File::open(&temporary)?.sync_all()?;
        fs::rename(&temporary, self.database_path())?;
        self.sync_directories()
    }

    /// Makes the new name durable. The folder itself may be new, so its parent is synced too.
    fn sync_directories(&self) -> Result<(), StoreError> {
        File::open(&self.directory)?.sync_all()?;
        let directory = self.directory.canonicalize()?;
        if let Some(parent) = directory.parent() {
            File::open(parent)?.sync_all()?;
        }
        Ok(())
    }
}

fn remove_if_present(path: &Path) -> io::Result<()> {
    match fs::remove_file(path) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
        outcome => outcome,
    }
}
