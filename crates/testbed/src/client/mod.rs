//! A caller of the system: opens runs, makes calls and repeats them under the same key until the
//! system gives a final answer.

mod attempt;
mod error;
mod events;
mod run;

pub use attempt::{CallerClient, ClientSettings};
pub use error::{CallFailure, TransportFailure};
pub use events::{EventReader, StreamEvent};
pub use run::{CallOptions, ChatAnswer, ChatCall, RunClient};
