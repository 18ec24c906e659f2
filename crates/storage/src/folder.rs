//! The data folder: its lock, and the creation of the database file.
//!
//! `redb` cannot open a file whose creation a crash cut off. So a new file is made under another
//! name and gets its own only when it holds the identity; a leftover is made anew.

use std::fs::{self, File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

use crate::error::StoreError;

const DATABASE_FILE: &str = "replica.redb";
const UNFINISHED_FILE: &str = "replica.redb.new";
const LOCK_FILE: &str = "lock";

/// A data folder that this process alone has open.
#[derive(Debug)]
pub(crate) struct DataFolder {
    directory: PathBuf,
    /// Locked for as long as it is open.
    _lock: File,
}

impl DataFolder {
    /// Locks the folder, creating it when missing.
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

    /// Lets `create` make the file under another name, then gives it its own.
    pub(crate) fn create_database(
        &self,
        create: impl FnOnce(&Path) -> Result<(), StoreError>,
    ) -> Result<(), StoreError> {
        let unfinished = self.directory.join(UNFINISHED_FILE);
        remove_if_present(&unfinished)?;
        create(&unfinished)?;
        File::open(&unfinished)?.sync_all()?;
        fs::rename(&unfinished, self.database_path())?;
        self.sync_names()
    }

    /// A new name survives a crash only once its folder is synced; the folder may be new too.
    fn sync_names(&self) -> Result<(), StoreError> {
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
