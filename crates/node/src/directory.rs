//! What the roles of a node look up: the configuration in force and the members of the cluster.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ridgeworks_configuration::{ConfigurationRole, ConfigurationSet, MachineState};
use ridgeworks_domain::run_id::REPLICAS_PER_RUN;
use ridgeworks_domain::weakening::{Weakening, is_off};
use ridgeworks_domain::{
    BackendName, MonotonicTime, NodeId, PartnerName, ProgramName, Refusal, RefusalReason,
    RegionName, RunId, ServiceName, ZoneName,
};
use ridgeworks_membership::{Member, MemberState, Membership, rendezvous};
use ridgeworks_run_log::entry::ReplicaId;
use xxhash_rust::xxh3::xxh3_128;

use crate::clock::Clock;
use crate::settings::BootstrapPartner;

/// All back ends of a service form one group until a service outgrows a dispatcher.
const SINGLE_GROUP: u32 = 0;

/// What a run is opened with besides its program.
pub struct NewRun {
    /// Its number.
    pub run: RunId,
    /// Its replicas, whose identities were read before the number was drawn.
    pub replicas: Vec<ReplicaId>,
}

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

    /// The partner whose token has this digest.
    pub fn authenticate(&self, token_sha256: &str) -> Result<PartnerName, Refusal> {
        self.authenticate_in(&*self.in_force()?, token_sha256)
    }

    fn authenticate_in(
        &self,
        set: &ConfigurationSet,
        token_sha256: &str,
    ) -> Result<PartnerName, Refusal> {
        match set.partner_by_token_hash(token_sha256) {
            Some(partner) => Ok(partner.name.clone()),
            None => self.authenticate_bootstrap(set, token_sha256),
        }
    }

    /// A partner of the settings counts only while the configuration does not hold it.
    fn authenticate_bootstrap(
        &self,
        set: &ConfigurationSet,
        token_sha256: &str,
    ) -> Result<PartnerName, Refusal> {
        self.bootstrap_partners
            .iter()
            .find(|partner| partner.token_sha256 == token_sha256)
            .filter(|partner| set.partner(&partner.name).is_none())
            .map(|partner| partner.name.clone())
            .ok_or(Refusal::permanent(RefusalReason::Unauthenticated))
    }

    /// The partner whose token has this digest, by the last configuration known: an operator must be
    /// able to act also where this node cannot prove that its configuration is the newest. What it
    /// does is checked against the newest one.
    pub fn authenticate_operator(&self, token_sha256: &str) -> Result<PartnerName, Refusal> {
        self.authenticate_in(&self.last_known(), token_sha256)
    }

    /// The name of this node.
    pub fn own_name(&self) -> String {
        self.membership.borrow().own().name.clone()
    }

    /// Refuses a program that does not exist or belongs to the other partner.
    pub fn check_program(
        &self,
        partner: &PartnerName,
        program: &ProgramName,
    ) -> Result<(), Refusal> {
        let set = self.in_force()?;
        match set.program(program) {
            Some(found) if found.partner == *partner => Ok(()),
            Some(_) => Err(Refusal::permanent(RefusalReason::Forbidden)),
            None => Err(Refusal::permanent(RefusalReason::UnknownProgram)),
        }
    }

    /// Notes the identity of a replica's store.
    pub fn note_identity(&self, identity: ReplicaId) {
        self.identities.borrow_mut().insert(identity.node, identity);
    }

    /// A new run number, and the replicas that it names.
    pub fn new_run(&self) -> Result<NewRun, Refusal> {
        let unique: u64 = rand::random();
        let membership = self.membership.borrow();
        let identities = self.identities.borrow();
        let known = membership
            .members()
            .filter(|member| identities.contains_key(&member.node));
        let members = rendezvous::replicas_for_new_run(u128::from(unique), &self.region, known);
        let nodes: Vec<NodeId> = members.iter().map(|member| member.node).collect();
        let replicas = nodes
            .iter()
            .filter_map(|node| identities.get(node).copied())
            .collect();
        let Ok(nodes) = <[NodeId; REPLICAS_PER_RUN]>::try_from(nodes) else {
            let reason = RefusalReason::NoQuorum;
            return Err(Refusal::retry_after(reason, crate::RETRY_DELAY));
        };
        Ok(NewRun {
            run: RunId::compose(unique, nodes),
            replicas,
        })
    }

    /// The known nodes that a run's number names as its replicas.
    pub fn replicas_of(&self, run: RunId) -> Vec<NodeId> {
        let hints = run.replica_hints();
        let membership = self.membership.borrow();
        membership
            .members()
            .filter(|member| member.has_disk)
            .filter(|member| hints.iter().any(|hint| hint.matches(member.node)))
            .map(|member| member.node)
            .collect()
    }

    /// The replicas that a run's number names, without those that are known to be down.
    pub fn present_replicas_of(&self, run: RunId) -> Vec<NodeId> {
        let replicas = self.replicas_of(run).into_iter();
        replicas.filter(|node| self.is_present(*node)).collect()
    }

    /// All present nodes with a disk.
    pub fn present_disk_nodes(&self) -> Vec<NodeId> {
        let membership = self.membership.borrow();
        let present = membership.members();
        let present = present.filter(|member| member.has_disk && member.state.is_present());
        present.map(|member| member.node).collect()
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

    /// Whether a replica's node came back with another store.
    pub fn has_other_store(&self, replica: ReplicaId) -> bool {
        let identities = self.identities.borrow();
        let known = identities.get(&replica.node);
        known.is_some_and(|known| !known.same_acceptor(replica))
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

    /// The store to take the place of a lost replica: in a zone that the rest of the set does not have, where there is one.
    pub fn replacement_for(
        &self,
        run: RunId,
        members: &[ReplicaId],
        lost: ReplicaId,
    ) -> Option<ReplicaId> {
        let identities = self.identities.borrow();
        let membership = self.membership.borrow();
        let taken = members.iter().filter(|member| **member != lost);
        let taken = taken.filter_map(|member| membership.member(member.node));
        let taken: Vec<&ZoneName> = taken.map(|member| &member.zone).collect();
        let free = membership.members().filter(|member| {
            let in_set = members.iter().any(|replica| replica.node == member.node);
            member.has_disk && member.state == MemberState::Alive && !in_set
        });
        let known = free.filter_map(|member| Some((member, identities.get(&member.node)?)));
        let best = known.min_by_key(|(member, _)| {
            let shares_zone = taken.contains(&&member.zone);
            let spread = xxh3_128(&(run.0 ^ u128::from(member.node.0)).to_le_bytes());
            (shares_zone, spread)
        });
        best.map(|(_, identity)| *identity)
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
        leaving && !is_off(Weakening::Leaving)
    }

    /// All members as they are now.
    pub fn members(&self) -> Vec<Member> {
        self.membership.borrow().members().cloned().collect()
    }
}
