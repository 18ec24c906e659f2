//! The side of the node that faces callers and operators.

mod caller_request;
mod gateway;
mod open_request;

pub use caller_request::{CallerCommand, CallerRequest};
pub use gateway::Gateway;
