//! Tells dispatchers that a run waits for something else, so that its context is kept meanwhile.

use ridgeworks_domain::{CallRequest, ProgramName, RunId, ServiceKind, ServiceName};

use super::owned_run::OwnedRun;
use super::role::OwnerRole;
use crate::dispatcher::DispatcherCommand;

/// Lengths of pauses are learned by name; a program may have the name of a tool.
const SUB_AGENT_PREFIX: &str = "sub-agent:";

impl OwnerRole {
    /// A run makes a call: while it waits for a tool it makes none to a model.
    pub(super) fn announce_pause(&mut self, run: RunId, request: &CallRequest) {
        if self.kind_of(&request.service) != Some(ServiceKind::Model) {
            self.announce_wait(run, request.service.clone());
        }
    }

    /// A run opened a sub-agent, for whose result it will wait.
    pub(super) fn announce_sub_agent(&mut self, run: RunId, program: &ProgramName) {
        let name = format!("{SUB_AGENT_PREFIX}{program}");
        // A program whose name is as long as names may be is learned without the prefix.
        let name = ServiceName::new(name).or_else(|_| ServiceName::new(program.as_str()));
        if let Ok(name) = name {
            self.announce_wait(run, name);
        }
    }

    fn announce_wait(&mut self, run: RunId, tool: ServiceName) {
        if let Some(service) = self.last_model_of(run) {
            self.send_to_dispatcher_of(DispatcherCommand::RunPaused { service, run, tool });
        }
    }

    /// The model service that a run called last; its engines hold the run's context.
    fn last_model_of(&self, run: RunId) -> Option<ServiceName> {
        let state = self.runs.get(&run).and_then(OwnedRun::ready_state)?;
        let services = state.calls().map(|call| &call.request.service);
        let models = services.filter(|service| self.kind_of(service) == Some(ServiceKind::Model));
        models.last().cloned()
    }

    /// Kind of a service, while it is configured.
    pub(super) fn kind_of(&self, service: &ServiceName) -> Option<ServiceKind> {
        let configuration = self.directory.last_known();
        configuration.service(service).map(|found| found.kind)
    }
}
