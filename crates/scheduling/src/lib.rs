//! Queue order, partner shares, placement and cache retention, without I/O.
//!
//! [`Dispatcher`] is the only queue in front of the back ends of one service. It grants slots: the
//! owner of a run asks with [`Event::Enqueue`], makes its dispatch entry durable when
//! [`Effect::Grant`] comes, calls the back end itself and reports the end.

pub mod dispatcher;
pub mod effect;
pub mod event;
pub mod settings;

pub use dispatcher::Dispatcher;
pub use effect::Effect;
pub use event::{
    AttemptEnd, AttemptOutcome, CacheChange, CacheEvent, CacheListing, CachedContext, Event,
    InheritedContext, LoadReport, Priority, QueuedCall, Ticket, TokenUsage,
};
pub use settings::{
    ContextMoveSettings, DispatcherSettings, PartnerSettings, PlacementRule, Policy, QueueOrder,
};
