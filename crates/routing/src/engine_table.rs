//! The engines listed by the platform.

use std::collections::HashMap;
use std::net::SocketAddr;

use rkyv::with::Skip;
use rkyv::{Archive, Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::engine_load::EngineKey;

/// Removed engines that are remembered, so that an older report cannot add them again.
const MAX_TOMBSTONES: usize = 4_096;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum EngineState {
    /// The engine accepts new requests.
    Ready,
    /// The engine is about to stop and accepts no new requests.
    Draining,
}

/// One engine as listed by the platform.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Engine {
    /// Identifier in the platform's list. An engine may keep it when it restarts.
    pub instance: String,
    /// Start of the engine's run, in milliseconds since 1970; 0 if unknown. Since clocks jump, it identifies
    /// a run but does not order runs.
    pub born_ms: u64,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    /// Requests that the engine processes at once.
    pub slots: u32,
    pub state: EngineState,
    /// Remaining warm-up time when the entry was written, in milliseconds. Sent in [`EngineWarmUp`].
    #[rkyv(with = Skip)]
    pub warm_up_ms: u64,
    /// Version of the engine's software; versions have no order. Sent in [`EngineSoftware`].
    #[rkyv(with = Skip)]
    pub software: String,
}

/// Key of the software version of a service's engines. What engines of two keys write in a stream does not fit together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SoftwareKey(pub u64);

impl SoftwareKey {
    /// The key of a version, which is compared within its service only.
    pub fn of(service: &str, version: &str) -> Self {
        Self(xxh3_64_with_seed(
            version.as_bytes(),
            xxh3_64(service.as_bytes()),
        ))
    }
}

impl Engine {
    /// The key of the engine's software version.
    pub fn software_key(&self) -> SoftwareKey {
        SoftwareKey::of(&self.service, &self.software)
    }

    /// The key of this run of the engine.
    pub fn key(&self) -> EngineKey {
        EngineKey::of_run(&self.instance, self.born_ms)
    }
}

/// An engine with the revision of its entry.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct EngineEntry {
    pub engine: Engine,
    /// Revision of the list at which the entry last changed.
    pub revision: u64,
}

/// Warm-up of an engine. Sent next to its entry, since nodes of the first protocol version do not know it.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct EngineWarmUp {
    pub instance: String,
    /// Remaining warm-up time when the entry was written, in milliseconds.
    pub warm_up_ms: u64,
}

/// Software version of an engine. Sent next to its entry, since nodes of protocol version 1 do not know it.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct EngineSoftware {
    pub instance: String,
    pub version: String,
}

/// An engine that was removed.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Removal {
    pub instance: String,
    /// Revision as of which it is removed.
    pub revision: u64,
}

/// Changes of a table of engines since a revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct EngineChanges {
    /// Whether this is the whole table, so that engines without an entry are removed.
    pub is_whole: bool,
    /// Engines that are new or changed.
    pub entries: Vec<EngineEntry>,
    /// Engines that were removed.
    pub removals: Vec<Removal>,
    /// Revision up to which the changes are complete.
    pub at: u64,
}

impl EngineChanges {
    /// Warm-ups of the engines among the entries.
    pub fn warm_ups(&self) -> Vec<EngineWarmUp> {
        let engines = self.entries.iter().map(|entry| &entry.engine);
        let warming = engines.filter(|engine| engine.warm_up_ms > 0);
        let warm_ups = warming.map(|engine| EngineWarmUp {
            instance: engine.instance.clone(),
            warm_up_ms: engine.warm_up_ms,
        });
        warm_ups.collect()
    }

    /// Sets the warm-ups of the entries; engines that are not named are warm.
    pub fn set_warm_ups(&mut self, warm_ups: Vec<EngineWarmUp>) {
        let warm_ups = warm_ups
            .into_iter()
            .map(|warm_up| (warm_up.instance, warm_up.warm_up_ms));
        let warm_ups: HashMap<String, u64> = warm_ups.collect();
        for entry in &mut self.entries {
            let warm_up = warm_ups.get(&entry.engine.instance);
            entry.engine.warm_up_ms = warm_up.copied().unwrap_or_default();
        }
    }

    /// Software versions of the engines among the entries.
    pub fn software_versions(&self) -> Vec<EngineSoftware> {
        let engines = self.entries.iter().map(|entry| &entry.engine);
        let versions = engines.map(|engine| EngineSoftware {
            instance: engine.instance.clone(),
            version: engine.software.clone(),
        });
        versions.collect()
    }

    /// Sets the software versions of the entries.
    pub fn set_software_versions(&mut self, versions: Vec<EngineSoftware>) {
        let versions = versions
            .into_iter()
            .map(|software| (software.instance, software.version));
        let mut versions: HashMap<String, String> = versions.collect();
        for entry in &mut self.entries {
            let version = versions.remove(&entry.engine.instance);
            entry.engine.software = version.unwrap_or_default();
        }
    }
}

/// The removal of an engine.
#[derive(Debug, Clone, Copy)]
struct Tombstone {
    /// Entries up to this revision do not add the engine again.
    revision: u64,
    /// Revision up to which the reporting table was complete. A removal may be reported with the revision of
    /// the last change before it, so [`EngineTable::changes_since`] uses this revision instead.
    reporter_revision: u64,
}

/// All engines, by instance.
#[derive(Debug, Clone, Default)]
pub struct EngineTable {
    entries: HashMap<String, EngineEntry>,
    removed: HashMap<String, Tombstone>,
    /// Revision up to which the table is complete.
    at: u64,
    /// Revision since which all changes are known.
    complete_since: u64,
    newest: u64,
}

impl EngineTable {
    /// Revision up to which the table is complete.
    pub fn at(&self) -> u64 {
        self.at
    }

