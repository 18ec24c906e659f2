//! Configuration revisions, acceptance, leases and relays, without I/O.
//!
//! [`role::ConfigurationRole`] is what a host wraps: typed events in, typed effects out, time
//! passed in. The host
//!
//! - calls [`ConfigurationRole::handle`] for every message, operator request, answer of the platform,
//!   finished write, and [`Event::Tick`] every [`settings::TICK_INTERVAL`];
//! - carries the effects out in order. [`Effect::Write`] may be overtaken by a later one, which holds
//!   everything; [`Event::Flushed`] follows only after the data is on the disk;
//! - answers every [`Effect::Platform`] but a watch, [`PlatformAnswer::Lost`] where the answer did not
//!   come, and [`PlatformAnswer::Unavailable`] only where the operation certainly had no effect;
//! - asks [`ConfigurationRole::in_force`] with the time of that moment before it accepts any work;
//! - gives [`ConfigurationSettings::seed`] another value at every start.
//!
//! An empty platform is filled by changes of [`Principal::Bootstrap`], which creates partners and the
//! first pool split and nothing else.

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
