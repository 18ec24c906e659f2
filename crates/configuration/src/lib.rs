//! Configuration revisions, acceptance, leases and relays, without I/O.
//!
//! [`role::ConfigurationRole`] is what a host wraps: typed events in, typed effects out, time
//! passed in.

pub mod change;
pub mod effect;
pub mod machines;
pub mod message;
pub mod object;
pub mod ownership;
mod pool_split;
pub mod revision;
pub mod role;
pub mod set;
pub mod settings;
pub mod update;
pub mod validation;
pub mod voter_state;

pub use change::{Change, ChangeError, ChangeRequest, Principal};
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
