//! Messages between nodes, encoded by [`super::encoding`].
//!
//! The archived layout of each is frozen, since nodes of protocol version 0 read it. A later field is skipped in the layout
//! and sent in a section of the frame.
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

/// A request to another node.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum PeerRequest {
    /// For the replica on that node.
    Replica {
        /// Identity of the replica; a replica on a new or wiped disk has another one and must not answer for this one.
        to: ReplicaId,
        /// The request.
        request: ReplicaRequest,
    },
    /// Asks for the parts of the node's view that are newer than this position.
    FetchView(ViewPosition),
    /// Asks which nodes it knows.
    ListMembers,
    /// For a replica on a third node that the sender can't reach directly.
    Relay(Box<RelayedRequest>),
    /// Asks a replica to copy a group's records before it joins the set, and whether it has finished.
    Prepare(Box<PrepareRequest>),
    /// A request that nodes of protocol version 0 don't know; it is sent in a section and never in a body.
    Extension(#[rkyv(with = Skip)] ExtensionRequest),
}

/// Asks a replica to copy a group's records before it joins the group's set.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct PrepareRequest {
    /// Identity of the replica.
    pub to: ReplicaId,
    /// The group whose records it copies.
    pub group: GroupId,
    /// The replica sets in force.
    pub groups: ReplicaGroups,
}

/// A request that a node is to relay to a replica.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct RelayedRequest {
    /// Address of the replica's node.
    pub address: SocketAddr,
    /// Identity of the replica.
    pub to: ReplicaId,
    /// The request.
    pub request: ReplicaRequest,
}

/// A reply to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum PeerReply {
    /// From the replica.
    Replica(ReplicaReply),
    /// The newer parts of the node's view.
    View(ViewUpdate),
    /// The nodes that it knows, itself included.
    Members(Vec<MemberInfo>),
    /// The node's role or version doesn't handle the request.
    Unsupported,
    /// The relaying node could not reach the replica.
    RelayFailed,
    /// State of the copy of a replica that is to join a set.
    Prepared {
        /// Whether it holds the records that a read quorum of the voters held moments ago.
        is_ready: bool,
    },
    /// A reply that nodes of protocol version 0 don't know; it is sent in a section and never in a body.
    Extension(#[rkyv(with = Skip)] ExtensionReply),
}

/// Versions of the parts of a node's view, to request what is newer.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ViewPosition {
    /// Version of its configuration, 0 when it has none.
    pub version: u64,
    /// Which changes of the engines it knows.
    pub engines: KnownEngines,
    /// Combined epoch of its newest replica sets.
    pub epoch: Epoch,
    /// Whether it uses the drains of zones. Sent in a [`DrainSection`].
    #[rkyv(with = Skip)]
    pub wants_drains: bool,
}

/// Which changes of the engines a node knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum KnownEngines {
    /// It doesn't use engines.
    Unwanted,
    /// It has received no list yet.
    Nothing,
    /// All changes up to this revision.
    UpTo(u64),
}

/// The parts of a node's view that are newer than a [`ViewPosition`].
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ViewUpdate {
    /// A newer configuration.
    pub configuration: Option<RouteConfiguration>,
    /// Changes of the engines; `None` when the sender has received no list or the requester doesn't use engines.
    pub engines: Option<EngineChanges>,
    /// Newer replica sets.
    pub groups: Option<ReplicaGroups>,
    /// Milliseconds since the store last confirmed the sender's configuration; `None` when it never did.
    pub unconfirmed_ms: Option<u64>,
    /// Milliseconds since the store last confirmed the sender's engines; `None` when it never did.
    pub engines_unconfirmed_ms: Option<u64>,
    /// The sender's drains of zones, where the requester uses them. Sent in a [`DrainSection`].
    #[rkyv(with = Skip)]
    pub drains: Option<Box<DrainSnapshot>>,
    /// Protocol version of the sender; version 0 sends no sections.
    #[rkyv(with = Skip)]
    pub protocol: u16,
    /// Whether the configuration includes the parts that protocol version 0 doesn't have.
    #[rkyv(with = Skip)]
    pub has_extras: bool,
    /// Whether the engines include their warm-up times.
    #[rkyv(with = Skip)]
    pub has_starts: bool,
    /// Whether the engines include their software versions.
    #[rkyv(with = Skip)]
    pub has_software: bool,
}

