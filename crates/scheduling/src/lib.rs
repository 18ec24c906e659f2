//! Queue order, partner shares, placement and cache retention, without I/O.
//!
//! [`Dispatcher`] is a state machine and the only queue in front of the backends of one service, its *group*. It
//! grants slots: the node that owns a run asks for one with [`Event::Enqueue`], writes its dispatch
//! entry durably after [`Effect::Grant`], calls the backend itself and reports the end of the
//! attempt with [`Event::AttemptEnded`].

pub mod admission;
mod backend_changes;
pub mod backends;
mod cache_tracking;
mod call_placement;
mod call_selection;
mod context_moves;
pub mod dispatcher;
pub mod effect;
pub mod ejection;
pub mod ended_runs;
pub mod engine_commands;
mod enqueue_calls;
pub mod event;
pub mod grants;
pub mod pause_histogram;
pub mod placement;
pub mod prefix_map;
pub mod queue;
pub mod retention;
pub mod service_time;
pub mod settings;
pub mod shares;
mod slot_grants;
pub mod working_set;

pub use dispatcher::Dispatcher;
pub use effect::Effect;
pub use event::{
    AttemptEnd, AttemptOutcome, CacheChange, CacheEvent, CacheListing, CachedContext, Event,
    InheritedContext, LoadReport, Priority, QueuedCall, Ticket, TokenUsage,
};
pub use settings::{
    ContextMoveSettings, DispatcherSettings, PartnerSettings, PlacementRule, Policy, QueueOrder,
};
