//! Actor of the configuration role.

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

/// Hands the answer back to where an operator's request came from.
pub type OperatorAnswers = Box<dyn FnOnce(OperatorAnswer)>;

/// Where the role's effects go.
pub struct ConfigurationOutputs {
    /// Messages to other nodes.
    pub outgoing: Fwd<Outgoing>,
    /// A newer configuration is in force.
    pub in_force: Fwd<Arc<ConfigurationSet>>,
    /// A newer list of machines is known.
    pub machines: Fwd<Arc<MachineList>>,
    /// Counters of the role.
    pub metrics: Arc<Metrics>,
}

/// The configuration role.
pub struct ConfigurationRoleActor {
    clock: Clock,
    state: Rc<RefCell<ConfigurationRole>>,
    platform: Option<PlatformClient>,
    store: Option<NodeStore>,
    outputs: ConfigurationOutputs,
    operators: HashMap<Ticket, OperatorAnswers>,
    next_ticket: u64,
}

impl ConfigurationRoleActor {
    /// Starts the role on a state machine that the directory shares.
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
            operators: HashMap::new(),
            next_ticket: 0,
        };
        role.tick(cx);
        role.publish(cx);
        Some(role)
    }

    /// Takes a message from another node.
    pub fn receive(&mut self, _cx: CX![], incoming: Incoming) {
        if let NodeMessage::Configuration(message) = incoming.message {
            let from = incoming.from;
            self.handle(Event::Message { from, message });
        }
    }

    /// Takes news of the platform.
    pub fn platform(&mut self, _cx: CX![], event: PlatformEvent) {
        match event {
            PlatformEvent::Answer { request, answer } => {
                self.handle(Event::PlatformAnswer { request, answer });
            }
            PlatformEvent::Watch(event) => self.handle(Event::PlatformWatch(event)),
        }
    }

    /// Takes the news that a write is durable. As for the replica role, a failed one is fatal.
    pub fn durable(&mut self, cx: CX![], write: u64, result: Result<(), StoreError>) {
        match result {
            Ok(()) => self.handle(Event::Flushed { write }),
            Err(error) => fail!(cx, error),
        }
    }

    /// Takes the present members, from which relays are chosen.
    pub fn members(&mut self, _cx: CX![], members: Vec<Member>) {
        self.handle(Event::Members(members));
    }

    /// Takes an operator's change.
    pub fn change(&mut self, _cx: CX![], request: ChangeRequest, answers: OperatorAnswers) {
        let ticket = self.open_ticket(answers);
        self.handle(Event::Change { ticket, request });
    }

    /// Takes an operator's wish to read the newest configuration.
    pub fn read(&mut self, _cx: CX![], answers: OperatorAnswers) {
        let ticket = self.open_ticket(answers);
        self.handle(Event::Read { ticket });
    }

    fn open_ticket(&mut self, answers: OperatorAnswers) -> Ticket {
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        self.operators.insert(ticket, answers);
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

    /// Readiness is a change of state, so it is logged as well as counted.
    fn note_ready(&self, ready: bool) {
        let revision = self.state.borrow().last_known().revision().0;
        self.outputs.metrics.ready.set(i64::from(ready));
        log::info!("ready={ready} revision={revision}");
    }

    fn note_revision(&self, set: &ConfigurationSet) {
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
                // Without a platform operations stay unanswered, as if it were down.
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
                if let Some(answers) = self.operators.remove(&ticket) {
                    answers(answer);
                }
            }
            Effect::InForce(set) => {
                self.note_revision(&set);
                self.outputs.in_force.fwd(set);
            }
            Effect::Machines(machines) => self.outputs.machines.fwd(machines),
            Effect::Ready(ready) => self.note_ready(ready),
        }
    }
}
