//! The configuration role of a node: the state machine that the node's configuration actor drives.

mod messages;
mod renewal;

use std::sync::Arc;

use ridgeworks_domain::{MonotonicTime, NodeId, Refusal, RefusalReason};

use crate::acceptance::Coordinator;
use crate::change::ChangeRequest;
use crate::clients::Clients;
use crate::counters::ConfigurationCounters;
use crate::effect::{Effect, Event, OperatorAnswer, PlatformAnswer, Ticket, Unavailable};
use crate::lease::{ConfigurationLease, LeaseGrant};
use crate::machines::MachineList;
use crate::outbox::Outbox;
use crate::quorum::Voters;
use crate::relay::{RelayAssignment, RelaySelector, RenewalTarget};
use crate::revision::{RequestId, Revision};
use crate::set::ConfigurationSet;
use crate::settings::{ConfigurationSettings, Member, READ_TIMEOUT, RENEW_INTERVAL, TICK_INTERVAL};
use crate::voter::Voter;
use crate::voter_state::StoredVoter;
use crate::watcher::{Observation, Watcher};

/// A read that is answered by the first grant whose renewal was sent at or after its arrival.
#[derive(Debug)]
struct PendingRead {
    ticket: Ticket,
    arrived: MonotonicTime,
}

/// The configuration role of one node.
#[derive(Debug)]
pub struct ConfigurationRole {
    node: NodeId,
    voters: Voters,
    lease: ConfigurationLease,
    relays: RelaySelector,
    clients: Clients,
    voter: Option<Voter>,
    coordinator: Coordinator,
    watcher: Watcher,
    machines: Arc<MachineList>,
    reads: Vec<PendingRead>,
    outbox: Outbox,
    /// Whether clients must be sent a newer configuration or list of machines.
    push_pending: bool,
    last_push: Option<MonotonicTime>,
    /// Revision of the configuration in force that was last reported to the host.
    reported_revision: Revision,
    /// Version of the list of machines that was last reported to the host.
    reported_machines: u64,
    /// Whether the last report to the host said that the lease is valid.
    reported_ready: bool,
    counters: ConfigurationCounters,
}

impl ConfigurationRole {
    /// Starts the role. `stored` is the durable state of a voter; `None` if the disk is empty or the
    /// node is not a voter.
    pub fn new(
        settings: ConfigurationSettings,
        stored: Option<StoredVoter>,
        now: MonotonicTime,
    ) -> Self {
        let node = settings.node;
        let voters = Voters::new(settings.voters);
        let rank = voters.rank(node);
        let voter = rank.map(|_| Voter::new(node, voters.clone(), stored, now));
        let mut lease = ConfigurationLease::new(voters.clone());
        if let Some(voter) = &voter {
            lease.sets.stage(Arc::clone(voter.durable()));
        }
        Self {
            node,
            lease,
            relays: RelaySelector::default(),
            clients: Clients::default(),
            voter,
            coordinator: Coordinator::new(voters.clone()),
            watcher: Watcher::new(rank),
            machines: Arc::new(MachineList::default()),
            reads: Vec::new(),
            outbox: Outbox::new(node, settings.seed),
            push_pending: false,
            last_push: None,
            reported_revision: Revision::ZERO,
            reported_machines: 0,
            reported_ready: false,
            counters: ConfigurationCounters::default(),
            voters,
        }
    }

    /// Handles one event and returns the effects to carry out, in order.
    pub fn handle(&mut self, now: MonotonicTime, event: Event) -> Vec<Effect> {
        match event {
            Event::Message { from, message } => self.message(now, from, message),
            Event::PlatformAnswer { request, answer } => {
                self.platform_answer(now, request, answer);
            }
            Event::PlatformWatch(event) => {
                let observation = self.watcher.watch_event(event, now);
                self.apply_observation(observation);
            }
            Event::Tick => self.tick(now),
            Event::Change { ticket, request } => self.change(now, ticket, request),
            Event::Read { ticket } => self.read(now, ticket),
            Event::Flushed { write } => self.flushed(write),
            Event::Members(members) => self.set_members(&members),
        }
        self.handle_local(now);
        self.announce(now);
        let effects = self.outbox.take();
        self.counters.count(&effects);
        effects
    }

    /// The configuration in force, or a refusal with [`RefusalReason::ConfigurationStale`] if the
    /// lease has expired. To be called with the current time before any work is accepted.
    pub fn in_force(&self, now: MonotonicTime) -> Result<&Arc<ConfigurationSet>, Refusal> {
        if self.lease.is_valid(now) {
            return Ok(self.lease.set());
        }
        let stale = RefusalReason::ConfigurationStale;
        Err(Refusal::retry_after(stale, RENEW_INTERVAL))
    }

    /// The last configuration in force, even if the lease has expired. Only for display and for work
    /// that is already accepted.
    pub fn last_known(&self) -> &Arc<ConfigurationSet> {
        self.lease.set()
    }

    /// The newest known list of machines, which may lag behind the platform.
    pub fn machines(&self) -> &Arc<MachineList> {
        &self.machines
    }

    /// Counts since the start of the role.
    pub fn counters(&self) -> ConfigurationCounters {
        self.counters
    }

