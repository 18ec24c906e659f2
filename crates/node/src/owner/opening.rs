//! Opens new runs, whose first entry this node appends without a claim.

use std::time::Instant;

use ridgeworks_domain::{Cost, PartnerName, ProgramName, Refusal, RunId};
use ridgeworks_run_log::entry::{Opening, ReplicaId};
use ridgeworks_run_log::owner::{OwnerSettings, RunOwner};

use super::owned_run::{OwnedRun, Ownership};
use super::refusals::{configuration_behind, not_owner};
use super::role::OwnerRole;
use super::waiter::{Waiter, Wanted};
use crate::message::{OwnerAnswer, RequestId};

/// What a run is opened with.
pub(super) struct OpenParameters {
    /// The run.
    pub run: RunId,
    /// Its replicas.
    pub replicas: Vec<ReplicaId>,
    /// The partner that asks.
    pub partner: PartnerName,
    /// The program.
    pub program: ProgramName,
    /// The run that it is a sub-agent of.
    pub parent: Option<RunId>,
    /// Its budget where it was carved from the parent's; the program's otherwise.
    pub budget: Option<Cost>,
}

impl OwnerRole {
    pub(super) fn open_run(
        &mut self,
        now: Instant,
        request: RequestId,
        parameters: OpenParameters,
    ) {
        let run = parameters.run;
        if self.runs.contains_key(&run) {
            self.answer_opened(request, run);
            return;
        }
        match self.opening(parameters) {
            Ok(opening) => self.append_opening(now, request, run, opening),
            Err(refusal) => self.answer(request, OwnerAnswer::Refused(refusal)),
        }
    }

    fn append_opening(&mut self, now: Instant, request: RequestId, run: RunId, opening: Opening) {
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

    /// Tells those who wait for it that the run is open.
    pub(super) fn answer_openers(&mut self, run: RunId, budget: Cost) {
        let Some(owned) = self.runs.get_mut(&run) else {
            return;
        };
        let mut openers = Vec::new();
        owned.waiters.retain(|_, waiter| {
            let opener = waiter.wanted == Wanted::Opened;
            if opener {
                openers.push(waiter.request);
            }
            !opener
        });
        for request in openers {
            self.answer(request, OwnerAnswer::Opened { run, budget });
        }
    }
}
