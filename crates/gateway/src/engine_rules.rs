//! Why engines are passed over for a request, judged anew at each send: what is in force may have changed since.

use std::borrow::Cow;
use std::rc::Rc;

use ridgeworks_routing::{
    EligibilityRule, Engine, Exclusion, Residency, ResidencyRule, ZoneDrains, first_exclusion,
};

use crate::call::Call;
use crate::entry::residency_of;
use crate::gateway::Gateway;

/// What keeps a request from engines at this moment.
pub struct EngineRules<'a> {
    gateway: &'a Gateway,
    /// Where the request may be served.
    residency: Cow<'a, Residency>,
    /// Zones whose engines get nothing.
    drains: Option<Rc<ZoneDrains>>,
}

impl<'a> EngineRules<'a> {
    /// What keeps a call from engines now.
    pub fn now(gateway: &'a Gateway, call: &'a Call) -> Self {
        Self {
            gateway,
            residency: residency_now(gateway, call),
            drains: gateway.node.view.drains.in_force(),
        }
    }

    /// Calls with the rules, and with another one behind them.
    pub fn apply<R>(
        &self,
        last: Option<&dyn EligibilityRule>,
        apply: impl FnOnce(&[&dyn EligibilityRule]) -> R,
    ) -> R {
        let residency = ResidencyRule {
            residency: &self.residency,
            regions: &self.gateway.node.regions,
        };
        let resident: Option<&dyn EligibilityRule> = Some(&residency);
        let resident = resident.filter(|_| !self.residency.is_anywhere());
        let drained = self.drains.as_deref();
        let drained = drained.map(|drains| drains as &dyn EligibilityRule);
        let rules: Vec<&dyn EligibilityRule> =
            resident.into_iter().chain(drained).chain(last).collect();
        apply(&rules)
    }

    /// Why an engine does not get the request; `None` if it may.
    pub fn exclusion(&self, engine: &Engine) -> Option<Exclusion> {
        self.apply(None, |rules| first_exclusion(rules, engine))
    }
}

/// Where a call may be served and what it carries be sent. Both what was in force at its entry and what is now have to allow it:
/// whichever of the two an operator or a tenant looks at is kept.
pub fn residency_now<'a>(gateway: &Gateway, call: &'a Call) -> Cow<'a, Residency> {
    let routes = gateway.node.view.routes();
    let Some(routes) = routes.filter(|routes| routes.version() != call.version) else {
        return Cow::Borrowed(&call.residency);
    };
    let Some(route) = routes.find(&call.host, &call.path) else {
        return Cow::Borrowed(&call.residency);
    };
    // A key that was taken away is refused for that.
    let tenant = routes.tenant(route, call.metadata.key).ok().flatten();
    let newest = residency_of(route, tenant.map(AsRef::as_ref));
    Cow::Owned(call.residency.and(&newest))
}
