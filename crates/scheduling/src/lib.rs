//! Queue order, partner shares, placement and cache retention, without I/O.
//!
//! [`Dispatcher`] is the only queue in front of the back ends of one service. It grants slots: the
//! owner of a run asks with [`Event::Enqueue`], makes its dispatch entry durable when
//! [`Effect::Grant`] comes, calls the back end itself and reports the end.

pub mod admission;
mod back_end_changes;
pub mod backends;
mod caching;
mod choosing;
pub mod dispatcher;
pub mod effect;
pub mod ejection;
pub mod ended_runs;
pub mod event;
mod granting;
pub mod grants;
mod intake;
pub mod load_estimate;
pub mod model_orders;
mod moving;
mod next_call;
pub mod pause_lengths;
pub mod placement;
pub mod prefix_map;
pub mod queue;
pub mod retention;
pub mod settings;
pub mod shares;
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
