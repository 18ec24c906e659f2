//! Placement of run replicas: choice for new runs, lookup by run id, and replacement of lost
//! replicas.

use ridgeworks_domain::run_id::REPLICAS_PER_RUN;
use ridgeworks_domain::{NodeId, Refusal, RefusalReason, RunId, ZoneName};
use ridgeworks_membership::{MemberState, rendezvous};
use ridgeworks_run_log::entry::ReplicaId;
use xxhash_rust::xxh3::xxh3_128;

use super::Directory;

/// Id and replica set of a run that is about to be opened.
pub struct NewRun {
    /// Id that names the nodes of `replicas`.
    pub run: RunId,
    /// Identities of the replicas' stores, one for each node: only nodes with a known store are
    /// chosen.
    pub replicas: Vec<ReplicaId>,
}

impl Directory {
    /// Records the identity of a replica's store, replacing an earlier one of the same node.
    pub fn record_identity(&self, identity: ReplicaId) {
        self.identities.borrow_mut().insert(identity.node, identity);
    }

    /// Generates a run id and the replica set that it names. Refuses with a retry delay if too few
    /// nodes with a known store are eligible.
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

    /// Members with a disk that the run id names as replicas.
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

    /// Like [`Self::replicas_of`], without nodes that are not present.
    pub fn present_replicas_of(&self, run: RunId) -> Vec<NodeId> {
        let replicas = self.replicas_of(run).into_iter();
        replicas.filter(|node| self.is_present(*node)).collect()
    }

    /// Present members with a disk.
    pub fn present_disk_nodes(&self) -> Vec<NodeId> {
        let membership = self.membership.borrow();
        let present = membership.members();
        let present = present.filter(|member| member.has_disk && member.state.is_present());
        present.map(|member| member.node).collect()
    }

    /// Whether the replica's node is now known with a different store.
    pub fn has_replaced_store(&self, replica: ReplicaId) -> bool {
        let identities = self.identities.borrow();
        let known = identities.get(&replica.node);
        known.is_some_and(|known| !known.same_acceptor(replica))
    }

    /// Chooses a store to replace a lost replica, preferably in a zone that no remaining replica is
    /// in. `None` if no eligible node is left.
    pub fn replacement_for(
        &self,
        run: RunId,
        members: &[ReplicaId],
        lost: ReplicaId,
    ) -> Option<ReplicaId> {
        let identities = self.identities.borrow();
        let membership = self.membership.borrow();
        let occupied = members.iter().filter(|member| **member != lost);
        let occupied = occupied.filter_map(|member| membership.member(member.node));
        let occupied: Vec<&ZoneName> = occupied.map(|member| &member.zone).collect();
        let candidates = membership.members().filter(|member| {
            let in_set = members.iter().any(|replica| replica.node == member.node);
            member.has_disk && member.state == MemberState::Alive && !in_set
        });
        let known = candidates.filter_map(|member| Some((member, identities.get(&member.node)?)));
        let best = known.min_by_key(|(member, _)| {
            let shares_zone = occupied.contains(&&member.zone);
            let tie_break = xxh3_128(&(run.0 ^ u128::from(member.node.0)).to_le_bytes());
            (shares_zone, tie_break)
        });
        best.map(|(_, identity)| *identity)
    }
}
