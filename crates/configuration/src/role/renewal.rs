//! Renewal of the node's own lease and of its clients' leases.

use ridgeworks_domain::{MonotonicTime, NodeId};

use super::ConfigurationRole;
use crate::clients::WaitingRenewal;
use crate::lease::LeaseGrant;
use crate::message::{ConfigurationMessage, KnownVersions, VoterAnswer};
use crate::relay::RenewalTarget;
use crate::revision::RequestId;
use crate::settings::{
    MAX_RELAY_CLIENTS, PUSH_INTERVAL, RELAY_BATCH_INTERVAL, RELAY_RETRY_INTERVAL,
    RENEW_RETRY_INTERVAL, TICK_INTERVAL,
};

impl ConfigurationRole {
    /// Answers a client's renewal if this node is a voter; otherwise queues it until this node's own
    /// renewal is granted. A relay that has [`MAX_RELAY_CLIENTS`] clients refuses a new one with
    /// `RelayFull`.
    pub(super) fn on_renew(
        &mut self,
        now: MonotonicTime,
        from: NodeId,
        request: RequestId,
        known: KnownVersions,
    ) {
        if let Some(voter) = &self.voter {
            let answers = voter.answers();
            self.clients.record_renewal(from, known, now);
            self.send_renewed(from, request, answers);
            return;
        }
        if !self.clients.contains(from) && self.clients.len() >= MAX_RELAY_CLIENTS {
            self.counters.clients_refused += 1;
            let message = ConfigurationMessage::RelayFull { request };
            self.outbox.send(from, message);
            return;
        }
        self.clients.record_renewal(from, known, now);
        let arrived = now;
        self.clients
            .enqueue(from, WaitingRenewal { request, arrived });
    }

    pub(super) fn send_renewed(
        &mut self,
        to: NodeId,
        request: RequestId,
        answers: Vec<VoterAnswer>,
    ) {
        let newest = match &self.voter {
            Some(voter) => voter.durable(),
            None => self.lease.sets.newest(),
        };
        let in_force = self.lease.set();
        let news = self.clients.delta_for(to, newest, in_force, &self.machines);
        let message = ConfigurationMessage::Renewed {
            request,
            answers,
            news,
        };
        self.outbox.send(to, message);
    }

    /// Answers the clients whose renewals arrived at or before the time at which this node's renewal
    /// was sent. The voters' answers are valid for them too.
    pub(super) fn answer_clients(&mut self, grant: &LeaseGrant) {
        for (client, request) in self.clients.drain_waiting(grant.sent_at) {
            self.send_renewed(client, request, grant.answers.clone());
        }
    }

    /// Pushes updates to clients, at most once per [`PUSH_INTERVAL`].
    pub(super) fn push_to_clients(&mut self, now: MonotonicTime) {
        let recently_pushed = |last: MonotonicTime| now.since(last) < PUSH_INTERVAL;
        if !self.push_pending || self.last_push.is_some_and(recently_pushed) {
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
                .delta_for(client, in_force, in_force, &self.machines);
            self.counters.pushes_sent += 1;
            self.outbox
                .send(client, ConfigurationMessage::Push { news });
        }
    }

    pub(super) fn renew_if_due(&mut self, now: MonotonicTime) {
        let last = self.lease.last_sent();
        let unanswered = last.is_some() && self.lease.granted_from() < last;
        let staged = self.lease.sets.newest().revision() > self.lease.set().revision();
        let unread = self.reads.iter().any(|read| Some(read.arrived) > last);
        let client_waits = self.clients.waiting_since() > last.or(Some(MonotonicTime::ZERO));
        let retry = match self.relays.is_waiting() {
            true => RELAY_RETRY_INTERVAL,
            false => RENEW_RETRY_INTERVAL,
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

    pub(super) fn renew(&mut self, now: MonotonicTime) {
        // A node without a lease, or a relay with waiting clients, asks the voters directly.
        let relays_others = self.clients.waiting_since().is_some();
        let target = match self.lease.granted_from() {
            Some(_) if !relays_others => self.relays.target(now),
            _ => RenewalTarget::Voters,
        };
        self.renew_with(now, target);
    }

    pub(super) fn renew_with(&mut self, now: MonotonicTime, target: RenewalTarget) {
        let request = self.outbox.next_request();
        let known = KnownVersions {
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
}
