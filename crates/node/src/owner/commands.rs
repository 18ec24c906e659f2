//! Commands of gateways to the owner of a run.

use std::time::{Duration, Instant};

use ridgeworks_domain::run_id::REPLICAS_PER_RUN;
use ridgeworks_domain::{
    CallRequest, Cost, MonotonicTime, NodeId, PartnerName, ProgramName, Refusal, RefusalReason,
    RunId,
};
use ridgeworks_run_log::entry::{Opening, ReplicaId};
use ridgeworks_run_log::event::OwnerEvent;
use ridgeworks_run_log::owner::{OwnerSettings, RunOwner};

use super::owned_run::{OwnedRun, Ownership, PendingCommand};
use super::prompt::{call_size, service_of};
use super::quorum::no_quorum;
use super::role::{OwnerRole, QUERY_TIMEOUT};
use super::waiter::{Waiter, Wanted};
use crate::RETRY_DELAY;
use crate::message::{NodeMessage, OwnerAnswer, OwnerCommand, RequestId};

/// A node learns of all others within this time of its start.
const JOIN_TIME: Duration = Duration::from_secs(3);
/// Nodes after the first candidate that are asked whether they own a run.
const ASKED_CANDIDATES: usize = 1;
const MAJORITY_OF_REPLICAS: usize = REPLICAS_PER_RUN / 2 + 1;
/// A call whose caller names no deadline waits this long at most.
const LONGEST_WAIT: Duration = Duration::from_secs(600);

/// What a run is opened with.
struct OpenParameters {
    run: RunId,
    replicas: Vec<ReplicaId>,
    partner: PartnerName,
    program: ProgramName,
    parent: Option<RunId>,
    budget: Option<Cost>,
}

impl OwnerRole {
    pub(super) fn command(&mut self, now: Instant, request: RequestId, command: OwnerCommand) {
        let run = command.run();
        if let Some(owned) = self.runs.get_mut(&run) {
            owned.last_used = now;
            if owned.knows(request) {
                return;
            }
        }
        if self.lacks_majority(run, &command) {
            self.answer(request, OwnerAnswer::Refused(no_quorum()));
            return;
        }
        match command {
            OwnerCommand::OpenRun {
                run,
                replicas,
                partner,
                program,
                parent,
                budget,
            } => self.open_run(
                now,
                request,
                OpenParameters {
                    run,
                    replicas,
                    partner,
                    program,
                    parent,
                    budget,
                },
            ),
            command => self.command_to_run(now, request, command),
        }
    }

    /// Another node wants to take a run over.
    pub(super) fn ownership_query(&mut self, from: NodeId, run: RunId) {
        let busy = self.runs.get(&run).is_some_and(|owned| !owned.is_idle());
        if !busy {
            self.runs.remove(&run);
        }
        self.send(from, NodeMessage::OwnershipAnswer { run, busy });
    }

    pub(super) fn ownership_answer(&mut self, now: Instant, from: NodeId, run: RunId, busy: bool) {
        let Some(owned) = self.runs.get_mut(&run) else {
            return;
        };
        let Ownership::Asking { unanswered, .. } = &mut owned.ownership else {
            return;
        };
        if busy {
            let pending = std::mem::take(&mut owned.pending);
            self.runs.remove(&run);
            for waiting in pending {
                self.answer(waiting.request, OwnerAnswer::AskOther { owner: from });
            }
            return;
        }
        unanswered.retain(|node| *node != from);
        if unanswered.is_empty() {
            self.take_over(now, run);
        }
    }

    /// Goes on without the nodes that did not answer in time.
    pub(super) fn check_query(&mut self, now: Instant, run: RunId) {
        let ownership = self.runs.get(&run).map(|owned| &owned.ownership);
        if let Some(Ownership::Asking { until, .. }) = ownership
            && now >= *until
        {
            self.take_over(now, run);
        }
    }

    /// Hands the commands that waited to a run that became ready.
    pub(super) fn take_pending(&mut self, now: Instant, run: RunId) {
        let Some(owned) = self.runs.get_mut(&run) else {
            return;
        };
        for pending in std::mem::take(&mut owned.pending) {
            self.command_to_ready(now, pending.request, pending.command);
        }
    }

