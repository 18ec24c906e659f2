//! The gateway: finds the owner of each request's run and passes its answers on.
//!
//! It holds open requests only and decides nothing. A request whose owner fails is sent to the next
//! candidate; the run's log makes that safe.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use ridgeworks_domain::{NodeId, PartnerName, Refusal, RefusalReason, RunId};
use stakker::{CX, Fwd, MaxTimerKey, timer_max};

use super::caller_request::{CallerCommand, CallerRequest};
use super::open_request::OpenRequest;
use crate::directory::Directory;
use crate::message::{NodeMessage, OwnerAnswer, OwnerCommand, RequestId};
use crate::router::Outgoing;
use crate::thread_message::AnswerSender;

/// After this time without an answer the owner is asked again, in case a message was lost.
const ASK_AGAIN_INTERVAL: Duration = Duration::from_millis(500);
/// After an owner turned the request away.
const REDIRECT_DELAY: Duration = Duration::from_millis(50);
const CHECK_INTERVAL: Duration = Duration::from_millis(25);
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Actor of the gateway role.
pub struct Gateway {
    node: NodeId,
    directory: Directory,
    outgoing: Fwd<Outgoing>,
    open: HashMap<RequestId, OpenRequest>,
    next_number: u64,
    stopping: bool,
    check_timer: MaxTimerKey,
}

impl Gateway {
    /// Starts the role. `first_number` is drawn at random, so that a restarted process does not use
    /// a number again.
    pub fn init(
        cx: CX![],
        node: NodeId,
        directory: Directory,
        outgoing: Fwd<Outgoing>,
        first_number: u64,
    ) -> Option<Self> {
        let mut gateway = Self {
            node,
            directory,
            outgoing,
            open: HashMap::new(),
            next_number: first_number,
            stopping: false,
            check_timer: MaxTimerKey::default(),
        };
        gateway.schedule_check(cx);
        Some(gateway)
    }

    /// Takes a caller's request.
    pub fn submit(&mut self, cx: CX![], request: CallerRequest, answers: AnswerSender) {
        match self.admit(&request, cx.now()) {
            Ok(command) => self.start(cx, command, answers, request.deadline),
            Err(refusal) => pass_on(&answers, Err(refusal)),
        }
    }

    /// From now on every new request is refused as not run.
    pub fn stop(&mut self, _cx: CX![]) {
        self.stopping = true;
    }

    /// Takes an owner's answer.
    pub fn answer(&mut self, cx: CX![], request: RequestId, answer: OwnerAnswer) {
        let now = cx.now();
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        match answer {
            OwnerAnswer::Chunk { offset, text } => {
                if let Some(text) = open.new_part(offset, text) {
                    let offset = open.passed_on - text.len() as u64;
                    pass_on(&open.answers, Ok(OwnerAnswer::Chunk { offset, text }));
                }
                open.ask_again_at = now + ASK_AGAIN_INTERVAL;
            }
            OwnerAnswer::AskOther { owner } if owner != self.node || open.asked != Some(owner) => {
                open.asked = Some(owner);
                open.ask_again_at = now + ASK_AGAIN_INTERVAL;
                let command = open.command.clone();
                self.send(owner, request, command);
            }
            OwnerAnswer::AskOther { .. } => open.ask_again_at = now + REDIRECT_DELAY,
            OwnerAnswer::Refused(Refusal {
                reason: RefusalReason::NotOwner,
                ..
            }) => {
                open.asked = None;
                open.ask_again_at = now + REDIRECT_DELAY;
            }
            OwnerAnswer::Refused(refusal) => self.finish(request, Err(refusal)),
            whole => self.finish(request, Ok(whole)),
        }
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

    fn admit(&self, request: &CallerRequest, now: Instant) -> Result<OwnerCommand, Refusal> {
        if self.stopping {
            return Err(Refusal::retry_after(RefusalReason::NodeStopping, RETRY_DELAY));
        }
        let partner = self.directory.authenticate(&request.token_sha256, now)?;
        match &request.command {
            CallerCommand::OpenRun {
                program,
                parent,
                budget,
            } => {
                self.directory.check_program(&partner, program, now)?;
                Ok(OwnerCommand::OpenRun {
                    run: self.directory.new_run_id()?,
                    partner,
                    program: program.clone(),
                    parent: *parent,
                    budget: *budget,
                })
            }
            CallerCommand::Call { run, call } => Ok(OwnerCommand::Call {
                run: *run,
                partner,
                call: call.clone(),
            }),
            CallerCommand::CloseRun { run } => Ok(close(*run, partner)),
            CallerCommand::ReadHistory { run } => Ok(OwnerCommand::ReadHistory { run: *run, partner }),
        }
    }

    fn start(
        &mut self,
        cx: CX![],
        command: OwnerCommand,
        answers: AnswerSender,
        deadline: Instant,
    ) {
        self.next_number = self.next_number.wrapping_add(1);
        let request = RequestId {
            gateway: self.node,
            number: self.next_number,
        };
        let open = OpenRequest {
            command,
            answers,
            deadline,
            asked: None,
            ask_again_at: cx.now(),
            passed_on: 0,
        };
        self.open.insert(request, open);
        self.ask(cx.now(), request);
    }

    fn ask(&mut self, now: Instant, request: RequestId) {
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        let Some(owner) = self.directory.owner_of(open.command.run()) else {
            open.ask_again_at = now + ASK_AGAIN_INTERVAL;
            return;
        };
        open.asked = Some(owner);
        open.ask_again_at = now + ASK_AGAIN_INTERVAL;
        let command = open.command.clone();
        self.send(owner, request, command);
    }

    fn send(&mut self, owner: NodeId, request: RequestId, command: OwnerCommand) {
        let message = NodeMessage::ToOwner { request, command };
        self.outgoing.fwd(Outgoing { to: owner, message });
    }

    fn finish(&mut self, request: RequestId, answer: Result<OwnerAnswer, Refusal>) {
        if let Some(open) = self.open.remove(&request) {
            pass_on(&open.answers, answer);
        }
    }

    fn schedule_check(&mut self, cx: CX![]) {
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

fn close(run: RunId, partner: PartnerName) -> OwnerCommand {
    OwnerCommand::CloseRun { run, partner }
}

// A caller that left closed its channel; its call goes on at the owner.
fn pass_on(answers: &AnswerSender, answer: Result<OwnerAnswer, Refusal>) {
    let _ = answers.send(answer);
}
