//! The gateway: finds the owner of each request's run and passes its answers on.
//!
//! It holds open requests only and decides nothing. A request whose owner fails is sent to the next
//! candidate; the run's log makes that safe.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crossbeam_channel::bounded;
use prometheus_client::metrics::gauge::Gauge;
use ridgeworks_domain::{Cost, NodeId, Refusal, RefusalReason};
use stakker::{CX, Fwd, MaxTimerKey, timer_max};

use super::admission::Commands;
use super::caller_request::CallerRequest;
use super::open_request::OpenRequest;
use crate::RETRY_DELAY;
use crate::directory::Directory;
use crate::message::{NodeMessage, OwnerAnswer, OwnerCommand, RequestId};
use crate::router::{Incoming, Outgoing};
use crate::thread_message::AnswerSender;

/// After this time without an answer the owner is asked again, in case a message was lost.
const ASK_AGAIN_INTERVAL: Duration = Duration::from_millis(500);
/// After an owner turned the request away.
const REDIRECT_DELAY: Duration = Duration::from_millis(50);
/// Longest time for a command of this node's own owner role.
const COMMAND_TIME: Duration = Duration::from_secs(60);
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Actor of the gateway role.
pub struct Gateway {
    node: NodeId,
    pub(super) directory: Directory,
    outgoing: Fwd<Outgoing>,
    pub(super) open: HashMap<RequestId, OpenRequest>,
    next_number: u64,
    pub(super) stopping: bool,
    open_requests: Gauge,
    check_timer: MaxTimerKey,
}

impl Gateway {
    /// Starts the role. `first_number` is drawn at random, so that a restarted process does not use
    /// a number again.
    pub fn init(
        _cx: CX![],
        node: NodeId,
        directory: Directory,
        outgoing: Fwd<Outgoing>,
        first_number: u64,
        open_requests: Gauge,
    ) -> Option<Self> {
        Some(Self {
            node,
            directory,
            outgoing,
            open: HashMap::new(),
            next_number: first_number,
            stopping: false,
            open_requests,
            check_timer: MaxTimerKey::default(),
        })
    }

    /// Takes a caller's request.
    pub fn submit(&mut self, cx: CX![], request: CallerRequest, answers: AnswerSender) {
        match self.admit(&request) {
            Ok(commands) => self.start(cx, commands, answers, request.deadline),
            Err(refusal) => pass_on(&answers, Err(refusal)),
        }
    }

    /// Takes a command of this node's own owner role to the owner of another run. It is repeated
    /// until it is answered or its time is over.
    pub fn command(&mut self, cx: CX![], command: OwnerCommand) {
        let (answers, _) = bounded(1);
        let deadline = cx.now() + COMMAND_TIME;
        self.start(cx, Commands::one(command), answers, deadline);
    }

    /// From now on every new request is refused as not run.
    pub fn stop(&mut self, _cx: CX![]) {
        self.stopping = true;
    }

    /// Takes a message from an owner.
    pub fn receive(&mut self, cx: CX![], incoming: Incoming) {
        if let NodeMessage::ToGateway { request, answer } = incoming.message {
            self.answer(cx, request, answer);
        }
    }

    fn answer(&mut self, cx: CX![], request: RequestId, answer: OwnerAnswer) {
        let now = cx.now();
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        match answer {
            OwnerAnswer::Chunk { offset, text } => {
                if open.takes_chunks()
                    && let Some(text) = open.new_part(offset, text)
                {
                    let offset = open.passed_on - text.len() as u64;
                    pass_on(&open.answers, Ok(OwnerAnswer::Chunk { offset, text }));
                }
                open.ask_again_at = now + ASK_AGAIN_INTERVAL;
            }
            OwnerAnswer::AskOther { owner } if owner != self.node || open.asked != Some(owner) => {
                self.ask_node(now, request, owner);
            }
            OwnerAnswer::AskOther { .. } => open.ask_again_at = now + REDIRECT_DELAY,
            OwnerAnswer::NotTaken => {
                open.times_asked = open.times_asked.saturating_sub(1);
                open.ask_again_at = now + REDIRECT_DELAY;
            }
            OwnerAnswer::Refused(Refusal {
                reason: RefusalReason::NotOwner | RefusalReason::NodeStopping,
                ..
            }) => {
                open.ask_again_at = now + REDIRECT_DELAY;
            }
            OwnerAnswer::Carved { budget } => self.open_child(now, request, budget),
            OwnerAnswer::Refused(refusal) => {
                let refusal = open.worded(refusal);
                self.finish(request, Err(refusal));
            }
            whole => self.finish(request, Ok(whole)),
        }
    }

