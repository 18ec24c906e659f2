//! Framed TCP links between the nodes of the system.
//!
//! A node dials one connection to each node that it sends to; that connection carries messages in
//! this one direction. Messages are opaque bytes here. Delivery is at most once and in order as
//! long as a connection lasts; a message may be lost when a connection breaks or its queue is full,
//! so every protocol above repeats what it needs answered.
//!
//! All of it runs on the node's one actor thread.

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
