//! Messages between gateways and replicas, and among replicas.

use rkyv::{Archive, Deserialize, Serialize};

use crate::change_log::ListPosition;
use crate::groups::{GroupId, ReplicaGroups};
use crate::identifiers::{Epoch, ProgramId, TurnId};
use crate::ledger::{LedgerEntry, ProgramLedger};
use crate::turn::TurnRecord;

/// Number of tokens that a turn generated, for its program's ledger.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Settlement {
    pub program: ProgramId,
    pub turn: TurnId,
    /// The turn's entry, with the tokens spent.
    pub entry: LedgerEntry,
    /// How long the ledger is kept after this change, in milliseconds.
    pub ttl_ms: u64,
}

/// A request of a tenant, to be checked against the tenant's rate limit.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Admission {
    /// The group whose voters share the tenant's limit.
    pub group: GroupId,
    pub tenant: String,
    /// Whether the request may be the first one of its program.
    pub may_start_program: bool,
    /// Requests that the tenant may make in a thousand seconds.
    pub per_ks: u64,
    /// Burst size, in requests.
    pub burst: u64,
    /// Version of the configuration that sets the limit.
    pub version: u64,
}

/// Request to a replica.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum ReplicaRequest {
    /// Reserves tokens for a turn: merges its entry into the program's ledger and returns the whole
    /// ledger.
    Charge {
        /// The program's group.
        group: GroupId,
        /// Epoch of the replica set whose quorum the sender counts. The replica rejects a request
        /// with any other epoch.
        epoch: Epoch,
        program: ProgramId,
        /// The turn that the tokens are reserved for.
        turn: TurnId,
        /// The turn's entry.
        entry: LedgerEntry,
        /// How long the ledger is kept after its last change, in milliseconds.
        ttl_ms: u64,
    },
    /// Settles turns in their ledgers. The sender doesn't wait for the reply, so the replica may
    /// write the change together with later ones.
    Settle {
        /// The group of all these programs.
        group: GroupId,
        /// Epoch of the replica set whose quorum the sender counts. The replica rejects a request
        /// with any other epoch.
        epoch: Epoch,
        settlements: Vec<Settlement>,
    },
    Append {
        /// The group of the turn's program.
        group: GroupId,
        /// Epoch of the replica set whose quorum the sender counts. The replica rejects a request
        /// with any other epoch.
        epoch: Epoch,
        record: TurnRecord,
        /// How long the record is kept, in milliseconds.
        ttl_ms: u64,
    },
    /// Reads a turn and all turns before it, as far as the replica has them.
    ReadChain {
        /// The group of the turn's program.
        group: GroupId,
        /// Epoch of the replica set whose quorum the sender counts. The replica rejects a request
        /// with any other epoch, unless it has the newest turn.
        epoch: Epoch,
        /// The newest turn.
        turn: TurnId,
    },
    /// Sends newer replica sets.
    Adopt {
        /// The sets of all groups.
        groups: ReplicaGroups,
    },
    /// Lists records that changed after a position, for a replica that copies them.
    List {
        /// The group whose records are copied.
        group: GroupId,
        /// The epoch of the set that the copy is made for.
        epoch: Epoch,
        /// The position that the previous page returned; `None` for the first page.
        after: Option<ListPosition>,
    },
    /// Asks the replica's node whether a tenant's request may run.
    Admit(Admission),
    /// Reads records of turns, for a replica that copies them.
    Fetch {
        /// The turns to read, of any group.
        turns: Vec<TurnId>,
    },
}

/// One page of a group's records at a replica, in the order of their last changes: identifiers of
/// turns, and whole ledgers.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Listing {
    /// Turns, each with its remaining time to live in milliseconds.
    pub turns: Vec<(TurnId, u64)>,
    /// Ledgers, each with its remaining time to live in milliseconds.
    pub ledgers: Vec<(ProgramId, ProgramLedger, u64)>,
    /// The position after which the next page starts.
    pub next: ListPosition,
    /// Whether nothing has changed after `next`.
    pub is_end: bool,
}

/// Reply of a replica.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum ReplicaReply {
    /// The entry is durable; holds the ledger as this replica knows it.
    Charged {
        /// The program's ledger on this replica, with the entry merged.
        ledger: ProgramLedger,
    },
    /// The requested change is durable.
    Done,
    /// Records of a chain of turns.
    Chain {
        /// The records, newest first.
        records: Vec<TurnRecord>,
        /// The first turn of the chain that isn't in the reply, because the replica has no record
        /// of it or because the reply is full; `None` when the chain is complete.
        missing: Option<TurnId>,
    },
    Listed(Listing),
    /// The requested records, without those that have expired.
    Fetched {
        records: Vec<TurnRecord>,
    },
    /// The tenant's request may run.
    Granted,
    /// This replica's share of the tenant's limit is used up.
    Exhausted {
        /// Milliseconds until a next request can be granted.
        next_ms: u64,
        /// Milliseconds until this request can be granted if all requests rejected before it are
        /// retried first.
        retry_ms: u64,
    },
    /// The sender's epoch is older than the replica's.
    Stale {
        /// The sets that the replica knows.
        groups: ReplicaGroups,
    },
    /// The replica doesn't know the sender's epoch yet.
    Behind,
    /// The replica isn't a member of the set.
    NotMember,
    /// The replica's disk isn't available, or the memory for records is full.
    Unavailable,
}
