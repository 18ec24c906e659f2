//! Inputs of the dispatcher.
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

/// Identifier of one request for a slot. The owner never reuses a number, not even for a retry of
/// the same call.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Archive, Serialize, Deserialize,
)]
pub struct Ticket {
    /// Node that owns the run and requested the slot.
    pub owner: NodeId,
    /// Number chosen by the owner, unique among its requests.
    pub number: u64,
}

/// Priority class of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub struct Priority {
    /// Whether the call takes strict precedence over all calls that are not urgent, called routine
    /// calls.
    pub urgent: bool,
    /// Rank among the calls of one partner; higher goes first.
    pub rank: u8,
}

/// Context of a parent run at the beginning of a sub-agent's prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct InheritedContext {
    /// The parent run.
    pub run: RunId,
    /// Length of the inherited context at the beginning of the prompt, in tokens.
    pub tokens: u64,
}

/// A call that requests a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedCall {
    /// Identifier of this request for a slot.
    pub ticket: Ticket,
    /// Run that the call belongs to.
    pub run: RunId,
    /// Key of the call, chosen by the caller.
    pub key: CallKey,
    /// Partner whose share the slot counts against.
    pub partner: PartnerName,
    /// Priority class.
    pub priority: Priority,
    /// Service that the whole run has used so far, including its sub-agents.
    pub attained_service: Cost,
    /// Length of the whole prompt in tokens; zero for tool and notice calls.
    pub prompt_tokens: u64,
    /// Maximum number of generated tokens; zero for tool and notice calls.
    pub max_output_tokens: u64,
    /// Context of a parent run at the beginning of the prompt; `None` if the prompt has none.
    pub inherited: Option<InheritedContext>,
    /// Time by which the whole response is needed; `None` if there is no deadline.
    pub deadline: Option<MonotonicTime>,
    /// Whether the attempt may be preempted by an urgent call. Only set for calls that may be
    /// retried.
    pub preemptible: bool,
    /// Time that earlier, preempted attempts of the call spent in queues.
    pub waited: Duration,
}

impl QueuedCall {
    /// Maximum length of the context after the call: prompt and output, in tokens.
    pub fn max_total_tokens(&self) -> u64 {
        self.prompt_tokens + self.max_output_tokens
    }
}

/// Token counts of one attempt, as reported by the backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Archive, Serialize, Deserialize)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens of the prompt that were found in the cache.
    pub cached: u64,
    /// Generated tokens.
    pub output: u64,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The backend sent a complete response.
    Completed,
    /// The caller or the owner cancelled the attempt.
    Cancelled,
    /// The owner cancelled the attempt after [`crate::Effect::Preempt`].
    Preempted,
    /// The backend was unreachable, refused the call or broke it off.
    Failed,
}

/// End of an attempt, or of a grant that its owner did not use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct AttemptEnd {
    /// Ticket of the grant.
    pub ticket: Ticket,
    /// Token counts; all zero if the backend reported none.
    pub usage: TokenUsage,
    /// How it ended.
    pub outcome: AttemptOutcome,
}

/// Load as reported by an engine, and therefore slightly outdated.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct LoadReport {
    /// Engine that sent the report.
    pub backend: BackendName,
    /// Calls running in the engine.
    pub running: u32,
    /// Calls waiting in the engine's own queue.
    pub waiting: u32,
    /// Capacity of its prefix cache, in tokens; zero if the engine does not report it.
    pub cache_capacity_tokens: u64,
}

/// Change of a context in an engine's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Archive, Serialize, Deserialize)]
pub enum CacheChange {
    /// The engine stored the context, or changed its length.
    Stored,
    /// The engine evicted the context.
    Evicted,
}

/// A numbered cache event of one engine. Events are delayed, and some are lost.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Engine that sent the event.
    pub backend: BackendName,
    /// Sequence number; increases by one for each event of the engine.
    pub number: u64,
    /// Kind of change.
    pub change: CacheChange,
    /// Run that the context belongs to.
    pub run: RunId,
    /// Cached tokens of the context after the event.
    pub tokens: u64,
}

/// One context in a [`CacheListing`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct CachedContext {
    /// Run that the context belongs to.
    pub run: RunId,
    /// Cached length, in tokens.
    pub tokens: u64,
}

/// Complete contents of one engine's cache.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct CacheListing {
    /// Engine that sent the listing.
    pub backend: BackendName,
    /// Sequence number of the last event that the listing includes.
    pub number: u64,
    /// All cached contexts.
    pub contexts: Vec<CachedContext>,
}

/// An input of the dispatcher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// An owner requests a slot. Results in exactly one grant, refusal or cancellation.
    Enqueue(QueuedCall),
    /// An owner no longer needs a slot. Also frees the slot of a grant that has not started.
    Cancel(Ticket),
    /// The owner's dispatch entry is durable and it is calling the backend.
    AttemptStarted(Ticket),
    /// An owner reports an attempt that an earlier dispatcher of the group granted and that is still
    /// running.
    AttemptRunning {
        /// The running call.
        call: QueuedCall,
        /// Backend at which it runs.
        backend: BackendName,
    },
    /// An attempt or an unused grant ended and its slot is free.
    AttemptEnded(AttemptEnd),
    /// A node has failed; its waiting calls and its grants are dropped.
    OwnerLost(NodeId),
    /// A backend became available, or its description changed.
    BackendUp(Backend),
    /// A backend accepts no new calls; those in progress continue.
    BackendLeaving(BackendName),
    /// A backend is gone, including its running calls and its cache.
    BackendGone(BackendName),
    /// A health probe, or a call that this dispatcher did not grant, failed at the backend.
    BackendFailed(BackendName),
    /// An engine reported its load.
    LoadReport(LoadReport),
    /// An engine's cache changed.
    CacheEvent(CacheEvent),
    /// Response to [`crate::Effect::RelistCache`].
    CacheListing(CacheListing),
    /// Response to [`crate::Effect::MoveContext`].
    ContextMoved {
        /// Run that the context belongs to.
        run: RunId,
        /// Target engine of the move.
        to: BackendName,
        /// Tokens of the context at the target; zero if the move failed.
        tokens: u64,
    },
    /// A run paused: it waits for a tool or a sub-agent before its next call to this service.
    RunPaused {
        /// The paused run.
        run: RunId,
        /// Tool or sub-agent service that it waits for.
        tool: ServiceName,
    },
    /// A run ended; its contexts must be released at all engines.
    RunEnded(RunId),
    /// The shares or weights of the partners changed.
    SharesChanged(Vec<PartnerSettings>),
    /// Drives timeouts; expected about every [`crate::DispatcherSettings::tick`].
    Tick,
}
