//! The engines that the platform lists.

use std::collections::HashMap;
use std::net::SocketAddr;

use rkyv::{Archive, Deserialize, Serialize};

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
    /// One life of the engine.
    pub instance: String,
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
}

/// An engine with the revision of the report.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct EngineEntry {
    /// The engine.
    pub engine: Engine,
    /// Revision of the list at which it last changed.
    pub revision: u64,
}

/// All engines, by instance.
#[derive(Debug, Clone, Default)]
pub struct EngineTable {
    entries: HashMap<String, EngineEntry>,
    removed: HashMap<String, u64>,
    at: u64,
}

impl EngineTable {
    /// Revision up to which the table is complete.
    pub fn at(&self) -> u64 {
        self.at
    }

    /// Takes in one entry unless a newer one is known; says whether anything changed.
    pub fn apply(&mut self, entry: EngineEntry) -> bool {
        let instance = entry.engine.instance.clone();
        let removed = self.removed.get(&instance).copied();
        let known = self.entries.get(&instance).map(|known| known.revision);
        if removed.max(known) >= Some(entry.revision) {
            return false;
        }
        self.removed.remove(&instance);
        self.entries.insert(instance, entry);
        true
    }

    /// Removes an engine as of this revision; says whether it was there.
    pub fn remove(&mut self, instance: &str, revision: u64) -> bool {
        let known = self.entries.get(instance).map(|known| known.revision);
        if known > Some(revision) {
            return false;
        }
        if self.removed.len() >= MAX_TOMBSTONES {
            self.removed.clear();
        }
        self.removed.insert(instance.to_owned(), revision);
        self.entries.remove(instance).is_some()
    }

    /// Takes in a complete list as of this revision. What it does not name is gone, unless it is newer.
    pub fn replace(&mut self, entries: Vec<EngineEntry>, at: u64) -> bool {
        if at < self.at {
            return false;
        }
        let named: std::collections::HashSet<String> = entries
            .iter()
            .map(|entry| entry.engine.instance.clone())
            .collect();
        let gone: Vec<String> = self
            .entries
            .values()
            .filter(|known| known.revision <= at && !named.contains(&known.engine.instance))
            .map(|known| known.engine.instance.clone())
            .collect();
        let mut changed = !gone.is_empty();
        for instance in gone {
            self.remove(&instance, at);
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

    /// Engines of a service that take new work.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Engine> {
        let engines = self.entries.values().map(|entry| &entry.engine);
        engines
            .filter(move |engine| engine.service == service && engine.state == EngineState::Ready)
    }
}
