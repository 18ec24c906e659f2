//! The scheduler of one service with its requests, back ends and sweep state.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use ridgeworks_configuration::{ConfigurationSet, MachineList};
use ridgeworks_domain::objects::Backend;
use ridgeworks_domain::{BackendName, MonotonicTime, NodeId, ServiceName};
use ridgeworks_scheduling::{
    Dispatcher, DispatcherSettings, Effect, Event, LoadReport, QueuedCall, Ticket,
};

use super::backend_list::{ListedBackend, backend_events, merge_backends};
use super::context_sweep::ContextSweep;
use super::message::DispatcherAnswer;
use super::partner_shares::partner_settings;
use super::probed_backends::ProbedBackends;
use super::status::{LastReports, ServiceStatus, queues};
use crate::metrics::ServiceMetrics;

/// Ended tickets are kept for this long, so that a late repeat of a request is not taken for a new
/// one.
const ENDED_TICKET_RETENTION: Duration = Duration::from_secs(10);
/// A group whose service another node dispatches is dropped after it has been unused for this long.
/// Until then it serves owners that have not yet learned of the change.
pub const UNUSED_GROUP_TIMEOUT: Duration = Duration::from_secs(2);

/// State of a request for a slot.
enum TicketState {
    Queued,
    Granted {
        answer: DispatcherAnswer,
        valid_until: MonotonicTime,
    },
    Running,
    Ended(MonotonicTime),
}

/// Queues and grants the calls of one service. Exists for a while after another node has become the
/// dispatcher; see [`UNUSED_GROUP_TIMEOUT`].
pub struct DispatcherGroup {
    service: ServiceName,
    scheduler: Dispatcher,
    listed: BTreeMap<BackendName, ListedBackend>,
    tickets: HashMap<Ticket, TicketState>,
    metrics: ServiceMetrics,
    contexts: ContextSweep,
    probed: ProbedBackends,
    /// The probed back ends, as last reported to the scheduler.
    known_backends: BTreeMap<BackendName, ListedBackend>,
    /// Calls that arrived before the initial probes completed or timed out, with their arrival
    /// times.
    held_calls: Vec<(QueuedCall, MonotonicTime)>,
    reports: LastReports,
    /// Running attempts at back ends that the scheduler does not know yet.
    deferred_attempts: Vec<(QueuedCall, BackendName)>,
    /// Time since which this node has not been the dispatcher and this group has received no
    /// request and had none held or queued; `None` otherwise.
    unused_since: Option<MonotonicTime>,
}

/// How to handle a request that may be a repeat.
pub enum RequestDisposition {
    /// Not seen before; enqueue it.
    New,
    /// Already queued, running or ended.
    Ignore,
    /// Already granted; send this answer again.
    Resend(DispatcherAnswer),
}

impl DispatcherGroup {
    /// Creates a group without back ends; [`Self::update`] adds them.
    pub fn new(service: ServiceName, metrics: ServiceMetrics) -> Self {
        let settings = DispatcherSettings {
            seed: rand::random(),
            ..DispatcherSettings::default()
        };
        Self {
            service,
            scheduler: Dispatcher::new(settings),
            listed: BTreeMap::new(),
            tickets: HashMap::new(),
            metrics,
            contexts: ContextSweep::default(),
            probed: ProbedBackends::default(),
            known_backends: BTreeMap::new(),
            held_calls: Vec::new(),
            reports: LastReports::default(),
            deferred_attempts: Vec::new(),
            unused_since: None,
        }
    }

    /// Back ends, queues and in-flight grants, for operators.
    pub fn status(&self, now: MonotonicTime) -> ServiceStatus {
        let waiting = self.scheduler.waiting();
        let waiting = waiting.map(|waiting| (&waiting.call, waiting.enqueued_at));
        let held_calls = self.held_calls.iter().map(|(call, since)| (call, *since));
        let listed = self.listed.values();
        ServiceStatus {
            service: self.service.clone(),
            backends: listed
                .map(|listed| self.reports.status_of(listed, now))
                .collect(),
            queues: queues(waiting.chain(held_calls), now),
            in_flight: self.scheduler.in_flight(),
            cache_event_age: self.reports.cache_event_age(now),
        }
    }

