//! The ledger of a program's tokens.
//!
//! Before a turn runs, it reserves the largest number of tokens that it may generate; afterwards it
//! is settled with the number that it generated. Of two settlements the greater one counts, so copies at different
//! replicas can be merged in any order, and reusing a turn's identifier can't lower its charge.

use std::collections::BTreeMap;

use rkyv::{Archive, Deserialize, Serialize};

use crate::engine_ends::RequestDigest;
use crate::identifiers::TurnId;
use crate::origin::StreamOrigin;

/// Tokens that one turn takes from its program's budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// The most tokens that the turn may generate.
    pub reserved_tokens: u64,
    /// Tokens that it generated; `None` until it is settled.
    pub spent: Option<u64>,
}

impl LedgerEntry {
    /// Tokens that count against the budget: those spent, or those reserved until the turn is
    /// settled.
    pub fn charge(&self) -> u64 {
        self.spent.unwrap_or(self.reserved_tokens)
    }

    /// Merges two copies of one entry.
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

/// Whether a turn may run, by the ledger of its program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TurnAdmission {
    /// The budget holds the turn beside all that others may still spend.
    Admitted,
    /// The budget holds the turn, unless others spend what they have reserved.
    Reserved {
        /// Whether the turn's own reservation is the first of the open ones. Of turns that reserved at the same time that one
        /// stays, and the others withdraw theirs.
        is_first: bool,
    },
    /// What other turns have spent leaves too little, whatever becomes of the open reservations.
    Spent {
        /// Tokens that the settled turns have generated.
        by_others: u64,
    },
}

/// The entries of one program. A turn whose stream may be resumed has one for each origin ([`TurnId::at_origin`]); methods that take
/// a turn take its identifier without an origin, and count all its entries.
#[derive(Debug, Clone, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ProgramLedger {
    pub entries: BTreeMap<TurnId, LedgerEntry>,
}

impl ProgramLedger {
    /// Merges one entry into the ledger; returns whether the ledger changed.
    pub fn merge_entry(&mut self, turn: &TurnId, entry: LedgerEntry) -> bool {
        let known = self.entries.get(turn).copied();
        let merged = known.map_or(entry, |known| known.merge(entry));
        if known == Some(merged) {
            return false;
        }
        self.entries.insert(turn.clone(), merged);
        true
    }

    /// Merges another copy of the ledger into this one; returns whether this one changed.
    pub fn merge_ledger(&mut self, other: &Self) -> bool {
        let mut changed = false;
        for (turn, entry) in &other.entries {
            changed |= self.merge_entry(turn, *entry);
        }
        changed
    }

    /// Whether the turn is settled, so that nothing may be reserved for it again.
    pub fn is_settled(&self, turn: &TurnId) -> bool {
        self.entries_of(turn)
            .any(|(_, entry)| entry.spent.is_some())
    }

    /// Where the turn's stream began: its last origin, since an earlier one brought no event.
    pub fn origin(&self, turn: &TurnId) -> Option<StreamOrigin> {
        let origins = self.entries_of(turn).filter_map(|(key, _)| key.origin());
        origins.last()
    }

    /// The origin of the stream that the tries of one request belong to, where the client does not name the try that began it. `None`
    /// where they began several, or where a try of an earlier version, which wrote no digest, may have begun it anywhere.
    pub fn origin_of_tries(&self, digest: RequestDigest) -> Option<StreamOrigin> {
        let mut last_origins: BTreeMap<&str, StreamOrigin> = BTreeMap::new();
        for key in self.entries.keys().filter(|key| !key.is_mark()) {
            let of = key.digest();
            match key.origin() {
                _ if of.is_some_and(|of| of != digest) => {}
                Some(origin) => {
                    last_origins.insert(key.without_origin(), origin);
                }
                // A try that resumes the stream, or a permit.
                None if of.is_some() => {}
                None => return None,
            }
        }
        let mut origins = last_origins.into_values();
        let first = origins.next()?;
        origins.all(|origin| origin == first).then_some(first)
    }

