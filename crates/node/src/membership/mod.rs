//! Actor of the membership role: drives the state machine and tells the other roles of changes.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ridgeworks_domain::NodeId;
use ridgeworks_membership::{Effect, Event, Member, MemberState, Membership};
use stakker::{CX, Fwd, after, at, fail};

use crate::clock::Clock;
use crate::message::NodeMessage;
use crate::metrics::{Metrics, PUBLISH_INTERVAL};
use crate::router::{Incoming, Outgoing};
use crate::wake_timer::WakeTimer;

/// A member joined, changed its state or was replaced.
#[derive(Debug, Clone)]
pub struct MemberChange {
    /// The member as it is now.
    pub member: Member,
    /// Its state before, `None` when it was not known.
    pub old_state: Option<MemberState>,
}

/// A message to an address whose node is not known yet.
#[derive(Debug)]
pub struct SeedMessage {
    /// The address.
    pub address: SocketAddr,
    /// The message.
    pub message: NodeMessage,
}

/// Another process of a later start carries this node's name.
#[derive(Debug)]
pub struct SupersededError;

impl std::fmt::Display for SupersededError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "another process of a later start carries this node's name"
        )
    }
}

impl std::error::Error for SupersededError {}

/// Where the role's effects go.
pub struct MembershipOutputs {
    /// Messages to members.
    pub outgoing: Fwd<Outgoing>,
    /// Messages to seeds.
    pub seeds: Fwd<SeedMessage>,
    /// Changes of members.
    pub changes: Fwd<MemberChange>,
    /// Counters of the role.
    pub metrics: Arc<Metrics>,
}

/// The membership role.
pub struct MembershipRole {
    clock: Clock,
    state: Rc<RefCell<Membership>>,
    outputs: MembershipOutputs,
    timer: WakeTimer,
}

impl MembershipRole {
    /// Starts the role on a state machine that the directory shares.
    pub fn init(
        cx: CX![],
        clock: Clock,
        state: Rc<RefCell<Membership>>,
        outputs: MembershipOutputs,
    ) -> Option<Self> {
        let mut role = Self {
            clock,
            state,
            outputs,
            timer: WakeTimer::default(),
        };
        role.handle(cx, Event::Timer);
        role.publish(cx);
        Some(role)
    }

    /// Takes a message from a member.
    pub fn receive(&mut self, cx: CX![], incoming: Incoming) {
        if let NodeMessage::Membership(message) = incoming.message {
            let from = incoming.from;
            self.handle(cx, Event::Message { from, message });
        }
    }

    /// Takes a sign of life.
    pub fn alive(&mut self, cx: CX![], node: NodeId) {
        self.handle(cx, Event::PeerActivity { node });
    }

    /// Takes the news that the link to a node closed.
    pub fn link_closed(&mut self, cx: CX![], node: NodeId) {
        self.handle(cx, Event::LinkClosed { node });
    }

    /// Announces that this node is leaving.
    pub fn leave(&mut self, cx: CX![]) {
        self.handle(cx, Event::Leave);
    }

    /// Announces that this node has left.
    pub fn left(&mut self, cx: CX![]) {
        self.handle(cx, Event::Left);
    }

    fn publish(&mut self, cx: CX![]) {
        let state = self.state.borrow();
        let metrics = &self.outputs.metrics;
        metrics.publish_membership(state.counters(), state.members());
        after!(PUBLISH_INTERVAL, [cx], publish());
    }

    fn on_timer(&mut self, cx: CX![]) {
        self.handle(cx, Event::Timer);
    }

    fn handle(&mut self, cx: CX![], event: Event) {
        let now = self.clock.now();
        let effects = self.state.borrow_mut().handle(event, now);
        for effect in effects {
            self.carry_out(cx, effect);
        }
        self.set_timer(cx);
    }

    /// One timer at a time: another for each event would go on for ever, as each sets its successor.
    fn set_timer(&mut self, cx: CX![]) {
        let next = self.state.borrow().next_timer();
        let at = self.clock.instant(next).max(cx.now());
        let timer = at!(at, [cx], on_timer());
        self.timer.replace(cx, timer);
    }

    fn carry_out(&mut self, cx: CX![], effect: Effect) {
        match effect {
            Effect::Send { to, message, .. } => {
                let message = NodeMessage::Membership(message);
                self.outputs.outgoing.fwd(Outgoing { to, message });
            }
            Effect::SendToSeed { address, message } => {
                let message = NodeMessage::Membership(message);
                self.outputs.seeds.fwd(SeedMessage { address, message });
            }
            Effect::MemberChanged { member, old_state } => {
                self.outputs.changes.fwd(MemberChange { member, old_state });
            }
            Effect::MemberForgotten { .. } => {}
            Effect::Superseded { .. } => fail!(cx, SupersededError),
        }
    }
}
