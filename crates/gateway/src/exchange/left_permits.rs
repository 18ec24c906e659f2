//! Settles permits that their gateways left open, as soon as they count no longer.

use std::rc::Rc;
use std::time::Duration;

use ridgeworks_records::{EngineEnds, EngineRun, TurnId};
use ridgeworks_resident::clock::whole_ms;

use super::Exchange;
use super::engine_ends::{END_LIFETIME, digest_text};
use crate::engine_probe::listed_lifetime;
use crate::open_permits::{PermitResolution, SendBounds};

impl Exchange {
    /// Takes out the permits that count no longer, and settles them for all gateways.
    pub(super) fn settle_left_permits(&self, ends: &mut EngineEnds) {
        if ends.open_permits.is_empty() {
            return;
        }
        let bounds = SendBounds {
            // All tries of a request have the same route, and each ends with its deadline.
            send_time: self.call.route.timeout(),
            entry_lifetime: listed_lifetime(&self.gateway),
            end_lifetime: END_LIFETIME,
        };
        for (permit, run) in ends.open_permits.clone() {
            let listed_at = self.listed_at(run);
            let now = self.gateway.now();
            let mut permits = self.gateway.open_permits.borrow_mut();
            let Some(resolution) = permits.resolution(&permit, bounds, listed_at, now) else {
                continue;
            };
            ends.take_open_permit(&permit);
            if permits.settle(&permit) {
                let age = permits.age(&permit, now);
                self.settle_left_permit(permit, run, resolution, age);
            }
        }
    }

    /// The time of the newest list of the engines, if this run is in it.
    fn listed_at(&self, run: EngineRun) -> Option<Duration> {
        let view = &self.gateway.node.view;
        let age = view.engines_confirmation_age()?;
        let listed = view.with_engines(|table| {
            let mut engines = table.engines();
            engines.any(|engine| engine.key().0 == run.0)
        });
        // A list from before the start of this process proves nothing that this process read.
        self.gateway.now().checked_sub(age).filter(|_| listed)
    }

    fn settle_left_permit(
        &self,
        permit: TurnId,
        run: EngineRun,
        resolution: PermitResolution,
        age: Duration,
    ) {
        log::info!(
            target: "request",
            request = self.call.metadata.request_id.as_str(),
            digest = digest_text(self.call.digest).as_str(),
            permit_of = permit.request(),
            run = format!("{:016x}", run.0).as_str(),
            reason = resolution.name(),
            age_ms = whole_ms(age);
            "permit that its gateway left open counts no longer"
        );
        let gateway = Rc::clone(&self.gateway);
        let ledger = self.end_ledger();
        tokio::task::spawn_local(async move { ledger.settle_everywhere(&gateway, &permit).await });
    }
}