    /// Whether nothing is open.
    pub fn is_idle(&self) -> bool {
        self.open.is_empty()
    }

    /// A node is gone: its requests go to the next candidates at once.
    pub fn node_lost(&mut self, cx: CX![], node: NodeId) {
        let now = cx.now();
        for request in self.collect(|open| open.asked == Some(node)) {
            self.ask(now, request);
        }
    }

    /// The parent has set the child's budget aside: the child itself is opened next.
    fn open_child(&mut self, now: Instant, request: RequestId, budget: Cost) {
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        if let Some(mut command) = open.next_command.take() {
            if let OwnerCommand::OpenRun { budget: carved, .. } = &mut command {
                *carved = Some(budget);
            }
            open.command = command;
            open.asked = None;
        }
        self.ask(now, request);
    }

    fn start(&mut self, cx: CX![], commands: Commands, answers: AnswerSender, deadline: Instant) {
        self.next_number = self.next_number.wrapping_add(1);
        let request = RequestId {
            gateway: self.node,
            number: self.next_number,
        };
        let open = OpenRequest {
            command: commands.first,
            next_command: commands.next,
            answers,
            deadline,
            asked: None,
            ask_again_at: cx.now(),
            times_asked: 0,
            passed_on: 0,
        };
        self.open.insert(request, open);
        self.open_requests.inc();
        self.schedule_check(cx);
        self.ask(cx.now(), request);
    }

    fn ask(&mut self, now: Instant, request: RequestId) {
        self.rename_repeated_open(request);
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        let Some(owner) = self.directory.preferred_owner(open.command.run()) else {
            open.ask_again_at = now + ASK_AGAIN_INTERVAL;
            return;
        };
        self.ask_node(now, request, owner);
    }

    fn ask_node(&mut self, now: Instant, request: RequestId, owner: NodeId) {
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        open.asked = Some(owner);
        open.times_asked += 1;
        open.ask_again_at = now + ASK_AGAIN_INTERVAL;
        let command = open.command.clone();
        let message = NodeMessage::ToOwner { request, command };
        self.outgoing.fwd(Outgoing { to: owner, message });
    }

    fn finish(&mut self, request: RequestId, answer: Result<OwnerAnswer, Refusal>) {
        if let Some(open) = self.open.remove(&request) {
            self.open_requests.dec();
            pass_on(&open.answers, answer);
        }
    }

    /// Without an open request nothing is checked: a node without requests is not woken for it.
    fn schedule_check(&mut self, cx: CX![]) {
        if self.open.is_empty() || cx.timer_max_active(self.check_timer) {
            return;
        }
        let at = cx.now() + CHECK_INTERVAL;
        timer_max!(&mut self.check_timer, at, [cx], check());
    }

    fn check(&mut self, cx: CX![]) {
        let now = cx.now();
        for request in self.collect(|open| open.deadline <= now) {
            let refusal = Refusal::retry_after(RefusalReason::Unknown, RETRY_DELAY);
            self.finish(request, Err(refusal));
        }
        for request in self.collect(|open| open.ask_again_at <= now) {
            self.ask(now, request);
        }
        self.schedule_check(cx);
    }

    fn collect(&self, matches: impl Fn(&OpenRequest) -> bool) -> Vec<RequestId> {
        self.open
            .iter()
            .filter(|(_, open)| matches(open))
            .map(|(request, _)| *request)
            .collect()
    }
}

// A caller that left closed its channel; its call goes on at the owner.
fn pass_on(answers: &AnswerSender, answer: Result<OwnerAnswer, Refusal>) {
    let _ = answers.send(answer);
}
