//! Why engines are passed over for a request, judged anew at each send: what is in force may have changed since.

use std::borrow::Cow;

use ridgeworks_routing::{Bar, Engine, EngineRule, Residency, ResidencyRule, first_bar};

use crate::entry::{Call, residency_of};
use crate::gateway::Gateway;

/// What keeps a request from engines at this moment.
pub struct EngineRules<'a> {
    gateway: &'a Gateway,
    /// Where the request may be served.
    residency: Cow<'a, Residency>,
}

impl<'a> EngineRules<'a> {
    /// What keeps a call from engines now.
    pub fn now(gateway: &'a Gateway, call: &'a Call) -> Self {
        Self {
            gateway,
            residency: residency_now(gateway, call),
        }
    }

    /// Calls with the rules.
    pub fn apply<R>(&self, apply: impl FnOnce(&[&dyn EngineRule]) -> R) -> R {
        if self.residency.is_anywhere() {
            return apply(&[]);
        }
        apply(&[&ResidencyRule {
            residency: &self.residency,
            regions: &self.gateway.node.regions,
        }])
    }

    /// Why an engine does not get the request; `None` if it may.
    pub fn bar(&self, engine: &Engine) -> Option<Bar> {
        self.apply(|rules| first_bar(rules, engine))
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
