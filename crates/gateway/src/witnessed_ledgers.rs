//! Ledgers that a gateway keeps in memory as a witness of other gateways' sends, while no majority of the replicas answers.

use std::collections::HashMap;
use std::time::Duration;

use ridgeworks_records::{LedgerEntry, ProgramId, ProgramLedger, TurnId};

/// Maximum number of ledgers. One without ends and open entries is not kept, so that these are requests that are at engines now, and
/// those under which engines ended.
const MAX_LEDGERS: usize = 8_192;

struct WitnessedLedger {
    changed_at: Duration,
    ledger: ProgramLedger,
}

/// The ledgers of a witness. Times are since the start of the process.
pub struct WitnessedLedgers {
    lifetime: Duration,
    ledgers: HashMap<ProgramId, WitnessedLedger>,
}

impl WitnessedLedgers {
    /// `lifetime` is how long a ledger is kept after its last change.
    pub fn new(lifetime: Duration) -> Self {
        Self {
            lifetime,
            ledgers: HashMap::new(),
        }
    }

    /// Merges an entry into a ledger, and returns that ledger; `None` if there are too many to keep it.
    pub fn merge(
        &mut self,
        program: &ProgramId,
        key: &TurnId,
        entry: LedgerEntry,
        now: Duration,
    ) -> Option<ProgramLedger> {
        if self.ledgers.len() >= MAX_LEDGERS && !self.ledgers.contains_key(program) {
            return None;
        }
        let kept = self
            .ledgers
            .entry(program.clone())
            .or_insert(WitnessedLedger {
                changed_at: now,
                ledger: ProgramLedger::default(),
            });
        kept.changed_at = now;
        kept.ledger.merge_entry(key, entry);
        let ledger = kept.ledger.clone();
        let mut entries = ledger.entries.iter();
        let is_needed = entries.any(|(key, entry)| key.is_mark() || entry.spent.is_none());
        if !is_needed {
            self.ledgers.remove(program);
        }
        Some(ledger)
    }

    /// A ledger, if it is kept.
    pub fn find(&self, program: &ProgramId) -> Option<&ProgramLedger> {
        self.ledgers.get(program).map(|kept| &kept.ledger)
    }

    /// Removes ledgers that have not changed for their lifetime.
    pub fn expire(&mut self, now: Duration) {
        let lifetime = self.lifetime;
        self.ledgers
            .retain(|_, kept| now.saturating_sub(kept.changed_at) < lifetime);
    }

    /// Number of ledgers.
    pub fn len(&self) -> usize {
        self.ledgers.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.ledgers.is_empty()
    }
}
