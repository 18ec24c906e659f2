//! Messages generated from the published schema and their Connect unary mapping, and the bodies of
//! the callers' HTTP interface.
//!
//! Nothing in this crate opens a listening socket: the node's HTTP edge calls [`connect`] and
//! [`caller`] with what it read. [`client`] is the operators' side.

pub mod caller;
pub mod caller_error;
pub mod chat;
pub mod client;
mod client_error;
pub mod connect;
pub mod connect_code;
pub mod connect_error;
pub mod conversion;
pub mod error_body;
pub mod field_error;
pub mod operator;
mod refusal_message;
pub mod v1;

pub use connect_code::ConnectCode;
pub use connect_error::ConnectError;
pub use error_body::{ErrorBody, ErrorDetail};
pub use field_error::FieldError;
pub use operator::{OperatorMethod, OperatorRequest, OperatorResponse};
