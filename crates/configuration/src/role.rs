//! The configuration role of a node: one state machine for the daemon's actor to wrap.

mod messages;
mod renewal;

use std::sync::Arc;

use ridgeworks_domain::{MonotonicTime, NodeId, Refusal, RefusalReason};

use crate::acceptance::Coordinator;
use crate::change::ChangeRequest;
use crate::clients::Clients;
use crate::counters::ConfigurationCounters;
use crate::effect::{Effect, Event, OperatorAnswer, PlatformAnswer, Ticket, Unavailable};
use crate::lease::{ConfigurationLease, Grant};
use crate::machines::MachineList;
use crate::outbox::Outbox;
use crate::quorum::Voters;
use crate::relay::{RelayChoice, RelayPlan, RenewalTarget};
use crate::revision::{RequestId, Revision};
use crate::set::ConfigurationSet;
use crate::settings::{ConfigurationSettings, Member, READ_TIMEOUT, RENEW_INTERVAL, TICK_INTERVAL};
use crate::voter::Voter;
use crate::voter_state::StoredVoter;
use crate::watcher::{Finding, Watcher};

/// A read that waits for a renewal sent after it arrived.
#[derive(Debug)]
struct OpenRead {
    ticket: Ticket,
    arrived: MonotonicTime,
}

/// The configuration role of one node.
#[derive(Debug)]
pub struct ConfigurationRole {
    node: NodeId,
    voters: Voters,
    lease: ConfigurationLease,
    relays: RelayChoice,
    clients: Clients,
    voter: Option<Voter>,
    coordinator: Coordinator,
    watcher: Watcher,
    machines: Arc<MachineList>,
    reads: Vec<OpenRead>,
    outbox: Outbox,
    /// Whether clients lack something that came in force here.
    push_pending: bool,
    last_push: Option<MonotonicTime>,
    /// What the last effects told the host.
    announced_revision: Revision,
    announced_machines: u64,
    announced_ready: bool,
    counters: ConfigurationCounters,
}

