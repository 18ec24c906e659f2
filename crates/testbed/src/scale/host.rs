//! A process of hollow nodes: one actor thread runs them all.

use std::collections::BTreeSet;
use std::io::{self, BufRead, Write};
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::Receiver;
use ridgeworks_configuration::{ConfigurationRole, ConfigurationSettings};
use ridgeworks_domain::{NodeId, RegionName, ZoneName};
use ridgeworks_link::{LinkCounters, LinkSettings, Links};
use ridgeworks_membership::{Incarnation, Member, MemberState, Membership, MembershipConfig};
use ridgeworks_node::clock::Clock;
use ridgeworks_node::mailbox::Mailbox;
use ridgeworks_run_log::replica::Replica;
use stakker::{ActorOwn, Stakker, actor, call, query, ret_nop};
use stakker_mio::MioPoll;
use stakker_mio::mio::{Events, Poll};

use super::error::ScaleError;
use super::hollow_node::{HollowNode, HollowParts, Shared};
use super::idle_runs::replica_of;
use super::layout::{HollowPlan, name_of};
use super::node_report::link_report;
use super::protocol::{HostCommand, HostPlan, HostReport, NodeReport};

const POLL_EVENTS: usize = 1_024;
const WAKE_PRIORITY: u32 = 10;
const LONGEST_POLL: Duration = Duration::from_secs(1);
/// As in the daemon.
const MAX_QUEUED_LINK_BYTES: usize = 64 * 1024 * 1024;

/// One hollow node, up or down.
struct Slot {
    plan: HollowPlan,
    counters: Arc<LinkCounters>,
    /// Made before any node runs, as restoring it would stop the other nodes of the thread; it
    /// outlasts the node's lives.
    replica: Option<Rc<Replica>>,
    actor: Option<ActorOwn<HollowNode>>,
}

/// The hollow nodes of one process.
pub struct Host {
    plan: HostPlan,
    voters: Vec<NodeId>,
    slots: Vec<Slot>,
    shared: Shared,
    clock: Clock,
    stakker: Stakker,
    poll: MioPoll,
    idle_pending: bool,
    io_pending: bool,
}

impl Host {
    /// A process whose nodes are all down.
    pub fn new(plan: HostPlan) -> Result<Self, ScaleError> {
        let mut stakker = Stakker::new(Instant::now());
        let poll = Poll::new().map_err(ScaleError::Poll)?;
        let events = Events::with_capacity(POLL_EVENTS);
        let poll = MioPoll::new(&mut stakker, poll, events, WAKE_PRIORITY);
        let clock = Clock::start();
        let ids = |names: &[String]| -> Vec<NodeId> {
            names.iter().map(|name| NodeId::from_name(name)).collect()
        };
        let disk_nodes = ids(&plan.disk_nodes);
        let slot = |node: &HollowPlan| {
            let mut names = plan.disk_nodes.iter();
            let position = names.position(|name| *name == node.name);
            let now = clock.now();
            let replica =
                position.map(|position| replica_of(&disk_nodes, position, plan.runs, now));
            Slot {
                plan: node.clone(),
                counters: Arc::default(),
                replica: replica.map(Rc::new),
                actor: None,
            }
        };
        Ok(Self {
            voters: ids(&plan.voters),
            slots: plan.nodes.iter().map(slot).collect(),
            plan,
            shared: Shared::default(),
            clock,
            stakker,
            poll: poll.map_err(ScaleError::Poll)?,
            idle_pending: false,
            io_pending: false,
        })
    }

    /// Carries a command out; answers [`HostCommand::Report`].
    pub fn apply(&mut self, command: HostCommand) -> Result<Option<HostReport>, ScaleError> {
        match command {
            HostCommand::Start { nodes, generation } => self.start(&nodes, generation)?,
            HostCommand::Silence { nodes } => {
                self.each(&nodes, |actor| call!([actor], silence()));
            }
            HostCommand::Leave { nodes } => self.each(&nodes, |actor| call!([actor], leave())),
            HostCommand::Left { nodes } => self.each(&nodes, |actor| call!([actor], left())),
            HostCommand::Close { nodes } => self.close(&nodes),
            HostCommand::Cut { nodes } => {
                let ids = nodes
                    .iter()
                    .map(|index| NodeId::from_name(&name_of(*index)));
                *self.shared.cut.borrow_mut() = ids.collect::<BTreeSet<NodeId>>();
            }
            HostCommand::Report => return Ok(Some(self.report())),
        }
        Ok(None)
    }

    /// Lets the actors run once, waiting for something to do for at most `longest`.
    pub fn turn(&mut self, longest: Duration) -> Result<(), ScaleError> {
        let pending = self.idle_pending || self.io_pending;
        let wait = self.stakker.next_wait_max(Instant::now(), longest, pending);
        let (activity, io_pending) = self.poll.poll(wait).map_err(ScaleError::Poll)?;
        self.io_pending = io_pending;
        self.idle_pending = self.stakker.run(Instant::now(), !activity);
        Ok(())
    }

