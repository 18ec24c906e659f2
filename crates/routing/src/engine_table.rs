//! The engines that the platform lists.

use std::collections::HashMap;
use std::net::SocketAddr;

use rkyv::with::Skip;
use rkyv::{Archive, Deserialize, Serialize};

use crate::engine_load::EngineKey;

/// Removed engines that are remembered, so that an older report cannot bring them back.
const MAX_TOMBSTONES: usize = 4_096;

/// Whether an engine takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum EngineState {
    /// It takes new work.
    Ready,
    /// It is about to leave.
    Draining,
}

/// One engine as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Engine {
    /// The identifier under which the platform lists it. An engine that starts again may have the one that it had.
    pub instance: String,
    /// When it started, in milliseconds since 1970; 0 where it does not say. Clocks jump, so this tells one run from another and says
    /// nothing of which came first.
    pub born_ms: u64,
    /// Service that it belongs to.
    pub service: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: EngineState,
    /// For how long it still warmed up when its entry was written, in milliseconds. Travels in [`EngineWarmUp`].
    #[rkyv(with = Skip)]
    pub warm_up_ms: u64,
}

impl Engine {
    /// The key of this run of the engine.
    pub fn key(&self) -> EngineKey {
        EngineKey::of_run(&self.instance, self.born_ms)
    }
}

/// An engine with the revision of the report.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct EngineEntry {
    /// The engine.
    pub engine: Engine,
    /// Revision of the list at which it last changed.
    pub revision: u64,
}

/// An engine that warms up, beside its entry: nodes of the first protocol version do not know of it.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct EngineWarmUp {
    /// The engine's instance.
    pub instance: String,
    /// For how long it still warmed up when its entry was written, in milliseconds.
    pub warm_up_ms: u64,
}

/// An engine that is gone.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Removal {
    /// The engine's instance.
    pub instance: String,
    /// Revision as of which it is gone.
    pub revision: u64,
}

/// What changed in a table of engines since a revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct EngineChanges {
    /// Whether this is the whole table: engines that it does not name are gone.
    pub is_whole: bool,
    /// Engines that are new or changed.
    pub entries: Vec<EngineEntry>,
    /// Engines that are gone.
    pub removals: Vec<Removal>,
    /// Revision up to which nothing is left out.
    pub at: u64,
}

impl EngineChanges {
    /// The engines among them that warm up.
    pub fn warm_ups(&self) -> Vec<EngineWarmUp> {
        let engines = self.entries.iter().map(|entry| &entry.engine);
        let warming = engines.filter(|engine| engine.warm_up_ms > 0);
        let warm_ups = warming.map(|engine| EngineWarmUp {
            instance: engine.instance.clone(),
            warm_up_ms: engine.warm_up_ms,
        });
        warm_ups.collect()
    }

    /// Takes in which of them warm up.
    pub fn set_warm_ups(&mut self, warm_ups: Vec<EngineWarmUp>) {
        let warm_ups = warm_ups
            .into_iter()
            .map(|start| (start.instance, start.warm_up_ms));
        let warm_ups: HashMap<String, u64> = warm_ups.collect();
        for entry in &mut self.entries {
            let start = warm_ups.get(&entry.engine.instance);
            entry.engine.warm_up_ms = start.copied().unwrap_or_default();
        }
    }
}

/// When an engine was removed.
#[derive(Debug, Clone, Copy)]
struct Tombstone {
    /// Reports up to this revision do not bring the engine back.
    revision: u64,
    /// Revision up to which the table was complete when it took the removal in. A removal may be told
    /// with the revision of the last change before it, so this is what tells others of it.
    reported_at: u64,
}

/// All engines, by instance.
#[derive(Debug, Clone, Default)]
pub struct EngineTable {
    entries: HashMap<String, EngineEntry>,
    removed: HashMap<String, Tombstone>,
    at: u64,
    /// Changes since older revisions are not known in full.
    complete_since: u64,
    newest: u64,
}

impl EngineTable {
    /// Revision up to which the table is complete.
    pub fn at(&self) -> u64 {
        self.at
    }

    /// Revision of the newest change in the table, never above [`EngineTable::at`].
    pub fn newest(&self) -> u64 {
        self.newest.min(self.at)
    }

    /// What changed after a revision up to which somebody else's table is complete.
    pub fn changes_since(&self, revision: u64) -> EngineChanges {
        if revision < self.complete_since {
            return EngineChanges {
                is_whole: true,
                entries: self.entries(),
                removals: Vec::new(),
                at: self.at,
            };
        }
        let changed = self.entries.values();
        let changed = changed.filter(|entry| entry.revision > revision);
        let removed = self.removed.iter();
        let removed = removed.filter(|(_, tombstone)| tombstone.reported_at > revision);
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

    /// Takes in another table's changes; says whether anything changed here.
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

    /// Takes in one entry unless a newer one is known; says whether anything changed.
    pub fn apply(&mut self, entry: EngineEntry) -> bool {
        let instance = entry.engine.instance.clone();
        let removed = self.removed.get(&instance);
        let removed = removed.map(|tombstone| tombstone.revision);
        let known = self.entries.get(&instance).map(|known| known.revision);
        if removed.max(known) >= Some(entry.revision) {
            return false;
        }
        self.removed.remove(&instance);
        self.newest = self.newest.max(entry.revision);
        self.entries.insert(instance, entry);
        true
    }

    /// Removes an engine as of this revision, told by somebody who is complete up to `reported_at`; says
    /// whether it was there.
    pub fn remove(&mut self, instance: &str, revision: u64, reported_at: u64) -> bool {
        let known = self.entries.get(instance).map(|known| known.revision);
        if known > Some(revision) {
            return false;
        }
        if self.removed.len() >= MAX_TOMBSTONES {
            self.removed.clear();
            self.complete_since = reported_at;
        }
        let reported_at = reported_at.max(revision);
        let earlier = self.removed.get(instance);
        if earlier.is_some_and(|earlier| earlier.revision >= revision) {
            return false;
        }
        self.newest = self.newest.max(reported_at);
        let tombstone = Tombstone {
            revision,
            reported_at,
        };
        self.removed.insert(instance.to_owned(), tombstone);
        self.entries.remove(instance).is_some()
    }

    /// Takes in a complete list as of this revision. What it does not name is gone, unless it is newer.
    pub fn replace(&mut self, entries: Vec<EngineEntry>, at: u64) -> bool {
        if at < self.at {
            return false;
        }
        if self.at == 0 {
            // What was removed before the first list is not known.
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

    /// Notes that all changes up to this revision are in.
    pub fn advance(&mut self, at: u64) {
        self.at = self.at.max(at);
    }

    /// All entries, for another node.
    pub fn entries(&self) -> Vec<EngineEntry> {
        self.entries.values().cloned().collect()
    }

    /// All entries.
    pub fn listed(&self) -> impl Iterator<Item = &EngineEntry> {
        self.entries.values()
    }

    /// Number of engines.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no engine.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// An engine by its instance.
    pub fn get(&self, instance: &str) -> Option<&Engine> {
        self.entries.get(instance).map(|entry| &entry.engine)
    }

    /// All engines.
    pub fn engines(&self) -> impl Iterator<Item = &Engine> {
        self.entries.values().map(|entry| &entry.engine)
    }

    /// Engines of a service that take new work.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Engine> {
        let engines = self.entries.values().map(|entry| &entry.engine);
        engines
            .filter(move |engine| engine.service == service && engine.state == EngineState::Ready)
    }
}