    /// The origin at which all streams of one request began that belong to no program and no budget, by their marks; `None` where
    /// they began at several.
    pub fn marked_origin(&self, digest: RequestDigest) -> Option<StreamOrigin> {
        let marks = self.entries.keys().filter_map(TurnId::marked_origin);
        let mut origins = marks.filter(|(of, _)| *of == digest);
        let (_, first) = origins.next()?;
        origins.next().is_none().then_some(first)
    }

    /// The entries of a turn, in the order of their origins.
    fn entries_of<'a>(
        &'a self,
        turn: &'a TurnId,
    ) -> impl Iterator<Item = (&'a TurnId, &'a LedgerEntry)> {
        let from = self.entries.range(turn..);
        let prefixed = from.take_while(|(key, _)| key.0.starts_with(&turn.0));
        prefixed.filter(|(key, _)| key.without_origin() == turn.0)
    }

    /// Tokens charged to all turns but this one.
    pub fn charged_by_others(&self, turn: &TurnId) -> u64 {
        let entries = self.entries.iter();
        let others = entries.filter(|(key, _)| key.without_origin() != turn.0);
        others.map(|(_, entry)| entry.charge()).sum()
    }

    /// Whether the ledger has other turns than this one.
    pub fn has_others(&self, turn: &TurnId) -> bool {
        let mut keys = self.entries.keys().filter(|key| !key.is_mark());
        keys.any(|key| key.without_origin() != turn.0)
    }

    /// Tokens that all settled turns but this one have generated. Never shrinks.
    pub fn spent_by_others(&self, turn: &TurnId) -> u64 {
        let entries = self.entries.iter();
        let others = entries.filter(|(key, _)| key.without_origin() != turn.0);
        others.filter_map(|(_, entry)| entry.spent).sum()
    }

    /// Whether a turn that has reserved tokens has to read the ledger again before it runs. Of turns that reserve at the same time
    /// only the one whose reservation is durable last is certain to see all others, and only if it reads after that. Not needed where
    /// the budget holds twice what is open: of turns that each see so much room, one sees half of all the others.
    pub fn needs_second_reading(&self, turn: &TurnId, reserved_tokens: u64, budget: u64) -> bool {
        let spent = self.spent_by_others(turn);
        let open = self.charged_by_others(turn) - spent;
        let twice = open.saturating_add(reserved_tokens).saturating_mul(2);
        open > 0 && spent.saturating_add(twice) > budget
    }

    /// Lowers what the open entries of a turn charge to the most that it can have generated, since it has ended. For a reader only: the
    /// turn's own settlement is exact.
    pub fn cap_open_entries(&mut self, turn: &TurnId, most_tokens: u64) {
        let open = self
            .entries_of(turn)
            .filter(|(_, entry)| entry.spent.is_none());
        let keys: Vec<TurnId> = open.map(|(key, _)| key.clone()).collect();
        for key in keys {
            if let Some(entry) = self.entries.get_mut(&key) {
                entry.reserved_tokens = entry.reserved_tokens.min(most_tokens);
            }
        }
    }

    fn open_reservations(&self) -> impl Iterator<Item = &TurnId> {
        let entries = self.entries.iter();
        let open = entries.filter(|(_, entry)| entry.spent.is_none() && entry.charge() > 0);
        open.map(|(key, _)| key)
    }

    /// Whether the budget covers this turn's reservation beside the charges of all others.
    pub fn admits(&self, turn: &TurnId, reserved_tokens: u64, budget: u64) -> bool {
        self.charged_by_others(turn).saturating_add(reserved_tokens) <= budget
    }

    /// Whether a turn may run whose reservation of `reserved_tokens` is in the ledger, if its program has this budget.
    pub fn admission(&self, turn: &TurnId, reserved_tokens: u64, budget: u64) -> TurnAdmission {
        if self.admits(turn, reserved_tokens, budget) {
            return TurnAdmission::Admitted;
        }
        let by_others = self.spent_by_others(turn);
        if by_others.saturating_add(reserved_tokens) > budget {
            return TurnAdmission::Spent { by_others };
        }
        let first = self.open_reservations().next();
        TurnAdmission::Reserved {
            is_first: first.is_none_or(|key| key.without_origin() == turn.0),
        }
    }
}