    /// Identifier of this node.
    pub fn node(&self) -> NodeId {
        self.node
    }

    /// Number of nodes that renew their leases through this one.
    pub fn client_count(&self) -> usize {
        self.clients.len()
    }

    /// Whether this node is a voter whose answers count towards a quorum.
    pub fn is_eligible_voter(&self) -> bool {
        self.voter.as_ref().is_some_and(Voter::is_eligible)
    }

    fn handle_local(&mut self, now: MonotonicTime) {
        while let Some(message) = self.outbox.next_local() {
            self.message(now, self.node, message);
        }
    }

    fn try_grant(&mut self, now: MonotonicTime) {
        let grant = self.lease.try_grant(now);
        self.report_changes();
        if let Some(grant) = grant {
            self.counters.leases_granted += 1;
            self.answer_clients(&grant);
            self.answer_reads(&grant);
        }
    }

    /// Reports a newer configuration in force, and a newer list of machines, to the host.
    fn report_changes(&mut self) {
        let revision = self.lease.set().revision();
        let machines = self.machines.version();
        if revision <= self.reported_revision && machines <= self.reported_machines {
            return;
        }
        if revision > self.reported_revision {
            self.reported_revision = revision;
            self.counters.revisions_in_force += 1;
            self.coordinator.set_in_force(revision);
            let set = Arc::clone(self.lease.set());
            self.outbox.effect(Effect::InForce(set));
        }
        if machines > self.reported_machines {
            self.reported_machines = machines;
            let machines = Arc::clone(&self.machines);
            self.outbox.effect(Effect::Machines(machines));
        }
        self.push_pending = true;
    }

    fn answer_reads(&mut self, grant: &LeaseGrant) {
        let set = self.lease.set();
        self.reads.retain(|read| {
            let answered = read.arrived <= grant.sent_at;
            if answered {
                let newest = OperatorAnswer::Newest(Arc::clone(set));
                self.outbox.answer(read.ticket, newest);
            }
            !answered
        });
    }

    fn platform_answer(&mut self, now: MonotonicTime, request: RequestId, answer: PlatformAnswer) {
        if let Some(observation) = self.watcher.platform_answer(request, &answer, now) {
            self.apply_observation(Some(observation));
            return;
        }
        let found = self
            .coordinator
            .platform_answer(request, answer, now, &mut self.outbox);
        self.apply_observation(found.map(Observation::Watched));
    }

    fn apply_observation(&mut self, observation: Option<Observation>) {
        match (observation, &mut self.voter) {
            (Some(Observation::Read(set)), Some(voter)) => voter.apply_read(&set, &mut self.outbox),
            (Some(Observation::Watched(set)), Some(voter)) => {
                voter.apply_watched(&set, &mut self.outbox);
            }
            (Some(Observation::Machines(version, machines)), _) => {
                Arc::make_mut(&mut self.machines).observe(version, machines);
                self.report_changes();
            }
            _ => {}
        }
    }

    fn change(&mut self, now: MonotonicTime, ticket: Ticket, request: ChangeRequest) {
        self.coordinator
            .submit(ticket, request, now, &mut self.outbox);
    }

    fn read(&mut self, now: MonotonicTime, ticket: Ticket) {
        self.reads.push(PendingRead {
            ticket,
            arrived: now,
        });
        if self.lease.due(now, TICK_INTERVAL) {
            self.renew_with(now, RenewalTarget::Voters);
        }
    }

    /// Stages the voter's durable configuration, so that it can be put in force once a majority holds
    /// it.
    fn flushed(&mut self, write: u64) {
        let machines = self.machines.version();
        if let Some(voter) = &mut self.voter {
            voter.flushed(write, machines, &mut self.outbox);
            self.lease.sets.stage(Arc::clone(voter.durable()));
        }
    }

    fn set_members(&mut self, members: &[Member]) {
        let assignment = RelayAssignment::new(members, &self.voters);
        let relays = match self.voter {
            Some(_) => Vec::new(),
            None => assignment.relays_for(self.node),
        };
        self.relays.set_relays(relays);
    }

    fn tick(&mut self, now: MonotonicTime) {
        let machines = self.machines.version();
        if let Some(voter) = &mut self.voter {
            voter.tick(now, machines, &mut self.outbox);
            let recovering = !voter.is_eligible();
            self.watcher.tick(now, recovering, &mut self.outbox);
        }
        self.coordinator.tick(now, &mut self.outbox);
        self.clients.remove_idle(now);
        self.expire_reads(now);
        self.try_grant(now);
        self.renew_if_due(now);
    }

    fn expire_reads(&mut self, now: MonotonicTime) {
        self.reads.retain(|read| {
            let keep = now.since(read.arrived) < READ_TIMEOUT;
            if !keep {
                let refused = OperatorAnswer::Refused(Unavailable::NoQuorum);
                self.outbox.answer(read.ticket, refused);
            }
            keep
        });
    }

    fn announce(&mut self, now: MonotonicTime) {
        self.report_changes();
        self.push_to_clients(now);
        let ready = self.lease.is_valid(now);
        if ready == self.reported_ready {
            return;
        }
        self.reported_ready = ready;
        self.counters.leases_expired += u64::from(!ready);
        self.outbox.effect(Effect::Ready(ready));
    }
}
