//! Lets no engine keep the context of a run that ended, whoever should have told.

use std::time::Duration;

use ridgeworks_domain::{NodeId, RunId, ServiceKind, ServiceName};
use ridgeworks_scheduling::Event;
use stakker::{CX, after};

use super::engine_poll::{EngineNews, EngineReport};
use super::role::DispatcherRole;
use crate::message::NodeMessage;
use crate::router::Outgoing;

/// Time between two steps of the sweep.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

impl DispatcherRole {
    /// Takes a step: asks replicas about contexts, and releases those of ended runs.
    pub(super) fn sweep(&mut self, cx: CX![]) {
        self.take_up_services();
        let services: Vec<ServiceName> = self.groups.keys().cloned().collect();
        for service in services {
            if self.directory.is_own_service(&service) {
                self.ask_replicas(&service);
                self.release_ended(&service);
            }
        }
        after!(SWEEP_INTERVAL, [cx], sweep());
    }

    /// Notes what an engine holds.
    pub(super) fn note_listing(&mut self, report: &EngineReport) {
        let now = self.clock.now();
        let EngineNews::Listing(listing) = &report.news else {
            return;
        };
        if let Some(group) = self.groups.get_mut(&report.service) {
            let runs = listing.contexts.iter().map(|context| context.run);
            group.contexts().listing(now, &listing.backend, runs);
        }
    }

    /// Notes that a run makes a call.
    pub(super) fn note_use(&mut self, service: &ServiceName, run: RunId) {
        let now = self.clock.now();
        if let Some(group) = self.groups.get_mut(service) {
            group.contexts().used(now, run);
        }
    }

    /// Takes a replica's answer.
    pub(super) fn ended_runs(
        &mut self,
        from: NodeId,
        service: &ServiceName,
        ended: &[RunId],
        unknown: &[RunId],
    ) {
        let now = self.clock.now();
        if let Some(group) = self.groups.get_mut(service) {
            group.contexts().answer(now, from, ended, unknown);
        }
    }

    /// Back ends of a service are followed from the moment that this node becomes its dispatcher, also before the first
    /// call comes: contexts at its engines may be of runs that ended before.
    fn take_up_services(&mut self) {
        let configuration = self.directory.last_known();
        for service in configuration.services() {
            if service.kind == ServiceKind::Model && self.directory.is_own_service(&service.name) {
                self.ensure_group(&service.name);
            }
        }
    }

    fn ask_replicas(&mut self, service: &ServiceName) {
        let now = self.clock.now();
        let Some(group) = self.groups.get_mut(service) else {
            return;
        };
        let directory = &self.directory;
        let replicas_of = |run| directory.present_replicas_of(run);
        for question in group.contexts().questions(now, replicas_of) {
            let message = NodeMessage::EndedRunsQuery {
                service: service.clone(),
                runs: question.runs,
            };
            let to = question.to;
            self.outputs.outgoing.fwd(Outgoing { to, message });
        }
    }

    fn release_ended(&mut self, service: &ServiceName) {
        let Some(group) = self.groups.get_mut(service) else {
            return;
        };
        for context in group.contexts().take_ended() {
            // The scheduler forgets it too, and releases what is stored of it later.
            self.handle(service, Event::RunEnded(context.run));
            for backend in &context.backends {
                self.release_context(service, context.run, backend);
            }
        }
    }
}
