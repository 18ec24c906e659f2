//! Configuration revisions, acceptance, leases and relays, without I/O.
//!
//! [`role::ConfigurationRole`] is what a host wraps: typed events in, typed effects out, time
//! passed in.

mod acceptance;
pub mod change;
mod clients;
pub mod counters;
pub mod effect;
pub mod lease;
pub mod machines;
pub mod message;
pub mod object;
mod outbox;
pub mod ownership;
mod pool_split;
pub mod quorum;
pub mod relay;
mod replication;
pub mod revision;
pub mod role;
pub mod set;
pub mod settings;
pub mod staged;
pub mod update;
pub mod validation;
mod voter;
pub mod voter_state;
mod watcher;

pub use change::{Change, ChangeError, ChangeRequest, Principal};
pub use counters::ConfigurationCounters;
pub use effect::{Effect, Event, OperatorAnswer, PlatformAnswer, PlatformOperation, Ticket};
pub use effect::{Unavailable, WatchEvent};
pub use machines::{Machine, MachineList, MachineState};
pub use message::ConfigurationMessage;
pub use object::{ConfigurationObject, ObjectKey, ObjectKind, VersionedObject};
pub use revision::{ObjectVersion, OperationId, PlatformVersion, RequestId, Revision};
pub use role::ConfigurationRole;
pub use set::ConfigurationSet;
pub use settings::{ConfigurationSettings, Member};
pub use voter_state::StoredVoter;
