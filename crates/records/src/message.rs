//! Messages between gateways and replicas, and among replicas.

use rkyv::{Archive, Deserialize, Serialize};

use crate::change_log::ListPosition;
use crate::groups::{GroupId, ReplicaGroups};
use crate::identifiers::{Epoch, ProgramId, TurnId};
use crate::ledger::{LedgerEntry, ProgramLedger};
use crate::turn::TurnRecord;

/// What a turn generated, for its program's ledger.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Settlement {
    /// The program.
    pub program: ProgramId,
    /// The turn.
    pub turn: TurnId,
    /// Its entry, with what was spent.
    pub entry: LedgerEntry,
    /// How long the ledger is kept after this change, in milliseconds.
    pub ttl_ms: u64,
}

/// A request of a tenant that is to run.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Admission {
    /// The group whose voters share the tenant's limit.
    pub group: GroupId,
    /// Name of the tenant.
    pub tenant: String,
    /// Whether the request may be the first one of its program.
    pub may_start_program: bool,
    /// Requests that it may make in a thousand seconds.
    pub per_ks: u64,
    /// Requests beyond that at once.
    pub burst: u64,
    /// Version of the configuration that sets the limit.
    pub version: u64,
}

/// What a replica is asked.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum ReplicaRequest {
    /// Joins an entry into a program's ledger and tells the whole ledger.
    Charge {
        /// The program's group.
        group: GroupId,
        /// The set that the sender counts its quorum in.
        epoch: Epoch,
        /// The program.
        program: ProgramId,
        /// The turn that takes the tokens.
        turn: TurnId,
        /// Its entry.
        entry: LedgerEntry,
        /// How long the ledger is kept after its last change, in milliseconds.
        ttl_ms: u64,
    },
    /// Joins what turns generated into their ledgers. Nobody waits for it, so that the replica may make
    /// it durable together with what comes next.
    Settle {
        /// The group of all these programs.
        group: GroupId,
        /// The set that the sender counts its quorum in.
        epoch: Epoch,
        /// What the turns generated.
        settlements: Vec<Settlement>,
    },
    /// Writes the record of a turn.
    Append {
        /// The group of the turn's program.
        group: GroupId,
        /// The set that the sender counts its quorum in.
        epoch: Epoch,
        /// The record.
        record: TurnRecord,
        /// How long it is kept, in milliseconds.
        ttl_ms: u64,
    },
    /// Reads a turn and all before it, as far as the replica has them.
    ReadChain {
        /// The group of the turn's program.
        group: GroupId,
        /// The set that the sender counts its quorum in.
        epoch: Epoch,
        /// The newest turn.
        turn: TurnId,
    },
    /// Tells newer replica sets.
    Adopt {
        /// The sets.
        groups: ReplicaGroups,
    },
    /// Lists records that changed after a position, for a replica that copies them.
    List {
        /// The group whose records are copied.
        group: GroupId,
        /// The set under which the copy is made.
        epoch: Epoch,
        /// Where an earlier page led; `None` for the first one.
        after: Option<ListPosition>,
    },
    /// Asks the node of the replica whether a request of a tenant may run.
    Admit(Admission),
    /// Reads records of turns, for a replica that copies them.
    Fetch {
        /// The turns.
        turns: Vec<TurnId>,
    },
}

/// One page of a replica's records, in the order in which they changed last.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Listing {
    /// Turns, with the milliseconds that each is still kept.
    pub turns: Vec<(TurnId, u64)>,
    /// Ledgers, with the milliseconds that each is still kept.
    pub ledgers: Vec<(ProgramId, ProgramLedger, u64)>,
    /// Where the next page starts.
    pub next: ListPosition,
    /// Whether nothing has changed after that.
    pub is_end: bool,
}

/// What a replica answers.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum ReplicaReply {
    /// The entry is durable; the ledger as it is known here.
    Charged {
        /// All entries of the program.
        ledger: ProgramLedger,
    },
    /// What was asked is durable.
    Done,
    /// Records from the newest turn backwards.
    Chain {
        /// The records, newest first.
        records: Vec<TurnRecord>,
        /// The turn at which the replica had no record; `None` when the chain is whole.
        missing: Option<TurnId>,
    },
    /// A page of records.
    Listed(Listing),
    /// Records of turns; those that expired meanwhile are left out.
    Fetched {
        /// The records.
        records: Vec<TurnRecord>,
    },
    /// The request of the tenant may run.
    Granted,
    /// Nothing is left of the tenant's limit here.
    Exhausted {
        /// Milliseconds until the next request can be granted.
        next_ms: u64,
        /// Milliseconds until this one can, if all that were turned away before come back first.
        retry_ms: u64,
    },
    /// The sender's epoch is older than the replica's.
    Stale {
        /// The sets as the replica knows them.
        groups: ReplicaGroups,
    },
    /// The replica does not know the sender's epoch yet.
    Behind,
    /// The replica does not belong to the set.
    NotMember,
    /// The replica's disk takes nothing, or no room is left.
    Unavailable,
}
