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

/// The newest revision that a voter holds durably and vouches for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct VoterAnswer {
    /// The voter.
    pub voter: NodeId,
    /// Its newest durable revision.
    pub newest: Revision,
}

/// What a node needs besides the lease: newer sets and machines.
#[derive(Debug, Clone, PartialEq, Eq, Default, Archive, Serialize, Deserialize)]
pub struct News {
    /// A newer revision, if the sender has one. Not in force before a majority holds it.
    pub update: Option<Box<Update>>,
    /// The highest revision that the sender knows to be on a majority of voters.
    pub held: Revision,
    /// A newer list of machines, if the sender has one.
    pub machines: Option<Box<MachineUpdate>>,
}

/// What a node knows already, so that it is sent only what is newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Archive, Serialize, Deserialize)]
pub struct Known {
    /// The newest revision that the node has, in force or not.
    pub newest: Revision,
    /// Version of its list of machines.
    pub machines: u64,
}

/// A message between nodes about the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum ConfigurationMessage {
    /// To a voter: store this revision.
    Replicate {
        /// Number of the request.
        request: RequestId,
        /// The revision.
        update: Box<Update>,
    },
    /// From a voter: this is my newest durable revision. Answers `Replicate`, and goes to the other
    /// voters after a change and from time to time.
    Stored {
        /// Number of the `Replicate` that is answered.
        request: Option<RequestId>,
        /// What the voter has, durably.
        known: Known,
    },
    /// To a voter: send me what I lack.
    FetchNewest {
        /// Number of the request.
        request: RequestId,
        /// What the sender has.
        known: Known,
    },
    /// From a voter: the answer to `FetchNewest`.
    Newest {
        /// Number of the request.
        request: RequestId,
        /// The newest durable revision.
        newest: Revision,
        /// Whether the voter vouches for it.
        vouches: bool,
        /// What the asker lacked.
        news: News,
    },
    /// To a voter or a relay: which revision is the newest?
    Renew {
        /// Number of the request.
        request: RequestId,
        /// What the sender has.
        known: Known,
    },
    /// From a voter or a relay: answers of voters, all given after the `Renew` was sent.
    Renewed {
        /// Number of the request.
        request: RequestId,
        /// Answers of voters that vouch; one from a voter, those of a majority from a relay.
        answers: Vec<VoterAnswer>,
        /// What the asker lacked.
        news: News,
    },
    /// From a relay that has all the clients it takes.
    RelayFull {
        /// Number of the request.
        request: RequestId,
    },
    /// From a voter or a relay to those that renew with it: something new, unasked.
    Push {
        /// What is new.
        news: News,
    },
}
