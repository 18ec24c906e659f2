//! Tenants: who a request belongs to, by the key that it brings (`docs/operations/tenants.md`).

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::sync::Arc;

use rkyv::with::Skip;
use rkyv::{Archive, Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::residency::Residency;

/// Digest of a key. The key itself is forgotten once it is read, so that no log, message, or image of the memory
/// holds one; and looking up a digest takes no time that depends on how much of a key was guessed right.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key; `None` for an empty one, which is no key.
    pub fn of(key: &[u8]) -> Option<Self> {
        (!key.is_empty()).then(|| Self(Sha256::digest(key).into()))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// How many requests of a tenant may run, over all gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct RateLimit {
    /// Requests in a thousand seconds.
    pub per_ks: u64,
    /// Requests beyond that at once.
    pub burst: u64,
}

/// Somebody for whom requests are made.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Tenant {
    /// Name, which engines are told.
    pub name: String,
    /// Digests of the keys that are in force.
    pub keys: Vec<KeyDigest>,
    /// Rank of the requests, 0 first, in place of their routes'.
    pub priority: Option<u8>,
    /// `None` where there is no limit.
    pub limit: Option<RateLimit>,
    /// Where requests may be served. Travels in [`crate::ConfigurationExtras`].
    #[rkyv(with = Skip)]
    pub residency: Residency,
}

/// Why tenants cannot be put in force. Names a key by its place and never by its text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TenantFault {
    /// The name is empty or cannot stand in a header.
    BadName {
        /// Place of the tenant, from 0.
        position: usize,
    },
    /// Two tenants have this name.
    SameName(String),
    /// A key is empty.
    EmptyKey {
        /// Name of the tenant.
        tenant: String,
        /// Place of the key, from 0.
        position: usize,
    },
    /// Two tenants have the same key.
    SharedKey {
        /// Name of the tenant that has it as well.
        first: String,
        /// Name of the tenant.
        tenant: String,
        /// Place of the key, from 0.
        position: usize,
    },
    /// The rate or the burst is negative or no number.
    BadLimit(String),
}

impl fmt::Display for TenantFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BadName { position } => {
                write!(formatter, "tenant {position}: the name cannot be told")
            }
            Self::SameName(name) => write!(formatter, "tenant {name:?} stands there twice"),
            Self::EmptyKey { tenant, position } => {
                write!(formatter, "tenant {tenant:?}: key {position} is empty")
            }
            Self::SharedKey {
                first,
                tenant,
                position,
            } => write!(
                formatter,
                "tenant {tenant:?}: key {position} is one of tenant {first:?}"
            ),
            Self::BadLimit(tenant) => {
                write!(
                    formatter,
                    "tenant {tenant:?}: rate and burst must be 0 or more"
                )
            }
        }
    }
}

impl std::error::Error for TenantFault {}

/// Whether these tenants can be told apart by name and by key.
pub fn check_tenants(tenants: &[Tenant]) -> Result<(), TenantFault> {
    let mut names = HashSet::new();
    let mut holders: HashMap<KeyDigest, &str> = HashMap::new();
    for (position, tenant) in tenants.iter().enumerate() {
        let name = tenant.name.as_str();
        if name.is_empty() || name.chars().any(char::is_control) {
            return Err(TenantFault::BadName { position });
        }
        if !names.insert(name) {
            return Err(TenantFault::SameName(tenant.name.clone()));
        }
        for (position, key) in tenant.keys.iter().enumerate() {
            let first = *holders.entry(*key).or_insert(name);
            if first != name {
                return Err(TenantFault::SharedKey {
                    first: first.to_owned(),
                    tenant: tenant.name.clone(),
                    position,
                });
            }
        }
    }
    Ok(())
}

/// Tenants, arranged for look-ups: one costs the same however many there are.
#[derive(Debug, Clone)]
pub struct TenantTable {
    holders: HashMap<KeyDigest, Arc<Tenant>>,
}

impl TenantTable {
    /// Arranges tenants.
    pub fn new(tenants: &[Tenant]) -> Self {
        let tenants = tenants.iter().map(|tenant| Arc::new(tenant.clone()));
        let holders = tenants.flat_map(|tenant| {
            let keys = tenant.keys.clone();
            keys.into_iter().map(move |key| (key, Arc::clone(&tenant)))
        });
        Self {
            holders: holders.collect(),
        }
    }

    /// Who holds each key.
    pub fn holders(&self) -> impl Iterator<Item = &Tenant> {
        self.holders.values().map(AsRef::as_ref)
    }

    /// Who holds a key.
    pub fn holder(&self, key: KeyDigest) -> Option<&Arc<Tenant>> {
        self.holders.get(&key)
    }
}
