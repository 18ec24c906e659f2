//! Rules that exclude engines from a request. Evaluated again before each send, because the
//! configuration and zone drains may have changed.

use std::borrow::Cow;
use std::rc::Rc;

use ridgeworks_routing::{
    EligibilityRule, Engine, Exclusion, Residency, ResidencyRule, SoftwareKey, SoftwareRule,
    ZoneDrains, first_exclusion,
};

use crate::call::Call;
use crate::entry::residency_of;
use crate::gateway::Gateway;

/// The rules in force for a request.
pub struct EngineRules<'a> {
    gateway: &'a Gateway,
    residency: Cow<'a, Residency>,
    /// Zone drains in force.
    drains: Option<Rc<ZoneDrains>>,
    software: Option<SoftwareRule>,
}

impl<'a> EngineRules<'a> {
    /// The rules that apply to a call now.
    pub fn current(gateway: &'a Gateway, call: &'a Call) -> Self {
        Self {
            gateway,
            residency: current_residency(gateway, call),
            drains: gateway.node.view.drains.in_force(),
            software: None,
        }
    }

    /// Also excludes engines of other software versions than this one, if given.
    pub fn with_software(self, software: Option<SoftwareKey>) -> Self {
        Self {
            software: software.map(SoftwareRule),
            ..self
        }
    }

    /// Calls `use_rules` with the rules; `last`, if given, is appended to them.
    pub fn with_rules<R>(
        &self,
        last: Option<&dyn EligibilityRule>,
        use_rules: impl FnOnce(&[&dyn EligibilityRule]) -> R,
    ) -> R {
        let residency = ResidencyRule {
            residency: &self.residency,
            regions: &self.gateway.node.regions,
        };
        let residency_rule: Option<&dyn EligibilityRule> = Some(&residency);
        let residency_rule = residency_rule.filter(|_| !self.residency.is_anywhere());
        let software = self.software.as_ref();
        let software = software.map(|rule| rule as &dyn EligibilityRule);
        let drained = self.drains.as_deref();
        let drained = drained.map(|drains| drains as &dyn EligibilityRule);
        let rules: Vec<&dyn EligibilityRule> = residency_rule
            .into_iter()
            .chain(software)
            .chain(drained)
            .chain(last)
            .collect();
        use_rules(&rules)
    }

    /// Why the engine is excluded; `None` if it may get the request.
    pub fn exclusion(&self, engine: &Engine) -> Option<Exclusion> {
        self.with_rules(None, |rules| first_exclusion(rules, engine))
    }
}

/// Where a call may be served and its data sent. Both the configuration at its entry and the
/// current one must allow a region, so that neither is violated.
pub fn current_residency<'a>(gateway: &Gateway, call: &'a Call) -> Cow<'a, Residency> {
    let routes = gateway.node.view.routes();
    let Some(routes) = routes.filter(|routes| routes.version() != call.version()) else {
        return Cow::Borrowed(&call.residency);
    };
    let Some(route) = routes.find(&call.host, &call.path) else {
        return Cow::Borrowed(&call.residency);
    };
    // Requests with a removed key are refused by `Exchange::key_refusal`.
    let tenant = routes.tenant(route, call.metadata.key).ok().flatten();
    let newest = residency_of(route, tenant.map(AsRef::as_ref));
    Cow::Owned(call.residency.intersection(&newest))
}
