//! Actor that runs the configuration state machine and applies its effects.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ridgeworks_configuration::settings::TICK_INTERVAL;
use ridgeworks_configuration::{
    ChangeRequest, ConfigurationRole, ConfigurationSet, Effect, Event, MachineList, Member,
    OperatorAnswer, Ticket,
};
use ridgeworks_storage::StoreError;
use stakker::{CX, Fwd, after, fail};

use super::platform_client::{PlatformClient, PlatformEvent};
use crate::clock::Clock;
use crate::message::NodeMessage;
use crate::metrics::{Metrics, PUBLISH_INTERVAL};
use crate::replica::NodeStore;
use crate::router::{Incoming, Outgoing};

/// Called once with the answer to an operator's request.
pub type OperatorCallback = Box<dyn FnOnce(OperatorAnswer)>;

/// Destinations of the role's effects.
pub struct ConfigurationOutputs {
    /// Messages to the configuration roles of other nodes.
    pub outgoing: Fwd<Outgoing>,
    /// Receives each newer configuration that comes into force.
    pub in_force: Fwd<Arc<ConfigurationSet>>,
    /// Receives each newer list of machines.
    pub machines: Fwd<Arc<MachineList>>,
    /// Readiness, revision and counters of the role are published here.
    pub metrics: Arc<Metrics>,
}

/// Actor of the configuration role. `platform` is `None` where the node has no platform to talk to,
/// `store` where it keeps no voter state.
pub struct ConfigurationRoleActor {
    clock: Clock,
    state: Rc<RefCell<ConfigurationRole>>,
    platform: Option<PlatformClient>,
    store: Option<NodeStore>,
    outputs: ConfigurationOutputs,
    pending_answers: HashMap<Ticket, OperatorCallback>,
    next_ticket: u64,
}

impl ConfigurationRoleActor {
    /// Starts the role. `state` is shared with the directory, which reads it.
    pub fn init(
        cx: CX![],
        clock: Clock,
        state: Rc<RefCell<ConfigurationRole>>,
        platform: Option<PlatformClient>,
        store: Option<NodeStore>,
        outputs: ConfigurationOutputs,
    ) -> Option<Self> {
        let mut role = Self {
            clock,
            state,
            platform,
            store,
            outputs,
            pending_answers: HashMap::new(),
            next_ticket: 0,
        };
        role.tick(cx);
        role.publish(cx);
        Some(role)
    }

    /// Handles a message from another node; messages of other roles are ignored.
    pub fn receive(&mut self, _cx: CX![], incoming: Incoming) {
        if let NodeMessage::Configuration(message) = incoming.message {
            let from = incoming.from;
            self.handle(Event::Message { from, message });
        }
    }

    /// Handles a result or watch event of the platform.
    pub fn handle_platform_event(&mut self, _cx: CX![], event: PlatformEvent) {
        match event {
            PlatformEvent::Answer { request, answer } => {
                self.handle(Event::PlatformAnswer { request, answer });
            }
            PlatformEvent::Watch(event) => self.handle(Event::PlatformWatch(event)),
        }
    }

    /// Handles the completion of a write of voter state. A failed write stops the actor, as in the
    /// replica role.
    pub fn handle_write_result(&mut self, cx: CX![], write: u64, result: Result<(), StoreError>) {
        match result {
            Ok(()) => self.handle(Event::Flushed { write }),
            Err(error) => fail!(cx, error),
        }
    }

    /// Updates the present members, from which relays are chosen.
    pub fn update_members(&mut self, _cx: CX![], members: Vec<Member>) {
        self.handle(Event::Members(members));
    }

    /// Submits an operator's change to the configuration.
    pub fn change(&mut self, _cx: CX![], request: ChangeRequest, callback: OperatorCallback) {
        let ticket = self.open_ticket(callback);
        self.handle(Event::Change { ticket, request });
    }

    /// Reads the newest configuration for an operator.
    pub fn read(&mut self, _cx: CX![], callback: OperatorCallback) {
        let ticket = self.open_ticket(callback);
        self.handle(Event::Read { ticket });
    }

    fn open_ticket(&mut self, callback: OperatorCallback) -> Ticket {
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        self.pending_answers.insert(ticket, callback);
        ticket
    }

    fn publish(&mut self, cx: CX![]) {
        let state = self.state.borrow();
        let metrics = &self.outputs.metrics;
        metrics.publish_configuration(state.counters());
        let clients = i64::try_from(state.client_count()).unwrap_or(i64::MAX);
        metrics.configuration_clients.set(clients);
        after!(PUBLISH_INTERVAL, [cx], publish());
    }

    /// Publishes readiness as a metric and logs the transition.
    fn publish_readiness(&self, ready: bool) {
        let revision = self.state.borrow().last_known().revision().0;
        self.outputs.metrics.ready.set(i64::from(ready));
        log::info!("ready={ready} revision={revision}");
    }

    fn publish_revision(&self, set: &ConfigurationSet) {
        let revision = i64::try_from(set.revision().0).unwrap_or(i64::MAX);
        self.outputs.metrics.configuration_revision.set(revision);
    }

    fn tick(&mut self, cx: CX![]) {
        self.handle(Event::Tick);
        after!(TICK_INTERVAL, [cx], tick());
    }

    fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        let effects = self.state.borrow_mut().handle(now, event);
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Send { to, message } => {
                let message = NodeMessage::Configuration(message);
                self.outputs.outgoing.fwd(Outgoing { to, message });
            }
            Effect::Platform { request, operation } => {
                // Without a platform, the operation is dropped and never answered.
                if let Some(platform) = &self.platform {
                    platform.perform(request, operation);
                }
            }
            Effect::Write { write, state } => {
                if let Some(store) = &self.store {
                    store.write_voter(write, &state);
                }
            }
            Effect::Answer { ticket, answer } => {
                if let Some(callback) = self.pending_answers.remove(&ticket) {
                    callback(answer);
                }
            }
            Effect::InForce(set) => {
                self.publish_revision(&set);
                self.outputs.in_force.fwd(set);
            }
            Effect::Machines(machines) => self.outputs.machines.fwd(machines),
            Effect::Ready(ready) => self.publish_readiness(ready),
        }
    }
}
