//! Framed TCP links between the nodes of the system.
//!
//! A node opens one connection to each node that it sends to; the connection carries messages in this
//! direction only. Messages are opaque bytes. Delivery is at most once, and in order within one
//! connection. Messages are lost when a connection fails or its queue is full, so the protocols on top
//! retry requests that need a response.
//!
//! All links run on the node's single actor thread.

mod counters;
mod frame;
mod inbound;
mod links;
mod outbound;
mod settings;

pub use counters::LinkCounters;
pub use frame::{FrameError, Hello, MAX_FRAME_BYTES};
pub use links::{Delivery, LinkClosed, Links};
pub use settings::{DialOverride, LinkError, LinkSettings, Peer};
