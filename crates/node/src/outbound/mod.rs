//! Calls to back ends. Each attempt has a thread of its own, which reports to the actor thread.

mod attempt;
mod chat;
mod client;
mod fence;
mod tool;

pub use attempt::{
    AttemptEvent, AttemptId, AttemptOrder, AttemptResolution, AttemptResult, BackendCall,
    Dispatched,
};
pub use client::BackendClient;
