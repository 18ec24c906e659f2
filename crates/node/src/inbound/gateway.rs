//! The gateway: finds the owner of each request's run and passes its answers on.
//!
//! It holds open requests only and decides nothing. A request whose owner fails is sent to the next
//! candidate; the run's log makes that safe.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crossbeam_channel::bounded;
use prometheus_client::metrics::gauge::Gauge;
use ridgeworks_domain::{Cost, NodeId, PartnerName, ProgramName, Refusal, RefusalReason, RunId};
use stakker::{CX, Fwd, MaxTimerKey, timer_max};

use super::caller_request::{CallerCommand, CallerRequest};
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

/// Commands that one request of a caller takes, one after the other.
struct Commands {
    first: OwnerCommand,
    next: Option<OwnerCommand>,
}

impl Commands {
    fn one(first: OwnerCommand) -> Self {
        Self { first, next: None }
    }
}

/// Actor of the gateway role.
pub struct Gateway {
    node: NodeId,
    directory: Directory,
    outgoing: Fwd<Outgoing>,
    open: HashMap<RequestId, OpenRequest>,
    next_number: u64,
    stopping: bool,
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
                open.asked = Some(owner);
                open.times_asked += 1;
                open.ask_again_at = now + ASK_AGAIN_INTERVAL;
                let command = open.command.clone();
                self.send(owner, request, command);
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
        let lost: Vec<RequestId> = self
            .open
            .iter()
            .filter(|(_, open)| open.asked == Some(node))
            .map(|(request, _)| *request)
            .collect();
        for request in lost {
            self.ask(now, request);
        }
    }

    fn admit(&self, request: &CallerRequest) -> Result<Commands, Refusal> {
        if self.stopping {
            return Err(Refusal::retry_after(
                RefusalReason::NodeStopping,
                RETRY_DELAY,
            ));
        }
        let partner = self.directory.authenticate(&request.token_sha256)?;
        match &request.command {
            CallerCommand::OpenRun { program, parent } => {
                self.directory.check_program(&partner, program)?;
                self.open_commands(partner, program, *parent)
            }
            CallerCommand::Call { run, call } => Ok(Commands::one(OwnerCommand::Call {
                run: *run,
                partner,
                call: call.clone(),
            })),
            CallerCommand::CloseRun { run } => {
                let run = *run;
                Ok(Commands::one(OwnerCommand::CloseRun { run, partner }))
            }
            CallerCommand::ReadHistory { run } => {
                let run = *run;
                Ok(Commands::one(OwnerCommand::ReadHistory { run, partner }))
            }
        }
    }

    fn open_commands(
        &self,
        partner: PartnerName,
        program: &ProgramName,
        parent: Option<RunId>,
    ) -> Result<Commands, Refusal> {
        let new_run = self.directory.new_run()?;
        let child = new_run.run;
        let open = OwnerCommand::OpenRun {
            run: new_run.run,
            replicas: new_run.replicas,
            partner: partner.clone(),
            program: program.clone(),
            parent,
            budget: None,
        };
        Ok(match parent {
            None => Commands::one(open),
            Some(run) => Commands {
                first: OwnerCommand::CarveChild {
                    run,
                    partner,
                    child,
                    program: program.clone(),
                },
                next: Some(open),
            },
        })
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
        let Some(owner) = self.directory.owner_of(open.command.run()) else {
            open.ask_again_at = now + ASK_AGAIN_INTERVAL;
            return;
        };
        open.asked = Some(owner);
        open.times_asked += 1;
        open.ask_again_at = now + ASK_AGAIN_INTERVAL;
        let command = open.command.clone();
        self.send(owner, request, command);
    }

    /// A run's number must be opened once only, and whether the first opening took effect is not
    /// known: an opening that is repeated gets a new number.
    fn rename_repeated_open(&mut self, request: RequestId) {
        let Some(open) = self.open.get(&request) else {
            return;
        };
        let OwnerCommand::OpenRun {
            partner,
            program,
            parent,
            ..
        } = &open.command
        else {
            return;
        };
        if open.asked.is_none() {
            return;
        }
        let renamed = self.open_commands(partner.clone(), program, *parent);
        // Without replicas at hand the old number is asked for again later.
        if let (Ok(commands), Some(open)) = (renamed, self.open.get_mut(&request)) {
            open.command = commands.first;
            open.next_command = commands.next;
            open.asked = None;
        }
    }

    fn send(&mut self, owner: NodeId, request: RequestId, command: OwnerCommand) {
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
        let is_over = |open: &OpenRequest| open.deadline <= now;
        let over = self.collect(is_over);
        for request in over {
            let refusal = Refusal::retry_after(RefusalReason::Unknown, RETRY_DELAY);
            self.finish(request, Err(refusal));
        }
        let is_due = |open: &OpenRequest| open.ask_again_at <= now;
        for request in self.collect(is_due) {
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
