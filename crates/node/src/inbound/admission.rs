//! What the gateway asks of owners for a caller's request, or why it refuses it.

use ridgeworks_domain::{PartnerName, ProgramName, Refusal, RefusalReason, RunId};

use super::caller_request::{CallerCommand, CallerRequest};
use super::gateway::Gateway;
use crate::RETRY_DELAY;
use crate::message::{OwnerCommand, RequestId};

/// Commands that one request of a caller takes, one after the other.
pub(super) struct Commands {
    /// Asked at once.
    pub first: OwnerCommand,
    /// Asked when the first is answered.
    pub next: Option<OwnerCommand>,
}

impl Commands {
    /// A request that takes one command.
    pub fn one(first: OwnerCommand) -> Self {
        Self { first, next: None }
    }
}

impl Gateway {
    /// The commands that a request takes, unless it is refused here.
    pub(super) fn admit(&self, request: &CallerRequest) -> Result<Commands, Refusal> {
        if self.stopping {
            let reason = RefusalReason::NodeStopping;
            return Err(Refusal::retry_after(reason, RETRY_DELAY));
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

    /// A run's number must be opened once only, and whether the first opening took effect is not
    /// known: an opening that is repeated gets a new number.
    pub(super) fn rename_repeated_open(&mut self, request: RequestId) {
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
}
