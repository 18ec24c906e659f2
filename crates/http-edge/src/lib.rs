//! HTTP server edge of a node, based on `tiny_http`.
//!
//! Each in-flight request has its own thread. Their number is limited, and requests beyond the limit are
//! refused immediately with a JSON error. Request bodies are read within a size limit and a deadline.
//! Streamed responses are flushed after each chunk.
//!
//! `docs/design/stream-threads.md` lists the limits that `tiny_http` 0.12 cannot enforce: the number of
//! connections, the size of a request's head, and the total time of a head that arrives byte by byte.

mod acceptor;
mod admission;
mod body;
mod counters;
mod error;
mod fault_response;
mod head;
mod listener;
mod request;
mod responder;
mod server;
mod serving;
mod settings;
mod stream;

pub use counters::{CountersSnapshot, EdgeCounters};
pub use error::{EdgeError, FaultResponse, RequestFault, ResponseError};
pub use request::{EdgeRequest, Header, Method};
pub use responder::{Responder, ResponseStatus};
pub use server::{EdgeServer, Handler};
pub use settings::EdgeSettings;
pub use stream::{ClientDisconnected, StreamWriter};
