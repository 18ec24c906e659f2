//! Identifiers, units, errors and configuration objects shared by all roles of a node.
//!
//! Nothing in this crate performs I/O or reads a clock. Types that travel between nodes derive
//! `rkyv`; types that appear in settings, HTTP bodies or the platform's store derive `serde`.

pub mod ballot;
pub mod call;
pub mod identifiers;
pub mod objects;
pub mod refusal;
pub mod run_id;
pub mod safeguard;
pub mod time;
pub mod token_count;
pub mod units;

pub use ballot::Ballot;
pub use call::{BackendAddress, CallEnd, CallRequest, ServiceKind};
pub use identifiers::{
    BackendName, CallKey, ClassName, IdentifierError, NodeId, PartnerName, ProgramName, RegionName,
    Sequence, ServiceName, ZoneName,
};
pub use refusal::{InvalidRequest, Refusal, RefusalReason};
pub use run_id::RunId;
pub use safeguard::Safeguard;
pub use time::MonotonicTime;
pub use units::Cost;
