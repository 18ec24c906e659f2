//! The ledger of a program's tokens.
//!
//! A turn reserves the most that it may generate before it runs, and settles at what it did generate.
//! Of two settlements the greater one counts, so that copies at different replicas join in any order, and nobody who uses an identifier
//! again makes its charge smaller.

use std::collections::BTreeMap;

use rkyv::{Archive, Deserialize, Serialize};

use crate::identifiers::TurnId;

/// What one turn takes of its program's budget, in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// The most that the turn may generate.
    pub reserved_tokens: u64,
    /// What it generated, once that is known.
    pub spent: Option<u64>,
}

impl LedgerEntry {
    /// Tokens that count against the budget.
    pub fn charge(&self) -> u64 {
        self.spent.unwrap_or(self.reserved_tokens)
    }

    /// Joins two copies of one entry.
    pub fn merge(self, other: Self) -> Self {
        let spent = match (self.spent, other.spent) {
            (Some(one), Some(two)) => Some(one.max(two)),
            (one, two) => one.or(two),
        };
        Self {
            reserved_tokens: self.reserved_tokens.max(other.reserved_tokens),
            spent,
        }
    }
}

/// All entries of one program.
#[derive(Debug, Clone, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ProgramLedger {
    /// Entries by turn.
    pub entries: BTreeMap<TurnId, LedgerEntry>,
}

impl ProgramLedger {
    /// Joins one entry in; says whether anything changed.
    pub fn join(&mut self, turn: &TurnId, entry: LedgerEntry) -> bool {
        let known = self.entries.get(turn).copied();
        let merged = known.map_or(entry, |known| known.merge(entry));
        if known == Some(merged) {
            return false;
        }
        self.entries.insert(turn.clone(), merged);
        true
    }

    /// Joins another copy of the ledger in; says whether anything changed.
    pub fn join_all(&mut self, other: &Self) -> bool {
        let mut changed = false;
        for (turn, entry) in &other.entries {
            changed |= self.join(turn, *entry);
        }
        changed
    }

    /// Whether a turn is over: nobody may reserve for it again.
    pub fn is_settled(&self, turn: &TurnId) -> bool {
        let entry = self.entries.get(turn);
        entry.is_some_and(|entry| entry.spent.is_some())
    }

    /// Tokens that all turns but this one have taken or may still take.
    pub fn charged_by_others(&self, turn: &TurnId) -> u64 {
        let others = self.entries.iter().filter(|(other, _)| *other != turn);
        others.map(|(_, entry)| entry.charge()).sum()
    }

    /// Whether the budget holds this turn at its most, beside all others.
    pub fn admits(&self, turn: &TurnId, reserved_tokens: u64, budget: u64) -> bool {
        self.charged_by_others(turn).saturating_add(reserved_tokens) <= budget
    }
}
