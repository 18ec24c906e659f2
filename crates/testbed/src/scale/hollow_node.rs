//! Actor of one hollow node: the product's state machines on the product's links.
//!
//! It routes as the daemon's router and member-changes actors do, and passes nothing to owners,
//! dispatchers or gateways, which it does not have.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ridgeworks_configuration::settings::TICK_INTERVAL;
use ridgeworks_configuration::{
    ConfigurationRole, Effect as ConfigurationEffect, Event as ConfigurationEvent,
    Member as ConfigurationMember,
};
use ridgeworks_domain::NodeId;
use ridgeworks_link::{Delivery, LinkClosed, LinkCounters, LinkSettings, Links, Peer};
use ridgeworks_membership::{Effect, Event, Member, MemberState, Membership};
use ridgeworks_node::clock::Clock;
use ridgeworks_node::membership::SupersededError;
use ridgeworks_node::message::NodeMessage;
use ridgeworks_run_log::replica::Replica;
use stakker::{ActorOwn, CX, FixedTimerKey, actor, after, at, call, fail, fwd_to, lazy, ret_nop};
use stakker_mio::mio::net::TcpListener;

use super::protocol::{Observation, SeenState};
use super::wall_clock::wall_clock_us;

/// Signs of life of one node are passed on no more often than this, as in the daemon.
const ALIVE_INTERVAL: Duration = Duration::from_millis(100);
/// How often the replica looks for runs whose owner is silent, as the daemon's sweep does.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
const SILENT_TIME: Duration = Duration::from_secs(10);

/// What all hollow nodes of a process share.
#[derive(Debug, Clone, Default)]
pub struct Shared {
    /// Nodes that are cut off from all others, together.
    pub cut: Rc<RefCell<BTreeSet<NodeId>>>,
    /// What was seen since the last report.
    pub observations: Rc<RefCell<Vec<Observation>>>,
}

/// What a hollow node is made of.
pub struct HollowParts {
    /// Its index.
    pub index: usize,
    /// Its failure detection.
    pub membership: Membership,
    /// Its configuration role.
    pub configuration: ConfigurationRole,
    /// Its replica role, on a node with a disk.
    pub replica: Option<Rc<Replica>>,
    /// The process's clock.
    pub clock: Clock,
    /// Settings of its links.
    pub link_settings: LinkSettings,
    /// Where it listens.
    pub listener: TcpListener,
    /// Counters that go on over its lives.
    pub counters: Arc<LinkCounters>,
    /// What it shares with the others.
    pub shared: Shared,
}

/// A hollow node.
pub struct HollowNode {
    pub(super) index: usize,
    node: NodeId,
    pub(super) membership: Membership,
    pub(super) configuration: ConfigurationRole,
    pub(super) replica: Option<Rc<Replica>>,
    pub(super) clock: Clock,
    links: ActorOwn<Links>,
    pub(super) counters: Arc<LinkCounters>,
    shared: Shared,
    last_alive: HashMap<NodeId, Instant>,
    timer: Option<(FixedTimerKey, Instant)>,
    pub(super) is_silent: bool,
    /// Whether the configuration role is to hear of the members once the changes at hand are taken.
    is_pending: bool,
}

impl HollowNode {
    /// Starts a life.
    pub fn init(cx: CX![], parts: HollowParts) -> Option<Self> {
        let node = parts.link_settings.node;
        let links = actor!(
            cx,
            Links::init(
                parts.link_settings,
                parts.listener,
                fwd_to!([cx], deliver() as (Delivery)),
                fwd_to!([cx], link_closed() as (LinkClosed)),
                parts.counters.clone()
            ),
            ret_nop!()
        );
        let mut hollow = Self {
            index: parts.index,
            node,
            membership: parts.membership,
            configuration: parts.configuration,
            replica: parts.replica,
            clock: parts.clock,
            links,
            counters: parts.counters,
            shared: parts.shared,
            last_alive: HashMap::new(),
            timer: None,
            is_silent: false,
            is_pending: false,
        };
        hollow.membership_event(cx, Event::Timer);
        hollow.tick(cx);
        hollow.sweep(cx);
        Some(hollow)
    }

    /// Its machine fails: nothing more is said or heard, and no connection is closed.
    pub fn silence(&mut self, _cx: CX![]) {
        self.is_silent = true;
    }

    /// Announces that it is leaving.
    pub fn leave(&mut self, cx: CX![]) {
        self.membership_event(cx, Event::Leave);
    }

    /// Announces that it has left, then is silent until its process ends.
    pub fn left(&mut self, cx: CX![]) {
        self.membership_event(cx, Event::Left);
        self.is_silent = true;
    }

    fn deliver(&mut self, cx: CX![], delivery: Delivery) {
        if self.is_silent || self.is_cut_off_from(delivery.from) {
            return;
        }
        let from = delivery.from;
        let Ok(message) = NodeMessage::decode(&delivery.body) else {
            return;
        };
        match message {
            NodeMessage::Membership(message) => {
                self.membership_event(cx, Event::Message { from, message });
            }
            NodeMessage::Configuration(message) => {
                self.note_alive(cx, from);
                let event = ConfigurationEvent::Message { from, message };
                self.configuration_event(event);
            }
            _ => self.note_alive(cx, from),
        }
    }

