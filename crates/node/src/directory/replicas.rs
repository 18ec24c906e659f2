//! The replicas of runs: those that a new run gets, those that its number names, those that replace others.

use ridgeworks_domain::run_id::REPLICAS_PER_RUN;
use ridgeworks_domain::{NodeId, Refusal, RefusalReason, RunId, ZoneName};
use ridgeworks_membership::{MemberState, rendezvous};
use ridgeworks_run_log::entry::ReplicaId;
use xxhash_rust::xxh3::xxh3_128;

use super::Directory;

/// What a run is opened with besides its program.
pub struct NewRun {
    /// Its number.
    pub run: RunId,
    /// Its replicas, whose identities were read before the number was drawn.
    pub replicas: Vec<ReplicaId>,
}

impl Directory {
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
            run: RunId::from_parts(unique, nodes),
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

    /// Whether a replica's node came back with another store.
    pub fn has_other_store(&self, replica: ReplicaId) -> bool {
        let identities = self.identities.borrow();
        let known = identities.get(&replica.node);
        known.is_some_and(|known| !known.same_acceptor(replica))
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
}
