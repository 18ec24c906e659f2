//! Configuration objects, which operators define.
//!
//! The platform's store keeps them as JSON; each node holds all objects at its newest accepted revision.

use rkyv::{Archive, Deserialize, Serialize};

use crate::call::ServiceKind;
use crate::identifiers::{BackendName, ClassName, PartnerName, ProgramName, ServiceName, ZoneName};
use crate::units::Cost;

/// A partner and the hash of its access token.
#[derive(
    Debug,
    Clone,
    PartialEq,
    Eq,
    Archive,
    Serialize,
    Deserialize,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct Partner {
    /// Name, which identifies the object among those of its kind.
    pub name: PartnerName,
    /// SHA-256 of the token, in lower-case hexadecimal.
    pub token_sha256: String,
    /// Weight of latency relative to cache reuse when calls are placed and contexts retained, from 0 (prefer
    /// cache reuse) to 100 (prefer short waits); 50 is neutral.
    pub latency_weight: u8,
}

/// A priority class of one partner.
#[derive(
    Debug,
    Clone,
    PartialEq,
    Eq,
    Archive,
    Serialize,
    Deserialize,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct PriorityClass {
    /// Name, which identifies the object among those of its kind.
    pub name: ClassName,
    /// Partner that owns the object.
    pub partner: PartnerName,
    /// Whether calls of the class are scheduled strictly before those of all non-urgent classes.
    pub urgent: bool,
    /// Priority among the partner's non-urgent classes; higher ranks go first.
    pub rank: u8,
}

/// A service that calls can go to.
#[derive(
    Debug,
    Clone,
    PartialEq,
    Eq,
    Archive,
    Serialize,
    Deserialize,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct Service {
    /// Name, which identifies the object among those of its kind.
    pub name: ServiceName,
    /// Partner that owns the object.
    pub partner: PartnerName,
    /// Kind of back end that serves the calls.
    pub kind: ServiceKind,
    /// Price of one call to a tool or notice service; a model charges one unit per token.
    pub price: Cost,
    /// Timeout of one attempt, in milliseconds.
    pub attempt_timeout_ms: u64,
    /// Maximum number of attempts of one repeatable call.
    pub max_attempts: u32,
}

/// A program, from which runs are opened.
#[derive(
    Debug,
    Clone,
    PartialEq,
    Eq,
    Archive,
    Serialize,
    Deserialize,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct Program {
    /// Name, which identifies the object among those of its kind.
    pub name: ProgramName,
    /// Partner that owns the object.
    pub partner: PartnerName,
    /// Priority class of its calls.
    pub class: ClassName,
    /// Services its calls may use.
    pub services: Vec<ServiceName>,
    /// Budget of one run.
    pub budget: Cost,
    /// Maximum number of calls of one run, which ends a run stuck in an endless loop.
    pub max_calls: u64,
}

/// One partner's share of the pool.
#[derive(
    Debug,
    Clone,
    PartialEq,
    Eq,
    Archive,
    Serialize,
    Deserialize,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct Share {
    /// Partner that receives the share.
    pub partner: PartnerName,
    /// Share of the pool, in thousandths; all shares sum to 1000.
    pub permille: u16,
}

/// The split of the shared pool. A change requires the consent of every partner in it.
#[derive(
    Debug,
    Clone,
    PartialEq,
    Eq,
    Archive,
    Serialize,
    Deserialize,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct PoolSplit {
    /// Shares in force.
    pub shares: Vec<Share>,
    /// The open proposal; `None` if there is none.
    pub proposed: Option<Vec<Share>>,
    /// Partners that consented to the open proposal.
    pub consents: Vec<PartnerName>,
}

/// A back end from the configuration or from the platform's machine list.
#[derive(
    Debug,
    Clone,
    PartialEq,
    Eq,
    Archive,
    Serialize,
    Deserialize,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct Backend {
    /// Name. An entry of the platform's machine list overrides a configured back end of the same name.
    pub name: BackendName,
    /// Service whose calls it handles.
    pub service: ServiceName,
    /// IP address and port.
    pub address: std::net::SocketAddr,
    /// Zone that the machine runs in.
    pub zone: ZoneName,
    /// Maximum number of concurrent calls.
    pub slots: u32,
}
