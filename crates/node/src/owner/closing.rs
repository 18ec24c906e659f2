//! What follows when a run is closed.

use std::collections::BTreeSet;

use ridgeworks_domain::{RunId, ServiceKind, ServiceName};
use ridgeworks_run_log::run_state::RunState;

use super::owned_run::OwnedRun;
use super::role::OwnerRole;
use crate::dispatcher::DispatcherCommand;
use crate::message::OwnerCommand;

impl OwnerRole {
    /// The run is closed: its context is released, and its parent gets back what is left.
    pub(super) fn release_context(&mut self, run: RunId) {
        let Some(owner) = self.runs.get(&run).and_then(OwnedRun::owner) else {
            return;
        };
        let state = owner.state();
        let spent = state.budget().spent();
        let parent = state.opening().and_then(|opening| opening.parent);
        for service in self.services_with_context(state) {
            self.send_to_dispatcher_of(DispatcherCommand::RunEnded { service, run });
        }
        if let Some(parent) = parent {
            let command = OwnerCommand::SettleChild {
                run: parent,
                child: run,
                spent,
            };
            self.outputs.commands.fwd(command);
        }
    }

    /// The services whose engines may hold a context of the run. One that is no longer configured may
    /// have been a model.
    fn services_with_context(&self, state: &RunState) -> BTreeSet<ServiceName> {
        let calls = state.calls();
        let services: BTreeSet<&ServiceName> = calls.map(|call| &call.request.service).collect();
        let may_be_model = |service: &&ServiceName| {
            let kind = self.kind_of(service);
            kind.is_none_or(|kind| kind == ServiceKind::Model)
        };
        services.into_iter().filter(may_be_model).cloned().collect()
    }
}
