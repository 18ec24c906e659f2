//! The configuration that the operators put in force.

use std::collections::HashMap;
use std::time::Duration;

use rkyv::with::Skip;
use rkyv::{Archive, Deserialize, Serialize};

use crate::residency::Residency;
use crate::tenants::Tenant;
use crate::warm_up::WarmUpLimit;

/// How a request may be repeated, and what its answer looks like.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum RequestKind {
    /// May run more than once.
    Repeatable,
    /// May run once at most.
    NotRepeatable,
    /// Answered by a stream of events; may be repeated only where the route is resumable.
    Stream,
}

/// A service with its part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Its part, relative to the others.
    pub weight: u32,
}

/// Requests of one host under one path.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host that clients name.
    pub host: String,
    /// Beginning of the path, with a slash at both ends.
    pub path_prefix: String,
    /// How requests may be repeated.
    pub kind: RequestKind,
    /// The longest that a request is held, in milliseconds.
    pub timeout_ms: u64,
    /// Time for the answer or its first event, in milliseconds.
    pub target_ms: u64,
    /// Longest pause between events that is still in time, in milliseconds.
    pub gap_target_ms: u64,
    /// Rank of the requests, 0 first.
    pub priority: u8,
    /// Services that take the requests.
    pub services: Vec<WeightedService>,
    /// Engines that one attempt of a client may run on.
    pub max_attempts: u32,
    /// Whether a stream may be taken up at another engine.
    pub resumable: bool,
    /// Whether turns are kept, so that later turns bring only their new input.
    pub keeps_turns: bool,
    /// How long turns and ledgers are kept, in milliseconds.
    pub retention_ms: u64,
    /// Whether requests need no key, whoever the tenants are.
    pub is_public: bool,
    /// Where requests may be served. Travels in [`ConfigurationExtras`].
    #[rkyv(with = Skip)]
    pub residency: Residency,
}

impl Route {
    /// Whether a request of the route may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RequestKind::Repeatable => true,
            RequestKind::NotRepeatable => false,
            RequestKind::Stream => self.resumable,
        }
    }

    /// The longest that a request is held.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// How long turns and ledgers are kept.
    pub fn retention(&self) -> Duration {
        Duration::from_millis(self.retention_ms)
    }
}

/// What is known of the model engines of a service.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ModelEngine {
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens in each event.
    pub event_tokens: u64,
    /// Tokens that the memory of one engine holds.
    pub memory_tokens: u64,
}

/// A service and how its engines are to be treated.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Connections that one engine accepts from all callers.
    pub max_connections: u32,
    /// Given for services of model engines.
    pub model: Option<ModelEngine>,
    /// Given where engines bear less while they warm up. Travels in [`ConfigurationExtras`].
    #[rkyv(with = Skip)]
    pub warm_up: Option<WarmUpLimit>,
}

/// Bounds on what a client may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub max_header_bytes: u64,
    /// Bytes of a request's body.
    pub max_body_bytes: u64,
    /// Time for a request's head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time that a connection may rest, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// The whole configuration at one version.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct RouteConfiguration {
    /// Its version; only grows.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Bounds for clients.
    pub limits: CallerLimits,
    /// Who may make requests; `None` where nobody is asked for a key.
    pub tenants: Option<Vec<Tenant>>,
}

/// What a configuration says that nodes of the first protocol version do not know. It travels beside what they
/// know, so that they read the rest ([`RouteConfiguration`]; `docs/design/versions.md`).
#[derive(Debug, Clone, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ConfigurationExtras {
    /// Where requests of these routes may be served.
    pub routes: Vec<(String, Residency)>,
    /// Where requests of these tenants may be served.
    pub tenants: Vec<(String, Residency)>,
    /// What engines of these services bear while they warm up.
    pub warm_ups: Vec<(String, WarmUpLimit)>,
}

impl RouteConfiguration {
    /// What nodes of the first protocol version do not know of it.
    pub fn extras(&self) -> ConfigurationExtras {
        let routes = self.routes.iter();
        let routes = routes.filter(|route| !route.residency.is_anywhere());
        let tenants = self.tenants.iter().flatten();
        let tenants = tenants.filter(|tenant| !tenant.residency.is_anywhere());
        let services = self.services.iter();
        ConfigurationExtras {
            routes: routes
                .map(|route| (route.name.clone(), route.residency.clone()))
                .collect(),
            tenants: tenants
                .map(|tenant| (tenant.name.clone(), tenant.residency.clone()))
                .collect(),
            warm_ups: services
                .filter_map(|service| Some((service.name.clone(), service.warm_up?)))
                .collect(),
        }
    }

    /// Takes in what travelled beside it.
    pub fn set_extras(&mut self, extras: ConfigurationExtras) {
        let residencies: HashMap<String, Residency> = extras.routes.into_iter().collect();
        for route in &mut self.routes {
            route.residency = residencies.get(&route.name).cloned().unwrap_or_default();
        }
        let residencies: HashMap<String, Residency> = extras.tenants.into_iter().collect();
        for tenant in self.tenants.iter_mut().flatten() {
            tenant.residency = residencies.get(&tenant.name).cloned().unwrap_or_default();
        }
        let warm_ups: HashMap<String, WarmUpLimit> = extras.warm_ups.into_iter().collect();
        for service in &mut self.services {
            service.warm_up = warm_ups.get(&service.name).copied();
        }
    }
}
