//! Commands of gateways to the owner of a run.

use std::time::{Duration, Instant};

use ridgeworks_domain::{
    CallRequest, Cost, PartnerName, ProgramName, Refusal, RefusalReason, RunId,
};
use ridgeworks_run_log::event::{CallerId, OwnerEvent};

use super::opening::OpenParameters;
use super::owned_run::{OwnedRun, PendingCommand};
use super::prompt::{call_size, service_of};
use super::refusals::{no_quorum, not_owner};
use super::role::OwnerRole;
use super::waiter::{Waiter, Wanted};
use crate::message::{OwnerAnswer, OwnerCommand, RequestId};

/// A call whose caller names no deadline waits this long at most.
const LONGEST_WAIT: Duration = Duration::from_secs(600);

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
            } => {
                let parameters = OpenParameters {
                    run,
                    replicas,
                    partner,
                    program,
                    parent,
                    budget,
                };
                self.open_run(now, request, parameters);
            }
            command => self.command_to_run(now, request, command),
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

    fn wait(&mut self, run: RunId, request: RequestId, wanted: Wanted) -> CallerId {
        let caller = self.new_caller();
        if let Some(owned) = self.runs.get_mut(&run) {
            owned.waiters.insert(caller, Waiter { request, wanted });
        }
        caller
    }
}
