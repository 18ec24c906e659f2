//! The operators' interface (messages generated from the published schema, and their mapping to Connect
//! unary calls) and the callers' HTTP interface.
//!
//! This crate opens no listening socket: the node's HTTP edge reads requests and decodes them with
//! [`connect`] and [`caller`]. [`client`] is the client of the operators' interface.

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
