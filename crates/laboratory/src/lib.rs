//! A laboratory for the gateways' decisions: the code that runs on the users' machines
//! ([`ridgeworks_routing::Placement`]) is played under virtual time on deployments drawn from seeds, beside
//! simple policies and one that knows the engines exactly. What it is for and what it showed stands in
//! `docs/design/decisions.md`, "The laboratory".

mod deployment;
mod engine;
mod measures;
mod play;
pub mod policies;
mod program;

pub use deployment::{Deployment, EngineSpec};
pub use engine::{Engine, Job};
pub use measures::Outcome;
pub use play::play;
pub use policies::{Choosing, Policy};
