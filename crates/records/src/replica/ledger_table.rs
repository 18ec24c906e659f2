//! The ledgers of a replica, of which some may still be on its disk only.
//!
//! A ledger is written to the disk whole, in place of what the disk has of it. So one that is not restored yet must not be changed
//! by anything: a request, a settlement or a copy from another replica. The table hands out none to change before that.

use std::collections::BTreeMap;

use super::Retained;
use crate::groups::GroupId;
use crate::identifiers::ProgramId;
use crate::ledger::ProgramLedger;

/// The disk may have records of the ledger that are not restored yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotRestored;

#[derive(Debug, Clone, Default)]
pub(super) struct LedgerTable {
    ledgers: BTreeMap<ProgramId, Retained<ProgramLedger>>,
    /// Whether the disk has ledgers that are not in the table.
    is_restoring: bool,
}

impl LedgerTable {
    pub(super) fn begin_restoring(&mut self) {
        self.is_restoring = true;
    }

    pub(super) fn finish_restoring(&mut self) {
        self.is_restoring = false;
    }

    /// Whether all that the disk has of a ledger is in the table.
    pub(super) fn is_restored(&self, program: &ProgramId) -> bool {
        !self.is_restoring || self.ledgers.contains_key(program)
    }

    /// The ledger to change, a new one if there is none.
    pub(super) fn changing(
        &mut self,
        group: GroupId,
        program: &ProgramId,
        expires_at_ms: u64,
    ) -> Result<&mut Retained<ProgramLedger>, NotRestored> {
        if !self.is_restored(program) {
            return Err(NotRestored);
        }
        Ok(self.restoring(group, program, expires_at_ms))
    }

    /// The ledger into which what the disk has of it is merged.
    pub(super) fn restoring(
        &mut self,
        group: GroupId,
        program: &ProgramId,
        expires_at_ms: u64,
    ) -> &mut Retained<ProgramLedger> {
        let new = || Retained {
            value: ProgramLedger::default(),
            expires_at_ms,
            group,
            last_change: None,
        };
        self.ledgers.entry(program.clone()).or_insert_with(new)
    }

    pub(super) fn get(&self, program: &ProgramId) -> Option<&Retained<ProgramLedger>> {
        self.ledgers.get(program)
    }

    /// Keeps the ledgers for which this is true.
    pub(super) fn retain(
        &mut self,
        mut is_kept: impl FnMut(&ProgramId, &Retained<ProgramLedger>) -> bool,
    ) {
        self.ledgers
            .retain(|program, ledger| is_kept(program, ledger));
    }

    pub(super) fn len(&self) -> usize {
        self.ledgers.len()
    }
}
