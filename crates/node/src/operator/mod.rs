//! The operators' interface: the methods of the published schema.

mod changes;
mod desk;
mod error;
mod method;
mod objects;
mod runs;
mod status;
mod watch;

pub use desk::{DeskActors, OperatorDesk, OperatorReply, OperatorRequestMessage, OperatorWork};
pub use method::serve;