    fn run(&mut self, commands: &Receiver<HostInput>) -> Result<(), ScaleError> {
        let mut output = io::stdout();
        loop {
            self.turn(LONGEST_POLL)?;
            for input in commands.try_iter() {
                let HostInput::Command(command) = input else {
                    return Ok(());
                };
                if let Some(report) = self.apply(command)? {
                    let line = serde_json::to_string(&report).map_err(ScaleError::Protocol)?;
                    writeln!(output, "{line}")
                        .and_then(|()| output.flush())
                        .map_err(ScaleError::Pipe)?;
                }
            }
            // Commands are carried out before the next wait.
            self.idle_pending = self.stakker.run(Instant::now(), false);
        }
    }

    fn each(&self, nodes: &[usize], act: impl Fn(&ActorOwn<HollowNode>)) {
        let named = self
            .slots
            .iter()
            .filter(|slot| nodes.contains(&slot.plan.index));
        named.filter_map(|slot| slot.actor.as_ref()).for_each(act);
    }

    fn close(&mut self, nodes: &[usize]) {
        for slot in &mut self.slots {
            if nodes.contains(&slot.plan.index) {
                slot.actor = None;
            }
        }
        // The sockets close when the actors are dropped, which is deferred.
        self.stakker.run(Instant::now(), false);
    }

    fn start(&mut self, nodes: &[usize], generation: u64) -> Result<(), ScaleError> {
        self.close(nodes);
        for position in 0..self.slots.len() {
            if nodes.contains(&self.slots[position].plan.index) {
                let parts = self.parts(&self.slots[position], generation)?;
                let actor = actor!(self.stakker, HollowNode::init(parts), ret_nop!());
                self.slots[position].actor = Some(actor);
            }
        }
        Ok(())
    }

    fn parts(&self, slot: &Slot, generation: u64) -> Result<HollowParts, ScaleError> {
        let plan = &slot.plan;
        let node = NodeId::from_name(&plan.name);
        let now = self.clock.now();
        let incarnation = Incarnation::at_start(generation);
        let link_settings = LinkSettings {
            listen: plan.address,
            node,
            incarnation: incarnation.0,
            dial_overrides: Vec::new(),
            max_queued_bytes: MAX_QUEUED_LINK_BYTES,
        };
        let own = Member {
            node,
            name: plan.name.clone(),
            incarnation,
            address: plan.address,
            zone: ZoneName::new(plan.zone.clone()).map_err(ScaleError::Name)?,
            region: RegionName::new(plan.region.clone()).map_err(ScaleError::Name)?,
            has_disk: plan.has_disk,
            state: MemberState::Alive,
        };
        let configuration = ConfigurationSettings {
            node,
            voters: self.voters.clone(),
            seed: rand::random(),
        };
        Ok(HollowParts {
            index: plan.index,
            membership: Membership::new(
                MembershipConfig::default(),
                own,
                self.plan.seeds.clone(),
                rand::random(),
                now,
            ),
            configuration: ConfigurationRole::new(configuration, None, now),
            replica: slot.replica.clone(),
            clock: self.clock,
            listener: Links::bind(&link_settings).map_err(ScaleError::Link)?,
            link_settings,
            counters: slot.counters.clone(),
            shared: self.shared.clone(),
        })
    }

    fn report(&mut self) -> HostReport {
        let mut nodes: Vec<NodeReport> = Vec::with_capacity(self.slots.len());
        for slot in &self.slots {
            let answered = slot
                .actor
                .as_ref()
                .and_then(|actor| query!([actor, &mut self.stakker], report()));
            nodes.push(answered.unwrap_or_else(|| link_report(slot.plan.index, &slot.counters)));
        }
        HostReport {
            nodes,
            observations: std::mem::take(&mut *self.shared.observations.borrow_mut()),
        }
    }
}

enum HostInput {
    Command(HostCommand),
    End,
}

/// Runs a process of hollow nodes: the plan and commands come over the standard input, whose end
/// ends the process.
pub fn run_host() -> Result<(), ScaleError> {
    let mut first = String::new();
    io::stdin()
        .lock()
        .read_line(&mut first)
        .map_err(ScaleError::Pipe)?;
    let plan: HostPlan = serde_json::from_str(&first).map_err(ScaleError::Protocol)?;
    let mut host = Host::new(plan)?;
    let (mailbox, commands) = Mailbox::new(host.poll.waker());
    thread::spawn(move || read_commands(&mailbox));
    host.run(&commands)
}

fn read_commands(mailbox: &Mailbox<HostInput>) {
    for line in io::stdin().lock().lines() {
        let Ok(line) = line else {
            break;
        };
        // The driver is of the same program: a line that cannot be read ends the process.
        let Ok(command) = serde_json::from_str(&line) else {
            break;
        };
        mailbox.post(HostInput::Command(command));
    }
    mailbox.post(HostInput::End);
}
