//! Configuration objects as operators define them.
//!
//! The platform's store keeps them as JSON; nodes hold the newest accepted revision of all of them.

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
    /// Its name.
    pub name: PartnerName,
    /// SHA-256 of the token, in lower-case hexadecimal.
    pub token_sha256: String,
    /// Weight of latency against wasted cache in placement and retention, 0 to 100.
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
    /// Its name.
    pub name: ClassName,
    /// The partner that owns it.
    pub partner: PartnerName,
    /// Urgent classes go strictly before all others.
    pub urgent: bool,
    /// Order among the partner's non-urgent classes; higher first.
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
    /// Its name.
    pub name: ServiceName,
    /// The partner that owns it.
    pub partner: PartnerName,
    /// What serves it.
    pub kind: ServiceKind,
    /// Price of one call of a tool or notice service; for a model, each token costs one.
    pub price: Cost,
    /// Longest time one attempt may take, in milliseconds.
    pub attempt_timeout_ms: u64,
    /// Most attempts of one repeatable call.
    pub max_attempts: u32,
}

/// A program: what runs are opened from.
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
    /// Its name.
    pub name: ProgramName,
    /// The partner that owns it.
    pub partner: PartnerName,
    /// Priority class of its calls.
    pub class: ClassName,
    /// Services its calls may use.
    pub services: Vec<ServiceName>,
    /// Budget of one run.
    pub budget: Cost,
    /// Most calls of one run; a run that loops without end stops here.
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
    /// The partner.
    pub partner: PartnerName,
    /// Its part of the pool, in thousandths; all parts sum to 1000.
    pub permille: u16,
}

/// The split of the shared pool. A change takes the consent of every partner in it.
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
    /// Parts in force.
    pub shares: Vec<Share>,
    /// A proposed split, if one is open.
    pub proposed: Option<Vec<Share>>,
    /// Partners that consented to the proposal.
    pub consents: Vec<PartnerName>,
}

/// A back end as the configuration or the platform's machine list names it.
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
    /// Its name, unique for one start of the machine.
    pub name: BackendName,
    /// The service that it serves.
    pub service: ServiceName,
    /// Socket address, an IP number and a port.
    pub address: std::net::SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Most calls it takes at a time.
    pub slots: u32,
}
