//! Actor of the dispatcher role.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::Sender;
use ridgeworks_configuration::{ConfigurationSet, MachineList};
use ridgeworks_domain::{BackendName, MonotonicTime, NodeId, ServiceKind, ServiceName};
use ridgeworks_scheduling::{Event, LoadReport, Ticket};
use stakker::{CX, Fwd, after};

use super::engine_poll::{EngineNews, EnginePolls, EngineReport};
use super::group::{DispatcherGroup, Repeat};
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

/// Where the role's effects go.
pub struct DispatcherOutputs {
    /// Messages to owners.
    pub outgoing: Fwd<Outgoing>,
    /// Calls of back ends.
    pub backends: Arc<BackendClient>,
    /// Counters of the role.
    pub metrics: Arc<Metrics>,
}

/// The dispatcher role.
pub struct DispatcherRole {
    pub(super) clock: Clock,
    pub(super) directory: Directory,
    pub(super) outputs: DispatcherOutputs,
    pub(super) polls: EnginePolls,
    machines: Arc<MachineList>,
    pub(super) groups: BTreeMap<ServiceName, DispatcherGroup>,
    /// Which start of each back end answered last.
    pub(super) instances: BTreeMap<BackendName, u64>,
}

impl DispatcherRole {
    /// Starts the role without any queue.
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

    /// Takes a message from an owner.
    pub fn receive(&mut self, _cx: CX![], incoming: Incoming) {
        match incoming.message {
            NodeMessage::ToDispatcher(command) => self.command(command),
            NodeMessage::EndedRunsAnswer {
                service,
                ended,
                unknown,
            } => self.ended_runs(incoming.from, &service, &ended, &unknown),
            _ => {}
        }
    }

    /// Takes a newer configuration.
    pub fn in_force(&mut self, _cx: CX![], _configuration: Arc<ConfigurationSet>) {
        self.update_groups();
    }

    /// Takes a newer list of machines.
    pub fn machines(&mut self, _cx: CX![], machines: Arc<MachineList>) {
        self.machines = machines;
        self.update_groups();
    }

    /// Takes the news that a node is gone.
    pub fn node_lost(&mut self, _cx: CX![], node: NodeId) {
        let services: Vec<ServiceName> = self.groups.keys().cloned().collect();
        for service in services {
            self.handle(&service, Event::OwnerLost(node));
        }
    }

    /// Answers an operator who asks for back ends and queues.
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
        // An operator that left is told nothing.
        let _ = replies.send(OperatorReply::Services(status));
    }

    /// Takes news of a polled back end.
    pub fn engine(&mut self, _cx: CX![], report: EngineReport) {
        self.note_listing(&report);
        let event = match report.news {
            EngineNews::Load(load) => Event::LoadReport(load),
            EngineNews::Cache(event) => Event::CacheEvent(event),
            EngineNews::Listing(listing) => Event::CacheListing(listing),
            EngineNews::Leaving(backend) => Event::BackendLeaving(backend),
            EngineNews::Checked { backend, load } => {
                self.note_checked(&report.service, &backend, load);
                return;
            }
            EngineNews::Instance { backend, instance } => {
                self.instances.insert(backend, instance);
                return;
            }
        };
        self.handle(&report.service, event);
    }

    fn note_checked(
        &mut self,
        service: &ServiceName,
        backend: &BackendName,
        load: Option<LoadReport>,
    ) {
        let now = self.clock.now();
        let Some(group) = self.groups.get_mut(service) else {
            return;
        };
        let effects = group.note_checked(now, backend, load);
        self.carry_out(service, effects);
    }

    fn command(&mut self, command: DispatcherCommand) {
        let service = command.service().clone();
        let now = self.clock.now();
        match command {
            DispatcherCommand::Enqueue { request, .. } => {
                let ticket = request.ticket;
                if self.is_new(&service, ticket) {
                    self.note_use(&service, request.run);
                    let call = request.queued_call(now);
                    self.handle(&service, Event::Enqueue(call));
                }
            }
            DispatcherCommand::Cancel { ticket, .. } => {
                self.note_end(&service, ticket);
                self.handle(&service, Event::Cancel(ticket));
            }
            DispatcherCommand::Started { ticket, .. } => {
                self.handle(&service, Event::AttemptStarted(ticket));
            }
            DispatcherCommand::Running {
                request, backend, ..
            } => self.running(&service, request, backend),
            DispatcherCommand::Ended { end, .. } => {
                self.note_end(&service, end.ticket);
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

    fn running(&mut self, service: &ServiceName, request: SlotRequest, backend: BackendName) {
        let now = self.clock.now();
        self.ensure_group(service);
        let Some(group) = self.groups.get_mut(service) else {
            return;
        };
        if group.note_running(request.ticket) {
            self.note_use(service, request.run);
            let call = request.queued_call(now);
            self.handle(service, Event::AttemptRunning { call, backend });
        }
    }

    fn is_new(&mut self, service: &ServiceName, ticket: Ticket) -> bool {
        let now = self.clock.now();
        self.ensure_group(service);
        // The owner may have a newer configuration. It asks again, and gives up by its own one.
        let Some(group) = self.groups.get_mut(service) else {
            return false;
        };
        match group.note_request(ticket, now) {
            Repeat::New => true,
            Repeat::Nothing => false,
            Repeat::Answered(answer) => {
                self.answer(answer);
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

    fn note_end(&mut self, service: &ServiceName, ticket: Ticket) {
        let now = self.clock.now();
        if let Some(group) = self.groups.get_mut(service) {
            group.note_end(ticket, now);
        }
    }

    /// Drops the groups that another node dispatches now, once no owner asks here any more.
    fn drop_unused_groups(&mut self, now: MonotonicTime) {
        let mut unused = Vec::new();
        for (service, group) in &mut self.groups {
            let own = self.directory.is_own_service(service);
            if group.note_ownership(now, own) {
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
            group.withdraw();
            log::info!("service={service} dispatched elsewhere");
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
        // Of a service that is no longer configured only the health matters.
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
