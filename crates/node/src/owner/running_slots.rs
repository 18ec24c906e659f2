//! Slots of attempts that run: followed from dispatcher to dispatcher, and given back at the end.

use ridgeworks_domain::{NodeId, RunId};
use ridgeworks_scheduling::{AttemptEnd, AttemptOutcome, TokenUsage};

use super::owned_run::OwnedRun;
use super::role::OwnerRole;
use super::slot::Slot;
use crate::dispatcher::DispatcherCommand;
use crate::message::NodeMessage;

impl OwnerRole {
    /// Tells the dispatcher that took the service over of an attempt that runs, so that its slot isn't granted
    /// twice. The former one goes on counting it until its end: owners that know of no change still ask there.
    pub(super) fn follow_dispatcher(&mut self, run: RunId, slot: &Slot) {
        let dispatcher = self.directory.dispatcher_of(&slot.service);
        let Some(dispatcher) = dispatcher.filter(|dispatcher| *dispatcher != slot.dispatcher)
        else {
            return;
        };
        if slot.running_at.is_none() {
            return;
        }
        let owned = self.runs.get_mut(&run);
        let Some(slot) = owned.and_then(|owned| owned.slot.as_mut()) else {
            return;
        };
        slot.former.push(slot.dispatcher);
        slot.former.retain(|former| *former != dispatcher);
        slot.dispatcher = dispatcher;
        self.announce_running(run);
    }

    /// Tells a node that may have been started again of the attempts whose slots it granted.
    pub(super) fn announce_running_to(&mut self, node: NodeId) {
        let granted_there = |owned: &&OwnedRun| {
            let slot = owned.slot.as_ref();
            slot.is_some_and(|slot| slot.dispatcher == node)
        };
        let runs = self.runs.values().filter(granted_there);
        let runs: Vec<RunId> = runs.map(|owned| owned.run).collect();
        for run in runs {
            self.announce_running(run);
        }
    }

    fn announce_running(&mut self, run: RunId) {
        let Some(slot) = self.runs.get(&run).and_then(|owned| owned.slot.as_ref()) else {
            return;
        };
        let Some(backend) = slot.running_at.clone() else {
            return;
        };
        let command = DispatcherCommand::Running {
            service: slot.service.clone(),
            request: slot.request.clone(),
            backend,
        };
        let dispatcher = slot.dispatcher;
        self.send(dispatcher, NodeMessage::ToDispatcher(command));
    }

    /// Tells the dispatchers that the attempt of the slot is over.
    pub(super) fn end_slot(&mut self, run: RunId, usage: TokenUsage, outcome: AttemptOutcome) {
        if let Some(slot) = self.take_slot(run) {
            self.end_taken(slot, usage, outcome);
        }
    }

    /// Gives up the request for a slot, or the slot.
    pub(super) fn cancel_slot(&mut self, run: RunId) {
        let Some(slot) = self.take_slot(run) else {
            return;
        };
        if slot.running_at.is_some() {
            self.end_taken(slot, TokenUsage::default(), AttemptOutcome::Cancelled);
            return;
        }
        self.send(slot.dispatcher, NodeMessage::ToDispatcher(slot.cancel()));
    }

    fn end_taken(&mut self, slot: Slot, usage: TokenUsage, outcome: AttemptOutcome) {
        let ticket = slot.ticket();
        let end = AttemptEnd {
            ticket,
            usage,
            outcome,
        };
        for dispatcher in slot.former.into_iter().chain([slot.dispatcher]) {
            let service = slot.service.clone();
            let command = DispatcherCommand::Ended { service, end };
            self.send(dispatcher, NodeMessage::ToDispatcher(command));
        }
    }
}
