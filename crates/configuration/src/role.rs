//! The configuration role of a node: one state machine for the daemon's actor to wrap.

use std::sync::Arc;

use ridgeworks_domain::{MonotonicTime, NodeId, Refusal, RefusalReason};

use crate::acceptance::Coordinator;
use crate::change::ChangeRequest;
use crate::clients::{Clients, WaitingRenewal};
use crate::counters::ConfigurationCounters;
use crate::effect::{Effect, Event, OperatorAnswer, PlatformAnswer, Ticket, Unavailable};
use crate::lease::{ConfigurationLease, Grant};
use crate::machines::MachineList;
use crate::message::{ConfigurationMessage, Known, News, VoterAnswer};
use crate::outbox::Outbox;
use crate::quorum::Voters;
use crate::relay::{RelayChoice, RelayPlan, RenewalTarget};
use crate::revision::{RequestId, Revision};
use crate::set::ConfigurationSet;
use crate::settings::{
    ConfigurationSettings, MAX_RELAY_CLIENTS, Member, PUSH_INTERVAL, READ_TIMEOUT,
    RELAY_BATCH_INTERVAL, RELAY_RETRY, RENEW_INTERVAL, RENEW_RETRY, TICK_INTERVAL,
};
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
        self.count(&effects);
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

    fn message(&mut self, now: MonotonicTime, from: NodeId, message: ConfigurationMessage) {
        let machines = self.machines.version();
        match message {
            ConfigurationMessage::Replicate { request, update } => {
                if let Some(voter) = &mut self.voter {
                    voter.replicate(from, request, &update, machines, &mut self.outbox);
                }
            }
            ConfigurationMessage::Stored { request, known } => {
                self.stored(now, from, request, known);
            }
            ConfigurationMessage::FetchNewest { request, known } => {
                self.fetch_newest(from, request, known);
            }
            ConfigurationMessage::Newest {
                request,
                newest,
                vouches,
                news,
            } => {
                self.take_machines(&news);
                let update = news.update.as_deref();
                if let Some(voter) = &mut self.voter {
                    voter.take_newest(from, request, newest, vouches, update, &mut self.outbox);
                }
            }
            ConfigurationMessage::Renew { request, known } => {
                self.renew_for(now, from, request, known);
            }
            ConfigurationMessage::Renewed {
                request,
                answers,
                news,
            } => {
                if self.lease.take_answers(request, &answers) && !self.voters.contains(from) {
                    self.relays.answered();
                }
                self.take_news(&news);
                self.try_grant(now);
            }
            ConfigurationMessage::RelayFull { .. } => {
                if self.relays.is_waiting() {
                    self.relays.give_up_relay();
                    self.renew(now);
                }
            }
            ConfigurationMessage::Push { news } => {
                self.take_news(&news);
                self.after_promotion();
            }
        }
    }

    fn stored(
        &mut self,
        now: MonotonicTime,
        from: NodeId,
        request: Option<RequestId>,
        known: Known,
    ) {
        if let Some(request) = request {
            let newest = known.newest;
            self.coordinator
                .acknowledge(from, request, newest, now, &mut self.outbox);
        }
        if from == self.node || !self.voters.contains(from) {
            return;
        }
        let Some(voter) = &mut self.voter else {
            return;
        };
        voter.digest(from, known, self.machines.version(), &mut self.outbox);
        if let Some(machines) = self.machines.update_since(known.machines) {
            let news = News {
                machines: Some(Box::new(machines)),
                ..News::default()
            };
            self.outbox.send(from, ConfigurationMessage::Push { news });
        }
    }

    fn fetch_newest(&mut self, from: NodeId, request: RequestId, known: Known) {
        let Some(voter) = &self.voter else {
            return;
        };
        let message = ConfigurationMessage::Newest {
            request,
            newest: voter.durable().revision(),
            vouches: voter.vouches(),
            news: News {
                update: voter.durable().update_since(known.newest).map(Box::new),
                held: self.lease.set().revision(),
                machines: self.machines.update_since(known.machines).map(Box::new),
            },
        };
        self.outbox.send(from, message);
    }

    /// Answers a renewal as a voter, or keeps it until this node's own renewal is answered.
    fn renew_for(&mut self, now: MonotonicTime, from: NodeId, request: RequestId, known: Known) {
        if let Some(voter) = &self.voter {
            let answers = voter.answers();
            self.clients.note(from, known, now);
            self.send_renewed(from, request, answers);
            return;
        }
        if !self.clients.contains(from) && self.clients.len() >= MAX_RELAY_CLIENTS {
            self.counters.clients_refused += 1;
            let message = ConfigurationMessage::RelayFull { request };
            self.outbox.send(from, message);
            return;
        }
        self.clients.note(from, known, now);
        let arrived = now;
        self.clients.wait(from, WaitingRenewal { request, arrived });
    }

    fn send_renewed(&mut self, to: NodeId, request: RequestId, answers: Vec<VoterAnswer>) {
        let newest = match &self.voter {
            Some(voter) => voter.durable(),
            None => self.lease.sets.newest(),
        };
        let in_force = self.lease.set();
        let news = self.clients.news_for(to, newest, in_force, &self.machines);
        let message = ConfigurationMessage::Renewed {
            request,
            answers,
            news,
        };
        self.outbox.send(to, message);
    }

    fn take_news(&mut self, news: &News) {
        if let Some(update) = &news.update
            && self.lease.sets.stage_update(update).is_err()
        {
            self.counters.updates_mismatched += 1;
        }
        self.lease.sets.promote(news.held);
        self.take_machines(news);
    }

    fn take_machines(&mut self, news: &News) {
        if let Some(update) = &news.machines {
            Arc::make_mut(&mut self.machines).apply(update);
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

    /// Passes on what is new. In a burst several changes go in one push.
    fn push_to_clients(&mut self, now: MonotonicTime) {
        let lately = |last: MonotonicTime| now.since(last) < PUSH_INTERVAL;
        if !self.push_pending || self.last_push.is_some_and(lately) {
            return;
        }
        self.push_pending = false;
        self.last_push = Some(now);
        for client in self.clients.nodes() {
            if client == self.node {
                continue;
            }
            let in_force = self.lease.set();
            let news = self
                .clients
                .news_for(client, in_force, in_force, &self.machines);
            self.counters.pushes_sent += 1;
            self.outbox
                .send(client, ConfigurationMessage::Push { news });
        }
    }

    /// The voters' answers to this node's renewal hold for every client that asked before it.
    fn answer_clients(&mut self, grant: &Grant) {
        for (client, request) in self.clients.take_waiting(grant.sent_at) {
            self.send_renewed(client, request, grant.answers.clone());
        }
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

    /// A voter learns at once whether a majority holds what it just wrote.
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

    fn renew_if_due(&mut self, now: MonotonicTime) {
        let last = self.lease.last_sent();
        let unanswered = last.is_some() && self.lease.granted_from() < last;
        let staged = self.lease.sets.newest().revision() > self.lease.set().revision();
        let unread = self.reads.iter().any(|read| Some(read.arrived) > last);
        let client_waits = self.clients.waiting_since() > last.or(Some(MonotonicTime::ZERO));
        let retry = match self.relays.is_waiting() {
            true => RELAY_RETRY,
            false => RENEW_RETRY,
        };
        let due = self.lease.renewal_due(now)
            || (unanswered && self.lease.due(now, retry))
            || ((staged || unread) && self.lease.due(now, TICK_INTERVAL))
            || (client_waits && self.lease.due(now, RELAY_BATCH_INTERVAL));
        if unread && due {
            self.renew_with(now, RenewalTarget::Voters);
        } else if due {
            self.renew(now);
        }
    }

    fn renew(&mut self, now: MonotonicTime) {
        // A node that has no lease yet, or a relay with clients, needs the voters themselves.
        let relays_others = self.clients.waiting_since().is_some();
        let target = match self.lease.granted_from() {
            Some(_) if !relays_others => self.relays.target(now),
            _ => RenewalTarget::Voters,
        };
        self.renew_with(now, target);
    }

    fn renew_with(&mut self, now: MonotonicTime, target: RenewalTarget) {
        let request = self.outbox.next_request();
        let known = Known {
            newest: self.lease.sets.newest().revision(),
            machines: self.machines.version(),
        };
        self.lease.begin(request, now);
        self.counters.renewals_sent += 1;
        let message = ConfigurationMessage::Renew { request, known };
        match target {
            RenewalTarget::Relay(relay) => self.outbox.send(relay, message),
            RenewalTarget::Voters => {
                for voter in self.voters.nodes() {
                    self.outbox.send(*voter, message.clone());
                }
            }
        }
    }

    fn announce(&mut self, now: MonotonicTime) {
        self.after_promotion();
        self.push_to_clients(now);
        let ready = self.lease.holds(now);
        if ready == self.announced_ready {
            return;
        }
        self.announced_ready = ready;
        self.counters.leases_lapsed += u64::from(!ready);
        self.outbox.effect(Effect::Ready(ready));
    }

    fn count(&mut self, effects: &[Effect]) {
        for effect in effects {
            match effect {
                Effect::Send { .. } => self.counters.messages_sent += 1,
                Effect::Platform { .. } => self.counters.platform_operations += 1,
                Effect::Answer { answer, .. } => self.count_answer(answer),
                _ => {}
            }
        }
    }

    fn count_answer(&mut self, answer: &OperatorAnswer) {
        match answer {
            OperatorAnswer::Accepted { .. } => self.counters.changes_accepted += 1,
            OperatorAnswer::Rejected(_) => self.counters.changes_rejected += 1,
            OperatorAnswer::Refused(_) => self.counters.requests_refused += 1,
            OperatorAnswer::Unknown => self.counters.changes_unknown += 1,
            OperatorAnswer::Newest(_) => {}
        }
    }
}
