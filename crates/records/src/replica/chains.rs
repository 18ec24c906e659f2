//! Whether a voter has all turns before one.
//!
//! A write needs a majority, so a voter that was away misses turns. Each voter keeps turns for as long as the newest one that
//! it has needs them; behind a gap it would drop turns that later ones need. So a voter acknowledges a turn only once it has all
//! turns before it, and the majority that acknowledged the newest turn of a chain has the whole chain, whatever order voters were
//! away in.

use super::{Handled, ReplicaState};
use crate::groups::GroupId;
use crate::identifiers::{Epoch, TurnId};
use crate::message::ReplicaReply;
use crate::turn::TurnRecord;

/// A turn of a replica.
#[derive(Debug, Clone)]
pub(super) struct ChainedTurn {
    pub record: TurnRecord,
    /// Whether all turns before it are known to be here. Stays true, since none of them expires before it does.
    is_complete: bool,
    /// When it expires, whatever later turns need it.
    pub own_expires_at_ms: u64,
}

impl ChainedTurn {
    pub fn new(record: TurnRecord, own_expires_at_ms: u64) -> Self {
        let is_complete = record.previous.is_none();
        Self {
            record,
            is_complete,
            own_expires_at_ms,
        }
    }
}

/// A turn that a replica lacks although it has a later one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChainGap {
    /// The turn that names it.
    pub after: TurnId,
    pub missing: TurnId,
}

/// An appended turn that the replica has and must not acknowledge before a gap is closed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IncompleteAppend {
    pub group: GroupId,
    /// The epoch of the request.
    pub epoch: Epoch,
    pub turn: TurnId,
    pub gap: ChainGap,
}

impl ReplicaState {
    /// The reply to an appended turn after its gap was closed.
    pub fn finish_append(&mut self, append: &IncompleteAppend) -> Handled {
        if let Some(rejection) = self.epoch_rejection(append.group, append.epoch, false) {
            return Handled::immediate(rejection);
        }
        if !self.has_turn(&append.turn) || self.chain_gap(&append.turn).is_some() {
            return Handled::immediate(ReplicaReply::Unavailable);
        }
        Handled::durable(Vec::new(), ReplicaReply::Done)
    }

    /// The last turn before this one that isn't here; `None` if all are, or if the turn itself isn't.
    pub fn chain_gap(&mut self, newest: &TurnId) -> Option<ChainGap> {
        let mut walked = Vec::new();
        let mut next = newest.clone();
        while let Some(retained) = self.turns.get(&next) {
            if retained.value.is_complete {
                self.note_complete(&walked);
                return None;
            }
            let previous = retained.value.record.previous.clone();
            walked.push(std::mem::replace(&mut next, previous?));
        }
        let after = walked.pop()?;
        Some(ChainGap {
            after,
            missing: next,
        })
    }

    /// Takes the turns from this one on for complete, because no voter has what is missing before it.
    pub fn accept_gap(&mut self, gap: &ChainGap) {
        self.note_complete(std::slice::from_ref(&gap.after));
    }

    /// The appended turn if there is a gap that this replica has to close first. A new member that has not finished its copy gets
    /// all that a read quorum of the voters has before it is a voter.
    pub(super) fn incomplete_append(
        &mut self,
        group: GroupId,
        epoch: Epoch,
        turn: TurnId,
    ) -> Option<IncompleteAppend> {
        let set = self.groups.as_ref()?.set(group)?;
        let is_voter = set.voters.iter().any(|voter| voter.id == self.id);
        let has_copied = self.copied(group) == Some(set.epoch);
        let gap = self.chain_gap(&turn).filter(|_| is_voter || has_copied)?;
        Some(IncompleteAppend {
            group,
            epoch,
            turn,
            gap,
        })
    }

    fn note_complete(&mut self, turns: &[TurnId]) {
        for turn in turns {
            if let Some(retained) = self.turns.get_mut(turn) {
                retained.value.is_complete = true;
            }
        }
    }
}
