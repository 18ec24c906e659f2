//! Messages between nodes. Their encoding stands in [`super::encoding`].
//!
//! The archived form of each is frozen: nodes of the first protocol version read it. What comes later is a field that the form
//! skips, and travels in a section of the frame.
#![allow(
    missing_docs,
    reason = "the resolvers that rkyv derives carry undocumented fields"
)]

use std::net::SocketAddr;

use ridgeworks_records::{Epoch, GroupId, ReplicaGroups, ReplicaId, ReplicaReply, ReplicaRequest};
use ridgeworks_routing::{
    EngineChanges, PrefillRecord, ReportedOutcomes, RouteConfiguration, ServiceSummary, ZoneDrains,
};
use rkyv::with::Skip;
use rkyv::{Archive, Deserialize, Serialize};

use super::extension::{ExtensionDatagram, ExtensionReply, ExtensionRequest};

/// What one node asks another.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum PeerRequest {
    /// For the replica that runs there.
    Replica {
        /// The replica that is meant: another life of the disk must not answer for it.
        to: ReplicaId,
        /// The request.
        request: ReplicaRequest,
    },
    /// Asks for what the node knows of the deployment that is newer than this.
    FetchView(ViewPosition),
    /// Asks which nodes it has heard of.
    ListMembers,
    /// For a replica elsewhere that the sender does not reach itself.
    Relay(Box<RelayedRequest>),
    /// Asks a replica to copy before it joins the set, and how far it is.
    Prepare(Box<PrepareRequest>),
    /// What nodes of the first protocol version do not know; no body ever holds it.
    Extension(#[rkyv(with = Skip)] ExtensionRequest),
}

/// A copy that a replica is to make before it joins a set.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct PrepareRequest {
    /// The replica that is meant.
    pub to: ReplicaId,
    /// The group whose records it copies.
    pub group: GroupId,
    /// The sets in force.
    pub groups: ReplicaGroups,
}

/// A request that a node is to pass on to a replica.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct RelayedRequest {
    /// Where the replica's node is reached.
    pub address: SocketAddr,
    /// The replica that is meant.
    pub to: ReplicaId,
    /// The request.
    pub request: ReplicaRequest,
}

/// What a node answers.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum PeerReply {
    /// From the replica.
    Replica(ReplicaReply),
    /// What the node knows.
    View(ViewUpdate),
    /// Nodes that it has heard of.
    Members(Vec<MemberInfo>),
    /// The node's role does not answer this.
    Unsupported,
    /// The node does not reach the replica that it was to pass a request on to.
    RelayFailed,
    /// How far a replica is that is to join the set.
    Prepared {
        /// Whether it holds what a read quorum of the voters held moments ago.
        is_ready: bool,
    },
    /// What nodes of the first protocol version do not know; no body ever holds it.
    Extension(#[rkyv(with = Skip)] ExtensionReply),
}

/// How far a node knows the deployment.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ViewPosition {
    /// Version of its configuration, 0 when it has none.
    pub version: u64,
    /// What it knows of the engines.
    pub engines: KnownEngines,
    /// The epochs of its newest replica sets together.
    pub epoch: Epoch,
    /// Whether it has a use for the drains of zones. Travels in a [`DrainSection`].
    #[rkyv(with = Skip)]
    pub wants_drains: bool,
}

/// How far a node knows the engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum KnownEngines {
    /// It has no use for them.
    Unwanted,
    /// It has seen no list.
    Nothing,
    /// All changes up to this revision.
    UpTo(u64),
}

/// What one node knows of the deployment and another one does not.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ViewUpdate {
    /// A newer configuration.
    pub configuration: Option<RouteConfiguration>,
    /// Changes of the engines; `None` when the node has seen no list or none are wanted.
    pub engines: Option<EngineChanges>,
    /// Newer replica sets.
    pub groups: Option<ReplicaGroups>,
    /// Milliseconds since the store last confirmed the node's configuration; `None` when it never did.
    pub unconfirmed_ms: Option<u64>,
    /// The same for its engines.
    pub engines_unconfirmed_ms: Option<u64>,
    /// The drains of zones that it knows, where they are wanted. Travels in a [`DrainSection`].
    #[rkyv(with = Skip)]
    pub drains: Option<Box<DrainSnapshot>>,
    /// Version of the protocol that the sender speaks: one that speaks version 0 knows nothing of what came later.
    #[rkyv(with = Skip)]
    pub protocol: u16,
    /// Whether the configuration is told with all that nodes of the first protocol version do not know of it.
    #[rkyv(with = Skip)]
    pub has_extras: bool,
    /// Whether the engines are told with how long they warm up.
    #[rkyv(with = Skip)]
    pub has_starts: bool,
}

