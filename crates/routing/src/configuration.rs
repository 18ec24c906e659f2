//! The configuration set by the operators.

use std::collections::HashMap;
use std::time::Duration;

use rkyv::with::Skip;
use rkyv::{Archive, Deserialize, Serialize};

use crate::residency::Residency;
use crate::tenants::Tenant;
use crate::warm_up::WarmUpLimit;

/// Whether a request may be repeated, and whether its answer is a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum RequestKind {
    /// May run more than once.
    Repeatable,
    /// May run at most once.
    NotRepeatable,
    /// Answered by an event stream; may be repeated only if the route is resumable.
    Stream,
}

#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct WeightedService {
    pub service: String,
    /// Weight relative to the route's other services; 0 gets no request.
    pub weight: u32,
}

/// Requests to one host under one path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Route {
    pub name: String,
    /// Host name without a port; ASCII case-insensitive.
    pub host: String,
    /// Prefix of the path, with a slash at both ends.
    pub path_prefix: String,
    pub kind: RequestKind,
    /// Longest time that the gateway holds a request, in milliseconds.
    pub timeout_ms: u64,
    /// Target for the time to the answer or its first event, in milliseconds.
    pub target_ms: u64,
    /// Target for the longest pause between events, in milliseconds.
    pub gap_target_ms: u64,
    /// 0 is the highest.
    pub priority: u8,
    /// Services that share the requests by weight.
    pub services: Vec<WeightedService>,
    /// Engines on which one attempt of a client may run.
    pub max_attempts: u32,
    /// Whether another engine may resume a stream.
    pub resumable: bool,
    /// Whether turns are stored, so that later turns send only their new input.
    pub keeps_turns: bool,
    /// How long turns and token ledgers are stored, in milliseconds.
    pub retention_ms: u64,
    /// Whether requests need no key even if the configuration has tenants.
    pub is_public: bool,
    /// Where requests may be served. Sent in [`ConfigurationExtras`].
    #[rkyv(with = Skip)]
    pub residency: Residency,
}

impl Route {
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            RequestKind::Repeatable => true,
            RequestKind::NotRepeatable => false,
            RequestKind::Stream => self.resumable,
        }
    }

    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    pub fn retention(&self) -> Duration {
        Duration::from_millis(self.retention_ms)
    }
}

/// Properties of the model engines of a service.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ModelEngine {
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens in each event.
    pub event_tokens: u64,
    /// Tokens that the prompt cache of one engine holds.
    pub memory_tokens: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Service {
    pub name: String,
    /// Connections that one engine accepts from all callers together.
    pub max_connections: u32,
    /// Set for services of model engines.
    pub model: Option<ModelEngine>,
    /// Set if engines have a rate limit while they warm up. Sent in [`ConfigurationExtras`].
    #[rkyv(with = Skip)]
    pub warm_up: Option<WarmUpLimit>,
}

/// Limits on what clients send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Size of a request's header section, in bytes.
    pub max_header_bytes: u64,
    /// Size of a request's body, in bytes.
    pub max_body_bytes: u64,
    /// Time to receive a request's header section, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time that a connection may be idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// The whole configuration at one version.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct RouteConfiguration {
    /// Increases with each change.
    pub version: u64,
    pub routes: Vec<Route>,
    pub services: Vec<Service>,
    pub limits: ClientLimits,
    /// `None` if requests need no key.
    pub tenants: Option<Vec<Tenant>>,
}

/// Parts of a configuration that nodes of the first protocol version do not know. They are sent next to the
/// [`RouteConfiguration`], so that such nodes can still read the rest (`docs/design/versions.md`).
#[derive(Debug, Clone, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ConfigurationExtras {
    /// Residency of routes, by name; routes without a restriction are omitted.
    pub routes: Vec<(String, Residency)>,
    /// Residency of tenants, by name; tenants without a restriction are omitted.
    pub tenants: Vec<(String, Residency)>,
    /// Rate limits of engines that warm up, by service.
    pub warm_ups: Vec<(String, WarmUpLimit)>,
}

impl RouteConfiguration {
    /// The parts that nodes of the first protocol version do not know.
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

    /// Sets the parts that were sent in the extras; what they do not name is reset.
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