/// Versions of the parts of a node's view, with the time since the store confirmed that each is the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Confirmations {
    /// Version of its configuration, 0 when it has none.
    pub version: u64,
    /// Milliseconds since that was confirmed; `None` when it never was.
    pub unconfirmed_ms: Option<u64>,
    /// Revision of the newest change of the engines that it knows.
    pub engines_newest: u64,
    /// Milliseconds since it was confirmed that there is no newer one; `None` when it never was.
    pub engines_unconfirmed_ms: Option<u64>,
    /// Its drains of zones; `None` where it doesn't use them or has no list. Sent in a [`DrainSection`].
    #[rkyv(with = Skip)]
    pub drains: Option<KnownDrains>,
    /// Milliseconds since the store said that it has no replica sets; `None` where that is not known, or a replica is. Sent in a
    /// section.
    #[rkyv(with = Skip)]
    pub no_replica_sets_ms: Option<u64>,
}

/// Version of a node's drains of zones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct KnownDrains {
    /// Revision of the newest change that it knows.
    pub newest: u64,
    /// Milliseconds since it was confirmed that there is no newer one; `None` when it never was.
    pub unconfirmed_ms: Option<u64>,
}

/// A node's drains of zones.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct DrainSnapshot {
    /// The complete table.
    pub table: ZoneDrains,
    /// Milliseconds since it was confirmed that there is no newer change; `None` when it never was.
    pub unconfirmed_ms: Option<u64>,
}

/// Section about the drains of zones, sent with the body of another message.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum DrainSection {
    /// Sent with [`Confirmations`]: version of the sender's drains.
    Known(KnownDrains),
    /// Sent with [`PeerRequest::FetchView`]: the requester uses drains.
    Wanted,
    /// Sent with [`PeerReply::View`]: the sender's drains.
    Told(DrainSnapshot),
}

/// A request or reply with the number that correlates them.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// Number of the request, unique on its connection.
    pub number: u64,
    /// The request or reply.
    pub body: T,
}

/// Identity and location of a node.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Name of the node, unique in the deployment.
    pub name: String,
    /// Address of its links and heartbeats.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Whether it runs a replica.
    pub is_replica: bool,
}

/// State of a node's replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Identity of the replica.
    pub id: ReplicaId,
    /// A group whose set is changing and whose records it has copied, with the set's epoch.
    pub copied: Option<(GroupId, Epoch)>,
}

/// A gateway's observations of the engines.
#[derive(Debug, Clone, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct LoadReport {
    /// Numbers of its in-flight requests by engine.
    pub open: Vec<(u64, u32)>,
    /// Outcomes of its requests at engines that failed some.
    pub suspects: Vec<ReportedOutcomes>,
    /// Its measurements of the services.
    pub services: Vec<ServiceSummary>,
}

/// State that a node sends to some others at each heartbeat interval and after changes.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub from: MemberInfo,
    /// Start time of its process; a restart has a higher one.
    pub incarnation: u64,
    /// Versions of its view. The ages only select nodes to query, since a heartbeat may have been delayed for any time.
    pub confirmations: Confirmations,
    /// Combined epoch of the newest replica sets that it knows.
    pub epoch: Epoch,
    /// Its replica, if it runs one.
    pub replica: Option<ReplicaStatus>,
    /// Its observations of the engines.
    pub load: LoadReport,
    /// Some other nodes that it knows.
    pub known: Vec<MemberInfo>,
    /// Protocol version of the sender.
    #[rkyv(with = Skip)]
    pub protocol: u16,
}

/// Messages over UDP. They may be lost, so no safety property depends on them.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum Datagram {
    /// Sent at each heartbeat interval and after changes.
    Heartbeat(Box<Heartbeat>),
    /// Tells a prompt's directory node that an engine processes the prompt.
    Read(PrefillRecord),
    /// Asks a directory node for the most recent prefill of a prompt with this last part.
    FindRead {
        /// Number of the query, unique at its sender.
        number: u64,
        /// Hash of the last part.
        part: u64,
    },
    /// Asks a node for its [`Confirmations`].
    AskConfirmations {
        /// Number of the query, unique at its sender.
        number: u64,
    },
    /// Reply to [`Datagram::AskConfirmations`].
    Confirmed {
        /// Number of the query.
        number: u64,
        /// Versions of the replying node's view and the ages of their confirmations.
        told: Confirmations,
    },
    /// Reply to [`Datagram::FindRead`].
    FoundRead {
        /// Number of the query.
        number: u64,
        /// The most recent prefill; `None` where none is known.
        read: Option<PrefillRecord>,
    },
    /// A datagram that nodes of protocol version 0 don't know; it is sent in a section and never in a body.
    Extension(#[rkyv(with = Skip)] ExtensionDatagram),
}
