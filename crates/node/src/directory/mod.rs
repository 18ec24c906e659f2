//! What the roles of a node look up: the configuration in force and the members of the cluster.

mod partners;
mod replicas;

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ridgeworks_configuration::{ConfigurationRole, ConfigurationSet, MachineState};
use ridgeworks_domain::safeguard::{Safeguard, is_disabled};
use ridgeworks_domain::{
    BackendName, MonotonicTime, NodeId, Refusal, RegionName, RunId, ServiceName,
};
use ridgeworks_membership::{Member, MemberState, Membership, rendezvous};
use ridgeworks_run_log::entry::ReplicaId;

pub use self::replicas::NewRun;
use crate::clock::Clock;
use crate::settings::BootstrapPartner;

/// All back ends of a service form one group until a service outgrows a dispatcher.
const SINGLE_GROUP: u32 = 0;

/// Shared by the roles, which all run on the actor thread.
#[derive(Clone)]
pub struct Directory {
    clock: Clock,
    configuration: Rc<RefCell<ConfigurationRole>>,
    membership: Rc<RefCell<Membership>>,
    bootstrap_partners: Rc<Vec<BootstrapPartner>>,
    identities: Rc<RefCell<HashMap<NodeId, ReplicaId>>>,
    absent_since: Rc<RefCell<HashMap<NodeId, MonotonicTime>>>,
    region: RegionName,
}

impl Directory {
    /// A directory over the state of two roles.
    pub fn new(
        clock: Clock,
        configuration: Rc<RefCell<ConfigurationRole>>,
        membership: Rc<RefCell<Membership>>,
        bootstrap_partners: Vec<BootstrapPartner>,
        region: RegionName,
    ) -> Self {
        Self {
            clock,
            configuration,
            membership,
            bootstrap_partners: Rc::new(bootstrap_partners),
            identities: Rc::default(),
            absent_since: Rc::default(),
            region,
        }
    }

    /// The process's clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// The configuration in force, or a refusal when this node cannot prove that it is the newest.
    pub fn in_force(&self) -> Result<Arc<ConfigurationSet>, Refusal> {
        let role = self.configuration.borrow();
        role.in_force(self.clock.now()).cloned()
    }

    /// The last configuration known, for work that was accepted already.
    pub fn last_known(&self) -> Arc<ConfigurationSet> {
        self.configuration.borrow().last_known().clone()
    }

    /// The name of this node.
    pub fn own_name(&self) -> String {
        self.membership.borrow().own().name.clone()
    }

    /// Whether this node dispatches the calls of a service.
    pub fn is_own_service(&self, service: &ServiceName) -> bool {
        let own = self.membership.borrow().own().node;
        self.dispatcher_of(service) == Some(own)
    }

    /// Whether a node is there, as far as this node knows.
    pub fn is_present(&self, node: NodeId) -> bool {
        let membership = self.membership.borrow();
        let member = membership.member(node);
        member.is_some_and(|member| member.state.is_present())
    }

    /// Whether a majority of these nodes is there, as far as this node knows.
    pub fn is_majority_present(&self, nodes: impl Iterator<Item = NodeId>) -> bool {
        let mut all = 0;
        let mut present = 0;
        for node in nodes {
            all += 1;
            present += usize::from(self.is_present(node));
        }
        present * 2 > all
    }

    /// Nodes to ask for a run, best first.
    pub fn owner_candidates(&self, run: RunId) -> Vec<NodeId> {
        let membership = self.membership.borrow();
        rendezvous::run_owner_candidates(run, membership.members())
            .into_iter()
            .map(|member| member.node)
            .collect()
    }

    /// The last owner of a run while it is there, else the node that is to own it next.
    pub fn owner_or_candidate(&self, run: RunId, last_owner: NodeId) -> Option<NodeId> {
        if self.is_present(last_owner) {
            return Some(last_owner);
        }
        self.owner_of(run)
    }

    /// Whether a node has been down for this long, as far as this node knows.
    pub fn is_absent_for(&self, node: NodeId, time: Duration) -> bool {
        let now = self.clock.now();
        let absent_since = self.absent_since.borrow();
        let since = absent_since.get(&node);
        since.is_some_and(|since| now.since(*since) >= time)
    }

    /// Notes whether a member is there.
    pub fn note_presence(&self, node: NodeId, present: bool) {
        let mut absent_since = self.absent_since.borrow_mut();
        if present {
            absent_since.remove(&node);
        } else {
            let now = self.clock.now();
            absent_since.entry(node).or_insert(now);
        }
    }

    /// The node to ask first for a run.
    pub fn owner_of(&self, run: RunId) -> Option<NodeId> {
        self.owner_candidates(run).first().copied()
    }

    /// The node that dispatches the calls of a service.
    pub fn dispatcher_of(&self, service: &ServiceName) -> Option<NodeId> {
        let membership = self.membership.borrow();
        rendezvous::dispatcher_for(service, SINGLE_GROUP, membership.members())
            .map(|member| member.node)
    }

    /// Where a node listens for links.
    pub fn address_of(&self, node: NodeId) -> Option<SocketAddr> {
        let membership = self.membership.borrow();
        membership.member(node).map(|member| member.address)
    }

    /// Nodes that are leaving and may still own runs with calls in progress.
    pub fn leaving_nodes(&self) -> BTreeSet<NodeId> {
        let membership = self.membership.borrow();
        membership
            .members()
            .filter(|member| member.state == MemberState::Leaving)
            .map(|member| member.node)
            .collect()
    }

    /// Whether a back end is gone for good, as far as the platform tells.
    pub fn is_gone(&self, backend: &BackendName) -> bool {
        let role = self.configuration.borrow();
        if role.last_known().backend(backend).is_some() {
            return false;
        }
        let machine = role.machines().get(backend.as_str());
        machine.is_some_and(|machine| machine.state == MachineState::Gone)
    }

    /// Whether the platform lists a back end as leaving or gone.
    pub fn is_leaving(&self, backend: &BackendName) -> bool {
        let role = self.configuration.borrow();
        let machine = role.machines().get(backend.as_str());
        let leaving = machine.is_some_and(|machine| machine.state != MachineState::Live);
        leaving && !is_disabled(Safeguard::Leaving)
    }

    /// All members as they are now.
    pub fn members(&self) -> Vec<Member> {
        self.membership.borrow().members().cloned().collect()
    }
}
