//! Applies the effects of a service's scheduler.

use std::net::SocketAddr;

use ridgeworks_domain::{BackendAddress, BackendName, RunId, ServiceName};
use ridgeworks_scheduling::Effect;

use super::message::{DispatcherAnswer, whole_millis};
use super::role::DispatcherRole;
use crate::message::NodeMessage;
use crate::router::Outgoing;

impl DispatcherRole {
    pub(super) fn carry_out(&mut self, service: &ServiceName, effects: Vec<Effect>) {
        for effect in effects {
            self.carry_out_one(service, effect);
        }
    }

    fn carry_out_one(&mut self, service: &ServiceName, effect: Effect) {
        match effect {
            Effect::Grant {
                ticket,
                backend,
                address,
                valid_for,
            } => {
                let instance = self.instances.get(&backend).copied();
                let answer = DispatcherAnswer::Granted {
                    ticket,
                    backend,
                    address: BackendAddress {
                        socket: address,
                        instance,
                    },
                    valid_for_ms: whole_millis(valid_for),
                };
                self.record_and_answer(service, answer);
            }
            Effect::Refuse { ticket, refusal } => {
                self.record_and_answer(service, DispatcherAnswer::Refused { ticket, refusal });
            }
            Effect::Preempt { ticket, .. } => {
                self.send_answer(DispatcherAnswer::Preempt { ticket })
            }
            Effect::Retain {
                run,
                backend,
                until,
            } => {
                if let Some(address) = self.address(service, &backend) {
                    let ttl = until.since(self.clock.now());
                    self.outputs.backends.retain_context(run, address, ttl);
                }
            }
            Effect::Release { run, backend } => {
                self.release_context(service, run, &backend);
            }
            Effect::RelistCache { backend } => {
                let group = self.groups.get(service);
                if let Some(backend) = group.and_then(|group| group.backend(&backend)) {
                    self.polls.list_cache(backend);
                }
            }
            // Never requested: the group uses the default `DispatcherSettings`, which disable
            // context moves.
            Effect::MoveContext { .. } => {}
        }
    }

    /// Sends an engine the request to release a run's context; does nothing if the back end is not
    /// listed.
    pub(super) fn release_context(&self, service: &ServiceName, run: RunId, backend: &BackendName) {
        if let Some(address) = self.address(service, backend) {
            self.outputs.backends.release_context(run, address);
        }
    }

    fn address(&self, service: &ServiceName, backend: &BackendName) -> Option<SocketAddr> {
        let group = self.groups.get(service)?;
        group.backend(backend).map(|backend| backend.address)
    }

    fn record_and_answer(&mut self, service: &ServiceName, answer: DispatcherAnswer) {
        let now = self.clock.now();
        if let Some(group) = self.groups.get_mut(service) {
            group.record_answer(&answer, now);
        }
        self.send_answer(answer);
    }

    pub(super) fn send_answer(&mut self, answer: DispatcherAnswer) {
        let to = answer.ticket().owner;
        let message = NodeMessage::ToOwnerOfTicket(answer);
        self.outputs.outgoing.fwd(Outgoing { to, message });
    }
}
