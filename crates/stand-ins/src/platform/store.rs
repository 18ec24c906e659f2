//! Objects with versions: compare-and-swap and a bounded log of changes to watch.
//!
//! With a data file, every change is on file before it is answered, so objects survive a restart of
//! the stand-in; the log of changes doesn't, and watches from before it are answered `compacted`.

use std::collections::{BTreeMap, VecDeque};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::failure::Failure;

/// Changes kept for watchers.
pub const CHANGES_KEPT: usize = 1_000;

/// Names an object.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ObjectKey {
    /// Its kind.
    pub kind: String,
    /// Its name within the kind.
    pub name: String,
}

/// An object as it stands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Its name.
    #[serde(flatten)]
    pub key: ObjectKey,
    /// The store's version when it was last changed.
    pub version: u64,
    /// Its content.
    pub document: Value,
}

/// One line of a watch.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum WatchLine {
    /// An object was created or replaced.
    Changed(Object),
    /// An object was deleted.
    Deleted {
        /// Its name.
        #[serde(flatten)]
        key: ObjectKey,
        /// The store's version of the deletion.
        version: u64,
    },
    /// Nothing changed up to this version; also shows that the watch is alive.
    Progress {
        /// The store's version.
        version: u64,
    },
    /// The watcher fell behind the changes that are kept; it has to list again.
    Compacted {
        /// The oldest version to watch from.
        oldest: u64,
    },
}

/// All objects of a kind, as listed.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ObjectList {
    /// The store's version of the list.
    pub store_version: u64,
    /// The objects.
    pub objects: Vec<Object>,
}

#[derive(Debug, Default, Serialize, Deserialize)]
struct Contents {
    version: u64,
    objects: Vec<Object>,
}

#[derive(Debug, Default)]
struct Inner {
    version: u64,
    objects: BTreeMap<ObjectKey, Object>,
    changes: VecDeque<(u64, WatchLine)>,
    /// Version before the oldest change kept.
    compacted: u64,
}

/// The store.
#[derive(Debug, Default)]
pub struct ObjectStore {
    inner: Mutex<Inner>,
    changed: Condvar,
    data_file: Option<PathBuf>,
}

impl ObjectStore {
    /// Opens a store, with the objects of the data file if there is one.
    pub fn open(data_file: Option<&Path>) -> io::Result<Self> {
        let contents = match data_file {
            Some(path) if path.exists() => serde_json::from_slice(&fs::read(path)?)?,
            _ => Contents::default(),
        };
        let objects = contents.objects.into_iter();
        Ok(Self {
            inner: Mutex::new(Inner {
                version: contents.version,
                objects: objects.map(|object| (object.key.clone(), object)).collect(),
                changes: VecDeque::new(),
                compacted: contents.version,
            }),
            changed: Condvar::new(),
            data_file: data_file.map(Path::to_owned),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder of this lock panics")
    }

    /// An object.
    pub fn get(&self, key: &ObjectKey) -> Result<Object, Failure> {
        let inner = self.lock();
        inner.objects.get(key).cloned().ok_or(Failure::NotFound)
    }

    /// All objects, or those of one kind.
    pub fn list(&self, kind: Option<&str>) -> ObjectList {
        let inner = self.lock();
        let objects = inner.objects.values();
        let wanted = objects.filter(|object| kind.is_none_or(|kind| object.key.kind == kind));
        ObjectList {
            store_version: inner.version,
            objects: wanted.cloned().collect(),
        }
    }

    /// Creates or replaces an object whose version is `expected` (0: that doesn't exist). Answers
    /// the new version.
    pub fn put(&self, key: ObjectKey, document: Value, expected: u64) -> Result<u64, Failure> {
        let mut inner = self.lock();
        inner.expect_version(&key, expected)?;
        inner.version += 1;
        let version = inner.version;
        let object = Object {
            key: key.clone(),
            version,
            document,
        };
        inner.objects.insert(key, object.clone());
        self.finish_change(inner, WatchLine::Changed(object))?;
        Ok(version)
    }

    /// Deletes an object whose version is `expected`. Answers the store's version of the deletion.
    pub fn delete(&self, key: ObjectKey, expected: u64) -> Result<u64, Failure> {
        let mut inner = self.lock();
        inner.expect_version(&key, expected)?;
        if inner.objects.remove(&key).is_none() {
            return Err(Failure::NotFound);
        }
        inner.version += 1;
        let version = inner.version;
        self.finish_change(inner, WatchLine::Deleted { key, version })?;
        Ok(version)
    }

    fn finish_change(
        &self,
        mut inner: MutexGuard<'_, Inner>,
        line: WatchLine,
    ) -> Result<(), Failure> {
        inner.log(line);
        if let Some(path) = &self.data_file {
            inner.save(path).map_err(|_| Failure::Unavailable)?;
        }
        self.changed.notify_all();
        Ok(())
    }

    /// Checks that all changes after a version are kept.
    pub fn check_watch(&self, after: u64) -> Result<(), Failure> {
        let inner = self.lock();
        if after < inner.compacted {
            return Err(Failure::Compacted(inner.compacted));
        }
        Ok(())
    }

    /// Waits for changes after a version, at most for `patience`. Without any it answers a
    /// [`WatchLine::Progress`]. Answers the version to go on from too.
    pub fn wait_for_changes(&self, after: u64, patience: Duration) -> (u64, Vec<WatchLine>) {
        let unchanged = |inner: &mut Inner| inner.version <= after;
        let waited = self
            .changed
            .wait_timeout_while(self.lock(), patience, unchanged);
        let (inner, _) = waited.expect("no holder of this lock panics");
        if after < inner.compacted {
            let oldest = inner.compacted;
            return (oldest, vec![WatchLine::Compacted { oldest }]);
        }
        let new = inner.changes.iter().filter(|(version, _)| *version > after);
        let mut lines: Vec<WatchLine> = new.map(|(_, line)| line.clone()).collect();
        if lines.is_empty() {
            let version = inner.version;
            lines.push(WatchLine::Progress { version });
        }
        (inner.version.max(after), lines)
    }
}

impl Inner {
    fn expect_version(&self, key: &ObjectKey, expected: u64) -> Result<(), Failure> {
        let current = self.objects.get(key).map_or(0, |object| object.version);
        if current != expected {
            return Err(Failure::VersionConflict(current));
        }
        Ok(())
    }

    fn log(&mut self, line: WatchLine) {
        self.changes.push_back((self.version, line));
        if self.changes.len() > CHANGES_KEPT
            && let Some((version, _)) = self.changes.pop_front()
        {
            self.compacted = version;
        }
    }

    fn save(&self, path: &Path) -> io::Result<()> {
        let contents = Contents {
            version: self.version,
            objects: self.objects.values().cloned().collect(),
        };
        let temporary = path.with_extension("new");
        fs::write(&temporary, serde_json::to_vec(&contents)?)?;
        fs::rename(temporary, path)
    }
}
