//! Configuration revisions, acceptance of changes, leases and relays, without I/O.
//!
//! [`role::ConfigurationRole`] is a state machine that takes events and the time and returns effects.
//! Its host
//!
//! - calls [`ConfigurationRole::handle`] for every message, operator request, answer of the platform
//!   and finished write, and with [`Event::Tick`] every [`settings::TICK_INTERVAL`];
//! - carries out the effects in order. A later [`Effect::Write`] may replace a pending one, since it
//!   holds the complete state; [`Event::Flushed`] is reported only after the data is on disk;
//! - answers every [`Effect::Platform`] except a watch: with [`PlatformAnswer::Lost`] if no answer
//!   arrived, and with [`PlatformAnswer::Unavailable`] only if the operation certainly had no effect;
//! - calls [`ConfigurationRole::in_force`] with the current time before it accepts any work;
//! - sets [`ConfigurationSettings::seed`] to a different value at every start.
//!
//! An empty platform is initialised by changes of [`Principal::Bootstrap`], which may only create
//! partners and the first pool split.

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
