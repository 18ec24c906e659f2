//! Actor that runs the dispatchers of this node's services.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::Sender;
use ridgeworks_configuration::{ConfigurationSet, MachineList};
use ridgeworks_domain::{BackendName, MonotonicTime, NodeId, ServiceKind, ServiceName};
use ridgeworks_scheduling::{Event, LoadReport, Ticket};
use stakker::{CX, Fwd, after};

use super::engine_poll::{EnginePolls, EngineReport, EngineUpdate};
use super::group::{DispatcherGroup, RequestDisposition};
use super::message::{DispatcherCommand, SlotRequest};
use super::status::ServiceStatus;
use crate::clock::Clock;
use crate::directory::Directory;
use crate::message::NodeMessage;
use crate::metrics::Metrics;
use crate::operator::OperatorReply;
use crate::outbound::BackendClient;
use crate::router::{Incoming, Outgoing};

const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Destinations of the role's effects.
pub struct DispatcherOutputs {
    /// Answers to owners and queries to replicas.
    pub outgoing: Fwd<Outgoing>,
    /// Sends engines requests to retain or release contexts.
    pub backends: Arc<BackendClient>,
    /// Metrics of each service are published here.
    pub metrics: Arc<Metrics>,
}

/// Actor of the dispatcher role, with one group for each service.
pub struct DispatcherRole {
    pub(super) clock: Clock,
    pub(super) directory: Directory,
    pub(super) outputs: DispatcherOutputs,
    pub(super) polls: EnginePolls,
    machines: Arc<MachineList>,
    pub(super) groups: BTreeMap<ServiceName, DispatcherGroup>,
    /// Process instance of each back end, from its latest health response that names one.
    pub(super) instances: BTreeMap<BackendName, u64>,
}

impl DispatcherRole {
    /// Starts the role without groups; they are created on demand.
    pub fn init(
        cx: CX![],
        directory: Directory,
        outputs: DispatcherOutputs,
        polls: EnginePolls,
    ) -> Option<Self> {
        let mut role = Self {
            clock: directory.clock(),
            directory,
            outputs,
            polls,
            machines: Arc::default(),
            groups: BTreeMap::new(),
            instances: BTreeMap::new(),
        };
        role.tick(cx);
        role.sweep(cx);
        Some(role)
    }

    /// Handles a command of an owner or a replica's answer; messages of other roles are ignored.
    pub fn receive(&mut self, _cx: CX![], incoming: Incoming) {
        match incoming.message {
            NodeMessage::ToDispatcher(command) => self.handle_command(command),
            NodeMessage::EndedRunsAnswer {
                service,
                ended,
                unknown,
            } => self.record_replica_answer(incoming.from, &service, &ended, &unknown),
            _ => {}
        }
    }

    /// Applies a newer configuration to all groups.
    pub fn update_configuration(&mut self, _cx: CX![], _configuration: Arc<ConfigurationSet>) {
        self.update_groups();
    }

    /// Applies a newer list of machines to all groups.
    pub fn update_machines(&mut self, _cx: CX![], machines: Arc<MachineList>) {
        self.machines = machines;
        self.update_groups();
    }

    /// Reports the loss of a node, and so of its owners, to all groups.
    pub fn node_lost(&mut self, _cx: CX![], node: NodeId) {
        let services: Vec<ServiceName> = self.groups.keys().cloned().collect();
        for service in services {
            self.handle(&service, Event::OwnerLost(node));
        }
    }

    /// Sends an operator the back ends and queues of each service that has a group on this node.
    pub fn report_status(&mut self, _cx: CX![], replies: Sender<OperatorReply>) {
        let now = self.clock.now();
        let configuration = self.directory.last_known();
        let mut status: Vec<ServiceStatus> = Vec::new();
        for group in self.groups.values() {
            let mut service = group.status(now);
            for queue in &mut service.queues {
                queue.name_classes(&configuration);
            }
            status.push(service);
        }
        // Sending fails if the operator has disconnected, which needs no handling.
        let _ = replies.send(OperatorReply::Services(status));
    }

    /// Handles an update from polling a back end.
    pub fn handle_engine_report(&mut self, _cx: CX![], report: EngineReport) {
        self.record_listing(&report);
        let event = match report.update {
            EngineUpdate::Load(load) => Event::LoadReport(load),
            EngineUpdate::Cache(event) => Event::CacheEvent(event),
            EngineUpdate::Listing(listing) => Event::CacheListing(listing),
            EngineUpdate::Leaving(backend) => Event::BackendLeaving(backend),
            EngineUpdate::Probed { backend, load } => {
                self.record_probe(&report.service, &backend, load);
                return;
            }
            EngineUpdate::Instance { backend, instance } => {
                self.instances.insert(backend, instance);
                return;
            }
        };
        self.handle(&report.service, event);
    }

    fn record_probe(
        &mut self,
        service: &ServiceName,
        backend: &BackendName,
        load: Option<LoadReport>,
    ) {
        let now = self.clock.now();
        let Some(group) = self.groups.get_mut(service) else {
            return;
        };
        let effects = group.record_probe(now, backend, load);
        self.carry_out(service, effects);
    }

