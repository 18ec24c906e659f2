//! What a dispatcher is told.
#![allow(
    missing_docs,
    reason = "the resolvers that rkyv derives carry undocumented fields"
)]

use std::time::Duration;

use ridgeworks_domain::objects::Backend;
use ridgeworks_domain::{
    BackendName, CallKey, Cost, MonotonicTime, NodeId, PartnerName, RunId, ServiceName,
};
use rkyv::{Archive, Deserialize, Serialize};

use crate::settings::PartnerSettings;

/// One request for a slot. The owner never uses a number twice, also not for a second attempt.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize,
)]
pub struct Ticket {
    /// The node that owns the run and asked for the slot.
    pub owner: NodeId,
    /// Number given by the owner, new for every request.
    pub number: u64,
}

/// Priority class of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub struct Priority {
    /// Urgent calls go strictly before all others.
    pub urgent: bool,
    /// Order among the classes of one partner; higher first.
    pub rank: u8,
}

/// Context of another run that the prompt of a call begins with, as a sub-agent's may.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct InheritedContext {
    /// The run whose context it is.
    pub run: RunId,
    /// Tokens at the beginning of the prompt that come from that run.
    pub tokens: u64,
}

/// A call that waits for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedCall {
    /// Names this request for a slot and its owner.
    pub ticket: Ticket,
    /// The run that the call belongs to.
    pub run: RunId,
    /// The caller's key of the call.
    pub key: CallKey,
    /// The partner whose share pays.
    pub partner: PartnerName,
    /// Priority class.
    pub priority: Priority,
    /// What the whole run has used so far, sub-agents included.
    pub attained_service: Cost,
    /// Tokens of the whole prompt; zero for tool and notice calls.
    pub prompt_tokens: u64,
    /// Upper bound of generated tokens; zero for tool and notice calls.
    pub max_output_tokens: u64,
    /// Context of a parent run at the beginning of the prompt.
    pub inherited: Option<InheritedContext>,
    /// When the whole answer must be there.
    pub deadline: Option<MonotonicTime>,
    /// Whether the attempt may be cancelled in favour of an urgent call. Only calls that may be
    /// tried again are.
    pub preemptible: bool,
    /// Time spent in queues before, by an attempt that was cancelled in favour of another call.
    pub waited: Duration,
}

impl QueuedCall {
    /// Tokens that its context may grow to.
    pub fn most_tokens(&self) -> u64 {
        self.prompt_tokens + self.max_output_tokens
    }
}

/// Tokens that a back end counted for one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Archive, Serialize, Deserialize)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens of the prompt that were read from the cache.
    pub cached: u64,
    /// Generated tokens.
    pub output: u64,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The back end answered.
    Completed,
    /// The caller or owner gave the attempt up.
    Cancelled,
    /// The attempt was cancelled on [`crate::Effect::Preempt`].
    Preempted,
    /// The back end could not be reached, refused or broke off.
    Failed,
}

/// End of an attempt, or of a grant that its owner does not use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct AttemptEnd {
    /// The ticket that was granted.
    pub ticket: Ticket,
    /// What the back end counted; zero when it did not say.
    pub usage: TokenUsage,
    /// How it ended.
    pub outcome: AttemptOutcome,
}

/// Load as an engine reported it; late by nature.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct LoadReport {
    /// The engine.
    pub backend: BackendName,
    /// Calls that it runs.
    pub running: u32,
    /// Calls that wait in it.
    pub waiting: u32,
    /// Capacity of its prefix cache, in tokens; zero when it doesn't tell.
    pub cache_capacity_tokens: u64,
}

/// What happened to a context in an engine's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub enum CacheChange {
    /// The engine now holds this many tokens of the context.
    Stored,
    /// The engine dropped the context.
    Evicted,
}

/// A numbered cache event of one engine; events come late and some are lost.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The engine.
    pub backend: BackendName,
    /// Counts up by one for each event of the engine.
    pub number: u64,
    /// What happened.
    pub change: CacheChange,
    /// The run whose context it is.
    pub run: RunId,
    /// Tokens held after the event.
    pub tokens: u64,
}

/// One context in a listing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct CachedContext {
    /// The run whose context it is.
    pub run: RunId,
    /// Tokens held.
    pub tokens: u64,
}

/// Everything that one engine's cache holds.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct CacheListing {
    /// The engine.
    pub backend: BackendName,
    /// Number of the last event that the listing includes.
    pub number: u64,
    /// The contexts held.
    pub contexts: Vec<CachedContext>,
}

/// An input of the dispatcher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// An owner asks for a slot. Ends in exactly one grant, refusal or cancellation.
    Enqueue(QueuedCall),
    /// An owner no longer wants a slot. Gives back a grant that has not started.
    Cancel(Ticket),
    /// The owner's dispatch entry is durable and the back end is being called.
    AttemptStarted(Ticket),
    /// An attempt that another dispatcher granted runs at a back end, as its owner tells a
    /// dispatcher that took the group over.
    AttemptRunning {
        /// The call.
        call: QueuedCall,
        /// Where it runs.
        backend: BackendName,
    },
    /// The attempt is over; the slot is free.
    AttemptEnded(AttemptEnd),
    /// A node is gone; its tickets and grants are dropped.
    OwnerLost(NodeId),
    /// A back end serves, or its description changed.
    BackendUp(Backend),
    /// A back end takes no new calls; those in progress go on.
    BackendLeaving(BackendName),
    /// A back end is gone, with everything it ran and held.
    BackendGone(BackendName),
    /// A probe or a call of someone else found the back end failing.
    BackendFailed(BackendName),
    /// An engine's load.
    LoadReport(LoadReport),
    /// An engine's cache changed.
    CacheEvent(CacheEvent),
    /// Answer to [`crate::Effect::RelistCache`].
    CacheListing(CacheListing),
    /// Answer to [`crate::Effect::MoveContext`].
    ContextMoved {
        /// The run whose context was to move.
        run: RunId,
        /// Where it was to go.
        to: BackendName,
        /// Tokens held there now; zero when the move failed.
        tokens: u64,
    },
    /// A run waits for a tool or a sub-agent before its next call here.
    RunPaused {
        /// The run.
        run: RunId,
        /// What it waits for.
        tool: ServiceName,
    },
    /// A run ended; nothing of it may stay in any engine.
    RunEnded(RunId),
    /// The shares or weights of the partners changed.
    SharesChanged(Vec<PartnerSettings>),
    /// Time passed. To be sent every [`crate::DispatcherSettings::tick`] or so.
    Tick,
}