    /// Looks up a listed back end; `None` if it is not listed.
    pub fn backend(&self, name: &BackendName) -> Option<&Backend> {
        self.listed.get(name).map(|listed| &listed.backend)
    }

    /// State of the sweep for contexts of ended runs.
    pub fn contexts(&mut self) -> &mut ContextSweep {
        &mut self.contexts
    }

    /// All listed back ends, including those not probed yet.
    pub fn listed(&self) -> impl Iterator<Item = &ListedBackend> {
        self.listed.values()
    }

    /// Records a request and returns whether it is new or a repeat.
    pub fn record_request(&mut self, ticket: Ticket, now: MonotonicTime) -> RequestDisposition {
        self.unused_since = None;
        match self.tickets.get(&ticket) {
            None => {
                self.tickets.insert(ticket, TicketState::Queued);
                RequestDisposition::New
            }
            Some(TicketState::Granted {
                answer,
                valid_until,
            }) => RequestDisposition::Resend(answer.with_validity_until(*valid_until, now)),
            Some(TicketState::Queued | TicketState::Running | TicketState::Ended(_)) => {
                RequestDisposition::Ignore
            }
        }
    }

    /// Records the answer to a request and counts grants and refusals.
    pub fn record_answer(&mut self, answer: &DispatcherAnswer, now: MonotonicTime) {
        match answer {
            DispatcherAnswer::Granted {
                ticket,
                valid_for_ms,
                ..
            } => {
                self.metrics.grants.inc();
                let state = TicketState::Granted {
                    answer: answer.clone(),
                    valid_until: now + Duration::from_millis(*valid_for_ms),
                };
                self.tickets.insert(*ticket, state);
            }
            DispatcherAnswer::Refused { ticket, .. } => {
                self.metrics.refusals.inc();
                self.record_end(*ticket, now);
            }
            DispatcherAnswer::Preempt { .. } => {}
        }
    }

    /// Records an attempt that another dispatcher granted. Returns false if the ticket is already
    /// known.
    pub fn record_running(&mut self, ticket: Ticket) -> bool {
        if self.tickets.contains_key(&ticket) {
            return false;
        }
        self.tickets.insert(ticket, TicketState::Running);
        true
    }

    /// Updates since when the group has been unused: this node is not the dispatcher, and no call
    /// is held or queued. [`Self::record_request`] restarts this time. Returns true once it has
    /// reached [`UNUSED_GROUP_TIMEOUT`]; the caller then drops the group.
    pub fn update_ownership(&mut self, now: MonotonicTime, is_dispatcher: bool) -> bool {
        let has_queued_calls = !self.held_calls.is_empty() || self.scheduler.queued() > 0;
        if is_dispatcher || has_queued_calls {
            self.unused_since = None;
            return false;
        }
        let since = *self.unused_since.get_or_insert(now);
        now.since(since) >= UNUSED_GROUP_TIMEOUT
    }

    /// Resets the group's gauges; called before the group is dropped.
    pub fn reset_gauges(&self) {
        self.metrics.queued.set(0);
        self.metrics.in_flight.set(0);
    }

    /// Records that a request was cancelled, refused or completed.
    pub fn record_end(&mut self, ticket: Ticket, now: MonotonicTime) {
        self.tickets.insert(ticket, TicketState::Ended(now));
    }

    /// Removes tickets that ended longer ago than the retention time.
    pub fn forget_ended(&mut self, now: MonotonicTime) {
        self.tickets.retain(|_, state| match state {
            TicketState::Ended(ended) => now.since(*ended) < ENDED_TICKET_RETENTION,
            TicketState::Queued | TicketState::Granted { .. } | TicketState::Running => true,
        });
    }

    /// Publishes the gauges of queued calls and in-flight grants.
    pub fn publish(&self) {
        let count = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.metrics.queued.set(count(self.scheduler.queued()));
        self.metrics
            .in_flight
            .set(count(self.scheduler.in_flight()));
    }

