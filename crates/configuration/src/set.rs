//! The complete configuration at one revision.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use ridgeworks_domain::objects::{Backend, Partner, PoolSplit, PriorityClass, Program, Service};
use ridgeworks_domain::{BackendName, ClassName, PartnerName, ProgramName, ServiceName};

use crate::object::{ConfigurationObject, ObjectKey, ObjectKind, VersionedObject};
use crate::revision::{ObjectVersion, OperationId, Revision};
use crate::update::{MAX_RECORDED_OPERATIONS, OperationRecord, Update};

/// Why an update cannot be applied to a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpdateMismatch {
    /// The delta starts from this revision, which is newer than the configuration.
    BaseAhead(Revision),
    /// The update does not result in a newer revision.
    NotNewer,
}

/// All objects with their versions at one revision. Cloning shares the objects but copies the maps;
/// use an [`Arc`] to share the set.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConfigurationSet {
    revision: Revision,
    objects: BTreeMap<ObjectKey, Arc<VersionedObject>>,
    operations: VecDeque<OperationRecord>,
}

macro_rules! look_up {
    ($(#[$documentation:meta])* $function:ident, $kind:ident, $name:ty) => {
        $(#[$documentation])*
        pub fn $function(&self, name: &$name) -> Option<&$kind> {
            match self.object(&ObjectKey::new(ObjectKind::$kind, name.as_str())) {
                Some(ConfigurationObject::$kind(found)) => Some(found),
                _ => None,
            }
        }
    };
}

impl ConfigurationSet {
    /// The revision; zero for the empty configuration.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The object with its version.
    pub fn get(&self, key: &ObjectKey) -> Option<&VersionedObject> {
        self.objects.get(key).map(Arc::as_ref)
    }

    /// The object without its version.
    pub fn object(&self, key: &ObjectKey) -> Option<&ConfigurationObject> {
        self.get(key).map(|versioned| &versioned.object)
    }

    /// Version of the object; [`ObjectVersion::ABSENT`] if it does not exist.
    pub fn version(&self, key: &ObjectKey) -> ObjectVersion {
        self.get(key)
            .map_or(ObjectVersion::ABSENT, |versioned| versioned.version)
    }

    /// All objects in order of their keys.
    pub fn objects(&self) -> impl Iterator<Item = &VersionedObject> {
        self.objects.values().map(Arc::as_ref)
    }

    look_up!(
        /// The partner of this name.
        partner, Partner, PartnerName
    );
    look_up!(
        /// The priority class of this name.
        class, PriorityClass, ClassName
    );
    look_up!(
        /// The service of this name.
        service, Service, ServiceName
    );
    look_up!(
        /// The program of this name.
        program, Program, ProgramName
    );
    look_up!(
        /// The back end of this name.
        backend, Backend, BackendName
    );

    /// The partner whose token has this SHA-256 hash in lower-case hexadecimal. Comparing hashes
    /// instead of tokens keeps the timing from revealing a token.
    pub fn partner_by_token_hash(&self, token_sha256: &str) -> Option<&Partner> {
        let mut partners = self.partners();
        partners.find(|partner| partner.token_sha256 == token_sha256)
    }

    /// All partners.
    pub fn partners(&self) -> impl Iterator<Item = &Partner> {
        self.objects()
            .filter_map(|versioned| match &versioned.object {
                ConfigurationObject::Partner(partner) => Some(partner),
                _ => None,
            })
    }

    /// All services in order of their names.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.objects()
            .filter_map(|versioned| match &versioned.object {
                ConfigurationObject::Service(service) => Some(service),
                _ => None,
            })
    }

    /// All back ends in order of their names.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.objects()
            .filter_map(|versioned| match &versioned.object {
                ConfigurationObject::Backend(backend) => Some(backend),
                _ => None,
            })
    }

    /// The split of the shared pool; `None` if none was created or proposed yet. It may have no shares
    /// while its first proposal is open.
    pub fn pool_split(&self) -> Option<&PoolSplit> {
        match self.object(&ObjectKey::pool_split()) {
            Some(ConfigurationObject::PoolSplit(split)) => Some(split),
            _ => None,
        }
    }

    /// The record of an operation; `None` if it was never applied or is older than the recorded ones.
    pub fn operation(&self, operation: OperationId) -> Option<&OperationRecord> {
        let mut records = self.operations.iter();
        records.find(|record| record.operation == operation)
    }

    /// Recorded operations after revision `since`.
    pub fn operations_since(&self, since: Revision) -> Vec<OperationId> {
        let newer = |record: &&OperationRecord| record.revision > since;
        let records = self.operations.iter().filter(newer);
        records.map(|record| record.operation).collect()
    }

    /// Whether every operation after revision `since` is still recorded.
    pub fn has_operations_since(&self, since: Revision) -> bool {
        self.revision.0.saturating_sub(since.0) <= self.operations.len() as u64
    }

    /// Returns the next revision, with one object created or replaced.
    pub(crate) fn with_object(&self, operation: OperationId, object: ConfigurationObject) -> Self {
        let mut next = self.clone();
        next.advance(operation, object.key());
        let version = next.revision.into();
        let versioned = VersionedObject { version, object };
        next.insert(versioned);
        next
    }

    /// Returns the next revision, with one object deleted.
    pub(crate) fn without_object(&self, operation: OperationId, key: &ObjectKey) -> Self {
        let mut next = self.clone();
        next.advance(operation, key.clone());
        next.objects.remove(key);
        next
    }

    /// The complete configuration as an update.
    pub fn snapshot(&self) -> Update {
        Update {
            base: None,
            revision: self.revision,
            objects: self.objects().cloned().collect(),
            removed: Vec::new(),
            operations: self.operations.iter().cloned().collect(),
        }
    }

    /// The update from revision `known` to this one: a delta if all operations since then are
    /// recorded, otherwise a snapshot; `None` if `known` is not older.
    pub fn update_since(&self, known: Revision) -> Option<Update> {
        if known >= self.revision {
            return None;
        }
        if known == Revision::ZERO || !self.has_operations_since(known) {
            return Some(self.snapshot());
        }
        let newer = |record: &&OperationRecord| record.revision > known;
        let operations: Vec<OperationRecord> =
            self.operations.iter().filter(newer).cloned().collect();
        let touched: BTreeSet<&ObjectKey> = operations.iter().map(|record| &record.key).collect();
        let mut objects = Vec::new();
        let mut removed = Vec::new();
        for key in touched {
            match self.get(key) {
                Some(versioned) => objects.push(versioned.clone()),
                None => removed.push(key.clone()),
            }
        }
        Some(Update {
            base: Some(known),
            revision: self.revision,
            objects,
            removed,
            operations,
        })
    }

    /// Applies an update. A delta contains the final state of every object that it changes, so its
    /// base may be this revision or an earlier one.
    pub fn apply(&self, update: &Update) -> Result<Self, UpdateMismatch> {
        if update.revision <= self.revision {
            return Err(UpdateMismatch::NotNewer);
        }
        match update.base {
            None => Ok(Self::from_snapshot(update)),
            Some(base) if base > self.revision => Err(UpdateMismatch::BaseAhead(base)),
            Some(_) => Ok(self.apply_delta(update)),
        }
    }

    /// The configuration of a snapshot.
    pub fn from_snapshot(update: &Update) -> Self {
        let mut set = Self::default();
        for versioned in &update.objects {
            set.insert(versioned.clone());
        }
        set.operations = update.operations.iter().cloned().collect();
        set.revision = update.revision;
        set
    }

    fn apply_delta(&self, update: &Update) -> Self {
        let mut next = self.clone();
        for key in &update.removed {
            next.objects.remove(key);
        }
        for versioned in &update.objects {
            next.insert(versioned.clone());
        }
        let newer = |record: &&OperationRecord| record.revision > self.revision;
        next.operations
            .extend(update.operations.iter().filter(newer).cloned());
        next.prune_operations();
        next.revision = update.revision;
        next
    }

    fn insert(&mut self, versioned: VersionedObject) {
        let key = versioned.object.key();
        self.objects.insert(key, Arc::new(versioned));
    }

    fn advance(&mut self, operation: OperationId, key: ObjectKey) {
        self.revision = self.revision.next();
        self.operations.push_back(OperationRecord {
            operation,
            revision: self.revision,
            key,
        });
        self.prune_operations();
    }

    fn prune_operations(&mut self) {
        let surplus = self
            .operations
            .len()
            .saturating_sub(MAX_RECORDED_OPERATIONS);
        self.operations.drain(..surplus);
    }
}