    fn open_run(&mut self, now: Instant, request: RequestId, parameters: OpenParameters) {
        let run = parameters.run;
        if self.runs.contains_key(&run) {
            self.answer_opened(request, run);
            return;
        }
        match self.opening(parameters) {
            Ok(opening) => {
                let settings = OwnerSettings::default();
                let time = self.clock.now();
                let (owner, effects) = RunOwner::open(run, self.node, opening, settings, time);
                let ownership = Ownership::Owner(Box::new(owner));
                let mut owned = OwnedRun::new(run, ownership, now);
                let caller = self.new_caller();
                let wanted = Wanted::Opened;
                owned.waiters.insert(caller, Waiter { request, wanted });
                self.runs.insert(run, owned);
                self.carry_out(now, run, effects);
            }
            Err(refusal) => self.answer(request, OwnerAnswer::Refused(refusal)),
        }
    }

    // The request came before, and its answer was lost.
    fn answer_opened(&mut self, request: RequestId, run: RunId) {
        let state = self.runs.get(&run).and_then(OwnedRun::ready_state);
        let budget = state
            .and_then(|state| state.opening())
            .map(|opening| opening.budget);
        if let Some(budget) = budget {
            self.answer(request, OwnerAnswer::Opened { run, budget });
        }
    }

    fn opening(&self, parameters: OpenParameters) -> Result<Opening, Refusal> {
        if self.stopping {
            return Err(not_owner());
        }
        let configuration = self.directory.in_force()?;
        let program = configuration
            .program(&parameters.program)
            // The gateway knows it, so one of the two configurations is behind the other.
            .ok_or_else(configuration_behind)?;
        Ok(Opening {
            partner: parameters.partner,
            program: parameters.program,
            class: program.class.clone(),
            budget: parameters.budget.unwrap_or(program.budget),
            max_calls: program.max_calls,
            parent: parameters.parent,
            replicas: parameters.replicas,
        })
    }

    fn command_to_run(&mut self, now: Instant, request: RequestId, command: OwnerCommand) {
        let run = command.run();
        if !self.runs.contains_key(&run) && !self.begin_owning(now, run) {
            self.answer(request, OwnerAnswer::NotTaken);
            return;
        }
        let Some(owned) = self.runs.get_mut(&run) else {
            return;
        };
        if owned.ready_state().is_some() {
            self.command_to_ready(now, request, command);
        } else {
            owned.pending.push(PendingCommand {
                request,
                command,
                since: now,
            });
        }
    }

    /// Begins to take a run over, if this node is the first candidate for it.
    pub(super) fn begin_owning(&mut self, now: Instant, run: RunId) -> bool {
        let candidates = self.directory.owner_candidates(run);
        if self.stopping || candidates.first() != Some(&self.node) {
            return false;
        }
        // A node that has just started knows nobody and takes itself for the owner of all runs. Later
        // it knows all there are, and a run whose named replicas are gone is looked for elsewhere.
        let is_joining = self.clock.now() < MonotonicTime::ZERO + JOIN_TIME;
        if is_joining && self.directory.replicas_of(run).len() < MAJORITY_OF_REPLICAS {
            return false;
        }
        let mut asked: Vec<NodeId> = self.directory.leaving_nodes().into_iter().collect();
        asked.extend(candidates.iter().skip(1).take(ASKED_CANDIDATES));
        if asked.is_empty() {
            self.take_over(now, run);
            return true;
        }
        let ownership = Ownership::Asking {
            unanswered: asked.clone(),
            until: now + QUERY_TIMEOUT,
        };
        self.runs.insert(run, OwnedRun::new(run, ownership, now));
        for node in asked {
            self.send(node, NodeMessage::OwnershipQuery { run });
        }
        true
    }

    fn command_to_ready(&mut self, now: Instant, request: RequestId, command: OwnerCommand) {
        let run = command.run();
        match self.owner_event(now, request, command) {
            Ok(event) => self.handle(now, run, event),
            Err(refusal) => self.answer(request, OwnerAnswer::Refused(refusal)),
        }
    }

