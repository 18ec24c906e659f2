//! The dispatcher role: the only queue in front of the back ends of a service.
//!
//! `role` is the actor. It has a `group` for each model service that it dispatches, and for each
//! other service of which it has received requests or running attempts; an unused group is dropped
//! once another node is the dispatcher. The state of back ends comes from `backend_list`,
//! `engine_poll` and `probed_backends`. `context_sweep` finds contexts of ended runs; `sweep` sends
//! its queries to replicas and releases the contexts. No state is durable: after a crash, owners
//! repeat their requests and report their running attempts.

mod backend_list;
pub mod context_sweep;
mod effects;
mod engine_poll;
mod group;
mod message;
mod partner_shares;
mod probed_backends;
mod role;
mod status;
mod sweep;

pub use backend_list::ListedBackend;
pub use engine_poll::{EnginePolls, EngineReport, EngineUpdate};
pub use group::{DispatcherGroup, GroupUpdate, RequestDisposition, UNUSED_GROUP_TIMEOUT};
pub use message::{DispatcherAnswer, DispatcherCommand, SlotRequest, whole_millis};
pub use probed_backends::PROBE_TIMEOUT;
pub use role::{DispatcherOutputs, DispatcherRole};
pub use status::{BackendStatus, QueueStatus, ServiceStatus};
