//! Actor of the owner role: holds the runs that this node owns and hands each its events.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crossbeam_channel::Sender;
use ridgeworks_domain::{NodeId, RunId};
use ridgeworks_membership::{Member, MemberState};
use ridgeworks_run_log::event::{CallerId, OwnerEvent};
use ridgeworks_run_log::message::{Message, Reply};
use ridgeworks_scheduling::Ticket;
use stakker::{CX, Fwd, after};

use super::identities;
use super::owned_run::OwnedRun;
use super::owned_runs::OwnedRuns;
use super::pause::PauseDetector;
use crate::clock::Clock;
use crate::directory::Directory;
use crate::dispatcher::DispatcherCommand;
use crate::message::{NodeMessage, OwnerAnswer, OwnerCommand, RequestId};
use crate::metrics::Metrics;
use crate::operator::OperatorReply;
use crate::outbound::BackendClient;
use crate::router::{Incoming, Outgoing};
use crate::settings::SweepSettings;

const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// An idle run is given up after this time; its next call takes it over again from its replicas.
const IDLE_TIME: Duration = Duration::from_secs(60);
/// Time between two looks for such runs.
const GIVE_UP_INTERVAL: Duration = Duration::from_secs(1);
/// Where the role's effects go.
pub struct OwnerOutputs {
    /// Messages to roles of all nodes.
    pub outgoing: Fwd<Outgoing>,
    /// Commands for owners of other runs, which the gateway of this node repeats until answered.
    pub commands: Fwd<OwnerCommand>,
    /// Calls of back ends.
    pub backends: Arc<BackendClient>,
    /// Counters of the role.
    pub metrics: Arc<Metrics>,
}

/// The owner role.
pub struct OwnerRole {
    pub(super) node: NodeId,
    pub(super) clock: Clock,
    pub(super) directory: Directory,
    pub(super) outputs: OwnerOutputs,
    pub(super) runs: OwnedRuns,
    /// The run of each slot that is asked for or held.
    pub(super) runs_by_ticket: HashMap<Ticket, RunId>,
    pub(super) next_number: u64,
    pub(super) stopping: bool,
    pub(super) sweep_settings: SweepSettings,
    pub(super) pauses: PauseDetector,
    give_up_at: Instant,
}

impl OwnerRole {
    /// Starts the role without any run. Numbers of callers and tickets are counted from a random
    /// start, so that a restarted node uses none again.
    pub fn init(
        cx: CX![],
        node: NodeId,
        directory: Directory,
        outputs: OwnerOutputs,
        sweep_settings: SweepSettings,
    ) -> Option<Self> {
        let mut role = Self {
            node,
            clock: directory.clock(),
            directory,
            outputs,
            runs: OwnedRuns::default(),
            runs_by_ticket: HashMap::new(),
            next_number: rand::random(),
            stopping: false,
            sweep_settings,
            pauses: PauseDetector::new(cx.now()),
            give_up_at: cx.now(),
        };
        role.tick(cx);
        role.refresh_identities(cx);
        role.complete_replicas(cx);
        Some(role)
    }

    /// Takes a message.
    pub fn receive(&mut self, cx: CX![], incoming: Incoming) {
        let from = incoming.from;
        match incoming.message {
            NodeMessage::ToOwner { request, command } => self.command(cx.now(), request, command),
            NodeMessage::RunLog(Message::Reply(reply)) => self.reply(from, reply),
            NodeMessage::ToOwnerOfTicket(answer) => self.dispatcher_answer(cx.now(), answer),
            NodeMessage::OwnershipQuery { run } => self.ownership_query(from, run),
            NodeMessage::OwnershipAnswer { run, busy } => {
                self.ownership_answer(cx.now(), from, run, busy);
            }
            NodeMessage::AdoptRuns { runs, forwarded } => {
                self.adopt_runs(cx.now(), runs, forwarded);
            }
            _ => {}
        }
    }