    fn owner_event(
        &mut self,
        now: Instant,
        request: RequestId,
        command: OwnerCommand,
    ) -> Result<OwnerEvent, Refusal> {
        let run = command.run();
        match command {
            OwnerCommand::Call { partner, call, .. } => {
                self.check_partner(run, &partner)?;
                self.call_event(now, request, run, call)
            }
            OwnerCommand::CloseRun { partner, .. } => {
                self.check_partner(run, &partner)?;
                let caller = self.wait(run, request, Wanted::Closed);
                Ok(OwnerEvent::Close { caller })
            }
            OwnerCommand::ReadHistory { partner, .. } => {
                self.check_partner(run, &partner)?;
                let caller = self.wait(run, request, Wanted::History);
                Ok(OwnerEvent::ReadHistory { caller })
            }
            OwnerCommand::CarveChild {
                partner,
                child,
                program,
                ..
            } => {
                self.check_partner(run, &partner)?;
                let budget = self.child_budget(run, &program)?;
                let caller = self.wait(run, request, Wanted::Child { budget, program });
                Ok(OwnerEvent::OpenChild {
                    caller,
                    run: child,
                    budget,
                })
            }
            OwnerCommand::SettleChild { child, spent, .. } => {
                self.answer(request, OwnerAnswer::Settled);
                Ok(OwnerEvent::ChildClosed { run: child, spent })
            }
            OwnerCommand::OpenRun { .. } => Err(Refusal::permanent(RefusalReason::Unknown)),
        }
    }

    fn call_event(
        &mut self,
        now: Instant,
        request: RequestId,
        run: RunId,
        mut call: CallRequest,
    ) -> Result<OwnerEvent, Refusal> {
        let max_attempts = self.size_call(run, &mut call)?;
        let wait = call.deadline_ms.map_or(LONGEST_WAIT, Duration::from_millis);
        let wanted = Wanted::Answer {
            key: call.key.clone(),
            stream: call.stream,
        };
        let caller = self.wait(run, request, wanted);
        self.pass_on_text_so_far(run, request);
        if let Some(owned) = self.runs.get_mut(&run) {
            owned
                .deadlines
                .insert(call.sequence, now + wait.min(LONGEST_WAIT));
        }
        Ok(OwnerEvent::Call {
            caller,
            request: call,
            max_attempts,
        })
    }

    /// Sets the reserve of a new call. A call that the log knows keeps what it has, so that its
    /// answer can be had also while the configuration cannot be proved to be the newest.
    fn size_call(&self, run: RunId, call: &mut CallRequest) -> Result<u32, Refusal> {
        let state = self
            .runs
            .get(&run)
            .and_then(OwnedRun::ready_state)
            .ok_or_else(not_owner)?;
        if let Some(known) = state.call(call.sequence) {
            call.reserve = known.request.reserve;
            return Ok(known.max_attempts);
        }
        if self.stopping {
            return Err(not_owner());
        }
        let configuration = self.directory.in_force()?;
        let service = service_of(call, state, &configuration)?;
        call.reserve = call_size(call, service, state)?.reserve;
        Ok(service.max_attempts)
    }

    fn child_budget(&self, run: RunId, program: &ProgramName) -> Result<Cost, Refusal> {
        let configuration = self.directory.in_force()?;
        let program = configuration
            .program(program)
            .ok_or(Refusal::permanent(RefusalReason::UnknownProgram))?;
        let state = self.runs.get(&run).and_then(OwnedRun::ready_state);
        let remaining = state.map_or(Cost::ZERO, |state| state.budget().remaining());
        Ok(program.budget.min(remaining))
    }

    fn check_partner(&self, run: RunId, partner: &PartnerName) -> Result<(), Refusal> {
        let owned = self.runs.get(&run).ok_or_else(not_owner)?;
        if owned.belongs_to(partner) {
            Ok(())
        } else {
            Err(Refusal::permanent(RefusalReason::Forbidden))
        }
    }

    fn wait(
        &mut self,
        run: RunId,
        request: RequestId,
        wanted: Wanted,
    ) -> ridgeworks_run_log::event::CallerId {
        let caller = self.new_caller();
        if let Some(owned) = self.runs.get_mut(&run) {
            owned.waiters.insert(caller, Waiter { request, wanted });
        }
        caller
    }
}

fn configuration_behind() -> Refusal {
    Refusal::retry_after(RefusalReason::ConfigurationStale, RETRY_DELAY)
}

/// The gateway asks the next candidate.
pub(super) fn not_owner() -> Refusal {
    Refusal::retry_after(RefusalReason::NotOwner, RETRY_DELAY)
}
