//! Gateways that stand in for replicas while no majority answers (`docs/design/engine-ends.md`).
#![allow(
    missing_docs,
    reason = "the resolvers that rkyv derives carry undocumented fields"
)]

use ridgeworks_records::{LedgerEntry, ProgramId, ProgramLedger, TurnId};
use rkyv::{Archive, Deserialize, Serialize};

/// Asks a gateway to merge an entry into a ledger that it keeps in memory, and to tell that ledger.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct WitnessRequest {
    /// The ledger of all requests that are alike.
    pub ledger: ProgramId,
    /// Key of the entry.
    pub key: TurnId,
    /// The entry: a permit, open or settled, or the mark of an engine's end.
    pub entry: LedgerEntry,
}

/// Reply of a witness.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum WitnessReply {
    /// The entry is kept; the ledger with it.
    Kept(ProgramLedger),
    /// The witness keeps its maximum number of ledgers, and has not kept the entry.
    Full,
    /// The entry is kept, but the witness has not run for as long as ends count: it does not know what was witnessed before its start.
    KeptSinceStart(ProgramLedger),
}
