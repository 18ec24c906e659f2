//! Dispatch of messages to the components of the role.

use std::sync::Arc;

use ridgeworks_domain::{MonotonicTime, NodeId};

use super::ConfigurationRole;
use crate::message::{ConfigurationMessage, KnownVersions, StateDelta};
use crate::revision::RequestId;

impl ConfigurationRole {
    pub(super) fn message(
        &mut self,
        now: MonotonicTime,
        from: NodeId,
        message: ConfigurationMessage,
    ) {
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
                self.on_fetch_newest(from, request, known);
            }
            ConfigurationMessage::Newest {
                request,
                newest,
                vouches,
                news,
            } => {
                self.apply_machines(&news);
                let update = news.update.as_deref();
                if let Some(voter) = &mut self.voter {
                    voter.on_newest(from, request, newest, vouches, update, &mut self.outbox);
                }
            }
            ConfigurationMessage::Renew { request, known } => {
                self.on_renew(now, from, request, known);
            }
            ConfigurationMessage::Renewed {
                request,
                answers,
                news,
            } => {
                if self.lease.record_answers(request, &answers) && !self.voters.contains(from) {
                    self.relays.answered();
                }
                self.apply_delta(&news);
                self.try_grant(now);
            }
            ConfigurationMessage::RelayFull { .. } => {
                if self.relays.is_waiting() {
                    self.relays.skip_relay();
                    self.renew(now);
                }
            }
            ConfigurationMessage::Push { news } => {
                self.apply_delta(&news);
                self.report_changes();
            }
        }
    }

    pub(super) fn stored(
        &mut self,
        now: MonotonicTime,
        from: NodeId,
        request: Option<RequestId>,
        known: KnownVersions,
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
        voter.on_version_report(from, known, self.machines.version(), &mut self.outbox);
        if let Some(machines) = self.machines.update_since(known.machines) {
            let news = StateDelta {
                machines: Some(Box::new(machines)),
                ..StateDelta::default()
            };
            self.outbox.send(from, ConfigurationMessage::Push { news });
        }
    }

    pub(super) fn on_fetch_newest(
        &mut self,
        from: NodeId,
        request: RequestId,
        known: KnownVersions,
    ) {
        let Some(voter) = &self.voter else {
            return;
        };
        let message = ConfigurationMessage::Newest {
            request,
            newest: voter.durable().revision(),
            vouches: voter.is_eligible(),
            news: StateDelta {
                update: voter.durable().update_since(known.newest).map(Box::new),
                held: self.lease.set().revision(),
                machines: self.machines.update_since(known.machines).map(Box::new),
            },
        };
        self.outbox.send(from, message);
    }

    pub(super) fn apply_delta(&mut self, news: &StateDelta) {
        if let Some(update) = &news.update
            && self.lease.sets.stage_update(update).is_err()
        {
            self.counters.updates_mismatched += 1;
        }
        self.lease.sets.promote(news.held);
        self.apply_machines(news);
    }

    pub(super) fn apply_machines(&mut self, news: &StateDelta) {
        if let Some(update) = &news.machines {
            Arc::make_mut(&mut self.machines).apply(update);
        }
    }
}
