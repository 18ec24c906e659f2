//! Periodically releases engine contexts of ended runs, also where no owner reported the end.

use std::time::Duration;

use ridgeworks_domain::{NodeId, RunId, ServiceKind, ServiceName};
use ridgeworks_scheduling::Event;
use stakker::{CX, after};

use super::engine_poll::{EngineReport, EngineUpdate};
use super::role::DispatcherRole;
use crate::message::NodeMessage;
use crate::router::Outgoing;

const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

impl DispatcherRole {
    /// Runs one sweep step: queries replicas about listed runs and releases contexts of ended ones.
    pub(super) fn sweep(&mut self, cx: CX![]) {
        self.start_owned_services();
        let services: Vec<ServiceName> = self.groups.keys().cloned().collect();
        for service in services {
            if self.directory.is_own_service(&service) {
                self.query_replicas(&service);
                self.release_ended(&service);
            }
        }
        after!(SWEEP_INTERVAL, [cx], sweep());
    }

    /// Records the contexts of an engine's cache listing; ignores other updates.
    pub(super) fn record_listing(&mut self, report: &EngineReport) {
        let now = self.clock.now();
        let EngineUpdate::Listing(listing) = &report.update else {
            return;
        };
        if let Some(group) = self.groups.get_mut(&report.service) {
            let runs = listing.contexts.iter().map(|context| context.run);
            group.contexts().record_listing(now, &listing.backend, runs);
        }
    }

    /// Records a call of a run, which defers the next query to its replicas about whether the run
    /// has ended.
    pub(super) fn mark_run_active(&mut self, service: &ServiceName, run: RunId) {
        let now = self.clock.now();
        if let Some(group) = self.groups.get_mut(service) {
            group.contexts().mark_active(now, run);
        }
    }

    /// Records a replica's answer to a query about ended runs.
    pub(super) fn record_replica_answer(
        &mut self,
        from: NodeId,
        service: &ServiceName,
        ended: &[RunId],
        unknown: &[RunId],
    ) {
        let now = self.clock.now();
        if let Some(group) = self.groups.get_mut(service) {
            group.contexts().record_answer(now, from, ended, unknown);
        }
    }

    /// Starts polling back ends within one sweep interval of this node becoming the dispatcher of a
    /// model service, without waiting for a call: engines may hold contexts of runs that ended
    /// earlier.
    fn start_owned_services(&mut self) {
        let configuration = self.directory.last_known();
        for service in configuration.services() {
            if service.kind == ServiceKind::Model && self.directory.is_own_service(&service.name) {
                self.ensure_group(&service.name);
            }
        }
    }

    fn query_replicas(&mut self, service: &ServiceName) {
        let now = self.clock.now();
        let Some(group) = self.groups.get_mut(service) else {
            return;
        };
        let directory = &self.directory;
        let replicas_of = |run| directory.present_replicas_of(run);
        for query in group.contexts().queries(now, replicas_of) {
            let message = NodeMessage::EndedRunsQuery {
                service: service.clone(),
                runs: query.runs,
            };
            let to = query.to;
            self.outputs.outgoing.fwd(Outgoing { to, message });
        }
    }

    fn release_ended(&mut self, service: &ServiceName) {
        let Some(group) = self.groups.get_mut(service) else {
            return;
        };
        for context in group.contexts().take_ended() {
            // `RunEnded` makes the scheduler forget the run, and release contexts of it that are
            // stored later. The loop below releases those that engines have listed.
            self.handle(service, Event::RunEnded(context.run));
            for backend in &context.backends {
                self.release_context(service, context.run, backend);
            }
        }
    }
}
