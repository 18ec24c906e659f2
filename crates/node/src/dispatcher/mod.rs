//! The dispatcher role: the only queue in front of the back ends of a service.
//!
//! `role` is the actor, with a `group` for each service that it dispatches for. What is known of back ends
//! comes from `backend_list`, `engine_poll` and `checked_backends`; `sweep` and `context_sweep` release
//! contexts of runs that ended unnoticed. Nothing here survives a crash: owners ask again, and tell which
//! attempts run.

mod backend_list;
mod checked_backends;
pub mod context_sweep;
mod effects;
mod engine_poll;
mod group;
mod message;
mod partner_shares;
mod role;
mod status;
mod sweep;

pub use backend_list::ListedBackend;
pub use checked_backends::LONGEST_CHECK;
pub use engine_poll::{EngineNews, EnginePolls, EngineReport};
pub use group::{DispatcherGroup, GroupUpdate, Repeat, UNUSED_GROUP_TIME};
pub use message::{DispatcherAnswer, DispatcherCommand, SlotRequest, whole_millis};
pub use role::{DispatcherOutputs, DispatcherRole};
pub use status::{BackendStatus, QueueStatus, ServiceStatus};
