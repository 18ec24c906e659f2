//! Tenants and the lookup of a request's tenant by its key (`docs/operations/tenants.md`).

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::sync::Arc;

use rkyv::with::Skip;
use rkyv::{Archive, Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::residency::Residency;

/// Digest of a key. The key itself is dropped once it is read, so that no log, message or memory dump
/// contains it. The time of a digest lookup does not depend on how much of a key was guessed.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key; `None` if the key is empty.
    pub fn of(key: &[u8]) -> Option<Self> {
        (!key.is_empty()).then(|| Self(Sha256::digest(key).into()))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// Rate limit of a tenant's requests over all gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct RateLimit {
    /// Requests in 1000 seconds.
    pub per_ks: u64,
    /// Requests allowed at once in addition.
    pub burst: u64,
}

/// A customer or application on whose behalf requests are made.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Tenant {
    /// Sent to engines.
    pub name: String,
    /// Digests of the valid keys.
    pub keys: Vec<KeyDigest>,
    /// Replaces the priority of the route; 0 is the highest.
    pub priority: Option<u8>,
    /// `None` for no limit.
    pub limit: Option<RateLimit>,
    /// Where requests may be served. Sent in [`crate::ConfigurationExtras`].
    #[rkyv(with = Skip)]
    pub residency: Residency,
}

/// Why a set of tenants is invalid. Keys are identified by position, never by text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TenantError {
    /// The name is empty or contains a control character.
    BadName {
        /// Position of the tenant, from 0.
        position: usize,
    },
    /// Two tenants have this name.
    SameName(String),
    /// A key is empty.
    EmptyKey {
        /// Name of the tenant.
        tenant: String,
        /// Position of the key, from 0.
        position: usize,
    },
    /// Two tenants have the same key.
    SharedKey {
        /// Name of the tenant that was listed first with the key.
        first: String,
        /// Name of the tenant that was listed later with the same key.
        tenant: String,
        /// Position of the key, from 0.
        position: usize,
    },
    /// The rate or the burst is negative or not a number. Contains the tenant's name.
    BadLimit(String),
}

impl fmt::Display for TenantError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BadName { position } => {
                write!(
                    formatter,
                    "tenant {position}: the name is empty or contains a control character"
                )
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
                "tenant {tenant:?}: key {position} is also a key of tenant {first:?}"
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

impl std::error::Error for TenantError {}

/// Checks that names are valid and that no two tenants share a name or a key.
pub fn check_tenants(tenants: &[Tenant]) -> Result<(), TenantError> {
    let mut names = HashSet::new();
    let mut holders: HashMap<KeyDigest, &str> = HashMap::new();
    for (position, tenant) in tenants.iter().enumerate() {
        let name = tenant.name.as_str();
        if name.is_empty() || name.chars().any(char::is_control) {
            return Err(TenantError::BadName { position });
        }
        if !names.insert(name) {
            return Err(TenantError::SameName(tenant.name.clone()));
        }
        for (position, key) in tenant.keys.iter().enumerate() {
            let first = *holders.entry(*key).or_insert(name);
            if first != name {
                return Err(TenantError::SharedKey {
                    first: first.to_owned(),
                    tenant: tenant.name.clone(),
                    position,
                });
            }
        }
    }
    Ok(())
}

/// Index of tenants by key; the time of a lookup does not depend on their number.
#[derive(Debug, Clone)]
pub struct TenantTable {
    holders: HashMap<KeyDigest, Arc<Tenant>>,
}

impl TenantTable {
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

    /// The tenants of all keys; a tenant is repeated for each of its keys.
    pub fn holders(&self) -> impl Iterator<Item = &Tenant> {
        self.holders.values().map(AsRef::as_ref)
    }

    pub fn holder(&self, key: KeyDigest) -> Option<&Arc<Tenant>> {
        self.holders.get(&key)
    }
}