    /// Revision of the newest change in the table; at most [`EngineTable::at`].
    pub fn newest(&self) -> u64 {
        self.newest.min(self.at)
    }

    /// Changes for a table that is complete up to a revision. The whole table if older changes are not known.
    pub fn changes_since(&self, revision: u64) -> EngineChanges {
        if revision < self.complete_since {
            return self.whole();
        }
        let changed = self.entries.values();
        let changed = changed.filter(|entry| entry.revision > revision);
        let removed = self.removed.iter();
        let removed = removed.filter(|(_, tombstone)| tombstone.reporter_revision > revision);
        EngineChanges {
            is_whole: false,
            entries: changed.cloned().collect(),
            removals: removed
                .map(|(instance, tombstone)| Removal {
                    instance: instance.clone(),
                    revision: tombstone.revision,
                })
                .collect(),
            at: self.at,
        }
    }

    /// The whole table, for one that knows nothing yet.
    pub fn whole(&self) -> EngineChanges {
        EngineChanges {
            is_whole: true,
            entries: self.entries(),
            removals: Vec::new(),
            at: self.at,
        }
    }

    /// Applies the changes of another table; returns whether this one changed.
    pub fn apply_changes(&mut self, changes: EngineChanges) -> bool {
        let EngineChanges {
            is_whole,
            entries,
            removals,
            at,
        } = changes;
        if is_whole {
            return self.replace(entries, at);
        }
        let mut changed = false;
        for entry in entries {
            changed |= self.apply(entry);
        }
        for removal in removals {
            changed |= self.remove(&removal.instance, removal.revision, at);
        }
        self.advance(at);
        changed
    }

    /// Applies an entry unless a newer one is known; returns whether the table changed.
    pub fn apply(&mut self, entry: EngineEntry) -> bool {
        if !self.is_newer(&entry) {
            return false;
        }
        let instance = entry.engine.instance.clone();
        self.removed.remove(&instance);
        self.newest = self.newest.max(entry.revision);
        self.entries.insert(instance, entry);
        true
    }

    /// Whether an entry is newer than what is known of its engine.
    pub fn is_newer(&self, entry: &EngineEntry) -> bool {
        let instance = &entry.engine.instance;
        let removed = self.removed.get(instance);
        let removed = removed.map(|tombstone| tombstone.revision);
        let known = self.entries.get(instance).map(|known| known.revision);
        removed.max(known) < Some(entry.revision)
    }

    /// Removes an engine as of a revision, as reported by a table that is complete up to `reporter_revision`;
    /// returns whether the engine was listed.
    pub fn remove(&mut self, instance: &str, revision: u64, reporter_revision: u64) -> bool {
        let known = self.entries.get(instance).map(|known| known.revision);
        if known > Some(revision) {
            return false;
        }
        if self.removed.len() >= MAX_TOMBSTONES {
            self.removed.clear();
            self.complete_since = reporter_revision;
        }
        let reporter_revision = reporter_revision.max(revision);
        let earlier = self.removed.get(instance);
        if earlier.is_some_and(|earlier| earlier.revision >= revision) {
            return false;
        }
        self.newest = self.newest.max(reporter_revision);
        let tombstone = Tombstone {
            revision,
            reporter_revision,
        };
        self.removed.insert(instance.to_owned(), tombstone);
        self.entries.remove(instance).is_some()
    }

    /// Applies a complete list as of a revision. Engines that it does not name are removed unless they are
    /// newer. Returns whether the table changed.
    pub fn replace(&mut self, entries: Vec<EngineEntry>, at: u64) -> bool {
        if at < self.at {
            return false;
        }
        if self.at == 0 {
            // Removals before the first list are not known.
            self.complete_since = at;
        }
        let listed_instances: std::collections::HashSet<String> = entries
            .iter()
            .map(|entry| entry.engine.instance.clone())
            .collect();
        let missing: Vec<String> = self
            .entries
            .values()
            .filter(|known| {
                known.revision <= at && !listed_instances.contains(&known.engine.instance)
            })
            .map(|known| known.engine.instance.clone())
            .collect();
        let mut changed = !missing.is_empty();
        for instance in missing {
            self.remove(&instance, at, at);
        }
        for entry in entries {
            changed |= self.apply(entry);
        }
        self.advance(at);
        changed
    }

    /// Records that all changes up to this revision are applied.
    pub fn advance(&mut self, at: u64) {
        self.at = self.at.max(at);
    }

    pub fn entries(&self) -> Vec<EngineEntry> {
        self.entries.values().cloned().collect()
    }

    pub fn listed(&self) -> impl Iterator<Item = &EngineEntry> {
        self.entries.values()
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub fn get(&self, instance: &str) -> Option<&Engine> {
        self.entries.get(instance).map(|entry| &entry.engine)
    }

    pub fn engines(&self) -> impl Iterator<Item = &Engine> {
        self.entries.values().map(|entry| &entry.engine)
    }

    /// The software version of a service's ready engines, if they have the same.
    pub fn only_ready_software(&self, service: &str) -> Option<SoftwareKey> {
        let mut ready = self.ready(service);
        let first = ready.next()?;
        let is_same = ready.all(|engine| engine.software == first.software);
        is_same.then(|| first.software_key())
    }

    /// An engine of this software version, ready or draining.
    pub fn engine_of(&self, software: SoftwareKey) -> Option<&Engine> {
        let mut engines = self.engines();
        engines.find(|engine| engine.software_key() == software)
    }

    /// Engines of a service that accept new requests.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Engine> {
        let engines = self.entries.values().map(|entry| &entry.engine);
        engines
            .filter(move |engine| engine.service == service && engine.state == EngineState::Ready)
    }
}
