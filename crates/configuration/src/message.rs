//! Messages between nodes about the configuration.
#![allow(
    missing_docs,
    reason = "the resolvers that rkyv derives carry undocumented fields"
)]

use ridgeworks_domain::NodeId;
use rkyv::{Archive, Deserialize, Serialize};

use crate::machines::MachineUpdate;
use crate::revision::{RequestId, Revision};
use crate::update::Update;

/// The newest durable revision of an eligible voter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct VoterAnswer {
    /// The voter.
    pub voter: NodeId,
    /// Its newest durable revision.
    pub newest: Revision,
}

/// Configuration and machines that are newer than what the receiver is known to hold.
#[derive(Debug, Clone, PartialEq, Eq, Default, Archive, Serialize, Deserialize)]
pub struct StateDelta {
    /// A newer configuration, if the sender has one. It is not in force until a majority holds it.
    pub update: Option<Box<Update>>,
    /// The highest revision that the sender knows a majority of voters to hold.
    pub held: Revision,
    /// A newer list of machines, if the sender has one.
    pub machines: Option<Box<MachineUpdate>>,
}

/// Versions that a node already holds, so that it is sent only what is newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Archive, Serialize, Deserialize)]
pub struct KnownVersions {
    /// The newest revision that the node holds, in force or not.
    pub newest: Revision,
    /// Version of its list of machines.
    pub machines: u64,
}

/// A message between nodes about the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum ConfigurationMessage {
    /// To a voter: store this configuration.
    Replicate {
        /// Identifier of the request.
        request: RequestId,
        /// The configuration, in full or as a delta.
        update: Box<Update>,
    },
    /// From a voter: its newest durable revision. Sent in answer to `Replicate`, and to the other
    /// voters after every change and periodically. It is also sent to a voter that reported a newer
    /// revision.
    Stored {
        /// Identifier of the `Replicate` that is answered; `None` if unsolicited.
        request: Option<RequestId>,
        /// The newest durable revision, and the version of the list of machines, which is not durable.
        known: KnownVersions,
    },
    /// To a voter: requests everything newer than `known`.
    FetchNewest {
        /// Identifier of the request.
        request: RequestId,
        /// What the sender holds.
        known: KnownVersions,
    },
    /// From a voter: the answer to `FetchNewest`.
    Newest {
        /// Identifier of the request.
        request: RequestId,
        /// The newest durable revision.
        newest: Revision,
        /// Whether the voter is eligible, so that its answer counts.
        vouches: bool,
        /// What the requester lacks.
        news: StateDelta,
    },
    /// To a voter or a relay: requests the newest revisions, to renew a lease.
    Renew {
        /// Identifier of the request.
        request: RequestId,
        /// What the sender holds.
        known: KnownVersions,
    },
    /// From a voter or a relay: answers of voters, all given after the `Renew` was sent.
    Renewed {
        /// Identifier of the request.
        request: RequestId,
        /// Answers of eligible voters: one from a voter, or none while it is not eligible; those of a
        /// majority from a relay.
        answers: Vec<VoterAnswer>,
        /// What the requester lacks.
        news: StateDelta,
    },
    /// From a relay that is at its limit of clients.
    RelayFull {
        /// Identifier of the request.
        request: RequestId,
    },
    /// An unsolicited update: from a voter or a relay to its clients, or from a voter to another voter
    /// that reported an older list of machines.
    Push {
        /// What the receiver is expected to lack.
        news: StateDelta,
    },
}
