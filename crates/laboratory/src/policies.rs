//! Ways of choosing an engine.

mod fitted;
mod landed;
mod simple;

use ridgeworks_routing::PromptPart;

pub use fitted::Fitted;
pub use landed::Landed;
pub use simple::{LeastRequests, Oracle, Sticky};

use crate::engine::{Engine, Made};

/// A turn that needs an engine.
pub struct Choosing<'a> {
    /// The gateway that decides.
    pub gateway: usize,
    /// Number of the program.
    pub program: u64,
    /// The turn's prompt.
    pub prompt: &'a [PromptPart],
    /// Virtual time, in milliseconds.
    pub now_ms: f64,
    /// The engines as they are. Only [`Oracle`] looks; all others know what a gateway does.
    pub engines: &'a [Engine],
}

/// A way of choosing, for all gateways of a deployment.
pub trait Policy {
    /// The engine for a turn, which goes there at once.
    fn choose(&mut self, choosing: &Choosing<'_>) -> usize;
    /// An event comes back through the gateway that sent the turn.
    fn on_event(&mut self, made: &Made, now_ms: f64);
    /// The engine failed a turn at once; the program's client asks again in a moment.
    fn on_failed(&mut self, program: u64, now_ms: f64);
    /// Gateways tell each other of their load.
    fn on_report(&mut self, now_ms: f64);
}
