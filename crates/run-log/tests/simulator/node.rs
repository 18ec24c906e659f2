//! One node: owners of runs, waiting callers, and an optional replica.

use std::collections::BTreeMap;

use ridgeworks_domain::{Ballot, MonotonicTime, NodeId, RunId};
use ridgeworks_run_log::{CallerId, LogIndex, OwnerEffect, OwnerEvent, OwnerSettings, RunOwner};

use super::checks::Record;
use super::client::ClientRequest;
use super::disk::ReplicaNode;

pub struct Node {
    pub id: NodeId,
    pub alive: bool,
    pub paused_until: u64,
    pub incarnation: u32,
    pub owners: BTreeMap<RunId, RunOwner>,
    /// Client and number of its request, by caller identifier.
    pub callers: BTreeMap<CallerId, (usize, u64)>,
    pub replica: Option<ReplicaNode>,
    next_caller: u64,
    recorded: BTreeMap<RunId, LogIndex>,
}

impl Node {
    pub fn new(id: NodeId, replica: Option<ReplicaNode>) -> Self {
        Self {
            id,
            alive: true,
            paused_until: 0,
            incarnation: 0,
            owners: BTreeMap::new(),
            callers: BTreeMap::new(),
            replica,
            next_caller: 0,
            recorded: BTreeMap::new(),
        }
    }

    pub fn crash(&mut self) {
        self.alive = false;
        self.incarnation += 1;
        self.owners.clear();
        self.callers.clear();
        self.recorded.clear();
    }

    /// Takes over `run`, unless this node has an owner of it that has not stopped.
    pub fn ensure_owner(
        &mut self,
        run: RunId,
        instance: u64,
        contacts: &[NodeId],
        now: MonotonicTime,
    ) -> Vec<OwnerEffect> {
        let owns = self
            .owners
            .get(&run)
            .is_some_and(|owner| !owner.is_stopped());
        if owns {
            return Vec::new();
        }
        let settings = OwnerSettings::default();
        let (owner, effects) = RunOwner::take_over(
            run,
            self.id,
            instance,
            Ballot::ZERO,
            contacts,
            settings,
            now,
        );
        self.recorded.remove(&run);
        self.owners.insert(run, owner);
        effects
    }

    pub fn event_of(
        &mut self,
        client: usize,
        number: u64,
        client_request: ClientRequest,
    ) -> Option<OwnerEvent> {
        const MAX_ATTEMPTS: u32 = 3;
        self.next_caller += 1;
        let caller = CallerId(self.next_caller);
        self.callers.insert(caller, (client, number));
        match client_request {
            ClientRequest::Open => None,
            ClientRequest::Call(request) => Some(OwnerEvent::Call {
                caller,
                request,
                max_attempts: MAX_ATTEMPTS,
            }),
            ClientRequest::OpenChild(run, budget) => Some(OwnerEvent::OpenChild {
                caller,
                run,
                budget,
            }),
            ClientRequest::Read => Some(OwnerEvent::ReadHistory { caller }),
            ClientRequest::Close => Some(OwnerEvent::Close { caller }),
        }
    }

    pub fn handle(
        &mut self,
        run: RunId,
        event: OwnerEvent,
        now: MonotonicTime,
        record: &mut Record,
    ) -> Vec<OwnerEffect> {
        let Some(owner) = self.owners.get_mut(&run) else {
            return Vec::new();
        };
        let effects = owner.handle(event, now);
        let recorded = self.recorded.entry(run).or_default();
        while *recorded < owner.commit_index() {
            *recorded = recorded.next();
            if let Some(entry) = owner.entry(*recorded) {
                record.commit(run, *recorded, &entry.entry);
            }
        }
        effects
    }
}
