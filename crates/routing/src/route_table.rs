//! Finds the route of a request.

use std::collections::HashMap;
use std::sync::Arc;

use crate::configuration::{ClientLimits, Route, RouteConfiguration, Service};
use crate::tenants::{KeyDigest, Tenant, TenantTable};
use crate::warm_up::WarmUpLimit;

/// No tenant holds the request's key, or the request has none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnknownKey;

/// One version of the configuration, indexed for lookups.
#[derive(Debug, Clone)]
pub struct RouteTable {
    version: u64,
    /// Routes by host, those with the longest prefix first.
    routes: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<String, Arc<Service>>,
    limits: ClientLimits,
    tenants: Option<TenantTable>,
}

impl RouteTable {
    /// Indexes a configuration.
    pub fn new(configuration: &RouteConfiguration) -> Self {
        let mut routes: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            let host = route.host.to_ascii_lowercase();
            let host_routes = routes.entry(host).or_default();
            host_routes.push(Arc::new(route.clone()));
        }
        for host_routes in routes.values_mut() {
            host_routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let services = configuration.services.iter();
        Self {
            version: configuration.version,
            routes,
            services: services
                .map(|service| (service.name.clone(), Arc::new(service.clone())))
                .collect(),
            limits: configuration.limits,
            tenants: configuration.tenants.as_deref().map(TenantTable::new),
        }
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn limits(&self) -> ClientLimits {
        self.limits
    }

    /// The route of the host with the longest prefix of the path. The host may carry a port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host);
        let host_routes = self.routes.get(&name.to_ascii_lowercase())?;
        host_routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Whether the configuration has tenants, so that requests need keys.
    pub fn has_tenants(&self) -> bool {
        self.tenants.is_some()
    }

    /// The tenant that holds the key; `None` if the request needs no key.
    pub fn tenant(
        &self,
        route: &Route,
        key: Option<KeyDigest>,
    ) -> Result<Option<&Arc<Tenant>>, UnknownKey> {
        let Some(tenants) = self.tenants.as_ref().filter(|_| !route.is_public) else {
            return Ok(None);
        };
        let holder = key.and_then(|key| tenants.holder(key));
        holder.map(Some).ok_or(UnknownKey)
    }

    pub fn has_route(&self, name: &str) -> bool {
        let mut routes = self.routes.values().flatten();
        routes.any(|route| route.name == name)
    }

    /// Rate limits of engines that warm up, by service.
    pub fn warm_ups(&self) -> HashMap<&str, WarmUpLimit> {
        let services = self.services.values();
        let limited =
            services.filter_map(|service| Some((service.name.as_str(), service.warm_up?)));
        limited.collect()
    }

    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values().flatten().map(AsRef::as_ref)
    }

    /// Tenants that hold keys; a tenant is repeated for each of its keys.
    pub fn tenants(&self) -> impl Iterator<Item = &Tenant> {
        self.tenants.iter().flat_map(TenantTable::holders)
    }

    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }
}
