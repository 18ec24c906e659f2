//! Lookups shared by the roles of a node: the configuration in force, cluster members and the
//! placement of runs and services.

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

/// Group number in the rendezvous hash that chooses a dispatcher. Always 0: each service has one
/// dispatcher for all of its back ends.
const RENDEZVOUS_GROUP: u32 = 0;

/// A handle to state shared by the roles, which all run on the actor thread.
#[derive(Clone)]
pub struct Directory {
    clock: Clock,
    configuration: Rc<RefCell<ConfigurationRole>>,
    membership: Rc<RefCell<Membership>>,
    bootstrap_partners: Rc<Vec<BootstrapPartner>>,
    /// Identity of each node's store, where known.
    identities: Rc<RefCell<HashMap<NodeId, ReplicaId>>>,
    absent_since: Rc<RefCell<HashMap<NodeId, MonotonicTime>>>,
    region: RegionName,
}

impl Directory {
    /// Creates a directory that reads the state of the configuration role and of the membership
    /// role.
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

    /// The clock that all roles of this process use.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// The configuration in force, or a refusal if this node cannot prove that its configuration is
    /// the newest.
    pub fn in_force(&self) -> Result<Arc<ConfigurationSet>, Refusal> {
        let role = self.configuration.borrow();
        role.in_force(self.clock.now()).cloned()
    }

    /// The newest configuration this node has seen, for work that has already been accepted.
    pub fn last_known(&self) -> Arc<ConfigurationSet> {
        self.configuration.borrow().last_known().clone()
    }

    /// This node's member name.
    pub fn own_name(&self) -> String {
        self.membership.borrow().own().name.clone()
    }

    /// Whether this node dispatches the calls of a service.
    pub fn is_own_service(&self, service: &ServiceName) -> bool {
        let own = self.membership.borrow().own().node;
        self.dispatcher_of(service) == Some(own)
    }

    /// Whether this node's membership view lists a node as present.
    pub fn is_present(&self, node: NodeId) -> bool {
        let membership = self.membership.borrow();
        let member = membership.member(node);
        member.is_some_and(|member| member.state.is_present())
    }

    /// Whether this node's membership view lists a majority of these nodes as present.
    pub fn is_majority_present(&self, nodes: impl Iterator<Item = NodeId>) -> bool {
        let mut all = 0;
        let mut present = 0;
        for node in nodes {
            all += 1;
            present += usize::from(self.is_present(node));
        }
        present * 2 > all
    }

    /// Nodes that may own a run, in rendezvous order, the preferred one first.
    pub fn owner_candidates(&self, run: RunId) -> Vec<NodeId> {
        let membership = self.membership.borrow();
        rendezvous::run_owner_candidates(run, membership.members())
            .into_iter()
            .map(|member| member.node)
            .collect()
    }

    /// The last owner of a run if it is present, otherwise the node that should take the run over.
    pub fn owner_or_candidate(&self, run: RunId, last_owner: NodeId) -> Option<NodeId> {
        if self.is_present(last_owner) {
            return Some(last_owner);
        }
        self.preferred_owner(run)
    }

    /// Whether this node has seen a node as absent for at least `time`.
    pub fn is_absent_for(&self, node: NodeId, time: Duration) -> bool {
        let now = self.clock.now();
        let absent_since = self.absent_since.borrow();
        let since = absent_since.get(&node);
        since.is_some_and(|since| now.since(*since) >= time)
    }

    /// Records whether a member is present, and since when it has been absent.
    pub fn record_presence(&self, node: NodeId, present: bool) {
        let mut absent_since = self.absent_since.borrow_mut();
        if present {
            absent_since.remove(&node);
        } else {
            let now = self.clock.now();
            absent_since.entry(node).or_insert(now);
        }
    }

    /// The first of [`Self::owner_candidates`], which need not be the present owner; `None` if no
    /// member is eligible.
    pub fn preferred_owner(&self, run: RunId) -> Option<NodeId> {
        self.owner_candidates(run).first().copied()
    }

    /// The node that dispatches the calls of a service; `None` if no member is eligible.
    pub fn dispatcher_of(&self, service: &ServiceName) -> Option<NodeId> {
        let membership = self.membership.borrow();
        rendezvous::dispatcher_for(service, RENDEZVOUS_GROUP, membership.members())
            .map(|member| member.node)
    }

    /// The address at which a member accepts links; `None` if the node is no member.
    pub fn address_of(&self, node: NodeId) -> Option<SocketAddr> {
        let membership = self.membership.borrow();
        membership.member(node).map(|member| member.address)
    }

    /// Members that are leaving and may still own runs with in-flight calls.
    pub fn leaving_nodes(&self) -> BTreeSet<NodeId> {
        let membership = self.membership.borrow();
        membership
            .members()
            .filter(|member| member.state == MemberState::Leaving)
            .map(|member| member.node)
            .collect()
    }

    /// Whether the platform lists a back end as gone for good. False for a back end that the
    /// configuration names.
    pub fn is_gone(&self, backend: &BackendName) -> bool {
        let role = self.configuration.borrow();
        if role.last_known().backend(backend).is_some() {
            return false;
        }
        let machine = role.machines().get(backend.as_str());
        machine.is_some_and(|machine| machine.state == MachineState::Gone)
    }

    /// Whether the platform lists a back end as leaving or gone. Always false if
    /// [`Safeguard::Leaving`] is disabled.
    pub fn is_leaving_or_gone(&self, backend: &BackendName) -> bool {
        let role = self.configuration.borrow();
        let machine = role.machines().get(backend.as_str());
        let leaving = machine.is_some_and(|machine| machine.state != MachineState::Live);
        leaving && !is_disabled(Safeguard::Leaving)
    }

    /// A snapshot of all members.
    pub fn members(&self) -> Vec<Member> {
        self.membership.borrow().members().cloned().collect()
    }
}