    /// Takes a change of a member.
    pub fn member_changed(&mut self, cx: CX![], member: Member) {
        if member.state == MemberState::Alive {
            self.announce_running_to(member.node);
            self.ask_identity(cx, member.clone());
            for pause in identities::REPEATS {
                let member = member.clone();
                after!(pause, [cx], ask_identity(member));
            }
        }
    }

    fn ask_identity(&mut self, _cx: CX![], member: Member) {
        identities::ask(&member, &self.outputs.outgoing);
    }

    /// From now on calls are refused, except those in progress.
    pub fn stop(&mut self, _cx: CX![]) {
        self.stopping = true;
    }

    /// Answers an operator who asks how many runs this node owns.
    pub fn report_count(&mut self, _cx: CX![], replies: Sender<OperatorReply>) {
        // An operator that left is told nothing.
        let _ = replies.send(OperatorReply::OwnedRuns(self.runs.len()));
    }

    /// Writes down how many runs have something in progress.
    pub fn report_busy(&mut self, _cx: CX![], busy: Arc<AtomicUsize>) {
        let count = self.runs.active().filter(|run| !run.is_idle()).count();
        busy.store(count, Ordering::Relaxed);
    }

    /// A number that no caller or ticket of this node had before.
    pub(super) fn new_number(&mut self) -> u64 {
        self.next_number = self.next_number.wrapping_add(1);
        self.next_number
    }

    pub(super) fn new_caller(&mut self) -> CallerId {
        CallerId(self.new_number())
    }

    pub(super) fn answer(&mut self, request: RequestId, answer: OwnerAnswer) {
        let message = NodeMessage::ToGateway { request, answer };
        self.send(request.gateway, message);
    }

    pub(super) fn send(&mut self, to: NodeId, message: NodeMessage) {
        self.outputs.outgoing.fwd(Outgoing { to, message });
    }

    /// Sends a command to the node that dispatches for its service, if one is known.
    pub(super) fn send_to_dispatcher_of(&mut self, command: DispatcherCommand) {
        if let Some(dispatcher) = self.directory.dispatcher_of(command.service()) {
            self.send(dispatcher, NodeMessage::ToDispatcher(command));
        }
    }

    /// Hands an event to a run's owner and carries out what follows.
    pub(super) fn handle(&mut self, now: Instant, run: RunId, event: OwnerEvent) {
        let time = self.clock.now();
        let Some(owner) = self.runs.get_mut(&run).and_then(OwnedRun::owner_mut) else {
            return;
        };
        let effects = owner.handle(event, time);
        self.carry_out(now, run, effects);
    }

    fn reply(&mut self, from: NodeId, reply: Reply) {
        if let Reply::Identity { replica } = reply {
            self.directory.record_identity(replica);
            return;
        }
        if let Some(run) = reply.run() {
            let now = Instant::now();
            self.handle(now, run, OwnerEvent::Reply { from, reply });
        }
    }

    fn refresh_identities(&mut self, cx: CX![]) {
        for member in self.directory.members() {
            identities::ask(&member, &self.outputs.outgoing);
        }
        after!(identities::REFRESH_INTERVAL, [cx], refresh_identities());
    }

    fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        self.pauses.tick(now);
        self.give_up_idle(now);
        let owned = i64::try_from(self.runs.len()).unwrap_or(i64::MAX);
        self.outputs.metrics.runs_owned.set(owned);
        for run in self.runs.busy() {
            self.handle(now, run, OwnerEvent::Tick);
            self.check_slot(now, run);
            self.check_contacts(now, run);
            self.check_query(now, run);
            self.check_pending(now, run);
            self.check_claim(now, run);
        }
        after!(TICK_INTERVAL, [cx], tick());
    }

    /// Looks at all runs, so not every tick.
    fn give_up_idle(&mut self, now: Instant) {
        if now < self.give_up_at {
            return;
        }
        self.give_up_at = now + GIVE_UP_INTERVAL;
        self.runs.retain(|owned| {
            let unused = now.saturating_duration_since(owned.last_used);
            unused < IDLE_TIME || !owned.is_idle()
        });
    }
}