/// What a node knows of the deployment and for how long nobody has confirmed that it is the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Confirmations {
    /// Version of its configuration, 0 when it has none.
    pub version: u64,
    /// Milliseconds for which nobody has confirmed that; `None` when nobody ever did.
    pub unconfirmed_ms: Option<u64>,
    /// Revision of the newest change of the engines that it knows.
    pub engines_newest: u64,
    /// Milliseconds for which nobody has confirmed that there is no newer one; `None` when nobody ever did.
    pub engines_unconfirmed_ms: Option<u64>,
    /// What it knows of the drains of zones, where it follows them. Travels in a [`DrainSection`].
    #[rkyv(with = Skip)]
    pub drains: Option<KnownDrains>,
}

/// How far a node knows the drains of zones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct KnownDrains {
    /// Revision of the newest change that it knows.
    pub newest: u64,
    /// Milliseconds for which nobody has confirmed that there is no newer one; `None` when nobody ever did.
    pub unconfirmed_ms: Option<u64>,
}

/// The drains of zones, as one node tells them another.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct DrainSnapshot {
    /// All of them.
    pub table: ZoneDrains,
    /// Milliseconds for which nobody has confirmed that there is no newer change; `None` when nobody ever did.
    pub unconfirmed_ms: Option<u64>,
}

/// What nodes say to each other of the drains of zones, beside a message of the first protocol version.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum DrainSection {
    /// Beside confirmations: how far the sender knows them.
    Known(KnownDrains),
    /// Beside a question for the view: the asker wants them.
    Wanted,
    /// Beside the answer.
    Told(DrainSnapshot),
}

/// A request or reply with the number that joins them.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// Number of the request, unique on its connection.
    pub number: u64,
    /// The message.
    pub body: T,
}

/// Who a node is.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Its name.
    pub name: String,
    /// Where other nodes reach it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Whether it runs a replica.
    pub is_replica: bool,
}

/// How the replica of a node stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Its identity.
    pub id: ReplicaId,
    /// A group whose set is changing and whose copy it has finished, with the set's epoch.
    pub copied: Option<(GroupId, Epoch)>,
}

/// What a gateway tells others of the engines.
#[derive(Debug, Clone, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct LoadReport {
    /// Its open requests by engine.
    pub open: Vec<(u64, u32)>,
    /// How its requests ended at engines that fail some.
    pub suspects: Vec<ReportedOutcomes>,
    /// What it has learned of the services.
    pub services: Vec<ServiceSummary>,
}

/// What a node tells others a few times a second.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The node.
    pub from: MemberInfo,
    /// Number of its life, drawn at its start.
    pub incarnation: u64,
    /// What it knows of the deployment. The ages only tell whom to ask: a heartbeat may have waited for any time.
    pub confirmations: Confirmations,
    /// The epochs of the newest replica sets that it knows together.
    pub epoch: Epoch,
    /// Its replica, if it runs one.
    pub replica: Option<ReplicaStatus>,
    /// What it tells of the engines.
    pub load: LoadReport,
    /// Some other nodes that it knows.
    pub known: Vec<MemberInfo>,
    /// Version of the protocol that it speaks.
    #[rkyv(with = Skip)]
    pub protocol: u16,
}

/// What nodes say to each other over UDP. Nothing that must be safe rests on it.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum Datagram {
    /// A few times a second.
    Heartbeat(Box<Heartbeat>),
    /// An engine reads a prompt; told to the prompt's directory node.
    Read(PrefillRecord),
    /// Asks that node who has read prompts with this last part.
    FindRead {
        /// Number of the question, unique at whoever asks.
        number: u64,
        /// Hash of the last part.
        part: u64,
    },
    /// Asks a node for how long nobody has confirmed what it knows.
    AskConfirmations {
        /// Number of the question, unique at whoever asks.
        number: u64,
    },
    /// The answer.
    Confirmed {
        /// Number of the question.
        number: u64,
        /// What the node knows.
        told: Confirmations,
    },
    /// The answer to a question for a read.
    FoundRead {
        /// Number of the question.
        number: u64,
        /// The last read, if there was one.
        read: Option<PrefillRecord>,
    },
    /// What nodes of the first protocol version do not know; no body ever holds it.
    Extension(#[rkyv(with = Skip)] ExtensionDatagram),
}