    fn handle_command(&mut self, command: DispatcherCommand) {
        let service = command.service().clone();
        let now = self.clock.now();
        match command {
            DispatcherCommand::Enqueue { request, .. } => {
                let ticket = request.ticket;
                if self.is_new(&service, ticket) {
                    self.mark_run_active(&service, request.run);
                    let call = request.into_queued_call(now);
                    self.handle(&service, Event::Enqueue(call));
                }
            }
            DispatcherCommand::Cancel { ticket, .. } => {
                self.record_end(&service, ticket);
                self.handle(&service, Event::Cancel(ticket));
            }
            DispatcherCommand::Started { ticket, .. } => {
                self.handle(&service, Event::AttemptStarted(ticket));
            }
            DispatcherCommand::Running {
                request, backend, ..
            } => self.record_running_attempt(&service, request, backend),
            DispatcherCommand::Ended { end, .. } => {
                self.record_end(&service, end.ticket);
                self.handle(&service, Event::AttemptEnded(end));
            }
            DispatcherCommand::RunPaused { run, tool, .. } => {
                self.handle(&service, Event::RunPaused { run, tool });
            }
            DispatcherCommand::RunEnded { run, .. } => {
                self.handle(&service, Event::RunEnded(run));
            }
        }
    }

    fn record_running_attempt(
        &mut self,
        service: &ServiceName,
        request: SlotRequest,
        backend: BackendName,
    ) {
        let now = self.clock.now();
        self.ensure_group(service);
        let Some(group) = self.groups.get_mut(service) else {
            return;
        };
        if group.record_running(request.ticket) {
            self.mark_run_active(service, request.run);
            let call = request.into_queued_call(now);
            self.handle(service, Event::AttemptRunning { call, backend });
        }
    }

    fn is_new(&mut self, service: &ServiceName, ticket: Ticket) -> bool {
        let now = self.clock.now();
        self.ensure_group(service);
        // No group means that only the owner's configuration has the service. The owner repeats the
        // request, and gives up according to its own configuration.
        let Some(group) = self.groups.get_mut(service) else {
            return false;
        };
        match group.record_request(ticket, now) {
            RequestDisposition::New => true,
            RequestDisposition::Ignore => false,
            RequestDisposition::Resend(answer) => {
                self.send_answer(answer);
                false
            }
        }
    }

    pub(super) fn ensure_group(&mut self, service: &ServiceName) {
        let known = self.directory.last_known().service(service).is_some();
        if !known || self.groups.contains_key(service) {
            return;
        }
        let metrics = self.outputs.metrics.service(service);
        let group = DispatcherGroup::new(service.clone(), metrics);
        self.groups.insert(service.clone(), group);
        self.update_group(service);
    }

    fn record_end(&mut self, service: &ServiceName, ticket: Ticket) {
        let now = self.clock.now();
        if let Some(group) = self.groups.get_mut(service) {
            group.record_end(ticket, now);
        }
    }

    /// Drops groups of services that another node dispatches, once they are unused.
    fn drop_unused_groups(&mut self, now: MonotonicTime) {
        let mut unused = Vec::new();
        for (service, group) in &mut self.groups {
            let is_dispatcher = self.directory.is_own_service(service);
            if group.update_ownership(now, is_dispatcher) {
                unused.push(service.clone());
            }
        }
        for service in unused {
            let Some(group) = self.groups.remove(&service) else {
                continue;
            };
            for listed in group.listed() {
                self.polls.stop(&listed.backend.name);
                self.instances.remove(&listed.backend.name);
            }
            group.reset_gauges();
            log::info!("service={service} is dispatched by another node; dropped its unused group");
        }
    }

    fn update_groups(&mut self) {
        let services: Vec<ServiceName> = self.groups.keys().cloned().collect();
        for service in services {
            self.update_group(&service);
        }
    }

    fn update_group(&mut self, service: &ServiceName) {
        let now = self.clock.now();
        let configuration = self.directory.last_known();
        let kind = configuration.service(service).map(|found| found.kind);
        let Some(group) = self.groups.get_mut(service) else {
            return;
        };
        let update = group.update(now, &configuration, &self.machines);
        // A back end first listed after its service has left the configuration gets health polls
        // only, as a tool does. Polls that are already running keep their kind.
        let kind = kind.unwrap_or(ServiceKind::Tool);
        for listed in group.listed() {
            self.polls.start(&listed.backend, kind);
        }
        for gone in &update.gone {
            self.polls.stop(gone);
            self.instances.remove(gone);
        }
        self.carry_out(service, update.effects);
    }

    pub(super) fn handle(&mut self, service: &ServiceName, event: Event) {
        let now = self.clock.now();
        let Some(group) = self.groups.get_mut(service) else {
            return;
        };
        let effects = group.handle(now, event);
        self.carry_out(service, effects);
    }

    fn tick(&mut self, cx: CX![]) {
        let now = self.clock.now();
        self.drop_unused_groups(now);
        let services: Vec<ServiceName> = self.groups.keys().cloned().collect();
        for service in services {
            if let Some(group) = self.groups.get_mut(&service) {
                group.forget_ended(now);
                group.publish();
            }
            self.handle(&service, Event::Tick);
        }
        after!(TICK_INTERVAL, [cx], tick());
    }
}