impl ConfigurationRole {
    /// Starts the role. `stored` is what a voter's disk holds, `None` on an empty disk or no voter.
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
            relays: RelayChoice::default(),
            clients: Clients::default(),
            voter,
            coordinator: Coordinator::new(voters.clone()),
            watcher: Watcher::new(rank),
            machines: Arc::new(MachineList::default()),
            reads: Vec::new(),
            outbox: Outbox::new(node, settings.seed),
            push_pending: false,
            last_push: None,
            announced_revision: Revision::ZERO,
            announced_machines: 0,
            announced_ready: false,
            counters: ConfigurationCounters::default(),
            voters,
        }
    }

    /// Takes one event and returns what is to be done, in order.
    pub fn handle(&mut self, now: MonotonicTime, event: Event) -> Vec<Effect> {
        match event {
            Event::Message { from, message } => self.message(now, from, message),
            Event::PlatformAnswer { request, answer } => {
                self.platform_answer(now, request, answer);
            }
            Event::PlatformWatch(event) => {
                let finding = self.watcher.watch_event(event, now);
                self.take_finding(finding);
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

    /// The configuration in force, or a refusal with [`RefusalReason::ConfigurationStale`] where
    /// the lease ran out. Ask before every acceptance of work, with the time of that moment.
    pub fn in_force(&self, now: MonotonicTime) -> Result<&Arc<ConfigurationSet>, Refusal> {
        if self.lease.holds(now) {
            return Ok(self.lease.set());
        }
        let stale = RefusalReason::ConfigurationStale;
        Err(Refusal::retry_after(stale, RENEW_INTERVAL))
    }

    /// The last configuration that was in force, for work accepted earlier and for display only.
    pub fn last_known(&self) -> &Arc<ConfigurationSet> {
        self.lease.set()
    }

    /// The newest known list of machines. It lags behind the platform.
    pub fn machines(&self) -> &Arc<MachineList> {
        &self.machines
    }

    /// What was counted since the start.
    pub fn counters(&self) -> ConfigurationCounters {
        self.counters
    }

    /// This node.
    pub fn node(&self) -> NodeId {
        self.node
    }

    /// Nodes that renew their leases with this one.
    pub fn client_count(&self) -> usize {
        self.clients.len()
    }

    /// Whether this node is a voter that answers for the newest revision.
    pub fn is_vouching_voter(&self) -> bool {
        self.voter.as_ref().is_some_and(Voter::vouches)
    }

    fn handle_local(&mut self, now: MonotonicTime) {
        while let Some(message) = self.outbox.next_local() {
            self.message(now, self.node, message);
        }
    }

    fn try_grant(&mut self, now: MonotonicTime) {
        let grant = self.lease.try_grant(now);
        self.after_promotion();
        if let Some(grant) = grant {
            self.counters.leases_granted += 1;
            self.answer_clients(&grant);
            self.answer_reads(&grant);
        }
    }

    /// Tells the host what came in force, and which machines are known.
    fn after_promotion(&mut self) {
        let revision = self.lease.set().revision();
        let machines = self.machines.version();
        if revision <= self.announced_revision && machines <= self.announced_machines {
            return;
        }
        if revision > self.announced_revision {
            self.announced_revision = revision;
            self.counters.revisions_in_force += 1;
            self.coordinator.note_in_force(revision);
            let set = Arc::clone(self.lease.set());
            self.outbox.effect(Effect::InForce(set));
        }
        if machines > self.announced_machines {
            self.announced_machines = machines;
            let machines = Arc::clone(&self.machines);
            self.outbox.effect(Effect::Machines(machines));
        }
        self.push_pending = true;
    }

    fn answer_reads(&mut self, grant: &Grant) {
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
        if let Some(finding) = self.watcher.platform_answer(request, &answer, now) {
            self.take_finding(Some(finding));
            return;
        }
        let found = self
            .coordinator
            .platform_answer(request, answer, now, &mut self.outbox);
        self.take_finding(found.map(Finding::Watched));
    }

    fn take_finding(&mut self, finding: Option<Finding>) {
        match (finding, &mut self.voter) {
            (Some(Finding::Read(set)), Some(voter)) => voter.take_read(&set, &mut self.outbox),
            (Some(Finding::Watched(set)), Some(voter)) => {
                voter.take_watched(&set, &mut self.outbox);
            }
            (Some(Finding::Machines(version, machines)), _) => {
                Arc::make_mut(&mut self.machines).observe(version, machines);
                self.after_promotion();
            }
            _ => {}
        }
    }

    fn change(&mut self, now: MonotonicTime, ticket: Ticket, request: ChangeRequest) {
        self.coordinator
            .submit(ticket, request, now, &mut self.outbox);
    }

    fn read(&mut self, now: MonotonicTime, ticket: Ticket) {
        self.reads.push(OpenRead {
            ticket,
            arrived: now,
        });
        if self.lease.due(now, TICK_INTERVAL) {
            self.renew_with(now, RenewalTarget::Voters);
        }
    }

    /// What the voter has on its disk may come in force here as soon as a majority is known to hold it.
    fn flushed(&mut self, write: u64) {
        let machines = self.machines.version();
        if let Some(voter) = &mut self.voter {
            voter.flushed(write, machines, &mut self.outbox);
            self.lease.sets.stage(Arc::clone(voter.durable()));
        }
    }

    fn set_members(&mut self, members: &[Member]) {
        let plan = RelayPlan::new(members, &self.voters);
        let relays = match self.voter {
            Some(_) => Vec::new(),
            None => plan.relays_for(self.node),
        };
        self.relays.set_relays(relays);
    }

    fn tick(&mut self, now: MonotonicTime) {
        let machines = self.machines.version();
        if let Some(voter) = &mut self.voter {
            voter.tick(now, machines, &mut self.outbox);
            let recovering = !voter.vouches();
            self.watcher.tick(now, recovering, &mut self.outbox);
        }
        self.coordinator.tick(now, &mut self.outbox);
        self.clients.forget_idle(now);
        self.give_up_reads(now);
        self.try_grant(now);
        self.renew_if_due(now);
    }

    fn give_up_reads(&mut self, now: MonotonicTime) {
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
        self.after_promotion();
        self.push_to_clients(now);
        let ready = self.lease.holds(now);
        if ready == self.announced_ready {
            return;
        }
        self.announced_ready = ready;
        self.counters.leases_expired += u64::from(!ready);
        self.outbox.effect(Effect::Ready(ready));
    }
}