    fn note_alive(&mut self, cx: CX![], from: NodeId) {
        let now = cx.now();
        let last = self.last_alive.get(&from);
        if last.is_some_and(|last| now.duration_since(*last) < ALIVE_INTERVAL) {
            return;
        }
        self.last_alive.insert(from, now);
        self.membership_event(cx, Event::MessageFrom { node: from });
    }

    fn link_closed(&mut self, cx: CX![], closed: LinkClosed) {
        let node = closed.peer.node;
        if !self.is_cut_off_from(node) {
            self.membership_event(cx, Event::LinkClosed { node });
        }
    }

    fn on_timer(&mut self, cx: CX![]) {
        self.timer = None;
        self.membership_event(cx, Event::Timer);
    }

    fn membership_event(&mut self, cx: CX![], event: Event) {
        if self.is_silent {
            return;
        }
        let effects = self.membership.handle(event, self.clock.now());
        for effect in effects {
            self.carry_out(cx, effect);
        }
        self.set_timer(cx);
    }

    /// One timer at a time, for what is due next.
    fn set_timer(&mut self, cx: CX![]) {
        let next = self.clock.instant(self.membership.next_timer());
        if let Some((key, due)) = self.timer {
            if due == next {
                return;
            }
            cx.timer_del(key);
        }
        let key = at!(next.max(cx.now()), [cx], on_timer());
        self.timer = Some((key, next));
    }

    fn carry_out(&mut self, cx: CX![], effect: Effect) {
        match effect {
            Effect::Send {
                to,
                address,
                message,
            } => self.send(to, address, &NodeMessage::Membership(message)),
            Effect::SendToSeed { address, message } => {
                let seed = NodeId::from_name(&address.to_string());
                self.send(seed, address, &NodeMessage::Membership(message));
            }
            Effect::MemberChanged { member, old_state } => {
                self.member_changed(cx, &member, old_state);
            }
            Effect::MemberForgotten { .. } => {}
            Effect::Superseded { .. } => fail!(cx, SupersededError),
        }
    }

    fn member_changed(&mut self, cx: CX![], member: &Member, old_state: Option<MemberState>) {
        if let Some(state) = SeenState::of(member.state) {
            self.shared
                .observations
                .borrow_mut()
                .push(Observation::Member {
                    at_us: wall_clock_us(),
                    observer: self.index,
                    subject: member.name.clone(),
                    generation: member.incarnation.generation(),
                    state,
                });
        }
        let was_present = old_state.is_some_and(MemberState::is_present);
        let moved = was_present != member.state.is_present();
        if moved && !self.is_pending {
            self.is_pending = true;
            lazy!([cx], tell_configuration());
        }
    }

    fn tell_configuration(&mut self, _cx: CX![]) {
        self.is_pending = false;
        let members: Vec<Member> = self.membership.members().cloned().collect();
        let present = members
            .into_iter()
            .filter(|member| member.state.is_present())
            .map(|member| ConfigurationMember {
                node: member.node,
                zone: member.zone,
            });
        let event = ConfigurationEvent::Members(present.collect());
        self.configuration_event(event);
    }

    fn tick(&mut self, cx: CX![]) {
        if !self.is_silent {
            self.configuration_event(ConfigurationEvent::Tick);
            after!(TICK_INTERVAL, [cx], tick());
        }
    }

    fn sweep(&mut self, cx: CX![]) {
        if let Some(replica) = &self.replica {
            let now = self.clock.now();
            std::hint::black_box(replica.unsettled_runs(now, SILENT_TIME).count());
            after!(SWEEP_INTERVAL, [cx], sweep());
        }
    }

    fn configuration_event(&mut self, event: ConfigurationEvent) {
        let effects = self.configuration.handle(self.clock.now(), event);
        for effect in effects {
            match effect {
                ConfigurationEffect::Send { to, message } => {
                    let Some(address) = self.membership.member(to).map(|member| member.address)
                    else {
                        continue;
                    };
                    self.send(to, address, &NodeMessage::Configuration(message));
                }
                ConfigurationEffect::InForce(set) => {
                    let seen = Observation::Revision {
                        at_us: wall_clock_us(),
                        observer: self.index,
                        revision: set.revision().0,
                    };
                    self.shared.observations.borrow_mut().push(seen);
                }
                // A hollow node has neither a voter's disk, nor a platform, nor operators.
                _ => {}
            }
        }
    }

    fn send(&mut self, to: NodeId, address: SocketAddr, message: &NodeMessage) {
        if self.is_cut_off_from(to) {
            return;
        }
        let peer = Peer { node: to, address };
        call!([self.links], send(peer, message.encode()));
    }

    fn is_cut_off_from(&self, other: NodeId) -> bool {
        let cut = self.shared.cut.borrow();
        !cut.is_empty() && cut.contains(&self.node) != cut.contains(&other)
    }
}
