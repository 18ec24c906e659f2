//! The side of the node that faces callers and operators.

mod admission;
mod answer;
mod call_metrics;
mod caller_request;
mod chat;
mod edge;
mod fault;
mod gateway;
mod open_request;
mod request;
mod runs;
mod service_call;
mod streamed_text;

pub use caller_request::{CallerCommand, CallerRequest};
pub use edge::{Edge, token_digest};
pub use gateway::Gateway;
pub use streamed_text::StreamedText;
