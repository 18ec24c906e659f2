//! HTTP server edge of a node, over `tiny_http`.
//!
//! Each request in progress has a thread of its own, their number is bounded, and a request above
//! the bound is refused at once with a typed body. Bodies are read under a size and a time limit.
//! Streamed answers leave chunk by chunk.
//!
//! Limits that `tiny_http` 0.12 does not let us set (connections, size of a request's head, total
//! time of a head that arrives byte by byte) are named in `docs/design/stream-threads.md`.

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
pub use responder::{AnswerStatus, Responder};
pub use server::{EdgeServer, Handler};
pub use settings::EdgeSettings;
pub use stream::{ClientDisconnected, StreamWriter};