    /// Passes an event to the scheduler. Calls are held until the initial probes have completed or
    /// timed out, and running attempts until the scheduler knows their back end.
    pub fn handle(&mut self, now: MonotonicTime, event: Event) -> Vec<Effect> {
        self.reports.record(now, &event);
        match event {
            Event::Enqueue(call) if !self.probed.is_complete(now, &self.listed) => {
                self.held_calls.push((call, now));
                return Vec::new();
            }
            Event::AttemptRunning { call, backend }
                if !self.known_backends.contains_key(&backend) =>
            {
                self.deferred_attempts.push((call, backend));
                return Vec::new();
            }
            Event::Cancel(ticket) => self.held_calls.retain(|(call, _)| call.ticket != ticket),
            Event::AttemptEnded(end) => {
                self.deferred_attempts
                    .retain(|(call, _)| call.ticket != end.ticket);
            }
            Event::OwnerLost(owner) => self.remove_requests_of_owner(owner),
            _ => {}
        }
        let mut effects = self.scheduler.handle(now, event);
        effects.extend(self.release_held_calls(now));
        effects
    }

    fn remove_requests_of_owner(&mut self, owner: NodeId) {
        self.held_calls
            .retain(|(call, _)| call.ticket.owner != owner);
        self.deferred_attempts
            .retain(|(call, _)| call.ticket.owner != owner);
        // An owner that was only disconnected sends its requests and running attempts again.
        self.tickets.retain(|ticket, _| ticket.owner != owner);
    }

    /// Records that the first probe of a back end finished. If its health response said that it is
    /// leaving, [`Event::BackendLeaving`] was handled earlier. The load is applied before held calls
    /// are released: otherwise they would be admitted against the default memory size, and more
    /// contexts could run than fit.
    pub fn record_probe(
        &mut self,
        now: MonotonicTime,
        name: &BackendName,
        load: Option<LoadReport>,
    ) -> Vec<Effect> {
        self.probed.insert(name);
        let mut effects = self.sync_backends(now);
        if let Some(load) = load {
            let event = Event::LoadReport(load);
            self.reports.record(now, &event);
            effects.extend(self.scheduler.handle(now, event));
        }
        effects.extend(self.release_held_calls(now));
        effects
    }

    /// Enqueues the held calls once the initial probes have completed or timed out.
    fn release_held_calls(&mut self, now: MonotonicTime) -> Vec<Effect> {
        if self.held_calls.is_empty() || !self.probed.is_complete(now, &self.listed) {
            return Vec::new();
        }
        let held_calls = std::mem::take(&mut self.held_calls).into_iter();
        held_calls
            .flat_map(|(call, _)| self.scheduler.handle(now, Event::Enqueue(call)))
            .collect()
    }

    /// Reports changes of the probed back ends to the scheduler, then the deferred attempts at back
    /// ends that it now knows.
    fn sync_backends(&mut self, now: MonotonicTime) -> Vec<Effect> {
        let known_backends = self.probed.probed_among(&self.listed);
        let mut events = backend_events(&self.known_backends, &known_backends);
        self.known_backends = known_backends;
        let is_known = |(_, backend): &mut (QueuedCall, BackendName)| {
            self.known_backends.contains_key(backend)
        };
        let running = self.deferred_attempts.extract_if(.., is_known);
        events.extend(running.map(|(call, backend)| Event::AttemptRunning { call, backend }));
        let events = events.into_iter();
        events
            .flat_map(|event| self.scheduler.handle(now, event))
            .collect()
    }

    /// Applies the current partner shares and back ends.
    pub fn update(
        &mut self,
        now: MonotonicTime,
        configuration: &ConfigurationSet,
        machines: &MachineList,
    ) -> GroupUpdate {
        let mut update = GroupUpdate::default();
        let shares = Event::SharesChanged(partner_settings(configuration));
        update.effects.extend(self.scheduler.handle(now, shares));
        let listed = merge_backends(&self.service, configuration, machines);
        let gone = self
            .listed
            .keys()
            .filter(|name| !listed.contains_key(*name));
        update.gone = gone.cloned().collect();
        for name in &update.gone {
            self.contexts.backend_gone(name);
            self.probed.remove(name);
            self.reports.remove(name);
        }
        self.listed = listed;
        update.effects.extend(self.sync_backends(now));
        update
    }
}

/// Result of [`DispatcherGroup::update`].
#[derive(Default)]
pub struct GroupUpdate {
    /// Effects of the scheduler, to be applied by the caller.
    pub effects: Vec<Effect>,
    /// Back ends that are no longer listed and need no polling.
    pub gone: Vec<BackendName>,
}
